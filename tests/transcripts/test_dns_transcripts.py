"""Compares DNS answers and zone transfers byte by byte with tests/data/wire/dns.json.

The queries have fixed ids. After an intended change of the answers, record the file again with
`python -m tests.transcripts.test_dns_transcripts`. Renamed code must match the existing file.
"""

import random
import unittest
from hashlib import sha256

import dns.edns
import dns.message
import dns.name
import dns.opcode
import dns.rdatatype
import dns.rrset
import dns.zone

from peatlead.dns import answers, notify, views, warmup_thinning

from ..standin_fleet import settings
from . import recorded

# Adapter: the only code here that uses names of the package.

SECONDARY = ("127.1.0.77", 53)


class DnsController:
    """A controller's DNS part without sockets. `endpoints` is [(index, name, ipv4, ipv6)]."""

    def __init__(self, endpoints, **dns_settings):
        all_settings = settings()
        all_settings["dns"].update(dns_settings)
        self.answers = answers.Answers(
            all_settings, views.Views(all_settings), random.Random(1).uniform
        )
        for index, name, ipv4, ipv6 in endpoints:
            self.answers.set_endpoint(index, name, ipv4, ipv6)
            self.answers.resolvable_endpoints.add(index)

    def set_pool(self, view, weights, cacheable=True, min_addresses=1):
        """Set the endpoints in a view's answers: {endpoint: weight}."""
        self.answers.set_pool(
            view,
            0,
            warmup_thinning.AnswerPool(dict(weights), cacheable, min_addresses),
            dict(weights),
        )

    def views(self):
        return [view.index for view in self.answers.views.views]

    def remove_endpoint(self, endpoint):
        self.answers.resolvable_endpoints.discard(endpoint)

    def answer(self, data, peer, tcp):
        """Return the answer as a list of messages, empty if there is no answer."""
        answer = self.answers.respond(data, peer, tcp)
        return [] if answer is None else [answer] if isinstance(answer, bytes) else list(answer)

    def add_secondary(self, network, controller_index, controller_count, serial):
        self.secondaries = notify.Secondaries(
            self.answers,
            [SECONDARY],
            controller_index,
            controller_count,
            serial,
            random.Random(7),
            lambda serial: None,
        )
        self.secondaries.transport = self.secondaries.loop = network

    def update_zone(self, now):
        """Create a new version of the zone if it has changed; return the current serial."""
        self.secondaries.tick(now)
        return self.secondaries.history.serial

    def receive_notify_response(self, data):
        self.secondaries.datagram_received(data, SECONDARY)

    def pending_count(self):
        return len(self.secondaries.pending_notifies)


# End of the adapter.

ENDPOINTS = [
    (index, f"h{index}", f"127.10.0.{index + 1}", f"2001:db8::{index + 1:x}" if index % 2 else "")
    for index in range(40)
]
ZONE = dns.name.from_text("example.org.")
SUBNET, ZERO_LENGTH_SUBNET = dns.edns.ECSOption("10.2.0.0", 24), dns.edns.ECSOption("10.2.7.0", 0)
IPV6_SUBNET = dns.edns.ECSOption("2001:db8:2::", 56)
QUERIES = [
    ("api.example.org", "A", {}),
    ("api.example.org", "AAAA", {}),
    ("aPi.eXamPle.OrG", "A", {}),
    ("desk1.api.example.org", "A", {}),
    ("desk1.api.example.org", "AAAA", {}),
    ("_http._tcp.api.example.org", "SRV", {}),
    ("_http._tcp.api.example.org", "SRV", {"use_edns": 0}),
    ("_http._tcp.desk1.api.example.org", "SRV", {"use_edns": 0, "payload": 4096}),
    ("_http._tcp.api.example.org", "A", {}),
    ("_tcp.api.example.org", "A", {}),
    ("nodesk.api.example.org", "A", {}),
    ("example.org", "SOA", {}),
    ("example.org", "NS", {}),
    ("example.org", "A", {}),
    ("example.org", "TXT", {}),
    ("example.org", "ANY", {}),
    ("api.example.org", "ANY", {}),
    ("api.example.org", "TXT", {}),
    ("api.example.org", "MX", {"use_edns": 0, "want_dnssec": True}),
    ("ns2.example.org", "A", {}),
    ("ns2.example.org", "AAAA", {}),
    ("hosts.example.org", "A", {}),
    ("h1.hosts.example.org", "A", {}),
    ("h1.hosts.example.org", "AAAA", {}),
    ("h2.hosts.example.org", "AAAA", {}),
    ("h99.hosts.example.org", "A", {}),
    ("x.example.org", "A", {}),
    ("a.b.api.example.org", "A", {}),
    ("example.com", "A", {}),
    (".", "NS", {}),
    ("api.example.org", "A", {"use_edns": 0}),
    ("api.example.org", "A", {"use_edns": 0, "payload": 512}),
    ("api.example.org", "A", {"use_edns": 1}),
    ("api.example.org", "A", {"rdclass": "CH"}),
    ("api.example.org", "A", {"use_edns": 0, "options": [SUBNET]}),
    ("api.example.org", "A", {"use_edns": 0, "options": [IPV6_SUBNET]}),
    ("api.example.org", "AAAA", {"use_edns": 0, "options": [ZERO_LENGTH_SUBNET]}),
    ("example.org", "AXFR", {}),
    ("example.org", "IXFR", {}),
]
PEERS = ("10.1.0.9", "10.2.0.9", "192.0.2.53", "203.0.113.5", "2001:db8:2::9")
MAX_RECORDED_BYTES = 2000  # longer messages are recorded as a digest


