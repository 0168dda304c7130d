"""The interface between sessions and the controller that owns them."""

from enum import StrEnum
from typing import TYPE_CHECKING, Any, Optional, Protocol, Union

from .messages import (
    Acknowledgement,
    CollectorHello,
    EndpointOutcomes,
    ProxyHello,
    RequestDemand,
)

if TYPE_CHECKING:
    from .sessions import Session

Report = Union[EndpointOutcomes, RequestDemand, Acknowledgement]


class EndReason(StrEnum):
    """Why the controller aborted a connection; `net.streams` gives the other reasons."""

    REPLACED = "replaced by a newer connection"
    PUSH_FAILED = "message not written"
    SILENT = "silent"
    TOO_MANY_CONNECTIONS = "too many connections"
    CONTROLLER_STOPS = "controller stops"
    REFUSAL_UNREAD = "refusal not read"


class Incident(StrEnum):
    """Incidents that a listener counts, in addition to the ends of proxies' streams."""

    INVALID_FIELD = "spoilt"
    REFUSED = "refused"
    EVICTED = "evicted"
    UNKNOWN_NAME = "unknown name"


class SessionOwner(Protocol):
    """The part of the controller that a listener and its sessions use."""

    ready: bool  # whether liveness checks may be answered

    def log(self, event: str, /, **fields: Any) -> None:
        """Write a log event."""
        ...

    def accept_proxy(self, session: "Session", hello: ProxyHello) -> Optional[int]:
        """Store the hello in the session; return the proxy's number, or None if it is not valid."""
        ...

    def accept_collector(self, hello: CollectorHello) -> bool:
        """Return whether the collector's zone exists."""
        ...

    def session_joined(self, session: "Session") -> None:
        """Handle the start of a stream of the proxy `session.proxy`."""
        ...

    def session_left(self, session: "Session", reason: str) -> None:
        """Handle the end of a proxy's stream."""
        ...

    def message_received(self, session: "Session", message: Report) -> None:
        """Handle a report or an acknowledgement from a peer that has joined."""
        ...

    def all_sessions_ended(self) -> None:
        """Handle the end of the last connection after `SessionListener.close`."""
        ...
