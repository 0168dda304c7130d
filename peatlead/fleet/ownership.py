"""Decides which controller owns a proxy. No I/O and no clock.

Every controller ranks the live controllers for a proxy by rendezvous hashing (Thaler, Ravishankar
1998) with bounded loads. The owner is the first controller by rank that is neither draining nor
full. The controllers do not run a consensus protocol: they may disagree for a while, and the proxy
itself fences off former owners. A proxy follows one stream and accepts only updates of the newest
epoch that it has seen. A controller that admits a proxy assigns the epoch after the newest one
that the proxy reports, so the epochs of a proxy only increase.

A controller that does not own a connecting proxy redirects the proxy to its owner. The controller
admits the proxy nevertheless if the proxy reports that it could not reach the owner, or was
redirected too often. The rate of admissions is limited. Proxies keep their tables while they wait.
"""

from collections.abc import Collection, Iterable, Mapping
from enum import StrEnum
from random import Random
from typing import NamedTuple, Optional, TypedDict

from blake3 import blake3

MAX_HOPS = 2  # a proxy that was redirected this often is admitted by any controller
MAX_LOAD_RATIO = 1.25  # a controller is full at this multiple of the mean load
LOAD_ALLOWANCE = 4  # proxies that a controller may have beyond `MAX_LOAD_RATIO`
REDIRECT_FRACTION = 0.05  # of a controller's proxies, redirected per second at most
REDIRECT_INTERVAL = 0.2  # seconds between batches of redirects
DRAIN_SPEEDUP = 5  # factor of the redirect rate of a draining controller
SETTLE_DELAY = 3.0  # seconds without a membership change before proxies are redirected
UNREACHABLE_REPORT_LIFETIME = 5.0  # seconds that a proxy's report of unreachable controllers counts
ADMISSION_BURST = 50  # admissions before the rate limit applies
MAX_JITTER = 1.5  # factor of the mean delay until a proxy that has to wait connects again
MIN_JITTER = 0.5


class AdmissionReason(StrEnum):
    """Why a proxy was admitted or not; a proxy that is not admitted receives the text."""

    OWNED_BY_OTHER = "another's by rank"
    PACED = "paced"
    OWNED = "ours by rank"
    OWNER_UNREACHABLE = "its owner is out of reach"


class AdmissionDecision(NamedTuple):
    """The decision on a proxy that has connected to this controller."""

    owner: str  # name of the controller that should own the proxy
    admitted: bool  # whether this controller admits the proxy
    retry_delay: float  # seconds to wait before connecting again; 0 if admitted or redirected
    reason: AdmissionReason


class ControllerStatus(NamedTuple):
    """The state of a live controller that ownership depends on."""

    load: int  # connected proxies
    draining: bool


class ReportedUnreachable(NamedTuple):
    """The controllers that a proxy reported as unreachable when it was admitted."""

    reported_at: float
    controllers: tuple[str, ...]


UNKNOWN_CONTROLLER = ControllerStatus(0, False)  # status of a controller not known to be live


def rendezvous_score(proxy: str, controller: str) -> bytes:
    """Returns the rendezvous hash of a proxy and a controller."""
    return blake3(proxy.encode() + b"\0" + controller.encode()).digest(8)


def rank_controllers(proxy: str, controllers: Iterable[str]) -> list[str]:
    """Returns the controllers for a proxy, best first; the order is the same everywhere."""
    return sorted(controllers, key=lambda name: (rendezvous_score(proxy, name), name), reverse=True)


