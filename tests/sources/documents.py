"""Endpoint lists as JSON documents."""

import json

HOST = {
    "name": "h1",
    "zone": "north",
    "phase": "ready",
    "address": "127.0.0.9",
    "started": 50.0,
}


def document(*hosts, version=1, written=100.0):
    return json.dumps({"version": version, "written": written, "hosts": hosts}).encode()
