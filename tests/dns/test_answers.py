"""Answers to DNS queries, in wire form."""

import random
import tracemalloc
import unittest
from collections import Counter

import dns.edns
import dns.flags
import dns.message
import dns.opcode
import dns.rcode

from peatlead.dns.answers import Answers
from peatlead.dns.views import Views
from peatlead.dns.warmup_thinning import AnswerPool

from ..standin_fleet import settings


def make_answers(weights=None, cacheable=True, min_addresses=1, endpoints=40, **dns_settings):
    all_settings = settings()
    all_settings["dns"].update(dns_settings)
    answers = Answers(all_settings, Views(all_settings), random.Random(1).uniform)
    for endpoint in range(endpoints):
        answers.set_endpoint(
            endpoint,
            f"h{endpoint}",
            f"127.10.0.{endpoint + 1}",
            f"2001:db8::{endpoint + 1:x}" if endpoint % 2 else "",
        )
        answers.resolvable_endpoints.add(endpoint)
    weights = weights or {0: 2.0, 1: 1.0, 2: 1.0}
    for view in answers.views.views:
        answers.set_pool(
            view.index, 0, AnswerPool(dict(weights), cacheable, min_addresses), dict(weights)
        )
    return answers


def ask(answers, name="api.example.org", rdtype="A", peer="10.1.0.9", tcp=False, **options):
    query = dns.message.make_query(name, rdtype, **options)
    data = answers.respond(query.to_wire(), peer, tcp)
    answer = dns.message.from_wire(data)
    assert query.is_response(answer)
    return answer


def addresses(answer):
    return [str(record) for rrset in answer.answer for record in rrset]


