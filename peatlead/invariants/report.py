"""Formats a report as tables for a terminal (rich) and as plain data for JSON."""

from collections.abc import Iterable, Sequence
from typing import Any, Optional

from rich.console import Console
from rich.table import Table

from .findings import FailedEndpoint, Report, Takeover

WIDTH = 118  # columns
LOSS_OUTCOMES = (
    "late",
    "errored",
    "denied",
    "shed",
    "timed out",
    "unreachable",
    "broken",
    "unresolved",
)
QUANTILES = (0.5, 0.99, 1.0)


def print_report(report: Report, title: str, console: Optional[Console] = None) -> None:
    """Print a report's tables, without those of takeovers and failed endpoints if empty."""
    console = console or Console(width=WIDTH)
    console.print(rules_table(report, title))
    console.print(service_table(report))
    console.print(late_sends_table(report))
    if report.takeovers:
        console.print(takeovers_table(report.takeovers))
    if report.failed_endpoints:
        console.print(failed_endpoints_table(report.failed_endpoints))


def make_table(title: str, columns: Iterable[str], justify_right: bool) -> Table:
    """Return a table without rows."""
    table = Table(title=title, title_justify="left")
    for column in columns:
        table.add_column(column, justify="right" if justify_right else "left")
    return table


def rules_table(report: Report, title: str) -> Table:
    """Return the table of rules with their findings."""
    table = make_table(
        f"{title}: rules checked on {report.rows} recorded rows",
        ("rule", "fraction of limit", "kept", "summary"),
        justify_right=False,
    )
    for rule, fraction_of_limit, breaches, summary in report.findings:
        kept = f"NO ({breaches})" if breaches else "yes"
        table.add_row(rule, f"{fraction_of_limit:.2f}", kept, summary)
    return table


def service_table(report: Report) -> Table:
    """Return the table of gains and of the counts of late and failed requests, by class."""
    table = make_table(
        "service: earned gain as a fraction of the gain of all requests",
        ("request class", "reqs", "service", *LOSS_OUTCOMES),
        justify_right=True,
    )
    for request_class, figures in report.service.items():
        loss_counts = [str(figures["outcomes"].get(outcome, 0)) for outcome in LOSS_OUTCOMES]
        table.add_row(request_class, str(figures["reqs"]), f"{figures['part']:.4f}", *loss_counts)
    return table


def late_sends_table(report: Report) -> Table:
    """Return the table of sends after a drain's grace, by resolver kind."""
    table = make_table(
        "attempts at endpoints after their drain grace, by resolver kind",
        ("resolver", "answers", "sends", "after the grace", "latest after the grace"),
        justify_right=True,
    )
    for resolver, figures in sorted(report.late_sends.items()):
        table.add_row(
            resolver,
            str(report.answers.get(resolver, 0)),
            str(figures["sends"]),
            str(figures["after grace"]),
            f"{max(0.0, figures['worst']):.2f} s",
        )
    return table


def takeovers_table(takeovers: Sequence[Takeover]) -> Table:
    """Return the table of times that proxies were without a controller, by cause."""
    table = make_table(
        "proxies of a killed, frozen or draining controller: seconds until reconnected",
        ("cause", "proxies", "median", "99th percentile", "maximum"),
        justify_right=True,
    )
    for cause in sorted({takeover.cause for takeover in takeovers}):
        durations = sorted(takeover.duration for takeover in takeovers if takeover.cause == cause)
        quantiles = [durations[int((len(durations) - 1) * quantile)] for quantile in QUANTILES]
        table.add_row(cause, str(len(durations)), *(f"{duration:.2f}" for duration in quantiles))
    return table


def failed_endpoints_table(failed: Sequence[FailedEndpoint]) -> Table:
    """Return the table of times that failed endpoints were still answered and used, by fault."""
    table = make_table(
        "silent and hung endpoints: seconds from the fault to",
        ("fault", "endpoints", "last answer: median, longest", "last attempt: median, longest"),
        justify_right=True,
    )
    for fault in sorted({endpoint.fault for endpoint in failed}):
        endpoints = [endpoint for endpoint in failed if endpoint.fault == fault]
        answers = sorted(endpoint.until_last_answer for endpoint in endpoints)
        attempts = sorted(endpoint.until_last_attempt for endpoint in endpoints)
        cells = [
            f"{sorted_seconds[len(sorted_seconds) // 2]:.1f}, {sorted_seconds[-1]:.1f}"
            for sorted_seconds in (answers, attempts)
        ]
        table.add_row(fault, str(len(endpoints)), *cells)
    return table


def as_data(report: Report) -> dict[str, Any]:
    """Return a report as plain values, the content of `report.json`."""
    return {
        "kept": report.all_rules_kept,
        "rows": report.rows,
        "torn": report.torn_bytes,
        "service": report.service,
        "late_sends": report.late_sends,
        "answers": report.answers,
        "named": report.failed_endpoints,
        "takeovers": report.takeovers,
        "rules": {
            finding.rule: {
                "nearest": finding.fraction_of_limit,
                "breaches": finding.breaches,
                "said": finding.summary,
            }
            for finding in report.findings
        },
    }
