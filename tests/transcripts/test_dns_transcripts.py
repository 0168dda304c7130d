"""DNS answers and zone transfers, byte for byte as recorded in tests/data/wire/dns.json.

Queries are made with dnspython, as a resolver would, with fixed ids. A change of the wire format that is meant is
recorded anew by `python -m tests.transcripts.test_dns_transcripts`; a renaming must pass on the old record.
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

from peatlead.dns import answers as fronts
from peatlead.dns import notify, views, warmup_thinning

from ..standin_fleet import settings
from . import recorded

# Adapter: all internal names that these tests use.

SECONDARY = ("127.1.0.77", 53)


class SessionListener:
    """A controller's answers, and its secondaries, with no socket. `hosts`: [(index, name, v4, v6)]."""

    def __init__(self, hosts, **more):
        made = settings()
        made["dns"].update(more)
        self.answers = fronts.Answers(made, views.Views(made), random.Random(1).uniform)
        for index, name, v4, v6 in hosts:
            self.answers.know(index, name, v4, v6)
            self.answers.open_hosts.add(index)

    def place(self, view, lines, cacheable=True, places=1):
        """What a view's resolvers are told: {host: weight}."""
        self.answers.place(
            view, 0, warmup_thinning.AnswerPool(dict(lines), cacheable, places), dict(lines)
        )

    def views(self):
        return [one.index for one in self.answers.views.views]

    def drop(self, host):
        self.answers.open_hosts.discard(host)

    def answer(self, data, peer, tcp):
        """[bytes] of the answer, [] for none."""
        found = self.answers.respond(data, peer, tcp)
        return [] if found is None else [found] if isinstance(found, bytes) else list(found)

    def serve_secondary(self, wire, index, many, serial):
        self.secondaries = notify.Secondaries(
            self.answers, [SECONDARY], index, many, serial, random.Random(7), lambda serial: None
        )
        self.secondaries.transport = self.secondaries.loop = wire

    def new_version(self, now):
        """The serial after the zone was made anew where it has changed."""
        self.secondaries.tick(now)
        return self.secondaries.history.serial

    def hear(self, data):
        self.secondaries.datagram_received(data, SECONDARY)

    def waits(self):
        return len(self.secondaries.waiting)


# End of the adapter.

HOSTS = [
    (at, f"h{at}", f"127.10.0.{at + 1}", f"2001:db8::{at + 1:x}" if at % 2 else "")
    for at in range(40)
]
ZONE = dns.name.from_text("example.org.")
SUBNET, WIDE = dns.edns.ECSOption("10.2.0.0", 24), dns.edns.ECSOption("10.2.7.0", 0)
SUBNET6 = dns.edns.ECSOption("2001:db8:2::", 56)
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
    ("api.example.org", "A", {"use_edns": 0, "options": [SUBNET6]}),
    ("api.example.org", "AAAA", {"use_edns": 0, "options": [WIDE]}),
    ("example.org", "AXFR", {}),
    ("example.org", "IXFR", {}),
]
PEERS = ("10.1.0.9", "10.2.0.9", "192.0.2.53", "203.0.113.5", "2001:db8:2::9")


LONG = 2000


def make_front(lines=None, **more):
    made = SessionListener(HOSTS, **more)
    for view in made.views():
        made.place(view, lines or {0: 2.0, 1: 1.0, 2: 1.0})
    return made


def told(data):
    """An answer's bytes; of a long one, its length and SHA-256."""
    return (
        recorded.to_base64(data) if len(data) <= LONG else f"{len(data)} {sha256(data).hexdigest()}"
    )


class Asking:
    """Asks and notes [peer, by TCP, query, answers]."""

    def __init__(self, front):
        self.front, self.noted = front, []

    def ask(self, data, peer="10.1.0.9", tcp=False):
        found = self.front.answer(data, peer, tcp)
        self.noted.append([peer, tcp, data.hex(), [told(one) for one in found]])
        return found

    def query(self, name, kind, peer="10.1.0.9", tcp=False, **more):
        query = dns.message.make_query(name, kind, id=1000 + len(self.noted), **more)
        return self.ask(query.to_wire(), peer, tcp)


def plain_answers():
    """Every query over UDP and TCP, from peers of several views."""
    asking = Asking(make_front())
    asking.front.place(1, {7: 1.0, 3: 0.25}, cacheable=False, places=2)
    for at, (name, kind, more) in enumerate(QUERIES):
        asking.query(name, kind, **more)
        asking.query(name, kind, tcp=True, **more)
        if name.lower() == "api.example.org":
            asking.query(name, kind, PEERS[2], **more)
            asking.query(name, kind, PEERS[at % len(PEERS)], **more)
    return asking.noted


def drawn_answers():
    """One name again and again: whom each answer names, across a change of the table."""
    asking = Asking(make_front(addresses=2))
    for _ in range(24):
        asking.query("api.example.org", "A")
    asking.front.drop(0)
    for view in asking.front.views():
        asking.front.place(view, {1: 3.0, 2: 1.0})
    for _ in range(12):
        asking.query("api.example.org", "A", tcp=True)
        asking.query("api.example.org", "AAAA")
    asking.query("h0.hosts.example.org", "A")
    asking.front.place(0, {})
    asking.query("api.example.org", "A")
    return asking.noted


def full_answers():
    """More lines than a datagram holds."""
    asking = Asking(make_front({host: 1.0 for host in range(40)}, addresses=40))
    for kind, name in (
        ("SRV", "_http._tcp.api.example.org"),
        ("A", "api.example.org"),
        ("AAAA", "api.example.org"),
    ):
        asking.query(name, kind)
        asking.query(name, kind, use_edns=0, payload=900)
        asking.query(name, kind, tcp=True)
    return asking.noted


