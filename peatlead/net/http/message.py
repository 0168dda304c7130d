"""Writing HTTP messages, and collecting the parts of one that is being parsed, within bounds."""

from collections.abc import Sequence
from http import HTTPStatus
from typing import Any

import httptools

MAX_BODY_BYTES = 4 << 20
MAX_HEAD_BYTES = 64 << 10  # the target with all header names and values

# Repeated with different values, these would let two readers see two different messages.
SINGLE_HEADERS = ("host", "content-length")

Header = tuple[str, str]  # name, value


class HttpError(Exception):
    """Base of the errors of this package."""


class InvalidMessageError(HttpError):
    """A message is malformed, too large or not supported; `status` is sent in response."""

    def __init__(self, status: HTTPStatus) -> None:
        super().__init__(status)
        self.status = status


def encode_message(first_line: str, headers: Sequence[Header], body: bytes) -> bytes:
    """Return a message's bytes.

    Raises ValueError if a name or value contains a line end: it could add a header or a request.
    """
    header_lines = [f"{name}: {value}\r\n" for name, value in headers]
    head = "".join([first_line, "\r\n", *header_lines, "\r\n"])
    line_count = len(headers) + 2
    if head.count("\n") != line_count or head.count("\r") != line_count:
        raise ValueError("expected no line ends within a header")
    return head.encode("latin-1") + body


class Message:
    """Collects the parts of one message after the other from httptools' callbacks.

    Subclasses override `on_message_complete`.
    """

    def __init__(self) -> None:
        self.on_message_begin()

    def on_message_begin(self) -> None:
        """Start a new message."""
        self.target = b""  # of a request
        self.headers: dict[str, str] = {}  # by lower-case name
        self.body: list[bytes] = []
        self.body_bytes = 0
        self.head_bytes = 0

    def on_url(self, data: bytes) -> None:
        """Append to the request's target."""
        self.count_head(len(data))
        self.target += data

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; raises InvalidMessageError for an ambiguous repetition."""
        self.count_head(len(name) + len(value))
        key = name.decode("latin-1").lower()
        if key in self.headers and key in SINGLE_HEADERS:
            raise InvalidMessageError(HTTPStatus.BAD_REQUEST)
        self.headers[key] = value.decode("latin-1")

    def count_head(self, size: int) -> None:
        """Count bytes of the head; raises InvalidMessageError past the bound."""
        self.head_bytes += size
        if self.head_bytes > MAX_HEAD_BYTES:
            raise InvalidMessageError(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def on_body(self, data: bytes) -> None:
        """Append to the body; raises InvalidMessageError past the bound."""
        self.body_bytes += len(data)
        if self.body_bytes > MAX_BODY_BYTES:
            raise InvalidMessageError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        self.body.append(data)

    def on_message_complete(self) -> None:
        """Handle the end of the message."""


def feed(parser: Any, data: bytes) -> HTTPStatus | None:
    """Parse data; return None, or the status that describes what is wrong with it."""
    try:
        parser.feed_data(data)
    except httptools.HttpParserCallbackError as error:
        cause = error.__context__
        if isinstance(cause, InvalidMessageError):
            return cause.status
        raise
    except (httptools.HttpParserError, httptools.HttpParserUpgrade):
        return HTTPStatus.BAD_REQUEST
    return None
