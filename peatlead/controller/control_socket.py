"""The control socket for operators: JSON over TCP, with one question or answer per line.

    {"ask": "answer", "view": NAME, "service": LABEL}
    {"ask": "status"}
    {"ask": "feed"}
    {"ask": "drained", "host": NAME}
    {"ask": "why", "host": NAME}
    {"ask": "fleet", "do": "status|drain|undrain|why", "host": PROXY}
    {"ask": "tables", "do": "log|show|diff|pin|resume|status|ends", "args": {...}}

After the question `feed` the connection also receives a line for each message that leaves the
channel to a view or proxy.
"""

import asyncio
from collections.abc import Callable, Mapping
from typing import Any

import msgspec

from ..net.streams import ConnectionSet, LineStream, with_timeout

MAX_CONNECTIONS = 64
IDLE_TIMEOUT = 3600.0  # seconds until an idle connection is closed
MAX_QUESTION_BYTES = 65536
MAX_UNSENT_BYTES = 8 << 20  # queued output; a slow reader with more is disconnected
MAX_ANSWER_BYTES = 64 << 20  # largest answer that a client accepts
DEFAULT_TIMEOUT = 2.0  # seconds that a client waits for an answer
FEED = "feed"  # value of `ask` that subscribes a connection to the feed

Answer = dict[str, Any]
"""An answer to an operator, encoded as a JSON object."""


class Question(msgspec.Struct):
    """One question; `ask` determines which other fields are used."""

    ask: str
    view: str = ""
    service: str = ""
    host: str = ""
    do: str = ""
    args: dict[str, str | float | bool | None] = {}


Handler = Callable[[Question], Answer]
"""Returns the answer to a question; there is one handler for each value of `ask`."""


def encode_line(message: Answer) -> bytes:
    """Encode an answer as one line."""
    return msgspec.json.encode(message) + b"\n"


class OperatorConnection(LineStream):
    """One operator's connection."""

    def __init__(self, control_socket: "ControlSocket") -> None:
        super().__init__(IDLE_TIMEOUT, MAX_QUESTION_BYTES, MAX_UNSENT_BYTES)
        self._control_socket = control_socket

    def opened(self) -> None:
        """Register the connection."""
        self._control_socket.connections.add(self)

    def ended(self, reason: str) -> None:
        """Unregister the connection."""
        self._control_socket.connections.remove(self)
        self._control_socket.feeds.pop(self, None)

    def line_received(self, data: bytes) -> None:
        """Answer a question."""
        try:
            question = msgspec.json.decode(data, type=Question)
        except msgspec.MsgspecError as error:
            self._send_answer(
                {"error": f'expected a question such as {{"ask": "status"}}: {error}'}
            )
            return
        if question.ask == FEED:
            self._control_socket.feeds[self] = True
            self._send_answer({"feed": "begun"})
        else:
            self._send_answer(self._control_socket.reply(question))

    def _send_answer(self, message: Answer) -> None:
        self.send(encode_line(message))


class ControlSocket:
    """Listens for operators and passes their questions to handlers.

    `accepts_query()` returns whether there is time for another question. Questions with the field
    `do` are always accepted. A connection with a feed is closed if its reader is too slow.
    """

    def __init__(self, accepts_query: Callable[[], bool], handlers: Mapping[str, Handler]) -> None:
        self._accepts_query = accepts_query
        self._handlers = handlers  # by value of `ask`
        self.connections = ConnectionSet(MAX_CONNECTIONS)
        # Connections that receive the feed; used as an ordered set.
        self.feeds: dict[OperatorConnection, bool] = {}
        self._server: asyncio.Server | None = None

    async def open(self, address: tuple[str, int]) -> None:
        """Start to listen on an address. Raises OSError."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: OperatorConnection(self), *address)

    def reply(self, question: Question) -> Answer:
        """Return the answer to a question; a failure is reported under the key `error`."""
        handler = self._handlers.get(question.ask)
        if handler is None:
            expected = ", ".join(sorted([*self._handlers, FEED]))
            return {"error": f"expected ask to be one of {expected}"}
        if not question.do and not self._accepts_query():
            return {"error": "too many questions: ask again in a second"}
        return handler(question)

    def publish(self, message: Answer) -> None:
        """Send a message to all connections with a feed."""
        if not self.feeds:
            return
        line = encode_line(message)
        for connection in list(self.feeds):
            connection.send(line)

    def close(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        self.connections.close()


class ControlClient(LineStream):
    """The client's side: sends one question and passes each received line to `on_line`.

    `end_reason` is a future; its result is why the connection has ended.
    """

    def __init__(self, question: object, on_line: Callable[[bytes], None]) -> None:
        super().__init__(max_unsent_bytes=MAX_QUESTION_BYTES, max_line_bytes=MAX_ANSWER_BYTES)
        self._question = question
        self._on_line = on_line
        self.end_reason: asyncio.Future[str] = asyncio.get_running_loop().create_future()

    def opened(self) -> None:
        """Send the question."""
        self.send(msgspec.json.encode(self._question) + b"\n")

    def line_received(self, data: bytes) -> None:
        """Pass a received line to the callback."""
        self._on_line(data)

    def ended(self, reason: str) -> None:
        """Set the result of `end_reason`."""
        if not self.end_reason.done():
            self.end_reason.set_result(reason)


async def ask_once(
    address: tuple[str, int], question: object, timeout: float = DEFAULT_TIMEOUT
) -> Answer:
    """Ask one question and return the answer. Raises OSError or asyncio.TimeoutError.

    `timeout` is in seconds.
    """
    answer: Answer = await with_timeout(timeout, _ask(address, question))
    return answer


async def _ask(address: tuple[str, int], question: object) -> Answer:
    loop = asyncio.get_running_loop()
    answer: asyncio.Future[Answer] = loop.create_future()

    def set_answer(data: bytes) -> None:
        if not answer.done():
            answer.set_result(msgspec.json.decode(data))

    def connection_ended(closed: asyncio.Future[str]) -> None:
        if not answer.done():
            reason = closed.result()
            answer.set_exception(OSError(f"the controller ended the connection: {reason}"))

    _, stream = await loop.create_connection(lambda: ControlClient(question, set_answer), *address)
    stream.end_reason.add_done_callback(connection_ended)
    try:
        return await answer
    finally:
        stream.close()
