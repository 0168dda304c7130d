"""Settings of a small deployment: those of the wire page's example, with the day's size."""

from typing import Any


def request_class(name: str, repeat: str, target: int, deadline: int, worth: float) -> Any:
    """Return a request class; times in microseconds."""
    return {
        "name": name,
        "targetUs": target,
        "deadlineUs": deadline,
        "group": "cell" if repeat == "by_key" else "all",
        "lateWorth": 0.1,
        "repeat": repeat,
        "windowUs": 1200000 if repeat == "by_key" else 5000000,
        "worth": worth,
    }


def bkk_settings(zones: list[str], proxies: int, controllers: int) -> dict[str, Any]:
    """Return the settings of the wire page's example for a number of proxies and controllers."""
    return {
        "balancers": controllers,
        "classes": [
            request_class("record-lookup", "repeatable", 800000, 2500000, 2.0),
            request_class("detail-update", "by_key", 400000, 1200000, 2.0),
            request_class("fee-filing", "once", 500000, 1200000, 6.0),
        ],
        "countedBy": "request",
        "family": "control",
        "familyInfo": {
            "channelRate": 6100.0,
            "choice": "rotate",
            "costPerLine": 0.02,
            "countedOverUs": 10000000,
            "dataPlaneSize": proxies,
            "emptyForUs": 3000000,
            "exclusive": False,
            "failsToEject": 3,
            "hearsPerS": 60.0,
            "homeOnly": [False, False, False],
            "lateMostUs": 1130000,
            "leaseUs": 2500000,
            "localFirst": True,
            "messagesMost": 0,
            "movePrice": 0.01,
            "mutating": [False, True, True],
            "parkUs": 300000,
            "pendingMax": 9200.0,
            "perMessage": 6.0,
            "pushDelayUs": 452000,
            "ranges": 0,
            "reportEveryUs": 1000000,
            "settleUs": 1220000,
            "smallestConnTable": 230.0,
            "standing": 6,
            "throttleBy": "fraction",
            "tryFactor": 1.2,
            "usualHow": 1,
            "warmKeys": False,
        },
        "kinds": ["std-3core"],
        "limits": {
            "connIdleUs": 15000000,
            "connectTimeoutUs": 250000,
            "cpuUsPerS": 400000,
            "peers": False,
            "probing": True,
            "streamsPerConn": 32,
        },
        "locality": 0,
        "obligations": {
            "askWithinUs": 10000000,
            "coldFrom": 0.17,
            "drainGraceUs": 2900000,
            "fallUs": 2000000,
            "tipMultiple": 4.0,
            "warmAfterUs": 16000000,
        },
        "prices": {
            "connection": 0.02,
            "crossZone": 0.01,
            "handshake": 0.02,
            "lateFail": 0.08,
            "moves": 0.0,
            "peer": 0.0,
            "probe": 0.02,
            "registryMode": 0.0,
            "waste": 0.08,
        },
        "rank": 0,
        "registryMode": "pushed",
        "roundUs": 5000,
        "scoringMix": {"whole": 0.5, "worstClass": 0.1, "worstTenant": 0.0, "worstWindow": 0.4},
        "stats": {"fields": ["busy", "rif", "lat_ms"], "how": "inline"},
        "weightSource": "off",
        "zones": zones,
    }


def akl_settings(proxies: int, controllers: int) -> dict[str, Any]:
    """Return settings like those of `akl-dispatch`: three zones, and a grace of 2 s."""
    given = bkk_settings(["akl-east", "akl-south", "akl-west"], proxies, controllers)
    given["classes"] = [
        request_class("route-quote", "repeatable", 2000000, 6000000, 1.0),
        request_class("rider-update", "repeatable", 1200000, 4000000, 2.0),
        request_class("job-book", "once", 1200000, 4000000, 3.0),
    ]
    given["familyInfo"].update(
        channelRate=7300.0,
        choice="random",
        emptyForUs=3100000,
        failsToEject=8,
        hearsPerS=600.0,
        lateMostUs=1112500,
        localFirst=False,
        mutating=[False, False, True],
        pendingMax=13600.0,
        perMessage=4.0,
        pushDelayUs=325000,
        standing=12,
        tryFactor=0.8,
    )
    given["kinds"] = ["fast", "base"]
    given["obligations"].update(
        coldFrom=0.15, drainGraceUs=2000000, tipMultiple=2.5, warmAfterUs=16000000
    )
    given["stats"]["fields"] = ["rif"]
    return given


def andel_settings(proxies: int, controllers: int) -> dict[str, Any]:
    """Return settings like those of `andel-solve`: three zones, and a slow channel."""
    given = bkk_settings(["hall-a", "hall-b", "hall-c"], proxies, controllers)
    given["classes"] = [
        request_class("fetch-grid", "repeatable", 750000, 2000000, 2.0),
        request_class("save-answers", "by_key", 800000, 2000000, 3.0),
    ]
    given["familyInfo"].update(
        channelRate=900.0,
        choice="p2c",
        emptyForUs=3000000,
        failsToEject=0,
        hearsPerS=150.0,
        homeOnly=[False, False],
        lateMostUs=550000,
        localFirst=False,
        messagesMost=30,
        mutating=[False, True],
        pendingMax=1800.0,
        perMessage=4.0,
        pushDelayUs=220000,
        standing=5,
        tryFactor=1.0,
        usualHow=0,
    )
    given["kinds"] = ["dual-fast", "quad-base"]
    given["obligations"].update(
        coldFrom=0.25, drainGraceUs=3000000, fallUs=1500000, tipMultiple=2.5, warmAfterUs=16000000
    )
    given["prices"].update(crossZone=0.08, waste=0.05, lateFail=0.08)
    given["stats"]["fields"] = ["busy"]
    return given
