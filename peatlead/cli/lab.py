"""Commands `lab ...`: scenarios in simulated time, searches for failing seeds, and studies."""

import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import TYPE_CHECKING, Optional

import click

from ..settings import SettingsError
from .common import PLANNERS, Settings
from .main import main

if TYPE_CHECKING:
    from ..lab.study import Study

PrintLine = Callable[[str], None]
ReportProgress = Callable[[int, str], None]  # called with the number of finished tasks and a note


@main.group()
def lab() -> None:
    """Run scenarios in simulated time, search for failing seeds, and run studies."""


def load_scenario(script: Optional[str], seed: int, kind: str) -> Settings:
    """Return the scenario of a day script, or a random scenario without a script.

    Raises ClickException if the script is not valid.
    """
    from ..lab.random_scenario import draw_scenario
    from ..scenario.script import read_day

    try:
        scenario: Settings = draw_scenario(seed, kind) if script is None else read_day(script)
    except SettingsError as error:
        raise click.ClickException(str(error)) from None
    return scenario


KIND_OPTION = click.option(
    "--kind", type=click.Choice(("fleet", "dns")), default="fleet", help="kind of random scenarios"
)


@lab.command(name="run")
@click.argument("script", type=click.Path(), required=False)
@click.option("--seed", type=int, default=1)
@click.option("--planner", type=click.Choice((*PLANNERS, "home", "oracle")), default="shards")
@KIND_OPTION
def lab_run(script: Optional[str], seed: int, planner: str, kind: str) -> None:
    """Play a day script, or a random scenario made from the seed, in simulated time."""
    from ..invariants.report import print_report
    from ..lab.day import play_day

    result = play_day(load_scenario(script, seed, kind), seed, planner)
    if result.report is not None:
        print_report(result.report, f"simulated, seed {seed}")
    for problem in result.problems:
        click.echo(f"problem: {problem}")
    click.echo(
        f"digest {result.digest}, {result.event_count} events, "
        f"{result.end_time:.1f} simulated seconds"
    )
    sys.exit(1 if result.problems else 0)


@contextmanager
def show_progress(label: str, total: int) -> Iterator[tuple[PrintLine, ReportProgress]]:
    """Yield functions `(print_line, report_progress)` for a run of `total` tasks.

    On a terminal a progress bar shows the finished tasks and the remaining time; elsewhere only the
    printed lines are shown.
    """
    if not sys.stderr.isatty():
        yield click.echo, lambda done, note: None
        return
    from rich.console import Console
    from rich.progress import (
        BarColumn,
        MofNCompleteColumn,
        Progress,
        TextColumn,
        TimeRemainingColumn,
    )

    console = Console(stderr=True)
    columns = (
        TextColumn(label),
        BarColumn(),
        MofNCompleteColumn(),
        TimeRemainingColumn(),
        TextColumn("{task.fields[note]}"),
    )
    with Progress(*columns, console=console) as bar:
        task = bar.add_task(label, total=total, note="")
        yield bar.console.print, lambda done, note: bar.update(task, completed=done, note=note)


@lab.command(
    name="hunt",
    help="Play random scenarios for the seeds from FIRST up to, not including, LAST, and print "
    "each failing scenario as a shortened day script.",
)
@click.argument("first", type=int)
@click.argument("last", type=int)
@click.option("--workers", type=int, help="number of processes; by default one for each core")
@click.option(
    "--most", type=int, default=5, help="number of failing seeds after which the search ends"
)
@click.option(
    "--length", type=float, default=20.0, help="length of each scenario in simulated seconds"
)
@KIND_OPTION
def lab_hunt(
    first: int, last: int, workers: Optional[int], most: int, length: float, kind: str
) -> None:
    """Play the scenarios of a range of seeds and print those that fail as day scripts."""
    from ..lab.hunt import search_seeds

    with show_progress(f"searching {kind} scenarios", last - first) as (
        print_line,
        report_progress,
    ):
        failing_seeds, played_count = search_seeds(
            range(first, last), kind, length, workers, print_line, most, report_progress
        )
    for failing in failing_seeds:
        click.echo(f"\n# seed {failing.seed}: {'; '.join(failing.problems[:3])}\n{failing.script}")
    click.echo(f"{played_count} {kind} scenarios played, {len(failing_seeds)} failed")
    sys.exit(1 if failing_seeds else 0)


@lab.command(
    name="replay",
    help="Play a scenario again and print all events of WHAT: a request, a proxy, a view, "
    "an endpoint or an address.",
)
@click.argument("what")
@click.option(
    "--script",
    type=click.Path(),
    help="a day script; by default a random scenario made from the seed",
)
@click.option("--seed", type=int, default=1)
@KIND_OPTION
def lab_replay(what: str, script: Optional[str], seed: int, kind: str) -> None:
    """Play a scenario again and print all events of a request, proxy, view, endpoint or address."""
    from ..lab.day import play_day
    from ..lab.timeline import timeline

    result = play_day(load_scenario(script, seed, kind), seed)
    lines = timeline(result.rows, what, result.logs)
    click.echo("\n".join(lines) if lines else f"no events of {what!r} in this scenario")


def load_study(path: str) -> "Study":
    """Return the study in a file. Raises ClickException if the file is not valid."""
    from ..lab.study import Study

    try:
        return Study(path, Path(path).read_text(encoding="utf-8"))
    except SettingsError as error:
        raise click.ClickException(str(error)) from None
    except (OSError, UnicodeDecodeError) as error:
        raise click.ClickException(f"{path}:1: expected a readable study: {error}") from None


RESULTS_OPTION = click.option(
    "--results",
    "base",
    type=click.Path(),
    default="found/lab.sqlite",
    help="database file of results",
)


@lab.command(name="study")
@click.argument("file", type=click.Path())
@click.option("--workers", type=int)
@RESULTS_OPTION
def lab_study(file: str, workers: Optional[int], base: str) -> None:
    """Play the cells of a study that have no results yet; can be stopped and run again."""
    from ..lab.study import Results, run_study

    study, results = load_study(file), Results(base)
    with show_progress(
        study.parameters["name"],
        len(study.cells()) - len(results.finished_cells(study.parameters["name"])),
    ) as (print_line, report_progress):
        run_study(study, results, workers, print_line, report_progress)


@lab.command(name="compare")
@click.argument("file", type=click.Path())
@click.argument("figure")
@RESULTS_OPTION
def lab_compare(file: str, figure: str, base: str) -> None:
    """Compare FIGURE with the first variant and policy: paired differences, 95% intervals."""
    from ..lab.study import Results, compare_paired

    study, results = load_study(file), Results(base)
    baseline, *others = [
        (variant, policy) for variant in study.variants for policy in study.policies
    ]
    for case in study.cases:
        for other in others:
            try:
                comparison = compare_paired(
                    results, study.parameters["name"], figure, baseline, other, case
                )
            except ValueError as error:
                raise click.ClickException(str(error)) from None
            difference = "not played"
            if comparison is not None:
                difference = "{:+.4g} [{:+.4g}, {:+.4g}], {} pairs".format(*comparison)
            pair = f"{other[0]} / {other[1]} minus {baseline[0]} / {baseline[1]}"
            click.echo(f"{case}: {pair}: {difference}")


@lab.command(name="report")
@click.argument("file", type=click.Path())
@click.argument("out", type=click.Path(dir_okay=False))
@RESULTS_OPTION
def lab_report(file: str, out: Optional[str], base: str) -> None:
    """Write a study's tables and charts to one HTML file."""
    from ..lab.report import write_report
    from ..lab.study import Results

    write_report(Results(base), load_study(file), out)
    click.echo(out)
