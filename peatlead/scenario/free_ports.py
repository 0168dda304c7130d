"""Free ports for days that run at the same time on one machine."""

import os
import socket

FIRST_PORT = 10_000  # the range ends below the usual range of ephemeral ports
PORT_COUNT = 20_000
CANDIDATE_STEP = 4  # ports between two candidates
PROCESS_STEP = 28  # ports between the first candidates of processes with successive process IDs

_returned_ports: set[int] = set()  # by calls of `free_port` in this process


def free_port() -> int:
    """Return the first of three consecutive free ports.

    Raises OSError if there are none.
    """
    for offset in range(0, PORT_COUNT, CANDIDATE_STEP):
        port = FIRST_PORT + (os.getpid() * PROCESS_STEP + offset) % PORT_COUNT
        if port not in _returned_ports and _three_ports_free(port):
            _returned_ports.add(port)
            return port
    raise OSError("expected three free consecutive ports, found none")


def _three_ports_free(port: int) -> bool:
    """Return whether a port and the next two can be bound."""
    with socket.socket() as first, socket.socket() as second, socket.socket() as third:
        try:
            for offset, probe_socket in enumerate((first, second, third)):
                probe_socket.bind(("0.0.0.0", port + offset))
        except OSError:
            return False
    return True
