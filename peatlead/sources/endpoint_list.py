"""What every source tells, in one form. Pure.

A source calls its `tell(Listing)`. Ids, clocks and events are the steward's matter.
"""

from ipaddress import ip_address
from typing import NamedTuple

import msgspec

PHASES = ("ready", "draining", "gone")
HOSTS_MOST = 20_000


class ListedEndpoint(msgspec.Struct, frozen=True):
    """One host as a list names it; `started` is by the list's own clock, seconds."""

    name: str
    zone: str
    phase: str
    address: str = ""
    address6: str = ""
    machine: str = ""
    pod: int = 0
    weight: float = 1.0
    started: float = 0.0
    port: int = 0  # where the list tells one a host


class EndpointList(NamedTuple):
    """`scope`: "whole", "changes", "remembered" or "unavailable"; `written` by the list's own clock; `unread`: names
    of hosts whose entries can't be used, None for each whose name can't be read either."""

    scope: str
    version: int
    written: float
    hosts: tuple
    bad: tuple = ()  # why entries were left out
    unread: tuple = ()


class Document(msgspec.Struct):
    version: int
    hosts: list
    written: float = 0.0
    scope: str = "whole"


class EndpointListError(Exception):
    """Not a list at all: torn, empty or something else."""


def read_document(data):
    """A Listing of a JSON document. One bad entry does not cost the others; no list at all raises."""
    if not data.strip():
        raise EndpointListError("the file is empty")
    try:
        said = msgspec.json.decode(data, type=Document)
    except msgspec.MsgspecError as problem:
        raise EndpointListError(str(problem)) from None
    if said.scope not in ("whole", "changes"):
        raise EndpointListError(f"expected scope whole or changes, got {said.scope!r}")
    if len(said.hosts) > HOSTS_MOST:
        raise EndpointListError(f"expected at most {HOSTS_MOST} hosts, got {len(said.hosts)}")
    hosts, bad = {}, []
    for at, one in enumerate(said.hosts):
        try:
            entry = check_entry(msgspec.convert(one, ListedEndpoint))
            if entry.name in hosts:
                raise ValueError(f"{entry.name} is listed twice")
            hosts[entry.name] = entry
        except (msgspec.ValidationError, ValueError) as problem:
            bad.append(f"host {at}: {problem}")
    return EndpointList(said.scope, said.version, said.written, tuple(hosts.values()), tuple(bad))


def check_entry(entry):
    if entry.phase not in PHASES:
        raise ValueError(f"expected a phase of {', '.join(PHASES)}, got {entry.phase!r}")
    label = entry.name.replace("-", "")
    if not (0 < len(entry.name) < 64 and label.isalnum() and label.isascii()):
        raise ValueError(f"expected a name of one label, got {entry.name!r}")
    if not 0 < entry.weight < 1e6:
        raise ValueError(f"expected a weight above 0, got {entry.weight!r}")
    if not (entry.address or entry.address6):
        raise ValueError(f"{entry.name}: expected an address")
    for address, version in ((entry.address, 4), (entry.address6, 6)):
        if address and ip_address(address).version != version:
            raise ValueError(f"{entry.name}: expected an IPv{version} address, got {address}")
    return msgspec.structs.replace(entry, name=entry.name.lower())
