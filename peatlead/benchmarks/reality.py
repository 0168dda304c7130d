"""Compares the lab's results with those of the same day scripts on loopback sockets.

`python -m peatlead.benchmarks.reality FOLDER [WORKERS]`, where FOLDER was written by
`peatlead kinds --out FOLDER`. Prints a Markdown table.
"""

import json
import multiprocessing
import sys
from pathlib import Path
from typing import Any, NamedTuple

from ..lab.day import play_day
from ..scenario.kinds import BASE_SCRIPT, CASES
from ..scenario.script import load_day

HEADER = (
    "| case | sockets | lab | difference | rules 1 to 5, sockets | lab |\n"
    "| --- | --- | --- | --- | --- | --- |"
)


class LabResult(NamedTuple):
    """The result of one case in the lab."""

    name: str
    service: float  # earned fraction of the gain of all requests
    limit_fractions: list[float]  # highest value of each rule / its limit
    broken_rules: Any  # empty if no rule was broken


def play_case(name: str) -> LabResult:
    """Play a case's day in the lab."""
    day = load_day(name, BASE_SCRIPT + CASES[name])
    result = play_day(day, day["day"]["seed"])
    return LabResult(
        name,
        result.report.service["whole"]["part"],
        [finding.fraction_of_limit for finding in result.report.findings],
        result.problems,
    )


def report_path(folder: Path, name: str) -> Path:
    """Return the path to which `peatlead kinds` wrote the report of a case."""
    return folder / name.replace(" ", "-").replace(",", "") / "shards" / "report.json"


def format_row(report: dict[str, Any], lab: LabResult) -> str:
    """Return a case's row of the table, from its report on sockets and its result in the lab.

    The row ends with "!" if a rule was broken in the lab.
    """
    service = report["service"]["whole"]["part"]
    on_sockets = ", ".join(f"{rule['nearest']:.2f}" for rule in report["rules"].values())
    in_lab = ", ".join(f"{fraction:.2f}" for fraction in lab.limit_fractions)
    broken_mark = " !" if lab.broken_rules else ""
    return (
        f"| {lab.name} | {service:.3f} | {lab.service:.3f} | {lab.service - service:+.3f} | "
        f"{on_sockets} | {in_lab}{broken_mark} |"
    )


def main() -> None:
    """Print one row for each case that has a report."""
    folder = Path(sys.argv[1])
    workers = int(sys.argv[2]) if len(sys.argv) > 2 else None
    print(HEADER)
    with multiprocessing.get_context("spawn").Pool(workers) as pool:
        for lab in pool.imap(play_case, CASES):
            path = report_path(folder, lab.name)
            if path.exists():
                print(format_row(json.loads(path.read_text()), lab), flush=True)


if __name__ == "__main__":
    main()
