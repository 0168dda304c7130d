"""Assigns numbers to listed endpoints and translates endpoint lists into planner events."""

from collections.abc import Callable, Iterable
from typing import NamedTuple, Optional

from .. import interface
from ..sources.endpoint_list import EndpointList, ListedEndpoint

UNKNOWN_AGE = 1e6  # seconds; assumed for endpoints on the first list without a start time


class ProcessStart(NamedTuple):
    """When an endpoint's process started, in seconds on the list's and on the loop's clock."""

    listed_start: float
    local_start: float


class EndpointRegistry:
    """Maps the names of endpoints to the numbers that the planner uses.

    A number is never reused, because commands refer to endpoints by number. `zones` and `machines`
    are names in the order of the settings. With `assume_old`, an endpoint whose start is unknown
    counts as old whenever it is first listed. `compute_age` returns the seconds since a Unix time,
    for lists whose own timestamp is not comparable with the start times.
    """

    def __init__(
        self,
        zones: Iterable[str],
        log: Callable[..., None],
        machines: Iterable[str] = (),
        assume_old: bool = False,
        compute_age: Optional[Callable[[float], float]] = None,
    ) -> None:
        self.zones = {zone: number for number, zone in enumerate(zones)}
        self.machines = {machine: number for number, machine in enumerate(machines)}
        self.log = log
        self.numbers: dict[str, int] = {}  # by endpoint name
        self.entries: dict[int, ListedEndpoint] = {}  # latest list entry, by endpoint number
        self.process_starts: dict[str, ProcessStart] = {}
        self.list_received = False  # whether a list has ever arrived
        self.assume_old = assume_old
        self.compute_age = compute_age
        self.next_number = 0

    def endpoint_update(self, endpoint_list: EndpointList, now: float) -> interface.EndpointUpdate:
        """Return the planner's event for a list; entries of unknown zones are omitted."""
        endpoints = []
        for entry in endpoint_list.endpoints:
            zone = self.zones.get(entry.zone)
            if zone is None:
                self.log_unknown_zone(entry)
                continue
            endpoints.append(self.register(entry, zone, endpoint_list.written, now))
        self.list_received = (
            self.list_received or endpoint_list.scope != interface.ListScope.UNAVAILABLE
        )
        return interface.EndpointUpdate(
            endpoint_list.scope, endpoint_list.version, tuple(endpoints)
        )

    def register(
        self, entry: ListedEndpoint, zone: int, written: float, now: float
    ) -> interface.Endpoint:
        """Store an entry, with a new number if its name is new, and return the endpoint."""
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
            started_at=self.local_start_time(entry, written, now),
        )

    def log_unknown_zone(self, entry: ListedEndpoint) -> None:
        """Log an entry whose zone is not in the settings."""
        reason = f"zone {entry.zone!r} is not in the settings"
        self.log("list entry left out", host=entry.name, why=reason)

    def local_start_time(self, entry: ListedEndpoint, written: float, now: float) -> float:
        """Return when an endpoint's process started, in seconds on the controller's clock.

        Of the list, only the difference between `written` and the entry's start time is used, so
        the list may use any clock. A process keeps the start time that is computed from the first
        list that names it; otherwise each new list would shift the start time.
        """
        start = self.process_starts.get(entry.name)
        if start is None or start.listed_start != entry.started:
            start = ProcessStart(entry.started, now - self.initial_age(entry, written))
            self.process_starts[entry.name] = start
        return start.local_start

    def initial_age(self, entry: ListedEndpoint, written: float) -> float:
        """Return the age in seconds of a process that is listed for the first time."""
        if written > 0 and entry.started > 0:
            if self.compute_age is not None:
                return self.compute_age(entry.started)
            return max(0.0, written - entry.started)
        return UNKNOWN_AGE if self.assume_old or not self.list_received else 0.0

    def forget_endpoint(self, number: int) -> None:
        """Drop an endpoint that is in no table; if it is listed again, it gets a new number."""
        entry = self.entries.pop(number)
        del self.numbers[entry.name]
        self.process_starts.pop(entry.name, None)
