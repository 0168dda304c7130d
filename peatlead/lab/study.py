"""Studies: experiments over days, settings, policies and seeds, with results in SQLite.

A study is a Starlark script that calls `study(...)`, `case(...)`, `vary(...)` and `policy(...)`.
Each cell (case, variant, policy, seed) is one simulated day. Days are played in a pool of
processes. A cell that is already in the results file is not played again, so that an interrupted
study can be continued. Comparisons are paired by seed and have bootstrap confidence intervals.

Table `cells`: study, cell (a key as text), case_name, variant, policy, seed, digest, kept (1 if the
day had no problems, else 0), finds (the problems), and one column for each name in `METRICS`.
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
from .planner_constants import modules_with_constant, replaced_constants

# Columns of the results. `rule1` to `rule5` are the highest value of a rule / its limit.
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
BOOTSTRAP_SAMPLES = 2000


def values_by_name(value):
    """Check a map of names to values. Raises ValueError if it is something else."""
    if not isinstance(value, dict) or not all(isinstance(name, str) for name in value):
        raise expectation_error("a map of names to values", value)
    return value


STUDY_BUILTINS = {
    "study": {
        "name": Field(text, REQUIRED, "name of the study"),
        "question": Field(text, REQUIRED, "question that the study answers"),
        "seeds": Field(
            number(2, 100_000, True),
            20,
            "number of seeds, from 0, for each combination of case, variant and policy",
        ),
    },
    "case": {
        "name": Field(text, REQUIRED, "name of the case"),
        "script": Field(text, REQUIRED, "day script"),
    },
    "vary": {
        "name": Field(text, REQUIRED, "name of the variant"),
        "set": Field(
            values_by_name,
            {},
            "changed values of day scripts and planner constants: "
            "{'steering.addresses': 4, 'module.COVERAGE': 16}",
        ),
    },
    "policy": {
        "names": Field(list_of(one_of(*POLICIES), 1), ["shards"], "policies: planners that decide")
    },
}


class Study:
    """A checked study.

    `parameters` holds the values of `study(...)`, `cases` the scenarios by name, `variants` the
    changes by name, and `policies` the policies.
    """

    def __init__(self, name, source):
        calls = run_script(name, source, STUDY_BUILTINS)
        study_calls = [values for builtin_name, values in calls if builtin_name == "study"]
        if len(study_calls) != 1:
            raise SettingsError(f"{name}:1: expected one call of study(), got {len(study_calls)}")
        self.parameters = study_calls[0]
        self.cases = {
            fields["name"]: load_day(f"{name} case {fields['name']}", fields["script"])
            for builtin, fields in calls
            if builtin == "case"
        }
        self.variants = {
            fields["name"]: fields["set"] for builtin, fields in calls if builtin == "vary"
        } or {"as is": {}}
        self.policies = [
            policy for builtin, fields in calls if builtin == "policy" for policy in fields["names"]
        ] or ["shards"]
        if not self.cases:
            raise SettingsError(f"{name}:1: expected at least one case(...)")
        for variant, changes in self.variants.items():
            for scenario in self.cases.values():
                try:
                    apply_changes(scenario, changes)
                except (KeyError, ValueError) as error:
                    raise SettingsError(
                        f"{name}:1: vary {variant}: expected day script fields or planner constants: "
                        f"{error}"
                    ) from None

    def cells(self):
        """Return all cells (case, variant, policy, seed) in a fixed order."""
        return [
            (case, variant, policy, seed)
            for case in self.cases
            for variant in self.variants
            for policy in self.policies
            for seed in range(self.parameters["seeds"])
        ]


def apply_changes(scenario, changes):
    """Return a changed copy of a scenario, and changed planner constants by name.

    Raises ValueError for a name that neither the scenario nor the planner has.
    """
    scenario, constants = {**scenario}, {}
    for name, value in changes.items():
        builtin, _, field = name.partition(".")
        if builtin == "module":
            modules_with_constant(field)  # raises ValueError if there is no such constant
            constants[field] = value
        elif (
            builtin in scenario
            and isinstance(scenario[builtin], dict)
            and field in scenario[builtin]
        ):
            scenario[builtin] = {**scenario[builtin], field: value}
        else:
            raise ValueError(f"{name!r}")
    return scenario, constants


def day_metrics(result):
    """Return the values of `METRICS` for one day by name; all None if the day has no report."""
    report, outcomes = result.report, {}
    if report is None:
        return dict.fromkeys(METRICS)
    whole = report.service["whole"]
    outcomes = whole["outcomes"]
    takeover_seconds = sorted(seconds for _, seconds in report.takeovers)
    metrics = {
        "service": whole["part"],
        "worst_kind": min(
            service["part"]
            for kind, service in report.service.items()
            if kind != "whole" and service["reqs"]
        ),
        "lost": sum(
            count for outcome, count in outcomes.items() if outcome not in ("done", "late", "shed")
        ),
        "late": outcomes.get("late", 0),
        "shed": outcomes.get("shed", 0),
        "takeover_median": takeover_seconds[len(takeover_seconds) // 2]
        if takeover_seconds
        else None,
        "takeover_worst": takeover_seconds[-1] if takeover_seconds else None,
        "events": result.event_count,
    }
    return {
        **metrics,
        **{f"rule{index + 1}": report.findings[index].fraction_of_limit for index in range(5)},
    }


def play_cell(job):
    """Play one cell in a worker process, with the variant's planner constants.

    Returns (cell, digest, problems, metrics).
    """
    cell, scenario, changes, policy, seed = job
    scenario, constants = apply_changes(scenario, changes)
    with replaced_constants(constants):
        result = play_day(scenario, seed, policy)
    return cell, result.digest, result.problems, day_metrics(result)


class Results:
    """The SQLite file with the results of studies."""

    def __init__(self, path):
        Path(path).parent.mkdir(parents=True, exist_ok=True)
        self.database = sqlite3.connect(path)
        columns = ", ".join(f"{name} REAL" for name in METRICS)
        self.database.execute(
            "CREATE TABLE IF NOT EXISTS cells (study TEXT, cell TEXT, case_name TEXT, variant TEXT, policy TEXT, "
            f"seed INTEGER, digest TEXT, kept INTEGER, finds TEXT, {columns}, PRIMARY KEY (study, cell))"
        )

    def finished_cells(self, study):
        """Return the keys of the cells of a study that have results."""
        return {
            cell
            for (cell,) in self.database.execute("SELECT cell FROM cells WHERE study = ?", (study,))
        }

    def store(self, study, cell, digest, problems, metrics):
        """Store the results of a cell, replacing earlier ones."""
        case, variant, policy, seed = cell
        row = (
            study,
            repr(cell),
            case,
            variant,
            policy,
            seed,
            digest,
            int(not problems),
            "\n".join(problems),
            *(metrics[name] for name in METRICS),
        )
        self.database.execute(
            f"INSERT OR REPLACE INTO cells VALUES ({', '.join('?' * len(row))})", row
        )
        self.database.commit()

    def values_by_seed(self, study, metric, case, variant, policy):
        """Return the values of a metric by seed, without seeds that have none.

        Raises ValueError if the metric is not one of METRICS.
        """
        if metric not in METRICS:
            raise ValueError(f"expected one of {', '.join(METRICS)}, got {metric!r}")
        rows = self.database.execute(
            f"SELECT seed, {metric} FROM cells WHERE study = ? AND case_name = ? AND variant = ? AND policy = ? "
            "ORDER BY seed",
            (study, case, variant, policy),
        )
        return {seed: value for seed, value in rows if value is not None}

    def cells_with_problems(self, study):
        """Return (cell, problems) of each day of a study with problems, as text."""
        return self.database.execute(
            "SELECT cell, finds FROM cells WHERE study = ? AND kept = 0 ORDER BY cell", (study,)
        ).fetchall()


def run_study(
    study, results, workers=None, print_line=print, report_progress=lambda done, note: None
):
    """Play the cells without results in a pool of processes; returns how many were played.

    Calls `report_progress(done, note)` after each cell and `print_line(text)` with messages.
    """
    name, finished, problem_count = (
        study.parameters["name"],
        results.finished_cells(study.parameters["name"]),
        0,
    )
    jobs = [
        ((case, variant, policy, seed), study.cases[case], study.variants[variant], policy, seed)
        for case, variant, policy, seed in study.cells()
        if repr((case, variant, policy, seed)) not in finished
    ]
    print_line(f"{name}: {len(jobs)} of {len(study.cells())} cells to play")
    if not jobs:
        return 0
    with multiprocessing.get_context("spawn").Pool(workers) as pool:
        for played_count, (cell, digest, problems, metrics) in enumerate(
            pool.imap_unordered(play_cell, jobs), 1
        ):
            results.store(name, cell, digest, problems, metrics)
            problem_count += bool(problems)
            report_progress(played_count, f"{problem_count} with problems")
            if played_count % 20 == 0 or played_count == len(jobs):
                print_line(f"{name}: {played_count} of {len(jobs)} cells played")
    return len(jobs)


def bootstrap_interval(differences, seed=1, confidence=0.95):
    """Return (mean, low, high) with the confidence interval of the mean by bootstrapping.

    `confidence` is the confidence level. Returns None without differences.
    """
    if not differences:
        return None
    rng, count = Random(seed), len(differences)
    means = sorted(
        statistics.fmean(rng.choices(differences, k=count)) for _ in range(BOOTSTRAP_SAMPLES)
    )
    low = means[int(BOOTSTRAP_SAMPLES * (1 - confidence) / 2)]
    return (
        statistics.fmean(differences),
        low,
        means[int(BOOTSTRAP_SAMPLES * (1 + confidence) / 2) - 1],
    )


def compare_paired(results, study, metric, base, other, case):
    """Return (mean, low, high, pairs) of the differences `other` minus `base`, paired by seed.

    `base` and `other` are (variant, policy). Returns None if no seed has both values.
    """
    base_values, other_values = (
        results.values_by_seed(study, metric, case, *combination) for combination in (base, other)
    )
    differences = [
        other_values[seed] - base_values[seed]
        for seed in sorted(base_values.keys() & other_values.keys())
    ]
    estimate = bootstrap_interval(differences)
    return (*estimate, len(differences)) if estimate else None
