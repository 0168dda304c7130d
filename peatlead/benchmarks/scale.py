"""Measures the planner's CPU time as the fleet grows.

`python -m peatlead.benchmarks.scale [OLDER_TREE] [--chart FILE]` measures joins, ticks, rounds of
statistics, one withdrawal, the loss of a zone and a release, in milliseconds of CPU time.
OLDER_TREE is the root of an earlier checkout. For each size, the benchmark of that checkout
measures its own planner in a child process, and the ratios of both are printed.

`python -m peatlead.benchmarks.scale release` replaces 96% of the endpoints within 30 s of simulated
time, through the controller's paced channel, and prints the load of the proxies and endpoints.
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
MAX_OLDER_SIZE = 1000 * 3000  # endpoints x proxies; older planners take minutes beyond it
DEFAULT_CHANNEL_RATE = 4000  # operations per second
CHANNEL_RATE_PER_PROXY = 14  # the default rate divided by 291 proxies, rounded
CHARTED_STEPS = ("join", "tick", "zone lost")

# Later versions run this code in this checkout: `measure` and `planner_module` keep their names.
MEASURE_OLDER = """
import json, sys
from peatlead.benchmarks import scale
figures = scale.measure(scale.planner_module, int(sys.argv[1]), int(sys.argv[2]))
print(json.dumps(figures))
"""

Figures = dict[str, float]


@dataclass
class SizeResult:
    """The CPU seconds of each step at one size."""

    endpoints: int
    proxies: int
    now: Figures
    before: Optional[Figures] = None  # of the older tree

    def to_json(self) -> dict[str, Any]:
        """Return the result as printed: milliseconds, and the ratios of `before` to `now`."""
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
    """Convert seconds to rounded milliseconds."""
    return {name: round(value * 1000, 2) for name, value in figures.items()}


def measure_older(root: Path, endpoints: int, proxies: int) -> Figures:
    """Measure the planner of an older tree with that tree's benchmark, in a child process.

    Raises CalledProcessError if that tree has no working `peatlead.benchmarks.scale`.
    """
    child = subprocess.run(
        [sys.executable, "-c", MEASURE_OLDER, str(endpoints), str(proxies)],
        cwd=root,  # the child process imports from its working directory first
        stdout=subprocess.PIPE,
        check=True,
    )
    figures: Figures = json.loads(child.stdout)
    return figures


def measure_releases() -> None:
    """Measure releases at the default channel rate, and at one proportional to the proxies."""
    for endpoints, proxies in SIZES[:4]:
        for rate in sorted({DEFAULT_CHANNEL_RATE, CHANNEL_RATE_PER_PROXY * proxies}):
            run = PacedRun(planner_module, endpoints, proxies, channel_rate=rate)
            run.connect_proxies()
            run.run_ticks(100)
            run.operations = 0
            run.channel.peak_size = 0.0
            row = {"hosts": endpoints, "proxies": proxies, "operations per second": rate}
            print(json.dumps({**row, **run.replace_endpoints()}), flush=True)


def measure_sizes(older: Optional[Path]) -> list[SizeResult]:
    """Measure and print all sizes, and the planner of an older tree if one is given."""
    results = []
    for endpoints, proxies in SIZES:
        result = SizeResult(endpoints, proxies, measure(planner_module, endpoints, proxies))
        if older is not None and endpoints * proxies <= MAX_OLDER_SIZE:
            result.before = measure_older(older, endpoints, proxies)
        results.append(result)
        print(json.dumps(result.to_json()), flush=True)
    return results


def draw(results: list[SizeResult], path: str) -> None:
    """Draw CPU seconds by fleet size into the file `path`, with one panel per step."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, len(CHARTED_STEPS), figsize=(13, 4))
    for axis, name in zip(axes, CHARTED_STEPS):
        for label in ("before", "now"):
            measured = [result for result in results if getattr(result, label) is not None]
            sizes = [result.endpoints * result.proxies for result in measured]
            seconds = [getattr(result, label)[name] for result in measured]
            axis.loglog(sizes, seconds, marker="o", label=label)
        axis.set(title=name, xlabel="endpoints x proxies", ylabel="CPU seconds")
        axis.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=70)


def main() -> None:
    """Measure with the arguments of the command line."""
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