def odd_queries():
    asking = Asking(make_front())
    good = dns.message.make_query("api.example.org", "A", id=77).to_wire()
    for code in (dns.opcode.NOTIFY, dns.opcode.UPDATE):
        query = dns.message.make_query("api.example.org", "A", id=78)
        query.set_opcode(code)
        asking.ask(query.to_wire())
    for data in (
        good[:20],
        good[:12],
        good[:11],
        b"",
        good[:2] + b"\x80" + good[3:],
        good + b"\0",
        good[:4] + b"\0\2" + good[6:],
        good[:4] + b"\0\0" + good[6:],
        good[:12] + b"\xc0\x0c" + good[14:],
        good[:2] + b"\2" + good[3:],
    ):
        asking.ask(data)
        asking.ask(data, tcp=True)
    return asking.noted


class Wire:
    """In place of a socket and a loop: what was sent, and what is due after how many seconds."""

    def __init__(self):
        self.sent, self.due = [], []

    def sendto(self, data, place):
        self.sent.append([list(place), data.hex()])

    def call_later(self, wait, call, *with_these):
        self.due.append((wait, call, with_these))
        return self

    def cancel(self):
        pass


def held(serial):
    """An IXFR query of a secondary that holds a serial."""
    query = dns.message.make_query(ZONE, "IXFR", id=serial % 60_000)
    query.authority.append(dns.rrset.from_text(ZONE, 60, "IN", "SOA", f"a. b. {serial} 1 1 1 1"))
    return query.to_wire()


def transfers():
    """Transfers whole and by differences, refused ones, NOTIFY messages, and each version's serial."""
    front, wire = make_front(), Wire()
    front.serve_secondary(wire, 1, 3, 100)
    asking, serials = Asking(front), []
    for step, lines in enumerate(
        (
            {0: 2.0, 1: 1.0},
            {0: 2.0, 1: 1.5},
            {1: 1.0, 5: 0.5},
            {1: 1.0, 5: 0.5},
            {host: 1.0 + host for host in range(40)},
        )
    ):
        front.place(step % 2, lines)
        serials.append(front.new_version(10.0 * step))
        asking.query(ZONE, "AXFR", SECONDARY[0], True)
        asking.ask(held(101), SECONDARY[0], True)
        if step == 1:
            front.hear(bytes.fromhex(wire.sent[-1][1])[:2] + b"\xa4\0" + bytes(8))
            serials.append(front.waits())
    for wait, call, with_these in wire.due[-1:]:
        serials.append(wait)
        call(*with_these)
    for serial in dict.fromkeys(one for one in serials if one > 50):
        asking.ask(held(serial), SECONDARY[0], True)
        asking.ask(held(serial), SECONDARY[0])
    asking.ask(held(7), SECONDARY[0], True)
    asking.ask(held(7), "10.9.9.9", True)
    for kind in ("AXFR", "IXFR"):
        asking.query(ZONE, kind, "10.9.9.9", True)
        asking.query(ZONE, kind, SECONDARY[0])
        asking.query("api.example.org", kind, SECONDARY[0], True)
    asking.query(ZONE, "IXFR", SECONDARY[0], True)
    asking.query(ZONE, "SOA")
    asking.ask(held(9_000), SECONDARY[0], True)  # it is ahead of us
    asking.query(ZONE, "SOA")
    return asking.noted, wire.sent, serials


def transcript():
    """dnspython shuffles the records of an answer with the global generator: it is seeded here, and put back."""
    before = random.getstate()
    random.seed(1)
    try:
        return whole_transcript()
    finally:
        random.setstate(before)


def whole_transcript():
    moved, notified, serials = transfers()
    return {
        "answers": plain_answers(),
        "drawn": drawn_answers(),
        "full": full_answers(),
        "odd": odd_queries(),
        "transfers": moved,
        "notified": notified,
        "serials": serials,
    }


class Transcripts(unittest.TestCase):
    def test_answers_transfers_and_notices_are_as_recorded(self):
        recorded.compare(self, "dns", transcript())

    def test_the_record_holds_each_response_code_differences_and_a_checked_zone(self):
        kept = recorded.read("dns")
        codes = {
            recorded.b64decode(data)[3] & 15
            for part in ("answers", "drawn", "odd", "transfers")
            for one in kept[part]
            for data in one[3]
            if " " not in data
        }
        self.assertLessEqual({0, 1, 2, 3, 4, 5}, codes)
        differences = dns.message.from_wire(
            recorded.b64decode(kept["transfers"][3][3][0]), one_rr_per_rrset=True
        )
        self.assertEqual(
            [one[0].serial for one in differences.answer if one.rdtype == dns.rdatatype.SOA],
            [105, 101, 105, 105],
        )  # RFC 1995 section 4
        self.assertTrue(any(" " in data for one in kept["transfers"] for data in one[3]))
        wire = [recorded.b64decode(data) for data in kept["transfers"][0][3]]
        zone = dns.zone.from_text("", ZONE, check_origin=False)
        for rrset in dns.message.from_wire(wire[0], one_rr_per_rrset=True).answer[
            :-1
        ]:  # the last SOA ends it
            zone.find_rdataset(rrset.name, rrset.rdtype, create=True).add(rrset[0], rrset.ttl)
        zone.verify_digest()


if __name__ == "__main__":
    recorded.write("dns", transcript())
