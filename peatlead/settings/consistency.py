"""What no single value shows: names that must exist, and times that must fit each other."""

from collections.abc import Collection, Iterable
from typing import Any

from .errors import SettingsError
from .fields import expectation_error

Settings = dict[str, Any]  # by builtin: its values, or a list of them where it may be repeated

NEEDED_BUILTINS = ("zone", "request_kind", "service", "steward")
NAMED_BUILTINS = ("zone", "request_kind", "view", "steward")


def check_consistency(name: str, settings: Settings) -> None:
    """Raise SettingsError with the first contradiction; `name` is the script's."""
    try:
        for check in CHECKS:
            check(settings)
    except ValueError as error:
        raise SettingsError(f"{name}:1: {error}") from None


def require_unique(names: Iterable[str], what: str) -> None:
    """Raise ValueError where a name stands twice."""
    seen = set()
    for name in names:
        if name in seen:
            raise expectation_error(f"each {what} once", name)
        seen.add(name)


def require_known(names: Iterable[str], known: Collection[str], what: str) -> None:
    """Raise ValueError where a name isn't one of the known."""
    for name in names:
        if name not in known:
            raise ValueError(f"{what}: expected one of {', '.join(sorted(known))}, got {name!r}")


def _check_presence(settings: Settings) -> None:
    for builtin in NEEDED_BUILTINS:
        if not settings[builtin]:
            raise ValueError(f"expected at least 1 {builtin}(...)")


def _check_names(settings: Settings) -> None:
    for builtin in NAMED_BUILTINS:
        require_unique([values["name"] for values in settings[builtin]], builtin)
    require_unique([service["label"] for service in settings["service"]], "service")


def _check_request_classes(settings: Settings) -> None:
    zones = _zones(settings)
    for request_class in settings["request_kind"]:
        place = f"request_kind {request_class['name']}.only_zones"
        require_known(request_class["only_zones"], zones, place)


def _check_services(settings: Settings) -> None:
    only_zones = {each["name"]: each["only_zones"] for each in settings["request_kind"]}
    for service in settings["service"]:
        require_known(service["kinds"], only_zones, f"service {service['label']}.kinds")
        if len({tuple(only_zones[name]) for name in service["kinds"]}) > 1:
            raise ValueError(
                f"service {service['label']}: expected kinds that are open to the same zones: "
                "a name has one answer for all of them"
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


def _check_clients(settings: Settings) -> None:
    served = (settings["view"], settings["dns"]["open_views"], settings["grpc"]["proxies"])
    if not any(served):
        raise ValueError(
            "expected a view(...), dns.open_views or grpc.proxies: nobody could be served"
        )


def _check_fleet(settings: Settings) -> None:
    controllers = settings["steward"]
    peers = [controller for controller in controllers if controller["peer"]]
    if peers and len(peers) < len(controllers):
        raise ValueError("steward.peer: expected for all stewards of a fleet, or for none")
    if peers and not settings["fleet"]["keys"]:
        raise ValueError("fleet.keys: expected at least one key: members' messages are sealed")


def _check_lifetime(settings: Settings) -> None:
    """Answers must expire within the drain grace.

    An answer that was given just before the news of a drain came through may be used for its whole
    lifetime after it: the delay of the channel, that of the list and the lifetime must fit into the
    grace together.
    """
    limits = settings["limits"]
    lifetime = settings["dns"]["lifetime"]
    longest = limits["drain_grace"] - limits["push_delay_most"] - settings["node_list"]["every"]
    if lifetime > longest:
        raise ValueError(
            f"dns.lifetime: expected at most {max(0, int(longest))}, got {lifetime}: drain_grace "
            f"less push_delay_most and node_list.every leaves {longest:.2f} s"
        )


def _zones(settings: Settings) -> set[str]:
    return {zone["name"] for zone in settings["zone"]}


CHECKS = (  # in the order in which their errors take precedence
    _check_presence,
    _check_names,
    _check_request_classes,
    _check_services,
    _check_zones,
    _check_networks,
    _check_clients,
    _check_fleet,
    _check_lifetime,
)
