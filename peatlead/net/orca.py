"""Load reports in the published ORCA form: the `endpoint-load-metrics` response header, as TEXT or JSON.

Source: the Open Request Cost Aggregation specification (xds.data.orca.v3.OrcaLoadReport); the header's
value is `TEXT name=value, ...` or `JSON {...}`. Times are ours, in seconds; utilizations are parts of one.
"""

import math

import msgspec

HEADER = "endpoint-load-metrics"
OURS = {
    "cpu_utilization": "util",
    "rps_fractional": "done_rate",
    "eps": "bad_rate",
    "named_metrics.waiting": "waiting",
    "named_metrics.holding": "holding",
}
THEIRS = {ours: theirs for theirs, ours in OURS.items()}


def write_report(report):
    """The header's value for {our name: number}."""
    return "TEXT " + ", ".join(
        f"{THEIRS[name]}={value:.6g}" for name, value in sorted(report.items())
    )


def read_report(value):
    """{our name: number} of a header's value; what is not known, no number or out of range is passed over."""
    form, _, rest = value.strip().partition(" ")
    found = {}
    if form.upper() == "TEXT":
        for pair in rest.split(","):
            name, _, number = pair.partition("=")
            take(found, name.strip(), number.strip())
    elif form.upper() == "JSON":
        try:
            said = msgspec.json.decode(rest)
        except (msgspec.DecodeError, UnicodeDecodeError):
            return {}
        for name, number in said.items() if isinstance(said, dict) else ():
            if isinstance(number, dict):
                for inner, one in number.items():
                    take(found, f"{name}.{inner}", one)
            else:
                take(found, name, number)
    return found


def take(found, name, number):
    try:
        number = float(number)
    except (TypeError, ValueError):
        return
    if name in OURS and math.isfinite(number) and number >= 0:
        found[OURS[name]] = number
