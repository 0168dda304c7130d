"""Between the wire's records and the interface's types: names, units, ids. Nothing is decided here."""

from .. import interface
from .codec import MICRO

SCOPES = {0: "changes", 1: "whole", 2: "remembered", 3: "unavailable"}
PHASES = {0: "gone", 1: "ready", 2: "draining"}
OUTCOMES = {
    100: "ok",
    301: "errored",
    302: "denied",
    303: "timed out",
    304: "unreachable",
    305: "broken",
}
RETRIES = {"never": 0, "unstarted": 1, "once": 2, "twice": 3}
REPEATS = {"repeatable": "replayable", "by_key": "uniqued", "once": "non-replayable"}
REPORTS = {
    "rif": "holding",
    "q": "waiting",
    "busy": "util",
    "lat_ms": "service_ms",
    "rate": "done_rate",
    "fail_rate": "bad_rate",
}
PICKS = {"random": "random", "rotate": "even", "p2c": "lighter of two"}
EVERY_TABLE = 65535
EVERY_PEER = 65535
LONGEST_TIMER = 70 * 60 * MICRO

# Where a setting stands on the wire, and what it is called here. A name that ends in Us there is a time.
PLAIN = {
    "balancers": "stewards",
    "rank": "rank",
    "locality": "zone",
    "zones": "zones",
    "kinds": "machines",
    "weightSource": "weight_source",
    "registryMode": "roster_mode",
    "countedBy": "counted_by",
    "roundUs": "tick",
    "familyInfo.channelRate": "channel_rate",
    "familyInfo.perMessage": "message_head",
    "familyInfo.pendingMax": "queue_most",
    "familyInfo.messagesMost": "messages_most",
    "familyInfo.countedOverUs": "messages_span",
    "familyInfo.pushDelayUs": "push_delay",
    "familyInfo.lateMostUs": "push_delay_most",
    "familyInfo.emptyForUs": "bare_most",
    "familyInfo.reportEveryUs": "sums_every",
    "familyInfo.hearsPerS": "sums_rate",
    "familyInfo.dataPlaneSize": "proxies",
    "familyInfo.choice": "pick",
    "familyInfo.standing": "standing",
    "familyInfo.failsToEject": "fails_to_shun",
    "familyInfo.tryFactor": "try_targets",
    "familyInfo.usualHow": "usual_retry",
    "familyInfo.throttleBy": "level_unit",
    "familyInfo.ranges": "slices",
    "familyInfo.exclusive": "exclusive",
    "familyInfo.localFirst": "joins_own_zone",
    "familyInfo.smallestConnTable": "connections_least",
    "familyInfo.costPerLine": "price_of_lines",
    "familyInfo.movePrice": "price_of_moves",
    "familyInfo.leaseUs": "lease",
    "familyInfo.settleUs": "settle",
    "familyInfo.parkUs": "park",
    "familyInfo.homeOnly": "own_zone_only",
    "familyInfo.mutating": "writes",
    "familyInfo.warmKeys": "warm_keys",
    "limits.connIdleUs": "connection_idle",
    "limits.connectTimeoutUs": "connect_timeout",
    "limits.cpuUsPerS": "cpu_share",
    "limits.peers": "peer_notes",
    "limits.probing": "probing",
    "limits.streamsPerConn": "streams",
    "obligations.askWithinUs": "ask_within",
    "obligations.coldFrom": "cold_share",
    "obligations.warmAfterUs": "warm_after",
    "obligations.drainGraceUs": "drain_grace",
    "obligations.tipMultiple": "tip_multiple",
    "obligations.fallUs": "tip_span",
    "obligations.goneIsAdvice": "gone_is_advice",
    "prices.crossZone": "price_of_crossing",
    "prices.handshake": "price_of_handshakes",
    "prices.connection": "price_of_connections",
    "prices.probe": "price_of_probes",
    "prices.waste": "price_of_waste",
    "prices.lateFail": "price_of_late_failure",
    "prices.peer": "price_of_notes",
    "scoringMix.whole": "value_of_whole",
    "scoringMix.worstClass": "value_of_worst_kind",
    "scoringMix.worstWindow": "value_of_worst_span",
    "stats.how": "reports_come",
    "stats.fields": "report_fields",
}
OF_KIND = {
    "name": "name",
    "targetUs": "response_target",
    "deadlineUs": "client_timeout",
    "aimStretch": "target_stretch",
    "repeat": "repeat",
    "group": "drops_repeats_in",
    "windowUs": "repeat_window",
    "worth": "gain",
    "lateWorth": "late_gain",
    "onlyZones": "only_zones",
    "onlyKinds": "only_machines",
}


def in_seconds(wire_name, value):
    if not wire_name.endswith("Us"):
        return value
    if not isinstance(value, (int, float)):
        raise ValueError(f"{wire_name}: expected a time, got {value!r}")
    return value / MICRO


def settings_from(env):
    """The settings as one plain map of our names to values; keys that are not known are skipped."""
    found = {}
    for path, name in PLAIN.items():
        holder, _, key = path.rpartition(".")
        place = env.get(holder, {}) if holder else env
        if key in place:
            found[name] = in_seconds(key, place[key])
    found["report_fields"] = [REPORTS.get(f, f) for f in found.get("report_fields", ())]
    found["pick"] = PICKS.get(found.get("pick"), found.get("pick"))
    own_zone = found.pop("own_zone_only", ())
    writes = found.pop("writes", ())
    found["req_kinds"] = []
    for at, entry in enumerate(env.get("classes", ())):
        kind = {name: in_seconds(key, entry[key]) for key, name in OF_KIND.items() if key in entry}
        kind.setdefault(
            "response_target", kind.get("client_timeout")
        )  # one without a target has its deadline
        kind.setdefault("gain", 1.0)
        kind["repeat"] = REPEATS.get(kind.get("repeat"), "non-replayable")
        kind["drops_repeats_in"] = {"cell": "cell", "zone": "zone"}.get(
            kind.get("drops_repeats_in"), "all"
        )
        kind["own_zone"] = bool(own_zone[at]) if at < len(own_zone) else False
        kind["write"] = bool(writes[at]) if at < len(writes) else True
        found["req_kinds"].append(kind)
    return found


