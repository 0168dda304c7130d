"""Endpoint lists as JSON documents, for tests."""

import json

LIST_ENTRY = {
    "name": "h1",
    "zone": "north",
    "phase": "ready",
    "address": "127.0.0.9",
    "started": 50.0,
}


def list_document(*hosts, version=1, written=100.0):
    """Return an endpoint list with these entries (`hosts`) as JSON."""
    return json.dumps({"version": version, "written": written, "hosts": hosts}).encode()
