"""A report as tables for people (rich) and as plain data."""

from rich.console import Console
from rich.table import Table

LOST = ("late", "errored", "denied", "shed", "timed out", "unreachable", "broken", "unresolved")


def show(report, title, console=None):
    console = console or Console(width=118)
    table = Table(
        title=f"{title}: the five rules, from {report.rows} rows of the sockets",
        title_justify="left",
    )
    for name in ("rule", "nearest", "kept", "what was seen"):
        table.add_column(name)
    for rule, nearest, breaches, said in report.findings:
        table.add_row(rule, f"{nearest:.2f}", "yes" if not breaches else f"NO ({breaches})", said)
    console.print(table)
    table = Table(
        title="service: gain earned within the response target over gain asked for",
        title_justify="left",
    )
    for name in ("request kind", "reqs", "service", *LOST):
        table.add_column(name, justify="right")
    for kind, found in report.service.items():
        outcomes = found["outcomes"]
        table.add_row(
            kind,
            str(found["reqs"]),
            f"{found['part']:.4f}",
            *(str(outcomes.get(name, 0)) for name in LOST),
        )
    console.print(table)
    table = Table(
        title="sends to hosts past their drain's grace, by kind of resolver", title_justify="left"
    )
    for name in ("resolver", "answers", "sends", "after the grace", "worst past it"):
        table.add_column(name, justify="right")
    for kind, found in sorted(report.late_sends.items()):
        table.add_row(
            kind,
            str(report.answers.get(kind, 0)),
            str(found["sends"]),
            str(found["after grace"]),
            f"{max(0.0, found['worst']):.2f} s",
        )
    console.print(table)
    if report.takeovers:
        table = Table(
            title="agents of a struck controller: seconds until joined again", title_justify="left"
        )
        for name in ("what", "agents", "median", "99th", "worst"):
            table.add_column(name, justify="right")
        for what in sorted({one[0] for one in report.takeovers}):
            spans = sorted(one[1] for one in report.takeovers if one[0] == what)
            parts = [spans[int((len(spans) - 1) * part)] for part in (0.5, 0.99, 1.0)]
            table.add_row(what, str(len(spans)), *(f"{one:.2f}" for one in parts))
        console.print(table)
    if report.named:
        table = Table(title="hosts that failed without a word: seconds until", title_justify="left")
        for name in (
            "trouble",
            "hosts",
            "the last answer: middle, worst",
            "the last send: middle, worst",
        ):
            table.add_column(name, justify="right")
        for trouble in sorted({one[0] for one in report.named}):
            mine = [one for one in report.named if one[0] == trouble]
            ends = [sorted(one[at] for one in mine) for at in (2, 3)]
            table.add_row(
                trouble,
                str(len(mine)),
                *(f"{end[len(end) // 2]:.1f}, {end[-1]:.1f}" for end in ends),
            )
        console.print(table)


def as_data(report):
    return {
        "kept": report.kept,
        "rows": report.rows,
        "torn": report.torn,
        "service": report.service,
        "late_sends": report.late_sends,
        "answers": report.answers,
        "named": report.named,
        "takeovers": report.takeovers,
        "rules": {
            f.rule: {"nearest": f.nearest, "breaches": f.breaches, "said": f.said}
            for f in report.findings
        },
    }
