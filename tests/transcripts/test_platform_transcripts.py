"""What the platform's protocol sends and reads, compared with stored files.

A transcript is regenerated as tests/transcripts/record_platform.py says. tests/data/platform/codec.jsonl has one
call a line, [name, given, value]: `python -m tests.transcripts.test_platform_transcripts record` computes its values
anew; a new line may leave the value out. Only do so for a change of behaviour that is wanted.

The adapter below holds all internal names that these tests use, and puts what comes out in a form that has none:
numbers, strings and lists, with the words of the wire. A rename changes the adapter alone, never the stored files.
"""

import hashlib
import json
import os
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from peatlead.platform import messages
from peatlead.platform.configuration import ConfigurationError, read_configuration
from peatlead.platform.messages import (
    InvalidFieldError,
    MalformedMessageError,
    TableUpdate,
    read_endpoint_list,
    read_load_report,
    read_message,
    write_push,
)
from peatlead.wire.settings import REQUEST_CLASS_SETTING_NAMES, SETTING_NAMES

# The adapter. Words of ours for words of the wire; the fields of what is read, in the order that is stored.

WORDS = {
    "ready": "active",
    "draining": "leaving",
    "gone": "left",
    "whole": "reset",
    "changes": "news",
    "remembered": "known",
    "replayable": "repeatable",
    "uniqued": "by_key",
    "non-replayable": "once",
    "lighter of two": "p2c",
    "even": "rotate",
    "holding": "rif",
    "waiting": "q",
    "util": "busy",
    "service_ms": "lat_ms",
    "done_rate": "rate",
    "bad_rate": "fail_rate",
}
LINES = {
    messages.ProxyHello: ("hello", "proxy", "zone", "request_rate", "bootstrap_only"),
    messages.CollectorHello: ("agent", "zone"),
    messages.EndpointOutcomes: (
        "outcomes",
        "zone",
        "endpoint",
        "attempts",
        "errors",
        "window",
        "mean_latency",
        "load_report",
    ),
    messages.RequestDemand: (
        "demand",
        "proxy",
        "request_class",
        "requests",
        "unanswered",
        "window",
    ),
    messages.Acknowledgement: ("ack", "proxy", "nonce", "duration"),
    messages.LivenessCheck: ("probe",),
}
LISTING = ("scope", "version", "written", "unusable_names")
ENTRY = ("name", "zone", "phase", "address", "port", "machine", "pod", "weight", "started")
CONFIGURATION = ("name", "listen", "discovery", "seed", "sockets")
KINDS, OWN_ZONE, WRITES = "req_kinds", "own_zone", "write"
SETTINGS, OF_KIND = (
    SETTING_NAMES,
    REQUEST_CLASS_SETTING_NAMES,
)  # {the wire's name: ours}
NOT_STORED = {"own_zone_only", "writes"}  # settings that each request kind carries


def fields_of(value, wanted):
    return [getattr(value, name) for name in wanted]


def plain_line(data):
    try:
        found = read_message(data)
    except (InvalidFieldError, MalformedMessageError) as problem:
        return ["spoilt" if isinstance(problem, InvalidFieldError) else "unreadable", str(problem)]
    tag, *wanted = LINES[type(found)]
    return [tag, *fields_of(found, wanted)]


def plain_listing(listing):
    return [
        *fields_of(listing, LISTING),
        len(listing.entry_errors),
        [fields_of(entry, ENTRY) for entry in listing.endpoints],
    ]


def plain_list(data):
    try:
        return plain_listing(read_endpoint_list(data, 1800000000.5))
    except MalformedMessageError:
        return "unreadable"


def plain_report(data):
    return pairs(read_load_report(data))


def plain_configuration(path):
    try:
        told = read_configuration({"NODE_CONFIG": path} if path else {}, 1800000000.5)
    except ConfigurationError as problem:
        return ["refused", problem.transient]
    kinds = [
        [
            pairs({wire: kind[ours] for wire, ours in OF_KIND.items() if ours in kind}),
            kind[OWN_ZONE],
            kind[WRITES],
            len(kind),
        ]
        for kind in told.settings[KINDS]
    ]
    settings = {
        wire: told.settings[ours] for wire, ours in SETTINGS.items() if ours in told.settings
    }
    beside = set(told.settings) - set(SETTINGS.values()) - {KINDS}
    assert not beside and not NOT_STORED & set(told.settings), (
        f"settings that are not compared: {beside}"
    )
    known = told.remembered_list and plain_listing(told.remembered_list)
    return [*fields_of(told, CONFIGURATION), pairs(settings), kinds, known]


def plain_message(given):
    """`given`: [[request kinds or null, whole, lines or their number, level or null], ...], hosts to shut out, hosts
    to let in, mark. A number in place of the tables: so many of one line."""
    tables, *rest = given
    tables = [[None, False, 1, None]] * tables if isinstance(tables, int) else tables
    tables = [
        TableUpdate(
            kinds and tuple(kinds),
            whole,
            [tuple(line) for line in lines_of(lines)],
            level
            and (
                level[0],
                next(
                    ours for ours, wire in messages.RETRY_POLICY_CODES.items() if wire == level[1]
                ),
            ),
        )
        for kinds, whole, lines, level in tables
    ]
    try:
        return text_or_digest(write_push(tables, *rest))
    except ValueError:
        return "refused"


