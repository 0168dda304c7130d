"""The guard between a pinned table and what is published."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from peatlead.tables.guard import GuardContext, guard

from .. import places  # noqa: F401  (it loads the profile of hypothesis)

ENDPOINTS = range(6)
TABLES = st.dictionaries(st.sampled_from(ENDPOINTS), st.sampled_from([0.5, 1.0, 2.0]), max_size=6)


def context(phases=None, withdrawn=(), fractions=None):
    return GuardContext(
        phases or dict.fromkeys(ENDPOINTS, "ready"),
        frozenset(withdrawn),
        dict.fromkeys(ENDPOINTS, 1.0) if fractions is None else fractions,
    )


class GuardTest(unittest.TestCase):
    def test_draining_gone_dropped_and_unlisted_endpoints_are_not_revived(self):
        phases = {0: "ready", 1: "draining", 2: "gone", 3: "ready", 4: "ready"}
        pinned = dict.fromkeys(range(6), 1.0)
        guarded = guard(
            pinned,
            {0: 1.0},
            context(phases, withdrawn=(4,), fractions={0: 1.0, 1: 1.0, 2: 1.0, 4: 1.0}),
        )
        self.assertEqual(guarded.weights, {0: 1.0})
        self.assertEqual(set(guarded.restricted), {1, 2, 3, 4, 5})
        self.assertIn("drains", guarded.restricted[1])
        self.assertIn("dropped", guarded.restricted[3])

    def test_endpoints_added_since_stay_out_and_old_weights_are_restored(self):
        self.assertEqual(
            guard({0: 2.0, 1: 1.0}, {0: 1.0, 1: 1.0, 5: 4.0}, context()).weights, {0: 2.0, 1: 1.0}
        )

    def test_a_ramping_endpoint_gets_at_most_the_share_the_planner_gives_it(self):
        fractions = {**dict.fromkeys(ENDPOINTS, 1.0), 3: 0.12}
        guarded = guard({0: 1.0, 3: 1.0}, {0: 1.0, 1: 1.0, 3: 0.12}, context(fractions=fractions))
        self.assertAlmostEqual(guarded.weights[3] / sum(guarded.weights.values()), 0.12 / 2.12)
        self.assertNotIn(
            3, guard({0: 1.0, 3: 1.0}, {0: 1.0, 1: 1.0}, context(fractions=fractions)).weights
        )

    def test_a_small_rest_is_filled_up_and_an_empty_one_replaced_by_the_planners_table(self):
        phases = {**dict.fromkeys(ENDPOINTS, "ready"), 1: "gone", 2: "gone"}
        pinned = {0: 1.0, 1: 1.0, 2: 1.0}
        self.assertEqual(
            guard(pinned, {4: 1.0, 5: 1.0}, context(phases)).weights, {0: 1.0, 4: 1.0, 5: 1.0}
        )
        self.assertEqual(guard({1: 1.0, 2: 1.0}, {4: 1.0}, context(phases)).weights, {4: 1.0})

    @given(
        TABLES,
        TABLES,
        st.sets(st.sampled_from(ENDPOINTS)),
        st.sets(st.sampled_from(ENDPOINTS)),
        st.sets(st.sampled_from(ENDPOINTS)),
    )
    def test_never_empty_never_reviving_and_never_ramping_faster_than_the_planner(
        self, pinned, planned, gone, dropped, ramping
    ):
        dropped -= planned.keys()  # what the planner's table names, it names somewhere
        known = context(
            {endpoint: "gone" if endpoint in gone else "ready" for endpoint in ENDPOINTS},
            fractions={
                endpoint: 0.2 if endpoint in ramping else 1.0
                for endpoint in ENDPOINTS
                if endpoint not in dropped
            },
        )
        lines = guard(pinned, planned, known).weights
        self.assertEqual(bool(lines), bool(lines) if pinned else bool(planned))
        if planned:
            self.assertTrue(lines)
        for endpoint in lines:
            self.assertTrue(
                endpoint in planned or endpoint not in gone | dropped, (endpoint, lines)
            )
        for endpoint in ramping & lines.keys():
            part = lines[endpoint] / sum(lines.values())
            self.assertIn(endpoint, planned)
            self.assertLessEqual(part, planned[endpoint] / sum(planned.values()) + 1e-9)