class WireTranslator:
    """One steward's ids: hosts by address on the wire, by small index inside."""

    def __init__(self, env):
        self.settings = settings_from(env)
        self.addresses = []
        self.indices = {}

    def host(self, address):
        index = self.indices.get(address)
        if index is None:
            index = self.indices[address] = len(self.addresses)
            self.addresses.append(address)
        return index

    def report(self, values):
        return dict(zip(self.settings["report_fields"], values)) if values else None

    def member(self, entry):
        address, zone, machine, cell, phase, weight, since = entry
        return interface.Endpoint(
            self.host(address),
            address,
            zone,
            machine,
            cell,
            PHASES.get(phase, "gone"),
            weight,
            since / MICRO,
        )

    def event(self, name, rec):
        return FROM_WIRE[name](self, rec)

    def order(self, inst, order):
        name, rec = TO_WIRE[type(order)](self, order)
        rec["i"] = inst
        return name, rec


def mask(kinds):
    return sum(1 << kind for kind in kinds)


def seconds(rec, field):
    return rec[field] / MICRO


FROM_WIRE = {
    "TALLY": lambda translator, r: interface.EndpointStats(
        translator.host(r["host"]),
        r["locality"],
        r["many"],
        r["failed"],
        seconds(r, "coversUs"),
        seconds(r, "timeTakenUs"),
        translator.report(r["feedback"]),
    ),
    "INTAKE": lambda translator, r: interface.RequestStats(
        r["px"], r["category"], r["many"], r["failed"], seconds(r, "coversUs")
    ),
    "WAKE": lambda translator, r: interface.TimerFired(r["token"]),
    "CHECK_RESULT": lambda translator, r: interface.HealthCheckResult(
        translator.host(r["host"]),
        OUTCOMES.get(r["how"], "errored"),
        seconds(r, "timeTakenUs"),
        translator.report(r["feedback"]),
    ),
    "TOPOLOGY": lambda translator, r: interface.EndpointUpdate(
        SCOPES.get(r["mode"], "unavailable"),
        r["version"],
        tuple(map(translator.member, r["members"])),
    ),
    "CHECKED_IN": lambda translator, r: interface.ProxyConnected(
        r["px"], r["locality"], r["size"], bool(r["on"])
    ),
    "LEFT": lambda translator, r: interface.ProxyDisconnected(r["px"]),
    "CAUGHT_UP": lambda translator, r: interface.Acknowledged(
        r["px"], r["version"], seconds(r, "timeTakenUs")
    ),
    "INBOX": lambda translator, r: interface.GossipReceived(r["who"], r["bytes"]),
    "GIVEN": lambda translator, r: interface.KeyRangeAssigned(r["routeTable"], bool(r["on"])),
    "IN_STORE": lambda translator, r: interface.KeyRangeEntry(
        r["routeTable"], translator.host(r["host"]), r["size"]
    ),
    "WEIGHT_SEEN": lambda translator, r: interface.KeyRangeStats(
        r["routeTable"], r["category"], r["many"], r["failed"], seconds(r, "coversUs")
    ),
}

TO_WIRE = {
    interface.SetEntry: lambda translator, o: (
        "UPSERT",
        {"routeTable": o.table, "host": translator.addresses[o.endpoint], "size": o.weight},
    ),
    interface.ClearTable: lambda translator, o: ("BLANK", {"routeTable": o.table}),
    interface.AssignTable: lambda translator, o: (
        "ATTACH_TABLE",
        {"lanes": mask(o.request_classes), "px": o.proxy, "routeTable": o.table},
    ),
    interface.WithdrawEndpoint: lambda translator, o: (
        "CORDON",
        {"host": translator.addresses[o.endpoint], "on": int(o.withdrawn)},
    ),
    interface.SetAdmission: lambda translator, o: (
        "GATE_CLASS",
        {
            "lanes": mask(o.request_classes),
            "routeTable": EVERY_TABLE if o.table is None else o.table,
            "amount": o.fraction,
            "secondTry": RETRIES[o.retry_policy],
        },
    ),
    interface.RequestAcknowledgement: lambda translator, o: (
        "NONCE",
        {"version": o.nonce % 65536, "on": int(o.all_proxies)},
    ),
    interface.CheckHealth: lambda translator, o: (
        "TEST",
        {"host": translator.addresses[o.endpoint]},
    ),
    interface.FetchEndpoints: lambda translator, o: ("GET_LIST", {}),
    interface.WatchEndpoints: lambda translator, o: ("OBSERVE", {"on": int(o.enabled)}),
    interface.SendGossip: lambda translator, o: (
        "WRITE_PEER",
        {"whom": EVERY_PEER if o.peer is None else o.peer, "bytes": o.payload},
    ),
    interface.SetTimer: lambda translator, o: (
        "WAKE_ME",
        {"token": o.token, "offsetUs": max(1, min(LONGEST_TIMER, round(o.delay * MICRO)))},
    ),
    interface.LogMessage: lambda translator, o: (
        "JOURNAL_LINE",
        {"reasonText": o.text.encode("utf-8")[:2000]},
    ),
}
