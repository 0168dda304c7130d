"""Answers operators' questions about endpoints, views, proxies and the fleet.

`table_queries` answers questions about published tables.
"""

from functools import partial
from typing import TYPE_CHECKING, Protocol, runtime_checkable

from ..fleet.gossip import GossipNode
from ..grpc.session import Session
from ..planner.endpoint_summary import EndpointSummary
from .control_socket import Answer, Handler, Question
from .proxies import Proxies

if TYPE_CHECKING:
    from .controller import Controller


@runtime_checkable
class DescribesEndpoints(Protocol):
    """A planner that can describe endpoints; the simple planners for comparisons cannot."""

    def describe(self, endpoint: int, now: float, /) -> EndpointSummary | None:
        """Return an endpoint's summary, or None for an unknown endpoint.

        `now` is in seconds on the loop's clock.
        """


def describe_endpoint(summary: EndpointSummary) -> Answer:
    """Return the planner's summary of an endpoint as operators see it."""
    return {
        "phase": summary.phase,
        "usable": summary.usable,
        "share": summary.weight_fraction,
        "reach": summary.traffic_fraction,
        "cold for s": None if summary.cold_for is None else round(summary.cold_for, 1),
        "out for s more": None if summary.ejected_for is None else round(summary.ejected_for, 1),
        "tries": round(summary.attempts, 1),
        "bad": round(summary.errors, 1),
        "load": round(summary.utilization, 2),
        "probes failed in a row": summary.failed_checks,
    }


