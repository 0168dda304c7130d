"""Divides the time of the event loop among the streams that have received data.

asyncio reads from every connection that is ready before anything else runs, so without a limit the
length of a turn grows with the number of busy peers, and with it the delay of all other work. A
turn therefore handles received data for at most `TURN_SECONDS`: short for the peers, and long
beside the other work of a turn. Streams whose data is left pause reading and wait. They are served
in the order of weighted fair queueing: a stream's data costs its size and the time that it took to
handle, so a peer that sends little never waits for one that sends much (Demers, Keshav and Shenker,
1989).
"""

import asyncio
import heapq
from typing import NamedTuple, Protocol

from .loop_state import loop_state

TURN_SECONDS = 0.02  # for received data in one turn of the event loop
# Time without received data after which other work has had its turn.
IDLE_SECONDS = 0.0005
SLICE_BYTES = 4096  # handled at a time
COST_PER_SECOND = 1 << 20  # bytes that cost as much as one second of handling


class ScheduledStream(Protocol):
    """The part of a stream that the scheduler uses."""

    service_tag: float  # virtual time, in bytes, at which the stream's last slice ended
    unhandled_data: bytes  # received, waiting for a later turn

    @property
    def accepts_data(self) -> bool:
        """Whether received data may still be handled."""

    def handle_data(self, data: bytes) -> None:
        """Handle received data."""

    def pause_reading(self) -> None:
        """Receive no more data."""

    def resume_reading(self) -> None:
        """Receive data again."""


class WaitingStream(NamedTuple):
    """A place in the queue; the stream whose slice ends first in virtual time is served first."""

    ends_at: float  # virtual time, in bytes
    starts_at: float  # virtual time, in bytes
    number: int  # unique, so that streams are never compared
    stream: ScheduledStream


class ReadScheduler:
    """The streams of one event loop that wait for their received data to be handled."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._time = loop.time
        self._call_soon = loop.call_soon
        self._queue: list[WaitingStream] = []
        self._last_number = 0
        # Bytes; the start of the slice that was served last, so that a small slice that arrives now
        # ends before the large ones that wait already.
        self._virtual_time = 0.0
        self._latest_end = 0.0  # bytes; the latest virtual end of a slice
        self._used_seconds = 0.0  # of the current turn
        self._last_used_at = 0.0  # seconds on the loop's clock
        self._next_turn_scheduled = False

    def receive(self, stream: ScheduledStream, data: bytes, now: float) -> None:
        """Handle data that a stream has received, now or in a later turn.

        `now` is the time on the loop's clock.
        """
        if not self._queue and now >= self._last_used_at + IDLE_SECONDS:
            self._used_seconds = 0.0
        started_at, remaining = now, data
        while remaining and not self._is_exhausted and stream.accepts_data:
            piece, remaining = remaining[:SLICE_BYTES], remaining[SLICE_BYTES:]
            started_at = self._handle_slice(stream, piece, started_at)
        if remaining and stream.accepts_data:
            stream.unhandled_data = remaining
            stream.pause_reading()
            self._enqueue(stream)

    @property
    def _is_exhausted(self) -> bool:
        return self._used_seconds >= TURN_SECONDS

    def _handle_slice(self, stream: ScheduledStream, data: bytes, started_at: float) -> float:
        """Handle one slice, and return the time at its end; `started_at` is the time now."""
        stream.handle_data(data)
        self._last_used_at = self._time()
        self._used_seconds += self._last_used_at - started_at
        return self._last_used_at

    def _enqueue(self, stream: ScheduledStream) -> None:
        """Add a stream to the queue, with the virtual times of its next slice."""
        starts_at = max(stream.service_tag, self._virtual_time)
        stream.service_tag = starts_at + min(SLICE_BYTES, len(stream.unhandled_data))
        self._last_number += 1
        waiting = WaitingStream(stream.service_tag, starts_at, self._last_number, stream)
        heapq.heappush(self._queue, waiting)
        self._schedule_turn()

    def _schedule_turn(self) -> None:
        if not self._next_turn_scheduled:
            self._next_turn_scheduled = True
            self._call_soon(self._begin_turn)

    def _begin_turn(self) -> None:
        """Serve the queue for the length of a turn."""
        self._next_turn_scheduled = False
        self._used_seconds = 0.0
        while self._queue and not self._is_exhausted:
            waiting = heapq.heappop(self._queue)
            self._virtual_time = max(self._virtual_time, waiting.starts_at)
            self._serve(waiting.stream)
        if self._queue:
            self._schedule_turn()
        else:
            self._virtual_time = self._latest_end  # nobody waits, so earlier costs are forgotten

    def _serve(self, stream: ScheduledStream) -> None:
        """Handle the next slice of a stream, which is read again when none is left."""
        data, stream.unhandled_data = stream.unhandled_data, b""
        if not stream.accepts_data:
            return
        stream.unhandled_data = data[SLICE_BYTES:]
        started_at = self._time()
        ended_at = self._handle_slice(stream, data[:SLICE_BYTES], started_at)
        stream.service_tag += COST_PER_SECOND * (ended_at - started_at)
        self._latest_end = max(self._latest_end, stream.service_tag)
        if not stream.accepts_data:
            stream.unhandled_data = b""
        elif stream.unhandled_data:
            self._enqueue(stream)
        else:
            stream.resume_reading()


def read_scheduler(loop: asyncio.AbstractEventLoop) -> ReadScheduler:
    """Return the scheduler of an event loop."""
    return loop_state(loop, "read_scheduler", lambda: ReadScheduler(loop))