def make_controller(weights=None, **dns_settings):
    controller = DnsController(ENDPOINTS, **dns_settings)
    for view in controller.views():
        controller.set_pool(view, weights or {0: 2.0, 1: 1.0, 2: 1.0})
    return controller


def encode_answer(data):
    """Return a message in base64, or the length and SHA-256 of a long message."""
    return (
        recorded.to_base64(data)
        if len(data) <= MAX_RECORDED_BYTES
        else f"{len(data)} {sha256(data).hexdigest()}"
    )


class QueryRecorder:
    """Sends queries to a controller and records [peer, tcp, query, answers] for each."""

    def __init__(self, controller):
        self.controller, self.transcript = controller, []

    def ask(self, data, peer="10.1.0.9", tcp=False):
        messages = self.controller.answer(data, peer, tcp)
        self.transcript.append(
            [peer, tcp, data.hex(), [encode_answer(message) for message in messages]]
        )
        return messages

    def query(self, name, rdtype, peer="10.1.0.9", tcp=False, **options):
        query = dns.message.make_query(name, rdtype, id=1000 + len(self.transcript), **options)
        return self.ask(query.to_wire(), peer, tcp)


def single_answers():
    """Record each query over UDP and TCP, from peers of several views."""
    recorder = QueryRecorder(make_controller())
    recorder.controller.set_pool(1, {7: 1.0, 3: 0.25}, cacheable=False, min_addresses=2)
    for index, (name, rdtype, options) in enumerate(QUERIES):
        recorder.query(name, rdtype, **options)
        recorder.query(name, rdtype, tcp=True, **options)
        if name.lower() == "api.example.org":
            recorder.query(name, rdtype, PEERS[2], **options)
            recorder.query(name, rdtype, PEERS[index % len(PEERS)], **options)
    return recorder.transcript


def repeated_answers():
    """Record repeated queries for one name, before and after a change of the table."""
    recorder = QueryRecorder(make_controller(addresses=2))
    for _ in range(24):
        recorder.query("api.example.org", "A")
    recorder.controller.remove_endpoint(0)
    for view in recorder.controller.views():
        recorder.controller.set_pool(view, {1: 3.0, 2: 1.0})
    for _ in range(12):
        recorder.query("api.example.org", "A", tcp=True)
        recorder.query("api.example.org", "AAAA")
    recorder.query("h0.hosts.example.org", "A")
    recorder.controller.set_pool(0, {})
    recorder.query("api.example.org", "A")
    return recorder.transcript


def large_answers():
    """Record answers with more records than a datagram holds."""
    recorder = QueryRecorder(
        make_controller({endpoint: 1.0 for endpoint in range(40)}, addresses=40)
    )
    for rdtype, name in (
        ("SRV", "_http._tcp.api.example.org"),
        ("A", "api.example.org"),
        ("AAAA", "api.example.org"),
    ):
        recorder.query(name, rdtype)
        recorder.query(name, rdtype, use_edns=0, payload=900)
        recorder.query(name, rdtype, tcp=True)
    return recorder.transcript


def malformed_queries():
    """Record malformed queries and queries with unsupported opcodes."""
    recorder = QueryRecorder(make_controller())
    valid = dns.message.make_query("api.example.org", "A", id=77).to_wire()
    for opcode in (dns.opcode.NOTIFY, dns.opcode.UPDATE):
        query = dns.message.make_query("api.example.org", "A", id=78)
        query.set_opcode(opcode)
        recorder.ask(query.to_wire())
    for data in (
        valid[:20],
        valid[:12],
        valid[:11],
        b"",
        valid[:2] + b"\x80" + valid[3:],
        valid + b"\0",
        valid[:4] + b"\0\2" + valid[6:],
        valid[:4] + b"\0\0" + valid[6:],
        valid[:12] + b"\xc0\x0c" + valid[14:],
        valid[:2] + b"\2" + valid[3:],
    ):
        recorder.ask(data)
        recorder.ask(data, tcp=True)
    return recorder.transcript


