"""Commands `lab ...`: scenarios on simulated time, hunts for failing seeds, studies."""

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

Say = Callable[[str], None]  # prints a line
Step = Callable[[int, str], None]  # parts that are done, and a note


@main.group()
def lab() -> None:
    """The emulator: days on simulated time, hunts, studies."""


def day_of(script: Optional[str], seed: int, kind: str) -> Settings:
    """A day from a script, or drawn by seed."""
    from ..lab.random_scenario import draw_scenario
    from ..scenario.script import read_day

    try:
        scenario: Settings = draw_scenario(seed, kind) if script is None else read_day(script)
    except SettingsError as problem:
        raise click.ClickException(str(problem)) from None
    return scenario


KIND = click.option(
    "--kind", type=click.Choice(("fleet", "dns")), default="fleet", help="of drawn days"
)


@lab.command(name="run")
@click.argument("script", type=click.Path(), required=False)
@click.option("--seed", type=int, default=1)
@click.option("--planner", type=click.Choice((*PLANNERS, "home", "oracle")), default="shards")
@KIND
def lab_run(script: Optional[str], seed: int, planner: str, kind: str) -> None:
    """Plays a day script, or the day that SEED draws, on simulated time."""
    from ..invariants.report import show
    from ..lab.day import play_day

    played = play_day(day_of(script, seed, kind), seed, planner)
    if played.report is not None:
        show(played.report, f"simulated, seed {seed}")
    for find in played.problems:
        click.echo(f"found: {find}")
    click.echo(
        f"digest {played.digest}, {played.events} events, {played.seconds:.1f} simulated seconds"
    )
    sys.exit(1 if played.problems else 0)


@contextmanager
def progress(what: str, many: int) -> Iterator[tuple[Say, Step]]:
    """Functions `(say, step)` that show the progress of work in many parts.

    On a terminal that is a bar with the time that is left, else plain lines.
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
        TextColumn(what),
        BarColumn(),
        MofNCompleteColumn(),
        TimeRemainingColumn(),
        TextColumn("{task.fields[note]}"),
    )
    with Progress(*columns, console=console) as bar:
        task = bar.add_task(what, total=many, note="")
        yield bar.console.print, lambda done, note: bar.update(task, completed=done, note=note)


@lab.command(
    name="hunt",
    help="Plays seeds FIRST to LAST (not included); what breaks "
    "is cut down and printed as a day script.",
)
@click.argument("first", type=int)
@click.argument("last", type=int)
@click.option("--workers", type=int, help="processes; the machine's cores if not given")
@click.option("--most", type=int, default=5, help="finds after which it ends")
@click.option("--length", type=float, default=20.0, help="simulated seconds of each day")
@KIND
def lab_hunt(
    first: int, last: int, workers: Optional[int], most: int, length: float, kind: str
) -> None:
    """Plays seeds FIRST to LAST (not included); what breaks is cut down to a day script."""
    from ..lab.hunt import search_seeds

    with progress(f"hunting {kind}", last - first) as (say, step):
        finds, played = search_seeds(range(first, last), kind, length, workers, say, most, step)
    for find in finds:
        click.echo(f"\n# seed {find.seed}: {'; '.join(find.problems[:3])}\n{find.script}")
    click.echo(f"{played} seeds of {kind}, {len(finds)} finds")
    sys.exit(1 if finds else 0)


@lab.command(
    name="replay",
    help="The story of WHAT (a req, an agent, a desk, "
    "a host, an address) in a day that is played again.",
)
@click.argument("what")
@click.option("--script", type=click.Path(), help="a day script; else the day that the seed draws")
@click.option("--seed", type=int, default=1)
@KIND
def lab_replay(what: str, script: Optional[str], seed: int, kind: str) -> None:
    """The story of WHAT (a req, an agent, a desk, a host, an address) in a day played again."""
    from ..lab.day import play_day
    from ..lab.timeline import timeline

    played = play_day(day_of(script, seed, kind), seed)
    lines = timeline(played.rows, what, played.logs)
    click.echo("\n".join(lines) if lines else f"nothing in this day is about {what!r}")


def study_of(path: str) -> "Study":
    """A study, read from its file and checked."""
    from ..lab.study import Study

    try:
        return Study(path, Path(path).read_text(encoding="utf-8"))
    except SettingsError as problem:
        raise click.ClickException(str(problem)) from None
    except (OSError, UnicodeDecodeError) as problem:
        raise click.ClickException(f"{path}:1: expected a readable study: {problem}") from None


BASE = click.option(
    "--results", "base", type=click.Path(), default="found/lab.sqlite", help="the file of results"
)


@lab.command(name="study")
@click.argument("file", type=click.Path())
@click.option("--workers", type=int)
@BASE
def lab_study(file: str, workers: Optional[int], base: str) -> None:
    """Plays what is missing of a study; may be stopped and run again."""
    from ..lab.study import Results, run_study

    study, results = study_of(file), Results(base)
    with progress(
        study.parameters["name"],
        len(study.cells()) - len(results.finished_cells(study.parameters["name"])),
    ) as (say, step):
        run_study(study, results, workers, say, step)


@lab.command(name="compare")
@click.argument("file", type=click.Path())
@click.argument("figure")
@BASE
def lab_compare(file: str, figure: str, base: str) -> None:
    """Paired differences of FIGURE to the first variant and policy, with 95% intervals."""
    from ..lab.study import Results, compare_paired

    study, results = study_of(file), Results(base)
    base_line, *others = [
        (variant, policy) for variant in study.variants for policy in study.policies
    ]
    for case in study.cases:
        for other in others:
            try:
                found = compare_paired(
                    results, study.parameters["name"], figure, base_line, other, case
                )
            except ValueError as problem:
                raise click.ClickException(str(problem)) from None
            difference = "not played"
            if found is not None:
                difference = "{:+.4g} [{:+.4g}, {:+.4g}], {} pairs".format(*found)
            pair = f"{other[0]} / {other[1]} less {base_line[0]} / {base_line[1]}"
            click.echo(f"{case}: {pair}: {difference}")


@lab.command(name="report")
@click.argument("file", type=click.Path())
@click.argument("out", type=click.Path(dir_okay=False))
@BASE
def lab_report(file: str, out: Optional[str], base: str) -> None:
    """Writes a study's tables and charts as one HTML file."""
    from ..lab.report import write_report
    from ..lab.study import Results

    write_report(Results(base), study_of(file), out)
    click.echo(out)
