import random
import unittest
from collections import Counter
from ipaddress import ip_address, ip_network

import dns.edns
import dns.flags
import dns.message
import dns.opcode
import dns.rcode
from hypothesis import given
from hypothesis import strategies as some

from peatlead.dns.answer_order import AnswerRotation, orders, srv_weights
from peatlead.dns.answers import Answers
from peatlead.dns.views import PrefixMap, Views, number_of
from peatlead.dns.warmup_thinning import Named, WarmupThinning

from .places import settings

NUMBER = 261398713923410  # of "desk0", whichever steward, version or machine
LINES = some.dictionaries(some.integers(0, 40), some.floats(0.05, 8.0), min_size=1, max_size=14)


def front(lines=None, lasting=True, places=1, hosts=40, **dns):
    made = settings()
    made["dns"].update(dns)
    answers = Answers(made, Views(made), random.Random(1).uniform)
    for host in range(hosts):
        answers.know(
            host, f"h{host}", f"127.10.0.{host + 1}", f"2001:db8::{host + 1:x}" if host % 2 else ""
        )
        answers.open_hosts.add(host)
    lines = lines or {0: 2.0, 1: 1.0, 2: 1.0}
    for view in answers.views.views:
        answers.place(view.index, 0, Named(dict(lines), lasting, places), dict(lines))
    return answers


def ask(answers, name="api.example.org", kind="A", peer="10.1.0.9", tcp=False, **more):
    query = dns.message.make_query(name, kind, **more)
    data = answers.respond(query.to_wire(), peer, tcp)
    answer = dns.message.from_wire(data)
    assert query.is_response(answer)
    return answer


def addresses(answer):
    return [str(one) for rrset in answer.answer for one in rrset]


class Order(unittest.TestCase):
    @given(LINES, some.floats(0.0, 0.999), some.integers(1, 120))
    def test_first_places_follow_the_weights_within_every_run(self, lines, start, many):
        rota, counts, total = AnswerRotation(lines, start), Counter(), sum(lines.values())
        for at in range(1, many + 1):
            counts[rota.pick()] += 1
            for host, weight in lines.items():
                self.assertLess(abs(counts[host] - at * weight / total), 2.0)

    def test_independent_draws_stray_many_times_further(self):
        lines, draw = {h: 1.0 + h % 3 for h in range(12)}, random.Random(5)
        total, many = sum(lines.values()), 240

        def stray(picks):
            counts = Counter(picks)
            return max(abs(counts[h] - many * w / total) for h, w in lines.items())

        rota = AnswerRotation(lines, 0.3)
        ours = stray(rota.pick() for _ in range(many))
        drawn = stray(draw.choices(list(lines), list(lines.values()), k=many))
        self.assertLess(ours * 3, drawn)

    @given(LINES, some.integers(1, 20))
    def test_no_answer_names_a_host_twice_or_too_few(self, lines, places):
        for order in orders(lines, places, 32, 0.5):
            self.assertEqual(len(set(order)), len(order))
            self.assertEqual(len(order), min(places, len(lines)))

    def test_srv_weights_keep_the_ratio_and_no_line_is_none(self):
        self.assertEqual(srv_weights({1: 4.0, 2: 1.0, 3: 1e-5}), {1: 1000, 2: 250, 3: 1})


