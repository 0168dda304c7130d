"""The guard, which restricts the past tables of pinned proxies."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from peatlead.tables.guard import GuardContext, guard

from .. import standin_fleet  # noqa: F401  (loads the hypothesis profile)

ENDPOINTS = range(6)
TABLES = st.dictionaries(st.sampled_from(ENDPOINTS), st.sampled_from([0.5, 1.0, 2.0]), max_size=6)


def make_context(phases=None, withdrawn=(), fractions=None):
    """Return the state of `ENDPOINTS`; by default all are ready and have their listed weight."""
    return GuardContext(
        phases or dict.fromkeys(ENDPOINTS, "ready"),
        frozenset(withdrawn),
        dict.fromkeys(ENDPOINTS, 1.0) if fractions is None else fractions,
    )


class GuardTest(unittest.TestCase):
    def test_draining_gone_withdrawn_dropped_and_unlisted_endpoints_are_left_out(self):
        phases = {0: "ready", 1: "draining", 2: "gone", 3: "ready", 4: "ready"}
        pinned = dict.fromkeys(range(6), 1.0)
        guarded = guard(
            pinned,
            {0: 1.0},
            make_context(phases, withdrawn=(4,), fractions={0: 1.0, 1: 1.0, 2: 1.0, 4: 1.0}),
        )
        self.assertEqual(guarded.weights, {0: 1.0})
        self.assertEqual(set(guarded.restricted), {1, 2, 3, 4, 5})
        self.assertIn("drains", guarded.restricted[1])
        self.assertIn("dropped", guarded.restricted[3])

    def test_old_weights_are_restored_without_endpoints_that_were_added_later(self):
        self.assertEqual(
            guard({0: 2.0, 1: 1.0}, {0: 1.0, 1: 1.0, 5: 4.0}, make_context()).weights,
            {0: 2.0, 1: 1.0},
        )

    def test_ramping_endpoint_gets_at_most_its_fraction_of_the_planners_table(self):
        fractions = {**dict.fromkeys(ENDPOINTS, 1.0), 3: 0.12}
        guarded = guard(
            {0: 1.0, 3: 1.0}, {0: 1.0, 1: 1.0, 3: 0.12}, make_context(fractions=fractions)
        )
        self.assertAlmostEqual(guarded.weights[3] / sum(guarded.weights.values()), 0.12 / 2.12)
        self.assertNotIn(
            3, guard({0: 1.0, 3: 1.0}, {0: 1.0, 1: 1.0}, make_context(fractions=fractions)).weights
        )

    def test_planners_endpoints_are_added_if_little_weight_is_left_or_replace_an_empty_table(self):
        phases = {**dict.fromkeys(ENDPOINTS, "ready"), 1: "gone", 2: "gone"}
        pinned = {0: 1.0, 1: 1.0, 2: 1.0}
        self.assertEqual(
            guard(pinned, {4: 1.0, 5: 1.0}, make_context(phases)).weights, {0: 1.0, 4: 1.0, 5: 1.0}
        )
        self.assertEqual(guard({1: 1.0, 2: 1.0}, {4: 1.0}, make_context(phases)).weights, {4: 1.0})

    @given(
        TABLES,
        TABLES,
        st.sets(st.sampled_from(ENDPOINTS)),
        st.sets(st.sampled_from(ENDPOINTS)),
        st.sets(st.sampled_from(ENDPOINTS)),
    )
    def test_tables_are_not_empty_revive_no_endpoint_and_do_not_exceed_planned_ramps(
        self, pinned, planned, gone, dropped, ramping
    ):
        dropped -= planned.keys()  # an endpoint in the planner's table is not dropped
        guard_context = make_context(
            {endpoint: "gone" if endpoint in gone else "ready" for endpoint in ENDPOINTS},
            fractions={
                endpoint: 0.2 if endpoint in ramping else 1.0
                for endpoint in ENDPOINTS
                if endpoint not in dropped
            },
        )
        weights = guard(pinned, planned, guard_context).weights
        self.assertEqual(bool(weights), bool(weights) if pinned else bool(planned))
        if planned:
            self.assertTrue(weights)
        for endpoint in weights:
            self.assertTrue(
                endpoint in planned or endpoint not in gone | dropped, (endpoint, weights)
            )
        for endpoint in ramping & weights.keys():
            fraction = weights[endpoint] / sum(weights.values())
            self.assertIn(endpoint, planned)
            self.assertLessEqual(fraction, planned[endpoint] / sum(planned.values()) + 1e-9)
