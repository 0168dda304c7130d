"""Failure detection on a simulated network with kills, partitions, losses, stalls and restarts."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from peatlead.fleet.membership import Leave, LocalStatus
from peatlead.lab.members import MembershipNetwork


class MembershipTest(unittest.TestCase):
    def test_all_members_agree_and_a_killed_one_is_declared_dead_by_all(self):
        for size in (3, 10, 50):
            net = MembershipNetwork(size)
            net.run(8.0)
            self.assertTrue(net.members_agree(sorted(net.nodes)), size)
            net.dead.add("n1")
            net.run(14.0)
            self.assertEqual(set(net.member_states("n1").values()), {"dead"})

    def test_packet_loss_alone_declares_no_member_dead_for_long(self):
        net, dead_beliefs = MembershipNetwork(5, loss=0.15), []
        net.run(5.0)
        net.run(
            60.0,
            lambda: dead_beliefs.append(
                sum(
                    state == "dead"
                    for name in net.nodes
                    for state in net.member_states(name).values()
                )
            ),
        )
        self.assertLess(sum(map(bool, dead_beliefs)), len(dead_beliefs) * 0.05)
        net.loss = 0.0
        net.run(4.0)
        self.assertTrue(net.members_agree(sorted(net.nodes)))

    def test_a_partition_splits_the_membership_and_heals(self):
        net = MembershipNetwork(5)
        net.run(5.0)
        first_side, second_side = ("n0", "n3"), ("n1", "n2", "n4")
        net.cut = {(a, b) for a in first_side for b in second_side} | {
            (b, a) for a in first_side for b in second_side
        }
        net.run(10.0)
        self.assertTrue(net.members_agree(first_side) and net.members_agree(second_side))
        net.cut = set()
        net.run(10.0)
        self.assertTrue(net.members_agree(sorted(net.nodes)))

    def test_indirect_pings_bridge_a_one_way_partition(self):
        net = MembershipNetwork(3)
        net.run(5.0)
        net.cut = {("n0", "n1")}
        net.run(20.0)
        self.assertEqual(net.member_states("n1")["n0"], "alive")
        self.assertEqual(net.member_states("n0")["n1"], "alive")

    def test_members_agree_after_a_flapping_link(self):
        net = MembershipNetwork(3)
        net.run(4.0)
        for _ in range(20):
            net.cut = {("n0", "n1"), ("n1", "n0")} if not net.cut else set()
            net.run(net.rng.uniform(0.2, 2.0))
        net.cut = set()
        net.run(8.0)
        self.assertTrue(net.members_agree(sorted(net.nodes)))

    def test_a_stalled_member_refutes_its_death_and_suspects_nobody(self):
        net = MembershipNetwork(4)
        net.run(5.0)
        net.frozen.add("n2")
        net.run(10.0)
        self.assertEqual(set(net.member_states("n2").values()) - {"alive"}, {"dead"})
        net.frozen.clear()
        net.run(0.2)
        self.assertEqual(set(net.nodes["n2"].live_members()), set(net.nodes))
        net.run(5.0)
        self.assertTrue(net.members_agree(sorted(net.nodes)))

    def test_a_member_that_restarts_without_state_rejoins(self):
        net = MembershipNetwork(3)
        net.deliver("n1", [LocalStatus(4, False)])
        net.run(5.0)
        net.dead.add("n1")
        net.run(0.4)  # restarts before the other members notice
        net.start("n1")
        net.run(5.0)
        self.assertTrue(net.members_agree(sorted(net.nodes)))
        self.assertGreater(net.nodes["n1"].own_info.incarnation, 0)

    def test_a_member_that_leaves_is_removed_at_once(self):
        net = MembershipNetwork(3)
        net.run(5.0)
        net.deliver("n2", [Leave()])
        net.dead.add("n2")
        net.run(0.3)
        self.assertEqual(set(net.member_states("n2").values()), {"left"})

    def test_messages_are_bounded_in_a_large_fleet(self):
        net = MembershipNetwork(60)
        max_sizes = [0]  # bytes, at each step of the run
        net.run(
            6.0,
            lambda: max_sizes.append(
                max((len(datagram[3]) for datagram in net.in_flight), default=0)
            ),
        )
        self.assertLess(max(max_sizes), 1200)

    def test_load_and_draining_are_disseminated(self):
        net = MembershipNetwork(3)
        net.run(4.0)
        net.deliver("n0", [LocalStatus(17, True)])
        net.run(3.0)
        info = net.nodes["n2"].live_members()["n0"]
        self.assertEqual((info.load, info.draining), (17, True))

    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["kill", "start", "cut", "heal", "freeze", "wake", "loss"]),
                st.integers(0, 3),
                st.integers(0, 3),
                st.floats(0.05, 3.0),
            ),
            max_size=12,
        ),
        st.integers(0, 1000),
    )
    def test_incarnations_never_go_back_and_members_agree_after_any_faults(self, faults, seed):
        net, last_incarnations = MembershipNetwork(4, seed), {}

        def check_incarnations():
            for name in net.nodes:
                if name in net.dead:
                    continue
                for member_name, member in net.nodes[name].members.items():
                    key = name, id(net.nodes[name]), member_name
                    if member.state_since <= net.now:
                        self.assertGreaterEqual(
                            member.info.incarnation, last_incarnations.get(key, 0)
                        )
                        last_incarnations[key] = member.info.incarnation

        net.run(3.0, check_incarnations)
        for fault, index, other_index, wait in faults:
            node, other_node = f"n{index}", f"n{other_index}"
            if fault == "kill":
                net.dead.add(node)
            elif fault == "start" and node in net.dead:
                net.start(node)
            elif fault == "cut":
                net.cut.add((node, other_node))
            elif fault == "heal":
                net.cut.discard((node, other_node))
            elif fault == "freeze":
                net.frozen.add(node)
            elif fault == "wake":
                net.frozen.discard(node)
            else:
                net.loss = 0.2
            net.run(wait, check_incarnations)
        net.cut, net.frozen, net.loss = set(), set(), 0.0
        net.run(25.0, check_incarnations)
        self.assertTrue(net.members_agree(sorted(set(net.nodes) - net.dead)))
