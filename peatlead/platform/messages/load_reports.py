"""Load reports of endpoints: from the platform's names of metrics to the planner's."""

from collections.abc import Mapping
from typing import Annotated, Optional

import msgspec
from msgspec import Meta, json

from ...interface import LoadReport
from ...wire.settings import REPORT_METRICS

# Reports use the settings' names of the metrics, as the simulator's wire does; the platform's own
# examples use others.
METRIC_NAMES: dict[str, str] = {
    "inflight": "holding",
    "queue": "waiting",
    "util": "util",
    "latency_ms": "service_ms",
    "qps": "done_rate",
    "eps": "bad_rate",
    **REPORT_METRICS,
}

Metrics = dict[str, Optional[Annotated[float, Meta(ge=0, le=1e9)]]]


def to_load_report(metrics: Optional[Mapping[str, Optional[float]]]) -> Optional[LoadReport]:
    """Return the planner's load report of the metrics that it knows, or None if there are none."""
    if not metrics:
        return None
    load_report = {
        METRIC_NAMES[name]: value
        for name, value in metrics.items()
        if name in METRIC_NAMES and value is not None
    }
    return load_report or None


def read_load_report(body: bytes) -> Optional[LoadReport]:
    """Parse the body of an answered health check.

    A malformed body counts as no report: the endpoint has answered, and that is what was checked.
    """
    try:
        return to_load_report(json.decode(body, type=Metrics))
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None
