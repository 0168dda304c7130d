"""A short scenario with a fleet, and code that prints its digest in another process."""

from peatlead.lab.day import DayResult, play_day
from peatlead.scenario.script import load_day

SMALL_SCENARIO = """
day(length = 5, seed = 1, stewards = 3)
fleet(hosts = 6, zones = ["a", "b"], pod = 2)
desks(views = 0, shared = 0)
agents(many = 4, rate = 20)
steward_frozen(at = 1, length = 3, steward = 0)
"""
PRINT_DIGEST = "from tests.lab.small_scenario import play_small; print(play_small(3).digest)"


def play_small(seed: int, **options) -> DayResult:
    """Play the scenario with a seed; `options` are arguments of `play_day`."""
    return play_day(load_day("d", SMALL_SCENARIO), seed, **options)
