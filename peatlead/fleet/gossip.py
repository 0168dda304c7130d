"""One controller's gossip endpoint: a UDP socket for membership and ownership.

Besides membership, it carries planners' advice, operators' pins and drain requests. None of these
is retransmitted here: what must arrive is sent again by whoever sends it.
"""

import asyncio
from collections.abc import Callable, Mapping
from random import Random
from typing import Any, Optional, cast

import msgspec

from .authentication import AuthenticationError, Authenticator, UnprovenSenderError
from .membership import (
    DatagramReceived,
    Event,
    Leave,
    LocalStatus,
    Membership,
    SendDatagram,
    Tick,
)
from .messages import (
    DECODER,
    Address,
    AdviceMessage,
    MemberInfo,
    MemberState,
    Message,
    PinsMessage,
    PinTargetMessage,
)
from .ownership import ControllerStatus, Ownership

TICK_INTERVAL = 0.05  # seconds
MAX_ADVICE_SIZE = 1000  # bytes
MAX_ADVICE_RATE = 100  # pieces of advice accepted in a second
ADVICE_WINDOW = 1.0  # seconds
COUNTERS = ("in", "out", "bytes out", "refused", "unproven", "notes", "notes dropped")  # datagrams
PROVE = b"prove"  # prefix of a body that asks the receiver to repeat the proof that follows


class AdviceLimit:
    """At most `MAX_ADVICE_RATE` pieces of advice in each window."""

    def __init__(self) -> None:
        self.left = MAX_ADVICE_RATE  # in the current window
        self.window_at = 0.0  # when the window began

    def allows(self, now: float) -> bool:
        """Whether one more is allowed; begins a new window where it is time."""
        if now - self.window_at >= ADVICE_WINDOW:
            self.left = MAX_ADVICE_RATE
            self.window_at = now
        return self.left > 0

    def count(self) -> None:
        """Counts an accepted one."""
        self.left -= 1


def ignore(*_: Any) -> None:
    """The handler of what nobody subscribed to."""


