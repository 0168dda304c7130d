"""Load reports in ORCA form: the `endpoint-load-metrics` response header, as TEXT or JSON.

Source: the Open Request Cost Aggregation specification (xds.data.orca.v3.OrcaLoadReport). The
header's value is `TEXT name=value, ...` or `JSON {...}`. Times are in seconds, utilizations are
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

LoadReport = dict[str, float]  # by the report fields' names of the settings


def format_load_report(report: LoadReport) -> str:
    """Return the header's value for a report."""
    return "TEXT " + ", ".join(
        f"{METRIC_OF_FIELD[field]}={value:.6g}" for field, value in sorted(report.items())
    )


def parse_load_report(value: str) -> LoadReport:
    """Parse a header's value; metrics that are unknown, not numbers or out of range are ignored."""
    form, _, body = value.strip().partition(" ")
    if form.upper() == "TEXT":
        return read_text(body)
    if form.upper() == "JSON":
        return read_json(body)
    return {}


def read_text(body: str) -> LoadReport:
    """Parse the TEXT form."""
    report: LoadReport = {}
    for pair in body.split(","):
        metric, _, number = pair.partition("=")
        add_metric(report, metric.strip(), number.strip())
    return report


def read_json(body: str) -> LoadReport:
    """Parse the JSON form, whose named metrics are in an inner object."""
    try:
        document = msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return {}
    report: LoadReport = {}
    if not isinstance(document, dict):
        return report
    for metric, number in document.items():
        if isinstance(number, dict):
            for inner_metric, inner_number in number.items():
                add_metric(report, f"{metric}.{inner_metric}", inner_number)
        else:
            add_metric(report, metric, number)
    return report


def add_metric(report: LoadReport, metric: str, value: object) -> None:
    """Add a metric to the report if it is known, finite and not negative."""
    try:
        number = float(value)  # type: ignore[arg-type]
    except (TypeError, ValueError):
        return
    if metric in FIELD_OF_METRIC and math.isfinite(number) and number >= 0:
        report[FIELD_OF_METRIC[metric]] = number