class Ownership:
    """Ownership of proxies as one controller sees it.

    `own_name`: the name of this controller. `max_admission_rate`: admissions per second after a
    burst of `ADMISSION_BURST`.
    """

    def __init__(self, own_name: str, max_admission_rate: float, rng: Random) -> None:
        self.own_name = own_name
        self.max_admission_rate = max_admission_rate
        self.rng = rng
        self.controllers: dict[
            str, ControllerStatus
        ] = {}  # live controllers by name, including this one
        # When a controller last joined, left or changed its draining state.
        self.membership_changed_at = 0.0
        self.draining = False  # whether this controller redirects all its proxies to others
        self.epochs: dict[str, int] = {}  # by connected proxy
        self.unreachable_reports: dict[str, ReportedUnreachable] = {}  # by connected proxy
        self.admission_tokens = float(ADMISSION_BURST)  # token bucket of the admission rate
        self.tokens_refilled_at = 0.0  # when the token bucket was last refilled
        self.next_redirects_at = 0.0

    def update_controllers(self, now: float, controllers: Mapping[str, ControllerStatus]) -> None:
        """Sets the controllers that are live now, including this controller."""
        if controllers.keys() != self.controllers.keys() or any(
            controllers[name].draining != self.controllers[name].draining for name in controllers
        ):
            self.membership_changed_at = now
        self.controllers = dict(controllers)

    # New proxies.

    def find_owner(self, proxy: str, unreachable_controllers: Collection[str] = ()) -> str:
        """Returns the owner of a new proxy: the first by rank that is neither draining nor full.

        If all are full, the owner is the first by rank that is not draining.
        """
        ranked = [
            name
            for name in rank_controllers(proxy, self.controllers)
            if name not in unreachable_controllers
        ] or [self.own_name]
        total_load = sum(status.load for status in self.controllers.values()) + 1
        max_load = total_load / max(1, len(self.controllers)) * MAX_LOAD_RATIO + LOAD_ALLOWANCE
        accepting = [name for name in ranked if not self._status(name).draining]
        for name in accepting:
            if self._status(name).load < max_load:
                return name
        return (accepting or ranked)[0]

    def _status(self, name: str) -> ControllerStatus:
        return self.controllers.get(name, UNKNOWN_CONTROLLER)

    def admit(
        self,
        now: float,
        proxy: str,
        last_epoch: int,
        hops: int = 0,
        unreachable_controllers: Collection[str] = (),
    ) -> AdmissionDecision:
        """Decides on a proxy that has connected; an admitted proxy gets a new epoch.

        `last_epoch`: the newest epoch that the proxy or this controller knows of; the new epoch is
        greater. `hops`: how often the proxy was redirected. `unreachable_controllers`: the
        controllers that the proxy could not reach.
        """
        owner = self.find_owner(proxy, unreachable_controllers)
        if owner != self.own_name and hops < MAX_HOPS and owner in self.controllers:
            return AdmissionDecision(owner, False, 0.0, AdmissionReason.OWNED_BY_OTHER)
        if not self._take_token(now):
            # All proxies of a failed controller connect at once; jitter spreads their retries.
            retry_delay = (
                self.rng.uniform(MIN_JITTER, MAX_JITTER) * ADMISSION_BURST / self.max_admission_rate
            )
            return AdmissionDecision(self.own_name, False, retry_delay, AdmissionReason.PACED)
        self.epochs[proxy] = max(last_epoch, self.epochs.get(proxy, 0)) + 1
        self.unreachable_reports[proxy] = ReportedUnreachable(now, tuple(unreachable_controllers))
        owned = owner == self.own_name
        reason = AdmissionReason.OWNED if owned else AdmissionReason.OWNER_UNREACHABLE
        return AdmissionDecision(self.own_name, True, 0.0, reason)

    def _take_token(self, now: float) -> bool:
        """Refills the token bucket and takes a token; returns False if the bucket is empty."""
        refilled = self.admission_tokens + (now - self.tokens_refilled_at) * self.max_admission_rate
        self.admission_tokens = min(float(ADMISSION_BURST), refilled)
        self.tokens_refilled_at = now
        if self.admission_tokens < 1:
            return False
        self.admission_tokens -= 1
        return True

    # Connected proxies.

    def forget_proxy(self, proxy: str) -> None:
        """Forgets a proxy that has disconnected."""
        self.epochs.pop(proxy, None)
        self.unreachable_reports.pop(proxy, None)

    def due_redirects(self, now: float) -> list[tuple[str, str]]:
        """Returns the proxies to redirect now, as (proxy, new owner) pairs.

        Each call returns a limited number of proxies, and none until the membership has been
        stable for `SETTLE_DELAY`. A draining controller does not wait for a stable membership.
        """
        if now < self.next_redirects_at or not self.epochs:
            return []
        if not self.draining and now - self.membership_changed_at < SETTLE_DELAY:
            return []
        self.next_redirects_at = now + REDIRECT_INTERVAL
        limit = self._redirect_limit()
        redirects: list[tuple[str, str]] = []
        for proxy in sorted(self.epochs):
            owner = self.preferred_owner(proxy)
            if owner == self.own_name or self._reported_unreachable(now, proxy, owner):
                continue
            redirects.append((proxy, owner))
            if len(redirects) >= limit:
                break
        return redirects

    def _redirect_limit(self) -> int:
        """Returns the maximum number of proxies in one batch of redirects."""
        speedup = DRAIN_SPEEDUP if self.draining else 1
        return max(1, round(len(self.epochs) * REDIRECT_FRACTION * REDIRECT_INTERVAL * speedup))

    def _reported_unreachable(self, now: float, proxy: str, owner: str) -> bool:
        """Returns whether the proxy has recently reported that it could not reach the owner."""
        report = self.unreachable_reports.get(proxy)
        return (
            report is not None
            and owner in report.controllers
            and now - report.reported_at < UNREACHABLE_REPORT_LIFETIME
        )

    def preferred_owner(self, proxy: str) -> str:
        """Returns the controller that should own a proxy that is connected to this controller.

        The proxy stays here if the first controller by rank is full; otherwise two full
        controllers could redirect the proxy to each other again and again. A draining controller
        chooses the first other controller that is not full, or else the least loaded one.
        """
        ranked = [
            name
            for name in rank_controllers(proxy, self.controllers)
            if not self.controllers[name].draining
        ]
        if self.draining:
            ranked = [name for name in ranked if name != self.own_name]
        if not ranked:
            return self.own_name
        max_load = (
            sum(status.load for status in self.controllers.values()) / len(ranked) * MAX_LOAD_RATIO
        )
        if not self.draining:
            return ranked[0] if self.controllers[ranked[0]].load < max_load else self.own_name
        for name in ranked:
            if self.controllers[name].load < max_load:
                return name
        return min(ranked, key=lambda name: self.controllers[name].load)


