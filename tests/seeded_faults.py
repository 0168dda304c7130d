"""Seeded faults: patches that break the software on purpose, to test the lab's fault search.

`python -m tests.seeded_faults [SEEDS]` simulates random scenarios until each fault is found, and
prints how many seeds were needed. SEEDS is the maximum number of seeds per fault.
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
from peatlead.lab.random_scenario import draw_scenario
from peatlead.standin.xds_proxies import StandInProxy


@contextlib.contextmanager
def ownership_not_checked():
    """Proxies apply commands of earlier owners."""
    original = StandInProxy.receive_response

    def receive_response(self, call, controller, data):
        self.current_call = call
        original(self, call, controller, data)

    with (
        mock.patch.object(Fence, "allows", lambda self, *_: True),
        mock.patch.object(StandInProxy, "receive_response", receive_response),
    ):
        yield


def withdraws_endpoint(command):
    """Return whether a planner command withdraws an endpoint from tables."""
    if type(command) is interface.SetEntry:
        return not command.weight
    return type(command) is interface.WithdrawEndpoint


def withdrawals_forgotten():
    """Withdrawals of endpoints are not published."""
    original = Publisher.route

    def route(self, commands):
        return original(self, [command for command in commands if not withdraws_endpoint(command)])

    return mock.patch.object(Publisher, "route", route)


def warmup_limit_ignored():
    """Endpoints that are warming up get 50 times their listed weight."""
    original = warmup_thinning.WarmupThinning.decide

    def decide(self, changed, full_weights, rates=()):
        changed = {
            view: {
                endpoint: 50.0 * full_weights[endpoint] / max(0.01, weight)
                for endpoint, weight in table.items()
            }
            for view, table in changed.items()
        }
        return original(self, changed, full_weights, rates)

    return mock.patch.object(warmup_thinning.WarmupThinning, "decide", decide)


def lifetime_too_long():
    """Answers have a much longer lifetime (TTL) than in the settings."""
    original = Controller.start

    async def start(self):
        self.answers.ttl = 30
        await original(self)

    return mock.patch.object(Controller, "start", start)


def retried_after_any_failure():
    """Proxies retry requests that must not be sent twice."""
    original = Publisher.set_admission

    def set_admission(self, messages, command):
        original(self, messages, command._replace(retry_policy="once"))

    return mock.patch.object(Publisher, "set_admission", set_admission)


def error_on_withdrawal():
    """Applying a withdrawal raises an exception."""
    original = ViewState.apply

    def apply(self, operations):
        if any(key[0] == "withdrawn" and value for key, value in operations.items()):
            raise KeyError("planted")
        original(self, operations)

    return mock.patch.object(ViewState, "apply", apply)


def tables_emptied_by_withdrawal():
    """One withdrawal removes all endpoints from a table."""
    original = ViewState.weights
    return mock.patch.object(
        ViewState,
        "weights",
        lambda self, request_class: {} if self.withdrawn else original(self, request_class),
    )


def channel_rate_ignored():
    """Every table is published again in each round, even if the channel is full."""
    from peatlead.planner.planner import Planner

    original = Planner.on_timer

    def on_timer(self, event):
        original(self, event)
        for proxy in self.context.joined:
            if proxy.assigned:
                self.commands += [
                    interface.SetEntry(proxy.first_table, endpoint, weight)
                    for endpoint, weight in proxy.entries[0].items()
                ]

    return mock.patch.object(Planner, "on_timer", on_timer)


SEEDED_FAULTS = {  # name: (patch, kind of scenario in which the fault shows)
    "the fence of an agent is not checked": (ownership_not_checked, "fleet"),
    "withdrawals are forgotten": (withdrawals_forgotten, "fleet"),
    "the cold bound is ignored": (warmup_limit_ignored, "dns"),
    "lifetimes are too long": (lifetime_too_long, "dns"),
    "non-replayable reqs are tried again": (retried_after_any_failure, "fleet"),
    "an error when a host leaves": (error_on_withdrawal, "dns"),
    "a drain empties tables": (tables_emptied_by_withdrawal, "dns"),
    "the channel's pace is not looked at": (channel_rate_ignored, "fleet"),
}


def seeds_until_found(name, max_seeds=200, length=16.0):
    """Return (seeds needed, findings), or (None, []) if `max_seeds` seeds found nothing.

    `length` is the simulated time of each scenario in seconds.
    """
    patch, kind = SEEDED_FAULTS[name]
    for seed in range(max_seeds):
        with patch():
            findings = play_day(draw_scenario(seed, kind, length), seed).problems
        if findings:
            return seed + 1, findings
    return None, []


if __name__ == "__main__":
    max_seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 200
    for fault in SEEDED_FAULTS:
        seeds, findings = seeds_until_found(fault, max_seeds)
        print(json.dumps({"planted": fault, "seeds": seeds, "found": findings[:1]}), flush=True)
