"""Experiments: days x settings x policies x seeds over a pool of processes, kept in SQLite, resumable.

A study is a Starlark script of `study(...)`, `case(...)`, `vary(...)` and `policy(...)`. Each cell (case,
variant, policy, seed) is one day in the lab; a cell that stands in the file is not played again, so a study
that was stopped goes on where it was. Comparisons are paired by seed, with bootstrap intervals, never bare
means.

Table `cells`: study, cell (text key), case_name, variant, policy, seed, digest, kept (0/1), finds, and one
column a figure in `FIGURES`.
"""

import multiprocessing
import sqlite3
import statistics
from pathlib import Path
from random import Random

from ..scenario.script import load_day
from ..settings.checks import list_of, number, one_of, text
from ..settings.errors import SettingsError
from ..settings.fields import REQUIRED, Field, expectation_error
from ..settings.starlark_runner import run_script
from .day import POLICIES, play_day
from .planner_constants import modules_with, replaced

METRICS = (
    "service",
    "worst_kind",
    "lost",
    "late",
    "shed",
    "rule1",
    "rule2",
    "rule3",
    "rule4",
    "rule5",
    "takeover_median",
    "takeover_worst",
    "events",
)
BOOTSTRAPS = 2000


def values(value):
    if not isinstance(value, dict) or not all(isinstance(name, str) for name in value):
        raise expectation_error("a map of names to values", value)
    return value


SHAPES = {
    "study": {
        "name": Field(text, REQUIRED, "what reports call it"),
        "question": Field(text, REQUIRED, "what it is to answer"),
        "seeds": Field(number(2, 100_000, True), 20, "days of each cell"),
    },
    "case": {
        "name": Field(text, REQUIRED, "a day"),
        "script": Field(text, REQUIRED, "its day script"),
    },
    "vary": {
        "name": Field(text, REQUIRED, "a variant"),
        "set": Field(values, {}, "what differs: {'steering.addresses': 4, 'module.COVERAGE': 16}"),
    },
    "policy": {"names": Field(list_of(one_of(*POLICIES), 1), ["shards"], "who decides")},
}


class Study:
    """A checked study: `cells()` gives all jobs in a stable order."""

    def __init__(self, name, source):
        said = run_script(name, source, SHAPES)
        heads = [values for called, values in said if called == "study"]
        if len(heads) != 1:
            raise SettingsError(f"{name}:1: expected one call of study(), got {len(heads)}")
        self.parameters = heads[0]
        self.cases = {
            v["name"]: load_day(f"{name} case {v['name']}", v["script"])
            for c, v in said
            if c == "case"
        }
        self.variants = {v["name"]: v["set"] for c, v in said if c == "vary"} or {"as is": {}}
        self.policies = [p for c, v in said if c == "policy" for p in v["names"]] or ["shards"]
        if not self.cases:
            raise SettingsError(f"{name}:1: expected at least one case(...)")
        for variant, changes in self.variants.items():
            for made in self.cases.values():
                try:
                    changed(made, changes)
                except (KeyError, ValueError) as problem:
                    raise SettingsError(
                        f"{name}:1: vary {variant}: expected names of a day or the module: "
                        f"{problem}"
                    ) from None

    def cells(self):
        return [
            (case, variant, policy, seed)
            for case in self.cases
            for variant in self.variants
            for policy in self.policies
            for seed in range(self.parameters["seeds"])
        ]


def changed(made, changes):
    """(the day with its changes, {constant of the planner: value})."""
    made, module = {**made}, {}
    for name, value in changes.items():
        part, _, field = name.partition(".")
        if part == "module":
            modules_with(field)  # raises where there is none
            module[field] = value
        elif part in made and isinstance(made[part], dict) and field in made[part]:
            made[part] = {**made[part], field: value}
        else:
            raise ValueError(f"{name!r}")
    return made, module


