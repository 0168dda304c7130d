"""Encoding of HTTP/1.1 messages, and collection of parsed messages within size limits."""

from collections.abc import Sequence
from http import HTTPStatus
from typing import Any

import httptools

MAX_BODY_BYTES = 4 << 20
MAX_HEAD_BYTES = 64 << 10  # request target plus all header names and values
MAX_HEADERS = 256  # a header of a few bytes takes much more memory than that

# Headers that must not be repeated. With several values, an intermediary and the server could
# disagree on where a message ends or which host it is for (RFC 9112, sections 3.2 and 6.3).
SINGLE_HEADERS = ("host", "content-length")

Header = tuple[str, str]  # name, value


class HttpError(Exception):
    """Base class of this package's errors."""


class InvalidMessageError(HttpError):
    """A message is malformed, too large or not supported; `status` is the response's status."""

    def __init__(self, status: HTTPStatus) -> None:
        super().__init__(status)
        self.status = status


def encode_message(first_line: str, headers: Sequence[Header], body: bytes) -> bytes:
    """Return the bytes of a message.

    Raises ValueError if the first line or a header contains a CR or LF, which could inject a header
    or a request.
    """
    header_lines = [f"{name}: {value}\r\n" for name, value in headers]
    head = "".join([first_line, "\r\n", *header_lines, "\r\n"])
    line_count = len(headers) + 2
    if head.count("\n") != line_count or head.count("\r") != line_count:
        raise ValueError("expected no CR or LF in the first line or a header")
    return head.encode("latin-1") + body


class Message:
    """Collects one message at a time from httptools' callbacks.

    Subclasses override `on_message_complete`. `max_body_bytes` limits the body.
    """

    def __init__(self, max_body_bytes: int = MAX_BODY_BYTES) -> None:
        self.max_body_bytes = max_body_bytes
        self.on_message_begin()

    def on_message_begin(self) -> None:
        """Start a new message."""
        self.target = b""  # stays empty in a response
        self.headers: dict[str, str] = {}  # by lower-case name
        # One buffer: as objects of their own, the chunks of a body may take many times its size.
        self.body = bytearray()
        self.head_bytes = 0
        self.header_count = 0

    def on_url(self, data: bytes) -> None:
        """Append to the request's target."""
        self.count_head_bytes(len(data))
        self.target += data

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; raises InvalidMessageError if one of SINGLE_HEADERS is repeated."""
        self.count_head_bytes(len(name) + len(value))
        self.header_count += 1
        if self.header_count > MAX_HEADERS:
            raise InvalidMessageError(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        lower_name = name.decode("latin-1").lower()
        if lower_name in self.headers and lower_name in SINGLE_HEADERS:
            raise InvalidMessageError(HTTPStatus.BAD_REQUEST)
        self.headers[lower_name] = value.decode("latin-1")

    def count_head_bytes(self, size: int) -> None:
        """Count bytes of the head; raises InvalidMessageError above MAX_HEAD_BYTES."""
        self.head_bytes += size
        if self.head_bytes > MAX_HEAD_BYTES:
            raise InvalidMessageError(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def on_body(self, data: bytes) -> None:
        """Append to the body; raises InvalidMessageError above the maximum size."""
        if len(self.body) + len(data) > self.max_body_bytes:
            raise InvalidMessageError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        self.body += data

    def on_message_complete(self) -> None:
        """Handle a complete message."""


def feed_parser(parser: Any, data: bytes) -> HTTPStatus | None:
    """Parse data; return the status to respond with if the data is invalid, else None."""
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
