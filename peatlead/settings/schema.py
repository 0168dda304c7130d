"""The builtins of a settings script: what each takes, one `Field` a name.

The defaults are the program's own; docs/operators/steward.md has them too. Times are in seconds.
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

# Builtins that a script calls at most once, and exactly once where they have a required field.
SINGLE_BUILTINS: Schema = {
    "dns": {
        "zone": Field(domain, REQUIRED, "the zone that stewards answer for"),
        "hosts_label": Field(label, "hosts", "host names stand under this label of the zone"),
        "port": Field(
            number(1, 65535, True), REQUIRED, "the port that hosts serve reqs on, told in SRV"
        ),
        "service_label": Field(label, "_http", "first label of SRV names"),
        "lifetime": Field(
            number(0, 3600, True), REQUIRED, "lifetime (TTL) of answers that name hosts, seconds"
        ),
        "addresses": Field(number(1, 64, True), 8, "addresses in an A or AAAA answer"),
        "udp_most": Field(
            number(512, 4096, True), 1232, "longest answer over UDP with EDNS, bytes"
        ),
        "trusted_resolvers": Field(
            list_of(network), [], "resolvers whose client subnet option is believed"
        ),
        "open_views": Field(
            number(0, 65536, True), 16, "views that networks not listed share, by hash"
        ),
        "tcp_most": Field(
            number(1, 10000, True), 256, "TCP connections held at most; the idlest is cut"
        ),
        "tcp_idle": Field(positive_seconds, 10.0, "a TCP peer silent or slow for longer is cut"),
        "secondaries": Field(
            list_of(address_and_port),
            [],
            "ADDRESS:PORT of name servers that fetch the zone and hear of news",
        ),
        "prepared_most": Field(
            number(16, 10_000_000, True), 50_000, "prepared queries kept; when full, all go"
        ),
    },
    "limits": {
        "drain_grace": Field(
            positive_seconds, REQUIRED, "a drained host must get no req later than this"
        ),
        "bare_most": Field(
            positive_seconds, REQUIRED, "a view may be without a line for this long"
        ),
        "cold_share": Field(
            number(0.01, 1.0), REQUIRED, "part of its capacity that a just started host has"
        ),
        "warm_after": Field(
            positive_seconds, REQUIRED, "after this a started host has all its capacity"
        ),
        "tip_multiple": Field(
            number(1.0), REQUIRED, "a cold host falls over past this multiple of its capacity"
        ),
        "tip_span": Field(positive_seconds, REQUIRED, "... offered for this long"),
        "queue_most": Field(number(1.0), 4000.0, "lines that may wait in a steward's channel"),
        "channel_rate": Field(number(1.0), 4000.0, "lines a second that the channel lets through"),
        "message_head": Field(number(0.0), 6.0, "lines that the head of a message counts for"),
        "messages_most": Field(
            number(0, whole=True), 40, "messages to one view in messages_span; 0: no cap"
        ),
        "messages_span": Field(positive_seconds, 10.0, "see messages_most"),
        "push_delay_most": Field(
            positive_seconds, 0.5, "longest way of a message from steward to answers"
        ),
    },
    "node_list": {
        "path": Field(text, REQUIRED, "the JSON file with the hosts"),
        "every": Field(positive_seconds, 0.2, "how often the file is looked at"),
        "patience": Field(
            positive_seconds,
            2.0,
            "how long a torn or missing file is tried again before it is told",
        ),
    },
    "probes": {
        "port": Field(number(1, 65535, True), REQUIRED, "the port that hosts answer probes on"),
        "path": Field(
            text, "/load", "what is asked for; a deep probe waits and is served like a req"
        ),
        "deadline": Field(positive_seconds, 0.8, "a probe without an answer by then timed out"),
        "at_once": Field(
            number(1, 100000, True), 64, "probes in flight at most; more wait their turn"
        ),
        "waiting_most": Field(
            number(1, 100000, True), 512, "probes that may wait; more are dropped and counted"
        ),
    },
    "grpc": {
        "proxies": Field(
            number(0, 100_000, True), 0, "proxies that are expected, of all stewards together"
        ),
        "pick": Field(
            one_of("random", "even", "lighter of two"), "lighter of two", "how they choose a line"
        ),
        "fails_to_shun": Field(
            number(0, 100, True), 3, "failures in a row at which a proxy shuns a host; 0: never"
        ),
        "connections_most": Field(
            number(1, 100_000, True), 10_000, "that a steward holds; the idlest is cut"
        ),
    },
    "fleet": {
        "keys": Field(
            list_of(secret_key),
            [],
            "32 bytes in hex each: the first seals members' messages, all open them",
        ),
        "probe_every": Field(positive_seconds, 0.3, "between a member's probes of others"),
        "probe_wait": Field(positive_seconds, 0.15, "for an answer"),
        "suspect": Field(
            positive_seconds, 1.0, "until a member that does not refute is held for dead"
        ),
        "joins_rate": Field(
            number(1.0), 200.0, "proxies a second that a steward takes in past a burst"
        ),
    },
    "tables": {
        "versions_each": Field(number(2, 100_000, True), 256, "versions kept of one proxy"),
        "versions_most": Field(number(100, 10_000_000, True), 100_000, "versions kept in all"),
        "memory_most": Field(number(1 << 16, 1 << 40), 64 << 20, "bytes of memory for them, about"),
        "disk_most": Field(number(1 << 16, 1 << 40), 64 << 20, "bytes of disk for them"),
        "age_most": Field(positive_seconds, 86_400.0, "a version older than this is dropped"),
        "sync_every": Field(
            positive_seconds, 1.0, "between syncs to disk: what a machine's death may cost"
        ),
    },
    "choices": {
        "gone_is_advice": Field(flag, False, "a host missing from the list stays while it answers"),
        "crossing_price": Field(fraction, 0.0, "of gain lost by a req that crosses zones"),
        "value_of_worst_kind": Field(
            fraction, 0.1, "weight of the worst served request kind in service"
        ),
        "sums_every": Field(positive_seconds, 1.0, "seconds between sums of what hosts tell"),
    },
}
# Builtins that a script calls once for each thing.
REPEATED_BUILTINS: Schema = {
    "zone": {"name": Field(text, REQUIRED, "as the node list names it")},
    "request_kind": {
        "name": Field(text, REQUIRED, "what hosts call it in their reports"),
        "response_target": Field(
            positive_seconds, REQUIRED, "an answer by then earns its whole gain"
        ),
        "client_timeout": Field(positive_seconds, REQUIRED, "clients give up then"),
        "gain": Field(number(0.0), 1.0, "worth of one req done"),
        "repeat": Field(
            one_of("replayable", "uniqued", "non-replayable"), REQUIRED, "may it run again"
        ),
        "only_zones": Field(list_of(text), [], "zones whose hosts may serve it; none: all"),
    },
    "service": {
        "label": Field(label, REQUIRED, "the name, under the zone, that desks resolve"),
        "kinds": Field(list_of(text, 1), REQUIRED, "request kinds that come to it"),
    },
    "view": {
        "name": Field(label, REQUIRED, "the desk; also a name of its own under each service"),
        "zone": Field(text, REQUIRED, "the zone it is nearest to"),
        "networks": Field(list_of(network), [], "its clients' networks"),
        "resolvers": Field(list_of(address), [], "resolvers that ask for it alone"),
        "rate": Field(number(0.01, 1e6), 1.0, "reqs a second, until hosts have told"),
    },
    "steward": {
        "name": Field(label, REQUIRED, "also its name server name under the zone"),
        "zone": Field(text, REQUIRED, "the zone it probes from"),
        "listen": Field(address_and_port, REQUIRED, "ADDRESS:PORT for DNS, UDP and TCP"),
        "control": Field(address_and_port, REQUIRED, "ADDRESS:PORT for operators' questions"),
        "grpc": Field(address_and_port, None, "ADDRESS:PORT for proxies; none: no gRPC front"),
        "peer": Field(
            address_and_port,
            None,
            "ADDRESS:PORT for other stewards of one fleet; none: it shares nothing",
        ),
        "seed": Field(number(0, whole=True), 1, "of all its chance"),
    },
}


def format_reference() -> str:
    """Every builtin and field, one a line: what `peatlead check --reference` prints."""
    lines = []
    for builtin, fields in {**SINGLE_BUILTINS, **REPEATED_BUILTINS}.items():
        lines.append(f"{builtin}({'...' if builtin in REPEATED_BUILTINS else 'once'})")
        for name, field in fields.items():
            default = "required" if field.default is REQUIRED else f"default {field.default!r}"
            lines.append(f"  {name}: {field.description} ({default})")
    return "\n".join(lines)
