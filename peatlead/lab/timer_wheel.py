"""Timers in the order of their time: a hierarchical wheel, and the plain heap beside it.

Both keep `(time, number)` order exactly, number being the order of insertion, so that one seed gives one
trace whichever is used. `python -m peatlead.benchmarks.wheel` measures them.
"""

import heapq

SLOTS = 256
LEVELS = 4
TICKS = 1024  # a second: slots of the lowest level


class HeapTimers:
    """The plain one."""

    def __init__(self):
        self.heap, self.number = [], 0

    def __len__(self):
        return len(self.heap)

    def push(self, at, what):
        self.number += 1
        heapq.heappush(self.heap, (at, self.number, what))

    def pop(self):
        """(at, what) of the earliest, or None."""
        if not self.heap:
            return None
        at, _, what = heapq.heappop(self.heap)
        return at, what

    def peek(self):
        return self.heap[0][0] if self.heap else None


class WheelTimers:
    """Slots of a tick each, and coarser wheels above that are emptied into the finer as time reaches them.

    Pushing costs a list append; only what falls into the slot that is due is sorted. Times further off than
    the highest level go to a heap.
    """

    def __init__(self):
        self.levels = [[[] for _ in range(SLOTS)] for _ in range(LEVELS)]
        self.counts = [0] * LEVELS
        self.far, self.due, self.tick, self.number, self.size = [], [], 0, 0, 0

    def __len__(self):
        return self.size

    def push(self, at, what):
        self.number += 1
        self.size += 1
        self.place((at, self.number, what))

    def place(self, entry):
        tick = int(entry[0] * TICKS)
        ahead = tick - self.tick
        if ahead <= 0:
            heapq.heappush(self.due, entry)
            return
        span = 1
        for level in range(LEVELS):
            # Within this level's turn, counted in its own slots, so that none lands behind the hand.
            if (tick // span) - (self.tick // span) < SLOTS:
                self.levels[level][tick // span % SLOTS].append(entry)
                self.counts[level] += 1
                return
            span *= SLOTS
        heapq.heappush(self.far, entry)

    def pop(self):
        if self.peek() is None:
            return None
        self.size -= 1
        at, _, what = heapq.heappop(self.due)
        return at, what

    def peek(self):
        while not self.due and self.size:
            self.turn()
        return self.due[0][0] if self.due else None

    def turn(self):
        """To the next slot that holds something; what the coarser wheels hold for it comes down first."""
        if not self.counts[0]:
            self.skip()
            return
        self.tick += 1
        if self.tick % SLOTS == 0:
            self.lower(1)
        slot = self.levels[0][self.tick % SLOTS]
        if slot:
            self.levels[0][self.tick % SLOTS] = []
            self.counts[0] -= len(slot)
            slot.sort()
            self.due = slot  # sorted is a heap

    def skip(self):
        """Nothing in the lowest turn: on to the coarser wheel's next slot, or to the far ones."""
        for level in range(1, LEVELS):
            if self.counts[level]:
                span = SLOTS**level
                self.tick = (self.tick // span + 1) * span
                for one in range(LEVELS - 1, 0, -1):
                    if self.tick % SLOTS**one == 0:
                        self.lower_slot(one)
                self.take_due()
                return
        if self.far:
            self.tick = max(self.tick, int(self.far[0][0] * TICKS))
            while self.far and int(self.far[0][0] * TICKS) - self.tick < SLOTS**LEVELS // 2:
                self.place(heapq.heappop(self.far))

    def lower(self, level):
        if level < LEVELS and self.tick % SLOTS**level == 0:
            self.lower(level + 1)
            self.lower_slot(level)

    def lower_slot(self, level):
        at = self.tick // SLOTS**level % SLOTS
        entries, self.levels[level][at] = self.levels[level][at], []
        self.counts[level] -= len(entries)
        for entry in entries:
            self.place(entry)

    def take_due(self):
        slot = self.levels[0][self.tick % SLOTS]
        if slot:
            self.levels[0][self.tick % SLOTS] = []
            self.counts[0] -= len(slot)
            for entry in slot:
                heapq.heappush(self.due, entry)
