"""The planner's settings out of the program's. Names and units only: nothing is decided here."""


def planner_settings(settings, steward, views):
    """The plain map that `Planner` takes. All views join every steward; gRPC proxies one of a fleet."""
    stewards = len(settings["steward"]) if steward["peer"] else 1
    proxies, shun = settings["grpc"]["proxies"], settings["grpc"]["fails_to_shun"]
    zones = {zone["name"]: at for at, zone in enumerate(settings["zone"])}
    limits, choices = settings["limits"], settings["choices"]
    passed = (
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
    return {
        **{name: limits[name] for name in passed},
        "stewards": stewards,
        "proxies": views * stewards + proxies,
        "zone": zones[steward["zone"]],
        "zones": list(zones),
        "machines": [],
        "roster_mode": "pushed",
        "joins_own_zone": False,
        "pick": settings["grpc"]["pick"] if proxies else "random",
        "standing": 0,
        "fails_to_shun": shun if proxies and not views else 0,
        "sums_every": choices["sums_every"],
        "probing": True,
        "report_fields": ["util"],
        "tries_told": not views,
        "peer_notes": stewards > 1,
        "gone_is_advice": choices["gone_is_advice"],
        "price_of_crossing": choices["crossing_price"],
        "value_of_worst_kind": choices["value_of_worst_kind"],
        "value_of_whole": 1.0 - choices["value_of_worst_kind"],
        "req_kinds": [
            {
                "name": kind["name"],
                "response_target": kind["response_target"],
                "client_timeout": kind["client_timeout"],
                "gain": kind["gain"],
                "repeat": kind["repeat"],
                "only_zones": [zones[zone] for zone in kind["only_zones"]],
                "only_machines": [],
                "own_zone": False,
            }
            for kind in settings["request_kind"]
        ],
    }
