"""A priority queue of items that are due at deadlines."""

import heapq


class DeadlineQueue:
    """Items by deadline, in seconds of the planner's clock.

    An item may have several deadlines, and is due at each of them.
    """

    __slots__ = ("heap",)

    def __init__(self) -> None:
        self.heap: list[tuple[float, int]] = []

    def push(self, deadline: float, item: int) -> None:
        """Add an item that is due at `deadline`."""
        heapq.heappush(self.heap, (deadline, item))

    def pop_due(self, now: float) -> list[int]:
        """Remove and return the due items, each once, ordered by their earliest deadline."""
        due: dict[int, bool] = {}
        while self.heap and self.heap[0][0] <= now:
            due[heapq.heappop(self.heap)[1]] = True
        return list(due)
