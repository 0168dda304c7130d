"""Estimates from acknowledgements how many entries are queued in a controller's channel.

The channel sends messages in the order in which they were written. An acknowledged nonce therefore
covers all earlier batches and, of its own batch, the message to the proxy that acknowledged.
Entries that no acknowledgement covers may still be queued. Entries for a proxy that has
disconnected are no longer queued.

The estimate does not use the configured rate, because the channel may be much slower than
configured: assuming the full rate would overfill a slow channel, and assuming half of it would
leave the channel idle while proxies wait for tables
(docs/incidents/2026-12-02-drains-after-a-herd.md).
"""

from collections import deque

MAX_NONCE = 65535  # nonces have 16 bits on the wire; the nonce after the maximum is 1


class Batch:
    """The entries that one batch wrote under one nonce."""

    __slots__ = ("nonce", "written_at", "entries")

    def __init__(self, nonce: int, written_at: float, entries: dict[int, float]) -> None:
        self.nonce = nonce
        self.written_at = written_at  # seconds
        self.entries = entries  # number of entries by proxy, only those that may still be queued


class ChannelBacklog:
    """The entries that were written but may not have been sent yet.

    `message_overhead` is the cost of a message in addition to its entries, in entries. An
    unacknowledged batch is dropped after `expiry` seconds, since its proxies may have stopped
    acknowledging.
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
        self.unacknowledged_entries = 0.0  # sum over `batches`
        self.batches: deque[Batch] = deque()  # oldest first
        self.now = 0.0  # seconds, start of the current batch
        self.nonce = 0  # nonce of the last batch with messages; 0 before the first
        self.open_batch: dict[int, float] = {}  # number of entries by proxy, of the current batch
        self.open_entries = 0.0  # sum over `open_batch`

    @property
    def queued_entries(self) -> float:
        """The number of entries that may be queued, including those of the current batch."""
        return self.unacknowledged_entries + self.open_entries

    def begin_batch(self, now: float) -> None:
        """Start a batch at `now`, in seconds, and drop expired batches."""
        self.now = now
        while self.batches and self.batches[0].written_at < now - self.expiry:
            self._drop_oldest_batch()

    def add_entries(self, proxy: int, entries: float, new_message: bool) -> None:
        """Count entries for a proxy.

        If `new_message` is true, the entries are the first of the proxy's message of this batch,
        and the message's overhead and one entry for the nonce are added.
        """
        entries += (self.message_overhead + 1) * new_message
        self.open_batch[proxy] = self.open_batch.get(proxy, 0.0) + entries
        self.open_entries += entries

    def end_batch(self) -> int:
        """Close the current batch.

        Return the nonce that its messages carry, or 0 if there are no messages.
        """
        if not self.open_batch:
            return 0
        self.nonce = self.nonce % MAX_NONCE + 1
        self.batches.append(Batch(self.nonce, self.now, self.open_batch))
        self.unacknowledged_entries += self.open_entries
        self.open_batch = {}
        self.open_entries = 0.0
        return self.nonce

    def acknowledge(self, proxy: int, nonce: int) -> None:
        """Remove the entries that a proxy's acknowledgement covers.

        A nonce that belongs to no unacknowledged batch is ignored. The caller has checked that the
        nonce was sent to this proxy.
        """
        batch = next((batch for batch in self.batches if batch.nonce == nonce), None)
        if batch is None:
            return
        while self.batches[0] is not batch:
            self._drop_oldest_batch()
        self.unacknowledged_entries -= batch.entries.pop(proxy, 0.0)
        self._drop_acknowledged_batches()

    def remove_proxy(self, proxy: int) -> None:
        """Remove all entries for a proxy whose stream has closed, since they are not sent."""
        self.open_entries -= self.open_batch.pop(proxy, 0.0)
        for batch in self.batches:
            self.unacknowledged_entries -= batch.entries.pop(proxy, 0.0)
        self._drop_acknowledged_batches()

    def _drop_acknowledged_batches(self) -> None:
        """Drop the oldest batches as long as none of their entries may be queued."""
        while self.batches and not self.batches[0].entries:
            self._drop_oldest_batch()

    def _drop_oldest_batch(self) -> None:
        """Drop the oldest batch and subtract its entries."""
        self.unacknowledged_entries -= sum(self.batches.popleft().entries.values())
        if not self.batches:
            self.unacknowledged_entries = 0.0  # removes rounding errors
