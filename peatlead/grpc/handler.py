"""What the gRPC server expects of the controller behind it."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import TYPE_CHECKING, Optional, Protocol

from ..tables.version import Version
from .discovery import Nack
from .load_aggregation import LoadAggregator
from .proxy_node import ProxyNode

if TYPE_CHECKING:
    from .session import Session


# How the stream of a proxy is ended that is not admitted: status, text and trailing metadata.
Rejection = tuple[int, str, Mapping[str, str]]


class ProxyHandler(Protocol):
    """The controller's part: admission, tables, and load reports of proxies."""

    load_aggregator: LoadAggregator

    def admit(self, node: ProxyNode, /) -> tuple[int, Optional[Rejection]]:
        """The epoch of an admitted proxy, or a Rejection."""

    def failover_metadata(self, node: ProxyNode, /) -> Mapping[str, str]:
        """Metadata for an admitted proxy: where to connect when this controller ends."""

    def on_join(self, session: Session, /) -> None:
        """A proxy has been admitted."""

    def on_leave(self, session: Session, /) -> None:
        """An admitted proxy's stream has ended."""

    def on_nack(self, session: Session, refusal: Nack, /) -> None:
        """A proxy has sent a NACK."""

    def on_ack(self, session: Session, type_url: str, version: Version, /) -> None:
        """A proxy has sent an ACK."""

    def on_response_sent(
        self, session: Session, version: Version, parts: Collection[str], /
    ) -> None:
        """A version of these parts of a proxy's tables is sent to it."""

    def endpoint_weights(self, session: Session, request_class: int, /) -> Mapping[int, float]:
        """The endpoints that a proxy is to hold now, and their weights."""

    def address_of(self, endpoint: int, /) -> tuple[str, int, str]:
        """An endpoint's address, port and zone."""

    def endpoint_at(self, place: tuple[str, int], /) -> Optional[int]:
        """The endpoint at an address and port."""

    def accepts_report(self, session: Session, now: float, /) -> bool:
        """Whether a load report is processed, or shed."""

    def on_report_processed(self, session: Session, started: float, /) -> None:
        """A load report has been processed since `started`."""

    def report_interval(self, session: Optional[Session], /) -> float:
        """Seconds between load reports of a proxy; None: of one that is not connected."""
