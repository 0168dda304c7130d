"""Which controller owns a proxy: ranking, bounded load, paced admissions, moves, and fencing."""

import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from peatlead.fleet.ownership import (
    ADMISSION_BURST,
    ControllerStatus,
    Fence,
    Ownership,
    rank_controllers,
)


def fleet_of(*names, loads=None):
    """Each controller's `Ownership`, by name, with the given loads of all."""
    status = {name: ControllerStatus((loads or {}).get(name, 0), False) for name in names}
    fleet = {}
    for name in names:
        fleet[name] = Ownership(name, 200.0, random.Random(1))
        fleet[name].update_controllers(0.0, status)
    return fleet


class OwnershipTest(unittest.TestCase):
    PROXIES = [f"p{at}" for at in range(300)]

    def test_all_controllers_agree_on_owners_and_a_change_moves_only_its_own_proxies(self):
        three, two = fleet_of("a", "b", "c"), fleet_of("a", "b")
        ownership = {p: three["a"].owner_of(p) for p in self.PROXIES}
        self.assertEqual(ownership, {p: three["c"].owner_of(p) for p in self.PROXIES})
        moved = [p for p in self.PROXIES if ownership[p] != two["a"].owner_of(p)]
        self.assertEqual({ownership[p] for p in moved}, {"c"})

    def test_load_is_bounded(self):
        loads = {"a": 0, "b": 0, "c": 0, "d": 0}
        ownership = fleet_of(*loads)["a"]
        for proxy in self.PROXIES:
            ownership.update_controllers(
                0.0, {name: ControllerStatus(load, False) for name, load in loads.items()}
            )
            loads[ownership.owner_of(proxy)] += 1
        self.assertLessEqual(max(loads.values()), 300 / 4 * 1.25 + 5)

    def test_a_proxy_that_cannot_reach_its_owner_is_admitted_elsewhere(self):
        fleet = fleet_of("a", "b", "c")
        proxy = next(p for p in self.PROXIES if rank_controllers(p, "abc")[0] == "a")
        self.assertFalse(fleet["b"].admit(0.0, proxy, 4).admitted)
        self.assertTrue(fleet["b"].admit(0.0, proxy, 4, hops=2).admitted)
        second = rank_controllers(proxy, "abc")[1]
        self.assertTrue(fleet[second].admit(0.0, proxy, 4, unreachable_controllers=("a",)).admitted)

    def test_a_proxy_is_not_redirected_at_once_to_an_owner_it_could_not_reach(self):
        # Seed 50016 of the lab: it was admitted and redirected five times a second until its owner was declared dead.
        ownership = Ownership("a", 200.0, random.Random(1))
        ownership.update_controllers(
            0.0, {"a": ControllerStatus(4, False), "b": ControllerStatus(4, False)}
        )
        proxy = next(f"p{at}" for at in range(100) if rank_controllers(f"p{at}", "ab")[0] == "b")
        self.assertTrue(ownership.admit(10.0, proxy, 0, 2, ("b",)).admitted)
        self.assertEqual(ownership.due_redirects(12.0), [])
        self.assertEqual(ownership.due_redirects(16.0), [(proxy, "b")])

    def test_simultaneous_admissions_are_paced_with_jitter(self):
        ownership = fleet_of("a")["a"]
        decisions = [ownership.admit(0.0, p, 0) for p in self.PROXIES]
        self.assertEqual(sum(v.admitted for v in decisions), ADMISSION_BURST)
        waits = {v.retry_delay for v in decisions if not v.admitted}
        self.assertGreater(len(waits), 200)
        admitted_later = [ownership.admit(1.0, p, 0).admitted for p in self.PROXIES]
        self.assertEqual(sum(admitted_later), ADMISSION_BURST)

    def test_a_draining_controller_hands_over_all_proxies_and_admits_none(self):
        fleet = fleet_of("a", "b")
        for proxy in self.PROXIES[:40]:
            fleet["a"].admit(0.0, proxy, 0, hops=2)
        fleet["a"].draining = True
        for one in fleet.values():
            one.update_controllers(
                10.0, {"a": ControllerStatus(40, True), "b": ControllerStatus(0, False)}
            )
        moved, now = set(), 10.0
        while len(moved) < 40 and now < 60:
            for proxy, owner in fleet["a"].due_redirects(now):
                self.assertEqual(owner, "b")
                fleet["a"].forget(proxy)
                moved.add(proxy)
            now += 0.1
        self.assertEqual(len(moved), 40)
        self.assertNotEqual(fleet["b"].owner_of("new"), "a")

    def test_nothing_is_moved_while_the_membership_changes(self):
        ownership = fleet_of("a", "b")["a"]
        for proxy in self.PROXIES[:40]:
            ownership.admit(0.0, proxy, 0, hops=2)
        ownership.update_controllers(
            10.0, {"a": ControllerStatus(40, False), "b": ControllerStatus(0, False)}
        )
        ownership.changed_at = 10.0
        self.assertEqual(ownership.due_redirects(11.0), [])
        self.assertTrue(ownership.due_redirects(14.0))

    @given(
        st.lists(st.tuples(st.sampled_from("abc"), st.integers(0, 4), st.booleans()), max_size=40),
        st.integers(0, 99),
    )
    def test_epochs_never_go_back_and_at_most_one_owner_is_effective(self, connections, seed):
        """The proxy joins any controller in any order; orders of all it ever joined arrive in any order."""
        fleet, chance = fleet_of("a", "b", "c"), random.Random(seed)
        fence, orders, effective = Fence(), [], []
        for name, many, forget in connections:
            fence = Fence((fence.newest[0] + 1, 1 << 62))  # connecting fences off all before
            decision = fleet[name].admit(0.0, "p", fence.newest[0], hops=9)
            if not decision.admitted:
                continue
            epoch = fleet[name].epochs["p"]
            self.assertGreater(epoch, fence.newest[0])
            orders += [(epoch, serial, name) for serial in range(1, many + 1)]
            if forget:
                fleet[name].forget("p")  # it restarts, or the stream ended
            for order in chance.sample(orders, len(orders)):
                if fence.allows(order[0], order[1]):
                    self.assertEqual((order[0], order[2]), (epoch, name))
                    effective.append(order[:2])
                    fence = fence.advanced_to(order[0], order[1])
        self.assertEqual(len(effective), len(set(effective)))
        self.assertEqual(effective, sorted(effective))
