"""Translates the program's settings into the planner's settings; only names and units change."""

from collections.abc import Mapping, Sequence
from typing import Any

Settings = Mapping[str, Any]

# Limits that have the same name in the planner's settings.
SHARED_LIMITS = (
    "drain_grace",
    "bare_most",
    "cold_share",
    "warm_after",
    "tip_multiple",
    "tip_span",
    "queue_most",
    "channel_rate",
    "message_head",
    "messages_most",
    "messages_span",
    "push_delay_most",
)


def planner_settings(settings: Settings, controller: Settings, view_count: int) -> dict[str, Any]:
    """Return the settings of one controller's planner.

    `controller` is the controller's entry in the settings, and `view_count` is the number of DNS
    views. Every DNS view connects to all controllers of a fleet, and every gRPC proxy to one
    controller.
    """
    controller_count = len(settings["steward"]) if controller["peer"] else 1
    zones = {zone["name"]: number for number, zone in enumerate(settings["zone"])}
    limits = settings["limits"]
    return {
        **{name: limits[name] for name in SHARED_LIMITS},
        "stewards": controller_count,
        "zone": zones[controller["zone"]],
        "zones": list(zones),
        "machines": [],
        "roster_mode": "pushed",
        "joins_own_zone": False,
        "standing": 0,
        "probing": True,
        "report_fields": ["util"],
        "tries_told": not view_count,
        "peer_notes": controller_count > 1,
        **proxy_settings(settings["grpc"], view_count, view_count * controller_count),
        **choice_settings(settings["choices"]),
        "req_kinds": [
            request_class_settings(request_class, zones)
            for request_class in settings["request_kind"]
        ],
    }


def proxy_settings(grpc: Settings, view_count: int, view_connections: int) -> dict[str, Any]:
    """Return the settings that depend on the number of gRPC proxies."""
    proxies = grpc["proxies"]
    return {
        "proxies": view_connections + proxies,
        "pick": grpc["pick"] if proxies else "random",
        "fails_to_shun": grpc["fails_to_shun"] if proxies and not view_count else 0,
    }


def choice_settings(choices: Settings) -> dict[str, Any]:
    """Return the settings under `choices`, with the planner's names."""
    return {
        "sums_every": choices["sums_every"],
        "gone_is_advice": choices["gone_is_advice"],
        "price_of_crossing": choices["crossing_price"],
        "value_of_worst_kind": choices["value_of_worst_kind"],
        "value_of_whole": 1.0 - choices["value_of_worst_kind"],
    }


def request_class_settings(request_class: Settings, zones: Mapping[str, int]) -> dict[str, Any]:
    """Return the settings of one request class, with zones as numbers."""
    only_zones: Sequence[str] = request_class["only_zones"]
    return {
        "name": request_class["name"],
        "response_target": request_class["response_target"],
        "client_timeout": request_class["client_timeout"],
        "gain": request_class["gain"],
        "repeat": request_class["repeat"],
        "only_zones": [zones[zone] for zone in only_zones],
        "only_machines": [],
        "own_zone": False,
    }
