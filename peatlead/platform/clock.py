"""The wall clock beside the loop's: it may be stepped by seconds or hours while spans of real time go on.

Hosts tell their start as Unix time, stamped by the wall clock as it stood then. The last offsets between the two
clocks are kept, and a host is taken to be as young as any of them makes it: one that is warm and counts as cold gets
less for a while, one that is cold and counts as warm would be pushed over.
"""

from collections import deque

STEP_LEAST = (
    0.25  # seconds that the clocks must differ from the last offset: less is slew, and no step
)
OFFSETS_KEPT = 8  # steps that are remembered
SLACK = 1.0  # seconds that a host may seem to start in the future by the same clock


class WallClock:
    """`wall()`: Unix seconds; `loop_time()`: the loop's; `log(event, **fields)` tells of steps."""

    def __init__(self, wall, loop_time, log):
        self.wall, self.loop_time, self.log = wall, loop_time, log
        self.offsets = deque([wall() - loop_time()], OFFSETS_KEPT)

    def now(self):
        """Unix seconds by the clock as it stands; a step since the last call is noted."""
        wall, before = self.wall(), self.offsets[-1]
        offset = wall - self.loop_time()
        if abs(offset - before) > STEP_LEAST:
            self.offsets.append(offset)
            self.log("wall clock stepped", by=round(offset - before, 3))
        return wall

    def age(self, started):
        """Seconds since a moment that was stamped with Unix time `started`, the least that any offset makes it."""
        self.now()
        ages = [self.loop_time() + offset - started for offset in self.offsets]
        return max(0.0, min((age for age in ages if age >= -SLACK), default=0.0))
