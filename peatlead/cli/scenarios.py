"""Commands `day`, `kinds` and `rules`: play scripted scenarios and check their recordings."""

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

PLANNER_TITLES = {
    "shards": "peatlead",
    "plain": "plain baseline (all endpoints in every answer, no health checks)",
}
BASELINE_ADDRESSES = 32  # in each answer of the baseline; more than a scenario has endpoints
SERVED_OUTCOMES = ("done", "late")  # outcomes of requests that got a usable response
TABLE_WIDTH = 118  # characters


@main.command(
    help="Play a day script with stand-in endpoints and clients, and check the recorded traffic "
    "against the five rules.",
)
@click.argument("script", type=click.Path())
@click.option("--planner", type=click.Choice((*PLANNERS, "both")), default="shards")
@click.option(
    "--out", type=click.Path(file_okay=False), help="folder for settings, recording and logs"
)
def day(script: str, planner: str, out: Optional[str]) -> None:
    """Play a day script with stand-ins and check the recorded traffic against the five rules."""
    from ..scenario.script import read_day

    try:
        scenario = read_day(script)
    except SettingsError as error:
        raise click.ClickException(str(error)) from None
    folder = Path(out or tempfile.mkdtemp(prefix="peatlead-day-"))
    planners = PLANNERS if planner == "both" else (planner,)
    reports = asyncio.run(play_with_planners(scenario, folder, planners))
    for name, report in reports.items():
        print_and_store_report(report, folder / name, name)
    if planner == "both":
        print_comparison(reports)
    click.echo(f"recording and logs: {folder}")
    sys.exit(0 if reports[planners[0]].all_rules_kept else 1)


async def play_with_planners(
    scenario: Settings, folder: Path, planners: tuple[str, ...]
) -> "dict[str, Report]":
    """Play the scenario with all planners at the same time, so that all run under equal load.

    Returns the reports by planner.
    """
    from ..scenario.runner import Day

    steering = {**scenario["steering"], "addresses": BASELINE_ADDRESSES}
    baseline = {**scenario, "steering": steering}
    days = [
        Day(baseline if planner == "plain" else scenario, folder / planner, planner)
        for planner in planners
    ]
    return dict(zip(planners, await asyncio.gather(*(day.play() for day in days))))


def print_and_store_report(report: "Report", folder: Path, planner: str) -> None:
    """Print a report and store it in the folder of its recording."""
    from ..invariants.report import as_data, print_report

    print_report(report, PLANNER_TITLES[planner])
    (folder / "report.json").write_text(json.dumps(as_data(report), indent=1))


def print_comparison(reports: "dict[str, Report]") -> None:
    """Print the served fraction and the unserved requests of each class, for both planners."""
    from rich.console import Console
    from rich.table import Table

    table = Table(title="service of the planner and the baseline", title_justify="left")
    for name in ("request class", "peatlead", "plain", "not served: peatlead", "not served: plain"):
        table.add_column(name, justify="right")
    planned, baseline = reports["shards"].service, reports["plain"].service
    for request_class in planned:
        rows = planned[request_class], baseline[request_class]
        service = [f"{row['part']:.4f}" for row in rows]
        table.add_row(request_class, *service, *(str(count_unserved(row)) for row in rows))
    Console(width=TABLE_WIDTH).print(table)


def count_unserved(row: Settings) -> int:
    """Return how many requests of a class got no usable response, from the class's report row."""
    outcomes: dict[str, int] = row["outcomes"]
    return sum(count for outcome, count in outcomes.items() if outcome not in SERVED_OUTCOMES)


@main.command()
@click.option(
    "--out",
    type=click.Path(file_okay=False),
    required=True,
    help="folder for recordings and the table",
)
@click.option("--only", help="name of a single case to play")
@click.option("--at-once", type=int, default=3, help="number of scenarios played at once")
def kinds(out: str, only: Optional[str], at_once: int) -> None:
    """Play each kind of fault with the planner and the baseline, and write a table of results."""
    from ..scenario.kinds import play_cases

    try:
        all_rules_kept = asyncio.run(play_cases(Path(out), only, at_once, click.echo))
    except KeyError:
        raise click.ClickException(f"--only: expected the name of a case, got {only!r}") from None
    sys.exit(0 if all_rules_kept else 1)


@main.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
def rules(folder: str) -> None:
    """Check the recording in FOLDER against the five rules again."""
    from ..invariants.checker import check as check_rows
    from ..invariants.record import read_folder
    from ..invariants.report import print_report

    settings = settings_or_exit(str(Path(folder) / "settings.star"))
    gains = {entry["name"]: entry["gain"] for entry in settings["request_kind"]}
    report = check_rows(read_folder(folder), settings["limits"], gains)
    print_report(report, folder)
    sys.exit(0 if report.all_rules_kept else 1)
