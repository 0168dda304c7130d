"""Planner decisions stay the same: digests of the planner's events and commands in 20 short days.

A change of behaviour in the planner, the controller, the stand-ins or the lab changes a digest.
tests/data/lab_digests.json holds the expected digests. They do not depend on names of types and
fields: an event or command is represented by its position in INTERFACE_TYPES and its values, and a
log message of the planner by the wording of the version that wrote the file.

Where a change of decisions is intended, write the file again in the same commit, and describe the
change in its message:

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

# Only the imports above and this section use names from inside the program.

PLANNERS, PLANNER = lab_day.PLANNERS, "shards"
DECIDE_METHOD = "decide"  # the planner's method: (now, events) -> commands
INTERFACE_TYPES = tuple(
    getattr(interface, name)
    for name in (  # positions never change: new types are added at the end
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
        "RestoreEndpoints",
    )
)


# For each log message of the planner: its pattern, and its recorded wording with the same values.
MESSAGE_PATTERNS = (
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
    """Return a log message of the planner in its recorded wording, and any other text unchanged."""
    for pattern, recorded in MESSAGE_PATTERNS:
        match = re.fullmatch(pattern, text)
        if match:
            return match.expand(recorded)
    return text


def with_recorded_texts(commands):
    """Return the commands with log messages in their recorded wording."""
    return type(commands)(
        interface.LogMessage(recorded_text(command.text))
        if type(command) is interface.LogMessage
        else command
        for command in commands
    )


def recorded_canonical_form(commands):
    """Return the canonical form of commands with log messages in their recorded wording."""
    return canonical_form(with_recorded_texts(commands))


def play(kind, seed):
    """Play a random day; returns the lab's own digest of it, its number of events, its problems."""
    with mock.patch.object(lab_day, "canonical_form", recorded_canonical_form):
        played = play_day(draw_scenario(seed, kind, DAY_LENGTH), seed, PLANNER)
    return played.digest, played.event_count, played.problems


# End of the section that uses names from inside the program.

ROOT = Path(__file__).parents[2]
DATA = ROOT / "tests" / "data" / "lab_digests.json"
DAY_LENGTH = 4.0  # simulated seconds
DAYS = tuple((kind, seed) for kind in ("fleet", "dns") for seed in range(10))
SAMPLE_DAYS = (("fleet", 1), ("dns", 1))  # played in child processes with two hash seeds


def without_names(value):
    """Return a value in which positions in INTERFACE_TYPES replace the types of the interface."""
    value_type = type(value)
    if value_type in INTERFACE_TYPES:
        return ("kind", INTERFACE_TYPES.index(value_type), *map(without_names, tuple(value)))
    if value_type in (tuple, list):
        return tuple(map(without_names, value))
    if value_type is dict:
        return (
            "map",
            *sorted((without_names(key), without_names(item)) for key, item in value.items()),
        )
    if value_type in (set, frozenset):
        return ("set", *sorted(map(without_names, value)))
    if value is None or value_type in (bool, int, float, str, bytes):
        return value
    raise TypeError(f"expected an event, a command or plain values, got {value_type.__name__}")


def digests(kind, seed):
    """Play a day; returns digests of the planner's events and commands, and the lab's own digest.

    The key "decides" is the number of planner decisions. Raises AssertionError if the day has
    problems.
    """
    events_digest, commands_digest, decision_count = blake3(), blake3(), 0
    original_planner = PLANNERS[PLANNER]

    def create_observed_planner(settings, seed):
        planner = original_planner(settings, seed)
        decide = getattr(planner, DECIDE_METHOD)

        def observed_decide(now, events):
            nonlocal decision_count
            decision_count += 1
            events_digest.update(repr((now, without_names(events))).encode())
            commands = decide(now, events)
            commands_digest.update(
                repr((now, without_names(with_recorded_texts(commands)))).encode()
            )
            return commands

        setattr(planner, DECIDE_METHOD, observed_decide)
        return planner

    with mock.patch.dict(PLANNERS, {PLANNER: create_observed_planner}):
        day_digest, _, problems = play(kind, seed)
    if problems:
        raise AssertionError((kind, seed, problems))
    return {
        "events": events_digest.hexdigest(16),
        "orders": commands_digest.hexdigest(16),
        "decides": decision_count,
        "day": day_digest,
    }


def write():
    """Write the file of expected digests with the running version of the program."""
    DATA.parent.mkdir(exist_ok=True)
    digests_by_day = {f"{kind} {seed}": digests(kind, seed) for kind, seed in DAYS}
    DATA.write_text(json.dumps({"length": DAY_LENGTH, "days": digests_by_day}, indent=1) + "\n")


class LabDigestsTest(unittest.TestCase):
    def setUp(self):
        self.expected = json.loads(DATA.read_text())

    def test_decisions_in_all_days_have_the_expected_digests(self):
        self.assertEqual(self.expected["length"], DAY_LENGTH)
        self.assertEqual(list(self.expected["days"]), [f"{kind} {seed}" for kind, seed in DAYS])
        for kind, seed in DAYS:
            with self.subTest(kind=kind, seed=seed):
                self.assertEqual(digests(kind, seed), self.expected["days"][f"{kind} {seed}"])

    def test_digests_do_not_depend_on_the_hash_seed(self):
        expected = {
            f"{kind} {seed}": self.expected["days"][f"{kind} {seed}"] for kind, seed in SAMPLE_DAYS
        }
        for hash_seed in ("1", "2"):
            output = subprocess.run(
                [sys.executable, "-m", "tests.compatibility.test_lab_digests", "sample"],
                cwd=ROOT,
                check=True,
                capture_output=True,
                text=True,
                env={**os.environ, "PYTHONHASHSEED": hash_seed},
            ).stdout
            self.assertEqual(json.loads(output), expected, hash_seed)

    def test_days_of_different_seeds_differ_and_all_have_decisions(self):
        days = self.expected["days"].values()
        self.assertEqual(len({day["orders"] for day in days}), len(DAYS))
        self.assertTrue(all(day["decides"] > 50 for day in days))

    def test_digested_values_contain_no_names(self):
        set_entry = INTERFACE_TYPES[14](1, 2, 0.5)
        self.assertEqual(
            without_names([set_entry, {"b": 1, "a": None}]),
            (("kind", 14, 1, 2, 0.5), ("map", ("a", None), ("b", 1))),
        )


if __name__ == "__main__":
    if sys.argv[1:] == ["write"]:
        write()
    elif sys.argv[1:] == ["sample"]:
        print(json.dumps({f"{kind} {seed}": digests(kind, seed) for kind, seed in SAMPLE_DAYS}))
    else:
        sys.exit("usage: python -m tests.compatibility.test_lab_digests write")
