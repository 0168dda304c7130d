"""Converts the environment that the wire gives an instance to the planner's settings.

The environment is a JSON object with the key names of the wire protocol. The settings are one flat
map with the planner's names. Environment values whose key ends in `Us` are in microseconds; all
times in the settings are in seconds.
"""

from collections.abc import Mapping
from math import isfinite
from typing import Any

from .units import MICROSECONDS_PER_SECOND

Settings = dict[str, Any]

# Path in the environment -> name of the setting.
SETTING_NAMES = {
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

# Key of a request class in the environment -> name of the setting.
REQUEST_CLASS_SETTING_NAMES = {
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
# Name of a load report metric in the environment -> name in the planner.
REPORT_METRICS = {
    "rif": "holding",
    "q": "waiting",
    "busy": "util",
    "lat_ms": "service_ms",
    "rate": "done_rate",
    "fail_rate": "bad_rate",
}
# Values of the environment -> values of the settings.
PICK_POLICIES = {"random": "random", "rotate": "even", "p2c": "lighter of two"}
REPEAT_POLICIES = {"repeatable": "replayable", "by_key": "uniqued", "once": "non-replayable"}
DEDUPLICATION_SCOPES = {"cell": "cell", "zone": "zone"}


def settings_from_environment(environment: Mapping[str, Any]) -> Settings:
    """Return the settings as one flat map. Unknown keys of the environment are ignored.

    Raises AttributeError, KeyError, TypeError or ValueError if a value has the wrong type.
    """
    settings: Settings = {}
    for path, name in SETTING_NAMES.items():
        section_name, _, key = path.rpartition(".")
        section = environment.get(section_name, {}) if section_name else environment
        if key in section:
            settings[name] = _convert_value(key, section[key])
    settings["report_fields"] = [
        REPORT_METRICS.get(metric, metric) for metric in settings.get("report_fields", ())
    ]
    pick: Any = settings.get("pick")
    settings["pick"] = PICK_POLICIES.get(pick, pick)
    own_zone_flags = settings.pop("own_zone_only", ())
    write_flags = settings.pop("writes", ())
    settings["req_kinds"] = []
    for index, class_environment in enumerate(environment.get("classes", ())):
        request_class = _request_class_settings(class_environment)
        request_class["own_zone"] = (
            bool(own_zone_flags[index]) if index < len(own_zone_flags) else False
        )
        request_class["write"] = bool(write_flags[index]) if index < len(write_flags) else True
        settings["req_kinds"].append(request_class)
    return settings


def _request_class_settings(environment: Mapping[str, Any]) -> Settings:
    """Return the settings of one request class, with defaults for missing keys."""
    settings: Settings = {
        name: _convert_value(key, environment[key])
        for key, name in REQUEST_CLASS_SETTING_NAMES.items()
        if key in environment
    }
    # The response target defaults to the client timeout.
    settings.setdefault("response_target", settings.get("client_timeout"))
    settings.setdefault("gain", 1.0)
    settings["repeat"] = REPEAT_POLICIES.get(settings.get("repeat", ""), "non-replayable")
    settings["drops_repeats_in"] = DEDUPLICATION_SCOPES.get(
        settings.get("drops_repeats_in", ""), "all"
    )
    return settings


def _convert_value(key: str, value: Any) -> Any:
    """Return the value, converted to seconds if the key ends in `Us`. Raises ValueError."""
    if isinstance(value, float) and not isfinite(value):
        raise ValueError(f"{key}: expected a finite number, got {value}")
    if not key.endswith("Us"):
        return value
    if not isinstance(value, (int, float)):
        raise ValueError(f"{key}: expected a time in microseconds, got {value!r}")
    return value / MICROSECONDS_PER_SECOND
