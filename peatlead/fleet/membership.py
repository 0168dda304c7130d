"""Failure detection between the controllers of a fleet. No I/O and no clock.

The caller passes a random number generator and the time.

The algorithm is SWIM (Das, Gupta, Motivala 2002) with its suspicion mechanism. A member pings one
other member at a time, in an order that is shuffled for each round. If a member answers neither
the ping nor the indirect pings of two helpers, it is suspected. A suspected member is declared
dead unless it refutes the suspicion in time by raising its incarnation. Probes carry facts about
members (`member_table`).

The entry point is `Membership.decide(now, events) -> actions`.
"""

from collections.abc import Iterable
from random import Random
from typing import NamedTuple, Optional

import msgspec

from .member_table import MAX_FACTS, MAX_MEMBERS, Member, MemberTable, StateChanged
from .messages import (
    Ack,
    Address,
    IndirectPing,
    MemberInfo,
    MembershipMessage,
    MemberState,
    Ping,
)

__all__ = [
    "Ack",
    "DatagramReceived",
    "IndirectPing",
    "Leave",
    "LocalStatus",
    "Member",
    "MemberInfo",
    "MemberState",
    "Membership",
    "Ping",
    "SendDatagram",
    "StateChanged",
    "Tick",
]

MAX_HELPERS = 2  # members asked for an indirect ping (k in the SWIM paper)
STALL_INTERVALS = 3  # probe intervals without a tick after which this process counts as stalled
RELAY_TIMEOUTS = 3  # helpers wait this multiple of the ack timeout for the answer to their ping
INDIRECT_TIMEOUTS = 2  # multiple of the ack timeout for an indirect answer, which travels twice
MAX_INCARNATION = 1 << 62  # greater than every incarnation in use


class DatagramReceived(NamedTuple):
    """Event: a message of another member has arrived from `address`."""

    address: Address
    message: MembershipMessage


class Tick(NamedTuple):
    """Event: time has passed; expected several times per probe interval."""


class LocalStatus(NamedTuple):
    """Event: the status of this member that the others should know."""

    load: int  # connected proxies
    draining: bool


class Leave(NamedTuple):
    """Event: this member stops, and tells the others that it leaves."""


class SendDatagram(NamedTuple):
    """Action: send the message to `address`."""

    address: Address
    message: MembershipMessage


Event = DatagramReceived | Tick | LocalStatus | Leave
Action = SendDatagram | StateChanged


class Probe(NamedTuple):
    """A ping that must be answered before `deadline`."""

    name: str  # of the pinged member
    indirect: bool  # whether other members have been asked to ping this member too
    deadline: float


class Relay(NamedTuple):
    """A ping that was sent for another member; the answer is forwarded to `requester`."""

    requester: Address
    number: int  # of the requester's `IndirectPing`
    deadline: float


