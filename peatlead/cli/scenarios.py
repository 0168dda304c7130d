"""Commands `day`, `kinds` and `rules`: scripted scenarios and the check of recordings."""

import asyncio
import json
import sys
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING, Optional

import click

from ..settings import SettingsError
from .common import PLANNERS, Settings, settings_or_exit
from .main import main

if TYPE_CHECKING:
    from ..invariants.checker import Report

TITLES = {
    "shards": "peatlead",
    "plain": "plain baseline (every host in every answer, no health)",
}
BASELINE_ADDRESSES = 32  # in each answer of the baseline: more than any scenario has endpoints
SERVED = ("done", "late")  # outcomes of requests that were answered
TABLE_WIDTH = 118  # columns


@main.command(
    help="Plays a day script against stand-ins and checks "
    "the five rules from what crossed the sockets.",
)
@click.argument("script", type=click.Path())
@click.option("--planner", type=click.Choice((*PLANNERS, "both")), default="shards")
@click.option(
    "--out", type=click.Path(file_okay=False), help="folder for settings, record and logs"
)
def day(script: str, planner: str, out: Optional[str]) -> None:
    """Plays a day script against stand-ins and checks the five rules from what was recorded."""
    from ..scenario.script import read_day

    try:
        scenario = read_day(script)
    except SettingsError as problem:
        raise click.ClickException(str(problem)) from None
    folder = Path(out or tempfile.mkdtemp(prefix="peatlead-day-"))
    chosen = PLANNERS if planner == "both" else (planner,)
    reports = asyncio.run(play_all(scenario, folder, chosen))
    for name, report in reports.items():
        show_report(report, folder / name, name)
    if planner == "both":
        compare(reports)
    click.echo(f"record and logs: {folder}")
    sys.exit(0 if reports[chosen[0]].kept else 1)


async def play_all(
    scenario: Settings, folder: Path, planners: tuple[str, ...]
) -> "dict[str, Report]":
    """Play side by side, so that load of this machine strikes all planners alike."""
    from ..scenario.runner import Day

    steering = {**scenario["steering"], "addresses": BASELINE_ADDRESSES}
    baseline = {**scenario, "steering": steering}
    days = [
        Day(baseline if planner == "plain" else scenario, folder / planner, planner)
        for planner in planners
    ]
    return dict(zip(planners, await asyncio.gather(*(day.play() for day in days))))


def show_report(report: "Report", folder: Path, planner: str) -> None:
    """Print a report and store it beside its recording."""
    from ..invariants.report import as_data, show

    show(report, TITLES[planner])
    (folder / "report.json").write_text(json.dumps(as_data(report), indent=1))


def compare(reports: "dict[str, Report]") -> None:
    """Print the service of the planner and of the baseline side by side."""
    from rich.console import Console
    from rich.table import Table

    table = Table(title="service, side by side", title_justify="left")
    for name in ("request kind", "peatlead", "plain", "not served: peatlead", "not served: plain"):
        table.add_column(name, justify="right")
    planned, baseline = reports["shards"].service, reports["plain"].service
    for request_class in planned:
        rows = planned[request_class], baseline[request_class]
        parts = [f"{row['part']:.4f}" for row in rows]
        table.add_row(request_class, *parts, *(str(not_served(row)) for row in rows))
    Console(width=TABLE_WIDTH).print(table)


def not_served(row: Settings) -> int:
    """How many requests of a class got no answer that counts."""
    outcomes: dict[str, int] = row["outcomes"]
    return sum(count for outcome, count in outcomes.items() if outcome not in SERVED)


@main.command()
@click.option(
    "--out",
    type=click.Path(file_okay=False),
    required=True,
    help="folder for records and the table",
)
@click.option("--only", help="one case by name")
@click.option("--at-once", type=int, default=3, help="cases played side by side")
def kinds(out: str, only: Optional[str], at_once: int) -> None:
    """Plays each kind of trouble alone, beside the plain baseline, and keeps a table."""
    from ..scenario.kinds import play_cases

    try:
        found = asyncio.run(play_cases(Path(out), only, at_once, click.echo))
    except KeyError:
        raise click.ClickException(f"--only: no case is called {only!r}") from None
    sys.exit(0 if found else 1)


@main.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
def rules(folder: str) -> None:
    """Checks a day's record again."""
    from ..invariants.checker import check as check_rows
    from ..invariants.record import read_folder
    from ..invariants.report import show

    settings = settings_or_exit(str(Path(folder) / "settings.star"))
    gains = {one["name"]: one["gain"] for one in settings["request_kind"]}
    report = check_rows(read_folder(folder), settings["limits"], gains)
    show(report, folder)
    sys.exit(0 if report.kept else 1)
