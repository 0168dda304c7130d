"""Checks that the lab gives the same digest for a seed in different versions of Python.

`python -m peatlead.benchmarks.versions SEEDS [PYTHON...]`: each PYTHON is an interpreter that has
peatlead installed; the default is the running one. Each interpreter plays each seed twice, with two
hash seeds. Exits with 1 if the digests of a seed differ.
"""

import json
import os
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

SCENARIO_KINDS = ("fleet", "dns")
HASH_SEEDS = (1, 2)
WORKERS = 4
PLAY = """
import sys
from peatlead.lab.day import play_day
from peatlead.lab.random_scenario import draw_scenario
kind, first, last = sys.argv[1], int(sys.argv[2]), int(sys.argv[3])
for seed in range(first, last):
    print(play_day(draw_scenario(seed, kind, 12.0), seed).digest)
"""


class Job(NamedTuple):
    """All seeds of one kind of scenario, in one interpreter with one hash seed."""

    python: str
    kind: str
    seeds: int
    hash_seed: int


def digests(job: Job) -> list[str]:
    """Play the seeds of a job in a child process; returns their digests in the order of seeds."""
    child = subprocess.run(
        [job.python, "-c", PLAY, job.kind, "0", str(job.seeds)],
        capture_output=True,
        text=True,
        check=True,
        env={**os.environ, "PYTHONHASHSEED": str(job.hash_seed)},
    )
    return child.stdout.split()


def python_version(python: str) -> str:
    """Return the version that an interpreter prints."""
    child = subprocess.run([python, "--version"], capture_output=True, text=True, check=False)
    return child.stdout.strip()


def count_differing(digests_by_job: dict[Job, list[str]]) -> int:
    """Count the seeds whose digests differ between jobs."""
    differing = 0
    for kind in SCENARIO_KINDS:
        digest_lists = [
            job_digests for job, job_digests in digests_by_job.items() if job.kind == kind
        ]
        differing += sum(len(set(seed_digests)) > 1 for seed_digests in zip(*digest_lists))
    return differing


def main() -> None:
    """Play all jobs and print how many seeds differ."""
    seeds = int(sys.argv[1])
    pythons = sys.argv[2:] or [sys.executable]
    jobs = [
        Job(python, kind, seeds, hash_seed)
        for python in pythons
        for kind in SCENARIO_KINDS
        for hash_seed in HASH_SEEDS
    ]
    with ThreadPoolExecutor(WORKERS) as pool:
        digests_by_job = dict(zip(jobs, pool.map(digests, jobs)))
    differing = count_differing(digests_by_job)
    row = {
        "pythons": [python_version(python) for python in pythons],
        "seeds": len(SCENARIO_KINDS) * seeds,
        "plays per seed": len(HASH_SEEDS) * len(pythons),
        "differ": differing,
    }
    print(json.dumps(row))
    sys.exit(1 if differing else 0)


if __name__ == "__main__":
    main()
