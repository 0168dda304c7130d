"""Planners, endpoints and reports for tests."""

from peatlead import interface
from peatlead.planner.planner import Planner

SETTINGS = {
    "stewards": 1,
    "proxies": 4,
    "zone": 0,
    "zones": ["z0", "z1"],
    "machines": ["m"],
    "roster_mode": "pushed",
    "channel_rate": 1000.0,
    "message_head": 6.0,
    "queue_most": 2000.0,
    "messages_most": 0,
    "messages_span": 10.0,
    "push_delay": 0.3,
    "push_delay_most": 1.0,
    "bare_most": 3.0,
    "sums_every": 1.0,
    "probing": True,
    "report_fields": [],
    "cold_share": 0.2,
    "warm_after": 15.0,
    "tip_multiple": 4.0,
    "tip_span": 2.0,
    "drain_grace": 2.0,
    "value_of_whole": 0.5,
    "value_of_worst_kind": 0.1,
    "req_kinds": [
        {
            "name": "read",
            "response_target": 0.8,
            "client_timeout": 2.5,
            "repeat": "replayable",
            "gain": 2.0,
            "drops_repeats_in": "all",
            "repeat_window": 5.0,
            "late_gain": 0.1,
            "own_zone": False,
            "write": False,
        },
        {
            "name": "pay",
            "response_target": 0.5,
            "client_timeout": 1.2,
            "repeat": "non-replayable",
            "gain": 6.0,
            "drops_repeats_in": "all",
            "repeat_window": 5.0,
            "late_gain": 0.1,
            "own_zone": False,
            "write": True,
        },
    ],
}


def make_endpoint(number, zone=0, phase="ready", started_at=0.0, weight=1.0):
    """Return an entry of the endpoint list; four endpoints share a cell."""
    name = b"host-%d" % number
    return interface.Endpoint(number, name, zone, 0, number // 4, phase, weight, started_at)


def make_planner(endpoints=8, proxies=4, zones=2, now=100.0, **settings):
    """Return a planner with an endpoint list and proxies that have tables.

    Endpoints and proxies are distributed over the zones in turn. The commands that follow from the
    list and the connections are discarded.
    """
    planner = Planner({**SETTINGS, **settings}, 1)
    listed = tuple(make_endpoint(number, number % zones) for number in range(endpoints))
    events = [interface.EndpointUpdate("remembered", 1, listed)]
    events += [
        interface.ProxyConnected(number, number % zones, 10.0, True) for number in range(proxies)
    ]
    planner.decide(now, events)
    return planner


def of_type(commands, command_type):
    """Return the commands of one type."""
    return [command for command in commands if isinstance(command, command_type)]


def zones_of(planner, table):
    """Return the zones of the endpoints that a table names."""
    return {planner.endpoints[number].zone for number in table}


def report_round(planner, errors=None, utilization=0.4, latency=0.2, failed_checks=0):
    """Run a round with a report of 10 attempts at each endpoint, at a cycle of 5 seconds.

    If `errors` is given, this number of attempts at endpoint 0 fails, and `failed_checks`
    consecutive health checks of endpoint 0 time out. Return the commands of the round's end.
    """
    now = planner.now + 1.0
    planner.load_statistics.reporting_cycle = 5.0
    events = [
        interface.EndpointStats(number, 0, 10, 0, 3.0, latency, {"util": utilization})
        for number in planner.endpoints
    ]
    if errors is not None:
        events[0] = interface.EndpointStats(0, 0, 10, errors, 3.0, 1.1, {"util": 0.9})
        events += [interface.HealthCheckResult(0, "timed out", 0.25, None)] * failed_checks
    planner.decide(now, events)
    return planner.decide(now + 0.3, [interface.TimerFired(0)])
