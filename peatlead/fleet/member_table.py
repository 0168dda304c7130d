"""The facts that one controller knows of all members of the fleet. No I/O and no clock.

This is the dissemination component of SWIM. Facts are ordered by incarnation and state. Each fact
is piggybacked on a limited number of messages; the facts that were sent least often go first.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from math import ceil, log2
from typing import NamedTuple, Optional

import msgspec

from .messages import Address, MemberInfo, MemberState

MAX_MEMBERS = 500
MAX_FACTS = 12  # maximum facts in one message; keeps a datagram below 1200 bytes
RETRANSMIT_FACTOR = 3  # a fact is sent at most this factor times log2(members) times
FORGET_DELAY = 60.0  # seconds; a dead or departed member is kept to recognize old facts

PRECEDENCE: dict[str, int] = {  # at the same incarnation, the greater value overrides the lower
    MemberState.ALIVE: 0,
    MemberState.SUSPECT: 1,
    MemberState.DEAD: 2,
    MemberState.LEFT: 3,
}
LIVE_STATES = (MemberState.ALIVE, MemberState.SUSPECT)
INACTIVE_STATES = (MemberState.DEAD, MemberState.LEFT)


class StateChanged(NamedTuple):
    """Action: the believed state of a member has changed; `old_state` is None for a new member."""

    name: str
    old_state: Optional[str]
    new_state: str


@dataclass(slots=True)
class Member:
    """One known member."""

    info: MemberInfo  # the newest fact about the member
    state_since: float  # when the state last changed
    times_sent: int = 0  # number of messages that carried the fact
    suspect_until: Optional[float] = None  # when a suspected member is declared dead


def overrides(new: MemberInfo, old: MemberInfo) -> bool:
    """Returns whether a fact replaces a known one: by incarnation, then by state precedence."""
    new_rank = new.incarnation, PRECEDENCE[new.state]
    old_rank = old.incarnation, PRECEDENCE[old.state]
    return new_rank > old_rank


class MemberTable:
    """All known members by name, including this one (`own_info`).

    `suspicion_timeout`: seconds until a suspected member is declared dead, in a fleet of up to
    four members; the time grows with the logarithm of the number of members.
    """

    def __init__(self, own_info: MemberInfo, suspicion_timeout: float) -> None:
        self.own_info = own_info
        self.members = {own_info.name: Member(own_info, 0.0)}
        self.suspicion_timeout = suspicion_timeout

    def live_members(self) -> dict[str, MemberInfo]:
        """Returns the members that are alive or suspected, sorted by name."""
        return {
            name: member.info
            for name, member in sorted(self.members.items())
            if member.info.state in LIVE_STATES
        }

    def live_peer_names(self) -> list[str]:
        """Returns the names of the live members except this one."""
        return [name for name in self.live_members() if name != self.own_info.name]

    def find_by_address(self, address: Address) -> list[Member]:
        """Returns the members with this gossip address, in any state."""
        return [member for member in self.members.values() if member.info.address == address]

    # Merging facts.

    def merge(self, now: float, info: MemberInfo) -> Optional[StateChanged]:
        """Stores a fact if it is newer than the known one; refutes a wrong fact about this member.

        Returns the change of the member's state, if any.
        """
        info = msgspec.structs.replace(
            info, address=tuple(info.address), proxy_address=tuple(info.proxy_address)
        )
        if info.name == self.own_info.name:
            self._refute_if_wrong(info)
            return None
        known_member = self.members.get(info.name)
        if known_member is None:
            return self._add(now, info)
        if not overrides(info, known_member.info):
            return None
        return self._replace(now, known_member, info)

    def _add(self, now: float, info: MemberInfo) -> Optional[StateChanged]:
        if len(self.members) >= MAX_MEMBERS or info.state in INACTIVE_STATES:
            return None
        member = Member(info, now)
        self.members[info.name] = member
        self._set_suspicion(now, member)
        return StateChanged(info.name, None, info.state)

    def _replace(
        self, now: float, known_member: Member, info: MemberInfo
    ) -> Optional[StateChanged]:
        old_state = known_member.info.state
        if old_state in INACTIVE_STATES and info.state == MemberState.SUSPECT:
            # A member that is suspected at a later incarnation than its death is alive again.
            info = msgspec.structs.replace(info, state=MemberState.ALIVE)
        known_member.info = info
        known_member.times_sent = 0
        self._set_suspicion(now, known_member)
        if info.state == old_state:
            return None
        known_member.state_since = now
        return StateChanged(info.name, old_state, info.state)

    # Suspicion.

    def suspicion_duration(self) -> float:
        """Returns the seconds until a suspected member is declared dead.

        The time grows with log2 of the number of members, as the time to disseminate a fact does.
        """
        return self.suspicion_timeout * max(1.0, log2(len(self.members)) / 2)

    def _set_suspicion(self, now: float, member: Member) -> None:
        """Starts the timeout of a suspected member, and clears the timeout of any other."""
        suspected = member.info.state == MemberState.SUSPECT
        member.suspect_until = now + self.suspicion_duration() if suspected else None

    def restart_suspicions(self, now: float) -> None:
        """Restarts the timeouts of all suspected members."""
        for member in self.members.values():
            if member.suspect_until is not None:
                member.suspect_until = now + self.suspicion_duration()

    def expire(self, now: float) -> Iterable[StateChanged]:
        """Declares suspects dead after their timeout; forgets members that died or left long ago.

        Yields the changes of state.
        """
        for member in list(self.members.values()):
            if member.suspect_until is not None and now >= member.suspect_until:
                dead = msgspec.structs.replace(member.info, state=MemberState.DEAD)
                change = self.merge(now, dead)
                if change is not None:
                    yield change
            elif member.info.state in INACTIVE_STATES and now - member.state_since > FORGET_DELAY:
                del self.members[member.info.name]

    # This member's own fact.

    def _refute_if_wrong(self, info: MemberInfo) -> None:
        """Refutes a received fact about this member if it is wrong and overrides its own fact."""
        declared_inactive = (
            info.state != MemberState.ALIVE and info.incarnation >= self.own_info.incarnation
        )
        if declared_inactive and self.own_info.state != MemberState.LEFT:
            self.refute(info.incarnation)
        elif info.incarnation > self.own_info.incarnation:
            # The fact dates from before a restart, in which this member lost its incarnation.
            self.refute(info.incarnation)

    def refute(self, incarnation: int) -> None:
        """Declares this member alive, at an incarnation above `incarnation` and its own."""
        next_incarnation = max(incarnation, self.own_info.incarnation) + 1
        self.update_own_info(
            msgspec.structs.replace(
                self.own_info, incarnation=next_incarnation, state=MemberState.ALIVE
            )
        )

    def update_own_info(self, info: MemberInfo) -> None:
        """Replaces the fact about this member, and restarts its dissemination."""
        self.own_info = info
        member = self.members[info.name]
        member.info = info
        member.times_sent = 0

    # Dissemination.

    def next_facts(self, include_disseminated: bool = False) -> list[MemberInfo]:
        """Returns the facts for the next message: this member's own, then the least often sent.

        `include_disseminated`: whether to include facts that were already sent as often as the
        limit allows; a receiver that has just joined needs these facts too.
        """
        limit = RETRANSMIT_FACTOR * ceil(log2(len(self.members) + 1))
        pending = (
            candidate
            for candidate in self.members.values()
            if include_disseminated or candidate.times_sent < limit
        )
        chosen = sorted(pending, key=self._dissemination_order)[:MAX_FACTS]
        for member in chosen:
            member.times_sent += 1
        facts = [member.info for member in chosen]
        if not any(info.name == self.own_info.name for info in facts):
            return [self.own_info, *facts[: MAX_FACTS - 1]]
        return facts

    def _dissemination_order(self, member: Member) -> tuple[bool, int, str]:
        """Returns the sort key of a fact: this member's own first, then those sent least often."""
        name = member.info.name
        return name != self.own_info.name, member.times_sent, name