class FakeNetwork:
    """Replaces the transport and the event loop; records sent datagrams and scheduled calls."""

    def __init__(self):
        self.sent, self.scheduled = [], []

    def sendto(self, data, address):
        self.sent.append([list(address), data.hex()])

    def call_later(self, delay, callback, *arguments):
        self.scheduled.append((delay, callback, arguments))
        return self

    def cancel(self):
        pass


def ixfr_query(serial):
    """Return the IXFR query of a secondary that has the version `serial`."""
    query = dns.message.make_query(ZONE, "IXFR", id=serial % 60_000)
    query.authority.append(dns.rrset.from_text(ZONE, 60, "IN", "SOA", f"a. b. {serial} 1 1 1 1"))
    return query.to_wire()


def transfers():
    """Return the transfers (full, incremental, refused), the NOTIFY messages, and the serials.

    The serials are mixed with the number of pending NOTIFY messages and the delay of the last timer.
    """
    controller, network = make_controller(), FakeNetwork()
    controller.add_secondary(network, 1, 3, 100)
    recorder, serials = QueryRecorder(controller), []
    for step, weights in enumerate(
        (
            {0: 2.0, 1: 1.0},
            {0: 2.0, 1: 1.5},
            {1: 1.0, 5: 0.5},
            {1: 1.0, 5: 0.5},
            {endpoint: 1.0 + endpoint for endpoint in range(40)},
        )
    ):
        controller.set_pool(step % 2, weights)
        serials.append(controller.update_zone(10.0 * step))
        recorder.query(ZONE, "AXFR", SECONDARY[0], True)
        recorder.ask(ixfr_query(101), SECONDARY[0], True)
        if step == 1:
            controller.receive_notify_response(
                bytes.fromhex(network.sent[-1][1])[:2] + b"\xa4\0" + bytes(8)
            )
            serials.append(controller.pending_count())
    for delay, callback, arguments in network.scheduled[-1:]:
        serials.append(delay)
        callback(*arguments)
    for serial in dict.fromkeys(number for number in serials if number > 50):
        recorder.ask(ixfr_query(serial), SECONDARY[0], True)
        recorder.ask(ixfr_query(serial), SECONDARY[0])
    recorder.ask(ixfr_query(7), SECONDARY[0], True)
    recorder.ask(ixfr_query(7), "10.9.9.9", True)
    for rdtype in ("AXFR", "IXFR"):
        recorder.query(ZONE, rdtype, "10.9.9.9", True)
        recorder.query(ZONE, rdtype, SECONDARY[0])
        recorder.query("api.example.org", rdtype, SECONDARY[0], True)
    recorder.query(ZONE, "IXFR", SECONDARY[0], True)
    recorder.query(ZONE, "SOA")
    recorder.ask(ixfr_query(9_000), SECONDARY[0], True)  # newer than the controller's serial
    recorder.query(ZONE, "SOA")
    return recorder.transcript, network.sent, serials


def seeded_transcript():
    """Return the transcript, with a seed for dnspython, which shuffles records at random."""
    state = random.getstate()
    random.seed(1)
    try:
        return build_transcript()
    finally:
        random.setstate(state)


def build_transcript():
    transferred, notified, serials = transfers()
    return {
        "answers": single_answers(),
        "drawn": repeated_answers(),
        "full": large_answers(),
        "odd": malformed_queries(),
        "transfers": transferred,
        "notified": notified,
        "serials": serials,
    }


class DnsTranscriptsTest(unittest.TestCase):
    def test_answers_transfers_and_notify_messages_are_as_recorded(self):
        recorded.compare(self, "dns", seeded_transcript())

    def test_the_record_has_each_response_code_a_difference_and_a_valid_zone_digest(self):
        record = recorded.read("dns")
        response_codes = {
            recorded.b64decode(data)[3] & 15
            for part in ("answers", "drawn", "odd", "transfers")
            for entry in record[part]
            for data in entry[3]
            if " " not in data
        }
        self.assertLessEqual({0, 1, 2, 3, 4, 5}, response_codes)
        differences = dns.message.from_wire(
            recorded.b64decode(record["transfers"][3][3][0]), one_rr_per_rrset=True
        )
        self.assertEqual(
            [soa[0].serial for soa in differences.answer if soa.rdtype == dns.rdatatype.SOA],
            [105, 101, 105, 105],
        )  # the SOA records of an incremental transfer (RFC 1995 section 4)
        self.assertTrue(any(" " in data for entry in record["transfers"] for data in entry[3]))
        messages = [recorded.b64decode(data) for data in record["transfers"][0][3]]
        zone = dns.zone.from_text("", ZONE, check_origin=False)
        for rrset in dns.message.from_wire(messages[0], one_rr_per_rrset=True).answer[
            :-1
        ]:  # without the final SOA
            zone.find_rdataset(rrset.name, rrset.rdtype, create=True).add(rrset[0], rrset.ttl)
        zone.verify_digest()


if __name__ == "__main__":
    recorded.write("dns", seeded_transcript())
