"""Measures a bare event loop that writes bytes to many streams, as a baseline."""

import asyncio
import time

from ..net.streams import Stream

LISTEN = "127.1.0.9"


class Receiver(Stream):
    """The receiving end of a stream."""

    received_at: float  # when data last arrived (monotonic seconds)

    def received(self, data: bytes) -> None:
        """Record the time of arrival."""
        self.received_at = time.monotonic()


def delay_percentiles(delays: list[float]) -> dict[str, float]:
    """Return the median, the 99th percentile and the maximum of delays, in milliseconds.

    `delays` is in seconds. Returns {} for no delays.
    """
    ordered = sorted(delays)
    if not ordered:
        return {}
    return {
        "median": round(ordered[len(ordered) // 2] * 1000, 1),
        "99th": round(ordered[int(len(ordered) * 0.99)] * 1000, 1),
        "last": round(ordered[-1] * 1000, 1),
    }


async def send_to_all(stream_count: int, size: int) -> dict[str, float]:
    """Send `size` bytes to each stream; returns the delays and the time of all writes, in ms."""
    loop = asyncio.get_running_loop()
    senders: list[Stream] = []
    receivers: list[Receiver] = []

    class Sender(Stream):
        def opened(self) -> None:
            senders.append(self)

    server = await loop.create_server(Sender, LISTEN, 0, backlog=1024)
    host, port = server.sockets[0].getsockname()
    for number in range(stream_count):
        local = f"127.{60 + number // 250}.{number % 250}.2"
        _, receiver = await loop.create_connection(Receiver, host, port, local_addr=(local, 0))
        receivers.append(receiver)
    await asyncio.sleep(0.2)
    start = time.monotonic()
    data = b"x" * size
    for sender in senders:
        sender.send(data)
    write_time = time.monotonic() - start
    await asyncio.sleep(1.0)
    arrivals = delay_percentiles([receiver.received_at - start for receiver in receivers])
    server.close()
    for stream in [*receivers, *senders]:
        stream.abort("over")
    return {**arrivals, "to write": round(write_time * 1000, 1)}


def measure_baseline(stream_count: int, size: int) -> dict[str, float]:
    """Run `send_to_all` on an event loop of its own; returns its result."""
    return asyncio.run(send_to_all(stream_count, size))
