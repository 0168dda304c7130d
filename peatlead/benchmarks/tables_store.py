"""Measures memory and time of table histories, compared with full copies of each state."""

import time
import tracemalloc
from collections.abc import Callable
from random import Random
from typing import NamedTuple, TypeVar

from ..tables.history import History
from ..tables.version import Version, changes, line_key

REQUEST_CLASSES = ("look", "file", "pay")
VERSIONS = 256
SIZES = ((8, 200), (100, 40))  # entries per request class, proxies

State = dict[str, int]
Result = TypeVar("Result")


class Cost(NamedTuple):
    """The memory and time that a function used."""

    size: int  # bytes
    seconds: float


def draw_states(rng: Random, count: int, entries: int = 8) -> list[State]:
    """Return successive states of a proxy, each with one or two entries changed."""
    keys = [
        line_key(request_class, f"z{number % 3}", f"10.0.{number // 250}.{number % 250}", 80)
        for request_class in REQUEST_CLASSES
        for number in range(entries)
    ]
    state = dict.fromkeys(keys, 1000)
    states = []
    for _ in range(count):
        state = dict(state)
        for _ in range(rng.choice((1, 1, 2))):
            key = rng.choice(keys)
            if key in state and rng.random() < 0.3:
                del state[key]
            else:
                state[key] = rng.randrange(1, 9) * 250
        states.append(state)
    return states


def build_histories(changes_by_proxy: list[list[dict[str, int | None]]]) -> list[History]:
    """Return a history for each proxy, built from its successive changes."""
    histories = []
    for proxy_changes in changes_by_proxy:
        history = History()
        for index, change in enumerate(proxy_changes):
            history.commit(Version(1, index + 1), float(index), (), change)
        histories.append(history)
    return histories


def measure_cost(build: Callable[[], Result]) -> tuple[Result, Cost]:
    """Call a function; returns its result and its cost."""
    tracemalloc.start()
    start = time.perf_counter()
    result = build()
    seconds = time.perf_counter() - start
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return result, Cost(size, seconds)


def measure_store() -> None:
    """Print the bytes and microseconds per version."""
    rng = Random(1)
    for entries, proxies in SIZES:
        states = [draw_states(rng, VERSIONS, entries) for _ in range(proxies)]
        changed = [
            [changes(old, new) for old, new in zip([{}, *proxy_states], proxy_states)]
            for proxy_states in states
        ]
        copies, copies_cost = measure_cost(
            lambda: [[dict(state) for state in proxy_states] for proxy_states in states]  # noqa: B023
        )
        histories, histories_cost = measure_cost(lambda: build_histories(changed))  # noqa: B023
        start = time.perf_counter()
        correct = all(
            history.items_at_version(Version(1, 2)) == proxy_states[1]
            for history, proxy_states in zip(histories, copies)
        )
        restore_time = (time.perf_counter() - start) / len(histories)
        count = sum(map(len, states))
        print(
            f"{3 * entries} entries per proxy, {count} versions: "
            f"full copies {copies_cost.size / count:.0f} bytes and "
            f"{1e6 * copies_cost.seconds / count:.1f} us per version, "
            f"histories {histories_cost.size / count:.0f} bytes (including digest and causes) "
            f"and {1e6 * histories_cost.seconds / count:.1f} us; "
            f"the second oldest of 256 versions is restored in {1e6 * restore_time:.0f} us, "
            f"{'correctly' if correct else 'INCORRECTLY'}"
        )
