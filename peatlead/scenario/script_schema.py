"""The builtins of day scripts and their fields, with checks, defaults and descriptions.

The names of builtins and fields are a format and differ from the terms of the code: a host is an
endpoint, a desk is a network of DNS clients, an agent is a proxy, a steward is a controller, and a
kind of request is a request class.
"""

from ..settings.checks import (
    flag,
    fraction,
    list_of,
    number,
    one_of,
    positive_seconds,
    seconds,
    text,
)
from ..settings.fields import Field, Schema

# Kinds of stand-in resolvers; see peatlead.standin for their caching behaviour.
RESOLVER_KINDS = ("keeps", "twice", "tenfold", "least", "stale")
START_TIME = Field(seconds, 0.0, "seconds from the start of the day")
DURATION = Field(positive_seconds, 10.0, "duration in seconds")
ENDPOINT_FRACTION = Field(fraction, 0.1, "fraction of the endpoints")
# The fields of faults of endpoints: when a fault occurs and which endpoints it affects.
ENDPOINT_FAULT_FIELDS = {
    "at": START_TIME,
    "length": DURATION,
    "part": ENDPOINT_FRACTION,
    "zone": Field(text, "", "only endpoints of this zone; empty: of all zones"),
}

# Builtins that a script calls at most once.
SETUP_BUILTINS: Schema = {
    "day": {
        "length": Field(positive_seconds, 60.0, "seconds during which requests are sent"),
        "seed": Field(number(0, whole=True), 1, "seed of all random numbers"),
        "stewards": Field(number(1, 9, True), 2, "number of controllers"),
    },
    "fleet": {
        "zones": Field(list_of(text, 1), ["bangna", "silom", "rama"], "names of the zones"),
        "hosts": Field(number(1, 2000, True), 24, "number of endpoints at the start"),
        "pod": Field(number(1, 100, True), 4, "endpoints per pod"),
        "cores": Field(
            list_of(number(1, 64, True), 1),
            [2, 4],
            "cores of the endpoints, in turn; also their listed weights",
        ),
        "cold_share": Field(
            number(0.01, 1.0), 0.25, "fraction of its capacity that an endpoint has after its start"
        ),
        "warm_after": Field(
            positive_seconds,
            12.0,
            "seconds from an endpoint's start until it has all of its capacity",
        ),
        "tip_multiple": Field(
            number(1.0), 3.0, "multiple of its capacity above which load makes a cold endpoint fail"
        ),
        "tip_span": Field(
            positive_seconds, 1.5, "seconds of such load that make a cold endpoint fail"
        ),
        "deep_probes": Field(flag, True, "health checks are queued and processed like requests"),
        "connections": Field(
            number(1, 100000, True), 400, "maximum number of connections of an endpoint"
        ),
    },
    "desks": {
        "views": Field(number(0, 5000, True), 60, "number of client networks, each with a view"),
        "rate": Field(number(0.1, 1e6), 300.0, "total requests per second"),
        "uneven": Field(
            number(0.0, 3.0), 1.0, "standard deviation of the logarithm of the networks' rates"
        ),
        "biggest": Field(fraction, 0.0, "fraction of all requests that one network sends"),
        "resolvers": Field(
            list_of(one_of(*RESOLVER_KINDS), 1), ["keeps"], "kinds of resolvers, in turn"
        ),
        "habits": Field(
            list_of(one_of("first", "any", "same", "sorted", "holds"), 1),
            ["first", "any", "same"],
            "how clients choose an address, in turn",
        ),
        "shared": Field(
            number(0, 1000, True),
            4,
            "networks whose resolver serves two networks and sends the client subnet",
        ),
        "retries": Field(number(0, 5, True), 2, "number of retries of a client"),
    },
    "agents": {
        "many": Field(
            number(0, 5000, True), 0, "number of proxies that receive assignments over gRPC"
        ),
        "rate": Field(number(0.1, 1e6), 300.0, "total requests per second"),
        "uneven": Field(
            number(0.0, 3.0), 0.7, "standard deviation of the logarithm of the proxies' rates"
        ),
        "pick": Field(
            one_of("random", "lighter of two"), "lighter of two", "how a proxy chooses an endpoint"
        ),
        "fails_to_shun": Field(
            number(0, 100, True), 3, "consecutive failures after which a proxy avoids an endpoint"
        ),
        "share": Field(flag, True, "whether the controllers form one fleet"),
        "incremental": Field(
            flag, False, "use incremental xDS and check each delta; False: state of the world"
        ),
    },
    "steering": {
        "lifetime": Field(number(0, 60, True), 1, "lifetime (TTL) of answers in seconds"),
        "addresses": Field(number(1, 32, True), 8, "number of addresses in an answer"),
        "drain_grace": Field(positive_seconds, 3.0, "see the controllers' settings"),
        "bare_most": Field(positive_seconds, 4.0, "see the controllers' settings"),
        "gone_is_advice": Field(flag, True, "see the controllers' settings"),
        "probe_deadline": Field(positive_seconds, 0.8, "see the controllers' settings"),
    },
}
# Builtins that add faults and load changes; each call adds one of them.
FAULT_BUILTINS: Schema = {
    "silent": ENDPOINT_FAULT_FIELDS,
    "hung": ENDPOINT_FAULT_FIELDS,
    "quick_errors": {
        **ENDPOINT_FAULT_FIELDS,
        "errors": Field(fraction, 0.8, "fraction of requests that fail"),
    },
    "release": {
        **ENDPOINT_FAULT_FIELDS,
        "drain": Field(positive_seconds, 3.5, "seconds from the start of draining until the stop"),
        "at_once": Field(fraction, 0.15, "fraction of the fleet that is replaced at the same time"),
    },
    "pod_restart": {"at": START_TIME, "pods": Field(number(1, 100, True), 1, "number of pods")},
    "pauses": {
        **ENDPOINT_FAULT_FIELDS,
        "pause": Field(positive_seconds, 0.4, "seconds per pause"),
        "every": Field(positive_seconds, 3.0, "seconds between the starts of pauses"),
    },
    "neighbour": {**ENDPOINT_FAULT_FIELDS, "stolen": Field(fraction, 0.5, "fraction of the cores")},
    "lost_answers": {
        **ENDPOINT_FAULT_FIELDS,
        "lost": Field(fraction, 0.2, "fraction of the answers"),
    },
    "heavy_tail": {
        "at": START_TIME,
        "length": DURATION,
        "kind": Field(text, "record-lookup", "name of the request class"),
        "share": Field(fraction, 0.02, "fraction of the requests of that class"),
        "times": Field(number(1.0), 10.0, "factor of their CPU work"),
    },
    "burst": {
        "at": START_TIME,
        "length": DURATION,
        "times": Field(number(0.0), 2.0, "factor of the request rate"),
    },
    "shift": {
        "at": START_TIME,
        "length": DURATION,
        "zone": Field(text, "", "zone whose networks send more requests; empty: a random zone"),
        "times": Field(number(0.0), 1.8, "factor of that zone's request rate"),
    },
    "steward_killed": {
        "at": START_TIME,
        "length": DURATION,
        "steward": Field(number(0, 8, True), 0, "number of the controller"),
    },
    "steward_frozen": {
        "at": START_TIME,
        "length": DURATION,
        "steward": Field(number(0, 8, True), 1, "number of the controller"),
    },
    "stewards_struck": {
        "at": START_TIME,
        "length": DURATION,
        "every": Field(positive_seconds, 6.0, "mean seconds between outages"),
        "most": Field(positive_seconds, 8.0, "maximum seconds of an outage"),
        "freezes": Field(fraction, 0.5, "fraction of outages that are freezes instead of kills"),
    },
    "rollback": {
        "at": START_TIME,
        "length": DURATION,
        "back": Field(seconds, 3.0, "seconds to go back"),
        "zone": Field(text, "", "only proxies of this zone; empty: of all zones"),
        "share": Field(fraction, 1.0, "fraction of the proxies"),
        "over": Field(seconds, 2.0, "seconds over which the rollback is spread"),
        "steward": Field(number(0, 8, True), 0, "number of the controller that is asked first"),
    },
    "fleet_drained": {
        "at": START_TIME,
        "steward": Field(number(0, 8, True), 0, "number of the controller that is drained"),
    },
    "link_cut": {
        "at": START_TIME,
        "length": DURATION,
        "one": Field(text, "", "a zone or an address"),
        "other": Field(text, "", "another zone or address"),
        "both": Field(flag, True, "in both directions"),
    },
    "link_slow": {
        "at": START_TIME,
        "length": DURATION,
        "one": Field(text, "", "a zone or an address"),
        "other": Field(text, "", "another zone or address"),
        "late": Field(positive_seconds, 0.3, "additional seconds in one direction"),
    },
    "datagrams_lost": {
        "at": START_TIME,
        "length": DURATION,
        "part": Field(fraction, 0.1, "fraction of all datagrams"),
    },
    "list_empty": {"at": START_TIME, "length": DURATION},
    "list_torn": {"at": START_TIME, "length": DURATION},
    "list_old": {"at": START_TIME, "length": DURATION},
    "list_shrunk": {
        "at": START_TIME,
        "length": DURATION,
        "part": Field(fraction, 0.5, "fraction of the endpoints that the list omits"),
    },
    "list_ghosts": {
        "at": START_TIME,
        "length": DURATION,
        "ghosts": Field(number(1, 200, True), 6, "number of listed endpoints that do not exist"),
    },
}
# The fields of the builtin `request_kind`.
REQUEST_CLASS_FIELDS: dict[str, Field] = {
    "name": Field(text, "", "name of the request class"),
    "share": Field(fraction, 1.0, "fraction of the requests"),
    "work": Field(positive_seconds, 0.1, "mean CPU seconds of a request"),
    "response_target": Field(positive_seconds, 0.8, "see the controllers' settings"),
    "client_timeout": Field(positive_seconds, 2.5, "see the controllers' settings"),
    "gain": Field(number(0.0), 1.0, "see the controllers' settings"),
    "repeat": Field(
        one_of("replayable", "uniqued", "non-replayable"),
        "replayable",
        "whether a request may be repeated",
    ),
}
# The request classes of a script that does not call `request_kind`.
DEFAULT_REQUEST_CLASSES = [
    {
        "name": "record-lookup",
        "share": 0.59,
        "work": 0.12,
        "response_target": 0.8,
        "client_timeout": 2.5,
        "gain": 2.0,
        "repeat": "replayable",
    },
    {
        "name": "detail-update",
        "share": 0.21,
        "work": 0.06,
        "response_target": 0.6,
        "client_timeout": 1.8,
        "gain": 2.0,
        "repeat": "uniqued",
    },
    {
        "name": "fee-filing",
        "share": 0.2,
        "work": 0.06,
        "response_target": 0.6,
        "client_timeout": 1.8,
        "gain": 6.0,
        "repeat": "non-replayable",
    },
]
