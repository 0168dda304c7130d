"""Seeded faults: patches that break the software on purpose, for the lab's search to find.

`python -m tests.plants [SEEDS]` plays random days until each fault is found, and prints how many
seeds that took.
"""

import contextlib
import json
import sys
from unittest import mock

from peatlead import interface
from peatlead.controller.controller import Controller
from peatlead.controller.publisher import Publisher
from peatlead.controller.view_state import ViewState
from peatlead.dns import warmup_thinning
from peatlead.fleet.ownership import Fence
from peatlead.lab.day import play_day
from peatlead.lab.random_scenario import draw
from peatlead.standin.xds_proxies import Agent


@contextlib.contextmanager
def fence_not_checked():
    """Proxies apply orders of earlier owners."""
    real = Agent.take

    def take(self, call, steward, data):
        self.current = call
        real(self, call, steward, data)

    with (
        mock.patch.object(Fence, "allows", lambda self, *_: True),
        mock.patch.object(Agent, "take", take),
    ):
        yield


def takes_endpoint_away(order):
    """Whether an order takes an endpoint out of tables."""
    if type(order) is interface.SetEntry:
        return not order.weight
    return type(order) is interface.WithdrawEndpoint


def withdrawals_forgotten():
    """Orders that take endpoints away are not published."""
    real = Publisher.route

    def route(self, orders):
        return real(self, [order for order in orders if not takes_endpoint_away(order)])

    return mock.patch.object(Publisher, "route", route)


def cold_bound_ignored():
    """Endpoints that warm up get many times their weight."""
    real = warmup_thinning.WarmupThinning.decide

    def decide(self, changed, listed, heard=()):
        changed = {
            view: {host: 50.0 * listed[host] / max(0.01, weight) for host, weight in table.items()}
            for view, table in changed.items()
        }
        return real(self, changed, listed, heard)

    return mock.patch.object(warmup_thinning.WarmupThinning, "decide", decide)


def lifetime_too_long():
    """Answers may be cached for much longer than the settings say."""
    real = Controller.start

    async def start(self):
        self.answers.lifetime = 30
        await real(self)

    return mock.patch.object(Controller, "start", start)


def retried_after_any_failure():
    """Proxies retry requests that must not be sent twice."""
    real = Publisher.set_admission

    def set_admission(self, out, order):
        real(self, out, order._replace(retry_policy="once"))

    return mock.patch.object(Publisher, "set_admission", set_admission)


def error_when_an_endpoint_leaves():
    """An exception is raised where a withdrawal is applied."""
    real = ViewState.apply

    def apply(self, ops):
        if any(op[0] == "withdrawn" and value for op, value in ops.items()):
            raise KeyError("planted")
        real(self, ops)

    return mock.patch.object(ViewState, "apply", apply)


def tables_emptied_by_a_drain():
    """One withdrawal takes all endpoints out of a table."""
    real = ViewState.weights
    return mock.patch.object(
        ViewState, "weights", lambda self, kind: {} if self.withdrawn else real(self, kind)
    )


def channel_without_pace():
    """Every table is published again each round, whatever the channel's capacity."""
    from peatlead.planner.planner import Planner

    real = Planner.on_timer

    def on_timer(self, event):
        real(self, event)
        for proxy in self.context.joined:
            if proxy.assigned:
                self.commands += [
                    interface.SetEntry(proxy.first_table, host, weight)
                    for host, weight in proxy.entries[0].items()
                ]

    return mock.patch.object(Planner, "on_timer", on_timer)


PLANTS = {  # name: (patch, kind of day that shows it)
    "the fence of an agent is not checked": (fence_not_checked, "fleet"),
    "withdrawals are forgotten": (withdrawals_forgotten, "fleet"),
    "the cold bound is ignored": (cold_bound_ignored, "dns"),
    "lifetimes are too long": (lifetime_too_long, "dns"),
    "non-replayable reqs are tried again": (retried_after_any_failure, "fleet"),
    "an error when a host leaves": (error_when_an_endpoint_leaves, "dns"),
    "a drain empties tables": (tables_emptied_by_a_drain, "dns"),
    "the channel's pace is not looked at": (channel_without_pace, "fleet"),
}


def seeds_until_found(name, most=200, length=16.0):
    """(seeds needed, findings), or (None, []) where `most` seeds were not enough."""
    patch, kind = PLANTS[name]
    for seed in range(most):
        with patch():
            findings = play_day(draw(seed, kind, length), seed).finds
        if findings:
            return seed + 1, findings
    return None, []


if __name__ == "__main__":
    most_seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 200
    for fault in PLANTS:
        seeds, findings = seeds_until_found(fault, most_seeds)
        print(json.dumps({"planted": fault, "seeds": seeds, "found": findings[:1]}), flush=True)
