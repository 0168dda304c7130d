"""What sessions need of the controller that owns them, and the words that both share."""

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
    """Why the controller ends a connection; ends by the peer have the network's reasons."""

    REPLACED = "joined anew"
    PUSH_FAILED = "message not written"
    SILENT = "silent"
    TOO_MANY_CONNECTIONS = "too many connections"
    CONTROLLER_STOPS = "the steward ends"
    REFUSAL_UNREAD = "did not read why it was refused"


class Incident(StrEnum):
    """What the listener counts, besides the ends of proxies' streams by reason."""

    INVALID_FIELD = "spoilt"
    REFUSED = "refused"
    EVICTED = "evicted"
    UNKNOWN_NAME = "names nothing"


class SessionOwner(Protocol):
    """What a listener needs of the controller."""

    ready: bool  # whether liveness checks may be answered

    def log(self, event: str, /, **fields: Any) -> None:
        """Write a log event."""
        ...

    def accept_proxy(self, session: "Session", hello: ProxyHello) -> Optional[int]:
        """Return the proxy's number, or None if there is no such proxy."""
        ...

    def accept_collector(self, hello: CollectorHello) -> bool:
        """Return whether the collector's zone exists."""
        ...

    def session_joined(self, session: "Session") -> None:
        """Handle a new stream of the proxy `session.proxy`."""
        ...

    def session_left(self, session: "Session", reason: str) -> None:
        """Handle the end of a proxy's stream."""
        ...

    def message_received(self, session: "Session", message: Report) -> None:
        """Handle a report of a joined peer."""
        ...

    def all_sessions_ended(self) -> None:
        """Handle the end of the last connection after `SessionListener.close`."""
        ...
