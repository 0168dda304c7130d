"""Compares the parsing and encoding of the platform's protocol with stored files.

tests/transcripts/record_platform.py describes how to regenerate a transcript. Each line of
tests/data/platform/codec.jsonl is a call [name, argument, result], in which the result of a new call may be omitted.
`python -m tests.transcripts.test_platform_transcripts record` computes all results again. Regenerate the files only
for an intended change of behaviour.

Only the adapter below uses internal names of the program. It converts results to numbers, strings and lists with the
names of the wire, so that a rename changes the adapter and never the stored files.
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

# The adapter: names of the wire by internal names, and the fields of parsed values in the stored order.

WIRE_NAMES = {
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
MESSAGE_FIELDS = {
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
LIST_FIELDS = ("scope", "version", "written", "unusable_names")
ENTRY_FIELDS = ("name", "zone", "phase", "address", "port", "machine", "pod", "weight", "started")
CONFIGURATION_FIELDS = ("name", "listen", "discovery", "seed", "sockets")
REQUEST_CLASSES, OWN_ZONE, WRITES = "req_kinds", "own_zone", "write"
SETTINGS, REQUEST_CLASS_SETTINGS = (
    SETTING_NAMES,
    REQUEST_CLASS_SETTING_NAMES,
)  # internal names by names of the wire
IGNORED_SETTINGS = {"own_zone_only", "writes"}  # settings of the request classes only


def fields_of(value, names):
    return [getattr(value, name) for name in names]


def plain_inbound_message(data):
    try:
        message = read_message(data)
    except (InvalidFieldError, MalformedMessageError) as error:
        return ["spoilt" if isinstance(error, InvalidFieldError) else "unreadable", str(error)]
    tag, *names = MESSAGE_FIELDS[type(message)]
    return [tag, *fields_of(message, names)]


def plain_endpoint_list(endpoint_list):
    return [
        *fields_of(endpoint_list, LIST_FIELDS),
        len(endpoint_list.entry_errors),
        [fields_of(entry, ENTRY_FIELDS) for entry in endpoint_list.endpoints],
    ]


def plain_list(data):
    try:
        return plain_endpoint_list(read_endpoint_list(data, 1800000000.5))
    except MalformedMessageError:
        return "unreadable"


def plain_report(data):
    return pairs(read_load_report(data))


def plain_configuration(path):
    try:
        configuration = read_configuration({"NODE_CONFIG": path} if path else {}, 1800000000.5)
    except ConfigurationError as error:
        return ["refused", error.transient]
    request_classes = [
        [
            pairs(
                {
                    wire_name: request_class[internal_name]
                    for wire_name, internal_name in REQUEST_CLASS_SETTINGS.items()
                    if internal_name in request_class
                }
            ),
            request_class[OWN_ZONE],
            request_class[WRITES],
            len(request_class),
        ]
        for request_class in configuration.settings[REQUEST_CLASSES]
    ]
    settings = {
        wire_name: configuration.settings[internal_name]
        for wire_name, internal_name in SETTINGS.items()
        if internal_name in configuration.settings
    }
    not_compared = set(configuration.settings) - set(SETTINGS.values()) - {REQUEST_CLASSES}
    assert not not_compared and not IGNORED_SETTINGS & set(configuration.settings), (
        f"settings that are not compared: {not_compared}"
    )
    remembered_list = configuration.remembered_list and plain_endpoint_list(
        configuration.remembered_list
    )
    return [
        *fields_of(configuration, CONFIGURATION_FIELDS),
        pairs(settings),
        request_classes,
        remembered_list,
    ]


def plain_push_message(argument):
    """Encode a push message.

    `argument` contains the updates, the endpoints to eject, the endpoints to restore, and the nonce. Each update is
    [request classes or null, whole, entries or their number, admission or null]. A number in place of the updates
    stands for as many updates of one entry.
    """
    updates, *rest = argument
    updates = [[None, False, 1, None]] * updates if isinstance(updates, int) else updates
    updates = [
        TableUpdate(
            request_classes and tuple(request_classes),
            whole,
            [tuple(entry) for entry in expand_entries(entries)],
            admission
            and (
                admission[0],
                next(
                    internal_name
                    for internal_name, wire_name in messages.RETRY_POLICY_CODES.items()
                    if wire_name == admission[1]
                ),
            ),
        )
        for request_classes, whole, entries, admission in updates
    ]
    try:
        return text_or_digest(write_push(updates, *rest))
    except ValueError:
        return "refused"


# The adapter ends here.


def pairs(values):
    """Return a map as a list of pairs, sorted by key, with the names of the wire."""
    return values and sorted([WIRE_NAMES.get(key, key), value] for key, value in values.items())


def expand_entries(entries):
    return (
        [(f"h-{number}", 1 + number / 7) for number in range(entries)]
        if isinstance(entries, int)
        else entries
    )


def text_or_digest(data):
    return (
        data.decode()
        if len(data) < 2000
        else [len(data), data.count(b"\n"), hashlib.sha256(data).hexdigest()]
    )


def with_wire_names(value):
    """Return a value in its JSON form, with the names of the wire."""
    if isinstance(value, str):
        return WIRE_NAMES.get(value, value)
    if isinstance(value, (list, tuple)):
        return [with_wire_names(element) for element in value]
    if isinstance(value, dict):
        return with_wire_names(pairs(value))
    return value


def as_bytes(text):
    """Encode a stored text, in which a lone surrogate stands for a byte that is not UTF-8."""
    return text.encode("utf-8", "surrogateescape")


def configuration_with(argument):
    """Read a configuration.

    `argument` contains the name of a file and its changes [[path of keys, value or null to delete], ...], or a text in
    place of the contents. Without a name, the second element is the path to read.
    """
    name, changes = argument
    if name is None:
        return plain_configuration(changes)
    text = (DATA_DIRECTORY / name).read_text()
    if isinstance(changes, str):
        text = changes
    else:
        document = json.loads(text)
        for (*path, last_key), value in changes:
            parent = document
            for key in path:
                parent = parent[key]
            if value is None:
                del parent[last_key]
            else:
                parent[last_key] = value
        text = json.dumps(document)
    with tempfile.NamedTemporaryFile("wb", suffix=".json") as file:
        file.write(as_bytes(text))
        file.flush()
        return plain_configuration(file.name)


CALLS = {
    "line": lambda text: plain_inbound_message(as_bytes(text)),
    "list": lambda text: plain_list(as_bytes(text)),
    "report": lambda text: plain_report(as_bytes(text)),
    "message": plain_push_message,
    "configuration": configuration_with,
}


def result_of(function_name, argument):
    return with_wire_names(CALLS[function_name](argument))


ROOT = Path(__file__).parent.parent.parent
DATA_DIRECTORY = ROOT / "tests" / "data" / "platform"


def run_script(script, hash_seed):
    """Run a script and return the lines of its transcript."""
    command = [sys.executable, "-m", "tests.transcripts.record_platform", script]
    completed = subprocess.run(
        command,
        cwd=ROOT,
        env={**os.environ, "PYTHONHASHSEED": hash_seed},
        timeout=60,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        check=False,
    )
    if completed.returncode:
        raise AssertionError(
            f"the recording exited with {completed.returncode}: {completed.stderr[-2000:].decode()}"
        )
    return completed.stdout.decode().splitlines()


class Transcripts(unittest.TestCase):
    maxDiff = 4000

    def compare_transcript(self, script, code="0", min_count=100):
        expected_lines = (DATA_DIRECTORY / f"transcript_{script}.jsonl").read_text().splitlines()
        self.assertGreaterEqual(len(expected_lines), min_count)
        self.assertEqual(json.loads(expected_lines[-1])[1:], ["command", "exit", code])
        for hash_seed in ("0", "4242"):
            actual = run_script(script, hash_seed)
            for line_number, (expected_line, actual_line) in enumerate(
                zip(expected_lines, actual), 1
            ):
                self.assertEqual(
                    expected_line, actual_line, f"line {line_number}, hash seed {hash_seed}"
                )
            self.assertEqual(len(expected_lines), len(actual), f"hash seed {hash_seed}")

    def test_usual_traffic_matches_its_transcript(self):
        self.compare_transcript("usual")

    def test_overload_on_a_slow_channel_matches_its_transcript(self):
        self.compare_transcript("pressed")

    def test_failures_of_the_environment_match_their_transcript(self):
        self.compare_transcript("troubled", min_count=50)

    def test_an_invalid_configuration_opens_no_socket_and_exits_with_1(self):
        self.compare_transcript("unconfigured", "1", 1)


class Codec(unittest.TestCase):
    maxDiff = 4000

    def compare_results(self, function_name, min_count):
        cases = [
            case
            for case in map(json.loads, (DATA_DIRECTORY / "codec.jsonl").read_text().splitlines())
            if case[0] == function_name
        ]
        self.assertGreaterEqual(len(cases), min_count)
        for _, argument, value in cases:
            with self.subTest(argument=argument):
                self.assertEqual(
                    json.dumps(result_of(function_name, argument)), json.dumps(value)
                )  # 1 is not 1.0

    def test_configurations_are_read_as_recorded(self):
        self.compare_results("configuration", 20)

    def test_endpoint_lists_are_parsed_as_recorded(self):
        self.compare_results("list", 12)

    def test_inbound_messages_are_parsed_as_recorded(self):
        self.compare_results("line", 40)

    def test_load_reports_are_parsed_as_recorded(self):
        self.compare_results("report", 5)

    def test_push_messages_are_encoded_as_recorded(self):
        self.compare_results("message", 12)


def record():
    path = DATA_DIRECTORY / "codec.jsonl"
    cases = [json.loads(line)[:2] for line in path.read_text().splitlines()]
    path.write_text(
        "".join(
            json.dumps(
                [function_name, argument, result_of(function_name, argument)], separators=(",", ":")
            )
            + "\n"
            for function_name, argument in cases
        )
    )


if __name__ == "__main__":
    record() if sys.argv[1:] == ["record"] else unittest.main()
