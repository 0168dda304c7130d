"""Timer queues: a hierarchical timing wheel and a binary heap.

The wheel follows Varghese and Lauck, "Hashed and Hierarchical Timing Wheels" (1987). Both queues
return items exactly in the order of (time, insertion), so that a simulation has the same trace with
either of them. `python -m peatlead.benchmarks.wheel` compares their speed.
"""

import heapq
from typing import Generic, Protocol, TypeVar

Item = TypeVar("Item")
Entry = tuple[float, int, Item]  # due time in seconds, insertion number, item

SLOTS = 256  # per level
LEVELS = 4
TICKS_PER_SECOND = 1024  # a tick is one slot of the lowest level


class TimerQueue(Protocol[Item]):
    """A queue of items ordered by due time in seconds, then by order of insertion."""

    def __len__(self) -> int: ...

    def push(self, due_time: float, item: Item) -> None:
        """Add an item that is due at a time."""

    def pop(self) -> tuple[float, Item] | None:
        """Remove the first item and return (time, item), or None if the queue is empty."""

    def peek(self) -> float | None:
        """Return the time of the first item, or None if the queue is empty."""


class HeapTimers(Generic[Item]):
    """A timer queue as a binary heap."""

    def __init__(self) -> None:
        self.heap: list[Entry[Item]] = []
        self.last_insertion = 0  # insertion number of the newest entry

    def __len__(self) -> int:
        return len(self.heap)

    def push(self, due_time: float, item: Item) -> None:
        """Add an item that is due at a time."""
        self.last_insertion += 1
        heapq.heappush(self.heap, (due_time, self.last_insertion, item))

    def pop(self) -> tuple[float, Item] | None:
        """Remove the first item and return (time, item), or None if the queue is empty."""
        if not self.heap:
            return None
        due_time, _, item = heapq.heappop(self.heap)
        return due_time, item

    def peek(self) -> float | None:
        """Return the time of the first item, or None if the queue is empty."""
        return self.heap[0][0] if self.heap else None


def tick_containing(due_time: float) -> int:
    """Return the tick that contains a time."""
    return int(due_time * TICKS_PER_SECOND)


class WheelTimers(Generic[Item]):
    """A timer queue that is a hierarchy of timing wheels.

    A slot of the lowest level holds the entries of one tick. A slot of a higher level spans SLOTS
    times as many ticks as one of the level below, and its entries move to lower levels when the
    current tick reaches the slot. Adding an item usually costs a list append; only the slot of the
    current tick is sorted. Entries beyond the highest level are kept in a heap.
    """

    def __init__(self) -> None:
        self.levels: list[list[list[Entry[Item]]]] = [
            [[] for _ in range(SLOTS)] for _ in range(LEVELS)
        ]
        self.counts = [0] * LEVELS  # number of entries per level
        self.overflow: list[Entry[Item]] = []  # a heap of the entries beyond the highest level
        self.due: list[Entry[Item]] = []  # a heap of the entries of the current and earlier ticks
        self.tick = 0  # the current tick
        self.last_insertion = 0  # insertion number of the newest entry
        self.size = 0

    def __len__(self) -> int:
        return self.size

    def push(self, due_time: float, item: Item) -> None:
        """Add an item that is due at a time."""
        self.last_insertion += 1
        self.size += 1
        self._insert((due_time, self.last_insertion, item))

    def pop(self) -> tuple[float, Item] | None:
        """Remove the first item and return (time, item), or None if the queue is empty."""
        if self.peek() is None:
            return None
        self.size -= 1
        due_time, _, item = heapq.heappop(self.due)
        return due_time, item

    def peek(self) -> float | None:
        """Return the time of the first item, or None if the queue is empty."""
        while not self.due and self.size:
            self._advance()
        return self.due[0][0] if self.due else None

    def _insert(self, entry: Entry[Item]) -> None:
        tick = tick_containing(entry[0])
        if tick <= self.tick:
            heapq.heappush(self.due, entry)
            return
        span = 1
        for level in range(LEVELS):
            # Less than one revolution ahead in slots of this level.
            if (tick // span) - (self.tick // span) < SLOTS:
                self.levels[level][tick // span % SLOTS].append(entry)
                self.counts[level] += 1
                return
            span *= SLOTS
        heapq.heappush(self.overflow, entry)

    def _advance(self) -> None:
        """Advance by one tick, or skip ahead if the lowest level has no entries."""
        if not self.counts[0]:
            self._skip_empty_slots()
            return
        self.tick += 1
        if self.tick % SLOTS == 0:
            self._cascade(1)
        slot = self._take_slot(0)
        if slot:
            slot.sort()
            self.due = slot  # a sorted list is a heap

    def _skip_empty_slots(self) -> None:
        """Advance to the next slot of the lowest non-empty level, else to the overflow."""
        for level in range(1, LEVELS):
            if self.counts[level]:
                self._skip_to_next_slot(level)
                return
        if self.overflow:
            self._skip_to_overflow()

    def _skip_to_next_slot(self, level: int) -> None:
        span = SLOTS**level
        self.tick = (self.tick // span + 1) * span
        for reached_level in range(LEVELS - 1, 0, -1):
            if self.tick % SLOTS**reached_level == 0:
                self._move_slot_down(reached_level)
        for entry in self._take_slot(0):
            heapq.heappush(self.due, entry)

    def _skip_to_overflow(self) -> None:
        self.tick = max(self.tick, tick_containing(self.overflow[0][0]))
        max_distance = SLOTS**LEVELS // 2  # ticks
        while self.overflow and tick_containing(self.overflow[0][0]) - self.tick < max_distance:
            self._insert(heapq.heappop(self.overflow))

    def _cascade(self, level: int) -> None:
        """Move the entries of the slots that begin at this tick down, highest level first."""
        if level < LEVELS and self.tick % SLOTS**level == 0:
            self._cascade(level + 1)
            self._move_slot_down(level)

    def _move_slot_down(self, level: int) -> None:
        for entry in self._take_slot(level):
            self._insert(entry)

    def _take_slot(self, level: int) -> list[Entry[Item]]:
        """Remove and return the entries of the current slot of a level."""
        index = self.tick // SLOTS**level % SLOTS
        entries = self.levels[level][index]
        if entries:
            self.levels[level][index] = []
            self.counts[level] -= len(entries)
        return entries
