"""What one planner costs as the fleet grows.

`python -m peatlead.benchmarks.scale [OLDER_TREE] [--chart FILE]` measures joins, ticks, rounds of
statistics, one withdrawal, the loss of a zone and a release, in milliseconds of CPU time.
OLDER_TREE is the root of an earlier checkout: its own benchmark measures its planner in a child
process, size by size beside today's, and ratios are printed.

`python -m peatlead.benchmarks.scale release` replaces 96% of the endpoints within 30 s of simulated
time, through the controller's paced channel, and prints what proxies get meanwhile.
"""

import argparse
import json
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Optional

from ..planner import planner as planner_module
from .paced_runs import PacedRun
from .planner_runs import measure

__all__ = ["PacedRun", "main", "measure", "planner_module"]

SIZES = ((82, 291), (300, 1000), (1000, 1000), (1000, 3000), (3000, 3000))  # endpoints, proxies
LARGEST_OLDER = 1000 * 3000  # endpoints x proxies; earlier planners take minutes beyond it
USUAL_CHANNEL_RATE = 4000  # operations a second
CHANNEL_RATE_PER_PROXY = 14  # the usual rate at 291 proxies
CHARTED = ("join", "tick", "zone lost")

# `measure` and `planner_module` of this module are what a later tree calls here, too.
MEASURE_OLDER = """
import json, sys
from peatlead.benchmarks import scale
figures = scale.measure(scale.planner_module, int(sys.argv[1]), int(sys.argv[2]))
print(json.dumps(figures))
"""

Figures = dict[str, float]


@dataclass
class SizeResult:
    """What was measured at one size, in CPU seconds by step; `before` is of the older tree."""

    endpoints: int
    proxies: int
    now: Figures
    before: Optional[Figures] = None

    def printed(self) -> dict[str, Any]:
        """Return the result as it is printed: milliseconds, and ratios of before to now."""
        row: dict[str, Any] = {"hosts": self.endpoints, "proxies": self.proxies}
        row["now"] = milliseconds(self.now)
        if self.before is not None:
            row["before"] = milliseconds(self.before)
            row["ratio"] = {
                name: round(self.before[name] / max(1e-6, value), 1)
                for name, value in self.now.items()
            }
        return row


def milliseconds(figures: Figures) -> Figures:
    """Return seconds as rounded milliseconds."""
    return {name: round(value * 1000, 2) for name, value in figures.items()}


def measure_older(root: Path, endpoints: int, proxies: int) -> Figures:
    """Measure the planner of an earlier checkout, by its own benchmark in a child process.

    Raises CalledProcessError where that checkout has no `peatlead.benchmarks.scale` that runs.
    """
    child = subprocess.run(
        [sys.executable, "-c", MEASURE_OLDER, str(endpoints), str(proxies)],
        cwd=root,  # first on the child's import path
        stdout=subprocess.PIPE,
        check=True,
    )
    figures: Figures = json.loads(child.stdout)
    return figures


def measure_releases() -> None:
    """Print what a release does at the usual channel rate, and at one that grows with the fleet."""
    for endpoints, proxies in SIZES[:4]:
        for rate in sorted({USUAL_CHANNEL_RATE, CHANNEL_RATE_PER_PROXY * proxies}):
            run = PacedRun(planner_module, endpoints, proxies, channel_rate=rate)
            run.join()
            run.ticks(100)
            run.operations = 0
            run.channel.peak_size = 0.0
            row = {"hosts": endpoints, "proxies": proxies, "lines a second": rate}
            print(json.dumps({**row, **run.replace()}), flush=True)


def measure_sizes(older: Optional[Path]) -> list[SizeResult]:
    """Measure and print all sizes, beside an older tree's planner where one is given."""
    results = []
    for endpoints, proxies in SIZES:
        result = SizeResult(endpoints, proxies, measure(planner_module, endpoints, proxies))
        if older is not None and endpoints * proxies <= LARGEST_OLDER:
            result.before = measure_older(older, endpoints, proxies)
        results.append(result)
        print(json.dumps(result.printed()), flush=True)
    return results


def draw(results: list[SizeResult], path: str) -> None:
    """Draw CPU seconds by the fleet's size, one panel a step."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, len(CHARTED), figsize=(13, 4))
    for axis, name in zip(axes, CHARTED):
        for label in ("before", "now"):
            measured = [result for result in results if getattr(result, label) is not None]
            sizes = [result.endpoints * result.proxies for result in measured]
            seconds = [getattr(result, label)[name] for result in measured]
            axis.loglog(sizes, seconds, marker="o", label=label)
        axis.set(title=name, xlabel="hosts x proxies", ylabel="CPU seconds")
        axis.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=70)


def main() -> None:
    """Measure as the command line says."""
    parser = argparse.ArgumentParser(prog="python -m peatlead.benchmarks.scale")
    parser.add_argument("older_tree", nargs="?", help="root of an earlier checkout, or `release`")
    parser.add_argument("--chart", metavar="FILE", help="draw the figures into FILE")
    arguments = parser.parse_args()
    if arguments.older_tree == "release":
        measure_releases()
        return
    older = Path(arguments.older_tree) if arguments.older_tree else None
    results = measure_sizes(older)
    if arguments.chart:
        draw(results, arguments.chart)


if __name__ == "__main__":
    main()
