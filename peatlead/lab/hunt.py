"""Search for random scenarios that break a rule or raise an exception.

A failing scenario is reduced to the faults that are needed to reproduce the problem.
"""

import multiprocessing
import time
from typing import NamedTuple

from .day import play_day
from .random_scenario import as_script, draw_scenario

MAX_FAILING_SEEDS = 5  # after which a search ends


class FailingSeed(NamedTuple):
    """A seed whose scenario had problems; `script` is the reduced scenario."""

    seed: int
    kind: str
    problems: list
    digest: str
    script: str


def problem_types(problems):
    """Return the broken rules and the types of exceptions of a list of problems.

    A reduced scenario reproduces a failure if their problems have a type in common.
    """
    return {
        problem.split(":")[0]
        if problem.startswith("rule")
        else problem.split(" s in ")[-1].split("(")[0]
        for problem in problems
    }


def play_seed(job):
    """Play the scenario of a seed; returns (seed, problems, digest, events, real seconds)."""
    seed, kind, length = job
    start = time.perf_counter()
    result = play_day(draw_scenario(seed, kind, length), seed)
    return seed, result.problems, result.digest, result.event_count, time.perf_counter() - start


def search_seeds(
    seeds,
    kind,
    length=20.0,
    workers=None,
    print_line=print,
    max_failing=MAX_FAILING_SEEDS,
    report_progress=lambda done, note: None,
):
    """Play the scenarios of seeds in a pool of processes until `max_failing` of them have failed.

    Returns the FailingSeeds with reduced scripts, and how many seeds were played. Calls
    `report_progress(done, note)` after each seed and `print_line(text)` with messages.
    """
    failing, played_count, start = [], 0, time.perf_counter()
    with multiprocessing.get_context("spawn").Pool(workers) as pool:
        for seed, problems, digest, _, _ in pool.imap_unordered(
            play_seed, ((seed, kind, length) for seed in seeds)
        ):
            played_count += 1
            report_progress(
                played_count,
                note
                := f"{len(failing)} failing seeds, {played_count / (time.perf_counter() - start):.1f} seeds/s",
            )
            if played_count % 100 == 0:
                print_line(f"{played_count} seeds, {note}")
            if problems:
                print_line(f"seed {seed} ({kind}): {problems[0]}")
                failing.append(FailingSeed(seed, kind, problems, digest, ""))
                if len(failing) >= max_failing:
                    pool.terminate()
                    break
    return [
        failing_seed._replace(
            script=as_script(
                shrink(
                    draw_scenario(failing_seed.seed, kind, length),
                    failing_seed.seed,
                    failing_seed.problems,
                )
            )
        )
        for failing_seed in sorted(failing)
    ], played_count


def shrink(scenario, seed, problems, play=play_day, max_plays=60):
    """Return the scenario with fewer faults and a shorter length, with a problem of the same type.

    Plays at most `max_plays` scenarios to remove faults, and three more to shorten the day.
    """
    expected = problem_types(problems)

    def reproduces(candidate):
        return bool(expected & problem_types(play(candidate, seed).problems))

    chunk_size = max(1, len(scenario["troubles"]) // 2)
    while chunk_size and max_plays > 0:
        start, any_removed = 0, False
        while start < len(scenario["troubles"]) and max_plays > 0:
            candidate = {
                **scenario,
                "troubles": scenario["troubles"][:start]
                + scenario["troubles"][start + chunk_size :],
            }
            max_plays -= 1
            if reproduces(candidate):
                scenario, any_removed = candidate, True
            else:
                start += chunk_size
        chunk_size = chunk_size // 2 if not any_removed or chunk_size > 1 else 0
    for fraction in (0.5, 0.7, 0.85):
        shorter = {
            **scenario,
            "day": {**scenario["day"], "length": round(scenario["day"]["length"] * fraction, 1)},
        }
        if reproduces(shorter):
            return shorter
    return scenario
