"""What every source tells, in one form, and what it remembers on disk. Pure but for `Memory`.

A source calls its `tell(Listing)`. Ids, clocks and events are the steward's matter.
"""

import os
from ipaddress import ip_address
from pathlib import Path
from typing import NamedTuple, Optional

import msgspec
from blake3 import blake3

PHASES = ("ready", "draining", "gone")
HOSTS_MOST = 20_000
FORMAT = 1


class Entry(msgspec.Struct, frozen=True):
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


class Listing(NamedTuple):
    """`scope`: "whole", "changes", "remembered" or "unavailable"; `written` by the list's own clock."""
    scope: str
    version: int
    written: float
    hosts: tuple
    bad: tuple = ()  # why entries were left out


class Document(msgspec.Struct):
    version: int
    hosts: list
    written: float = 0.0
    scope: str = "whole"


class BadListing(Exception):
    """Not a list at all: torn, empty or something else."""


def read_document(data):
    """A Listing of a JSON document. One bad entry does not cost the others; no list at all raises."""
    if not data.strip():
        raise BadListing("the file is empty")
    try:
        said = msgspec.json.decode(data, type=Document)
    except msgspec.MsgspecError as problem:
        raise BadListing(str(problem)) from None
    if said.scope not in ("whole", "changes"):
        raise BadListing(f"expected scope whole or changes, got {said.scope!r}")
    if len(said.hosts) > HOSTS_MOST:
        raise BadListing(f"expected at most {HOSTS_MOST} hosts, got {len(said.hosts)}")
    hosts, bad = {}, []
    for at, one in enumerate(said.hosts):
        try:
            entry = check_entry(msgspec.convert(one, Entry))
            if entry.name in hosts:
                raise ValueError(f"{entry.name} is listed twice")
            hosts[entry.name] = entry
        except (msgspec.ValidationError, ValueError) as problem:
            bad.append(f"host {at}: {problem}")
    return Listing(said.scope, said.version, said.written, tuple(hosts.values()), tuple(bad))


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


class Memory:
    """The last whole list on disk: a steward that starts while the list is away answers from it.

    One file: a line `peatlead-list FORMAT CHECKSUM`, then the document. Written beside and renamed, so that
    a crash leaves the old one; anything that does not check out is as if it were not there.
    """

    def __init__(self, path: Optional[str]):
        self.path = Path(path) if path else None

    def keep(self, listing):
        """Raises OSError; the caller says so and goes on."""
        if self.path is None:
            return
        body = msgspec.json.encode({
            "version": listing.version, "written": listing.written, "scope": "whole", "hosts": listing.hosts})
        head = b"peatlead-list %d %s\n" % (FORMAT, blake3(body).hexdigest().encode())
        beside = self.path.with_name(self.path.name + ".new")
        self.path.parent.mkdir(parents=True, exist_ok=True)
        with open(beside, "wb") as file:
            file.write(head + body)
            file.flush()
            os.fsync(file.fileno())
        os.replace(beside, self.path)

    def recall(self):
        """(Listing or None, why not)."""
        if self.path is None:
            return None, "no folder is set"
        try:
            head, _, body = self.path.read_bytes().partition(b"\n")
        except OSError as problem:
            return None, problem.strerror
        words = head.split(b" ")
        if len(words) != 3 or words[0] != b"peatlead-list" or words[1] != b"%d" % FORMAT:
            return None, "not a list of this format"
        if words[2] != blake3(body).hexdigest().encode():
            return None, "the checksum does not fit: torn or changed"
        try:
            return read_document(body)._replace(scope="remembered"), ""
        except BadListing as problem:
            return None, str(problem)
