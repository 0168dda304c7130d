"""Each kind of trouble alone, beside the plain baseline: the table of docs/results/kinds.md."""

import asyncio
import json

from ..invariants.report import as_data
from .runner import Day
from .script import load_day

LENGTH = 30
BASE = f"day(length = {LENGTH}, seed = 3)\n"
MIXED = (
    'resolvers = ["keeps", "twice", "tenfold", "least", "stale"], '
    'habits = ["first", "any", "same", "sorted", "holds"]'
)
CASES = {
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
    "steward killed, list old": "list_old(at = 4, length = 14)\nsteward_killed(at = 5, length = 5, steward = 0)",
    "steward frozen": "steward_frozen(at = 5, length = 10, steward = 0)\nrelease(at = 4, length = 10, part = 0.3)",
    "burst": "burst(at = 5, length = 10, times = 2.0)",
    "traffic moves zone": 'shift(at = 5, length = 15, zone = "silom", times = 1.9)',
    "pods restart": "pod_restart(at = 5, pods = 2)",
    "pauses": "pauses(at = 5, length = 15, part = 0.4)",
    "heavy tail": "heavy_tail(at = 5, length = 15)",
    "lost answers": "lost_answers(at = 5, length = 15, part = 0.2, lost = 0.3)",
    "neighbours": "neighbour(at = 5, length = 15, part = 0.4, stolen = 0.5)",
    "caches past the lifetime": f"desks({MIXED})\nrelease(at = 4, length = 18, part = 0.6)",
    "half behind one resolver, fleet returns": "desks(biggest = 0.5, rate = 200)\nrelease(at = 3, length = 20, part = 0.9)",
    "half behind one resolver, all pods restart": "desks(biggest = 0.5, rate = 150)\npod_restart(at = 5, pods = 4)",
}


async def play_kinds(folder, only, at_once, say):
    """True where no case broke a rule under our planner. Raises KeyError for an unknown case."""
    cases = {only: CASES[only]} if only else CASES
    room, found = asyncio.Semaphore(at_once), {}

    async def one(name, script, planner):
        made = load_day(name, BASE + script)
        if planner == "plain":
            made["steering"]["addresses"] = 32
        async with room:
            place = folder / name.replace(" ", "-").replace(",", "") / planner
            report = await Day(made, place, planner).play()
        (place / "report.json").write_text(json.dumps(as_data(report), indent=1))
        found[name, planner] = report
        say(
            f"{name} ({planner}): service {report.service['whole']['part']:.4f}, "
            f"{'rules kept' if report.kept else 'RULES BROKEN'}"
        )

    await asyncio.gather(
        *(
            one(name, script, planner)
            for name, script in cases.items()
            for planner in ("shards", "plain")
        )
    )
    text = as_table(cases, found)
    (folder / "kinds.md").write_text(text)
    say(text)
    return all(report.kept for (_, planner), report in found.items() if planner == "shards")


def as_table(cases, found):
    lines = [
        "| trouble | service | plain | not served | plain | rules: nearest 1 to 5 | plain breaks |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for name in cases:
        ours, plain = found[name, "shards"], found[name, "plain"]
        nearest = ", ".join(
            f"{one.nearest:.2f}" + "!" * bool(one.breaches) for one in ours.findings
        )
        broken = ", ".join(one.rule[0] for one in plain.findings if one.breaches) or "none"
        lines.append(
            f"| {name} | {part(ours)} | {part(plain)} | {lost(ours)} | {lost(plain)} "
            f"| {nearest} | {broken} |"
        )
    return "\n".join(lines) + "\n"


def part(report):
    return f"{report.service['whole']['part']:.3f}"


def lost(report):
    outcomes = report.service["whole"]["outcomes"]
    return sum(many for outcome, many in outcomes.items() if outcome not in ("done", "late"))