def figures(played):
    """{figure: value} of one day."""
    report, outcomes = played.report, {}
    if report is None:
        return dict.fromkeys(METRICS)
    whole = report.service["whole"]
    outcomes = whole["outcomes"]
    spans = sorted(span for _, span in report.takeovers)
    found = {
        "service": whole["part"],
        "worst_kind": min(
            one["part"] for kind, one in report.service.items() if kind != "whole" and one["reqs"]
        ),
        "lost": sum(
            many for outcome, many in outcomes.items() if outcome not in ("done", "late", "shed")
        ),
        "late": outcomes.get("late", 0),
        "shed": outcomes.get("shed", 0),
        "takeover_median": spans[len(spans) // 2] if spans else None,
        "takeover_worst": spans[-1] if spans else None,
        "events": played.events,
    }
    return {**found, **{f"rule{at + 1}": report.findings[at].nearest for at in range(5)}}


def play_cell(job):
    """One cell in a process of its own: the planner's constants are set there and put back."""
    key, made, changes, policy, seed = job
    made, constants = changed(made, changes)
    with replaced(constants):
        played = play_day(made, seed, policy)
    return key, played.digest, played.problems, figures(played)


class Results:
    """The SQLite file of studies."""

    def __init__(self, path):
        Path(path).parent.mkdir(parents=True, exist_ok=True)
        self.database = sqlite3.connect(path)
        columns = ", ".join(f"{name} REAL" for name in METRICS)
        self.database.execute(
            "CREATE TABLE IF NOT EXISTS cells (study TEXT, cell TEXT, case_name TEXT, variant TEXT, policy TEXT, "
            f"seed INTEGER, digest TEXT, kept INTEGER, finds TEXT, {columns}, PRIMARY KEY (study, cell))"
        )

    def finished_cells(self, study):
        return {
            cell
            for (cell,) in self.database.execute("SELECT cell FROM cells WHERE study = ?", (study,))
        }

    def store(self, study, key, digest, finds, found):
        case, variant, policy, seed = key
        row = (
            study,
            repr(key),
            case,
            variant,
            policy,
            seed,
            digest,
            int(not finds),
            "\n".join(finds),
            *(found[name] for name in METRICS),
        )
        self.database.execute(
            f"INSERT OR REPLACE INTO cells VALUES ({', '.join('?' * len(row))})", row
        )
        self.database.commit()

    def values_by_seed(self, study, figure, case, variant, policy):
        """{seed: value} of a figure; `figure` is one of FIGURES."""
        if figure not in METRICS:
            raise ValueError(f"expected one of {', '.join(METRICS)}, got {figure!r}")
        rows = self.database.execute(
            f"SELECT seed, {figure} FROM cells WHERE study = ? AND case_name = ? AND variant = ? AND policy = ? "
            "ORDER BY seed",
            (study, case, variant, policy),
        )
        return {seed: value for seed, value in rows if value is not None}

    def cells_with_problems(self, study):
        return self.database.execute(
            "SELECT cell, finds FROM cells WHERE study = ? AND kept = 0 ORDER BY cell", (study,)
        ).fetchall()


def run_study(study, results, workers=None, say=print, step=lambda done, note: None):
    """Plays what is missing. Returns how many cells were played. `step(done, note)` is called after each."""
    name, done, broken = (
        study.parameters["name"],
        results.finished_cells(study.parameters["name"]),
        0,
    )
    jobs = [
        ((case, variant, policy, seed), study.cases[case], study.variants[variant], policy, seed)
        for case, variant, policy, seed in study.cells()
        if repr((case, variant, policy, seed)) not in done
    ]
    say(f"{name}: {len(jobs)} of {len(study.cells())} cells to play")
    if not jobs:
        return 0
    with multiprocessing.get_context("spawn").Pool(workers) as pool:
        for at, (key, digest, finds, found) in enumerate(pool.imap_unordered(play_cell, jobs), 1):
            results.store(name, key, digest, finds, found)
            broken += bool(finds)
            step(at, f"{broken} with finds")
            if at % 20 == 0 or at == len(jobs):
                say(f"{name}: {at} of {len(jobs)}")
    return len(jobs)


def bootstrap_interval(differences, seed=1, part=0.95):
    """(mean, low, high) of paired differences by bootstrap over seeds."""
    if not differences:
        return None
    draw, many = Random(seed), len(differences)
    means = sorted(statistics.fmean(draw.choices(differences, k=many)) for _ in range(BOOTSTRAPS))
    low = means[int(BOOTSTRAPS * (1 - part) / 2)]
    return statistics.fmean(differences), low, means[int(BOOTSTRAPS * (1 + part) / 2) - 1]


def compare_paired(results, study, figure, base, other, case):
    """(mean, low, high, pairs) of `other` less `base`, each (variant, policy), paired by seed."""
    one, two = (results.values_by_seed(study, figure, case, *which) for which in (base, other))
    pairs = [two[seed] - one[seed] for seed in sorted(one.keys() & two.keys())]
    found = bootstrap_interval(pairs)
    return (*found, len(pairs)) if found else None
