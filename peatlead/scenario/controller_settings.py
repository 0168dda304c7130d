"""Generates the settings script of a day's controllers."""

from collections.abc import Iterator
from pathlib import Path

from .fleet import DOMAIN, GRPC_PORT_OFFSET, RESOLVER_NETWORK, Fleet

FLEET_KEY = "5a" * 32  # a test key, not a secret
OPEN_VIEWS = 16  # value of `open_views` in days with DNS clients
REQUEST_CLASS_FIELDS = ("name", "response_target", "client_timeout", "gain", "repeat")


def settings_script(fleet: Fleet, list_path: Path) -> str:
    """Return the settings script that all controllers of a fleet share."""
    lines = [f"zone(name = {zone!r})" for zone in fleet.zones]
    lines.append(_dns_call(fleet))
    lines.append(_limits_call(fleet))
    lines.append(f"node_list(path = {str(list_path)!r})")
    if fleet.proxies:
        lines.append(_grpc_call(fleet))
        lines.append(f"fleet(keys = [{FLEET_KEY!r}])")
    steering = fleet.scenario["steering"]
    lines.append(f"probes(port = {fleet.port}, deadline = {steering['probe_deadline']})")
    lines.append(f"choices(gone_is_advice = {steering['gone_is_advice']})")
    lines += _request_class_calls(fleet)
    lines += _controller_calls(fleet)
    lines += _view_calls(fleet)
    return "\n".join(lines) + "\n"


def _dns_call(fleet: Fleet) -> str:
    steering = fleet.scenario["steering"]
    open_views = OPEN_VIEWS if fleet.client_networks else 0
    return (
        f"dns(zone = {DOMAIN!r}, port = {fleet.port}, lifetime = {steering['lifetime']}, "
        f"addresses = {steering['addresses']}, trusted_resolvers = ['{RESOLVER_NETWORK}.1.0/24'], "
        f"open_views = {open_views})"
    )


def _limits_call(fleet: Fleet) -> str:
    steering = fleet.scenario["steering"]
    endpoints = fleet.scenario["fleet"]
    return (
        f"limits(drain_grace = {steering['drain_grace']}, bare_most = {steering['bare_most']}, "
        f"cold_share = {endpoints['cold_share']}, warm_after = {endpoints['warm_after']}, "
        f"tip_multiple = {endpoints['tip_multiple']}, tip_span = {endpoints['tip_span']})"
    )


def _grpc_call(fleet: Fleet) -> str:
    proxies = fleet.scenario["agents"]
    return (
        f"grpc(proxies = {len(fleet.proxies)}, pick = {proxies['pick']!r}, "
        f"fails_to_shun = {proxies['fails_to_shun']})"
    )


def _request_class_calls(fleet: Fleet) -> Iterator[str]:
    request_classes = fleet.scenario["kinds"]
    for request_class in request_classes:
        values = ", ".join(f"{name} = {request_class[name]!r}" for name in REQUEST_CLASS_FIELDS)
        yield f"request_kind({values})"
    yield f"service(label = 'api', kinds = {[kind['name'] for kind in request_classes]!r})"


def _controller_calls(fleet: Fleet) -> Iterator[str]:
    for number, (address, port) in enumerate(fleet.controller_addresses):
        zone = fleet.zones[number % len(fleet.zones)]
        yield (
            f"steward(name = 'ns{number + 1}', zone = {zone!r}, seed = {number + 1}, "
            f"listen = '{address}:{port}', control = '{address}:{port + 1}'"
            f"{_proxy_address_fields(fleet, address, port)})"
        )


def _proxy_address_fields(fleet: Fleet, address: str, port: int) -> str:
    """Return the fields with a controller's addresses for proxies and peers, "" without proxies."""
    if not fleet.proxies:
        return ""
    peer = f", peer = '{address}:{port + 1}'" if fleet.scenario["agents"]["share"] else ""
    return f", grpc = '{address}:{port + GRPC_PORT_OFFSET}'{peer}"


def _view_calls(fleet: Fleet) -> Iterator[str]:
    """Yield the call of a view for each client network.

    Resolvers that several networks share are omitted, since they belong to no single view.
    """
    resolvers = {
        resolver["name"]: resolver["address"]
        for resolver in fleet.resolvers
        if not resolver["name"].startswith("shared")
    }
    for number, network in enumerate(fleet.client_networks):
        own_resolvers = [resolvers[network["resolver"]]] if network["resolver"] in resolvers else []
        rate = max(0.1, round(network["rate"], 1))
        yield (
            f"view(name = {network['view']!r}, zone = {fleet.zones[number % len(fleet.zones)]!r}, "
            f"networks = ['{network['network']}/24'], resolvers = {own_resolvers!r}, rate = {rate})"
        )