class GossipNode(asyncio.DatagramProtocol):
    """The endpoint of one controller.

    `settings`: of the whole fleet; `me`: this controller's part of them; `boot`: 8 bytes, new at
    each start. `count_proxies()` gives the number of connected proxies; `log(event, **fields)`
    writes a log line. `on_advice(sender, payload)` gets planners' advice, the sender by its
    position in the settings; `on_pins(payload)` and `on_drain_request(payload)` get these
    messages.
    """

    def __init__(  # noqa: PLR0913 - each is a collaborator of its own
        self,
        settings: Mapping[str, Any],
        me: Mapping[str, Any],
        rng: Random,
        boot: bytes,
        count_proxies: Callable[[], int],
        log: Callable[..., None],
        on_advice: Callable[[int, bytes], None] = ignore,
        on_pins: Callable[[bytes], None] = ignore,
        on_pin_target: Callable[[bytes], None] = ignore,
    ) -> None:
        self.me = me
        self.count_proxies = count_proxies
        self.log = log
        self.on_advice = on_advice
        self.on_pins = on_pins
        self.on_pin_target = on_pin_target
        self.controller_indices = {one["name"]: at for at, one in enumerate(settings["steward"])}
        self.advice_limit = AdviceLimit()
        keys = [bytes.fromhex(key) for key in settings["fleet"]["keys"]]
        self.authenticator = Authenticator(keys, me["name"], boot)
        self.membership = self._make_membership(settings, rng)
        self.ownership = Ownership(me["name"], settings["fleet"]["joins_rate"], rng)
        self.names: dict[Address, str] = {}  # members by the address of their last datagram
        self.loop: asyncio.AbstractEventLoop
        self.transport: Optional[asyncio.DatagramTransport] = None
        self.timer: Optional[asyncio.TimerHandle] = None
        self.counts = dict.fromkeys(COUNTERS, 0)
        self.last_refusal = ""

    def _make_membership(self, settings: Mapping[str, Any], rng: Random) -> Membership:
        name = self.me["name"]
        seeds = [one["peer"] for one in settings["steward"] if one["name"] != name]
        proxy_address = self.me["grpc"] or ()
        info = MemberInfo(name, self.me["peer"], MemberState.ALIVE, 0, proxy_address)
        timers = settings["fleet"]
        return Membership(
            info, seeds, rng, timers["probe_every"], timers["probe_wait"], timers["suspect"]
        )

    # The endpoint's life.

    async def open(self) -> None:
        """Binds the socket and starts probing."""
        self.loop = asyncio.get_running_loop()
        await self.loop.create_datagram_endpoint(lambda: self, local_addr=self.me["peer"])
        self._tick()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by asyncio once the socket is bound."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def leave(self) -> None:
        """Tells the others that this controller stops, and closes the socket."""
        if self.transport is None:
            return
        self.handle_events([Leave()])
        if self.timer is not None:
            self.timer.cancel()
        self.transport.close()
        self.transport = None

    def error_received(self, exc: Exception) -> None:
        """Ignored: nobody listens there, which its missing answer shows as well."""

    # Membership.

    def member_info(self, name: str) -> Optional[MemberInfo]:
        """What is known of a live controller."""
        return self.membership.live_members().get(name)

    def _tick(self) -> None:
        self.handle_events([LocalStatus(self.count_proxies(), self.ownership.draining), Tick()])
        self.timer = self.loop.call_later(TICK_INTERVAL, self._tick)

    def handle_events(self, events: list[Event]) -> None:
        """Hands events to the membership, carries out its actions, and updates the ownership."""
        now = self.loop.time()
        for action in self.membership.decide(now, events):
            if isinstance(action, SendDatagram):
                self.send(action.address, msgspec.msgpack.encode(action.message))
            else:
                self.log("member", name=action.name, before=action.before, after=action.after)
        live = self.membership.live_members()
        self.ownership.update_controllers(
            now,
            {name: ControllerStatus(info.load, info.draining) for name, info in live.items()},
        )

    # Sending.

    def broadcast_advice(self, payload: bytes) -> None:
        """Sends the planner's advice to all live controllers; too long a payload is dropped."""
        if len(payload) <= MAX_ADVICE_SIZE:
            self._broadcast(AdviceMessage(payload))

    def broadcast_pins(self, payload: bytes) -> None:
        """Sends operators' pins to all live controllers."""
        self._broadcast(PinsMessage(payload))

    def broadcast_pin_target(self, payload: bytes) -> None:
        """Sends a drain request to all live controllers."""
        self._broadcast(PinTargetMessage(payload))

    def _broadcast(self, message: Message) -> None:
        for name, info in self.membership.live_members().items():
            if name != self.me["name"]:
                self.send(info.address, msgspec.msgpack.encode(message))

    def send(self, address: Address, body: bytes) -> None:
        """Authenticates a message body and sends it."""
        data = self.authenticator.seal(body, self.names.get(address, ""))
        self.counts["out"] += 1
        self.counts["bytes out"] += len(data)
        if self.transport is not None:
            self.transport.sendto(data, address)

    # Receiving.

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Called by asyncio for each datagram."""
        self.counts["in"] += 1
        try:
            name, message = self._open(data, addr)
        except UnprovenSenderError as error:
            self.counts["unproven"] += 1
            self._answer_unproven(addr, error)
        except (AuthenticationError, msgspec.MsgspecError) as error:
            self._log_refusal(addr, str(error))
        else:
            if message is not None:
                self._dispatch(name, addr, message)

    def _open(self, data: bytes, address: Address) -> tuple[str, Optional[Message]]:
        """The sender and its message; no message where it only asked for a proof."""
        name, body = self.authenticator.open(data)
        if self.names.get(address) != name:
            others = {place: other for place, other in self.names.items() if other != name}
            self.names = {**others, address: name}
        if body.startswith(PROVE):
            self.authenticator.store_proof(name, body.removeprefix(PROVE))
            return name, None
        return name, DECODER.decode(body)

    def _answer_unproven(self, address: Address, error: UnprovenSenderError) -> None:
        """Asks a sender that is not known yet to prove itself.

        Nothing it sent is used but a proof that it asks for: two that are new to each other could
        never begin.
        """
        self.names[address] = error.name
        if error.body.startswith(PROVE):
            self.authenticator.store_proof(error.name, error.body.removeprefix(PROVE))
        else:
            self.send(address, PROVE + error.proof)

    def _log_refusal(self, address: Address, reason: str) -> None:
        self.counts["refused"] += 1
        if reason != self.last_refusal:  # one line for a flood of the same
            self.last_refusal = reason
            self.log("member message refused", address=str(address), why=reason)

    def _dispatch(self, name: str, address: Address, message: Message) -> None:
        match message:
            case AdviceMessage():
                self._on_advice(name, message.payload)
            case PinsMessage():
                self.on_pins(message.payload)
            case PinTargetMessage():
                self.on_pin_target(message.payload)
            case _:
                self.handle_events([DatagramReceived(address, message)])

    def _on_advice(self, name: str, payload: bytes) -> None:
        """Drops and counts what exceeds the rate: advice that is lost costs little."""
        limit = self.advice_limit
        allowed = limit.allows(self.loop.time())
        if not allowed or len(payload) > MAX_ADVICE_SIZE or name not in self.controller_indices:
            self.counts["notes dropped"] += 1
            return
        limit.count()
        self.counts["notes"] += 1
        self.on_advice(self.controller_indices[name], payload)
