"""The builtins of day scripts: what each takes, its defaults and its meaning.

Builtins and fields are the language of the scripts and keep their words: a host is an endpoint, a
desk a network of DNS clients, an agent a proxy, a steward a controller, a req a request.
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

# Kinds of stand-in resolver.
KINDS = ("keeps", "twice", "tenfold", "least", "stale")
AT = Field(seconds, 0.0, "seconds into the day")
LENGTH = Field(positive_seconds, 10.0, "seconds that it lasts")
PART = Field(fraction, 0.1, "part of the hosts")
# Which endpoints a fault strikes, and when.
PICK = {
    "at": AT,
    "length": LENGTH,
    "part": PART,
    "zone": Field(text, "", "only hosts there; none: anywhere"),
}

# Builtins that a script calls once at most.
ONCE: Schema = {
    "day": {
        "length": Field(positive_seconds, 60.0, "seconds of reqs"),
        "seed": Field(number(0, whole=True), 1, "of all chance"),
        "stewards": Field(number(1, 9, True), 2, "how many"),
    },
    "fleet": {
        "zones": Field(list_of(text, 1), ["bangna", "silom", "rama"], "halls"),
        "hosts": Field(number(1, 2000, True), 24, "running at the start"),
        "pod": Field(number(1, 100, True), 4, "hosts a pod"),
        "cores": Field(
            list_of(number(1, 64, True), 1), [2, 4], "of hosts in turn; the list weighs them by it"
        ),
        "cold_share": Field(
            number(0.01, 1.0), 0.25, "part of its capacity that a started host has"
        ),
        "warm_after": Field(positive_seconds, 12.0, "seconds until it has all"),
        "tip_multiple": Field(number(1.0), 3.0, "of its capacity pushes a cold host over"),
        "tip_span": Field(positive_seconds, 1.5, "... within this"),
        "deep_probes": Field(flag, True, "a probe waits and is served like a req"),
        "connections": Field(number(1, 100000, True), 400, "that a host accepts"),
    },
    "desks": {
        "views": Field(number(0, 5000, True), 60, "desks, each its own network"),
        "rate": Field(number(0.1, 1e6), 300.0, "reqs a second of all"),
        "uneven": Field(number(0.0, 3.0), 1.0, "spread of the desks' rates (of their logarithm)"),
        "biggest": Field(fraction, 0.0, "part of all reqs that one desk brings"),
        "resolvers": Field(list_of(one_of(*KINDS), 1), ["keeps"], "kinds of resolver, in turn"),
        "habits": Field(
            list_of(one_of("first", "any", "same", "sorted", "holds"), 1),
            ["first", "any", "same"],
            "of clients, in turn",
        ),
        "shared": Field(
            number(0, 1000, True), 4, "desks behind resolvers that serve two and tell subnets"
        ),
        "retries": Field(number(0, 5, True), 2, "a client's own"),
    },
    "agents": {
        "many": Field(
            number(0, 5000, True), 0, "proxies that follow assignments over gRPC; 0: none"
        ),
        "rate": Field(number(0.1, 1e6), 300.0, "reqs a second of all"),
        "uneven": Field(number(0.0, 3.0), 0.7, "spread of their rates (of their logarithm)"),
        "pick": Field(
            one_of("random", "lighter of two"), "lighter of two", "how they choose a line"
        ),
        "fails_to_shun": Field(
            number(0, 100, True), 3, "failures in a row at which one shuns a host"
        ),
        "share": Field(flag, True, "stewards are one fleet; False: they share nothing"),
        "incremental": Field(
            flag, False, "they follow deltas and check them; False: state of the world"
        ),
    },
    "steering": {
        "lifetime": Field(number(0, 60, True), 1, "of answers, seconds"),
        "addresses": Field(number(1, 32, True), 8, "in an answer"),
        "drain_grace": Field(positive_seconds, 3.0, "see the steward's settings"),
        "bare_most": Field(positive_seconds, 4.0, "see the steward's settings"),
        "gone_is_advice": Field(flag, True, "see the steward's settings"),
        "probe_deadline": Field(positive_seconds, 0.8, "see the steward's settings"),
    },
}
# Faults and load changes, each with the time at which it begins.
VERBS: Schema = {
    "silent": PICK,
    "hung": PICK,
    "quick_errors": {**PICK, "errors": Field(fraction, 0.8, "part of reqs that err")},
    "release": {
        **PICK,
        "drain": Field(positive_seconds, 3.5, "from drained to stopped"),
        "at_once": Field(fraction, 0.15, "part of the fleet in work at a time"),
    },
    "pod_restart": {"at": AT, "pods": Field(number(1, 100, True), 1, "how many pods")},
    "pauses": {
        **PICK,
        "pause": Field(positive_seconds, 0.4, "seconds of each"),
        "every": Field(positive_seconds, 3.0, "seconds between"),
    },
    "neighbour": {**PICK, "stolen": Field(fraction, 0.5, "part of the cores")},
    "lost_answers": {**PICK, "lost": Field(fraction, 0.2, "part of the answers")},
    "heavy_tail": {
        "at": AT,
        "length": LENGTH,
        "kind": Field(text, "record-lookup", "request kind"),
        "share": Field(fraction, 0.02, "part of its reqs"),
        "times": Field(number(1.0), 10.0, "the work"),
    },
    "burst": {"at": AT, "length": LENGTH, "times": Field(number(0.0), 2.0, "the reqs")},
    "shift": {
        "at": AT,
        "length": LENGTH,
        "zone": Field(text, "", "whose desks ask more; others ask less"),
        "times": Field(number(0.0), 1.8, "the reqs"),
    },
    "steward_killed": {
        "at": AT,
        "length": LENGTH,
        "steward": Field(number(0, 8, True), 0, "which"),
    },
    "steward_frozen": {
        "at": AT,
        "length": LENGTH,
        "steward": Field(number(0, 8, True), 1, "which"),
    },
    "stewards_struck": {
        "at": AT,
        "length": LENGTH,
        "every": Field(positive_seconds, 6.0, "mean seconds between"),
        "most": Field(positive_seconds, 8.0, "longest that one is away"),
        "freezes": Field(fraction, 0.5, "part that are frozen, not killed"),
    },
    "rollback": {
        "at": AT,
        "length": LENGTH,
        "back": Field(seconds, 3.0, "to what stood so many seconds before"),
        "zone": Field(text, "", "only proxies there; none: all"),
        "share": Field(fraction, 1.0, "of the proxies"),
        "over": Field(seconds, 2.0, "seconds of its stages"),
        "steward": Field(number(0, 8, True), 0, "which is asked"),
    },
    "fleet_drained": {"at": AT, "steward": Field(number(0, 8, True), 0, "which hands all over")},
    "link_cut": {
        "at": AT,
        "length": LENGTH,
        "one": Field(text, "", "a zone, or an address"),
        "other": Field(text, "", "another"),
        "both": Field(flag, True, "both ways"),
    },
    "link_slow": {
        "at": AT,
        "length": LENGTH,
        "one": Field(text, "", "a zone, or an address"),
        "other": Field(text, "", "another"),
        "late": Field(positive_seconds, 0.3, "seconds more, one way"),
    },
    "datagrams_lost": {
        "at": AT,
        "length": LENGTH,
        "part": Field(fraction, 0.1, "of all datagrams"),
    },
    "list_empty": {"at": AT, "length": LENGTH},
    "list_torn": {"at": AT, "length": LENGTH},
    "list_old": {"at": AT, "length": LENGTH},
    "list_shrunk": {
        "at": AT,
        "length": LENGTH,
        "part": Field(fraction, 0.5, "of hosts that it forgets"),
    },
    "list_ghosts": {
        "at": AT,
        "length": LENGTH,
        "ghosts": Field(number(1, 200, True), 6, "hosts that are none"),
    },
}
# Of the builtin `request_kind`, and the request classes of a script that calls it nowhere.
KIND: dict[str, Field] = {
    "name": Field(text, "", "request kind"),
    "share": Field(fraction, 1.0, "of the reqs"),
    "work": Field(positive_seconds, 0.1, "mean seconds of a core"),
    "response_target": Field(positive_seconds, 0.8, "see the steward's settings"),
    "client_timeout": Field(positive_seconds, 2.5, "see the steward's settings"),
    "gain": Field(number(0.0), 1.0, "see the steward's settings"),
    "repeat": Field(
        one_of("replayable", "uniqued", "non-replayable"), "replayable", "may it run again"
    ),
}
DEFAULT_KINDS = [
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
