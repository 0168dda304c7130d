"""Checks that concern several values, such as references to names and dependent times."""

from collections.abc import Collection, Iterable
from typing import Any

from .errors import SettingsError
from .fields import expectation_error

Settings = dict[str, Any]  # values by builtin; a list of values for a repeated builtin

REQUIRED_BUILTINS = ("zone", "request_kind", "service", "steward")
NAMED_BUILTINS = ("zone", "request_kind", "view", "steward")


def check_consistency(name: str, settings: Settings) -> None:
    """Raise SettingsError for the first inconsistency; `name` is the script's file name."""
    try:
        for check in CHECKS:
            check(settings)
    except ValueError as error:
        raise SettingsError(f"{name}:1: {error}") from None


def require_unique(names: Iterable[str], kind: str) -> None:
    """Raise ValueError if a name occurs twice; `kind` is what the names denote."""
    seen_names = set()
    for name in names:
        if name in seen_names:
            raise expectation_error(f"each {kind} once", name)
        seen_names.add(name)


def require_known(names: Iterable[str], known: Collection[str], setting: str) -> None:
    """Raise ValueError if a name is not one of the known names; `setting` is where it was given."""
    for name in names:
        if name not in known:
            raise ValueError(f"{setting}: expected one of {', '.join(sorted(known))}, got {name!r}")


def _check_required_builtins(settings: Settings) -> None:
    for builtin in REQUIRED_BUILTINS:
        if not settings[builtin]:
            raise ValueError(f"expected at least 1 {builtin}(...)")


def _check_names(settings: Settings) -> None:
    for builtin in NAMED_BUILTINS:
        require_unique([values["name"] for values in settings[builtin]], builtin)
    require_unique([service["label"] for service in settings["service"]], "service")


def _check_request_classes(settings: Settings) -> None:
    zones = _zones(settings)
    for request_class in settings["request_kind"]:
        setting = f"request_kind {request_class['name']}.only_zones"
        require_known(request_class["only_zones"], zones, setting)


def _check_services(settings: Settings) -> None:
    only_zones = {
        request_class["name"]: request_class["only_zones"]
        for request_class in settings["request_kind"]
    }
    for service in settings["service"]:
        require_known(service["kinds"], only_zones, f"service {service['label']}.kinds")
        if len({tuple(only_zones[name]) for name in service["kinds"]}) > 1:
            raise ValueError(
                f"service {service['label']}: expected kinds with the same only_zones: "
                "one DNS answer serves all kinds of a service"
            )


def _check_zones(settings: Settings) -> None:
    zones = _zones(settings)
    for builtin in ("view", "steward"):
        for values in settings[builtin]:
            require_known([values["zone"]], zones, f"{builtin} {values['name']}.zone")


def _check_networks(settings: Settings) -> None:
    networks = [
        network for view in settings["view"] for network in view["networks"] + view["resolvers"]
    ]
    require_unique(networks, "network")


def _check_any_client_is_served(settings: Settings) -> None:
    client_settings = (settings["view"], settings["dns"]["open_views"], settings["grpc"]["proxies"])
    if not any(client_settings):
        raise ValueError(
            "expected a view(...), dns.open_views or grpc.proxies: without them no client is served"
        )


def _check_fleet(settings: Settings) -> None:
    controllers = settings["steward"]
    peers = [controller for controller in controllers if controller["peer"]]
    if peers and len(peers) < len(controllers):
        raise ValueError("steward.peer: expected for all stewards of a fleet or for none")
    if peers and not settings["fleet"]["keys"]:
        raise ValueError("fleet.keys: expected at least one key for messages between stewards")


def _check_lifetime(settings: Settings) -> None:
    """Check that answers expire within the drain grace period.

    A client may use an answer for its whole lifetime (TTL). The delay of reading the list, the
    delay of the channel and the lifetime together must not exceed the grace period.
    """
    limits = settings["limits"]
    lifetime = settings["dns"]["lifetime"]
    max_lifetime = (
        limits["drain_grace"] - limits["push_delay_most"] - settings["node_list"]["every"]
    )
    if lifetime > max_lifetime:
        raise ValueError(
            f"dns.lifetime: expected at most {max(0, int(max_lifetime))}, got {lifetime}: "
            f"drain_grace less push_delay_most and node_list.every leaves {max_lifetime:.2f} s"
        )


def _zones(settings: Settings) -> set[str]:
    return {zone["name"] for zone in settings["zone"]}


CHECKS = (  # in order of precedence of their errors
    _check_required_builtins,
    _check_names,
    _check_request_classes,
    _check_services,
    _check_zones,
    _check_networks,
    _check_any_client_is_served,
    _check_fleet,
    _check_lifetime,
)
