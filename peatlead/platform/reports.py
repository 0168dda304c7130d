"""Translation of reports from peers into planner events."""

from typing import Optional, Union

from .. import interface
from ..controller.endpoint_registry import EndpointRegistry
from ..planner.input_bounds import endpoint_stats_are_usable, request_stats_are_usable
from .messages import Acknowledgement, EndpointOutcomes, RequestDemand
from .session_owner import Report

ReportEvent = Union[interface.EndpointStats, interface.RequestStats, interface.Acknowledged]


class ReportTranslator:
    """Converts reports to events, with the planner's numbers in place of names."""

    def __init__(
        self,
        registry: EndpointRegistry,
        class_names: list[str],
        proxy_count: int,
        reporting_interval: float,
    ) -> None:
        self.registry = registry
        self.reporting_interval = reporting_interval  # seconds
        self.class_numbers = {name: number for number, name in enumerate(class_names)}
        self.proxy_count = proxy_count

    def to_event(self, sender: Optional[int], report: Report) -> Optional[ReportEvent]:
        """Return the event, or None if the report is not valid for its sender.

        A report is not valid if it names an unknown endpoint, zone, request class or proxy, or if a
        proxy sent it for another proxy. `sender` is the number of the sending proxy, or None for a
        collector.
        """
        if type(report) is Acknowledgement:
            return to_acknowledged(sender, report)
        if type(report) is EndpointOutcomes:
            return self.to_endpoint_stats(report)
        if type(report) is RequestDemand:
            return self.to_request_stats(sender, report)
        return None

    def is_usable(self, event: ReportEvent) -> bool:
        """Return whether the planner can use the numbers of an event."""
        if type(event) is interface.EndpointStats:
            return endpoint_stats_are_usable(event, self.reporting_interval)
        if type(event) is interface.RequestStats:
            return request_stats_are_usable(event, self.reporting_interval)
        return True

    def to_endpoint_stats(self, report: EndpointOutcomes) -> Optional[interface.EndpointStats]:
        """Convert a zone's report on an endpoint; return None if either name is unknown."""
        endpoint = self.registry.numbers.get(report.endpoint)
        zone = self.registry.zones.get(report.zone)
        if endpoint is None or zone is None:
            return None
        return interface.EndpointStats(
            endpoint,
            zone,
            int(report.attempts),
            int(report.errors),
            report.window,
            report.mean_latency,
            report.load_report,
        )

    def to_request_stats(
        self, sender: Optional[int], report: RequestDemand
    ) -> Optional[interface.RequestStats]:
        """Convert a report on a proxy's requests.

        The result is None if the report is invalid or was sent by another proxy.
        """
        class_number = self.class_numbers.get(report.request_class)
        if class_number is None or report.proxy >= self.proxy_count:
            return None
        if sender not in (None, report.proxy):
            return None
        return interface.RequestStats(
            report.proxy,
            class_number,
            int(report.requests),
            int(report.unanswered),
            report.window,
        )


def to_acknowledged(
    sender: Optional[int], report: Acknowledgement
) -> Optional[interface.Acknowledged]:
    """Convert an acknowledgement; return None if another proxy than the one it names sent it."""
    if report.proxy != sender:
        return None
    return interface.Acknowledged(report.proxy, report.nonce, report.duration)
