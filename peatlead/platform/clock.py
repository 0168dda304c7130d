"""Ages of endpoints by the wall clock, which may be stepped by seconds or hours.

Discovery gives the start of an endpoint as Unix time, taken from a wall clock that may have been
stepped since. `WallClock` therefore keeps the last offsets between the wall clock and the event
loop's monotonic clock, computes an age with each of them, and returns the smallest. An age that is
too small only reduces the endpoint's traffic for a while; an age that is too large would overload
an endpoint that is still cold.
"""

from collections import deque
from collections.abc import Callable

from .shared_types import Log

MIN_STEP = 0.25  # seconds; a smaller change of the offset counts as slew, not as a step
MAX_OFFSETS = 8  # offsets kept
# Maximum seconds by which a start may lie in the future; an offset that gives more is not used.
FUTURE_TOLERANCE = 1.0


class WallClock:
    """Gives Unix time and ages; both `unix_time()` and `loop_time()` return seconds."""

    def __init__(
        self, unix_time: Callable[[], float], loop_time: Callable[[], float], log: Log
    ) -> None:
        self.unix_time = unix_time
        self.loop_time = loop_time
        self.log = log
        self.offsets = deque([unix_time() - loop_time()], MAX_OFFSETS)

    def now(self) -> float:
        """Return the Unix time in seconds; a step of the wall clock is recorded and logged."""
        wall_time = self.unix_time()
        previous_offset = self.offsets[-1]
        offset = wall_time - self.loop_time()
        if abs(offset - previous_offset) > MIN_STEP:
            self.offsets.append(offset)
            self.log("wall clock stepped", by=round(offset - previous_offset, 3))
        return wall_time

    def age(self, started_at: float) -> float:
        """Return the smallest age, in seconds, that the kept offsets give for a Unix time."""
        self.now()
        ages = [self.loop_time() + offset - started_at for offset in self.offsets]
        return max(0.0, min((age for age in ages if age >= -FUTURE_TOLERANCE), default=0.0))
