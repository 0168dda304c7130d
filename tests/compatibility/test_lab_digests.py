"""Decisions stay equal: digests of what planners hear and order, over twenty short days of the lab.

The digests stand in tests/data/lab_digests.json. They hold no name of a type or field: an event or order counts as
its kind's place in the adapter below and its values, and a message of the planner's log in the wording of the version
that wrote the file. A change of names alone leaves them as they are. Where
decisions are meant to change, write them anew in the same commit and say there what changed:

    python -m tests.compatibility.test_lab_digests write
"""

import json
import os
import re
import subprocess
import sys
import unittest
from pathlib import Path
from unittest import mock

from blake3 import blake3

from peatlead import interface
from peatlead.lab import day as lab_day
from peatlead.lab.canonical_form import canonical_form
from peatlead.lab.day import play_day
from peatlead.lab.random_scenario import draw_scenario

# The adapter, with the imports above: all that is known here of names inside the program.

PLANNERS, PLANNER = lab_day.PLANNERS, "shards"
ORDERED_BY = "decide"  # the planner's method: (now, events) -> orders
KINDS = tuple(
    getattr(interface, name)
    for name in (  # places are for good: new kinds go to the end
        "Endpoint",
        "EndpointUpdate",
        "ProxyConnected",
        "ProxyDisconnected",
        "EndpointStats",
        "RequestStats",
        "HealthCheckResult",
        "Acknowledged",
        "TimerFired",
        "GossipReceived",
        "PlannerStatus",
        "KeyRangeAssigned",
        "KeyRangeEntry",
        "KeyRangeStats",
        "SetEntry",
        "ClearTable",
        "AssignTable",
        "WithdrawEndpoint",
        "SetAdmission",
        "RequestAcknowledgement",
        "CheckHealth",
        "FetchEndpoints",
        "WatchEndpoints",
        "SendGossip",
        "SetTimer",
        "LogMessage",
    )
)


# The pattern of each message of the planner's log, and the message in its recorded wording with the same values.
MESSAGES = (
    (r"admitted fractions by request class: (\[.*\])", r"levels \1"),
    (r"endpoint (\d+) traffic fraction set to (\S+)", r"host \1 reach \2"),
    (r"endpoint (\d+) ejected: failed health checks", r"host \1 dropped: probes"),
    (r"endpoint (\d+) ejected: high error rate", r"host \1 dropped: sums"),
    (
        r"path from zone (\d+) to zone (\d+) is slow, avoided for (\S+) s",
        r"way from zone \1 to \2 is bad, \3 s",
    ),
)


def recorded_text(text):
    """A message of the planner in its recorded wording; any other text unchanged."""
    for pattern, recorded in MESSAGES:
        match = re.fullmatch(pattern, text)
        if match:
            return match.expand(recorded)
    return text


def with_recorded_texts(commands):
    """The same commands, with log messages in their recorded wording."""
    return type(commands)(
        interface.LogMessage(recorded_text(command.text))
        if type(command) is interface.LogMessage
        else command
        for command in commands
    )


def recorded_canonical_form(commands):
    """What the lab puts into its digest of the day, with log messages in their recorded wording."""
    return canonical_form(with_recorded_texts(commands))


def play(kind, seed):
    """(the lab's own digest of the day, events in the world, what was found wrong)."""
    with mock.patch.object(lab_day, "canonical_form", recorded_canonical_form):
        played = play_day(draw_scenario(seed, kind, LENGTH), seed, PLANNER)
    return played.digest, played.event_count, played.problems


# The end of the adapter.

ROOT = Path(__file__).parents[2]
DATA = ROOT / "tests" / "data" / "lab_digests.json"
LENGTH = 4.0  # seconds of a day
DAYS = tuple((kind, seed) for kind in ("fleet", "dns") for seed in range(10))
FEW = (("fleet", 1), ("dns", 1))  # played in processes of their own, under two hash seeds


def plain(value):
    """A value without names: the kinds of the interface by their places."""
    kind = type(value)
    if kind in KINDS:
        return ("kind", KINDS.index(kind), *map(plain, tuple(value)))
    if kind in (tuple, list):
        return tuple(map(plain, value))
    if kind is dict:
        return ("map", *sorted((plain(key), plain(one)) for key, one in value.items()))
    if kind in (set, frozenset):
        return ("set", *sorted(map(plain, value)))
    if value is None or kind in (bool, int, float, str, bytes):
        return value
    raise TypeError(f"no plain form of {kind.__name__}")


def digests(kind, seed):
    """{"events", "orders": digests, "decides": how many, "day": the lab's own digest}."""
    events, orders, many = blake3(), blake3(), 0
    real = PLANNERS[PLANNER]

    def watched(facts, seed):
        planner = real(facts, seed)
        decide = getattr(planner, ORDERED_BY)

        def noted(now, heard):
            nonlocal many
            many += 1
            events.update(repr((now, plain(heard))).encode())
            ordered = decide(now, heard)
            orders.update(repr((now, plain(with_recorded_texts(ordered)))).encode())
            return ordered

        setattr(planner, ORDERED_BY, noted)
        return planner

    with mock.patch.dict(PLANNERS, {PLANNER: watched}):
        day, _, wrong = play(kind, seed)
    if wrong:
        raise AssertionError((kind, seed, wrong))
    return {
        "events": events.hexdigest(16),
        "orders": orders.hexdigest(16),
        "decides": many,
        "day": day,
    }


def write():
    DATA.parent.mkdir(exist_ok=True)
    found = {f"{kind} {seed}": digests(kind, seed) for kind, seed in DAYS}
    DATA.write_text(json.dumps({"length": LENGTH, "days": found}, indent=1) + "\n")


class Decisions(unittest.TestCase):
    def setUp(self):
        self.kept = json.loads(DATA.read_text())

    def test_twenty_days_of_the_lab_are_decided_as_they_were(self):
        self.assertEqual(self.kept["length"], LENGTH)
        self.assertEqual(list(self.kept["days"]), [f"{kind} {seed}" for kind, seed in DAYS])
        for kind, seed in DAYS:
            with self.subTest(kind=kind, seed=seed):
                self.assertEqual(digests(kind, seed), self.kept["days"][f"{kind} {seed}"])

    def test_digests_do_not_depend_on_the_hash_seed(self):
        wanted = {f"{kind} {seed}": self.kept["days"][f"{kind} {seed}"] for kind, seed in FEW}
        for hash_seed in ("1", "2"):
            said = subprocess.run(
                [sys.executable, "-m", "tests.compatibility.test_lab_digests", "few"],
                cwd=ROOT,
                check=True,
                capture_output=True,
                text=True,
                env={**os.environ, "PYTHONHASHSEED": hash_seed},
            ).stdout
            self.assertEqual(json.loads(said), wanted, hash_seed)

    def test_days_of_different_seeds_differ_and_all_have_decisions(self):
        days = self.kept["days"].values()
        self.assertEqual(len({one["orders"] for one in days}), len(DAYS))
        self.assertTrue(all(one["decides"] > 50 for one in days))

    def test_the_plain_form_holds_no_names(self):
        line = KINDS[14](1, 2, 0.5)
        self.assertEqual(
            plain([line, {"b": 1, "a": None}]),
            (("kind", 14, 1, 2, 0.5), ("map", ("a", None), ("b", 1))),
        )


if __name__ == "__main__":
    if sys.argv[1:] == ["write"]:
        write()
    elif sys.argv[1:] == ["few"]:
        print(json.dumps({f"{kind} {seed}": digests(kind, seed) for kind, seed in FEW}))
    else:
        sys.exit("expected: write")
