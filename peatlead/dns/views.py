"""Finds the view of a query. No I/O, clock or randomness.

The planner treats each view as a proxy. Named views are configured. All other networks are
distributed by hash over a fixed number of open views, so that queries with invented client subnets
cannot create views or other state, and so that all controllers find the same view for a network.
"""

from collections.abc import Mapping
from ipaddress import IPv4Address, IPv4Network, IPv6Address, IPv6Network, ip_address, ip_network
from typing import Any, Generic, NamedTuple, TypeVar

from blake3 import blake3

IPV4 = 4
IPV6 = 6
OPEN_VIEW_PREFIX = {IPV4: 24, IPV6: 56}  # longest prefix used, in bits (RFC 7871 section 11.1)
VIEW_NUMBER_BYTES = 6

IPAddress = IPv4Address | IPv6Address
IPNetwork = IPv4Network | IPv6Network
Value = TypeVar("Value")


class View(NamedTuple):
    """A group of clients that share a table for each service."""

    index: int  # type: ignore[assignment]  # index in `Views.views`; hides tuple.index
    name: str
    number: int  # the planner's proxy number, the same at every controller
    zone: int  # index of the zone in the settings
    rate: float  # expected requests per second


class ViewMatch(NamedTuple):
    """The view of a query."""

    view: View | None  # None if the client belongs to no view
    scope: int  # prefix length that the answer is valid for (RFC 7871 section 7.2.1)


class PrefixMatch(NamedTuple, Generic[Value]):
    """The network with the longest prefix that contains an address."""

    value: Value
    length: int  # prefix length in bits


class PrefixTable(NamedTuple, Generic[Value]):
    """The values of all networks of one prefix length."""

    length: int  # prefix length in bits
    mask: int
    values: dict[int, Value]  # by network address


def proxy_number(name: str) -> int:
    """Return the planner's proxy number of a view or a proxy: a hash of its name."""
    return int.from_bytes(blake3(b"view:" + name.encode()).digest(VIEW_NUMBER_BYTES), "big")


class PrefixMap(Generic[Value]):
    """A map from networks to values, searched by longest prefix match.

    There is one dict for each prefix length in use, so the cost of a search depends on the number
    of different lengths, not on the number of networks.
    """

    def __init__(self) -> None:
        # Values by address family, then by prefix length, then by network address.
        self.values: dict[int, dict[int, dict[int, Value]]] = {IPV4: {}, IPV6: {}}
        # Tables by address family, sorted with the longest prefix first.
        self.tables: dict[int, tuple[PrefixTable[Value], ...]] = {IPV4: (), IPV6: ()}

    def add(self, network: IPNetwork | str, value: Value) -> None:
        """Set a network's value."""
        network = ip_network(network)
        by_length = self.values[network.version]
        by_length.setdefault(network.prefixlen, {})[int(network.network_address)] = value
        address_length = network.max_prefixlen
        self.tables[network.version] = tuple(
            PrefixTable(length, ((1 << length) - 1) << (address_length - length), by_length[length])
            for length in sorted(by_length, reverse=True)
        )

    def find(self, address: IPAddress, max_length: int = 128) -> PrefixMatch[Value] | None:
        """Return the match with the longest prefix of at most `max_length` bits, or None."""
        address_bits = int(address)
        for length, mask, values in self.tables[address.version]:
            if length <= max_length and (address_bits & mask) in values:
                return PrefixMatch(values[address_bits & mask], length)
        return None


class Views:
    """All views of the settings, and the lookup of a query's view.

    Raises ValueError if two views have the same number.
    """

    def __init__(self, settings: Mapping[str, Any]) -> None:
        self.views: list[View] = []
        self.by_name: dict[str, View] = {}
        self.by_network: PrefixMap[View] = PrefixMap()
        self.by_resolver: dict[IPAddress, View] = {}
        self.trusted_resolvers: PrefixMap[bool] = PrefixMap()
        zones = {zone["name"]: index for index, zone in enumerate(settings["zone"])}
        for entry in settings["view"]:
            self.add_named_view(entry, zones[entry["zone"]])
        self.open_views = [
            self.add_view(f"open:{index}", index % len(zones), 1.0)
            for index in range(settings["dns"]["open_views"])
        ]
        self.by_number = {view.number: view for view in self.views}
        if len(self.by_number) != len(self.views):
            raise ValueError("two views have the same number, a hash of the name: rename one")
        for network in settings["dns"]["trusted_resolvers"]:
            self.trusted_resolvers.add(network, True)

    def add_named_view(self, entry: Mapping[str, Any], zone: int) -> None:
        """Add a named view of the settings with its networks and resolvers."""
        view = self.add_view(entry["name"], zone, entry["rate"])
        self.by_name[view.name] = view
        for network in entry["networks"]:
            self.by_network.add(network, view)
        for resolver in entry["resolvers"]:
            self.by_resolver[ip_address(resolver)] = view

    def add_view(self, name: str, zone: int, rate: float) -> View:
        """Add a view and return it."""
        view = View(len(self.views), name, proxy_number(name), zone, rate)
        self.views.append(view)
        return view

    def match_peer(self, peer: str) -> ViewMatch:
        """Return the view of a resolver that sends no client subnet."""
        address = unmap_ipv4(ip_address(peer))
        view = self.by_resolver.get(address)
        return ViewMatch(view, 0) if view else self.match_network(address, address.max_prefixlen)

    def is_trusted_resolver(self, peer: str) -> bool:
        """Return whether a resolver is trusted to send client subnets (RFC 7871)."""
        return self.trusted_resolvers.find(unmap_ipv4(ip_address(peer))) is not None

    def match_network(self, address: IPAddress, length: int) -> ViewMatch:
        """Return the view of the clients in the network `address`/`length`.

        If no configured network contains this network, the view is an open view, or None if the
        settings have no open views.
        """
        match = self.by_network.find(address, length)
        if match:
            return ViewMatch(match.value, match.length)
        if not self.open_views:
            return ViewMatch(None, 0)
        prefix = min(length, OPEN_VIEW_PREFIX[address.version])
        shift = address.max_prefixlen - prefix
        key = b"%d/%d/%d" % (address.version, prefix, int(address) >> shift)
        index = int.from_bytes(blake3(key).digest(8), "big") % len(self.open_views)
        return ViewMatch(self.open_views[index], prefix)


def unmap_ipv4(address: IPAddress) -> IPAddress:
    """Return the IPv4 address of an IPv4-mapped IPv6 address (RFC 4291 section 2.5.5.2)."""
    return getattr(address, "ipv4_mapped", None) or address