class Fence(NamedTuple):
    """The fencing token of a proxy, which rejects updates of former owners."""

    newest_version: tuple[int, int] = (0, 0)  # greatest (epoch, serial) that the proxy has seen

    def allows(self, epoch: int, serial: int) -> bool:
        """Returns whether an update is newer than all earlier ones."""
        return (epoch, serial) > self.newest_version

    def after_update(self, epoch: int, serial: int) -> "Fence":
        """Returns the fence after an update with this epoch and serial."""
        return Fence(max(self.newest_version, (epoch, serial)))


class OwnershipReport(TypedDict):
    """The ownership of one proxy, as shown to operators."""

    proxy: str
    rank: list[str]  # controllers, best first
    owner: str
    here: bool  # whether the proxy is connected to this controller
    epoch: Optional[int]  # None if the proxy is not connected to this controller
    since: Optional[float]  # seconds since the proxy connected to this controller


def explain_ownership(
    ownership: Ownership, proxy: str, joined_at: Optional[float], now: float
) -> OwnershipReport:
    """Returns a proxy's ownership for operators.

    `joined_at`: when the proxy connected to this controller, None if it is not connected.
    """
    return {
        "proxy": proxy,
        "rank": rank_controllers(proxy, ownership.controllers),
        "owner": ownership.find_owner(proxy),
        "here": proxy in ownership.epochs,
        "epoch": ownership.epochs.get(proxy),
        "since": None if joined_at is None else now - joined_at,
    }
