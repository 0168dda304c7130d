"""Limits the memory that all peers of a process together make it buffer.

Each connection has limits of its own, but their sum over many connections may exceed the memory of
the process. When the sum exceeds the budget, the connection that holds most is aborted. A peer that
is merely slow holds little, so it does not pay for others.
"""

import asyncio
from typing import Protocol

from .loop_state import loop_state

DEFAULT_LIMIT = 64 << 20  # bytes
MEMORY_FRACTION = 0.25  # of the memory of a process, for what its peers make it buffer
BUFFER_OVERLOAD = "peers hold too much memory"  # why a connection was aborted


class BufferHolder(Protocol):
    """A connection that buffers data."""

    def held_bytes(self) -> int:
        """Return the bytes that wait for more input, or for the peer to read them."""

    def abort(self, reason: str) -> None:
        """Close the connection and release its buffers."""


class BufferBudget:
    """The bytes that the connections of one event loop hold."""

    def __init__(self, limit: int = DEFAULT_LIMIT) -> None:
        self.limit = limit  # bytes
        self.total = 0  # bytes, as last measured for each holder
        self.aborted_count = 0  # connections aborted so far
        self._held: dict[BufferHolder, int] = {}  # bytes, oldest connection first

    def set_memory(self, memory: float) -> None:
        """Derive the limit from the memory that the process may use, in bytes."""
        self.limit = int(MEMORY_FRACTION * memory)

    def update(self, holder: BufferHolder) -> None:
        """Measure a connection again; abort those that hold most if the budget is exceeded."""
        held = holder.held_bytes()
        self.total += held - self._held.get(holder, 0)
        self._held[holder] = held
        if self.total > self.limit:
            self._measure_all()
        while self.total > self.limit:
            self._abort_largest()

    def remove(self, holder: BufferHolder) -> None:
        """Forget a connection that has ended."""
        self.total -= self._held.pop(holder, 0)

    def _measure_all(self) -> None:
        """Measure all connections, since peers may have read what was buffered for them."""
        for holder in self._held:
            self._held[holder] = holder.held_bytes()
        self.total = sum(self._held.values())

    def _abort_largest(self) -> None:
        largest = max(self._held, key=self._held.__getitem__)
        self.remove(largest)
        self.aborted_count += 1
        largest.abort(BUFFER_OVERLOAD)


def buffer_budget(loop: asyncio.AbstractEventLoop) -> BufferBudget:
    """Return the budget of an event loop."""
    return loop_state(loop, "buffer_budget", BufferBudget)
