"""What the controller needs of a gRPC session, from the moment that its proxy has joined."""

from collections.abc import Collection
from typing import Any, Protocol

from ..grpc.server import ProxyNode
from .channel import ViewState


class JoinedSession(Protocol):
    """A `grpc.server.Session` whose proxy was admitted."""

    node: ProxyNode  # what the proxy said of itself
    number: int  # the planner's number of the proxy
    zone: int  # index of the proxy's zone
    epoch: int  # that this controller's versions for the proxy bear
    since: float  # when it joined, by the event loop's clock
    state: ViewState  # the planner's tables for it
    levels: dict[str, float]  # request class -> admitted fraction
    retries: dict[str, str]  # request class -> retry policy
    ready: bool  # whether it has been sent anything yet
    stale: set[str]  # resource types that it is to be sent anew
    report_at: float | None  # when its last load report was read
    reports: int  # load reports that have come
    call: Any  # its gRPC stream

    def items(self, part: str) -> Any:
        """Return the items of one part of its tables; None while there is nothing to send."""

    def changed(self, parts: Collection[str]) -> None:
        """Take that these parts of its tables have changed."""

    def move(self, text: str, **metadata: str) -> None:
        """End the stream, so that the proxy dials another controller."""
