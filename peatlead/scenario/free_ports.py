"""Ports for days that run side by side on one machine."""

import os
import socket

FIRST_PORT = 10_000  # and 20,000 up: below those that systems give to outgoing connections
PORTS = 20_000
STEP = 4  # ports between two candidates
PORTS_BY_PROCESS = 28  # candidates of neighbouring processes begin so far apart

_handed_out: set[int] = set()  # by this process


def free_port() -> int:
    """A port that nothing holds now, as the next two are. Raises OSError where there is none."""
    for offset in range(0, PORTS, STEP):
        port = FIRST_PORT + (os.getpid() * PORTS_BY_PROCESS + offset) % PORTS
        if port not in _handed_out and _three_free(port):
            _handed_out.add(port)
            return port
    raise OSError("no three free ports side by side")


def _three_free(port: int) -> bool:
    with socket.socket() as first, socket.socket() as second, socket.socket() as third:
        try:
            for offset, held in enumerate((first, second, third)):
                held.bind(("0.0.0.0", port + offset))
        except OSError:
            return False
    return True
