"""A transport without a socket, for tests and benchmarks."""

import asyncio
from typing import Any

PEER_ADDRESS = ("127.0.0.1", 1)  # host and port returned by `get_extra_info`


class InMemoryTransport(asyncio.Transport):
    """Collects the bytes that a protocol writes."""

    def __init__(self) -> None:
        super().__init__()
        self.written_data = bytearray()  # all bytes written so far
        self.closed = False

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Append the data to `written_data`."""
        self.written_data += data

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return the peer's address for every name."""
        return PEER_ADDRESS

    def get_write_buffer_size(self) -> int:
        """Return 0: written data is never buffered."""
        return 0

    def pause_reading(self) -> None:
        """Do nothing: the caller passes data to the protocol itself."""

    def resume_reading(self) -> None:
        """Do nothing."""

    def is_closing(self) -> bool:
        """Return whether the protocol has closed or aborted the transport."""
        return self.closed

    def close(self) -> None:
        """Mark the transport as closed."""
        self.closed = True

    abort = close
