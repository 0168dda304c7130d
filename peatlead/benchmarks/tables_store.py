"""Memory and time of table histories, beside plain copies of each state."""

import time
import tracemalloc
from collections.abc import Callable
from random import Random
from typing import NamedTuple, TypeVar

from ..tables.history import History
from ..tables.version import Version, changes, line_key

REQUEST_CLASSES = ("look", "file", "pay")
VERSIONS = 256
SIZES = ((8, 200), (100, 40))  # entries of a class's table, proxies

State = dict[str, int]
Result = TypeVar("Result")


class Cost(NamedTuple):
    """Memory and time of building something."""

    size: int  # bytes
    seconds: float


def draw_states(rng: Random, count: int, entries: int = 8) -> list[State]:
    """Return a proxy's successive states: one or two entries change each time."""
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


def build_histories(proxies: list[list[dict[str, int | None]]]) -> list[History]:
    """Return one history for each proxy's successive changes."""
    histories = []
    for proxy in proxies:
        history = History()
        for index, change in enumerate(proxy):
            history.commit(Version(1, index + 1), float(index), (), change)
        histories.append(history)
    return histories


def traced(build: Callable[[], Result]) -> tuple[Result, Cost]:
    """Return what a function builds, and what that costs."""
    tracemalloc.start()
    start = time.perf_counter()
    built = build()
    seconds = time.perf_counter() - start
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return built, Cost(size, seconds)


def measure_store() -> None:
    """Print bytes and microseconds a version."""
    rng = Random(1)
    for entries, proxies in SIZES:
        states = [draw_states(rng, VERSIONS, entries) for _ in range(proxies)]
        changed = [[changes(old, new) for old, new in zip([{}, *each], each)] for each in states]
        copies, plain = traced(lambda: [[dict(state) for state in each] for each in states])  # noqa: B023
        histories, stored = traced(lambda: build_histories(changed))  # noqa: B023
        start = time.perf_counter()
        right = all(
            history.items_at_version(Version(1, 2)) == each[1]
            for history, each in zip(histories, copies)
        )
        restore = (time.perf_counter() - start) / len(histories)
        count = sum(map(len, states))
        print(
            f"{3 * entries} lines a proxy, {count} versions: "
            f"plain copies {plain.size / count:.0f} bytes and "
            f"{1e6 * plain.seconds / count:.1f} us a version, "
            f"histories {stored.size / count:.0f} bytes (digest and causes too) "
            f"and {1e6 * stored.seconds / count:.1f} us; "
            f"the oldest but one of 256 comes back in {1e6 * restore:.0f} us, "
            f"{'as it was' if right else 'WRONG'}"
        )
