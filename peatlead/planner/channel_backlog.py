"""How many entries wait in a controller's channel, estimated from acknowledgements alone.

The channel sends in the order of writing, so an acknowledged nonce covers all that was written
before it and, of its own batch, the message of the proxy that answered. What no acknowledgement
covers may still wait, however long the configured rate says it takes: a channel may be far slower
than configured. What was written to a proxy that has disconnected waits no longer.

No rate is part of it. A controller that went by half the configured one left its channel idle while
proxies waited for tables (docs/incidents/2026-12-02-drains-after-a-herd.md); by the whole of it, a
slow channel would fill.
"""

from collections import deque

LARGEST_NONCE = 65535  # nonces start again at 1 after it: they have 16 bits on the wire


class Batch:
    """What one batch wrote under one nonce."""

    __slots__ = ("nonce", "written_at", "entries")

    def __init__(self, nonce: int, written_at: float, entries: dict[int, float]) -> None:
        self.nonce = nonce
        self.written_at = written_at  # seconds
        self.entries = entries  # by proxy; only those that may still wait


class ChannelBacklog:
    """The entries that were written and may not have been sent.

    `message_overhead` is what a message counts beside its entries. After `expiry` seconds an
    unacknowledged batch counts no longer, since the proxies that got it may have stopped answering.
    """

    __slots__ = (
        "message_overhead",
        "expiry",
        "unacknowledged_entries",
        "batches",
        "now",
        "nonce",
        "open_batch",
        "open_entries",
    )

    def __init__(self, message_overhead: float, expiry: float) -> None:
        self.message_overhead = message_overhead
        self.expiry = expiry
        self.unacknowledged_entries = 0.0  # entries of the batches that are written
        self.batches: deque[Batch] = deque()  # the oldest first
        self.now = 0.0
        self.nonce = 0  # of the last batch that wrote anything
        self.open_batch: dict[int, float] = {}  # entries by proxy of the batch that is being made
        self.open_entries = 0.0  # their sum

    @property
    def entries(self) -> float:
        """All entries that are taken to wait, those of the open batch among them."""
        return self.unacknowledged_entries + self.open_entries

    def advance(self, now: float) -> None:
        """Begin a batch at `now`, in seconds; batches that are past the expiry are dropped."""
        self.now = now
        while self.batches and self.batches[0].written_at < now - self.expiry:
            self._drop_oldest()

    def add(self, proxy: int, entries: float, new_message: bool) -> None:
        """Count entries for a proxy.

        With `new_message`, they begin the proxy's message of this batch, which adds its overhead
        and one for the nonce.
        """
        entries += (self.message_overhead + 1) * new_message
        self.open_batch[proxy] = self.open_batch.get(proxy, 0.0) + entries
        self.open_entries += entries

    def end_batch(self) -> int:
        """Close the batch.

        Returns the nonce that its messages carry, 0 where there are no messages.
        """
        if not self.open_batch:
            return 0
        self.nonce = self.nonce % LARGEST_NONCE + 1
        self.batches.append(Batch(self.nonce, self.now, self.open_batch))
        self.unacknowledged_entries += self.open_entries
        self.open_batch = {}
        self.open_entries = 0.0
        return self.nonce

    def acknowledge(self, proxy: int, nonce: int) -> None:
        """Take out what a proxy's acknowledgement covers.

        A nonce of no waiting batch covers nothing.
        """
        batch = next((batch for batch in self.batches if batch.nonce == nonce), None)
        if batch is None:
            return
        while self.batches[0] is not batch:
            self._drop_oldest()
        self.unacknowledged_entries -= batch.entries.pop(proxy, 0.0)
        self._drop_empty()

    def disconnect(self, proxy: int) -> None:
        """Take out all that was written to a proxy whose stream has ended: it isn't sent."""
        self.open_entries -= self.open_batch.pop(proxy, 0.0)
        for batch in self.batches:
            self.unacknowledged_entries -= batch.entries.pop(proxy, 0.0)
        self._drop_empty()

    def _drop_empty(self) -> None:
        while self.batches and not self.batches[0].entries:
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        self.unacknowledged_entries -= sum(self.batches.popleft().entries.values())
        if not self.batches:
            self.unacknowledged_entries = 0.0  # what rounding has left
