"""Records of the zone's apex and name servers, and all those that secondaries hold."""

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

NEGATIVE_TTL = 5  # seconds that a negative answer may be cached (RFC 2308 section 5)
SERVER_TTL = 60  # seconds that records of the apex and of name servers may be cached
SOA_TIMERS = f"60 10 600 {NEGATIVE_TTL}"  # refresh, retry, expire, negative TTL


class NameServer(NamedTuple):
    """A controller as a name server of the zone."""

    name: str  # one label
    address: str


def name_servers(settings: Mapping[str, Any]) -> list[NameServer]:
    """Return the name servers of the settings."""
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

    `name` is the apex as the query spells it.
    """
    if rdtype == dns.rdatatype.SOA:
        add_record(answer, name, SERVER_TTL, "SOA", answers.soa())
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
    """Add the address records of a name server, or of an endpoint by its own name.

    `labels` are those of the name below the zone's apex, at least one.
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
    """Add an SRV record for each endpoint of a table, and the endpoints' addresses."""
    addresses = []
    hosts_label = answers.settings["hosts_label"].encode()
    for endpoint, weight in sorted(srv_weights(source.planned_weights).items()):
        endpoint_label = answers.endpoints[endpoint].name.encode()
        target = dns.name.Name((endpoint_label, hosts_label, *answers.zone.labels))
        value = f"0 {weight} {answers.settings['port']} {target}"
        add_record(answer, name, answers.ttl, "SRV", value)
        addresses += [(target, *text) for text in answers.endpoints[endpoint].texts()]
    for target, rtype, address in addresses:
        add_record(additional, target, answers.ttl, rtype, address)


def zone_records(answers: "Answers") -> set[ZoneRecord]:
    """Return all that a secondary can hold: the views' names, and the endpoints'."""
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
    shown = set()  # endpoints that SRV records name
    for view in answers.views.by_name.values():
        for service, index in answers.services.items():
            source = answers.sources[view.index][index]
            records.update(view_records(answers, source, f"{view.name}.{service}", ttl))
            shown |= set(source.planned_weights)
    for endpoint in shown:
        addresses = answers.endpoints[endpoint]
        owner = f"{addresses.name}.{answers.settings['hosts_label']}"
        records.update(ZoneRecord(owner, ttl, *text) for text in addresses.texts())
    return records


def view_records(
    answers: "Answers", source: "AnswerSource", name: str, ttl: int
) -> Iterator[ZoneRecord]:
    """Yield the address and SRV records of a view's name of a service."""
    for endpoint in source.weights:
        for text in answers.endpoints[endpoint].texts():
            yield ZoneRecord(name, ttl, *text)
    srv_name = f"{answers.settings['service_label']}.{PROTOCOL_LABEL}.{name}"
    port = answers.settings["port"]
    domain = f"{answers.settings['hosts_label']}.{answers.zone.to_text()}"
    for endpoint, weight in srv_weights(source.planned_weights).items():
        target = f"{answers.endpoints[endpoint].name}.{domain}"
        yield ZoneRecord(srv_name, ttl, "SRV", f"0 {weight} {port} {target}")
