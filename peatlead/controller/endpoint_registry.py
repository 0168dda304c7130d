"""Assigns numbers to listed endpoints, and translates endpoint lists into the planner's events."""

from collections.abc import Callable, Iterable
from typing import NamedTuple, Optional

from .. import interface
from ..sources.endpoint_list import EndpointList, ListedEndpoint

UNKNOWN_AGE = 1e6  # seconds; the age of an endpoint on the first list where its start is unknown


class ProcessStart(NamedTuple):
    """When an endpoint's process started, by the clock of its list and by the controller's."""

    listed: float
    local: float


class EndpointRegistry:
    """Endpoints by name outside, by number inside.

    A number is never used again, since commands refer to endpoints by number. `zones` and
    `machines` are names in the order of the settings. With `unstarted_old`, an endpoint whose start
    is unknown counts as old whenever it is first listed. `age_of` returns the seconds since a Unix
    time, for lists whose own time is not comparable.
    """

    def __init__(
        self,
        zones: Iterable[str],
        log: Callable[..., None],
        machines: Iterable[str] = (),
        assume_old: bool = False,
        age_of: Optional[Callable[[float], float]] = None,
    ) -> None:
        self.zones = {zone: number for number, zone in enumerate(zones)}
        self.machines = {machine: number for number, machine in enumerate(machines)}
        self.log = log
        self.numbers: dict[str, int] = {}  # number of each name
        self.entries: dict[int, ListedEndpoint] = {}  # the last entry of each number
        self.starts: dict[str, ProcessStart] = {}
        self.list_received = False  # whether a list has ever arrived
        self.assume_old = assume_old
        self.age_of = age_of
        self.next_number = 0

    def endpoint_update(self, listing: EndpointList, now: float) -> interface.EndpointUpdate:
        """Return the planner's event for a list, without entries of unknown zones."""
        endpoints = []
        for entry in listing.hosts:
            zone = self.zones.get(entry.zone)
            if zone is None:
                self.log_unknown_zone(entry)
                continue
            endpoints.append(self.register(entry, zone, listing.written, now))
        self.list_received = self.list_received or listing.scope != interface.ListScope.UNAVAILABLE
        return interface.EndpointUpdate(listing.scope, listing.version, tuple(endpoints))

    def register(
        self, entry: ListedEndpoint, zone: int, written: float, now: float
    ) -> interface.Endpoint:
        """Store an entry, under a new number where its name is new, and return its event."""
        number = self.numbers.get(entry.name)
        if number is None:
            number = self.next_number
            self.numbers[entry.name] = number
            self.next_number += 1
        self.entries[number] = entry
        return interface.Endpoint(
            id=number,
            name=entry.name.encode(),
            zone=zone,
            machine_type=self.machines.setdefault(entry.machine, len(self.machines)),
            cell=entry.pod,
            phase=entry.phase,
            weight=entry.weight,
            started_at=self.started_at(entry, written, now),
        )

    def log_unknown_zone(self, entry: ListedEndpoint) -> None:
        """Log an entry whose zone the settings don't name."""
        why = f"zone {entry.zone!r} is not in the settings"
        self.log("list entry left out", host=entry.name, why=why)

    def started_at(self, entry: ListedEndpoint, written: float, now: float) -> float:
        """Return when an endpoint's process started, on the controller's clock.

        Only the difference of the list's two times is used: it holds whichever clock they are by. A
        process keeps the start that it was first seen with, or each new list would move it.
        """
        start = self.starts.get(entry.name)
        if start is None or start.listed != entry.started:
            start = ProcessStart(entry.started, now - self.age(entry, written))
            self.starts[entry.name] = start
        return start.local

    def age(self, entry: ListedEndpoint, written: float) -> float:
        """Return the age in seconds of a process that is seen for the first time."""
        if written > 0 and entry.started > 0:
            if self.age_of is not None:
                return self.age_of(entry.started)
            return max(0.0, written - entry.started)
        return UNKNOWN_AGE if self.assume_old or not self.list_received else 0.0

    def forget(self, number: int) -> None:
        """Drop an endpoint that is in no table any more; listed again, it gets a new number."""
        entry = self.entries.pop(number)
        del self.numbers[entry.name]
        self.starts.pop(entry.name, None)
