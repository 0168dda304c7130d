"""Notes between controllers about endpoints that fail.

Each controller receives reports of a part of the few attempts that a failing endpoint still gets:
no part alone may suffice to eject it. A controller sends what its own proxies report, never what
others sent, so that no count travels in a circle.
"""

from typing import NamedTuple

from ..interface import GossipReceived, SendGossip
from .context import PlannerContext
from .endpoint_state import NEVER, Counts, DatedCounts, EndpointState
from .load_statistics import FailingEndpoint, LoadStatistics

MAX_ENDPOINTS = 20  # of a round's notes, and of one that is read
MAX_NOTE_BYTES = 250  # the wire takes 256
MAX_COUNT = 1e6  # attempts, errors or seconds that a note is believed


class Report(NamedTuple):
    """One line of a note."""

    name: bytes
    counts: Counts


def format_notes(failing: list[FailingEndpoint]) -> list[bytes]:
    """Notes of the worst endpoints: a line each of name, attempts, errors and seconds."""
    worst = sorted(failing, key=lambda failed: (-failed.counts.errors, failed.name, failed.counts))
    notes = [b""]
    for name, counts in worst[:MAX_ENDPOINTS]:
        line = b"%s %.1f %.1f %.2f" % (name, *counts)
        if notes[-1] and len(notes[-1]) + 1 + len(line) > MAX_NOTE_BYTES:
            notes.append(b"")
        notes[-1] += b"\n" * bool(notes[-1]) + line
    return [note for note in notes if len(note) <= MAX_NOTE_BYTES]


def parse_note(payload: bytes) -> list[Report]:
    """The lines of a note; those that can't be read, as of another release, are left out."""
    reports = []
    for line in payload.split(b"\n")[:MAX_ENDPOINTS]:
        name, *fields = line.split(b" ")
        try:
            attempts, errors, latency = [min(MAX_COUNT, max(0.0, float(field))) for field in fields]
        except ValueError:
            continue
        if 0 < errors <= attempts:
            reports.append(Report(name, Counts(attempts, errors, latency)))
    return reports


class Gossip:
    """Sends and takes in notes."""

    def __init__(self, context: PlannerContext, statistics: LoadStatistics) -> None:
        self.context = context
        self.statistics = statistics

    def send(self, failing: list[FailingEndpoint]) -> None:
        """Send this round's notes, where notes are permitted."""
        if failing and self.context.settings.get("peer_notes"):
            notes = format_notes(failing)
            self.context.commands += [SendGossip(None, note) for note in notes]

    def on_note(self, event: GossipReceived) -> None:
        """Count what another controller's proxies report."""
        by_name = {endpoint.name: endpoint for endpoint in self.context.endpoints.values()}
        for name, counts in parse_note(event.payload):
            endpoint = by_name.get(name)
            if endpoint and self._covers_this_process(endpoint):
                now = self.context.now
                endpoint.peer_stats[event.sender] = DatedCounts(now, *counts)
                if counts.attempts - counts.errors >= 1:
                    endpoint.last_success_at = now

    def _covers_this_process(self, endpoint: EndpointState) -> bool:
        """Whether counts of the last cycle are those of the present process."""
        return self.context.now - self.statistics.cycle > (endpoint.cold_since or NEVER)
