"""Network addresses in the platform's notation, such as `10.0.0.4:8080`."""

from typing import NamedTuple

PORT_UPPER_BOUND = 1 << 16  # exclusive


class Address(NamedTuple):
    """An IP address or host name, and a TCP port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def read_address(text: str) -> Address:
    """Parse ADDRESS:PORT. Raises ValueError."""
    host, _, port = text.rpartition(":")
    if not (host and port.isascii() and port.isdigit() and 0 < int(port) < PORT_UPPER_BOUND):
        raise ValueError(f"expected ADDRESS:PORT, got {text!r}")
    return Address(host, int(port))
