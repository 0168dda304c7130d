"""How many lines wait in a steward's channel, by what was written and which marks were answered. Pure, untuned.

The channel sends in the order of writing, so an answered mark covers all that was written before it, and of its own
batch the message of the proxy that answered. What no answer covers may still wait, however long the told pace says it
takes: a channel may be far slower than told. What was written to a proxy that has left waits no longer.

No pace comes into it. A steward that went by half the told one left its channel idle while proxies waited for tables
(docs/incidents/2026-12-02-drains-after-a-herd.md); by the whole of it, a slow channel would fill.
"""

from collections import deque

LARGEST_MARK = 65535  # numbers of marks come round again


class Batch:
    """What one batch wrote: `lines` by proxy, under one mark."""

    __slots__ = ("mark", "written_at", "lines")

    def __init__(self, mark, written_at, lines):
        self.mark, self.written_at, self.lines = mark, written_at, lines


class ChannelBacklog:
    """`head`: what a message counts beside its lines; `longest`: seconds after which an unanswered batch counts no
    longer, since who got it may have fallen silent."""

    __slots__ = (
        "head",
        "longest",
        "unanswered",
        "batches",
        "now",
        "mark",
        "open_batch",
        "open_lines",
    )

    def __init__(self, head, longest):
        self.head, self.longest = head, longest
        self.unanswered, self.batches = 0.0, deque()  # lines of batches that are written
        self.now, self.mark = 0.0, 0
        self.open_batch, self.open_lines = {}, 0.0  # of the batch that is being made

    @property
    def lines(self):
        return self.unanswered + self.open_lines

    def advance(self, now):
        """A batch begins."""
        self.now = now
        while self.batches and self.batches[0].written_at < now - self.longest:
            self.drop_oldest()

    def add(self, proxy, lines, new):
        """Lines for a proxy; with `new`, they begin its message of this batch, with a head and a mark."""
        lines += (self.head + 1) * new
        self.open_batch[proxy] = self.open_batch.get(proxy, 0.0) + lines
        self.open_lines += lines

    def end_batch(self):
        """The mark that the batch's messages carry, 0 where there are none."""
        if not self.open_batch:
            return 0
        self.mark = self.mark % LARGEST_MARK + 1
        self.batches.append(Batch(self.mark, self.now, self.open_batch))
        self.unanswered += self.open_lines
        self.open_batch, self.open_lines = {}, 0.0
        return self.mark

    def answered(self, proxy, mark):
        batch = next((batch for batch in self.batches if batch.mark == mark), None)
        if batch is None:
            return
        while self.batches[0] is not batch:
            self.drop_oldest()
        self.unanswered -= batch.lines.pop(proxy, 0.0)
        self.drop_empty()

    def left(self, proxy):
        """What was written to it can reach nobody and is not sent."""
        self.open_lines -= self.open_batch.pop(proxy, 0.0)
        for batch in self.batches:
            self.unanswered -= batch.lines.pop(proxy, 0.0)
        self.drop_empty()

    def drop_empty(self):
        while self.batches and not self.batches[0].lines:
            self.drop_oldest()

    def drop_oldest(self):
        self.unanswered -= sum(self.batches.popleft().lines.values())
        if not self.batches:
            self.unanswered = 0.0  # no sum of roundings
