"""From a pin to the last proxy that is rolled back: a release in the lab, then a rollback."""

from typing import Any

from ..lab.day import play_day
from ..scenario.script import load_day

SPREADS = (0.0, 2.0, 10.0)  # seconds over which proxies are rolled back
SETTLING = 3.0  # seconds after the spread in which changes still count


def day(spread: float) -> Any:
    """Return a day of 24 hosts, 80 proxies and three controllers."""
    return load_day(
        "back",
        f"""
day(length = 30, stewards = 3)
fleet(hosts = 24, warm_after = 6)
desks(views = 0, shared = 0)
agents(many = 80, rate = 100, incremental = True)
release(at = 2, length = 6, part = 0.3)
rollback(at = 14, length = 14, back = 13, over = {spread})
""",
    )


def rollback_delays(played: Any, spread: float) -> list[float]:
    """Return the seconds from the pin to each proxy's first change after it."""
    pinned = next(row.at for row in played.rows if row.kind == "pin")
    first: dict[Any, float] = {}
    for row in played.rows:
        if row.kind == "held" and pinned < row.at < pinned + spread + SETTLING:
            first.setdefault(row.agent, row.at - pinned)
    return list(first.values())


def measure_rollback(seeds: int = 8) -> None:
    """Print the delays of all seeds, by the spread."""
    for spread in SPREADS:
        delays: list[float] = []
        broken_rules = 0
        for seed in range(1, seeds + 1):
            played = play_day(day(spread), seed)
            broken_rules += len(played.problems)
            delays += rollback_delays(played, spread)
        delays.sort()
        median = delays[int(len(delays) * 0.5)]
        percentile = delays[int(len(delays) * 0.99)]
        print(
            f"over {spread:g} s: {len(delays)} agents of {seeds} days changed; "
            f"median {median:.3f} s, 99th {percentile:.3f} s, worst {delays[-1]:.3f} s; "
            f"{broken_rules} rules broken"
        )
