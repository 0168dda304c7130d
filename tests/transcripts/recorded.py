"""Recorded transcripts in tests/data/wire: JSON, with bytes as base64 or hexadecimal text."""

import json
from base64 import b64decode, b64encode  # noqa: F401
from pathlib import Path

DIRECTORY = Path(__file__).parent.parent / "data" / "wire"


def to_base64(data):
    """Return bytes as base64 text."""
    return b64encode(data).decode()


def read(name):
    """Return the record of this name."""
    return json.loads((DIRECTORY / f"{name}.json").read_text())


def write(name, record):
    """Write a record with one list element per line, so that a diff shows the changed elements."""
    DIRECTORY.mkdir(parents=True, exist_ok=True)
    parts = []
    for key, value in record.items():
        if isinstance(value, list):
            lines = ",\n".join(json.dumps(element, sort_keys=True) for element in value)
            parts.append(f"{json.dumps(key)}: [\n{lines}\n]")
        else:
            parts.append(f"{json.dumps(key)}: {json.dumps(value, sort_keys=True)}")
    (DIRECTORY / f"{name}.json").write_text("{" + ",\n".join(parts) + "}\n")


def compare(test_case, name, actual):
    """Fail `test_case` at the first element that differs from the record."""
    expected, actual = read(name), json.loads(json.dumps(actual))
    test_case.assertEqual(sorted(expected), sorted(actual))
    for key, value in expected.items():
        if isinstance(value, list):
            for index, (expected_element, actual_element) in enumerate(zip(value, actual[key])):
                test_case.assertEqual(
                    expected_element, actual_element, f"{name}: {key}, entry {index}"
                )
            test_case.assertEqual(len(value), len(actual[key]), f"{name}: {key}")
        else:
            test_case.assertEqual(value, actual[key], f"{name}: {key}")
