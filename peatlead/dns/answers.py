"""Answers DNS queries, from the bytes of a query to the bytes of its answer. No I/O, no clock.

A query that repeats an earlier query in all bytes but the id is answered from a prepared answer, in
which only the id and the order of the endpoints change. All other queries are parsed by dnspython.

Sources: RFC 1034 and 1035 (messages), 2308 (negative answers), 2782 (SRV), 3596 (AAAA), 6891
(EDNS), 7871 (client subnet), 8482 (ANY).
"""

from collections.abc import Callable, Mapping
from typing import Any

import dns.edns
import dns.flags
import dns.message
import dns.name
import dns.rcode
import dns.rdataclass
import dns.rdatatype
import dns.rrset

from .answer_cache import AnswerCache, AnswerCycle, AnswerSource, PreparedAnswer
from .answer_order import draw_orders
from .canonical_zone import ZoneRecord
from .client_subnet import find_view
from .message_format import HEADER_BYTES, ID_BYTES, OPCODE_BITS, RESPONSE_FLAG, question_bytes
from .query import Query, header_only, max_response_size
from .records import FAMILIES, EndpointAddresses, add_record
from .service_names import ServiceNames, Target
from .views import View, Views
from .warmup_thinning import AnswerPool
from .zone_contents import (
    NEGATIVE_TTL,
    add_apex_records,
    add_fixed_records,
    add_srv_records,
    name_servers,
    soa_text,
    zone_records,
)

CYCLE_LENGTH = 64  # orders in a cycle
MAX_SERIAL = 0xFFFFFFFF
PREPARED_MEMORY_FRACTION = 0.25  # of the memory limit, for prepared answers
ANY_TTL = 3789  # seconds; of the HINFO record that answers ANY (RFC 8482 section 4.2)
TRANSFER_TYPES = (dns.rdatatype.AXFR, dns.rdatatype.IXFR)
COUNTERS = ("asked", "malformed", "refused", "unknown", "empty", "truncated", "flushed")

# Takes (query, peer, tcp) and returns the messages of a zone transfer.
Transfer = Callable[[dns.message.Message, str, bool], list[bytes]]


