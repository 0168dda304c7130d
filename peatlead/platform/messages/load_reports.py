"""Load reports of endpoints: translation of the platform's metric names to the planner's."""

from collections.abc import Mapping
from typing import Annotated, Optional

import msgspec
from msgspec import Meta, json

from ...interface import LoadReport
from ...wire.settings import REPORT_METRICS

# The planner's name of each metric. Reports on the platform use the metric names of the settings,
# REPORT_METRICS; the examples in the platform's documentation use the other names.
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
    """Return a load report of the metrics with known names, or None if there are none."""
    if not metrics:
        return None
    load_report = {
        METRIC_NAMES[name]: value
        for name, value in metrics.items()
        if name in METRIC_NAMES and value is not None
    }
    return load_report or None


def read_load_report(body: bytes) -> Optional[LoadReport]:
    """Parse the body of a health check's response.

    A malformed body counts as no load report and does not fail the health check.
    """
    try:
        return to_load_report(json.decode(body, type=Metrics))
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None
