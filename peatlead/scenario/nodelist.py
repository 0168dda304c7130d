"""The stand-in node list: a JSON file that lags, and that can be made wrong."""

import os
from pathlib import Path

import msgspec


class NodeList:
    """What the list knows, and what it says while a fault is on. `now()` is the day's clock.

    `record(kind, at, ...)` gets a row for each list that told the truth as the list knows it, and for each
    that did not (`told` False: such a list binds nobody).
    """

    def __init__(self, path, now, record):
        self.path, self.now, self.record = Path(path), now, record
        self.hosts, self.version, self.fault = {}, 0, None

    def put(self, plan, phase, started):
        self.hosts[plan["name"]] = {
            "name": plan["name"],
            "address": plan["address"],
            "zone": plan["zone"],
            "pod": plan["pod"],
            "machine": f"cores{plan['cores']}",
            "weight": float(plan["cores"]),
            "phase": phase,
            "started": started,
        }

    def write(self):
        self.version += 1
        version = self.version
        hosts, truth = list(self.hosts.values()), True
        if self.fault is not None:
            hosts, truth, version = self.fault(hosts, version)
        data = msgspec.json.encode(
            {"version": version, "written": self.now(), "scope": "whole", "hosts": hosts}
        )
        torn = self.fault is not None and getattr(self.fault, "torn", False)
        if torn:
            self.path.write_bytes(data[: len(data) * 2 // 3])
        else:
            beside = self.path.with_name(self.path.name + ".new")
            beside.write_bytes(data)
            os.replace(beside, self.path)
        told = {
            one["name"]: [one["address"], one["phase"], one.get("started", 0.0)] for one in hosts
        }
        self.record.row("list", self.now(), version, told, truth and not torn)

    def begin(self, verb, trouble, chance):
        """Makes the list wrong until `end`."""
        if verb == "list_empty":
            fault = lambda hosts, version: ([], False, version)  # noqa: E731
        elif verb == "list_torn":
            fault = lambda hosts, version: (hosts, False, version)  # noqa: E731
            fault.torn = True
        elif verb == "list_old":
            old, at = (
                [dict(one, phase="ready") for one in self.hosts.values()],
                max(0, self.version - 5),
            )
            fault = lambda hosts, version: (old, False, at)  # noqa: E731
        elif verb == "list_shrunk":
            forgets = {name for name in sorted(self.hosts) if chance.random() < trouble["part"]}
            fault = lambda hosts, version: (  # noqa: E731
                [h for h in hosts if h["name"] not in forgets],
                False,
                version,
            )
        else:
            zones = sorted({one["zone"] for one in self.hosts.values()})
            ghosts = [
                {
                    "name": f"ghost{at}",
                    "address": f"127.66.0.{at + 1}",
                    "zone": zones[at % len(zones)],
                    "phase": "ready",
                    "weight": 4.0,
                }
                for at in range(trouble["ghosts"])
            ]
            fault = lambda hosts, version: (hosts + ghosts, False, version)  # noqa: E731
        self.fault = fault
        self.write()

    def end(self):
        self.fault = None
        self.write()
