"""Finds the view of a query, by its EDNS client subnet (RFC 7871) or by the resolver's address."""

from ipaddress import ip_address

import dns.edns
import dns.message

from .views import ViewMatch, Views, unmap_ipv4


def find_view(
    views: Views, message: dns.message.Message, peer: str
) -> tuple[ViewMatch, dns.edns.ECSOption | None]:
    """Return the view of a query, and the option for the response if a client subnet was used.

    Client subnets are used only from trusted resolvers. See RFC 7871 section 7.2.1.
    """
    if message.edns == 0 and views.is_trusted_resolver(peer):
        for option in message.options:
            if isinstance(option, dns.edns.ECSOption):
                return find_subnet_view(views, option, peer)
    return views.match_peer(peer), None


def find_subnet_view(
    views: Views, option: dns.edns.ECSOption, peer: str
) -> tuple[ViewMatch, dns.edns.ECSOption]:
    """Return the view of a client subnet, and the option for the response.

    A prefix length of 0 means that the client's address must not be used (RFC 7871 section 7.1.2),
    so the view is that of the resolver's address.
    """
    if option.srclen == 0:
        match = ViewMatch(views.match_peer(peer).view, 0)
        return match, dns.edns.ECSOption(option.address, 0, 0)
    address = unmap_ipv4(ip_address(option.address))
    match = views.match_network(address, option.srclen)
    return match, dns.edns.ECSOption(option.address, option.srclen, match.scope)
