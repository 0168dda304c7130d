"""Translation of peers' reports into the planner's events."""

from typing import Optional, Union

from .. import interface
from ..controller.endpoint_registry import EndpointRegistry
from .messages import Acknowledgement, EndpointOutcomes, RequestDemand
from .session_owner import Report

ReportEvent = Union[interface.EndpointStats, interface.RequestStats, interface.Acknowledged]


class ReportTranslator:
    """Replaces the names in reports by the numbers that the planner uses."""

    def __init__(
        self, registry: EndpointRegistry, request_classes: list[str], proxies: int
    ) -> None:
        self.registry = registry
        self.class_numbers = {name: number for number, name in enumerate(request_classes)}
        self.proxies = proxies  # how many there are

    def to_event(self, sender: Optional[int], report: Report) -> Optional[ReportEvent]:
        """Return the event, or None for a report that names what does not exist.

        `sender` is the number of the proxy that reports, None for a collector.
        """
        if type(report) is Acknowledgement:
            return acknowledged(sender, report)
        if type(report) is EndpointOutcomes:
            return self.endpoint_stats(report)
        if type(report) is RequestDemand:
            return self.request_stats(sender, report)
        return None

    def endpoint_stats(self, report: EndpointOutcomes) -> Optional[interface.EndpointStats]:
        """Return what a zone's proxies met at an endpoint."""
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

    def request_stats(
        self, sender: Optional[int], report: RequestDemand
    ) -> Optional[interface.RequestStats]:
        """Return a proxy's requests; a collector may report on any proxy, a proxy on itself."""
        class_number = self.class_numbers.get(report.request_class)
        if class_number is None or report.proxy >= self.proxies:
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


def acknowledged(
    sender: Optional[int], report: Acknowledgement
) -> Optional[interface.Acknowledged]:
    """Return a proxy's acknowledgement, which only that proxy may send."""
    if report.proxy != sender:
        return None
    return interface.Acknowledged(report.proxy, report.nonce, report.duration)
