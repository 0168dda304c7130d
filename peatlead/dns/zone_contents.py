"""Resource records of the zone: for answers to queries, and for copies at secondaries."""

from collections.abc import Iterator, Mapping
from typing import TYPE_CHECKING, Any, NamedTuple

import dns.name
import dns.rdatatype

from .answer_order import srv_weights
from .canonical_zone import APEX, ZoneRecord
from .records import FAMILIES, Section, add_record, address_rtype
from .service_names import PROTOCOL_LABEL

if TYPE_CHECKING:
    from .answer_cache import AnswerSource
    from .answers import Answers

NEGATIVE_TTL = 5  # seconds; of negative answers (RFC 2308 section 5)
SERVER_TTL = 60  # seconds; of the records of the apex and of name servers
SOA_TIMERS = f"60 10 600 {NEGATIVE_TTL}"  # refresh, retry, expire, negative TTL


class NameServer(NamedTuple):
    """A controller in its role as a name server of the zone."""

    name: str  # one label
    address: str


def name_servers(settings: Mapping[str, Any]) -> list[NameServer]:
    """Return the name servers: the controllers in the settings."""
    return [NameServer(entry["name"], entry["listen"][0]) for entry in settings["steward"]]


def soa_text(answers: "Answers", serial: int) -> str:
    """Return the SOA record's text."""
    zone = answers.zone.to_text()
    return f"{answers.name_servers[0].name}.{zone} hostmaster.{zone} {serial} {SOA_TIMERS}"


def add_apex_records(
    answers: "Answers",
    answer: Section,
    additional: Section,
    name: dns.name.Name,
    rdtype: dns.rdatatype.RdataType,
) -> None:
    """Add the apex's records of a type: the SOA, or the name servers with their addresses.

    `name` is the apex in the spelling of the query.
    """
    if rdtype == dns.rdatatype.SOA:
        add_record(answer, name, SERVER_TTL, "SOA", answers.soa_text())
    elif rdtype == dns.rdatatype.NS:
        for server, address in answers.name_servers:
            target = f"{server}.{answers.zone.to_text()}"
            add_record(answer, name, SERVER_TTL, "NS", target)
            owner = dns.name.from_text(server, answers.zone)
            add_record(additional, owner, SERVER_TTL, address_rtype(address), address)


def add_fixed_records(
    answers: "Answers",
    answer: Section,
    name: dns.name.Name,
    labels: list[str],
    rdtype: dns.rdatatype.RdataType,
) -> None:
    """Add the address records of a name server or of an endpoint.

    `labels` are the labels of `name` before the zone's own labels; there is at least one.
    """
    rtype = dns.rdatatype.to_text(rdtype)
    if len(labels) == 1:
        for server, address in answers.name_servers:
            if server == labels[0] and address_rtype(address) == rtype:
                add_record(answer, name, SERVER_TTL, rtype, address)
    elif len(labels) == 2 and rdtype in FAMILIES and labels[0] in answers.endpoint_by_label:
        endpoint = answers.endpoints[answers.endpoint_by_label[labels[0]]]
        endpoint_address = endpoint.by_family[FAMILIES[rdtype]]
        if endpoint_address:
            add_record(answer, name, answers.ttl, rtype, endpoint_address)


def add_srv_records(
    answers: "Answers",
    source: "AnswerSource",
    answer: Section,
    additional: Section,
    name: dns.name.Name,
) -> None:
    """Add an SRV record for each planned endpoint, and the endpoints' address records."""
    addresses = []
    hosts_label = answers.settings["hosts_label"].encode()
    for endpoint, weight in sorted(srv_weights(source.planned_weights).items()):
        endpoint_label = answers.endpoints[endpoint].name.encode()
        target = dns.name.Name((endpoint_label, hosts_label, *answers.zone.labels))
        value = f"0 {weight} {answers.settings['port']} {target}"
        add_record(answer, name, answers.ttl, "SRV", value)
        addresses += [
            (target, *typed_address)
            for typed_address in answers.endpoints[endpoint].typed_addresses()
        ]
    for target, rtype, address in addresses:
        add_record(additional, target, answers.ttl, rtype, address)


def zone_records(answers: "Answers") -> set[ZoneRecord]:
    """Return all records for secondaries except the SOA and ZONEMD records."""
    zone = answers.zone.to_text()
    ttl = max(1, answers.ttl)
    records = {
        ZoneRecord(APEX, SERVER_TTL, "NS", f"{server.name}.{zone}")
        for server in answers.name_servers
    }
    records |= {
        ZoneRecord(server.name, SERVER_TTL, address_rtype(server.address), server.address)
        for server in answers.name_servers
    }
    srv_targets = set()  # endpoints
    for view in answers.views.by_name.values():
        for label, service in answers.services.items():
            source = answers.sources[view.index][service]
            records.update(view_records(answers, source, f"{view.name}.{label}", ttl))
            srv_targets |= set(source.planned_weights)
    for endpoint in srv_targets:
        addresses = answers.endpoints[endpoint]
        owner = f"{addresses.name}.{answers.settings['hosts_label']}"
        records.update(
            ZoneRecord(owner, ttl, *typed_address) for typed_address in addresses.typed_addresses()
        )
    return records


def view_records(
    answers: "Answers", source: "AnswerSource", name: str, ttl: int
) -> Iterator[ZoneRecord]:
    """Yield the address and SRV records of a view's name for a service."""
    for endpoint in source.weights:
        for typed_address in answers.endpoints[endpoint].typed_addresses():
            yield ZoneRecord(name, ttl, *typed_address)
    srv_name = f"{answers.settings['service_label']}.{PROTOCOL_LABEL}.{name}"
    port = answers.settings["port"]
    domain = f"{answers.settings['hosts_label']}.{answers.zone.to_text()}"
    for endpoint, weight in srv_weights(source.planned_weights).items():
        target = f"{answers.endpoints[endpoint].name}.{domain}"
        yield ZoneRecord(srv_name, ttl, "SRV", f"0 {weight} {port} {target}")
