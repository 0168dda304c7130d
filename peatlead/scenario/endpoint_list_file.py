"""The endpoint list of a day: a JSON file that lags behind the fleet and can be made wrong.

Keys of the file are the format that `peatlead.sources` reads; keys of fault maps are the fields of
the day script's verbs.
"""

import os
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any, NamedTuple, Protocol

import msgspec

OLD_VERSIONS = 5  # how many versions `list_old` goes back
GHOST_WEIGHT = 4.0

Entry = dict[str, Any]  # an endpoint in the file


class RowRecorder(Protocol):
    """What keeps the rows of `peatlead.invariants.record.ROWS`."""

    def row(self, kind: str, at: float, *fields: Any) -> None:
        """Keep one row."""

    def close(self) -> None:
        """Complete the recording."""


class Contents(NamedTuple):
    """What one version of the file says."""

    endpoints: list[Entry]
    version: int


class ListFault(NamedTuple):
    """How a file is wrong: its contents in place of the right ones, and whether it is cut short."""

    apply: Callable[[Contents], Contents]
    torn: bool = False


class EndpointListFile:
    """The known endpoints, and the file that lists them, with a fault or without.

    Each write is recorded as a row `list`, which says whether the file was right: the checker
    holds nobody to a wrong list.
    """

    def __init__(self, path: Path, now: Callable[[], float], record: RowRecorder) -> None:
        self.path = Path(path)
        self.now = now  # the day's clock, in seconds
        self.record = record
        self.endpoints: dict[str, Entry] = {}  # by name
        self.version = 0
        self.fault: ListFault | None = None

    def put(self, plan: dict[str, Any], phase: str, started: float) -> None:
        """Set the entry of an endpoint; the file has it from the next `write`."""
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
        self.record.row("list", self.now(), contents.version, listed, self.fault is None)

    def _write_file(self, contents: Contents) -> None:
        document = {
            "version": contents.version,
            "written": self.now(),
            "scope": "whole",
            "hosts": contents.endpoints,
        }
        data = msgspec.json.encode(document)
        if self.fault is not None and self.fault.torn:
            self.path.write_bytes(data[: len(data) * 2 // 3])
            return
        temporary = self.path.with_name(self.path.name + ".new")
        temporary.write_bytes(data)
        os.replace(temporary, self.path)

    def begin(self, verb: str, parameters: dict[str, Any], rng: Random) -> None:
        """Make the file wrong until `end`. `verb` is one of those that start with `list_`."""
        match verb:
            case "list_empty":
                self.fault = ListFault(lambda contents: Contents([], contents.version))
            case "list_torn":
                self.fault = ListFault(lambda contents: contents, torn=True)
            case "list_old":
                self.fault = self._outdated()
            case "list_shrunk":
                self.fault = self._incomplete(parameters["part"], rng)
            case _:
                self.fault = self._with_ghosts(parameters["ghosts"])
        self.write()

    def end(self) -> None:
        """Make the file right again."""
        self.fault = None
        self.write()

    def _outdated(self) -> ListFault:
        """All endpoints as ready, under an older version."""
        ready = [dict(entry, phase="ready") for entry in self.endpoints.values()]
        old = Contents(ready, max(0, self.version - OLD_VERSIONS))
        return ListFault(lambda contents: old)

    def _incomplete(self, fraction: float, rng: Random) -> ListFault:
        """Without some of the endpoints that are known now."""
        missing = {name for name in sorted(self.endpoints) if rng.random() < fraction}

        def apply(contents: Contents) -> Contents:
            listed = [entry for entry in contents.endpoints if entry["name"] not in missing]
            return Contents(listed, contents.version)

        return ListFault(apply)

    def _with_ghosts(self, count: int) -> ListFault:
        """With endpoints that do not exist."""
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
