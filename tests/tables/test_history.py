"""Histories of proxies and their limits."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from peatlead.tables.history import History, HistoryStore, UnknownVersionError
from peatlead.tables.version import Digest, Version, changes

KEYS = st.sampled_from(
    [f"line/k/z/10.0.0.{number}:1" for number in range(6)] + ["level/k", "retry/k"]
)
STATES = st.lists(st.dictionaries(KEYS, st.integers(1, 4), max_size=6), min_size=1, max_size=20)


def store_of(states, store=None, name="p", epoch=1):
    """Return a store with one version per state, published a second apart."""
    store = store or HistoryStore()
    for index, state in enumerate(states):
        store.commit(
            name,
            Version(epoch, index + 1),
            float(index),
            (f"cause {index}",),
            changes(store.history(name).items, state),
        )
    return store


class HistoryTest(unittest.TestCase):
    @given(STATES)
    def test_every_version_can_be_restored_with_its_digest(self, states):
        history = store_of(states).histories["p"]
        for index, state in enumerate(states):
            version = Version(1, index + 1)
            self.assertEqual(history.items_at_version(version), state)
            self.assertEqual(history.digest_of_version(version), str(Digest(state)))
            self.assertEqual(history.state_at_time(index + 0.5), (version, state))

    @given(STATES, st.randoms())
    def test_digest_depends_on_the_state_only(self, states, rng):
        last = states[-1]
        other = store_of([*rng.sample(states, len(states)), last])
        self.assertEqual(
            str(store_of(states).histories["p"].digest), str(other.histories["p"].digest)
        )

    def test_older_versions_are_rejected(self):
        history = History()
        history.commit(Version(2, 5), 0.0, (), {"level/k": 1})
        for old_version in (Version(2, 5), Version(2, 4), Version(1, 900)):
            with self.assertRaises(ValueError):
                history.commit(old_version, 1.0, (), {"level/k": 2})
        history.commit(Version(3, 1), 1.0, (), {"level/k": 2})
        self.assertEqual(history.items, {"level/k": 2})

    def test_clock_set_back_changes_neither_order_nor_limits(self):
        store = HistoryStore(age_max=50.0)
        for index, wall_time in enumerate((1000.0, 1010.0, 200.0, 210.0, 220.0)):
            store.commit("p", Version(1, index + 1), wall_time, (), {"level/k": index})
        self.assertEqual(store.entry_count, 5)
        self.assertEqual(
            [entry.version.serial for _, entry in store.entries_between()], [1, 2, 3, 4, 5]
        )
        self.assertEqual(store.histories["p"].state_at_time(215.0)[0], Version(1, 4))


class StoreLimitsTest(unittest.TestCase):
    def test_limits_drop_the_oldest_entries_but_not_the_newest_state(self):
        for limits in (
            {"versions_per_proxy": 3},
            {"versions_max": 3},
            {"age_max": 2.5},
            {"bytes_max": 1100},
        ):
            store = store_of([{"level/k": level} for level in range(1, 11)], HistoryStore(**limits))
            history = store.histories["p"]
            self.assertEqual(
                [entry.version.serial for entry in history.entries], [8, 9, 10], limits
            )
            self.assertEqual(history.items, {"level/k": 10})
            # The oldest restorable version is that before the oldest entry.
            self.assertEqual(history.items_at_version(Version(1, 7)), {"level/k": 7})
            with self.assertRaises(UnknownVersionError):
                history.items_at_version(Version(1, 6))
            with self.assertRaises(UnknownVersionError):
                history.state_at_time(5.0)
            self.assertEqual((store.entry_count, store.dropped_entries), (3, 7))

    def test_history_of_the_earliest_disconnected_proxy_is_dropped_first(self):
        store = HistoryStore(proxies_max=3)
        for name in "abc":
            store.commit(name, Version(1, 1), 0.0, (), {"level/k": 1})
        for name in "ba":
            store.mark_disconnected(name)
        store.history("d")
        self.assertEqual(sorted(store.histories), ["a", "c", "d"])
        store.history("a")  # reconnected
        store.history("e")
        # The histories of connected proxies are kept.
        self.assertEqual(sorted(store.histories), ["a", "c", "d", "e"])

    def test_references_to_dropped_entries_do_not_accumulate_behind_an_old_entry(self):
        store = HistoryStore(versions_per_proxy=10)
        store.commit("idle", Version(1, 1), 0.0, (), {"level/k": 1})
        for serial in range(1, 5001):
            store.commit("busy", Version(1, serial), 0.0, (), {"level/k": serial})
        self.assertLess(len(store.publication_order), 1200)
        self.assertEqual(len(store.entries_between()), 11)
