"""From the bytes of a query to the bytes of its answer. Sans-I/O: no socket, no clock.

A query that was met before, to the byte but for its id, is answered from prepared parts: only the id and
the order of hosts change. All others are read by dnspython. Sources: RFC 1034, 1035 (messages), 2308
(negative answers), 2782 (SRV), 3596 (AAAA), 6891 (EDNS), 7871 (client subnet), 8482 (ANY).
"""

import struct
from ipaddress import ip_address

import dns.edns
import dns.exception
import dns.flags
import dns.message
import dns.name
import dns.opcode
import dns.rcode
import dns.rdata
import dns.rdataclass
import dns.rdatatype
import dns.rrset

from .answer_order import orders, srv_weights
from .views import Found, plain

RING = 64  # answers that are ordered ahead at a time
PLAIN_UDP = 512  # bytes without EDNS (RFC 1035 section 4.2.1)
NEGATIVE = 5  # seconds that a name which is none may be remembered (RFC 2308 section 5)
HOST_TYPES = {dns.rdatatype.A: 4, dns.rdatatype.AAAA: 6}
POINTER = b"\xc0\x0c"  # the question's name, at offset 12


class Address:
    """What answers need of one host: its name's label, its addresses and its resource records' bytes."""

    def __init__(self, name, v4, v6):
        self.name, self.at = name, {4: v4, 6: v6}

    def record(self, family, lifetime):
        data = ip_address(self.at[family]).packed
        kind = 1 if family == 4 else 28
        return POINTER + struct.pack(">HHIH", kind, 1, lifetime, len(data)) + data


class Seat:
    """One view at one service: the lines that its answers are drawn from, and the orders drawn ahead."""

    __slots__ = ("lines", "weighed", "lasting", "places", "version", "rings")

    def __init__(self):
        self.lines, self.weighed, self.rings = {}, {}, {}
        self.lasting, self.places, self.version = True, 1, 0


class Ring:
    """Answers' orders of one seat and family, shared by all who ask, so that weights hold over all of them."""

    __slots__ = ("order", "at")

    def __init__(self, order):
        self.order, self.at = order, 0


class Prepared:
    """One query's answer but for id and order: header and question, the part behind, bodies by order."""

    __slots__ = ("seat", "family", "version", "ring", "bodies", "head", "tail", "limit", "front")

    def __init__(self, front, seat, family, head, tail, limit):
        self.front, self.seat, self.family, self.limit = front, seat, family, limit
        self.head, self.tail, self.version, self.bodies, self.ring = head, tail, -1, {}, None

    def next(self):
        if self.version != self.seat.version:
            self.renew()
        ring = self.ring
        at = ring.at
        ring.at = at + 1 if at + 1 < len(ring.order) else 0
        order = ring.order[at]
        return self.bodies.get(order) or self.build(order)

    def renew(self):
        self.version, self.bodies = self.seat.version, {}
        self.ring = self.front.ring(self.seat, self.family)

    def build(self, order):
        lifetime = self.front.lifetime if self.seat.lasting else 0
        records = [self.front.record(host, self.family, lifetime) for host in order]
        room = (self.limit - 2 - len(self.head) - len(self.tail)) // len(records[0])  # 2: the id
        records = records[
            :room
        ]  # fewer addresses than asked for still serve: no need to come again by TCP
        flags, question = self.head[:2], self.head[10:]
        counts = struct.pack(">HHHH", 1, len(records), 0, 1 if self.tail else 0)
        body = self.bodies[order] = flags + counts + question + b"".join(records) + self.tail
        return body


