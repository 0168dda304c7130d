"""Endpoint lists as delivered by every source, and their JSON format; performs no I/O.

A source passes an `EndpointList` to a callback. The controller assigns endpoint ids, maps times to
its own clock and emits the events.
"""

from ipaddress import ip_address
from typing import Any, NamedTuple

import msgspec

PHASES = ("ready", "draining", "gone")
DOCUMENT_SCOPES = ("whole", "changes")
MAX_ENDPOINTS = 20_000  # maximum entries in one list
MAX_LABEL_LENGTH = 63  # characters (RFC 1035, section 2.3.4)
WEIGHT_UPPER_BOUND = 1e6  # weights must be below this value

# Value of an `interface.ListScope`, as in stored lists and recordings. "whole": all endpoints;
# "changes": the endpoints that changed; "remembered": all endpoints, read from the cache;
# "unavailable": no list could be read.
Scope = str


class ListedEndpoint(msgspec.Struct, frozen=True):
    """One entry of a list; field names are those of the list file and the cache."""

    name: str  # one DNS label, lower case
    zone: str
    phase: str  # one of PHASES
    address: str = ""  # IPv4
    address6: str = ""  # IPv6
    machine: str = ""
    pod: int = 0
    weight: float = 1.0
    started: float = 0.0  # start time in seconds, by the clock of `EndpointList.written`
    port: int = 0  # 0: the list gives no port


class EndpointList(NamedTuple):
    """An endpoint list; with scope "unavailable", the information that no list could be read."""

    scope: Scope
    version: int
    written: float  # time of writing in seconds, by the clock of the list's author
    endpoints: tuple[ListedEndpoint, ...]
    entry_errors: tuple[str, ...] = ()  # one message for each invalid entry
    # Names of the invalid entries; None if the name is invalid too.
    unusable_names: tuple[str | None, ...] = ()


class ListDocument(msgspec.Struct):
    """The JSON document of a list; `hosts` holds the entries before their validation."""

    version: int
    hosts: list[Any]
    written: float = 0.0
    scope: str = "whole"


class EndpointListError(Exception):
    """The data is not an endpoint list, for example because it is truncated or empty."""


def parse_list_document(data: bytes) -> EndpointList:
    """Parse a JSON document; raises EndpointListError.

    An invalid entry is left out and reported in `entry_errors`; the other entries are used.
    """
    document = decode_list_document(data)
    endpoints: dict[str, ListedEndpoint] = {}
    errors = []
    for index, raw_entry in enumerate(document.hosts):
        try:
            entry = check_entry(msgspec.convert(raw_entry, ListedEndpoint))
            if entry.name in endpoints:
                raise ValueError(f"{entry.name} is listed twice")
            endpoints[entry.name] = entry
        except (msgspec.ValidationError, ValueError) as error:
            errors.append(f"host {index}: {error}")
    return EndpointList(
        scope=document.scope,
        version=document.version,
        written=document.written,
        endpoints=tuple(endpoints.values()),
        entry_errors=tuple(errors),
    )


def decode_list_document(data: bytes) -> ListDocument:
    """Decode a document and check everything except its entries; raises EndpointListError."""
    if not data.strip():
        raise EndpointListError("the file is empty")
    try:
        document = msgspec.json.decode(data, type=ListDocument)
    except msgspec.MsgspecError as error:
        raise EndpointListError(str(error)) from None
    if document.scope not in DOCUMENT_SCOPES:
        raise EndpointListError(f"expected scope whole or changes, got {document.scope!r}")
    if len(document.hosts) > MAX_ENDPOINTS:
        raise EndpointListError(
            f"expected at most {MAX_ENDPOINTS} hosts, got {len(document.hosts)}"
        )
    return document


def check_entry(entry: ListedEndpoint) -> ListedEndpoint:
    """Check an entry and return it with its name in lower case; raises ValueError."""
    if entry.phase not in PHASES:
        raise ValueError(f"expected one of the phases {', '.join(PHASES)}, got {entry.phase!r}")
    if not is_label(entry.name):
        raise ValueError(f"expected a name that is one DNS label, got {entry.name!r}")
    if not 0 < entry.weight < WEIGHT_UPPER_BOUND:
        raise ValueError(
            f"expected a weight above 0 and below {WEIGHT_UPPER_BOUND:g}, got {entry.weight!r}"
        )
    if not (entry.address or entry.address6):
        raise ValueError(f"{entry.name}: expected an address")
    for address, version in ((entry.address, 4), (entry.address6, 6)):
        if address and ip_address(address).version != version:
            raise ValueError(f"{entry.name}: expected an IPv{version} address, got {address}")
    return msgspec.structs.replace(entry, name=entry.name.lower())


def is_label(name: str) -> bool:
    """Return whether a name is one DNS label of ASCII letters, digits and hyphens."""
    without_hyphens = name.replace("-", "")
    return (
        0 < len(name) <= MAX_LABEL_LENGTH
        and without_hyphens.isalnum()
        and without_hyphens.isascii()
    )
