"""Measures the gain by request class, and how long failed endpoints were still used."""

from collections import Counter
from typing import Any

from .findings import DRAIN_BOUND_RESOLVERS, FailedEndpoint, RowsByKind
from .record import Row

SILENT_FAULTS = ("silent", "hung")  # faults of endpoints that stop responding


def measure_service(requests: list[Row], gains: dict[str, float]) -> dict[str, dict[str, Any]]:
    """Return the summary of each request class and, with the key "whole", of all requests.

    `gains` is the gain of one request by class.
    """
    results = {}
    for request_class, gain in gains.items():
        class_requests = [
            row for row in requests if row.req and row.fields["kind"] == request_class
        ]
        results[request_class] = summarize(class_requests, gain * len(class_requests))
    requested_gain = sum(
        gain * results[request_class]["reqs"] for request_class, gain in gains.items()
    )
    results["whole"] = summarize(requests, requested_gain)
    return results


def summarize(requests: list[Row], requested_gain: float) -> dict[str, Any]:
    """Return the number of requests, the earned fraction of the gain, and counts of outcomes."""
    return {
        "reqs": len(requests),
        "part": sum(row.gain for row in requests) / max(1e-9, requested_gain),
        "outcomes": dict(Counter(row.outcome for row in requests)),
    }


def failed_endpoints(rows: RowsByKind) -> list[FailedEndpoint]:
    """Return how long each endpoint that became silent or hung was still answered and used."""
    return [
        FailedEndpoint(
            fault.name,
            address,
            last_use(rows["answer"], fault, address) - fault.at,
            last_use(rows["try"], fault, address) - fault.at,
        )
        for fault in rows["trouble"]
        if fault.name in SILENT_FAULTS
        for address in fault.whom
    ]


def last_use(uses: list[Row], fault: Row, address: str) -> float:
    """Return the time of the last answer or attempt with an address during a fault."""
    return max(
        (
            row.at
            for row in uses
            if fault.at < row.at < fault.until
            and address in (row.addresses if row.kind == "answer" else [row.address])
            and row.resolver in DRAIN_BOUND_RESOLVERS
        ),
        default=fault.at,
    )
