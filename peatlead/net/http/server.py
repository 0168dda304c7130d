"""HTTP/1.1 server: the requests of one connection, served one at a time."""

from collections import deque
from collections.abc import Sequence
from http import HTTPStatus
from typing import NamedTuple

import httptools

from ..streams import Stream
from .message import Header, InvalidMessageError, Message, encode_message, feed_parser

MAX_PIPELINED_REQUESTS = 16  # requests that wait while another one is served
REASON_PHRASES = {status.value: status.phrase for status in HTTPStatus}


class Request(NamedTuple):
    """A complete request."""

    method: str
    target: str
    headers: dict[str, str]  # by lower-case name
    body: bytes
    keep_alive: bool  # whether the client may send further requests on the connection


class RequestMessage(Message):
    """The request that a server connection is receiving."""

    def __init__(self, connection: "ServerConnection") -> None:
        super().__init__()
        self.connection = connection

    def on_message_complete(self) -> None:
        """Pass the request to the connection."""
        self.connection.enqueue(self)


class ServerConnection(Stream):
    """A server's connection to one client.

    Subclasses override `serve`, which is called for one request at a time; each call must be
    followed by a call of `respond`. Up to `MAX_PIPELINED_REQUESTS` further requests wait.
    """

    def __init__(self, idle_timeout: float) -> None:
        super().__init__(idle_timeout)
        self.parser = httptools.HttpRequestParser(RequestMessage(self))
        self.pipelined_requests: deque[Request] = deque()
        self.serving = False  # whether `serve` was called and `respond` not yet
        self.ignores_input = False  # whether further data from the client is ignored
        # Status of the response to an invalid request; None if there is none.
        self.error_status: HTTPStatus | None = None

    def serve(self, method: str, path: str, headers: dict[str, str], body: bytes) -> None:
        """Handle one request and call `respond` for it, now or later."""

    def received(self, data: bytes) -> None:
        """Parse requests and serve the next one, unless another is being served."""
        if self.ignores_input:
            return
        self.error_status = feed_parser(self.parser, data)
        self.ignores_input = self.error_status is not None
        self.serve_next()

    def enqueue(self, message: Message) -> None:
        """Queue a complete request; raises InvalidMessageError."""
        if len(self.pipelined_requests) >= MAX_PIPELINED_REQUESTS:
            raise InvalidMessageError(HTTPStatus.TOO_MANY_REQUESTS)
        if "host" not in message.headers and self.parser.get_http_version() == "1.1":
            raise InvalidMessageError(HTTPStatus.BAD_REQUEST)
        if self.parser.should_upgrade():  # other protocols are not supported
            raise InvalidMessageError(HTTPStatus.NOT_IMPLEMENTED)
        request = Request(
            method=self.parser.get_method().decode("latin-1"),
            target=message.target.decode("latin-1"),
            headers=message.headers,
            body=bytes(message.body),
            keep_alive=self.parser.should_keep_alive(),
        )
        self.pipelined_requests.append(request)

    def serve_next(self) -> None:
        """Serve the next request; reject an invalid one after the responses to all before it."""
        while self.pipelined_requests and not self.serving and self.transport is not None:
            request = self.pipelined_requests.popleft()
            self.serving = True
            self.ignores_input = self.ignores_input or not request.keep_alive
            self.serve(request.method, request.target, request.headers, request.body)
        if self.error_status is not None and not self.serving:
            self.reject(self.error_status)

    def reject(self, status: HTTPStatus) -> None:
        """Respond to an invalid request and close the connection."""
        status_line = f"HTTP/1.1 {status.value} {status.phrase}"
        headers = [("content-length", "0"), ("connection", "close")]
        self.send(encode_message(status_line, headers, b""))
        self.close()

    def respond(
        self, status: int, headers: Sequence[Header], body: bytes, close_connection: bool = False
    ) -> None:
        """Respond to the request being served, then close the connection if requested."""
        if self.transport is None:
            return
        has_more_work = bool(self.pipelined_requests) or self.error_status is not None
        close_connection = close_connection or (self.ignores_input and not has_more_work)
        all_headers = [*headers, ("content-length", str(len(body)))]
        if close_connection:
            all_headers.append(("connection", "close"))
        status_line = f"HTTP/1.1 {status} {REASON_PHRASES.get(status, '')}"
        self.send(encode_message(status_line, all_headers, body))
        self.serving = False
        if close_connection:
            self.ignores_input = True
            self.pipelined_requests.clear()
            self.close()
        elif has_more_work:
            self.loop.call_soon(self.serve_next)
