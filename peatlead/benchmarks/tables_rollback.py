"""Measures in the lab the time from a pin to the rollback of each proxy, after a release."""

from typing import Any

from ..lab.day import play_day
from ..scenario.script import load_day

DURATIONS = (0.0, 2.0, 10.0)  # seconds over which proxies are rolled back
# Seconds after the end of the rollback in which a proxy's first change still counts.
SETTLING_TIME = 3.0


def load_rollback_day(duration: float) -> Any:
    """Return a scenario with 24 endpoints, 80 proxies, three controllers, a release, a rollback."""
    return load_day(
        "back",
        f"""
day(length = 30, stewards = 3)
fleet(hosts = 24, warm_after = 6)
desks(views = 0, shared = 0)
agents(many = 80, rate = 100, incremental = True)
release(at = 2, length = 6, part = 0.3)
rollback(at = 14, length = 14, back = 13, over = {duration})
""",
    )


def rollback_delays(result: Any, duration: float) -> list[float]:
    """Return the seconds from the pin to each proxy's first change after it."""
    pinned_at = next(row.at for row in result.rows if row.kind == "pin")
    delays: dict[Any, float] = {}
    for row in result.rows:
        if row.kind == "held" and pinned_at < row.at < pinned_at + duration + SETTLING_TIME:
            delays.setdefault(row.agent, row.at - pinned_at)
    return list(delays.values())


def measure_rollback(seeds: int = 8) -> None:
    """Print the delays over all seeds, by the duration of the rollback."""
    for duration in DURATIONS:
        delays: list[float] = []
        broken_rules = 0
        for seed in range(1, seeds + 1):
            result = play_day(load_rollback_day(duration), seed)
            broken_rules += len(result.problems)
            delays += rollback_delays(result, duration)
        delays.sort()
        median = delays[int(len(delays) * 0.5)]
        percentile_99 = delays[int(len(delays) * 0.99)]
        print(
            f"rollback over {duration:g} s: {len(delays)} proxies in {seeds} days changed; "
            f"median {median:.3f} s, "
            f"99th percentile {percentile_99:.3f} s, max {delays[-1]:.3f} s; "
            f"{broken_rules} rules broken"
        )
