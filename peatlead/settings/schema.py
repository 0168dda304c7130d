"""The builtins of a settings script and their fields.

Defaults are also listed in docs/operators/steward.md. Times are in seconds. The names and
descriptions use the vocabulary of settings scripts: a host is an endpoint, a steward is a
controller, and a request kind is a request class.
"""

from .checks import (
    address,
    address_and_port,
    domain,
    flag,
    fraction,
    label,
    list_of,
    network,
    number,
    one_of,
    positive_seconds,
    secret_key,
    text,
)
from .fields import REQUIRED, Field, Schema

# Builtins that a script calls at most once. A builtin with a required field must be called.
SINGLE_BUILTINS: Schema = {
    "dns": {
        "zone": Field(domain, REQUIRED, "the zone that stewards answer for"),
        "hosts_label": Field(label, "hosts", "label of the zone that host names are under"),
        "port": Field(
            number(1, 65535, True),
            REQUIRED,
            "port that hosts serve requests on, published in SRV records",
        ),
        "service_label": Field(label, "_http", "first label of SRV names"),
        "lifetime": Field(
            number(0, 3600, True), REQUIRED, "lifetime (TTL) of answers that name hosts, in seconds"
        ),
        "addresses": Field(number(1, 64, True), 8, "addresses in an A or AAAA answer"),
        "udp_most": Field(
            number(512, 4096, True), 1232, "maximum size of an answer over UDP with EDNS, in bytes"
        ),
        "trusted_resolvers": Field(
            list_of(network), [], "resolvers whose EDNS client subnet option is trusted"
        ),
        "open_views": Field(
            number(0, 65536, True),
            16,
            "number of views that unlisted networks are assigned to, by hash",
        ),
        "tcp_most": Field(
            number(1, 10000, True),
            256,
            "maximum number of TCP connections; when full, the longest idle one is closed",
        ),
        "tcp_idle": Field(positive_seconds, 10.0, "idle timeout of TCP connections, in seconds"),
        "secondaries": Field(
            list_of(address_and_port),
            [],
            "ADDRESS:PORT of name servers that transfer the zone and receive NOTIFY",
        ),
        "prepared_most": Field(
            number(16, 10_000_000, True),
            50_000,
            "maximum number of prepared queries; when full, all are dropped",
        ),
    },
    "limits": {
        "drain_grace": Field(
            positive_seconds, REQUIRED, "seconds after which a drained host must get no request"
        ),
        "bare_most": Field(
            positive_seconds, REQUIRED, "maximum number of seconds that a view may have no entry"
        ),
        "cold_share": Field(
            number(0.01, 1.0),
            REQUIRED,
            "fraction of its capacity that a host has just after its start",
        ),
        "warm_after": Field(
            positive_seconds,
            REQUIRED,
            "seconds after its start at which a host has its full capacity",
        ),
        "tip_multiple": Field(
            number(1.0),
            REQUIRED,
            "multiple of its capacity above which load makes a cold host fail",
        ),
        "tip_span": Field(
            positive_seconds,
            REQUIRED,
            "seconds of load above tip_multiple that make a cold host fail",
        ),
        "memory_most": Field(
            number(64 << 20, 1 << 40),
            256 << 20,
            "memory of a steward in bytes: what clients can make it hold is bounded by parts of it",
        ),
        "queue_most": Field(
            number(1.0), 4000.0, "maximum number of entries queued in a steward's channel"
        ),
        "channel_rate": Field(number(1.0), 4000.0, "entries per second that the channel sends"),
        "message_head": Field(number(0.0), 6.0, "cost of the head of a message, in entries"),
        "messages_most": Field(
            number(0, whole=True),
            40,
            "maximum number of messages to one view in messages_span; 0: no limit",
        ),
        "messages_span": Field(positive_seconds, 10.0, "seconds that messages_most applies to"),
        "push_delay_most": Field(
            positive_seconds,
            0.5,
            "maximum delay of a message from the steward to its answers, in seconds",
        ),
    },
    "node_list": {
        "path": Field(text, REQUIRED, "JSON file with the list of hosts"),
        "every": Field(positive_seconds, 0.2, "seconds between checks of the file"),
        "patience": Field(
            positive_seconds,
            2.0,
            "seconds until an unreadable file is reported as unavailable",
        ),
    },
    "probes": {
        "port": Field(number(1, 65535, True), REQUIRED, "port that hosts answer probes on"),
        "path": Field(
            text, "/load", "path of probes; a deep probe is queued and served like a request"
        ),
        "deadline": Field(positive_seconds, 0.8, "timeout of a probe, in seconds"),
        "at_once": Field(
            number(1, 100000, True),
            64,
            "maximum number of probes in flight; further ones are queued",
        ),
        "waiting_most": Field(
            number(1, 100000, True),
            512,
            "maximum number of queued probes; further ones are dropped and counted",
        ),
    },
    "grpc": {
        "proxies": Field(
            number(0, 100_000, True), 0, "expected number of proxies of all stewards together"
        ),
        "pick": Field(
            one_of("random", "even", "lighter of two"),
            "lighter of two",
            "how proxies pick an entry",
        ),
        "fails_to_shun": Field(
            number(0, 100, True),
            3,
            "consecutive failures after which a proxy avoids a host; 0: never",
        ),
        "connections_most": Field(
            number(1, 100_000, True),
            10_000,
            "maximum number of connections; when full, the longest idle one is closed",
        ),
    },
    "fleet": {
        "keys": Field(
            list_of(secret_key),
            [],
            "keys of 32 bytes in hex: the first signs messages to other stewards, all verify them",
        ),
        "probe_every": Field(
            positive_seconds, 0.3, "seconds between a steward's probes of other stewards"
        ),
        "probe_wait": Field(positive_seconds, 0.15, "timeout of such a probe, in seconds"),
        "suspect": Field(
            positive_seconds,
            1.0,
            "seconds until a suspected steward that does not refute is considered dead",
        ),
        "joins_rate": Field(
            number(1.0), 200.0, "proxies per second that a steward admits after a burst"
        ),
    },
    "tables": {
        "versions_each": Field(
            number(2, 100_000, True), 256, "maximum number of versions kept of one proxy"
        ),
        "versions_most": Field(
            number(100, 10_000_000, True), 100_000, "maximum number of versions kept in total"
        ),
        "memory_most": Field(
            number(1 << 16, 1 << 40), 64 << 20, "approximate maximum memory for versions, in bytes"
        ),
        "disk_most": Field(
            number(1 << 16, 1 << 40), 64 << 20, "maximum disk space for versions, in bytes"
        ),
        "age_most": Field(positive_seconds, 86_400.0, "seconds after which a version is dropped"),
        "sync_every": Field(
            positive_seconds,
            1.0,
            "seconds between syncs to disk; a machine failure may lose this much",
        ),
    },
    "choices": {
        "gone_is_advice": Field(
            flag, False, "keep a host that is missing from the list while it answers"
        ),
        "crossing_price": Field(
            fraction, 0.0, "fraction of its gain that a request loses by crossing zones"
        ),
        "value_of_worst_kind": Field(
            fraction, 0.1, "weight of the worst served request kind in the service figure"
        ),
        "sums_every": Field(
            positive_seconds, 1.0, "seconds between statistics from the hosts' reports"
        ),
    },
}
# Builtins that a script may call several times.
REPEATED_BUILTINS: Schema = {
    "zone": {"name": Field(text, REQUIRED, "name of the zone, as in the node list")},
    "request_kind": {
        "name": Field(text, REQUIRED, "name of the request kind, as in the hosts' reports"),
        "response_target": Field(
            positive_seconds, REQUIRED, "seconds within which a response earns the full gain"
        ),
        "client_timeout": Field(positive_seconds, REQUIRED, "seconds after which clients give up"),
        "gain": Field(number(0.0), 1.0, "value of one request done"),
        "repeat": Field(
            one_of("replayable", "uniqued", "non-replayable"),
            REQUIRED,
            "whether a request may run more than once",
        ),
        "only_zones": Field(
            list_of(text), [], "zones whose hosts may serve the kind; empty: all zones"
        ),
    },
    "service": {
        "label": Field(label, REQUIRED, "name under the zone that clients resolve"),
        "kinds": Field(list_of(text, 1), REQUIRED, "request kinds that the service receives"),
    },
    "view": {
        "name": Field(label, REQUIRED, "name of the view; also a label under each service"),
        "zone": Field(text, REQUIRED, "zone that the view is nearest to"),
        "networks": Field(list_of(network), [], "networks of the view's clients"),
        "resolvers": Field(list_of(address), [], "resolvers that serve only this view"),
        "rate": Field(
            number(0.01, 1e6), 1.0, "expected requests per second until hosts have reported"
        ),
    },
    "steward": {
        "name": Field(
            label, REQUIRED, "name of the steward; also its name server's label under the zone"
        ),
        "zone": Field(text, REQUIRED, "zone that the steward probes from"),
        "listen": Field(address_and_port, REQUIRED, "ADDRESS:PORT for DNS, UDP and TCP"),
        "control": Field(address_and_port, REQUIRED, "ADDRESS:PORT for operators' queries"),
        "grpc": Field(address_and_port, None, "ADDRESS:PORT for proxies; none: gRPC is disabled"),
        "peer": Field(
            address_and_port,
            None,
            "ADDRESS:PORT for other stewards of the fleet; none: nothing is shared",
        ),
        "seed": Field(number(0, whole=True), 1, "seed of the steward's random numbers"),
    },
}


def format_reference() -> str:
    """Return a description of every builtin and field, for `peatlead check --reference`."""
    lines = []
    for builtin, fields in {**SINGLE_BUILTINS, **REPEATED_BUILTINS}.items():
        lines.append(f"{builtin}({'...' if builtin in REPEATED_BUILTINS else 'once'})")
        for name, field in fields.items():
            default = "required" if field.default is REQUIRED else f"default {field.default!r}"
            lines.append(f"  {name}: {field.description} ({default})")
    return "\n".join(lines)
