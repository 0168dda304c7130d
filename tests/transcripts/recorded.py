"""Recorded transcripts: plain JSON in tests/data/wire, bytes as base64 or hexadecimal text."""

import json
from base64 import b64decode, b64encode  # noqa: F401
from pathlib import Path

FOLDER = Path(__file__).parent.parent / "data" / "wire"


def to_base64(data):
    return b64encode(data).decode()


def read(name):
    return json.loads((FOLDER / f"{name}.json").read_text())


def write(name, found):
    """One entry a line at the second level, so that a changed record shows where it changed."""
    FOLDER.mkdir(parents=True, exist_ok=True)
    parts = []
    for key, value in found.items():
        if isinstance(value, list):
            lines = ",\n".join(json.dumps(one, sort_keys=True) for one in value)
            parts.append(f"{json.dumps(key)}: [\n{lines}\n]")
        else:
            parts.append(f"{json.dumps(key)}: {json.dumps(value, sort_keys=True)}")
    (FOLDER / f"{name}.json").write_text("{" + ",\n".join(parts) + "}\n")


def compare(case, name, found):
    """Fails `case` at the first entry that differs from the record."""
    kept, found = read(name), json.loads(json.dumps(found))
    case.assertEqual(sorted(kept), sorted(found))
    for key, value in kept.items():
        if isinstance(value, list):
            for at, (one, other) in enumerate(zip(value, found[key])):
                case.assertEqual(one, other, f"{name}: {key}, entry {at}")
            case.assertEqual(len(value), len(found[key]), f"{name}: {key}")
        else:
            case.assertEqual(value, found[key], f"{name}: {key}")