# The adapter ends here.


def pairs(values):
    """A map as a list in the order of its keys, which are words of the wire where they are ours."""
    return values and sorted([WORDS.get(key, key), value] for key, value in values.items())


def lines_of(lines):
    return [(f"h-{at}", 1 + at / 7) for at in range(lines)] if isinstance(lines, int) else lines


def text_or_digest(data):
    return (
        data.decode()
        if len(data) < 2000
        else [len(data), data.count(b"\n"), hashlib.sha256(data).hexdigest()]
    )


def in_wire_words(value):
    """As JSON has it, with the wire's words for ours."""
    if isinstance(value, str):
        return WORDS.get(value, value)
    if isinstance(value, (list, tuple)):
        return [in_wire_words(one) for one in value]
    if isinstance(value, dict):
        return in_wire_words(pairs(value))
    return value


def as_bytes(text):
    """A lone surrogate in the stored text stands for a byte that is no UTF-8."""
    return text.encode("utf-8", "surrogateescape")


def configuration_with(given):
    """`given`: a file's name, and what differs: [[path of keys, value or null for none], ...], or its text."""
    name, changes = given
    if name is None:
        return plain_configuration(changes)
    text = (DATA / name).read_text()
    if isinstance(changes, str):
        text = changes
    else:
        said = json.loads(text)
        for (*path, last), value in changes:
            place = said
            for key in path:
                place = place[key]
            if value is None:
                del place[last]
            else:
                place[last] = value
        text = json.dumps(said)
    with tempfile.NamedTemporaryFile("wb", suffix=".json") as file:
        file.write(as_bytes(text))
        file.flush()
        return plain_configuration(file.name)


CALLS = {
    "line": lambda text: plain_line(as_bytes(text)),
    "list": lambda text: plain_list(as_bytes(text)),
    "report": lambda text: plain_report(as_bytes(text)),
    "message": plain_message,
    "configuration": configuration_with,
}


def value_of(call, given):
    return in_wire_words(CALLS[call](given))


ROOT = Path(__file__).parent.parent.parent
DATA = ROOT / "tests" / "data" / "platform"


def recorded(script, hash_seed):
    """The transcript's lines as the program writes them now."""
    command = [sys.executable, "-m", "tests.transcripts.record_platform", script]
    ended = subprocess.run(
        command,
        cwd=ROOT,
        env={**os.environ, "PYTHONHASHSEED": hash_seed},
        timeout=60,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        check=False,
    )
    if ended.returncode:
        raise AssertionError(
            f"the recording ended with {ended.returncode}: {ended.stderr[-2000:].decode()}"
        )
    return ended.stdout.decode().splitlines()


class Transcripts(unittest.TestCase):
    maxDiff = 4000

    def compare(self, script, code="0", least=100):
        stored = (DATA / f"transcript_{script}.jsonl").read_text().splitlines()
        self.assertGreaterEqual(len(stored), least)
        self.assertEqual(json.loads(stored[-1])[1:], ["command", "exit", code])
        for hash_seed in ("0", "4242"):
            found = recorded(script, hash_seed)
            for at, (was, now) in enumerate(zip(stored, found), 1):
                self.assertEqual(was, now, f"line {at}, hash seed {hash_seed}")
            self.assertEqual(len(stored), len(found), f"hash seed {hash_seed}")

    def test_usual_traffic_gets_the_same_bytes_at_the_same_times(self):
        self.compare("usual")

    def test_many_proxies_on_a_slow_channel_and_overload_get_the_same_bytes_at_the_same_times(self):
        self.compare("pressed")

    def test_troubles_of_the_machine_get_the_same_bytes_at_the_same_times(self):
        self.compare("troubled", least=50)

    def test_a_configuration_that_cannot_be_used_opens_nothing_and_exits_with_1(self):
        self.compare("unconfigured", "1", 1)


class Codec(unittest.TestCase):
    maxDiff = 4000

    def compare(self, call, least):
        cases = [
            one
            for one in map(json.loads, (DATA / "codec.jsonl").read_text().splitlines())
            if one[0] == call
        ]
        self.assertGreaterEqual(len(cases), least)
        for _, given, value in cases:
            with self.subTest(given=given):
                self.assertEqual(
                    json.dumps(value_of(call, given)), json.dumps(value)
                )  # 1 is not 1.0

    def test_settings_documents_give_the_same_values(self):
        self.compare("configuration", 20)

    def test_lists_give_the_same_entries(self):
        self.compare("list", 12)

    def test_lines_give_the_same_messages_or_errors(self):
        self.compare("line", 40)

    def test_load_reports_give_the_same_numbers(self):
        self.compare("report", 5)

    def test_orders_give_the_same_bytes(self):
        self.compare("message", 12)


def record():
    path = DATA / "codec.jsonl"
    cases = [json.loads(one)[:2] for one in path.read_text().splitlines()]
    path.write_text(
        "".join(
            json.dumps([call, given, value_of(call, given)], separators=(",", ":")) + "\n"
            for call, given in cases
        )
    )


if __name__ == "__main__":
    record() if sys.argv[1:] == ["record"] else unittest.main()
