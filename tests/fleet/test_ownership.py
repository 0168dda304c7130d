"""Ownership of proxies: ranking, bounded load, admission rate, redirects and fencing."""

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


def make_fleet(*names, loads=None):
    """Return each controller's `Ownership` by name; `loads` are the loads by controller."""
    statuses = {name: ControllerStatus((loads or {}).get(name, 0), False) for name in names}
    fleet = {}
    for name in names:
        fleet[name] = Ownership(name, 200.0, random.Random(1))
        fleet[name].update_controllers(0.0, statuses)
    return fleet


class OwnershipTest(unittest.TestCase):
    PROXIES = [f"p{index}" for index in range(300)]

    def test_controllers_agree_on_owners_and_a_lost_controller_moves_only_its_proxies(self):
        three_controllers, two_controllers = make_fleet("a", "b", "c"), make_fleet("a", "b")
        owners = {proxy: three_controllers["a"].find_owner(proxy) for proxy in self.PROXIES}
        self.assertEqual(
            owners, {proxy: three_controllers["c"].find_owner(proxy) for proxy in self.PROXIES}
        )
        redirected = [
            proxy
            for proxy in self.PROXIES
            if owners[proxy] != two_controllers["a"].find_owner(proxy)
        ]
        self.assertEqual({owners[proxy] for proxy in redirected}, {"c"})

    def test_no_controller_gets_much_more_than_the_mean_load(self):
        loads = {"a": 0, "b": 0, "c": 0, "d": 0}
        ownership = make_fleet(*loads)["a"]
        for proxy in self.PROXIES:
            ownership.update_controllers(
                0.0, {name: ControllerStatus(load, False) for name, load in loads.items()}
            )
            loads[ownership.find_owner(proxy)] += 1
        self.assertLessEqual(max(loads.values()), 300 / 4 * 1.25 + 5)

    def test_a_proxy_that_cannot_reach_its_owner_is_admitted_elsewhere(self):
        fleet = make_fleet("a", "b", "c")
        proxy = next(
            candidate for candidate in self.PROXIES if rank_controllers(candidate, "abc")[0] == "a"
        )
        self.assertFalse(fleet["b"].admit(0.0, proxy, 4).admitted)
        self.assertTrue(fleet["b"].admit(0.0, proxy, 4, hops=2).admitted)
        next_owner = rank_controllers(proxy, "abc")[1]
        self.assertTrue(
            fleet[next_owner].admit(0.0, proxy, 4, unreachable_controllers=("a",)).admitted
        )

    def test_a_proxy_is_not_redirected_at_once_to_an_owner_that_it_could_not_reach(self):
        # Otherwise the proxy would alternate between two controllers until its owner is declared
        # dead.
        ownership = Ownership("a", 200.0, random.Random(1))
        ownership.update_controllers(
            0.0, {"a": ControllerStatus(4, False), "b": ControllerStatus(4, False)}
        )
        proxy = next(
            f"p{index}" for index in range(100) if rank_controllers(f"p{index}", "ab")[0] == "b"
        )
        self.assertTrue(ownership.admit(10.0, proxy, 0, 2, ("b",)).admitted)
        self.assertEqual(ownership.due_redirects(12.0), [])
        self.assertEqual(ownership.due_redirects(16.0), [(proxy, "b")])

    def test_simultaneous_admissions_are_paced_with_jitter(self):
        ownership = make_fleet("a")["a"]
        decisions = [ownership.admit(0.0, proxy, 0) for proxy in self.PROXIES]
        self.assertEqual(sum(decision.admitted for decision in decisions), ADMISSION_BURST)
        retry_delays = {decision.retry_delay for decision in decisions if not decision.admitted}
        self.assertGreater(len(retry_delays), 200)
        admitted_later = [ownership.admit(1.0, proxy, 0).admitted for proxy in self.PROXIES]
        self.assertEqual(sum(admitted_later), ADMISSION_BURST)

    def test_a_draining_controller_redirects_all_proxies_and_owns_no_new_one(self):
        fleet = make_fleet("a", "b")
        for proxy in self.PROXIES[:40]:
            fleet["a"].admit(0.0, proxy, 0, hops=2)
        fleet["a"].draining = True
        for ownership in fleet.values():
            ownership.update_controllers(
                10.0, {"a": ControllerStatus(40, True), "b": ControllerStatus(0, False)}
            )
        redirected, now = set(), 10.0
        while len(redirected) < 40 and now < 60:
            for proxy, owner in fleet["a"].due_redirects(now):
                self.assertEqual(owner, "b")
                fleet["a"].forget_proxy(proxy)
                redirected.add(proxy)
            now += 0.1
        self.assertEqual(len(redirected), 40)
        self.assertNotEqual(fleet["b"].find_owner("new"), "a")

    def test_no_proxy_is_redirected_while_the_membership_changes(self):
        ownership = make_fleet("a", "b")["a"]
        for proxy in self.PROXIES[:40]:
            ownership.admit(0.0, proxy, 0, hops=2)
        ownership.update_controllers(
            10.0, {"a": ControllerStatus(40, False), "b": ControllerStatus(0, False)}
        )
        ownership.membership_changed_at = 10.0
        self.assertEqual(ownership.due_redirects(11.0), [])
        self.assertTrue(ownership.due_redirects(14.0))

    @given(
        st.lists(st.tuples(st.sampled_from("abc"), st.integers(0, 4), st.booleans()), max_size=40),
        st.integers(0, 99),
    )
    def test_epochs_never_go_back_and_only_the_newest_owners_updates_are_applied(
        self, connections, seed
    ):
        """A proxy connects to controllers in any order; their updates arrive in any order."""
        fleet, rng = make_fleet("a", "b", "c"), random.Random(seed)
        fence, updates, applied = Fence(), [], []
        for name, serial_count, forgets in connections:
            # A proxy that connects rejects all updates of former owners.
            fence = Fence((fence.newest_version[0] + 1, 1 << 62))
            decision = fleet[name].admit(0.0, "p", fence.newest_version[0], hops=9)
            if not decision.admitted:
                continue
            epoch = fleet[name].epochs["p"]
            self.assertGreater(epoch, fence.newest_version[0])
            updates += [(epoch, serial, name) for serial in range(1, serial_count + 1)]
            if forgets:
                fleet[name].forget_proxy("p")  # the controller restarted, or the stream ended
            for update in rng.sample(updates, len(updates)):
                if fence.allows(update[0], update[1]):
                    self.assertEqual((update[0], update[2]), (epoch, name))
                    applied.append(update[:2])
                    fence = fence.after_update(update[0], update[1])
        self.assertEqual(len(applied), len(set(applied)))
        self.assertEqual(applied, sorted(applied))
