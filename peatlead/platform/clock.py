"""Ages by the wall clock, which may be stepped by seconds or hours while the loop's clock goes on.

The platform's endpoints give their start as Unix time, stamped by the wall clock as it stood then.
The last offsets between the two clocks are kept, and an endpoint is taken to be as young as any of
them makes it: a warm endpoint that counts as cold gets less traffic for a while, while a cold one
that counts as warm would be overloaded.
"""

from collections import deque
from collections.abc import Callable

from .shared_types import Log

# Seconds that an offset must differ from the last one to be a step; less is slew.
MINIMUM_STEP = 0.25
OFFSETS_KEPT = 8
# Seconds that an endpoint may seem to start in the future by the same clock.
FUTURE_TOLERANCE = 1.0


class WallClock:
    """Unix time and ages; `wall()` gives Unix seconds, `loop_time()` the event loop's."""

    def __init__(self, wall: Callable[[], float], loop_time: Callable[[], float], log: Log) -> None:
        self.wall = wall
        self.loop_time = loop_time
        self.log = log
        self.offsets = deque([wall() - loop_time()], OFFSETS_KEPT)

    def now(self) -> float:
        """Return Unix seconds by the clock as it stands; a step since the last call is recorded."""
        wall_time = self.wall()
        previous = self.offsets[-1]
        offset = wall_time - self.loop_time()
        if abs(offset - previous) > MINIMUM_STEP:
            self.offsets.append(offset)
            self.log("wall clock stepped", by=round(offset - previous, 3))
        return wall_time

    def age(self, started_at: float) -> float:
        """Return the seconds since a Unix time: the least of what the kept offsets make it."""
        self.now()
        ages = [self.loop_time() + offset - started_at for offset in self.offsets]
        return max(0.0, min((age for age in ages if age >= -FUTURE_TOLERANCE), default=0.0))
