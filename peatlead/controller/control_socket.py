"""Operators' questions: lines of JSON over TCP, one answer a line, and a feed of what is published.

{"ask": "answer", "view": NAME, "service": LABEL} | {"ask": "status"} | {"ask": "feed"}
{"ask": "drained", "host": NAME} | {"ask": "fleet", "do": "status|drain|undrain|why", "host": PROXY}
{"ask": "tables", "do": "log|show|diff|pin|resume|status", "args": {...}}
"""

import asyncio
from typing import Union

import msgspec

from ..net.streams import ConnectionSet, Lines, within

PEERS = 64
IDLE = 3600.0


class Question(msgspec.Struct):
    ask: str
    view: str = ""
    service: str = ""
    host: str = ""
    do: str = ""
    args: dict[str, Union[str, float, bool, None]] = {}


class Peer(Lines):
    def __init__(self, control):
        super().__init__(IDLE, 65536, 8 << 20)
        self.control = control

    def opened(self):
        self.control.held.add(self)

    def ended(self, reason):
        self.control.held.drop(self)
        self.control.feeds.pop(self, None)

    def line(self, data):
        try:
            question = msgspec.json.decode(data, type=Question)
        except msgspec.MsgspecError as problem:
            self.say({"error": f'expected a question such as {{"ask": "status"}}: {problem}'})
            return
        if question.ask == "feed":
            self.control.feeds[self] = True
            self.say({"feed": "begun"})
        else:
            self.say(self.control.reply(question))

    def say(self, what):
        self.send(msgspec.json.encode(what) + b"\n")


class Control:
    """`answers`: {ask: function of a Question that returns a map}; `takes()`: whether there is time for one more that
    only asks (what an operator orders is always taken). A feed that does not read is cut."""

    def __init__(self, takes, answers):
        self.takes, self.answers, self.held, self.feeds, self.server = (
            takes,
            answers,
            ConnectionSet(PEERS),
            {},
            None,
        )

    async def open(self, address):
        self.server = await asyncio.get_running_loop().create_server(lambda: Peer(self), *address)

    def reply(self, question):
        answer = self.answers.get(question.ask)
        if answer is None:
            return {
                "error": f"expected ask to be one of {', '.join(sorted([*self.answers, 'feed']))}"
            }
        if not question.do and not self.takes():
            return {"error": "more questions than there is time for: ask again in a second"}
        return answer(question)

    def publish(self, what):
        if self.feeds:
            line = msgspec.json.encode(what) + b"\n"
            for peer in list(self.feeds):
                peer.send(line)

    def close(self):
        if self.server is not None:
            self.server.close()
        self.held.close()


class Asking(Lines):
    """The other side: sends one question, gives each line to `take`."""

    def __init__(self, question, take):
        super().__init__(waiting_most=65536, longest=64 << 20)
        self.question, self.take, self.over = (
            question,
            take,
            asyncio.get_running_loop().create_future(),
        )

    def opened(self):
        self.send(msgspec.json.encode(self.question) + b"\n")

    def line(self, data):
        self.take(data)

    def ended(self, reason):
        if not self.over.done():
            self.over.set_result(reason)


async def ask_once(address, question, deadline=2.0):
    """The answer as a map. Raises OSError or asyncio.TimeoutError."""
    loop = asyncio.get_running_loop()
    found = loop.create_future()

    def take(data):
        if not found.done():
            found.set_result(msgspec.json.decode(data))

    async def go():
        _, stream = await loop.create_connection(lambda: Asking(question, take), *address)
        stream.over.add_done_callback(
            lambda over: found.done()
            or found.set_exception(OSError(f"the steward ended the connection: {over.result()}"))
        )
        try:
            return await found
        finally:
            stream.close()

    return await within(deadline, go())
