"""Timer queues: a hierarchical timing wheel, and the binary heap that it is measured against.

The wheel is that of Varghese and Lauck, "Hashed and Hierarchical Timing Wheels" (1987). Both queues
keep `(time, number)` order exactly, the number being the order of insertion, so that one seed gives
the same trace with either. `python -m peatlead.benchmarks.wheel` measures them.
"""

import heapq
from typing import Generic, Protocol, TypeVar

Item = TypeVar("Item")
Entry = tuple[float, int, Item]  # due time, number of insertion, item

SLOTS = 256  # of each level
LEVELS = 4
TICKS_PER_SECOND = 1024  # a tick is one slot of the lowest level


class TimerQueue(Protocol[Item]):
    """Items by due time in seconds, those of one time in the order of insertion."""

    def __len__(self) -> int: ...

    def push(self, at: float, item: Item) -> None:
        """Add an item."""

    def pop(self) -> tuple[float, Item] | None:
        """Remove and return the earliest item with its time; None where there is none."""

    def peek(self) -> float | None:
        """The time of the earliest item; None where there is none."""


class HeapTimers(Generic[Item]):
    """A timer queue as a binary heap."""

    def __init__(self) -> None:
        self.heap: list[Entry[Item]] = []
        self.number = 0  # of the newest entry

    def __len__(self) -> int:
        return len(self.heap)

    def push(self, at: float, item: Item) -> None:
        """Add an item."""
        self.number += 1
        heapq.heappush(self.heap, (at, self.number, item))

    def pop(self) -> tuple[float, Item] | None:
        """Remove and return the earliest item with its time; None where there is none."""
        if not self.heap:
            return None
        at, _, item = heapq.heappop(self.heap)
        return at, item

    def peek(self) -> float | None:
        """The time of the earliest item; None where there is none."""
        return self.heap[0][0] if self.heap else None


def tick_of(at: float) -> int:
    """The tick in which a time falls."""
    return int(at * TICKS_PER_SECOND)


class WheelTimers(Generic[Item]):
    """A timer queue as a hierarchy of wheels.

    A slot of the lowest level is one tick; a coarser level's slot is emptied into the finer levels
    when time reaches it. A push costs a list append; only the slot that is due is sorted. Times
    beyond the highest level go to a heap.
    """

    def __init__(self) -> None:
        self.levels: list[list[list[Entry[Item]]]] = [
            [[] for _ in range(SLOTS)] for _ in range(LEVELS)
        ]
        self.counts = [0] * LEVELS  # entries in each level
        self.overflow: list[Entry[Item]] = []  # a heap of the entries beyond the highest level
        self.due: list[Entry[Item]] = []  # a heap of the entries of the current tick and before
        self.tick = 0  # the current one
        self.number = 0  # of the newest entry
        self.size = 0

    def __len__(self) -> int:
        return self.size

    def push(self, at: float, item: Item) -> None:
        """Add an item."""
        self.number += 1
        self.size += 1
        self._insert((at, self.number, item))

    def pop(self) -> tuple[float, Item] | None:
        """Remove and return the earliest item with its time; None where there is none."""
        if self.peek() is None:
            return None
        self.size -= 1
        at, _, item = heapq.heappop(self.due)
        return at, item

    def peek(self) -> float | None:
        """The time of the earliest item; None where there is none."""
        while not self.due and self.size:
            self._advance()
        return self.due[0][0] if self.due else None

    def _insert(self, entry: Entry[Item]) -> None:
        tick = tick_of(entry[0])
        if tick <= self.tick:
            heapq.heappush(self.due, entry)
            return
        span = 1
        for level in range(LEVELS):
            # Within this level's turn, counted in its own slots: none lands behind the hand.
            if (tick // span) - (self.tick // span) < SLOTS:
                self.levels[level][tick // span % SLOTS].append(entry)
                self.counts[level] += 1
                return
            span *= SLOTS
        heapq.heappush(self.overflow, entry)

    def _advance(self) -> None:
        """Go on by one tick, or to the next coarser slot with entries where no tick has any."""
        if not self.counts[0]:
            self._skip()
            return
        self.tick += 1
        if self.tick % SLOTS == 0:
            self._cascade(1)
        slot = self._take_slot(0)
        if slot:
            slot.sort()
            self.due = slot  # a sorted list is a heap

    def _skip(self) -> None:
        for level in range(1, LEVELS):
            if self.counts[level]:
                self._skip_to_slot_of(level)
                return
        if self.overflow:
            self._skip_to_overflow()

    def _skip_to_slot_of(self, level: int) -> None:
        span = SLOTS**level
        self.tick = (self.tick // span + 1) * span
        for coarser in range(LEVELS - 1, 0, -1):
            if self.tick % SLOTS**coarser == 0:
                self._empty_into_finer(coarser)
        for entry in self._take_slot(0):
            heapq.heappush(self.due, entry)

    def _skip_to_overflow(self) -> None:
        self.tick = max(self.tick, tick_of(self.overflow[0][0]))
        reach = SLOTS**LEVELS // 2
        while self.overflow and tick_of(self.overflow[0][0]) - self.tick < reach:
            self._insert(heapq.heappop(self.overflow))

    def _cascade(self, level: int) -> None:
        """Empty the current slots of this level and of those above, where their turn has come."""
        if level < LEVELS and self.tick % SLOTS**level == 0:
            self._cascade(level + 1)
            self._empty_into_finer(level)

    def _empty_into_finer(self, level: int) -> None:
        for entry in self._take_slot(level):
            self._insert(entry)

    def _take_slot(self, level: int) -> list[Entry[Item]]:
        """Remove and return the entries of a level's current slot."""
        index = self.tick // SLOTS**level % SLOTS
        entries = self.levels[level][index]
        if entries:
            self.levels[level][index] = []
            self.counts[level] -= len(entries)
        return entries
