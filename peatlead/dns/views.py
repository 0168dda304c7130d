"""Which view a query comes from. Pure: no I/O, no clock, no chance.

A view is a proxy to the planner. Named views are settings; all other networks share a fixed number of
open views by hash, so that a flood of made-up subnets can make neither views nor state: it only shares
the open views' tables, and every steward gives a network the same view with no memory.
"""

from ipaddress import IPv4Address, IPv6Address, ip_address, ip_network
from typing import NamedTuple, Optional

from blake3 import blake3

OPEN_PREFIX = {4: 24, 6: 56}  # networks that share an open view, by prefix (RFC 7871 section 11.1)


class View(NamedTuple):
    """`number` is the planner's id: a hash of the name, the same at every steward; `rate` reqs a second."""

    index: int
    name: str
    number: int
    zone: int
    rate: float


class Found(NamedTuple):
    """`scope` is the prefix length that the answer holds for (RFC 7871 section 7.2.1)."""

    view: Optional[View]
    scope: int


def number_of(name):
    return int.from_bytes(blake3(b"view:" + name.encode()).digest(6), "big")


class PrefixMap:
    """Longest prefix match over networks: one dict for each prefix length in use, longest first.

    A look-up costs one dict look-up a length, whatever the number of networks.
    """

    def __init__(self):
        self.levels = {4: {}, 6: {}}
        self.order = {4: (), 6: ()}

    def add(self, network, value):
        network = ip_network(network)
        level = self.levels[network.version]
        level.setdefault(network.prefixlen, {})[int(network.network_address)] = value
        bits = network.max_prefixlen
        self.order[network.version] = tuple(
            (length, ((1 << length) - 1) << (bits - length), level[length])
            for length in sorted(level, reverse=True)
        )

    def find(self, address, most=128):
        """(value, prefix length) of the longest network no longer than `most` that holds the address, or None."""
        at = int(address)
        for length, mask, found in self.order[address.version]:
            if length <= most and (at & mask) in found:
                return found[at & mask], length
        return None


class Views:
    """All views of a settings map, and the rule that finds one."""

    def __init__(self, settings):
        zones = {zone["name"]: at for at, zone in enumerate(settings["zone"])}
        self.views, self.by_name, self.by_network, self.by_resolver = [], {}, PrefixMap(), {}
        for entry in settings["view"]:
            view = self.add(entry["name"], zones[entry["zone"]], entry["rate"])
            self.by_name[view.name] = view
            for network in entry["networks"]:
                self.by_network.add(network, view)
            for resolver in entry["resolvers"]:
                self.by_resolver[ip_address(resolver)] = view
        self.open = [
            self.add(f"open:{at}", at % len(zones), 1.0)
            for at in range(settings["dns"]["open_views"])
        ]
        self.by_number = {view.number: view for view in self.views}
        if len(self.by_number) != len(self.views):
            raise ValueError("two views hash to one number: rename one")
        self.trusted = PrefixMap()
        for network in settings["dns"]["trusted_resolvers"]:
            self.trusted.add(network, True)

    def add(self, name, zone, rate):
        view = View(len(self.views), name, number_of(name), zone, rate)
        self.views.append(view)
        return view

    def of_peer(self, peer):
        """The view of a resolver that says nothing of its clients."""
        peer = plain(ip_address(peer))
        view = self.by_resolver.get(peer)
        return Found(view, 0) if view else self.of_network(peer, peer.max_prefixlen)

    def believes(self, peer):
        return self.trusted.find(plain(ip_address(peer))) is not None

    def of_network(self, address, length):
        """The view of clients in address/length; a network shorter than any listed one is an open view's."""
        found = self.by_network.find(address, length)
        if found:
            return Found(*found)
        if not self.open:
            return Found(None, 0)
        prefix = min(length, OPEN_PREFIX[address.version])
        shift = address.max_prefixlen - prefix
        key = b"%d/%d/%d" % (address.version, prefix, int(address) >> shift)
        return Found(
            self.open[int.from_bytes(blake3(key).digest(8), "big") % len(self.open)], prefix
        )


def plain(address: IPv4Address | IPv6Address):
    """An IPv4 address that came over an IPv6 socket is the IPv4 address (RFC 4291 section 2.5.5.2)."""
    return getattr(address, "ipv4_mapped", None) or address
