"""Which controller owns a proxy, and whose updates the proxy follows. Pure: no I/O, no clock.

Every controller ranks the live ones for a proxy by rendezvous hashing (Thaler, Ravishankar 1998)
with bounded loads: the first that is neither draining nor full owns it. There is no consensus
between them. What makes an owner effective is a fencing token at the proxy: it follows one
stream, and takes only updates of the newest epoch it has seen. A controller that admits a proxy
gives it the epoch after the newest that the proxy reports, so epochs never go back, whatever the
controllers believe of each other.

A controller that is not the owner redirects the proxy, unless the proxy reports that it could not
reach the owner, or was redirected too often. Admissions are paced; proxies keep their tables
meanwhile.
"""

from collections.abc import Collection, Iterable, Mapping
from enum import StrEnum
from random import Random
from typing import NamedTuple, Optional, TypedDict

from blake3 import blake3

MAX_HOPS = 2  # a proxy redirected this often is admitted wherever it arrives
LOAD_BOUND = 1.25  # a controller is full at this much of the mean load ...
LOAD_SLACK = 4  # ... and this many proxies more
REDIRECT_FRACTION = (
    0.05  # of its proxies that a controller redirects in a second, once another should own them
)
REDIRECT_INTERVAL = 0.2  # seconds between batches of redirects
DRAIN_SPEEDUP = 5  # a draining controller redirects this many times as fast
SETTLE_TIME = 3.0  # seconds without a membership change before proxies are moved for balance
UNREACHABLE_TIME = 5.0  # seconds that a proxy's report of unreachable controllers holds
ADMISSION_BURST = 50  # admissions at once before they are paced
MAX_JITTER = 1.5  # a paced proxy waits the time of one burst, times 0.5 to 1.5
MIN_JITTER = 0.5


class AdmissionReason(StrEnum):
    """Why a proxy was admitted or not; the text is sent to refused proxies."""

    OWNED_BY_OTHER = "another's by rank"
    PACED = "paced"
    OWNED = "ours by rank"
    OWNER_UNREACHABLE = "its owner is out of reach"


class AdmissionDecision(NamedTuple):
    """What to do with a proxy that has connected."""

    owner: str  # name of the controller that should have it
    admitted: bool  # whether this controller admits it
    retry_delay: (
        float  # seconds until it should connect again; 0 where it is admitted or redirected
    )
    reason: AdmissionReason


class ControllerStatus(NamedTuple):
    """What ownership depends on, of one live controller."""

    load: int  # connected proxies
    draining: bool


class ReportedUnreachable(NamedTuple):
    """Controllers that a proxy could not reach, when it was admitted."""

    at: float
    names: tuple[str, ...]


UNKNOWN_CONTROLLER = ControllerStatus(
    0, False
)  # assumed of a controller that is not known to be live


def score(proxy: str, controller: str) -> bytes:
    """The rendezvous hash of a pair."""
    return blake3(proxy.encode() + b"\0" + controller.encode()).digest(8)


def rank_controllers(proxy: str, names: Iterable[str]) -> list[str]:
    """The controllers for a proxy, best first: the same order on each of them."""
    return sorted(names, key=lambda name: (score(proxy, name), name), reverse=True)


