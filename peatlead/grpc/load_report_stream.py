"""The load report stream of one proxy (load reporting service, LRS)."""

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
    """Reads the load reports of one proxy, and sends the proxy its report interval."""

    def __init__(self, server: GrpcServer, call: Call) -> None:
        self.server = server
        self.handler = server.handler
        self.call = call
        self.node_id: Optional[str] = None  # None until the first report
        self.sent_interval: Optional[float] = None  # seconds; the interval last sent
        call.on_message = self._on_message

    def _session(self) -> Optional[Session]:
        return None if self.node_id is None else self.server.sessions.get(self.node_id)

    def _on_message(self, data: bytes) -> None:
        started_at = asyncio.get_running_loop().time()
        session = self._session()
        # A report that is not accepted is dropped before the parsing, its most expensive step.
        if session is not None and not self.handler.accepts_report(session, started_at):
            self._send_interval(session)
            return
        try:
            request = lrs_pb2.LoadStatsRequest.FromString(data)
        except DecodeError:
            self.call.finish(StatusCode.INVALID_ARGUMENT, "expected a LoadStatsRequest")
            return
        if self.node_id is None:
            self.node_id = request.node.id
            session = self._session()
        self._send_interval(session)
        if not request.cluster_stats:
            return
        if session is None:  # the proxy is connected to another controller
            self.call.finish(StatusCode.NOT_FOUND, f"proxy {self.node_id!r} has not joined")
            return
        self.handler.load_aggregator.on_report(started_at)
        read_report(
            request,
            self.server.class_indices,
            self.handler.find_endpoint,
            session.number,
            session.zone,
            self.handler.load_aggregator,
        )
        self.handler.on_report_processed(session, started_at)

    def _send_interval(self, session: Optional[Session]) -> None:
        """Sends the report interval if it has changed.

        The interval is sent only in answer to a report, so that a change does not send a message
        to all proxies at once.
        """
        interval = self.handler.report_interval(session)
        if self.sent_interval == interval:
            return
        self.sent_interval = interval
        response = lrs_pb2.LoadStatsResponse(
            send_all_clusters=True, report_endpoint_granularity=True
        )
        response.load_reporting_interval.FromMilliseconds(int(interval * 1000))
        self.call.send(response.SerializeToString())
