"""Gossip between controllers about failing endpoints.

A failing endpoint receives few attempts, and each controller receives reports of only a part of
these attempts, which may not suffice to eject the endpoint. A controller sends only the counts that
its own proxies report, so that no count is propagated in a circle.
"""

from typing import NamedTuple

from ..interface import GossipReceived, SendGossip
from .context import PlannerContext
from .endpoint_state import DISTANT_PAST, Counts, DatedCounts, EndpointState
from .load_statistics import FailingEndpoint, LoadStatistics

MAX_ENDPOINTS = 20  # endpoints that are sent per round, and read per received message
MAX_PAYLOAD_BYTES = 250  # the wire format allows 256
MAX_COUNT = 1e6  # attempts, errors or seconds; greater received values are reduced to this


class ReportedCounts(NamedTuple):
    """One line of a gossip message: the counts of one endpoint."""

    name: bytes
    counts: Counts


def encode_payloads(failing: list[FailingEndpoint]) -> list[bytes]:
    """Return the payloads of the gossip messages about the endpoints with most errors.

    Each line consists of an endpoint's name, attempts, errors and summed latency in seconds. A line
    that alone exceeds `MAX_PAYLOAD_BYTES` is left out.
    """
    worst = sorted(
        failing, key=lambda endpoint: (-endpoint.counts.errors, endpoint.name, endpoint.counts)
    )
    payloads = [b""]
    for name, counts in worst[:MAX_ENDPOINTS]:
        line = b"%s %.1f %.1f %.2f" % (name, *counts)
        if payloads[-1] and len(payloads[-1]) + 1 + len(line) > MAX_PAYLOAD_BYTES:
            payloads.append(b"")
        payloads[-1] += b"\n" * bool(payloads[-1]) + line
    return [payload for payload in payloads if len(payload) <= MAX_PAYLOAD_BYTES]


def decode_payload(payload: bytes) -> list[ReportedCounts]:
    """Return the counts of a payload by endpoint name.

    Malformed lines, for instance of another release, are ignored.
    """
    reported = []
    for line in payload.split(b"\n")[:MAX_ENDPOINTS]:
        name, *fields = line.split(b" ")
        try:
            attempts, errors, latency_sum = [
                min(MAX_COUNT, max(0.0, float(field))) for field in fields
            ]
        except ValueError:
            continue
        if 0 < errors <= attempts:
            reported.append(ReportedCounts(name, Counts(attempts, errors, latency_sum)))
    return reported


class Gossip:
    """Sends and receives gossip messages."""

    def __init__(self, context: PlannerContext, load_statistics: LoadStatistics) -> None:
        self.context = context
        self.load_statistics = load_statistics

    def send(self, failing: list[FailingEndpoint]) -> None:
        """Send the messages of this round, if gossip is enabled."""
        if failing and self.context.settings.get("peer_notes"):
            payloads = encode_payloads(failing)
            self.context.commands += [SendGossip(None, payload) for payload in payloads]

    def on_gossip(self, event: GossipReceived) -> None:
        """Store the counts that the proxies of another controller reported."""
        by_name = {endpoint.name: endpoint for endpoint in self.context.endpoints.values()}
        for name, counts in decode_payload(event.payload):
            endpoint = by_name.get(name)
            if endpoint and self._covers_this_process(endpoint):
                now = self.context.now
                endpoint.counts_by_peer[event.sender] = DatedCounts(now, *counts)
                if counts.attempts - counts.errors >= 1:
                    endpoint.last_success_at = now

    def _covers_this_process(self, endpoint: EndpointState) -> bool:
        """Return whether the endpoint's process was running during the whole last cycle."""
        return self.context.now - self.load_statistics.reporting_cycle > (
            endpoint.cold_since or DISTANT_PAST
        )