class Membership:
    """The failure detector of one member.

    `seeds`: addresses to ping while no live member has them. `probe_interval`: seconds
    between probes. `ack_timeout`: seconds to wait for an answer. `suspicion_timeout`: seconds that
    a suspected member has to refute the suspicion (see `MemberTable`).
    """

    def __init__(
        self,
        own_info: MemberInfo,
        seeds: Iterable[Address],
        rng: Random,
        probe_interval: float = 0.3,
        ack_timeout: float = 0.15,
        suspicion_timeout: float = 1.0,
    ) -> None:
        self.table = MemberTable(own_info, suspicion_timeout)
        self.seeds = [seed for seed in seeds if seed != own_info.address]
        self.rng = rng
        self.probe_interval = probe_interval
        self.ack_timeout = ack_timeout
        self.probe_queue: list[str] = []  # members to probe in this round, from last to first
        self.last_ping_number = 0
        self.probes: dict[int, Probe] = {}  # by ping number
        self.relays: dict[int, Relay] = {}  # by ping number
        self.next_probe_at = 0.0
        self.last_tick_at: Optional[float] = None
        self.now = 0.0
        self.actions: list[Action] = []

    @property
    def own_info(self) -> MemberInfo:
        """The fact about this member."""
        return self.table.own_info

    @property
    def members(self) -> dict[str, Member]:
        """All known members by name, including dead and departed ones."""
        return self.table.members

    def live_members(self) -> dict[str, MemberInfo]:
        """Returns the members that are alive or suspected, sorted by name."""
        return self.table.live_members()

    def decide(self, now: float, events: Iterable[Event]) -> list[Action]:
        """Handles the events in order and returns the actions to carry out.

        `now`: seconds of a monotonic clock.
        """
        self.now = now
        self.actions = []
        for event in events:
            self._handle(event)
        return self.actions

    def _handle(self, event: Event) -> None:
        match event:
            case DatagramReceived(address, message):
                self._on_message(address, message)
            case Tick():
                self._on_tick()
            case LocalStatus(load, draining):
                self._on_status(load, draining)
            case Leave():
                self._on_leave()

    # Time.

    def _on_tick(self) -> None:
        if self._has_stalled():
            self._recover_from_stall()
        self.last_tick_at = self.now
        for number, probe in list(self.probes.items()):
            if self.now >= probe.deadline:
                self._on_probe_timeout(number, probe)
        self.relays = {
            number: relay for number, relay in self.relays.items() if self.now < relay.deadline
        }
        self.actions.extend(self.table.expire(self.now))
        if self.now >= self.next_probe_at:
            self.next_probe_at = self.now + self.probe_interval
            self._probe_next()
            self._ping_seed()

    def _has_stalled(self) -> bool:
        max_interval = STALL_INTERVALS * self.probe_interval
        return self.last_tick_at is not None and self.now - self.last_tick_at > max_interval

    def _recover_from_stall(self) -> None:
        """Cancels all probes, since their deadlines may have passed only because of the stall.

        Suspicions start again, and this member announces that it is alive.
        """
        self.probes = {}
        self.relays = {}
        self.table.restart_suspicions(self.now)
        self.table.refute(self.own_info.incarnation)

    # Probes.

    def _probe_next(self) -> None:
        """Pings the next member of the round; starts a new round when the last one is complete."""
        peer_names = self.table.live_peer_names()
        self.probe_queue = [name for name in self.probe_queue if name in peer_names]
        if not self.probe_queue:
            self.probe_queue = peer_names
            self.rng.shuffle(self.probe_queue)
        if not self.probe_queue:
            return
        name = self.probe_queue.pop()
        number = self._next_number()
        self.probes[number] = Probe(name, False, self.now + self.ack_timeout)
        self._send(self.members[name].info.address, Ping(number, self.table.next_facts()))

    def _ping_seed(self) -> None:
        """Pings one seed that is no live member's address, to join the fleet or end a partition."""
        live_addresses = {info.address for info in self.live_members().values()}
        missing_seeds = [seed for seed in self.seeds if seed not in live_addresses]
        if not missing_seeds:
            return
        number = self._next_number()
        seed = self.rng.choice(missing_seeds)
        facts = [self.own_info, *self.table.next_facts()[: MAX_FACTS - 1]]
        self._send(seed, Ping(number, facts))

    def _on_probe_timeout(self, number: int, probe: Probe) -> None:
        """Asks helpers to ping the member after a direct ping, else suspects the member."""
        del self.probes[number]
        member = self.live_members().get(probe.name)
        if member is None:
            return
        helpers = [name for name in self.table.live_peer_names() if name != probe.name]
        if helpers and not probe.indirect:
            self._probe_indirectly(number, member, helpers)
        elif member.state == MemberState.ALIVE:
            self._merge(msgspec.structs.replace(member, state=MemberState.SUSPECT))

    def _probe_indirectly(self, number: int, member: MemberInfo, helpers: list[str]) -> None:
        deadline = self.now + INDIRECT_TIMEOUTS * self.ack_timeout
        self.probes[number] = Probe(member.name, True, deadline)
        for helper in self.rng.sample(helpers, min(MAX_HELPERS, len(helpers))):
            request = IndirectPing(number, member.address, self.table.next_facts())
            self._send(self.members[helper].info.address, request)

    def _next_number(self) -> int:
        self.last_ping_number += 1
        return self.last_ping_number

    # Messages.

    def _on_message(self, address: Address, message: MembershipMessage) -> None:
        for info in message.facts[:MAX_FACTS]:
            self._merge(info)
        match message:
            case Ping():
                self._on_ping(address, message)
            case Ack():
                self._on_ack(message)
            case IndirectPing():
                self._on_indirect_ping(address, message)

    def _on_ping(self, address: Address, ping: Ping) -> None:
        senders = self.table.find_by_address(address)
        corrections = self._corrections(senders, ping.facts)
        facts = corrections + self.table.next_facts(include_disseminated=not senders)
        self._send(address, Ack(ping.number, facts[:MAX_FACTS]))

    @staticmethod
    def _corrections(senders: list[Member], facts: list[MemberInfo]) -> list[MemberInfo]:
        """Returns the facts about the sender of a ping that the sender has to refute.

        The sender has to refute a fact that does not say that the sender is alive. It also has to
        refute a fact from before its restart, whose incarnation is later than the reported one.
        """
        incarnations = {info.name: info.incarnation for info in facts}
        return [
            sender.info
            for sender in senders
            if sender.info.state != MemberState.ALIVE
            or incarnations.get(sender.info.name, MAX_INCARNATION) < sender.info.incarnation
        ]

    def _on_ack(self, ack: Ack) -> None:
        self.probes.pop(ack.number, None)
        relay = self.relays.pop(ack.number, None)
        if relay is not None:
            self._send(relay.requester, Ack(relay.number, self.table.next_facts()))

    def _on_indirect_ping(self, address: Address, request: IndirectPing) -> None:
        number = self._next_number()
        if len(self.relays) >= MAX_MEMBERS:
            return
        deadline = self.now + RELAY_TIMEOUTS * self.ack_timeout
        self.relays[number] = Relay(address, request.number, deadline)
        self._send(tuple(request.address), Ping(number, self.table.next_facts()))

    # This member.

    def _on_status(self, load: int, draining: bool) -> None:
        """Announces a changed status of this member, at its next incarnation."""
        if (load, draining) == (self.own_info.load, self.own_info.draining):
            return
        next_incarnation = self.own_info.incarnation + 1
        self.table.update_own_info(
            msgspec.structs.replace(
                self.own_info, load=load, draining=draining, incarnation=next_incarnation
            )
        )

    def _on_leave(self) -> None:
        next_incarnation = self.own_info.incarnation + 1
        self.table.update_own_info(
            msgspec.structs.replace(
                self.own_info, state=MemberState.LEFT, incarnation=next_incarnation
            )
        )
        for name in self.table.live_peer_names()[:MAX_FACTS]:
            self._send(self.members[name].info.address, Ping(0, [self.own_info]))

    # Actions.

    def _merge(self, info: MemberInfo) -> None:
        change = self.table.merge(self.now, info)
        if change is not None:
            self.actions.append(change)

    def _send(self, address: Address, message: MembershipMessage) -> None:
        self.actions.append(SendDatagram(tuple(address), message))
