"""HTTP/1.1 client: one request at a time on a connection that may be reused."""

import asyncio
from collections.abc import Sequence
from enum import StrEnum
from typing import NamedTuple

import httptools

from ..errors import is_local_shortage
from ..streams import Stream, with_timeout
from .message import (
    MAX_BODY_BYTES,
    MAX_HEAD_BYTES,
    Header,
    HttpError,
    Message,
    encode_message,
    feed_parser,
)

FIRST_FINAL_STATUS = 200  # lower statuses are informational (RFC 9110, section 15.2)


class RequestOutcome(StrEnum):
    """Why a request got no response."""

    UNREACHABLE = "unreachable"  # the connection was refused or reset, or there is no route
    DENIED = "denied"  # a shortage on this machine; nothing is known about the server
    TIMED_OUT = "timed out"
    BROKEN = "broken"  # the connection ended, or the response was not valid HTTP


class RequestFailedError(HttpError):
    """A request got no response.

    `outcome` is the value of a RequestOutcome. `request_sent` tells whether any byte of the request
    may have reached the server.
    """

    def __init__(self, outcome: RequestOutcome, request_sent: bool) -> None:
        super().__init__(outcome.value)
        self.outcome: str = outcome.value  # a plain string, as in recordings and messages
        self.request_sent = request_sent


class Response(NamedTuple):
    """A complete response."""

    status: int
    headers: dict[str, str]  # by lower-case name
    body: bytes
    keep_alive: bool  # whether the connection can be reused


class ResponseMessage(Message):
    """The response that a client connection is receiving."""

    def __init__(self, connection: "ClientConnection", max_body_bytes: int) -> None:
        super().__init__(max_body_bytes)
        self.connection = connection

    def on_message_complete(self) -> None:
        """Pass the response to the connection."""
        self.connection.finish_response()


class ClientConnection(Stream):
    """A client's connection to a server, for one request at a time.

    A response with a body of more than `max_body_bytes` bytes fails its request.
    """

    def __init__(self, max_body_bytes: int = MAX_BODY_BYTES) -> None:
        super().__init__()
        self.max_received_bytes = max_body_bytes + MAX_HEAD_BYTES
        self.response_message = ResponseMessage(self, max_body_bytes)
        self.parser = httptools.HttpResponseParser(self.response_message)
        # The response to the current request; None if no request is pending.
        self.pending_response: asyncio.Future[Response] | None = None
        self.request_sent = False  # whether the current request was written to the transport
        self.keep_alive = True
        self.received_bytes = 0  # bytes received since the start of the current request

    @property
    def usable(self) -> bool:
        """Whether the connection can carry another request."""
        return self.keep_alive and self.transport is not None and not self.transport.is_closing()

    async def send_request(
        self, method: str, path: str, headers: Sequence[Header], body: bytes, deadline: float
    ) -> Response:
        """Send a request and return its response; raises RequestFailedError.

        `deadline` is a time of the event loop's clock, in seconds.
        """
        loop = asyncio.get_running_loop()
        self.request_sent = False
        self.received_bytes = 0
        self.pending_response = loop.create_future()
        if body:
            headers = [*headers, ("content-length", str(len(body)))]
        self.request_sent = self.send(encode_message(f"{method} {path} HTTP/1.1", headers, body))
        timer = loop.call_at(deadline, self.time_out)
        try:
            return await self.pending_response
        finally:
            timer.cancel()
            self.pending_response = None

    def time_out(self) -> None:
        """Fail the request and abort the connection at the deadline."""
        self.fail_request(RequestOutcome.TIMED_OUT)
        self.abort("late")

    def fail_request(self, outcome: RequestOutcome) -> None:
        """Fail the pending request, if any, and mark the connection as not reusable."""
        self.keep_alive = False
        if self.pending_response is not None and not self.pending_response.done():
            self.pending_response.set_exception(RequestFailedError(outcome, self.request_sent))

    def received(self, data: bytes) -> None:
        """Parse the response.

        Data without a pending request aborts the connection: the data would otherwise be taken for
        the response to the next request.
        """
        self.received_bytes += len(data)
        if (
            self.pending_response is None
            or self.received_bytes > self.max_received_bytes
            or feed_parser(self.parser, data) is not None
        ):
            self.fail_request(RequestOutcome.BROKEN)
            self.abort("not HTTP")

    def finish_response(self) -> None:
        """Complete the pending request with the parsed response; skip informational responses."""
        status = self.parser.get_status_code()
        if status < FIRST_FINAL_STATUS:
            return
        self.keep_alive = self.keep_alive and self.parser.should_keep_alive()
        if self.pending_response is not None and not self.pending_response.done():
            body = bytes(self.response_message.body)
            self.pending_response.set_result(
                Response(status, self.response_message.headers, body, self.keep_alive)
            )
        if not self.keep_alive:
            self.close()

    def ended(self, reason: str) -> None:
        """Fail the pending request when the connection ends."""
        self.fail_request(RequestOutcome.BROKEN)


async def connect(
    loop: asyncio.AbstractEventLoop,
    address: tuple[str, int],
    deadline: float,
    local_address: str | None = None,
    max_body_bytes: int = MAX_BODY_BYTES,
) -> ClientConnection:
    """Open a connection to the host and port `address`, from `local_address` if given.

    `max_body_bytes` limits the body of each response. `deadline` is a time of the event loop's
    clock, in seconds. Raises RequestFailedError.
    """
    try:
        opening = loop.create_connection(
            lambda: ClientConnection(max_body_bytes),
            *address,
            local_addr=(local_address, 0) if local_address else None,
        )
        _, connection = await with_timeout(max(0.0, deadline - loop.time()), opening)
        return connection
    except TimeoutError:
        raise RequestFailedError(RequestOutcome.TIMED_OUT, False) from None
    except OSError as error:
        outcome = RequestOutcome.UNREACHABLE
        if is_local_shortage(error):
            outcome = RequestOutcome.DENIED
        raise RequestFailedError(outcome, False) from None