class OperatorQueries:
    """Answers questions about the state of one controller."""

    def __init__(self, controller: "Controller") -> None:
        self._controller = controller

    def handlers(self) -> dict[str, Handler]:
        """Return the handlers of this controller, by the `ask` of the question."""
        handlers: dict[str, Handler] = {
            "answer": self.answer,
            "status": self.status,
            "drained": self.drained,
            "tables": self._controller.publication.answer,
            "why": self.why,
        }
        if self._controller.gossip:
            handlers["fleet"] = partial(self.fleet, self._controller.gossip)
        return handlers

    def answer(self, question: Question) -> Answer:
        """Return the endpoints that answers to a view may name now, with their weights."""
        controller = self._controller
        view = next((view for view in controller.views.views if view.name == question.view), None)
        label = question.service or controller.settings["service"][0]["label"]
        service = controller.answers.services.get(label)
        if view is None or service is None:
            return {
                "error": f"expected a view and a service of the settings, got {question.view!r} "
                f"and {question.service!r}"
            }
        source = controller.answers.sources[view.index][service]
        return {
            "view": view.name,
            "zone": controller.zone_names[view.zone],
            "lifetime": controller.answers.ttl if source.cacheable else 0,
            "lines": [
                self._describe_line(endpoint, weight, endpoint in source.weights)
                for endpoint, weight in sorted(source.planned_weights.items())
            ],
            "fresh": controller.answer_freshness.fresh,
        }

    def why(self, question: Question) -> Answer:
        """Return the state of an endpoint or proxy, with the withdrawals that concern it."""
        controller = self._controller
        endpoint, planner = controller.registry.numbers.get(question.host), controller.planner
        if endpoint is not None and isinstance(planner, DescribesEndpoints):
            now = controller.loop.time()
            summary = planner.describe(endpoint, now)
            if summary is not None:
                return self._explain_endpoint(question.host, endpoint, summary, now)
        proxies = controller.proxies
        session = proxies.server.sessions.get(question.host) if proxies else None
        if proxies is not None and session is not None:
            return self._explain_proxy(question.host, proxies, session)
        return {"error": f"expected a host of the list or a joined proxy, got {question.host!r}"}

    def drained(self, question: Question) -> Answer:
        """Return whether DNS answers name an endpoint, and how long cached answers may do so."""
        controller = self._controller
        endpoint = controller.registry.numbers.get(question.host)
        if endpoint is None:
            return {"error": f"expected a host of the list, got {question.host!r}"}
        views = controller.dns_publication.views_with_endpoint(endpoint)
        elapsed = controller.dns_publication.seconds_since_last_named(endpoint)
        remaining = None
        if not views:
            remaining = max(0.0, controller.answers.ttl - (elapsed or 0.0))
        return {
            "host": question.host,
            "phase": controller.registry.entries[endpoint].phase,
            "named by views": len(views),
            "seconds since the last answer": elapsed,
            "seconds until no kept answer names it": remaining,
        }

    def fleet(self, gossip: GossipNode, question: Question) -> Answer:
        """Execute `drain`, `undrain` or `why`; except for `why`, return the fleet's status."""
        controller = self._controller
        proxies = controller.proxies
        ownership = gossip.ownership
        if question.do == "drain":
            ownership.draining = True
            controller.log("draining", proxies=controller.count_proxies())
        elif question.do == "undrain":
            ownership.draining = False
        elif question.do == "why" and proxies:
            return dict(proxies.explain_ownership(question.host))
        return {
            "steward": controller.own_settings["name"],
            "draining": ownership.draining,
            "members": self._describe_members(gossip),
            "messages": dict(gossip.counts),
            **(proxies.status() if proxies else {}),
            "pins": sorted(controller.publication.pins.unended()),
            "owned": self._owned_proxies(gossip),
        }

    def status(self, _: Question) -> Answer:
        """Return counters of all parts of this controller."""
        controller = self._controller
        status: Answer = {}
        if controller.proxies:
            status["proxies"] = controller.proxies.status()
        if controller.secondaries:
            serial = controller.secondaries.history.serial
            status["secondaries"] = {**controller.secondaries.counts, "serial": serial}
        return {
            **status,
            "steward": controller.own_settings["name"],
            "views": len(controller.view_numbers),
            "hosts": len(controller.registry.entries),
            "decided": controller.batch_count,
            "slowest_decide": controller.longest_decision,
            "answers": dict(controller.answers.counts),
            "unanswered": controller.dns_server.unanswered_count,
            "prepared": controller.answers.prepared_count,
            "channel": self._describe_channel(),
            "burden": controller.overload.status(),
            "probes_dropped": controller.health_checks.prober.dropped_count,
            "levels": controller.health_checks.admission_header(),
            "fresh": controller.answer_freshness.fresh,
        }

    def _describe_channel(self) -> Answer:
        channel = self._controller.channel
        return {
            "waiting": channel.size,
            "deepest": channel.peak_size,
            "most": channel.max_size,
            "past": channel.overflow_count,
        }

    def _describe_line(self, endpoint: int, weight: float, named: bool) -> Answer:
        entry = self._controller.registry.entries[endpoint]
        return {
            "host": entry.name,
            "address": entry.address,
            "zone": entry.zone,
            "weight": weight,
            "listed": entry.weight,
            "named": named,
        }

    def _explain_endpoint(
        self, name: str, endpoint: int, summary: EndpointSummary, now: float
    ) -> Answer:
        controller = self._controller
        return {
            "host": name,
            "steward": controller.own_settings["name"],
            **describe_endpoint(summary),
            "holders": summary.subscribers,
            **controller.propagation.status(now, endpoint),
        }

    def _explain_proxy(self, name: str, proxies: Proxies, session: Session) -> Answer:
        controller = self._controller
        endpoint_name = controller.publication.endpoint_name
        pending_endpoints = controller.propagation.pending_endpoints.get(session.number, ())
        return {
            "proxy": name,
            "steward": controller.own_settings["name"],
            "zone": session.node.zone,
            "joined seconds ago": round(controller.loop.time() - session.admitted_at, 1),
            "epoch": session.epoch,
            "says it holds": str(proxies.acknowledged_version(session.number)),
            "waits for its window": not session.call.idle,
            "losses under way": [endpoint_name(endpoint) for endpoint in pending_endpoints],
            "lines": {
                request_class: {
                    endpoint_name(endpoint): weight
                    for endpoint, weight in sorted(proxies.endpoint_weights(session, index).items())
                }
                for request_class, index in proxies.server.class_indices.items()
            },
        }

    def _describe_members(self, gossip: GossipNode) -> Answer:
        now = self._controller.loop.time()
        return {
            member.info.name: {
                "state": member.info.state,
                "since": now - member.state_since,
                "proxies": member.info.load,
                "draining": member.info.draining,
                "incarnation": member.info.incarnation,
            }
            for member in gossip.membership.members.values()
        }

    def _owned_proxies(self, gossip: GossipNode) -> Answer:
        """Return the epoch of each proxy that has joined here, and the seconds since it joined."""
        now = self._controller.loop.time()
        proxies = self._controller.proxies
        sessions = proxies.server.sessions if proxies else {}
        return {
            name: [epoch, now - sessions[name].admitted_at]
            for name, epoch in sorted(gossip.ownership.epochs.items())
            if name in sessions
        }
