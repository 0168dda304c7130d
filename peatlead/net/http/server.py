"""The server's side of HTTP/1.1: requests of one connection, answered one at a time."""

from collections import deque
from collections.abc import Sequence
from http import HTTPStatus
from typing import NamedTuple

import httptools

from ..streams import Stream
from .message import Header, InvalidMessageError, Message, encode_message, feed

MAX_PIPELINED_REQUESTS = 16  # received while another is being served
REASON_PHRASES = {status.value: status.phrase for status in HTTPStatus}


class Request(NamedTuple):
    """A complete request."""

    method: str
    target: str
    headers: dict[str, str]  # by lower-case name
    body: bytes
    keep_alive: bool  # whether further requests may follow on the connection


class RequestMessage(Message):
    """The request that a server's connection is receiving."""

    def __init__(self, server: "ServerConnection") -> None:
        super().__init__()
        self.server = server

    def on_message_complete(self) -> None:
        """Hand the request to the server."""
        self.server.enqueue(self)


class ServerConnection(Stream):
    """A server's connection to one client.

    `serve` is called for one request at a time and is followed by a call of `answer`. Pipelined
    requests wait, up to `MAX_PIPELINED_REQUESTS`.
    """

    def __init__(self, idle: float) -> None:
        super().__init__(idle)
        self.parser = httptools.HttpRequestParser(RequestMessage(self))
        self.pipelined: deque[Request] = deque()
        self.serving = False  # a request was handed to `serve` and not answered yet
        self.input_ended = False  # what the client sends from now on is ignored
        self.error_status: HTTPStatus | None = None  # of an invalid request, not answered yet

    def serve(self, method: str, path: str, headers: dict[str, str], body: bytes) -> None:
        """Handle one request; its response is given to `answer`, now or later."""

    def received(self, data: bytes) -> None:
        """Parse requests and serve the first of them."""
        if self.input_ended:
            return
        self.error_status = feed(self.parser, data)
        self.input_ended = self.error_status is not None
        self.serve_next()

    def enqueue(self, message: Message) -> None:
        """Add a complete request to those to serve; raises InvalidMessageError."""
        if len(self.pipelined) >= MAX_PIPELINED_REQUESTS:
            raise InvalidMessageError(HTTPStatus.TOO_MANY_REQUESTS)
        if "host" not in message.headers and self.parser.get_http_version() == "1.1":
            raise InvalidMessageError(HTTPStatus.BAD_REQUEST)
        if self.parser.should_upgrade():  # the following bytes would be of another protocol
            raise InvalidMessageError(HTTPStatus.NOT_IMPLEMENTED)
        request = Request(
            method=self.parser.get_method().decode("latin-1"),
            target=message.target.decode("latin-1"),
            headers=message.headers,
            body=b"".join(message.body),
            keep_alive=self.parser.should_keep_alive(),
        )
        self.pipelined.append(request)

    def serve_next(self) -> None:
        """Serve the next request; reject an invalid one after all before it were answered."""
        while self.pipelined and not self.serving and self.transport is not None:
            request = self.pipelined.popleft()
            self.serving = True
            self.input_ended = self.input_ended or not request.keep_alive
            self.serve(request.method, request.target, request.headers, request.body)
        if self.error_status is not None and not self.serving:
            self.reject(self.error_status)

    def reject(self, status: HTTPStatus) -> None:
        """Answer an invalid request and close the connection."""
        status_line = f"HTTP/1.1 {status.value} {status.phrase}"
        headers = [("content-length", "0"), ("connection", "close")]
        self.send(encode_message(status_line, headers, b""))
        self.close()

    def respond(
        self, status: int, headers: Sequence[Header], body: bytes, last: bool = False
    ) -> None:
        """Respond to the request being served; `last` closes the connection after it."""
        if self.transport is None:
            return
        more_to_answer = bool(self.pipelined) or self.error_status is not None
        last = last or (self.input_ended and not more_to_answer)
        all_headers = [*headers, ("content-length", str(len(body)))]
        if last:
            all_headers.append(("connection", "close"))
        status_line = f"HTTP/1.1 {status} {REASON_PHRASES.get(status, '')}"
        self.send(encode_message(status_line, all_headers, body))
        self.serving = False
        if last:
            self.input_ended = True
            self.pipelined.clear()
            self.close()
        elif more_to_answer:
            self.loop.call_soon(self.serve_next)
