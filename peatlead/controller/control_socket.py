"""The operators' socket: one question a line as JSON over TCP, one answer a line, and a feed.

    {"ask": "answer", "view": NAME, "service": LABEL}
    {"ask": "status"}
    {"ask": "feed"}
    {"ask": "drained", "host": NAME}
    {"ask": "why", "host": NAME}
    {"ask": "fleet", "do": "status|drain|undrain|why", "host": PROXY}
    {"ask": "tables", "do": "log|show|diff|pin|resume|status|ends", "args": {...}}

The feed reports each message that is sent to a view or proxy.
"""

import asyncio
from collections.abc import Callable, Mapping
from typing import Any

import msgspec

from ..net.streams import ConnectionSet, Lines, within

CONNECTIONS_LIMIT = 64  # operators' connections at a time
IDLE_SECONDS = 3600.0  # until a silent connection is closed
QUESTION_BYTES = 65536  # the longest question
WAITING_BYTES = 8 << 20  # output that may wait for a slow reader; more ends the connection
ANSWER_BYTES = 64 << 20  # the longest answer that a client reads
DEFAULT_DEADLINE = 2.0  # seconds until a client gives up
FEED = "feed"

Answer = dict[str, Any]
"""An answer to an operator: encoded as JSON."""


class Question(msgspec.Struct):
    """One question; which fields count depends on `ask`."""

    ask: str
    view: str = ""
    service: str = ""
    host: str = ""
    do: str = ""
    args: dict[str, str | float | bool | None] = {}


Handler = Callable[[Question], Answer]
"""Answers one kind of question."""


def encode_line(message: Answer) -> bytes:
    """Encode an answer as one line."""
    return msgspec.json.encode(message) + b"\n"


class OperatorConnection(Lines):
    """One operator's connection."""

    def __init__(self, control: "ControlSocket") -> None:
        super().__init__(IDLE_SECONDS, QUESTION_BYTES, WAITING_BYTES)
        self._control = control

    def opened(self) -> None:
        """Count the connection."""
        self._control.connections.add(self)

    def ended(self, reason: str) -> None:
        """Forget the connection."""
        self._control.connections.drop(self)
        self._control.feeds.pop(self, None)

    def line(self, data: bytes) -> None:
        """Answer a question."""
        try:
            question = msgspec.json.decode(data, type=Question)
        except msgspec.MsgspecError as error:
            self._answer({"error": f'expected a question such as {{"ask": "status"}}: {error}'})
            return
        if question.ask == FEED:
            self._control.feeds[self] = True
            self._answer({"feed": "begun"})
        else:
            self._answer(self._control.reply(question))

    def _answer(self, message: Answer) -> None:
        self.send(encode_line(message))


class ControlSocket:
    """Listens for operators and passes their questions on.

    `has_time()` says whether there is time for one more question; orders, which have a `do`, are
    always taken. A feed whose reader is too slow is cut.
    """

    def __init__(self, has_time: Callable[[], bool], handlers: Mapping[str, Handler]) -> None:
        self._has_time = has_time
        self._handlers = handlers  # by the question's `ask`
        self.connections = ConnectionSet(CONNECTIONS_LIMIT)
        self.feeds: dict[OperatorConnection, bool] = {}  # used as an ordered set
        self._server: asyncio.Server | None = None

    async def open(self, address: tuple[str, int]) -> None:
        """Start to listen. Raises OSError."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: OperatorConnection(self), *address)

    def reply(self, question: Question) -> Answer:
        """Answer a question; what cannot be answered is said under the key `error`."""
        handler = self._handlers.get(question.ask)
        if handler is None:
            expected = ", ".join(sorted([*self._handlers, FEED]))
            return {"error": f"expected ask to be one of {expected}"}
        if not question.do and not self._has_time():
            return {"error": "more questions than there is time for: ask again in a second"}
        return handler(question)

    def publish(self, message: Answer) -> None:
        """Send a message to all that follow the feed."""
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


class ControlClient(Lines):
    """The client's side: sends one question and gives each line of the answer to `take`."""

    def __init__(self, question: object, take: Callable[[bytes], None]) -> None:
        super().__init__(waiting_most=QUESTION_BYTES, longest=ANSWER_BYTES)
        self._question = question
        self._take = take
        self.over: asyncio.Future[str] = asyncio.get_running_loop().create_future()

    def opened(self) -> None:
        """Send the question."""
        self.send(msgspec.json.encode(self._question) + b"\n")

    def line(self, data: bytes) -> None:
        """Pass a line on."""
        self._take(data)

    def ended(self, reason: str) -> None:
        """Complete `over` with the reason."""
        if not self.over.done():
            self.over.set_result(reason)


async def ask_once(
    address: tuple[str, int], question: object, deadline: float = DEFAULT_DEADLINE
) -> Answer:
    """Ask one question and return the answer. Raises OSError or asyncio.TimeoutError."""
    answer: Answer = await within(deadline, _ask(address, question))
    return answer


async def _ask(address: tuple[str, int], question: object) -> Answer:
    loop = asyncio.get_running_loop()
    answer: asyncio.Future[Answer] = loop.create_future()

    def take(data: bytes) -> None:
        if not answer.done():
            answer.set_result(msgspec.json.decode(data))

    def connection_ended(over: asyncio.Future[str]) -> None:
        if not answer.done():
            reason = over.result()
            answer.set_exception(OSError(f"the steward ended the connection: {reason}"))

    _, stream = await loop.create_connection(lambda: ControlClient(question, take), *address)
    stream.over.add_done_callback(connection_ended)
    try:
        return await answer
    finally:
        stream.close()