class AnswersTest(unittest.TestCase):
    def test_first_addresses_match_the_weights_and_have_the_ttl(self):
        answers = make_answers({0: 2.0, 1: 1.0, 2: 1.0}, addresses=1)
        first_addresses = Counter(addresses(ask(answers))[0] for _ in range(64))
        self.assertEqual(first_addresses, {"127.10.0.1": 32, "127.10.0.2": 16, "127.10.0.3": 16})
        self.assertEqual(ask(answers).answer[0].ttl, 1)
        self.assertTrue(ask(answers).flags & dns.flags.AA)

    def test_resolvers_of_one_view_share_its_rotation(self):
        answers = make_answers({0: 1.0, 1: 1.0}, addresses=1)
        first_addresses = Counter(
            addresses(ask(answers, peer=f"10.1.0.{index + 1}"))[0] for index in range(64)
        )
        self.assertEqual(set(first_addresses.values()), {32})

    def test_ever_new_queries_do_not_hold_ever_more_memory(self):
        # Guards against clients that ask the same question in ever new ways, again and again.
        answers = make_answers({number: 1.0 for number in range(30)}, addresses=8)
        answers.max_prepared_bytes = 1 << 20
        query = dns.message.make_query("api.example.org", "A", use_edns=0).to_wire()
        tracemalloc.start()
        try:
            for number in range(1000):
                for _ in range(70):
                    answers.respond(query, f"10.1.{number // 250}.{number % 250}")
            held, _ = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        self.assertLess(held, 1 << 20)
        self.assertTrue(answers.respond(query, "10.1.0.1"))

    def test_an_answer_that_is_not_cacheable_has_ttl_0(self):
        self.assertEqual(ask(make_answers(cacheable=False)).answer[0].ttl, 0)

    def test_aaaa_answers_have_only_endpoints_with_ipv6_and_are_negative_without_any(self):
        self.assertEqual(set(addresses(ask(make_answers(), rdtype="AAAA"))), {"2001:db8::2"})
        no_data = ask(make_answers({0: 1.0, 2: 1.0}), rdtype="AAAA")
        self.assertEqual(
            (no_data.rcode(), no_data.answer, len(no_data.authority)), (dns.rcode.NOERROR, [], 1)
        )

    def test_srv_answers_have_the_weights_and_addresses_that_fit(self):
        answer = ask(
            make_answers({0: 2.0, 1: 1.0}), "_http._tcp.api.example.org", "SRV", use_edns=0
        )
        self.assertEqual(
            {str(record.target): record.weight for record in answer.answer[0]},
            {"h0.hosts.example.org.": 1000, "h1.hosts.example.org.": 500},
        )
        self.assertEqual(len(answer.additional), 3)
        table = {endpoint: 1.0 for endpoint in range(7)}
        small_answer = ask(make_answers(table), "_http._tcp.api.example.org", "SRV")
        self.assertEqual((len(small_answer.answer[0]), small_answer.additional), (7, []))

    def test_a_response_that_does_not_fit_is_truncated_and_complete_over_tcp(self):
        table = {endpoint: 1.0 for endpoint in range(40)}
        truncated = ask(make_answers(table), "_http._tcp.api.example.org", "SRV")
        self.assertTrue(truncated.flags & dns.flags.TC)
        complete = ask(make_answers(table), "_http._tcp.api.example.org", "SRV", tcp=True)
        self.assertEqual(len(complete.answer[0]), 40)

    def test_addresses_that_do_not_fit_are_left_out_without_truncation(self):
        answers = make_answers({endpoint: 1.0 for endpoint in range(40)}, addresses=40)
        data = answers.respond(dns.message.make_query("api.example.org", "A").to_wire(), "10.1.0.1")
        self.assertLessEqual(len(data), 512)
        self.assertFalse(dns.message.from_wire(data).flags & dns.flags.TC)

    def test_negative_answers_have_the_soa(self):
        for name, rdtype, rcode in (
            ("x.example.org", "A", dns.rcode.NXDOMAIN),
            ("api.example.org", "MX", 0),
            ("a.b.api.example.org", "A", dns.rcode.NXDOMAIN),
            ("_tcp.api.example.org", "A", 0),
            ("hosts.example.org", "A", 0),
            ("h99.hosts.example.org", "A", dns.rcode.NXDOMAIN),
        ):
            with self.subTest(name):
                answer = ask(make_answers(), name, rdtype)
                self.assertEqual((answer.rcode(), answer.answer), (rcode, []))
                self.assertEqual(answer.authority[0].rdtype, dns.rdatatype.SOA)

    def test_soa_ns_any_and_glue_queries_are_answered(self):
        answers = make_answers()
        self.assertEqual(len(ask(answers, "example.org", "NS").answer[0]), 2)
        self.assertEqual(addresses(ask(answers, "ns2.example.org")), ["127.1.0.2"])
        serial_before = ask(answers, "example.org", "SOA").answer[0][0].serial
        answers.set_pool(0, 0, AnswerPool({0: 1.0}, True), {0: 1.0})
        self.assertEqual(ask(answers, "example.org", "SOA").answer[0][0].serial, serial_before + 1)
        self.assertIn("RFC8482", str(ask(answers, rdtype="ANY").answer[0][0]))

    def test_foreign_unsupported_and_malformed_queries_get_an_error_or_no_response(self):
        answers = make_answers()
        self.assertEqual(ask(answers, "example.com").rcode(), dns.rcode.REFUSED)
        self.assertEqual(ask(answers, "example.org", "AXFR", tcp=True).rcode(), dns.rcode.REFUSED)
        self.assertEqual(ask(answers, use_edns=1).rcode(), dns.rcode.BADVERS)
        query = dns.message.make_query("api.example.org", "A")
        query.set_opcode(dns.opcode.NOTIFY)
        self.assertEqual(answers.respond(query.to_wire(), "10.1.0.1")[3] & 15, dns.rcode.NOTIMP)
        query = dns.message.make_query("api.example.org", "A").to_wire()
        self.assertEqual(answers.respond(query[:20], "10.1.0.1")[3] & 15, dns.rcode.FORMERR)
        response = query[:2] + b"\x80" + query[3:]
        # Otherwise two servers could answer each other forever.
        self.assertIsNone(answers.respond(response, "10.1.0.1"))
        self.assertIsNone(answers.respond(query[:11], "10.1.0.1"))

    def test_the_case_of_the_name_is_preserved(self):
        answers = make_answers()
        for _ in range(2):  # a parsed query, then a prepared answer
            answer = ask(answers, "aPi.eXamPle.OrG")
            self.assertEqual(answer.question[0].name.to_text(), "aPi.eXamPle.OrG.")
            self.assertEqual(len(addresses(answer)), 2)

    def test_a_client_subnet_is_used_from_trusted_resolvers_only(self):
        answers = make_answers()
        answers.set_pool(1, 0, AnswerPool({7: 1.0}, True), {7: 1.0})
        option = dns.edns.ECSOption("10.2.0.0", 24)
        for _ in range(2):
            trusted = ask(answers, peer="192.0.2.53", use_edns=0, options=[option])
            self.assertEqual(
                (addresses(trusted), trusted.options[0].scopelen), (["127.10.0.8"], 24)
            )
            untrusted = ask(answers, peer="10.1.0.9", use_edns=0, options=[option])
            self.assertEqual((len(addresses(untrusted)), untrusted.options), (2, ()))

    def test_a_views_own_name_selects_the_view_for_any_resolver(self):
        answers = make_answers()
        answers.set_pool(1, 0, AnswerPool({7: 1.0}, True), {7: 1.0})
        self.assertEqual(
            addresses(ask(answers, "desk1.api.example.org", peer="10.9.0.1")), ["127.10.0.8"]
        )
        self.assertEqual(len(addresses(ask(answers, "desk0.api.example.org", peer="10.2.0.1"))), 2)

    def test_a_view_without_a_table_gets_servfail_that_is_not_cached(self):
        answers = make_answers()
        answers.set_pool(0, 0, AnswerPool({}, True), {})
        answer = ask(answers)
        self.assertEqual((answer.rcode(), answer.authority), (dns.rcode.SERVFAIL, []))

    def test_a_removed_endpoint_is_in_no_parsed_or_prepared_answer(self):
        answers = make_answers()
        for _ in range(8):
            ask(answers)
        answers.set_pool(0, 0, AnswerPool({1: 1.0, 2: 1.0}, True), {1: 1.0, 2: 1.0})
        answers.resolvable_endpoints.discard(0)
        seen = {record for _ in range(70) for record in addresses(ask(answers))}
        self.assertEqual(seen, {"127.10.0.2", "127.10.0.3"})
        self.assertEqual(ask(answers, "h0.hosts.example.org").rcode(), dns.rcode.NXDOMAIN)

    def test_the_number_of_prepared_answers_is_limited(self):
        answers = make_answers(prepared_most=50)
        for index in range(500):
            ask(answers, peer=f"10.1.{index // 200}.{index % 200}")
        self.assertLessEqual(answers.prepared_count, 50)
        self.assertGreater(answers.counts["flushed"], 5)

    def test_mutated_queries_never_raise_and_responses_never_exceed_the_transports_limit(self):
        answers = make_answers({endpoint: 1.0 for endpoint in range(40)}, addresses=40)
        rng = random.Random(3)
        valid_queries = [
            dns.message.make_query(name, rdtype, use_edns=edns, options=options).to_wire()
            for name in ("api.example.org", "_http._tcp.api.example.org", "example.org", "x.y")
            for rdtype in ("A", "AAAA", "SRV", "SOA", "ANY", "AXFR")
            for edns, options in (
                (False, None),
                (0, None),
                (0, [dns.edns.ECSOption("10.2.0.0", 24)]),
            )
        ]
        for _ in range(4000):
            data = bytearray(rng.choice(valid_queries))
            for _ in range(rng.randrange(4)):
                data[rng.randrange(len(data))] = rng.randrange(256)
            data = bytes(data[: rng.randrange(len(data) + 1)] if rng.random() < 0.2 else data)
            tcp = rng.random() < 0.2
            answer = answers.respond(data, rng.choice(("10.1.0.1", "192.0.2.53")), tcp)
            if answer is not None:
                self.assertEqual(answer[:2], data[:2])
                self.assertLessEqual(len(answer), 65535 if tcp else 1232)
