"""The UDP socket of one controller for messages between the controllers of a fleet.

The socket carries membership messages, planners' advice, operators' pins and pin targets. This
module retransmits nothing: a sender whose message must arrive sends that message repeatedly.
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
REFUSAL_LOG_INTERVAL = 10.0  # seconds in which each reason of a refusal is logged once
MAX_REFUSALS_LOGGED = 10  # different reasons logged in an interval
MAX_ADVICE_SIZE = 1000  # bytes
MAX_ADVICE_RATE = 100  # accepted advice messages per window
ADVICE_WINDOW = 1.0  # seconds
# All counters except "bytes out" count datagrams; "notes" are accepted advice messages.
COUNTERS = ("in", "out", "bytes out", "refused", "unproven", "notes", "notes dropped")
CHALLENGE_PREFIX = b"prove"  # starts a body that carries a challenge, which the receiver echoes


class AdviceRateLimit:
    """Allows at most `MAX_ADVICE_RATE` advice messages in each window of `ADVICE_WINDOW`."""

    def __init__(self) -> None:
        self.remaining = MAX_ADVICE_RATE  # messages still allowed in the current window
        self.window_started_at = 0.0

    def allows(self, now: float) -> bool:
        """Returns whether another message is allowed; starts a new window when one is due."""
        if now - self.window_started_at >= ADVICE_WINDOW:
            self.remaining = MAX_ADVICE_RATE
            self.window_started_at = now
        return self.remaining > 0

    def count_accepted(self) -> None:
        """Counts an accepted message."""
        self.remaining -= 1


def ignore_message(*_: Any) -> None:
    """Default handler: ignores a message."""


class GossipNode(asyncio.DatagramProtocol):
    """The gossip endpoint of one controller.

    `settings`: the settings of the fleet. `own_settings`: this controller's entry in the settings.
    `boot`: 8 bytes that differ at each start of the process. `count_proxies()` returns the number
    of connected proxies. `log(event, **fields)` writes a log line.

    `on_advice(sender, payload)` handles a message of another controller's planner; `sender` is the
    index of that controller in the settings. `on_pins(payload)` handles operators' pins, and
    `on_pin_target(payload)` handles the table that a pin holds a proxy to.
    """

    def __init__(  # noqa: PLR0913 - each argument is a separate collaborator
        self,
        settings: Mapping[str, Any],
        own_settings: Mapping[str, Any],
        rng: Random,
        boot: bytes,
        count_proxies: Callable[[], int],
        log: Callable[..., None],
        on_advice: Callable[[int, bytes], None] = ignore_message,
        on_pins: Callable[[bytes], None] = ignore_message,
        on_pin_target: Callable[[bytes], None] = ignore_message,
    ) -> None:
        self.own_settings = own_settings
        self.count_proxies = count_proxies
        self.log = log
        self.on_advice = on_advice
        self.on_pins = on_pins
        self.on_pin_target = on_pin_target
        self.controller_indices = {
            controller["name"]: index for index, controller in enumerate(settings["steward"])
        }
        self.advice_limit = AdviceRateLimit()
        keys = [bytes.fromhex(key) for key in settings["fleet"]["keys"]]
        self.authenticator = Authenticator(keys, own_settings["name"], boot)
        self.membership = self._make_membership(settings, rng)
        self.ownership = Ownership(own_settings["name"], settings["fleet"]["joins_rate"], rng)
        # Names of members, by the address that their last datagram came from.
        self.names_by_address: dict[Address, str] = {}
        self.loop: asyncio.AbstractEventLoop
        self.transport: Optional[asyncio.DatagramTransport] = None
        self.tick_timer: Optional[asyncio.TimerHandle] = None
        self.counts = dict.fromkeys(COUNTERS, 0)
        # Reasons of refused datagrams that were logged in the current interval.
        self.logged_refusals: set[str] = set()
        self.refusals_logged_since = -REFUSAL_LOG_INTERVAL  # seconds

    def _make_membership(self, settings: Mapping[str, Any], rng: Random) -> Membership:
        name = self.own_settings["name"]
        seeds = [
            controller["peer"] for controller in settings["steward"] if controller["name"] != name
        ]
        proxy_address = self.own_settings["grpc"] or ()
        info = MemberInfo(name, self.own_settings["peer"], MemberState.ALIVE, 0, proxy_address)
        fleet_settings = settings["fleet"]
        return Membership(
            info,
            seeds,
            rng,
            fleet_settings["probe_every"],
            fleet_settings["probe_wait"],
            fleet_settings["suspect"],
        )

    # Opening and closing.

    async def open(self) -> None:
        """Binds the socket and starts probing. Raises OSError."""
        self.loop = asyncio.get_running_loop()
        await self.loop.create_datagram_endpoint(lambda: self, local_addr=self.own_settings["peer"])
        self._tick()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport; asyncio calls this when the socket is bound."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def leave(self) -> None:
        """Tells the other controllers that this controller stops, and closes the socket."""
        if self.transport is None:
            return
        self.handle_events([Leave()])
        if self.tick_timer is not None:
            self.tick_timer.cancel()
        self.transport.close()
        self.transport = None

    def error_received(self, exc: Exception) -> None:
        """Ignores a socket error: missing answers to pings show that a member is unreachable."""

    # Membership.

    def member_info(self, name: str) -> Optional[MemberInfo]:
        """Returns the newest fact about a live controller, None for an unknown or failed one."""
        return self.membership.live_members().get(name)

    def _tick(self) -> None:
        self.handle_events([LocalStatus(self.count_proxies(), self.ownership.draining), Tick()])
        self.tick_timer = self.loop.call_later(TICK_INTERVAL, self._tick)

    def handle_events(self, events: list[Event]) -> None:
        """Passes events to the membership, carries out its actions, and updates the ownership."""
        now = self.loop.time()
        for action in self.membership.decide(now, events):
            if isinstance(action, SendDatagram):
                self.send(action.address, msgspec.msgpack.encode(action.message))
            else:
                self.log(
                    "member state changed",
                    name=action.name,
                    before=action.old_state,
                    after=action.new_state,
                )
        live_members = self.membership.live_members()
        self.ownership.update_controllers(
            now,
            {
                name: ControllerStatus(info.load, info.draining)
                for name, info in live_members.items()
            },
        )

    # Sending.

    def broadcast_advice(self, payload: bytes) -> None:
        """Sends the planner's advice to all live controllers.

        A payload of more than `MAX_ADVICE_SIZE` bytes is dropped.
        """
        if len(payload) <= MAX_ADVICE_SIZE:
            self._broadcast(AdviceMessage(payload))

    def broadcast_pins(self, payload: bytes) -> None:
        """Sends operators' pins to all live controllers."""
        self._broadcast(PinsMessage(payload))

    def broadcast_pin_target(self, payload: bytes) -> None:
        """Sends the table that a pin holds a proxy to, to all live controllers."""
        self._broadcast(PinTargetMessage(payload))

    def _broadcast(self, message: Message) -> None:
        for name, info in self.membership.live_members().items():
            if name != self.own_settings["name"]:
                self.send(info.address, msgspec.msgpack.encode(message))

    def send(self, address: Address, body: bytes) -> None:
        """Authenticates a message body and sends it."""
        data = self.authenticator.seal(body, self.names_by_address.get(address, ""))
        self.counts["out"] += 1
        self.counts["bytes out"] += len(data)
        if self.transport is not None:
            self.transport.sendto(data, address)

    # Receiving.

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Opens and dispatches a datagram; asyncio calls this for each one."""
        self.counts["in"] += 1
        try:
            name, message = self._open(data, addr)
        except UnprovenSenderError as error:
            self.counts["unproven"] += 1
            self._challenge_sender(addr, error)
        except (AuthenticationError, msgspec.MsgspecError) as error:
            self._log_refusal(addr, str(error))
        else:
            if message is not None:
                self._dispatch(name, addr, message)

    def _open(self, data: bytes, address: Address) -> tuple[str, Optional[Message]]:
        """Returns the name of the sender and its message, None if the body is a challenge."""
        name, body = self.authenticator.open(data)
        if self.names_by_address.get(address) != name:
            other_addresses = {
                known_address: known_name
                for known_address, known_name in self.names_by_address.items()
                if known_name != name
            }
            self.names_by_address = {**other_addresses, address: name}
        if body.startswith(CHALLENGE_PREFIX):
            self.authenticator.store_challenge(name, body.removeprefix(CHALLENGE_PREFIX))
            return name, None
        return name, DECODER.decode(body)

    def _challenge_sender(self, address: Address, error: UnprovenSenderError) -> None:
        """Sends a challenge to an unproven sender, or stores the challenge that it has sent.

        All other content of an unproven sender is ignored. Its challenge is needed, because two
        controllers that are unproven to each other could otherwise never prove themselves.
        """
        self.names_by_address[address] = error.name
        if error.body.startswith(CHALLENGE_PREFIX):
            self.authenticator.store_challenge(
                error.name, error.body.removeprefix(CHALLENGE_PREFIX)
            )
        else:
            self.send(address, CHALLENGE_PREFIX + error.challenge)

    def _log_refusal(self, address: Address, reason: str) -> None:
        """Counts a refusal, and logs a few different reasons in each interval.

        Anyone can send datagrams, so that the reasons and their number are not this side's choice.
        """
        self.counts["refused"] += 1
        now = asyncio.get_running_loop().time()
        if now >= self.refusals_logged_since + REFUSAL_LOG_INTERVAL:
            self.refusals_logged_since = now
            self.logged_refusals = set()
        if reason in self.logged_refusals or len(self.logged_refusals) >= MAX_REFUSALS_LOGGED:
            return
        self.logged_refusals.add(reason)
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
        """Passes on advice, unless it exceeds a limit or the sender is not in the settings.

        Dropped advice is only counted: planners can do without it.
        """
        limit = self.advice_limit
        allowed = limit.allows(self.loop.time())
        if not allowed or len(payload) > MAX_ADVICE_SIZE or name not in self.controller_indices:
            self.counts["notes dropped"] += 1
            return
        limit.count_accepted()
        self.counts["notes"] += 1
        self.on_advice(self.controller_indices[name], payload)