class Thin(unittest.TestCase):
    def test_a_busy_view_never_names_a_cold_host_and_small_ones_make_up_its_part(self):
        # Half of all reqs come behind one resolver: a small weight there would be all of it, a lifetime long.
        thin = WarmupThinning({view: 100.0 if view == 0 else 2.0 for view in range(50)})
        table = {0: 0.25, 1: 1.0, 2: 1.0, 3: 1.0}
        named = thin.decide({view: table for view in range(50)}, dict.fromkeys(range(4), 1.0))
        holders = [view for view in named if 0 in named[view].lines]
        self.assertNotIn(0, holders)
        self.assertTrue(holders)
        planned = (100 + 49 * 2) * 0.25 / 3.25
        self.assertLessEqual(sum(2.0 / 4 for _ in holders), planned)

    @given(some.lists(some.floats(0.1, 60.0), min_size=3, max_size=40), some.floats(0.05, 0.9))
    def test_takers_bring_what_was_planned_at_most_and_none_more_than_it_whole(self, rates, share):
        thin = WarmupThinning(dict(enumerate(rates)))
        table = {0: share, 1: 1.0, 2: 1.0}
        named = thin.decide(
            {view: table for view in range(len(rates))}, dict.fromkeys(range(3), 1.0)
        )
        planned = sum(rates) * share / (share + 2)
        takers = [rates[view] for view in named if 0 in named[view].lines]
        self.assertLessEqual(sum(takers) / 3, planned + 1e-9)
        self.assertLessEqual(max(takers, default=0.0), planned + 1e-9)

    def test_where_all_ramp_all_are_named_and_nobody_may_keep_it(self):
        thin = WarmupThinning({0: 10.0})
        named = thin.decide({0: {1: 0.5, 2: 0.5}}, {1: 2.0, 2: 2.0})
        self.assertEqual(named[0].lines, {1: 0.5, 2: 0.5})
        self.assertFalse(named[0].lasting)

    def test_as_it_warms_all_name_it_again(self):
        thin, full = WarmupThinning({view: 5.0 for view in range(8)}), {1: 1.0, 2: 1.0}
        thin.decide({view: {1: 0.1, 2: 1.0} for view in range(8)}, full)
        named = thin.decide({view: {1: 1.0, 2: 1.0} for view in range(8)}, full)
        self.assertTrue(all(1 in thin.named[view].lines for view in range(8)))
        self.assertTrue(named)

    def test_a_busy_views_answers_name_more_hosts_and_may_not_be_kept(self):
        thin = WarmupThinning({view: 1.0 for view in range(30)})
        table = dict.fromkeys(range(10), 1.0)
        thin.decide({view: table for view in range(30)}, table)
        named = thin.decide({}, table, [(3, 80.0)])
        self.assertEqual((named[3].lasting, named[3].places), (False, 10))
        self.assertTrue(thin.named[4].lasting)


class WhichView(unittest.TestCase):
    @given(
        some.lists(some.tuples(some.integers(0, 2**32 - 1), some.integers(0, 32)), max_size=30),
        some.integers(0, 2**32 - 1),
        some.integers(0, 32),
    )
    def test_the_longest_prefix_is_what_a_plain_scan_finds(self, networks, address, most):
        found, plain = PrefixMap(), {}
        for at, (base, length) in enumerate(networks):
            network = ip_network((base, length), strict=False)
            found.add(network, at)
            plain[network] = at
        address = ip_address(address)
        fits = [n for n in plain if address in n and n.prefixlen <= most]
        best = max(fits, key=lambda n: n.prefixlen, default=None)
        self.assertEqual(found.find(address, most), best and (plain[best], best.prefixlen))

    def test_made_up_subnets_make_no_views(self):
        views = Views(settings())
        for at in range(20000):
            views.of_network(ip_address(at * 70000 % 2**32), 24)
        self.assertEqual(len(views.views), 2 + 4)

    def test_every_steward_and_every_start_gives_a_name_the_same_number(self):
        self.assertEqual(Views(settings()).by_name["desk0"].number, number_of("desk0"))
        self.assertEqual(number_of("desk0"), NUMBER)


