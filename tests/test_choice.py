import unittest

from peatlead import interface as our

from .helpers import member, of_type, planner


class Design(unittest.TestCase):
    def test_every_steward_gives_a_proxy_the_same_shard(self):
        one, other = planner(), planner()
        self.assertEqual(one.proxies[2].lines, other.proxies[2].lines)
        self.assertEqual({one.hosts[h].zone for h in one.proxies[2].lines[0]}, {0, 1})

    def test_no_usable_member_means_every_usable_host_of_the_zone(self):
        made = planner()
        shard = {h.id for members in made.shard(made.proxies[0], 0)[0].values() for h in members}
        for host in shard:
            made.hosts[host].phase = "gone"
        made.take_member(member(50, 0))
        self.assertEqual(set(made.table(made.proxies[0], 0)), {50})

    def test_a_kind_open_to_some_zones_gets_no_line_elsewhere(self):
        kinds = planner().facts["req_kinds"]
        made = planner(req_kinds=[{**kinds[0], "only_zones": [1]}, kinds[1]])
        self.assertEqual({made.hosts[h].zone for h in made.proxies[0].lines[0]}, {1})
        self.assertEqual({made.hosts[h].zone for h in made.proxies[0].lines[1]}, {0, 1})


class Rules(unittest.TestCase):
    def test_a_draining_host_leaves_every_table_and_is_withdrawn_at_once(self):
        made = planner()
        orders = made.decide(101.0, [our.Roster("changes", 2, (member(3, 1, "draining"),))])
        self.assertIn(our.Withdraw(3, True), orders)
        self.assertEqual(len([o for o in of_type(orders, our.SetLine) if o.host == 3 and not o.weight]), 4)

    def test_nothing_is_tried_again_that_may_have_run(self):
        made = planner()
        made.orders, made.levels = [], None
        made.order_levels()
        tries = {o.kinds: o.retry for o in of_type(made.orders, our.Admit)}
        self.assertEqual(tries, {(0,): "unstarted", (1,): "unstarted"})

    def test_doubt_alone_never_leaves_a_proxy_without_a_line(self):
        made = planner()
        for host in made.hosts.values():
            host.out_until = 1e9
        self.assertTrue(made.table(made.proxies[0], 0))


class Doubt(unittest.TestCase):
    def test_a_host_that_fails_against_its_peers_is_dropped_and_a_shared_fault_drops_nobody(self):
        made = planner()
        for host in made.hosts.values():
            host.tries, host.bad, host.answer_time = 10.0, 6.0, 1.0
        made.judge()
        self.assertTrue(all(h.usable for h in made.hosts.values()))
        for host in made.hosts.values():
            host.tries, host.bad = 10.0, 6.0 if host.id == 5 else 0.0
            host.answer_time = 0.1 * (host.tries - host.bad)
        made.judge()
        self.assertEqual([h.id for h in made.hosts.values() if not h.usable], [5])

    def test_a_busy_host_whose_probes_time_out_stays_and_a_silent_one_goes(self):
        made = planner()
        made.now = 110.0
        for host in made.hosts.values():
            host.good_at = 109.5
        made.hosts[2].probe_fails = made.hosts[3].probe_fails = 4
        made.hosts[3].good_at = 105.0
        made.judge()
        self.assertEqual([h.id for h in made.hosts.values() if not h.usable], [3])

    def test_a_slow_host_leaves_some_shards_and_a_shared_slowness_moves_nobody(self):
        made = planner()
        for all_slow in (True, False):
            made.now += 10
            for host in made.hosts.values():
                slow = all_slow or host.id == 1
                host.tries, host.bad, host.answer_time = 10.0, 0.0, 9.0 if slow else 1.0
            made.judge()
        self.assertEqual([(h.id, len(h.spared)) for h in made.hosts.values() if h.spared], [(1, 1)])
        without = made.proxies[next(iter(made.hosts[1].spared))]
        self.assertNotIn(1, made.table(without, 0))
