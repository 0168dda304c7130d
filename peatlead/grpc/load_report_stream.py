"""One proxy's load report stream (LRS)."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Optional

from envoy.service.load_stats.v3 import lrs_pb2
from google.protobuf.message import DecodeError

from .call import Call
from .framing import StatusCode
from .load_reports import read_report
from .session import Session

if TYPE_CHECKING:
    from .server import GrpcServer


class LoadReportStream:
    """Reads the reports of one proxy, and tells it how often to report."""

    def __init__(self, server: GrpcServer, call: Call) -> None:
        self.server = server
        self.handler = server.handler
        self.call = call
        self.node: Optional[str] = None  # the proxy's id, until the first report
        self.interval: Optional[float] = None  # seconds, as last sent
        call.on_message = self._on_message

    def _session(self) -> Optional[Session]:
        return None if self.node is None else self.server.sessions.get(self.node)

    def _on_message(self, data: bytes) -> None:
        started = asyncio.get_running_loop().time()
        session = self._session()
        # Shed before it is parsed: parsing is most of what a report costs.
        if session is not None and not self.handler.accepts_report(session, started):
            self._send_interval(session)
            return
        try:
            request = lrs_pb2.LoadStatsRequest.FromString(data)
        except DecodeError:
            self.call.finish(StatusCode.INVALID_ARGUMENT, "expected a LoadStatsRequest")
            return
        if self.node is None:
            self.node = request.node.id
            session = self._session()
        self._send_interval(session)
        if not request.cluster_stats:
            return
        if session is None:  # the proxy of another controller
            self.call.finish(StatusCode.NOT_FOUND, "expected a proxy that has joined")
            return
        self.handler.load_aggregator.on_report(started)
        read_report(
            request,
            self.server.class_indices,
            self.handler.endpoint_at,
            session.number,
            session.zone,
            self.handler.load_aggregator,
        )
        self.handler.on_report_processed(session, started)

    def _send_interval(self, session: Optional[Session]) -> None:
        """Sends a changed interval with the answer to a report, never to thousands at once."""
        interval = self.handler.report_interval(session)
        if self.interval == interval:
            return
        self.interval = interval
        response = lrs_pb2.LoadStatsResponse(
            send_all_clusters=True, report_endpoint_granularity=True
        )
        response.load_reporting_interval.FromMilliseconds(int(interval * 1000))
        self.call.send(response.SerializeToString())