class Answers:
    """The front without its sockets.

    `respond(data, peer, tcp)` returns the answer's bytes, or None where none may be given.
    `place(view, service, named, weighed)` sets what a view is told; `hosts` maps index to Address.
    """

    def __init__(self, settings, views, draw):
        self.settings, self.views, self.draw = settings["dns"], views, draw
        self.lifetime = self.settings["lifetime"]
        self.zone = dns.name.from_text(self.settings["zone"])
        self.stewards = [(one["name"], one["listen"][0]) for one in settings["steward"]]
        self.services = {service["label"]: at for at, service in enumerate(settings["service"])}
        self.hosts, self.by_label, self.open_hosts = {}, {}, set()
        self.seats = [[Seat() for _ in self.services] for _ in views.views]
        self.doors, self.prepared, self.records = {False: {}, True: {}}, 0, {}
        self.placed = 0  # counts all changes of what may be told
        self.serial, self.transfer = (
            1,
            None,
        )  # transfer(query, peer, tcp): messages, where there are secondaries
        self.counts = dict.fromkeys(
            ("asked", "malformed", "refused", "unknown", "empty", "truncated", "flushed"), 0
        )

    # What the steward tells.

    def know(self, host, name, v4, v6):
        """A host's name and addresses; None where it has none of a family."""
        old = self.hosts.get(host)
        if old is None or (old.name, old.at[4], old.at[6]) != (name, v4, v6):
            if old is not None:
                self.by_label.pop(old.name, None)
            self.hosts[host] = Address(name, v4, v6)
            self.placed += 1
            self.by_label[name] = host
            self.records = {key: value for key, value in self.records.items() if key[0] != host}
            self.flush()

    def place(self, view, service, named, weighed):
        seat = self.seats[view][service]
        seat.lines, seat.lasting, seat.places, seat.weighed = *named, weighed
        seat.version += 1
        seat.rings = {}
        self.placed += 1
        if self.transfer is None:
            self.serial = self.serial % 0xFFFFFFFF + 1

    def flush(self):
        self.doors, self.prepared = {False: {}, True: {}}, 0
        self.counts["flushed"] += 1

    # The hot path.

    def respond(self, data, peer, tcp=False):
        self.counts["asked"] += 1
        registry = self.doors[tcp].get(peer)
        if registry is not None:
            known = registry.get(data[2:])
            if known is not None and known.seat.lines:
                return data[:2] + known.next()
        return self.read(data, peer, tcp)

    def ring(self, seat, family):
        ring = seat.rings.get(family)
        if ring is None:
            lines = {h: w for h, w in seat.lines.items() if self.hosts[h].at[family]}
            places = max(seat.places, self.settings["addresses"])
            ring = seat.rings[family] = Ring(orders(lines, places, RING, self.draw(0.0, 1.0)))
        return ring

    def record(self, host, family, lifetime):
        key = host, family, lifetime
        found = self.records.get(key)
        if found is None:
            found = self.records[key] = self.hosts[host].record(family, lifetime)
        return found

    # All else.

    def read(self, data, peer, tcp):
        if len(data) < 12 or data[2] & 0x80:  # an answer is never answered: two servers would loop
            self.counts["malformed"] += 1
            return None
        if (data[2] >> 3) & 15:
            return self.bare(data, dns.rcode.NOTIMP)
        try:
            query = dns.message.from_wire(data, ignore_trailing=False)
            if len(query.question) != 1:
                raise ValueError("expected one question")
        except dns.message.Truncated:
            return self.bare(data, dns.rcode.FORMERR)
        except (
            Exception
        ):  # whatever the codec makes of hostile bytes, the asker gets one short answer
            self.counts["malformed"] += 1
            return self.bare(data, dns.rcode.FORMERR)
        return self.answer(query, data, peer, tcp)

    def bare(self, data, code):
        """Header alone: the rest of such a query is not to be trusted."""
        return data[:2] + bytes((0x80 | data[2] & 0x79, code)) + b"\0" * 8

    def answer(self, query, data, peer, tcp):
        limit = 65535 if tcp else PLAIN_UDP
        if query.edns >= 0 and not tcp:
            limit = max(PLAIN_UDP, min(query.payload, self.settings["udp_most"]))
        answer = dns.message.make_response(query, our_payload=self.settings["udp_most"])
        answer.flags |= dns.flags.AA
        answer.flags &= ~dns.flags.RA
        if query.edns > 0:
            answer.use_edns(0, payload=self.settings["udp_most"])
            answer.set_rcode(dns.rcode.BADVERS)
            return self.finish(answer, limit)
        asked = query.question[0]
        found, option = self.find_view(query, peer)
        if query.edns == 0:
            answer.use_edns(
                0, payload=self.settings["udp_most"], options=[option] if option else []
            )
        if asked.rdclass != dns.rdataclass.IN or not asked.name.is_subdomain(self.zone):
            return self.refuse(answer, limit)
        if asked.rdtype in (dns.rdatatype.AXFR, dns.rdatatype.IXFR):
            if self.transfer is None:
                return self.refuse(answer, limit)
            found = self.transfer(query, peer, tcp)
            return found if tcp else found[0]
        labels = [
            label.decode("ascii", "replace").lower()
            for label in asked.name.relativize(self.zone).labels
        ]
        return self.fill(answer, asked, labels, found, data, peer, tcp, limit)

    def refuse(self, answer, limit):
        self.counts["refused"] += 1
        answer.flags &= ~dns.flags.AA
        answer.set_rcode(dns.rcode.REFUSED)
        return self.finish(answer, limit)

    def find_view(self, query, peer):
        """The view and, where the client subnet was used, the option to send back (RFC 7871 section 7.2.1)."""
        if query.edns == 0 and self.views.believes(peer):
            for option in query.options:
                if isinstance(option, dns.edns.ECSOption):
                    if option.srclen == 0:  # the client asks not to be told apart (section 7.1.2)
                        return Found(self.views.of_peer(peer).view, 0), dns.edns.ECSOption(
                            option.address, 0, 0
                        )
                    address = ip_address(option.address)
                    found = self.views.of_network(plain(address), option.srclen)
                    return found, dns.edns.ECSOption(option.address, option.srclen, found.scope)
        return self.views.of_peer(peer), None

    def fill(self, answer, asked, labels, found, data, peer, tcp, limit):
        """`labels` are those left of the zone's apex."""
        name, kind = asked.name, asked.rdtype
        service, view, is_srv = None, found.view, False
        rest = labels
        if len(rest) >= 3 and rest[:2] == [self.settings["service_label"], "_tcp"]:
            is_srv, rest = True, rest[2:]
        if rest and rest[-1] in self.services:
            service = self.services[rest[-1]]
            if len(rest) == 2 and rest[0] in self.views.by_name:
                view = self.views.by_name[rest[0]]
            elif len(rest) != 1:
                service = None
        exists = service is not None or self.exists(labels)
        if not exists:
            self.counts["unknown"] += 1
            answer.set_rcode(dns.rcode.NXDOMAIN)
            return self.negative(answer, limit)
        if kind == dns.rdatatype.ANY:  # RFC 8482 section 4.2: one small record in place of all
            add(answer.answer, name, 3789, "HINFO", '"RFC8482" ""')
            return self.finish(answer, limit)
        if service is not None:
            wanted = kind == dns.rdatatype.SRV if is_srv else kind in HOST_TYPES
            if not wanted:
                return self.negative(answer, limit)
            if view is None:
                return self.refuse(answer, limit)
            return self.steer(
                answer, asked, self.seats[view.index][service], data, peer, tcp, limit
            )
        self.fill_fixed(answer, name, labels, kind)
        return self.finish(answer, limit) if answer.answer else self.negative(answer, limit)

    def exists(self, labels):
        if not labels or labels == [self.settings["hosts_label"]]:
            return True
        if len(labels) == 1:
            return any(labels[0] == steward for steward, _ in self.stewards)
        if len(labels) == 2 and labels[1] == self.settings["hosts_label"]:
            host = self.by_label.get(labels[0])
            return host in self.open_hosts
        # Names between the apex and an SRV name exist without records (RFC 8020): _tcp.api
        return (
            labels[0] == "_tcp"
            and labels[-1] in self.services
            and (len(labels) == 2 or len(labels) == 3 and labels[1] in self.views.by_name)
        )

    def steer(self, answer, asked, seat, data, peer, tcp, limit):
        family = HOST_TYPES.get(asked.rdtype)
        if not seat.lines:
            # No table yet, or none left: another steward may know more; never an empty answer that is kept.
            self.counts["empty"] += 1
            answer.flags &= ~dns.flags.AA
            answer.set_rcode(dns.rcode.SERVFAIL)
            return self.finish(answer, limit)
        if family is None:
            return self.fill_srv(answer, asked.name, seat, limit)
        if not any(self.hosts[host].at[family] for host in seat.lines):
            return self.negative(answer, limit)
        return data[:2] + self.prepare(answer, seat, family, data, peer, tcp, limit).next()

    def prepare(self, answer, seat, family, data, peer, tcp, limit):
        empty = answer.to_wire()  # header, question and OPT as the codec has them
        question = data[
            12 : data.index(b"\0", 12) + 5
        ]  # the asker's own bytes: the case of its name is kept
        head = empty[2:12] + question
        made = Prepared(self, seat, family, head, empty[12 + len(question) :], limit)
        if self.prepared >= self.settings["prepared_most"]:
            self.flush()
        self.doors[tcp].setdefault(peer, {})[data[2:]] = made
        self.prepared += 1
        return made

    def fill_srv(self, answer, name, seat, limit):
        """All lines with their weights; addresses in the additional part as far as they fit."""
        lifetime, port = self.lifetime, self.settings["port"]
        under = dns.name.Name((self.settings["hosts_label"].encode(),) + self.zone.labels)
        extra = []
        for host, weight in sorted(srv_weights(seat.weighed).items()):
            target = dns.name.Name((self.hosts[host].name.encode(),) + under.labels)
            add(answer.answer, name, lifetime, "SRV", f"0 {weight} {port} {target}")
            extra += [
                (target, rtype, self.hosts[host].at[family])
                for family, rtype in ((4, "A"), (6, "AAAA"))
                if self.hosts[host].at[family]
            ]
        for target, rtype, address in extra:
            add(answer.additional, target, lifetime, rtype, address)
        wire = answer.to_wire(max_size=65535)
        if len(wire) > limit:
            answer.additional = []  # helpful, not needed (RFC 2782): no cause for truncation
        return self.finish(answer, limit)

    def fill_fixed(self, answer, name, labels, kind):
        zone = self.zone.to_text()
        if not labels and kind == dns.rdatatype.SOA:
            add(answer.answer, name, 60, "SOA", self.soa())
        elif not labels and kind == dns.rdatatype.NS:
            for steward, address in self.stewards:
                add(answer.answer, name, 60, "NS", f"{steward}.{zone}")
                add(
                    answer.additional,
                    dns.name.from_text(steward, self.zone),
                    60,
                    rtype_of(address),
                    address,
                )
        elif len(labels) == 1:
            for steward, address in self.stewards:
                if steward == labels[0] and rtype_of(address) == dns.rdatatype.to_text(kind):
                    add(answer.answer, name, 60, rtype_of(address), address)
        elif labels and kind in HOST_TYPES:
            address = (
                self.hosts[self.by_label[labels[0]]].at[HOST_TYPES[kind]]
                if len(labels) == 2 and labels[0] in self.by_label
                else None
            )
            if address:
                add(answer.answer, name, self.lifetime, dns.rdatatype.to_text(kind), address)

    def soa(self, serial=None):
        first = self.stewards[0][0]
        zone = self.zone.to_text()
        return f"{first}.{zone} hostmaster.{zone} {self.serial if serial is None else serial} 60 10 600 {NEGATIVE}"

    def zone_records(self):
        """{(name, lifetime, type, text)} of all that a plain secondary can say: views' names, and hosts'."""
        zone, hosts, lifetime = (
            self.zone.to_text(),
            self.settings["hosts_label"],
            max(1, self.lifetime),
        )
        found = {("@", 60, "NS", f"{name}.{zone}") for name, _ in self.stewards}
        found |= {(name, 60, rtype_of(address), address) for name, address in self.stewards}
        named = set()
        for view in self.views.by_name.values():
            for service, at in self.services.items():
                seat, name = self.seats[view.index][at], f"{view.name}.{service}"
                found |= {
                    (name, lifetime, kind, self.hosts[host].at[family])
                    for host in seat.lines
                    for family, kind in ((4, "A"), (6, "AAAA"))
                    if self.hosts[host].at[family]
                }
                found |= (
                    {
                        (
                            f"{self.settings['service_label']}._tcp.{name}",
                            lifetime,
                            "SRV",
                            f"0 {weight} {self.settings['port']} {self.hosts[host].name}.{hosts}.{zone}",
                        )
                        for host, weight in srv_weights(seat.weighed).items()
                    }
                    if seat.weighed
                    else set()
                )
                named |= set(seat.weighed)
        return found | {
            (f"{self.hosts[host].name}.{hosts}", lifetime, kind, self.hosts[host].at[family])
            for host in named
            for family, kind in ((4, "A"), (6, "AAAA"))
            if self.hosts[host].at[family]
        }

    def negative(self, answer, limit):
        """No such name or no such data: the SOA says for how long that may be kept (RFC 2308 section 3)."""
        add(answer.authority, self.zone, NEGATIVE, "SOA", self.soa())
        return self.finish(answer, limit)

    def finish(self, answer, limit):
        wire = answer.to_wire(max_size=65535)
        if len(wire) <= limit:
            return wire
        self.counts["truncated"] += 1
        answer.answer, answer.authority, answer.additional = [], [], []
        answer.flags |= (
            dns.flags.TC
        )  # the whole comes by TCP (RFC 2181 section 9: no part is to be used)
        return answer.to_wire(max_size=65535)


def rtype_of(address):
    return "AAAA" if ":" in address else "A"


def add(section, name, lifetime, rtype, value):
    rdata = dns.rdata.from_text("IN", rtype, value)
    for rrset in section:
        if rrset.name == name and rrset.rdtype == rdata.rdtype:
            rrset.add(rdata, lifetime)
            return
    section.append(dns.rrset.from_rdata(name, lifetime, rdata))
