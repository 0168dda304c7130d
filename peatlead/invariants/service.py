"""What clients got: gain by request class, and how long failed endpoints were still used."""

from collections import Counter
from typing import Any

from .findings import STALE_RESOLVERS, FailedEndpoint, RowsByKind
from .record import Row

SILENT_FAULTS = ("silent", "hung")  # faults in which an endpoint reports nothing


def measure_service(requests: list[Row], gains: dict[str, float]) -> dict[str, dict[str, Any]]:
    """By request class and for the whole: requests, part of the gain that was earned, outcomes.

    `gains` is the gain of one request by class.
    """
    found = {}
    for request_class, gain in gains.items():
        mine = [row for row in requests if row.req and row.fields["kind"] == request_class]
        found[request_class] = summarize(mine, gain * len(mine))
    asked = sum(gain * found[request_class]["reqs"] for request_class, gain in gains.items())
    found["whole"] = summarize(requests, asked)
    return found


def summarize(requests: list[Row], asked: float) -> dict[str, Any]:
    """Requests, part of the asked gain that was earned, outcomes."""
    return {
        "reqs": len(requests),
        "part": sum(row.gain for row in requests) / max(1e-9, asked),
        "outcomes": dict(Counter(row.outcome for row in requests)),
    }


def failed_endpoints(rows: RowsByKind) -> list[FailedEndpoint]:
    """For each endpoint that fell silent or hung: until when it was named and used."""
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
    """When an answer named the address, or an attempt went there, last in the fault."""
    return max(
        (
            row.at
            for row in uses
            if fault.at < row.at < fault.until
            and address in (row.addresses if row.kind == "answer" else [row.address])
            and row.resolver in STALE_RESOLVERS
        ),
        default=fault.at,
    )
