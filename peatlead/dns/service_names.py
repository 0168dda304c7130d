"""The names of services in the zone, as lists of lower-case labels without the zone's own.

A service's name is SERVICE or VIEW.SERVICE. SRV records are under the same name with the prefix of
RFC 2782, such as `_http._tcp.SERVICE`.
"""

from collections.abc import Mapping
from typing import NamedTuple

from .views import View

PROTOCOL_LABEL = "_tcp"
SRV_PREFIX_LABELS = 2  # the service and the protocol


class Target(NamedTuple):
    """What the name in a query refers to."""

    service: int  # index in the settings
    view: View | None  # None if the client belongs to no view
    is_srv: bool  # whether the name has the prefix of SRV records


class ServiceNames:
    """Finds the service and view that a name refers to."""

    def __init__(
        self, srv_label: str, services: Mapping[str, int], views: Mapping[str, View]
    ) -> None:
        self.srv_prefix = [srv_label, PROTOCOL_LABEL]
        self.services = services
        self.views = views

    def find(self, labels: list[str], client_view: View | None) -> Target | None:
        """Return what a name refers to, or None if it is not a service's name.

        `client_view` is the view of the client, which applies if the name contains no view.
        """
        is_srv = len(labels) > SRV_PREFIX_LABELS and labels[:SRV_PREFIX_LABELS] == self.srv_prefix
        if is_srv:
            labels = labels[SRV_PREFIX_LABELS:]
        if not labels or labels[-1] not in self.services:
            return None
        service = self.services[labels[-1]]
        if len(labels) == 1:
            return Target(service, client_view, is_srv)
        if len(labels) == 2 and labels[0] in self.views:
            return Target(service, self.views[labels[0]], is_srv)
        return None

    def is_empty_non_terminal(self, labels: list[str]) -> bool:
        """Return whether a name exists without records (RFC 8020), such as `_tcp.SERVICE`."""
        if labels[0] != PROTOCOL_LABEL or labels[-1] not in self.services:
            return False
        return len(labels) == 2 or (len(labels) == 3 and labels[1] in self.views)
