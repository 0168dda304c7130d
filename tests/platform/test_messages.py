"""Parsing and encoding of the platform's messages."""

import json
import unittest

from hypothesis import given, strategies

from peatlead.platform import messages
from peatlead.platform.messages import (
    InvalidFieldError,
    MalformedMessageError,
    TableUpdate,
    read_endpoint_list,
    read_message,
    write_push,
)

from ..platforms import (
    OUTCOMES,
    instance,
)


class Parsing(unittest.TestCase):
    def test_load_reports_use_the_metric_names_of_the_settings(self):
        # Without these names, reports would be ignored and every endpoint's load would count as 0.
        report = read_message(json.dumps(OUTCOMES).encode())
        self.assertEqual(
            messages.to_load_report(report.metrics),
            {"util": 0.5, "holding": 3.0, "service_ms": 31.0},
        )
        self.assertEqual(
            messages.read_load_report(b'{"inflight":7,"queue":2,"util":0.61}'),
            {"holding": 7.0, "waiting": 2.0, "util": 0.61},
        )
        self.assertIsNone(messages.read_load_report(b""))

    def test_an_invalid_field_is_distinguished_from_a_malformed_message(self):
        for change in (
            {"total": -1},
            {"total": "12"},
            {"errors": 13},
            {"interval": 0},
            {"interval": 2.2e-308},  # any number above 0 made rates infinite
            {"interval": 0.5},
            {"locality": 7},
            {"endpoint": ""},
            {"rtt": 1e300},
            {"metrics": {"busy": -2}},
            {"metrics": []},
            {"msg": "orders"},
            {"msg": None},
        ):
            with self.assertRaises(InvalidFieldError, msg=change):
                read_message(json.dumps({**OUTCOMES, **change}).encode())
        for field in ("msg", "locality", "endpoint", "total", "interval"):
            with self.assertRaises(InvalidFieldError, msg=field):
                read_message(
                    json.dumps(
                        {name: value for name, value in OUTCOMES.items() if name != field}
                    ).encode()
                )
        for data in (
            b"GET / HTTP/1.1",
            b"\xff\xfe",
            b"[1]",
            b'{"msg":"outcomes",',
            b'{"msg":"x"} tail',
            b"[" * 100_000,
        ):
            with self.assertRaises(MalformedMessageError, msg=data[:20]):
                read_message(data)

    @given(
        strategies.binary(max_size=60)
        | strategies.recursive(
            strategies.none()
            | strategies.booleans()
            | strategies.floats()
            | strategies.text(max_size=5),
            lambda children: strategies.lists(children)
            | strategies.dictionaries(
                strategies.sampled_from(["msg", "node", "total", "metrics"]), children
            ),
        ).map(lambda value: json.dumps(value).encode())
    )
    def test_any_bytes_are_parsed_or_raise_one_of_two_errors(self, data):
        try:
            read_message(data)
        except (InvalidFieldError, MalformedMessageError):
            pass

    def test_an_invalid_list_entry_is_left_out_and_a_malformed_list_raises_an_error(self):
        body = json.dumps(
            {
                "generation": 4,
                "reset": True,
                "instances": [
                    instance(0, started=5000.0),
                    {**instance(1), "lifecycle": "asleep"},
                    {**instance(2), "hostPort": "x"},
                ],
            }
        )
        endpoint_list = read_endpoint_list(body.encode(), 9.0)
        self.assertEqual(
            [
                (entry.name, entry.address, entry.port, entry.started)
                for entry in endpoint_list.endpoints
            ],
            [("s-0", "127.3.1.1", 9, 5.0)],
        )
        self.assertEqual(len(endpoint_list.entry_errors), 2)
        for malformed in (
            b"",
            b"{}",
            b"[]",
            b'{"generation":1}',
            b'{"generation":"x","instances":[]}',
        ):
            with self.assertRaises(MalformedMessageError):
                read_endpoint_list(malformed, 9.0)


class Encoding(unittest.TestCase):
    def test_a_long_table_is_split_and_all_parts_except_the_last_are_marked_as_continued(self):
        entries = [(f"s-{number}", 1.0) for number in range(25_000)]
        tables = [
            TableUpdate(None, True, entries, None),
            TableUpdate(("look",), False, [], (0.5, "once")),
        ]
        parts = [json.loads(line) for line in write_push(tables, ["s-1"], [], 9).splitlines()]
        self.assertEqual(
            [len(part.get("endpoints", ())) for part in parts], [10_000, 10_000, 5_000, 0]
        )
        self.assertEqual([part.get("full", False) for part in parts], [True, False, False, False])
        self.assertEqual(
            [part.get("continued", False) for part in parts], [True, True, True, False]
        )
        self.assertEqual(
            parts[-1],
            {
                "msg": "push",
                "routes": ["look"],
                "admit": 0.5,
                "policy": 2,
                "eject": ["s-1"],
                "nonce_out": 9,
            },
        )
