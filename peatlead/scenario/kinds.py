"""Plays each kind of fault in a day of its own, under the planner and the baseline planner.

Generates the table in docs/results/kinds.md.
"""

import asyncio
import json
from collections.abc import Callable, Iterable
from pathlib import Path

from ..invariants.findings import Report
from ..invariants.report import as_data
from .runner import Day
from .script import load_day

PLANNERS = ("shards", "plain")
BASELINE_ADDRESSES = 32  # per answer; the days have fewer endpoints
DAY_LENGTH = 30  # seconds
BASE_SCRIPT = f"day(length = {DAY_LENGTH}, seed = 3)\n"
MIXED_CLIENTS = (
    'resolvers = ["keeps", "twice", "tenfold", "least", "stale"], '
    'habits = ["first", "any", "same", "sorted", "holds"]'
)
CASES = {  # day scripts by case name
    "quiet": "",
    "silent": "silent(at = 5, length = 15, part = 0.1)",
    "hung, deep probes": "hung(at = 5, length = 15, part = 0.1)",
    "hung, shallow probes": "fleet(deep_probes = False)\nhung(at = 5, length = 15, part = 0.1)",
    "quick errors": "quick_errors(at = 5, length = 15, part = 0.1)",
    "rolling release": "release(at = 4, length = 18, part = 0.6)",
    "list empties": "list_empty(at = 5, length = 12)",
    "list names ghosts": "list_ghosts(at = 5, length = 15, ghosts = 12)",
    "list shrinks": "list_shrunk(at = 5, length = 12, part = 0.5)",
    "list is old": "release(at = 2, length = 6, part = 0.2)\nlist_old(at = 12, length = 10)",
    "list torn": "list_torn(at = 5, length = 12)\nsilent(at = 6, length = 10, part = 0.08)",
    "steward killed": "steward_killed(at = 5, length = 8, steward = 0)",
    "steward killed, list old": (
        "list_old(at = 4, length = 14)\nsteward_killed(at = 5, length = 5, steward = 0)"
    ),
    "steward frozen": (
        "steward_frozen(at = 5, length = 10, steward = 0)\nrelease(at = 4, length = 10, part = 0.3)"
    ),
    "burst": "burst(at = 5, length = 10, times = 2.0)",
    "traffic moves zone": 'shift(at = 5, length = 15, zone = "silom", times = 1.9)',
    "pods restart": "pod_restart(at = 5, pods = 2)",
    "pauses": "pauses(at = 5, length = 15, part = 0.4)",
    "heavy tail": "heavy_tail(at = 5, length = 15)",
    "lost answers": "lost_answers(at = 5, length = 15, part = 0.2, lost = 0.3)",
    "neighbours": "neighbour(at = 5, length = 15, part = 0.4, stolen = 0.5)",
    "caches past the lifetime": f"desks({MIXED_CLIENTS})\nrelease(at = 4, length = 18, part = 0.6)",
    "half behind one resolver, fleet returns": (
        "desks(biggest = 0.5, rate = 200)\nrelease(at = 3, length = 20, part = 0.9)"
    ),
    "half behind one resolver, all pods restart": (
        "desks(biggest = 0.5, rate = 150)\npod_restart(at = 5, pods = 4)"
    ),
}


Reports = dict[tuple[str, str], Report]  # by case and planner


async def play_cases(
    folder: Path, only: str | None, at_once: int, echo: Callable[[str], None]
) -> bool:
    """Play all cases, or the case `only`, and write the table into the folder.

    Returns True if no case broke a rule under the planner "shards". At most `at_once` days run at
    the same time. Raises KeyError for an unknown case.
    """
    cases = {only: CASES[only]} if only else CASES
    day_limit = asyncio.Semaphore(at_once)
    reports: Reports = {}

    async def play_case(name: str, planner: str) -> None:
        report = await _play_case(name, planner, folder, day_limit)
        reports[name, planner] = report
        echo(
            f"{name} ({planner}): service {report.service['whole']['part']:.4f}, "
            f"{'rules kept' if report.all_rules_kept else 'RULES BROKEN'}"
        )

    await asyncio.gather(*(play_case(name, planner) for name in cases for planner in PLANNERS))
    table = as_table(cases, reports)
    (folder / "kinds.md").write_text(table)
    echo(table)
    return all(
        report.all_rules_kept for (_, planner), report in reports.items() if planner == "shards"
    )


async def _play_case(name: str, planner: str, folder: Path, day_limit: asyncio.Semaphore) -> Report:
    """Play a case under a planner, and store and return its report."""
    scenario = load_day(name, BASE_SCRIPT + CASES[name])
    if planner == "plain":
        scenario["steering"]["addresses"] = BASELINE_ADDRESSES
    case_folder = folder / name.replace(" ", "-").replace(",", "") / planner
    async with day_limit:
        report = await Day(scenario, case_folder, planner).play()
    (case_folder / "report.json").write_text(json.dumps(as_data(report), indent=1))
    return report


def as_table(cases: Iterable[str], reports: Reports) -> str:
    """Return the reports as a Markdown table with one row per case."""
    lines = [
        "| trouble | service | plain | not served | plain | rules: nearest 1 to 5 | plain breaks |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    lines += [_table_row(name, reports[name, "shards"], reports[name, "plain"]) for name in cases]
    return "\n".join(lines) + "\n"


def _table_row(name: str, planned: Report, baseline: Report) -> str:
    nearest = ", ".join(
        f"{finding.fraction_of_limit:.2f}" + "!" * bool(finding.breaches)
        for finding in planned.findings
    )
    broken_rules = [finding.rule[0] for finding in baseline.findings if finding.breaches]
    return (
        f"| {name} | {_format_service(planned)} | {_format_service(baseline)} "
        f"| {_count_not_served(planned)} | {_count_not_served(baseline)} "
        f"| {nearest} | {', '.join(broken_rules) or 'none'} |"
    )


def _format_service(report: Report) -> str:
    return f"{report.service['whole']['part']:.3f}"


def _count_not_served(report: Report) -> int:
    outcomes: dict[str, int] = report.service["whole"]["outcomes"]
    return sum(count for outcome, count in outcomes.items() if outcome not in ("done", "late"))
