"""A report as tables for people (rich) and as plain data."""

from collections.abc import Iterable, Sequence
from typing import Any, Optional

from rich.console import Console
from rich.table import Table

from .findings import FailedEndpoint, Report, Takeover

WIDTH = 118  # columns
LOST = ("late", "errored", "denied", "shed", "timed out", "unreachable", "broken", "unresolved")
QUANTILES = (0.5, 0.99, 1.0)


def print_report(report: Report, title: str, console: Optional[Console] = None) -> None:
    """Print a report's tables; those of takeovers and failed endpoints only where there are any."""
    console = console or Console(width=WIDTH)
    console.print(rules_table(report, title))
    console.print(service_table(report))
    console.print(late_sends_table(report))
    if report.takeovers:
        console.print(takeovers_table(report.takeovers))
    if report.failed_endpoints:
        console.print(failed_endpoints_table(report.failed_endpoints))


def make_table(title: str, columns: Iterable[str], justify_right: bool) -> Table:
    """An empty table."""
    table = Table(title=title, title_justify="left")
    for column in columns:
        table.add_column(column, justify="right" if justify_right else "left")
    return table


def rules_table(report: Report, title: str) -> Table:
    """Each rule with its nearest approach."""
    table = make_table(
        f"{title}: the five rules, from {report.rows} rows of the sockets",
        ("rule", "nearest", "kept", "what was seen"),
        justify_right=False,
    )
    for rule, nearest, breaches, said in report.findings:
        kept = f"NO ({breaches})" if breaches else "yes"
        table.add_row(rule, f"{nearest:.2f}", kept, said)
    return table


def service_table(report: Report) -> Table:
    """Gain by request class, and what became of requests that were lost."""
    table = make_table(
        "service: gain earned within the response target over gain asked for",
        ("request kind", "reqs", "service", *LOST),
        justify_right=True,
    )
    for request_class, found in report.service.items():
        lost = [str(found["outcomes"].get(outcome, 0)) for outcome in LOST]
        table.add_row(request_class, str(found["reqs"]), f"{found['part']:.4f}", *lost)
    return table


def late_sends_table(report: Report) -> Table:
    """Sends past a drain's grace by kind of resolver."""
    table = make_table(
        "sends to hosts past their drain's grace, by kind of resolver",
        ("resolver", "answers", "sends", "after the grace", "worst past it"),
        justify_right=True,
    )
    for resolver, found in sorted(report.late_sends.items()):
        table.add_row(
            resolver,
            str(report.answers.get(resolver, 0)),
            str(found["sends"]),
            str(found["after grace"]),
            f"{max(0.0, found['worst']):.2f} s",
        )
    return table


def takeovers_table(takeovers: Sequence[Takeover]) -> Table:
    """How long proxies were without a controller, by cause."""
    table = make_table(
        "agents of a struck controller: seconds until joined again",
        ("what", "agents", "median", "99th", "worst"),
        justify_right=True,
    )
    for cause in sorted({takeover.cause for takeover in takeovers}):
        spans = sorted(takeover.duration for takeover in takeovers if takeover.cause == cause)
        quantiles = [spans[int((len(spans) - 1) * part)] for part in QUANTILES]
        table.add_row(cause, str(len(spans)), *(f"{span:.2f}" for span in quantiles))
    return table


def failed_endpoints_table(failed: Sequence[FailedEndpoint]) -> Table:
    """How long failed endpoints were still named and used, by fault."""
    table = make_table(
        "hosts that failed without a word: seconds until",
        ("trouble", "hosts", "the last answer: middle, worst", "the last send: middle, worst"),
        justify_right=True,
    )
    for fault in sorted({endpoint.fault for endpoint in failed}):
        mine = [endpoint for endpoint in failed if endpoint.fault == fault]
        answers = sorted(endpoint.until_last_answer for endpoint in mine)
        attempts = sorted(endpoint.until_last_attempt for endpoint in mine)
        spans = [f"{ends[len(ends) // 2]:.1f}, {ends[-1]:.1f}" for ends in (answers, attempts)]
        table.add_row(fault, str(len(mine)), *spans)
    return table


def as_data(report: Report) -> dict[str, Any]:
    """A report as plain values, the form of `report.json`."""
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