class Answers:
    """Answers DNS queries, without sockets.

    The controller sets endpoints with `set_endpoint`, the pool of each view's answers with
    `set_pool`, and in `resolvable_endpoints` which endpoints have address records under their own
    name. `random_uniform(low, high)` returns a uniformly distributed random number.
    """

    def __init__(
        self,
        settings: Mapping[str, Any],
        views: Views,
        random_uniform: Callable[[float, float], float],
    ) -> None:
        self.settings: Mapping[str, Any] = settings["dns"]
        # Maximum memory of prepared answers, in bytes.
        self.max_prepared_bytes = PREPARED_MEMORY_FRACTION * settings["limits"]["memory_most"]
        self.views = views
        self.random_uniform = random_uniform
        self.ttl: int = self.settings["lifetime"]  # seconds
        self.zone = dns.name.from_text(self.settings["zone"])
        self.name_servers = name_servers(settings)
        self.services: dict[str, int] = {
            service["label"]: index for index, service in enumerate(settings["service"])
        }
        self.service_names = ServiceNames(
            self.settings["service_label"], self.services, views.by_name
        )
        self.endpoints: dict[int, EndpointAddresses] = {}
        self.endpoint_by_label: dict[str, int] = {}
        self.resolvable_endpoints: set[int] = set()  # endpoints whose names exist in the zone
        # By view, then by service.
        self.sources = [[AnswerSource() for _ in self.services] for _ in views.views]
        self.cache = AnswerCache()
        self.records: dict[tuple[int, int, int], bytes] = {}  # by endpoint, address family and TTL
        self.change_count = 0  # changes of endpoints and pools
        self.serial = 1
        self.transfer: Transfer | None = None  # set by `Secondaries`, if any are configured
        self.counts = dict.fromkeys(COUNTERS, 0)

    @property
    def prepared_count(self) -> int:
        """The number of prepared answers."""
        return self.cache.size

    def set_endpoint(self, endpoint: int, name: str, ipv4: str, ipv6: str) -> None:
        """Set an endpoint's name and addresses; an address is empty if the endpoint has none."""
        old_addresses = self.endpoints.get(endpoint)
        new_addresses = EndpointAddresses(name, ipv4, ipv6)
        if old_addresses is not None:
            if old_addresses.name == name and old_addresses.by_family == new_addresses.by_family:
                return
            self.endpoint_by_label.pop(old_addresses.name, None)
        self.endpoints[endpoint] = new_addresses
        self.change_count += 1
        self.endpoint_by_label[name] = endpoint
        self.records = {key: value for key, value in self.records.items() if key[0] != endpoint}
        self.flush()

    def set_pool(
        self, view: int, service: int, pool: AnswerPool, planned_weights: Mapping[int, float]
    ) -> None:
        """Set the pool and the SRV weights of a view's answers for a service."""
        source = self.sources[view][service]
        source.weights = pool.weights
        source.cacheable = pool.cacheable
        source.min_addresses = pool.min_addresses
        source.planned_weights = planned_weights
        source.version += 1
        source.cycles = {}
        self.change_count += 1
        if self.transfer is None:
            self.serial = self.serial % MAX_SERIAL + 1

    def has_table(self) -> bool:
        """Return whether any view has endpoints to answer with."""
        return any(source.weights for sources in self.sources for source in sources)

    def flush(self) -> None:
        """Drop all prepared answers."""
        self.cache.clear()
        self.counts["flushed"] += 1

    def count_prepared_bytes(self, size: int) -> None:
        """Count memory of prepared answers, and drop all if there is too much of it.

        Clients can ask the same question in any number of ways, and each way has its own answers.
        """
        self.cache.held_bytes += size
        if self.cache.held_bytes > self.max_prepared_bytes:
            self.flush()

    def respond(self, data: bytes, peer: str, tcp: bool = False) -> bytes | list[bytes] | None:
        """Return the answer to a query, or None if the query must not be answered.

        The answer to a zone transfer over TCP is a list of messages.
        """
        self.counts["asked"] += 1
        prepared_answers = self.cache.by_transport[tcp].get(peer)
        if prepared_answers is not None:
            prepared_answer = prepared_answers.get(data[2:])
            if prepared_answer is not None and prepared_answer.source.weights:
                return data[:2] + prepared_answer.next_answer()
        return self.answer_unprepared(data, peer, tcp)

    def cycle(self, source: AnswerSource, family: int) -> AnswerCycle:
        """Return the source's cycle of orders for an address family; draw it on first use."""
        cycle = source.cycles.get(family)
        if cycle is None:
            weights = {
                endpoint: weight
                for endpoint, weight in source.weights.items()
                if self.endpoints[endpoint].by_family[family]
            }
            max_endpoints = max(source.min_addresses, self.settings["addresses"])
            start = self.random_uniform(0.0, 1.0)
            cycle = AnswerCycle(draw_orders(weights, max_endpoints, CYCLE_LENGTH, start))
            source.cycles[family] = cycle
        return cycle

    def record(self, endpoint: int, family: int, ttl: int) -> bytes:
        """Return an endpoint's address record in wire form."""
        key = endpoint, family, ttl
        record = self.records.get(key)
        if record is None:
            record = self.records[key] = self.endpoints[endpoint].record(family, ttl)
        return record

    def answer_unprepared(self, data: bytes, peer: str, tcp: bool) -> bytes | list[bytes] | None:
        """Answer a query that has no prepared answer.

        Responses are not answered, since two servers could answer each other forever.
        """
        if len(data) < HEADER_BYTES or data[2] & RESPONSE_FLAG:
            self.counts["malformed"] += 1
            return None
        if data[2] & OPCODE_BITS:
            return header_only(data, dns.rcode.NOTIMP)
        try:
            message = dns.message.from_wire(data, ignore_trailing=False)
            if len(message.question) != 1:
                raise ValueError("expected one question")
        except dns.message.Truncated:
            return header_only(data, dns.rcode.FORMERR)
        except Exception:  # dnspython raises various errors on malformed messages
            self.counts["malformed"] += 1
            return header_only(data, dns.rcode.FORMERR)
        return self.answer_message(message, data, peer, tcp)

    def answer_message(
        self, message: dns.message.Message, data: bytes, peer: str, tcp: bool
    ) -> bytes | list[bytes]:
        """Answer a well-formed query."""
        response = dns.message.make_response(message, our_payload=self.settings["udp_most"])
        response.flags |= dns.flags.AA
        response.flags &= ~dns.flags.RA
        max_size = max_response_size(message, tcp, self.settings["udp_most"])
        query = Query(data, peer, tcp, message.question[0], response, max_size)
        if message.edns > 0:
            response.use_edns(0, payload=self.settings["udp_most"])
            response.set_rcode(dns.rcode.BADVERS)
            return self.encode_response(query)
        match, subnet_option = find_view(self.views, message, peer)
        if message.edns == 0:
            options: list[dns.edns.Option] = [subnet_option] if subnet_option else []
            response.use_edns(0, payload=self.settings["udp_most"], options=options)
        if not self.is_in_zone(query.question):
            return self.refuse(query)
        if query.question.rdtype in TRANSFER_TYPES:
            if self.transfer is None:
                return self.refuse(query)
            messages = self.transfer(message, peer, tcp)
            return messages if tcp else messages[0]
        return self.answer_name(query, match.view)

    def is_in_zone(self, question: dns.rrset.RRset) -> bool:
        """Return whether a question is about the zone."""
        return question.rdclass == dns.rdataclass.IN and question.name.is_subdomain(self.zone)

    def answer_name(self, query: Query, view: View | None) -> bytes:
        """Answer a query about a name of the zone."""
        labels = query.relative_labels(self.zone)
        target = self.service_names.find(labels, view)
        if target is None and not self.name_exists(labels):
            self.counts["unknown"] += 1
            query.response.set_rcode(dns.rcode.NXDOMAIN)
            return self.answer_negatively(query)
        # ANY is answered with one small HINFO record (RFC 8482).
        if query.question.rdtype == dns.rdatatype.ANY:
            name = query.question.name
            add_record(query.response.answer, name, ANY_TTL, "HINFO", '"RFC8482" ""')
            return self.encode_response(query)
        if target is not None:
            return self.answer_service(query, target)
        self.answer_fixed(query, labels)
        return (
            self.encode_response(query) if query.response.answer else self.answer_negatively(query)
        )

    def name_exists(self, labels: list[str]) -> bool:
        """Return whether the apex or a name below it exists, apart from the names of services."""
        hosts_label = self.settings["hosts_label"]
        if not labels or labels == [hosts_label]:
            return True
        if len(labels) == 1:
            return any(labels[0] == server.name for server in self.name_servers)
        if len(labels) == 2 and labels[1] == hosts_label:
            return self.endpoint_by_label.get(labels[0]) in self.resolvable_endpoints
        return self.service_names.is_empty_non_terminal(labels)

    def answer_service(self, query: Query, target: Target) -> bytes:
        """Answer a query about a service's name."""
        rdtype = query.question.rdtype
        type_exists = rdtype == dns.rdatatype.SRV if target.is_srv else rdtype in FAMILIES
        if not type_exists:
            return self.answer_negatively(query)
        if target.view is None:
            return self.refuse(query)
        source = self.sources[target.view.index][target.service]
        if not source.weights:
            return self.fail_without_table(query)
        if target.is_srv:
            return self.answer_srv(query, source)
        family = FAMILIES[rdtype]
        if not any(self.endpoints[endpoint].by_family[family] for endpoint in source.weights):
            return self.answer_negatively(query)
        return query.data[:ID_BYTES] + self.prepare(query, source, family).next_answer()

    def fail_without_table(self, query: Query) -> bytes:
        """Answer SERVFAIL to a query whose view has no endpoints.

        An empty answer would be cached, while after SERVFAIL a resolver asks another controller,
        which may have a table.
        """
        self.counts["empty"] += 1
        query.fail(dns.rcode.SERVFAIL)
        return self.encode_response(query)

    def prepare(self, query: Query, source: AnswerSource, family: int) -> PreparedAnswer:
        """Prepare the answers to a query and store them in the cache.

        The question is copied from the query, so that the case of its name is preserved.
        """
        empty_response = query.response.to_wire()  # header, question and OPT record
        question = question_bytes(query.data)
        head = empty_response[ID_BYTES:HEADER_BYTES] + question
        tail = empty_response[HEADER_BYTES + len(question) :]
        prepared_answer = PreparedAnswer(self, source, family, head, tail, query.max_size)
        if self.prepared_count >= self.settings["prepared_most"]:
            self.flush()
        self.cache.add(query.data, query.peer, query.tcp, prepared_answer)
        return prepared_answer

    def answer_srv(self, query: Query, source: AnswerSource) -> bytes:
        """Answer with SRV records for all endpoints, and with their addresses if they fit.

        The addresses are optional (RFC 2782), so the TC flag is not set if they are left out.
        """
        response = query.response
        add_srv_records(self, source, response.answer, response.additional, query.question.name)
        if len(query.response_bytes()) > query.max_size:
            response.additional = []
        return self.encode_response(query)

    def answer_fixed(self, query: Query, labels: list[str]) -> None:
        """Add the records of the apex, of a name server or of an endpoint's name."""
        response = query.response
        name = query.question.name
        rdtype = query.question.rdtype
        if labels:
            add_fixed_records(self, response.answer, name, labels, rdtype)
        else:
            add_apex_records(self, response.answer, response.additional, name, rdtype)

    def soa_text(self, serial: int | None = None) -> str:
        """Return the text of the SOA record, with the current serial if none is given."""
        return soa_text(self, self.serial if serial is None else serial)

    def zone_records(self) -> set[ZoneRecord]:
        """Return all records for secondaries except the SOA and ZONEMD records."""
        return zone_records(self)

    def refuse(self, query: Query) -> bytes:
        """Refuse a query."""
        self.counts["refused"] += 1
        query.fail(dns.rcode.REFUSED)
        return self.encode_response(query)

    def answer_negatively(self, query: Query) -> bytes:
        """Give a negative answer, with only the zone's SOA record (RFC 2308 section 3)."""
        add_record(query.response.authority, self.zone, NEGATIVE_TTL, "SOA", self.soa_text())
        return self.encode_response(query)

    def encode_response(self, query: Query) -> bytes:
        """Return the response's bytes, truncated if they do not fit."""
        wire = query.response_bytes()
        if len(wire) <= query.max_size:
            return wire
        self.counts["truncated"] += 1
        query.truncate()
        return query.response_bytes()
