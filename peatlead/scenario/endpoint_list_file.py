"""The endpoint list of a day: a JSON file that lags behind the fleet and can be made wrong.

The file has the format that `peatlead.sources` reads. Parameters of list faults are the fields of
their builtins in day scripts.
"""

import os
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any, NamedTuple, Protocol

import msgspec

OUTDATED_VERSION_LAG = 5  # how many versions an outdated list is behind the current list
GHOST_WEIGHT = 4.0  # weight of a listed endpoint that does not exist

Entry = dict[str, Any]  # an endpoint in the file


class RowRecorder(Protocol):
    """Records rows of the kinds in `peatlead.invariants.record.ROWS`."""

    def write_row(self, kind: str, at: float, *fields: Any) -> None:
        """Record a row."""

    def close(self) -> None:
        """Close the recording."""


class Contents(NamedTuple):
    """The contents of one version of the file."""

    endpoints: list[Entry]
    version: int


class ListFault(NamedTuple):
    """A fault of the file, which replaces its contents and may truncate the written data."""

    apply: Callable[[Contents], Contents]
    truncated: bool = False


class EndpointListFile:
    """The known endpoints, and the file that lists them.

    Each write is recorded as a row `list`, which also states whether the list was correct. The
    checker does not require controllers to follow an incorrect list.
    """

    def __init__(self, path: Path, now: Callable[[], float], recorder: RowRecorder) -> None:
        self.path = Path(path)
        self.now = now  # returns the time in seconds
        self.recorder = recorder
        self.endpoints: dict[str, Entry] = {}  # by name
        self.version = 0
        self.fault: ListFault | None = None

    def set_entry(self, plan: dict[str, Any], phase: str, started: float) -> None:
        """Set the entry of an endpoint, which the next `write` writes to the file."""
        self.endpoints[plan["name"]] = {
            "name": plan["name"],
            "address": plan["address"],
            "zone": plan["zone"],
            "pod": plan["pod"],
            "machine": f"cores{plan['cores']}",
            "weight": float(plan["cores"]),
            "phase": phase,
            "started": started,
        }

    def write(self) -> None:
        """Write the next version of the file and record it."""
        self.version += 1
        contents = Contents(list(self.endpoints.values()), self.version)
        if self.fault is not None:
            contents = self.fault.apply(contents)
        self._write_file(contents)
        listed = {
            entry["name"]: [entry["address"], entry["phase"], entry.get("started", 0.0)]
            for entry in contents.endpoints
        }
        self.recorder.write_row("list", self.now(), contents.version, listed, self.fault is None)

    def _write_file(self, contents: Contents) -> None:
        document = {
            "version": contents.version,
            "written": self.now(),
            "scope": "whole",
            "hosts": contents.endpoints,
        }
        data = msgspec.json.encode(document)
        if self.fault is not None and self.fault.truncated:
            self.path.write_bytes(data[: len(data) * 2 // 3])
            return
        temporary = self.path.with_name(self.path.name + ".new")
        temporary.write_bytes(data)
        os.replace(temporary, self.path)

    def begin_fault(self, verb: str, parameters: dict[str, Any], rng: Random) -> None:
        """Make the file wrong until `end_fault`.

        `verb` is the name of a builtin of day scripts, which starts with `list_`.
        """
        match verb:
            case "list_empty":
                self.fault = ListFault(lambda contents: Contents([], contents.version))
            case "list_torn":
                self.fault = ListFault(lambda contents: contents, truncated=True)
            case "list_old":
                self.fault = self._outdated_list()
            case "list_shrunk":
                self.fault = self._incomplete_list(parameters["part"], rng)
            case _:
                self.fault = self._list_with_ghosts(parameters["ghosts"])
        self.write()

    def end_fault(self) -> None:
        """End the fault and write the correct contents."""
        self.fault = None
        self.write()

    def _outdated_list(self) -> ListFault:
        """Return a fault that lists all current endpoints as ready, with an older version."""
        ready = [dict(entry, phase="ready") for entry in self.endpoints.values()]
        outdated = Contents(ready, max(0, self.version - OUTDATED_VERSION_LAG))
        return ListFault(lambda contents: outdated)

    def _incomplete_list(self, fraction: float, rng: Random) -> ListFault:
        """Return a fault that omits a random fraction of the current endpoints."""
        omitted = {name for name in sorted(self.endpoints) if rng.random() < fraction}

        def apply(contents: Contents) -> Contents:
            listed = [entry for entry in contents.endpoints if entry["name"] not in omitted]
            return Contents(listed, contents.version)

        return ListFault(apply)

    def _list_with_ghosts(self, count: int) -> ListFault:
        """Return a fault that adds endpoints that do not exist."""
        zones = sorted({entry["zone"] for entry in self.endpoints.values()})
        ghosts = [
            {
                "name": f"ghost{number}",
                "address": f"127.66.0.{number + 1}",
                "zone": zones[number % len(zones)],
                "phase": "ready",
                "weight": GHOST_WEIGHT,
            }
            for number in range(count)
        ]
        return ListFault(lambda contents: Contents(contents.endpoints + ghosts, contents.version))
