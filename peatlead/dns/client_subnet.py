"""The view of an asker, by the client subnet that its resolver sends or by its address."""

from ipaddress import ip_address

import dns.edns
import dns.message

from .views import ViewMatch, Views, unmap_ipv4


def find_view(
    views: Views, message: dns.message.Message, peer: str
) -> tuple[ViewMatch, dns.edns.ECSOption | None]:
    """Return the asker's view, and the option to return if a client subnet was used.

    See RFC 7871 section 7.2.1.
    """
    if message.edns == 0 and views.trusts_subnets_of(peer):
        for option in message.options:
            if isinstance(option, dns.edns.ECSOption):
                return find_subnet_view(views, option, peer)
    return views.of_peer(peer), None


def find_subnet_view(
    views: Views, option: dns.edns.ECSOption, peer: str
) -> tuple[ViewMatch, dns.edns.ECSOption]:
    """Return the view of a client subnet, and the option to return.

    A prefix length of 0 asks not to be told apart from others (section 7.1.2).
    """
    if option.srclen == 0:
        match = ViewMatch(views.of_peer(peer).view, 0)
        return match, dns.edns.ECSOption(option.address, 0, 0)
    address = unmap_ipv4(ip_address(option.address))
    match = views.of_network(address, option.srclen)
    return match, dns.edns.ECSOption(option.address, option.srclen, match.scope)
