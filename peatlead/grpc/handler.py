"""The interface between the gRPC server and the controller behind it."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import TYPE_CHECKING, Optional, Protocol

from ..tables.version import Version
from .discovery import Nack
from .load_aggregation import LoadAggregator
from .proxy_node import ProxyNode

if TYPE_CHECKING:
    from .session import Session


# Status, text and trailing metadata that end the stream of a proxy that is not admitted.
Rejection = tuple[int, str, Mapping[str, str]]


class ProxyHandler(Protocol):
    """The controller's decisions on admission, tables and load reports of proxies."""

    load_aggregator: LoadAggregator

    def admit(self, node: ProxyNode, /) -> tuple[int, Optional[Rejection]]:
        """Decides on a proxy; returns its epoch, and a rejection if it is not admitted."""

    def failover_metadata(self, node: ProxyNode, /) -> Mapping[str, str]:
        """Returns the metadata that tells an admitted proxy to which controllers to fail over."""

    def on_join(self, session: Session, /) -> None:
        """Handles the admission of a proxy."""

    def on_leave(self, session: Session, /) -> None:
        """Handles the end of an admitted proxy's stream."""

    def on_nack(self, session: Session, nack: Nack, /) -> None:
        """Handles a NACK of a proxy."""

    def on_ack(self, session: Session, type_url: str, version: Version, /) -> None:
        """Handles an ACK of a proxy."""

    def on_response_sent(
        self, session: Session, version: Version, parts: Collection[str], /
    ) -> None:
        """Records that a version of these parts of a proxy's tables is sent to the proxy."""

    def endpoint_weights(self, session: Session, request_class: int, /) -> Mapping[int, float]:
        """Returns the weights of the endpoints in a proxy's current table, by endpoint index."""

    def endpoint_address(self, endpoint: int, /) -> tuple[str, int, str]:
        """Returns an endpoint's address, port and zone."""

    def find_endpoint(self, address: tuple[str, int], /) -> Optional[int]:
        """Returns the endpoint at an address and port, or None if there is none."""

    def accepts_report(self, session: Session, now: float, /) -> bool:
        """Returns whether to process a load report, which is dropped otherwise."""

    def on_report_processed(self, session: Session, started_at: float, /) -> None:
        """Records that a load report was processed, beginning at `started_at`."""

    def report_interval(self, session: Optional[Session], /) -> float:
        """Returns the seconds between load reports of a proxy.

        `session` is None for a proxy that has not joined.
        """