class Ownership:
    """One controller's part. `joins_rate`: admissions a second after a burst of `JOIN_BURST`."""

    def __init__(self, me: str, max_admission_rate: float, rng: Random) -> None:
        self.me = me
        self.max_admission_rate = max_admission_rate
        self.rng = rng
        self.controllers: dict[str, ControllerStatus] = {}  # this controller included
        self.changed_at = 0.0  # when a controller last came, went or changed its draining
        self.draining = False  # whether this controller hands over all its proxies
        self.epochs: dict[str, int] = {}  # given to each connected proxy
        self.unreachable: dict[str, ReportedUnreachable] = {}  # by connected proxy
        self.tokens = float(ADMISSION_BURST)  # token bucket of admissions
        self.tokens_at = 0.0  # when it was last refilled
        self.next_redirects_at = 0.0

    def update_controllers(self, now: float, controllers: Mapping[str, ControllerStatus]) -> None:
        """All controllers that live now, this one included."""
        if controllers.keys() != self.controllers.keys() or any(
            controllers[name].draining != self.controllers[name].draining for name in controllers
        ):
            self.changed_at = now
        self.controllers = dict(controllers)

    # New proxies.

    def owner_of(self, proxy: str, unreachable_controllers: Collection[str] = ()) -> str:
        """The controller for a new proxy: the first by rank that is neither draining nor full."""
        order = [
            name
            for name in rank_controllers(proxy, self.controllers)
            if name not in unreachable_controllers
        ] or [self.me]
        total = sum(status.load for status in self.controllers.values()) + 1
        capacity = total / max(1, len(self.controllers)) * LOAD_BOUND + LOAD_SLACK
        accepting = [name for name in order if not self._status(name).draining]
        for name in accepting:
            if self._status(name).load < capacity:
                return name
        return (accepting or order)[0]

    def _status(self, name: str) -> ControllerStatus:
        return self.controllers.get(name, UNKNOWN_CONTROLLER)

    def admit(
        self,
        now: float,
        proxy: str,
        seen: int,
        hops: int = 0,
        unreachable_controllers: Collection[str] = (),
    ) -> AdmissionDecision:
        """Decides on a proxy that has connected; an admitted one gets an epoch past `seen`.

        `hops`: how often it was redirected. `avoid`: controllers that it could not reach.
        """
        owner = self.owner_of(proxy, unreachable_controllers)
        if owner != self.me and hops < MAX_HOPS and owner in self.controllers:
            return AdmissionDecision(owner, False, 0.0, AdmissionReason.OWNED_BY_OTHER)
        if not self._take_token(now):
            # All proxies of a dead controller come at once: jitter spreads them out.
            retry_delay = (
                self.rng.uniform(MIN_JITTER, MAX_JITTER) * ADMISSION_BURST / self.max_admission_rate
            )
            return AdmissionDecision(self.me, False, retry_delay, AdmissionReason.PACED)
        self.epochs[proxy] = max(seen, self.epochs.get(proxy, 0)) + 1
        self.unreachable[proxy] = ReportedUnreachable(now, tuple(unreachable_controllers))
        owned = owner == self.me
        reason = AdmissionReason.OWNED if owned else AdmissionReason.OWNER_UNREACHABLE
        return AdmissionDecision(self.me, True, 0.0, reason)

    def _take_token(self, now: float) -> bool:
        refilled = self.tokens + (now - self.tokens_at) * self.max_admission_rate
        self.tokens = min(float(ADMISSION_BURST), refilled)
        self.tokens_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    # Connected proxies.

    def forget(self, proxy: str) -> None:
        """Forgets a proxy that has disconnected."""
        self.epochs.pop(proxy, None)
        self.unreachable.pop(proxy, None)

    def due_redirects(self, now: float) -> list[tuple[str, str]]:
        """The (proxy, new owner) pairs to redirect now.

        A few at a time, and only while the membership is stable; a draining controller doesn't
        wait for that.
        """
        if now < self.next_redirects_at or not self.epochs:
            return []
        if not self.draining and now - self.changed_at < SETTLE_TIME:
            return []
        self.next_redirects_at = now + REDIRECT_INTERVAL
        limit = self._redirect_limit()
        redirects: list[tuple[str, str]] = []
        for proxy in sorted(self.epochs):
            owner = self.preferred_owner(proxy)
            if owner == self.me or self._could_not_reach(now, proxy, owner):
                continue
            redirects.append((proxy, owner))
            if len(redirects) >= limit:
                break
        return redirects

    def _redirect_limit(self) -> int:
        speedup = DRAIN_SPEEDUP if self.draining else 1
        return max(1, round(len(self.epochs) * REDIRECT_FRACTION * REDIRECT_INTERVAL * speedup))

    def _could_not_reach(self, now: float, proxy: str, owner: str) -> bool:
        """Whether the proxy would only come back, as it could not reach its owner just now."""
        report = self.unreachable.get(proxy)
        return report is not None and owner in report.names and now - report.at < UNREACHABLE_TIME

    def preferred_owner(self, proxy: str) -> str:
        """The controller that should have a proxy which is connected to this one.

        It stays while its owner is only a little over the mean load, or two full controllers
        would redirect it to each other.
        """
        order = [
            name
            for name in rank_controllers(proxy, self.controllers)
            if not self.controllers[name].draining
        ]
        if self.draining:
            order = [name for name in order if name != self.me]
        if not order:
            return self.me
        bound = sum(status.load for status in self.controllers.values()) / len(order) * LOAD_BOUND
        if not self.draining:
            return order[0] if self.controllers[order[0]].load < bound else self.me
        for name in order:
            if self.controllers[name].load < bound:
                return name
        return min(order, key=lambda name: self.controllers[name].load)


class Fence(NamedTuple):
    """A proxy's own rule for which updates it follows."""

    newest: tuple[int, int] = (0, 0)  # the greatest (epoch, serial) it has seen

    def allows(self, epoch: int, serial: int) -> bool:
        """Whether an update is newer than all before."""
        return (epoch, serial) > self.newest

    def advanced_to(self, epoch: int, serial: int) -> "Fence":
        """The fence after an update was seen."""
        return Fence(max(self.newest, (epoch, serial)))


class OwnershipReport(TypedDict):
    """An operator's view of one proxy."""

    proxy: str
    rank: list[str]  # controllers, best first
    owner: str
    here: bool  # whether it is connected to this controller
    epoch: Optional[int]
    since: Optional[float]  # seconds connected


def explain_ownership(
    ownership: Ownership, proxy: str, joined_since: Optional[float], now: float
) -> OwnershipReport:
    """Explains a proxy's ownership; `joined_since`: when it connected to this controller."""
    return {
        "proxy": proxy,
        "rank": rank_controllers(proxy, ownership.controllers),
        "owner": ownership.owner_of(proxy),
        "here": proxy in ownership.epochs,
        "epoch": ownership.epochs.get(proxy),
        "since": None if joined_since is None else now - joined_since,
    }
