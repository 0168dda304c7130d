"""The receiving end of versioned tables: what a proxy holds, and whether a delta may be applied. Pure.

All of a delta or nothing of it: it is laid on a copy, the copy's digest is compared, and only then
does it count. What does not fit is answered with why, and the sender starts again from what the
proxy has or with the whole.
"""

from .version import NONE, PARTS, WHOLE, Digest

APPLIED, OLD, BASE, DIGEST = "applied", "old", "base differs", "digest differs"


class Replica:
    """`parts`: {part: {key: value}}; `newest`: the newest version seen. Fences like `fleet.owners.Fence`."""

    def __init__(self):
        self.parts = {part: {} for part in PARTS}
        self.digests = {part: Digest() for part in PARTS}
        self.newest = NONE

    def take(self, part, stamp, moved):
        """The outcome of a delta `moved` {key: value, or None}: APPLIED, or why nothing of it counts."""
        if stamp.version <= self.newest:
            return OLD
        items, digest = self.parts[part], self.digests[part]
        if stamp.base == WHOLE:
            made, sum_of = {}, Digest()
        elif stamp.base != str(digest):
            return BASE
        else:
            made, sum_of = dict(items), digest.copy()
        for key, value in moved.items():
            sum_of.moved(key, made.get(key), value)
            if value is None:
                made.pop(key, None)
            else:
                made[key] = value
        if str(sum_of) != stamp.digest:
            return DIGEST
        self.parts[part], self.digests[part], self.newest = made, sum_of, stamp.version
        return APPLIED

    def sound(self, part):
        """Whether its own memory still is what it was: for one that has been away, or suspects itself."""
        return str(Digest(self.parts[part])) == str(self.digests[part])

    def raise_fence(self, version):
        self.newest = max(self.newest, version)
