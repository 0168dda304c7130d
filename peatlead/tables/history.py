"""What each proxy was published, version by version. Pure: time is handed in.

A version keeps what it changed: each item's value before and after. The newest state stands whole; an older
one is found by going back from it. So a version costs its own changes, nothing has to be kept for the oldest,
and dropping the oldest is dropping it. Tables are a dozen lines and changes one or two: `peatlead.benchmarks.tables`
holds this against plain copies.

Bounded by count for each proxy and in all, by age and by bytes. What is dropped first: the oldest version of all
proxies alike; never a proxy's newest state while the proxy counts; of proxies that have gone, the ones gone for
longest, once there are more than `names_most`.
"""

from collections import OrderedDict, deque
from itertools import chain
from typing import NamedTuple

from .version import NONE, Digest, Version, changes

ENTRY_BYTES, CHANGE_BYTES = 260, 88  # of memory, about: a version's own, and each change of it


class HistoryEntry(NamedTuple):
    """One version: `at` by the wall clock, for operators alone; `moved` is ((key, before, after), ...)."""

    version: Version
    at: float
    causes: tuple
    moved: tuple
    digest: str

    @property
    def size(self):
        return ENTRY_BYTES + CHANGE_BYTES * len(self.moved)


class UnknownVersionError(Exception):
    """A version that is not kept: it never was, or it has been dropped."""


class History:
    """One proxy's versions, newest last."""

    __slots__ = ("items", "entries", "digest", "last", "base")

    def __init__(self):
        self.items, self.entries, self.digest = {}, deque(), Digest()
        self.last = NONE  # the newest version, kept or not
        self.base = NONE  # the version before the oldest that is kept: the farthest way back

    def commit(self, version, at, causes, moved):
        """`moved`: {key: value or None}. Returns the Entry. A version never goes back: raises ValueError."""
        if version <= self.last:
            raise ValueError(f"expected a version past {self.last}, got {version}")
        real = []
        for key, new in moved.items():
            old = self.items.get(key)
            if old == new:
                continue
            real.append((key, old, new))
            self.digest.moved(key, old, new)
            if new is None:
                del self.items[key]
            else:
                self.items[key] = new
        entry = HistoryEntry(version, at, tuple(causes), tuple(real), str(self.digest))
        self.entries.append(entry)
        self.last = version
        return entry

    def drop_oldest(self):
        entry = self.entries.popleft()
        self.base = entry.version
        return entry

    def at_version(self, version):
        """{key: value} as it stood then. Raises Unknown."""
        if version == self.last:
            return dict(self.items)
        if version != self.base and all(entry.version != version for entry in self.entries):
            raise UnknownVersionError(str(version))
        found = dict(self.items)
        for entry in reversed(self.entries):
            if entry.version == version:
                break
            undo(found, entry)
        return found

    def at_time(self, when):
        """(Version, items) of what stood at `when`, by the stamps that versions bear; where clocks stepped, the
        last version that bears no later stamp. Raises Unknown where that is not kept any more."""
        found = dict(self.items)
        for entry in reversed(self.entries):
            if entry.at <= when:
                return entry.version, found
            undo(found, entry)
        raise UnknownVersionError(f"nothing of {when:.3f} is kept")

    def diff(self, one, other):
        """({key: (value, value)}) of what differs between two versions. Raises Unknown."""
        before, after = self.at_version(one), self.at_version(other)
        return {key: (before.get(key), after.get(key)) for key in sorted(changes(before, after))}

    def digest_at(self, version):
        """The digest as hex, told of a version that is kept; None of others."""
        return next((entry.digest for entry in self.entries if entry.version == version), None)


def undo(items, entry):
    for key, before, _ in entry.moved:
        if before is None:
            items.pop(key, None)
        else:
            items[key] = before


class Store:
    """All proxies' histories, and the bounds. `each_most` versions of one proxy, `most` of all, `bytes_most` about,
    `age_most` seconds, `names_most` proxies."""

    def __init__(
        self, each_most=256, most=100_000, bytes_most=64 << 20, age_most=86_400.0, names_most=5000
    ):
        self.each_most, self.most, self.bytes_most = each_most, most, bytes_most
        self.age_most, self.names_most = age_most, names_most
        self.histories, self.gone = {}, OrderedDict()
        self.order = (
            deque()
        )  # (name, version), oldest first; what was dropped out of turn is skipped
        self.many, self.size, self.dropped = 0, 0, 0

    def history(self, name):
        self.gone.pop(name, None)
        made = self.histories.get(name)
        if made is None:
            made = self.histories[name] = History()
            self.bound_names()
        return made

    def left(self, name):
        """A proxy has gone: its history stays for a while."""
        if name in self.histories:
            self.gone[name] = True
            self.gone.move_to_end(name)

    def commit(self, name, version, at, causes, moved):
        history = self.history(name)
        entry = history.commit(version, at, causes, moved)
        self.order.append((name, version))
        self.many += 1
        self.size += entry.size
        if len(history.entries) > self.each_most:
            self.forget(history)
        self.bound(at)
        self.compact()
        return entry

    def restart(self, name, version, items):
        """A history that begins at a state: what led to it is not known."""
        history = self.history(name)
        while history.entries:
            self.forget(history)
        history.items, history.digest = dict(items), Digest(items)
        history.last = history.base = version

    def reaches(self, name, version):
        """Whether a version is kept, or anything of that proxy from before it."""
        history = self.histories.get(name)
        return bool(history and history.entries and history.entries[0].version <= version)

    def drop_up_to(self, name, version):
        history = self.histories.get(name)
        while history and history.entries and history.entries[0].version <= version:
            self.forget(history)

    def forget(self, history):
        entry = history.drop_oldest()
        self.many -= 1
        self.size -= entry.size
        self.dropped += 1

    def bound(self, now):
        """A clock that was set back makes nothing old; the other bounds go on holding."""
        while self.order and (
            self.stale()
            or self.many > self.most
            or self.size > self.bytes_most
            or self.oldest().at < now - self.age_most
        ):
            name, version = self.order.popleft()
            history = self.histories.get(name)
            if history and history.entries and history.entries[0].version == version:
                self.forget(history)

    def stale(self):
        """Whether the oldest in turn has been dropped already."""
        return self.oldest() is None

    def oldest(self):
        name, version = self.order[0]
        history = self.histories.get(name)
        if history and history.entries and history.entries[0].version == version:
            return history.entries[0]
        return None

    def bound_names(self):
        while len(self.histories) > self.names_most and self.gone:
            name, _ = self.gone.popitem(last=False)
            history = self.histories.pop(name)
            while history.entries:
                self.forget(history)

    def compact(self):
        """What was dropped out of turn must not pile up behind one old version that still stands."""
        if len(self.order) > 2 * self.many + 1000:
            kept = {
                name: {entry.version for entry in one.entries}
                for name, one in self.histories.items()
            }
            self.order = deque(
                (name, version) for name, version in self.order if version in kept.get(name, ())
            )

    def between(self, since=0.0, until=float("inf"), name=None):
        """[(name, Entry)] in order of publishing, for the operators' log."""
        found, ahead = [], {one: iter(history.entries) for one, history in self.histories.items()}
        for one, version in self.order:
            if one not in ahead or name not in (None, one):
                continue
            entry = next(ahead[one], None)
            while entry is not None and entry.version < version:
                entry = next(ahead[one], None)
            if entry is not None and entry.version > version:  # this one was dropped out of turn
                ahead[one] = chain((entry,), ahead[one])
            elif entry is not None and since <= entry.at <= until:
                found.append((one, entry))
        return found
