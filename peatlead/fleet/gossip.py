"""One member on its UDP socket: the machines of this package, driven by the loop."""

import asyncio

import msgspec

from .authentication import AuthenticationError, Authenticator, UnprovenSenderError
from .membership import (
    Ack,
    DatagramReceived,
    IndirectPing,
    Leave,
    LocalStatus,
    MemberInfo,
    Membership,
    Ping,
    SendDatagram,
    Tick,
)
from .ownership import Ownership

TICK = 0.05
NOTE_MOST, NOTES_MOST = 1000, 100  # bytes of a note; notes that are taken in within a second


class GossipMessage(msgspec.Struct, array_like=True, tag="Note"):
    """Advice from one member's planner to another's: what it says is the planner's matter."""

    payload: bytes


class PinsMessage(msgspec.Struct, array_like=True, tag="PinsTold"):
    """Operators' pins, as `tables.pins` writes them."""

    payload: bytes


class DrainRequestMessage(msgspec.Struct, array_like=True, tag="WishTold"):
    """What one proxy held before a pin, by a steward that owned it then."""

    payload: bytes


MESSAGES = msgspec.msgpack.Decoder(
    Ping | Ack | IndirectPing | GossipMessage | PinsMessage | DrainRequestMessage
)
PROVE = b"prove"


class GossipNode(asyncio.DatagramProtocol):
    """`mine()` gives how many proxies have joined; `log(event, **fields)`; `noted(sender, payload)` hears notes,
    the sender by its place in the settings; `pinned(payload)` hears pins,
    `wished(payload)` what others know of pinned proxies."""

    def __init__(
        self,
        settings,
        me,
        chance,
        boot,
        mine,
        log,
        noted=lambda sender, payload: None,
        pinned=lambda payload: None,
        wished=lambda payload: None,
    ):
        self.pinned, self.wished = pinned, wished
        self.settings, self.me, self.mine, self.log, self.noted = (
            settings["fleet"],
            me,
            mine,
            log,
            noted,
        )
        self.ranks = {one["name"]: at for at, one in enumerate(settings["steward"])}
        self.notes_left, self.notes_at = NOTES_MOST, 0.0
        keys = [bytes.fromhex(one) for one in self.settings["keys"]]
        self.seal = Authenticator(keys, me["name"], boot)
        seeds = [one["peer"] for one in settings["steward"] if one["name"] != me["name"]]
        about = MemberInfo(me["name"], me["peer"], "alive", 0, me["grpc"] or ())
        self.members = Membership(
            about,
            seeds,
            chance,
            self.settings["probe_every"],
            self.settings["probe_wait"],
            self.settings["suspect"],
        )
        self.ownership = Ownership(me["name"], self.settings["joins_rate"], chance)
        self.names, self.transport, self.timer = {}, None, None
        self.counts = {
            "in": 0,
            "out": 0,
            "bytes out": 0,
            "refused": 0,
            "unproven": 0,
            "notes": 0,
            "notes dropped": 0,
        }
        self.last_refusal = ""

    async def open(self):
        self.loop = asyncio.get_running_loop()
        await self.loop.create_datagram_endpoint(lambda: self, local_addr=self.me["peer"])
        self.tick()

    def connection_made(self, transport):
        self.transport = transport

    def tick(self):
        self.carry([LocalStatus(self.mine(), self.ownership.draining), Tick()])
        self.timer = self.loop.call_later(TICK, self.tick)

    def carry(self, events):
        now = self.loop.time()
        for order in self.members.decide(now, events):
            if type(order) is SendDatagram:
                self.send(order.address, msgspec.msgpack.encode(order.message))
            else:
                self.log("member", name=order.name, before=order.before, after=order.after)
        self.ownership.living(
            now, {name: (about.load, about.draining) for name, about in self.members.live().items()}
        )

    def send(self, address, body):
        data = self.seal.close(body, self.names.get(address, ""))
        self.counts["out"] += 1
        self.counts["bytes out"] += len(data)
        if self.transport is not None:
            self.transport.sendto(data, address)

    def datagram_received(self, data, address):
        self.counts["in"] += 1
        try:
            name, body = self.seal.open(data)
            if name not in self.names.values() or self.names.get(address) != name:
                self.names = {a: n for a, n in self.names.items() if n != name} | {address: name}
            if body.startswith(PROVE):
                self.seal.learn(name, body[len(PROVE) :])
                return
            message = MESSAGES.decode(body)
        except UnprovenSenderError as problem:
            self.counts["unproven"] += 1
            self.answer_unproven(address, problem)
            return
        except (AuthenticationError, msgspec.MsgspecError) as problem:
            self.counts["refused"] += 1
            if str(problem) != self.last_refusal:  # one line for a flood of the same
                self.last_refusal = str(problem)
                self.log("member message refused", address=str(address), why=str(problem))
            return
        if type(message) is GossipMessage:
            self.take_note(name, message.payload)
        elif type(message) is PinsMessage:
            self.pinned(message.payload)
        elif type(message) is DrainRequestMessage:
            self.wished(message.payload)
        else:
            self.carry([DatagramReceived(address, message)])

    def take_note(self, name, payload):
        """Past the most a second they are dropped and counted: advice that is lost costs little."""
        now = self.loop.time()
        if now - self.notes_at >= 1.0:
            self.notes_left, self.notes_at = NOTES_MOST, now
        if not self.notes_left or len(payload) > NOTE_MOST or name not in self.ranks:
            self.counts["notes dropped"] += 1
            return
        self.notes_left -= 1
        self.counts["notes"] += 1
        self.noted(self.ranks[name], payload)

    def tell(self, payload):
        """A note to all that live. None is repeated here: what must arrive is told again by who tells it."""
        if len(payload) <= NOTE_MOST:
            self.tell_all(GossipMessage(payload))

    def answer_unproven(self, address, problem):
        """Tell it the proof to repeat. What it says is not taken, but for a proof that it asks of us: two that
        are new to each other could never begin."""
        self.names[address] = problem.name
        if problem.body.startswith(PROVE):
            self.seal.learn(problem.name, problem.body[len(PROVE) :])
        else:
            self.send(address, PROVE + problem.proof)

    def tell_pins(self, payload):
        self.tell_all(PinsMessage(payload))

    def tell_wish(self, payload):
        self.tell_all(DrainRequestMessage(payload))

    def tell_all(self, message):
        for name, about in self.members.live().items():
            if name != self.me["name"]:
                self.send(about.address, msgspec.msgpack.encode(message))

    def about(self, name):
        return self.members.live().get(name)

    def leave(self):
        if self.transport is not None:
            self.carry([Leave()])
            self.timer.cancel()
            self.transport.close()
            self.transport = None

    def error_received(self, problem):
        pass  # nobody listens there: the probe goes unanswered, which says so
