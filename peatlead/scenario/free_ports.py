"""Free ports for days that run at the same time on one machine."""

import os
import socket

FIRST_PORT = 10_000  # the range ends below the usual range of ephemeral ports
PORT_COUNT = 20_000
CANDIDATE_STEP = 4  # ports between two candidates
PROCESS_STEP = 28  # ports between the first candidates of processes with successive ids

_handed_out: set[int] = set()  # ports that this process has returned


def free_port() -> int:
    """Return a port that is free together with the next two.

    Raises OSError if there is none.
    """
    for offset in range(0, PORT_COUNT, CANDIDATE_STEP):
        port = FIRST_PORT + (os.getpid() * PROCESS_STEP + offset) % PORT_COUNT
        if port not in _handed_out and _three_ports_free(port):
            _handed_out.add(port)
            return port
    raise OSError("expected three free consecutive ports, found none")


def _three_ports_free(port: int) -> bool:
    """Return whether a port and the next two can be bound."""
    with socket.socket() as first, socket.socket() as second, socket.socket() as third:
        try:
            for offset, held in enumerate((first, second, third)):
                held.bind(("0.0.0.0", port + offset))
        except OSError:
            return False
    return True
