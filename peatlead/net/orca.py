"""ORCA load reports in the `endpoint-load-metrics` response header.

Source: the Open Request Cost Aggregation specification (xds.data.orca.v3.OrcaLoadReport). The
header's value is `TEXT name=value, ...` or `JSON {...}`. Rates are per second; utilizations are
fractions of 1.
"""

import math

import msgspec

LOAD_REPORT_HEADER = "endpoint-load-metrics"
FIELD_OF_METRIC = {
    "cpu_utilization": "util",
    "rps_fractional": "done_rate",
    "eps": "bad_rate",
    "named_metrics.waiting": "waiting",
    "named_metrics.holding": "holding",
}
METRIC_OF_FIELD = {field: metric for metric, field in FIELD_OF_METRIC.items()}

LoadReport = dict[str, float]  # values by the field names of the settings, such as "util"


def format_load_report(report: LoadReport) -> str:
    """Return the header's value for a report, in the TEXT format."""
    return "TEXT " + ", ".join(
        f"{METRIC_OF_FIELD[field]}={value:.6g}" for field, value in sorted(report.items())
    )


def parse_load_report(value: str) -> LoadReport:
    """Parse a header's value; ignore metrics that are unknown, not numbers or out of range."""
    encoding, _, body = value.strip().partition(" ")
    if encoding.upper() == "TEXT":
        return parse_text(body)
    if encoding.upper() == "JSON":
        return parse_json(body)
    return {}


def parse_text(body: str) -> LoadReport:
    """Parse the TEXT format."""
    report: LoadReport = {}
    for pair in body.split(","):
        metric, _, number = pair.partition("=")
        add_metric(report, metric.strip(), number.strip())
    return report


def parse_json(body: str) -> LoadReport:
    """Parse the JSON format; named metrics are in a nested object."""
    try:
        document = msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return {}
    report: LoadReport = {}
    if not isinstance(document, dict):
        return report
    for metric, number in document.items():
        if isinstance(number, dict):
            for nested_metric, nested_number in number.items():
                add_metric(report, f"{metric}.{nested_metric}", nested_number)
        else:
            add_metric(report, metric, number)
    return report


def add_metric(report: LoadReport, metric: str, value: object) -> None:
    """Add a metric to the report if it is known, finite and not negative."""
    try:
        number = float(value)  # type: ignore[arg-type]
    except (TypeError, ValueError, OverflowError):
        return
    if metric in FIELD_OF_METRIC and math.isfinite(number) and number >= 0:
        report[FIELD_OF_METRIC[metric]] = number