class Rfc(unittest.TestCase):
    def test_weights_are_drawn_and_a_lifetime_is_told(self):
        answers = front({0: 2.0, 1: 1.0, 2: 1.0}, addresses=1)
        firsts = Counter(addresses(ask(answers))[0] for _ in range(64))
        self.assertEqual(firsts, {"127.10.0.1": 32, "127.10.0.2": 16, "127.10.0.3": 16})
        self.assertEqual(ask(answers).answer[0].ttl, 1)
        self.assertTrue(ask(answers).flags & dns.flags.AA)

    def test_resolvers_of_one_view_share_its_rota(self):
        answers = front({0: 1.0, 1: 1.0}, addresses=1)
        firsts = Counter(addresses(ask(answers, peer=f"10.1.0.{at + 1}"))[0] for at in range(64))
        self.assertEqual(set(firsts.values()), {32})

    def test_what_must_not_be_kept_has_no_lifetime(self):
        self.assertEqual(ask(front(lasting=False)).answer[0].ttl, 0)

    def test_aaaa_names_only_hosts_that_have_one_and_none_is_no_data(self):
        self.assertEqual(set(addresses(ask(front(), kind="AAAA"))), {"2001:db8::2"})
        none = ask(front({0: 1.0, 2: 1.0}), kind="AAAA")
        self.assertEqual(
            (none.rcode(), none.answer, len(none.authority)), (dns.rcode.NOERROR, [], 1)
        )

    def test_srv_carries_the_weights_and_addresses_as_they_fit(self):
        answer = ask(front({0: 2.0, 1: 1.0}), "_http._tcp.api.example.org", "SRV", use_edns=0)
        self.assertEqual(
            {str(one.target): one.weight for one in answer.answer[0]},
            {"h0.hosts.example.org.": 1000, "h1.hosts.example.org.": 500},
        )
        self.assertEqual(len(answer.additional), 3)
        many = {host: 1.0 for host in range(7)}
        small = ask(front(many), "_http._tcp.api.example.org", "SRV")
        self.assertEqual((len(small.answer[0]), small.additional), (7, []))

    def test_what_does_not_fit_is_truncated_and_whole_over_tcp(self):
        many = {host: 1.0 for host in range(40)}
        cut = ask(front(many), "_http._tcp.api.example.org", "SRV")
        self.assertTrue(cut.flags & dns.flags.TC)
        whole = ask(front(many), "_http._tcp.api.example.org", "SRV", tcp=True)
        self.assertEqual(len(whole.answer[0]), 40)

    def test_more_addresses_than_fit_are_left_out_without_truncation(self):
        answers = front({host: 1.0 for host in range(40)}, addresses=40)
        data = answers.respond(dns.message.make_query("api.example.org", "A").to_wire(), "10.1.0.1")
        self.assertLessEqual(len(data), 512)
        self.assertFalse(dns.message.from_wire(data).flags & dns.flags.TC)

    def test_negative_answers_carry_the_soa(self):
        for name, kind, code in (
            ("x.example.org", "A", dns.rcode.NXDOMAIN),
            ("api.example.org", "MX", 0),
            ("a.b.api.example.org", "A", dns.rcode.NXDOMAIN),
            ("_tcp.api.example.org", "A", 0),
            ("hosts.example.org", "A", 0),
            ("h99.hosts.example.org", "A", dns.rcode.NXDOMAIN),
        ):
            with self.subTest(name):
                answer = ask(front(), name, kind)
                self.assertEqual((answer.rcode(), answer.answer), (code, []))
                self.assertEqual(answer.authority[0].rdtype, dns.rdatatype.SOA)

    def test_soa_ns_any_and_glue(self):
        answers = front()
        self.assertEqual(len(ask(answers, "example.org", "NS").answer[0]), 2)
        self.assertEqual(addresses(ask(answers, "ns2.example.org")), ["127.1.0.2"])
        before = ask(answers, "example.org", "SOA").answer[0][0].serial
        answers.place(0, 0, Named({0: 1.0}, True), {0: 1.0})
        self.assertEqual(ask(answers, "example.org", "SOA").answer[0][0].serial, before + 1)
        self.assertIn("RFC8482", str(ask(answers, kind="ANY").answer[0][0]))

    def test_foreign_and_odd_queries(self):
        answers = front()
        self.assertEqual(ask(answers, "example.com").rcode(), dns.rcode.REFUSED)
        self.assertEqual(ask(answers, "example.org", "AXFR", tcp=True).rcode(), dns.rcode.REFUSED)
        self.assertEqual(ask(answers, use_edns=1).rcode(), dns.rcode.BADVERS)
        query = dns.message.make_query("api.example.org", "A")
        query.set_opcode(dns.opcode.NOTIFY)
        self.assertEqual(answers.respond(query.to_wire(), "10.1.0.1")[3] & 15, dns.rcode.NOTIMP)
        query = dns.message.make_query("api.example.org", "A").to_wire()
        self.assertEqual(answers.respond(query[:20], "10.1.0.1")[3] & 15, dns.rcode.FORMERR)
        self.assertIsNone(
            answers.respond(query[:2] + b"\x80" + query[3:], "10.1.0.1")
        )  # an answer: no loop
        self.assertIsNone(answers.respond(query[:11], "10.1.0.1"))

    def test_the_case_of_the_name_is_kept(self):
        answers = front()
        for _ in range(2):  # from the codec, then prepared
            answer = ask(answers, "aPi.eXamPle.OrG")
            self.assertEqual(answer.question[0].name.to_text(), "aPi.eXamPle.OrG.")
            self.assertEqual(len(addresses(answer)), 2)

    def test_a_client_subnet_is_believed_from_listed_resolvers_alone(self):
        answers = front()
        answers.place(1, 0, Named({7: 1.0}, True), {7: 1.0})
        option = dns.edns.ECSOption("10.2.0.0", 24)
        for _ in range(2):
            told = ask(answers, peer="192.0.2.53", use_edns=0, options=[option])
            self.assertEqual((addresses(told), told.options[0].scopelen), (["127.10.0.8"], 24))
            other = ask(answers, peer="10.1.0.9", use_edns=0, options=[option])
            self.assertEqual((len(addresses(other)), other.options), (2, ()))

    def test_two_views_behind_one_resolver_by_names_of_their_own(self):
        answers = front()
        answers.place(1, 0, Named({7: 1.0}, True), {7: 1.0})
        self.assertEqual(
            addresses(ask(answers, "desk1.api.example.org", peer="10.9.0.1")), ["127.10.0.8"]
        )
        self.assertEqual(len(addresses(ask(answers, "desk0.api.example.org", peer="10.2.0.1"))), 2)

    def test_no_table_is_a_failure_that_sends_the_resolver_on_and_is_not_kept(self):
        answers = front()
        answers.place(0, 0, Named({}, True), {})
        answer = ask(answers)
        self.assertEqual((answer.rcode(), answer.authority), (dns.rcode.SERVFAIL, []))

    def test_a_removed_host_is_in_no_answer_prepared_or_not(self):
        answers = front()
        for _ in range(8):
            ask(answers)
        answers.place(0, 0, Named({1: 1.0, 2: 1.0}, True), {1: 1.0, 2: 1.0})
        answers.open_hosts.discard(0)
        seen = {one for _ in range(70) for one in addresses(ask(answers))}
        self.assertEqual(seen, {"127.10.0.2", "127.10.0.3"})
        self.assertEqual(ask(answers, "h0.hosts.example.org").rcode(), dns.rcode.NXDOMAIN)

    def test_what_is_prepared_is_bounded(self):
        answers = front(prepared_most=50)
        for at in range(500):
            ask(answers, peer=f"10.1.{at // 200}.{at % 200}")
        self.assertLessEqual(answers.prepared, 50)
        self.assertGreater(answers.counts["flushed"], 5)

    def test_mutated_queries_never_raise_and_never_pass_their_transport(self):
        answers, chance = front({host: 1.0 for host in range(40)}, addresses=40), random.Random(3)
        seeds = [
            dns.message.make_query(name, kind, use_edns=edns, options=options).to_wire()
            for name in ("api.example.org", "_http._tcp.api.example.org", "example.org", "x.y")
            for kind in ("A", "AAAA", "SRV", "SOA", "ANY", "AXFR")
            for edns, options in (
                (False, None),
                (0, None),
                (0, [dns.edns.ECSOption("10.2.0.0", 24)]),
            )
        ]
        for _ in range(4000):
            data = bytearray(chance.choice(seeds))
            for _ in range(chance.randrange(4)):
                data[chance.randrange(len(data))] = chance.randrange(256)
            data = bytes(data[: chance.randrange(len(data) + 1)] if chance.random() < 0.2 else data)
            tcp = chance.random() < 0.2
            answer = answers.respond(data, chance.choice(("10.1.0.1", "192.0.2.53")), tcp)
            if answer is not None:
                self.assertEqual(answer[:2], data[:2])
                self.assertLessEqual(len(answer), 65535 if tcp else 1232)
