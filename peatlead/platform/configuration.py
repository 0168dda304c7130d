"""What a steward is told at its start, and again at SIGHUP: the file that NODE_CONFIG names.

Every field is checked before anything is opened; `BadConfiguration` says which one and what was expected.
"""

from typing import NamedTuple, Optional

from ..net.errors import may_pass
from ..sources.endpoint_list import EndpointList
from ..wire.names import settings_from
from .messages import (
    MalformedMessageError,
    read_address,
    read_configuration_document,
    read_endpoint_list,
)

NEEDED = (
    "proxies",
    "zones",
    "zone",
    "channel_rate",
    "message_head",
    "queue_most",
    "bare_most",
    "drain_grace",
    "warm_after",
    "push_delay_most",
)  # that the planner can't do without


# Where a deployment has no such rule its settings may leave these out: then it binds nothing.
UNBOUND = {
    "messages_most": 0,
    "messages_span": 0.0,
    "cold_share": 1.0,
    "tip_multiple": 1e9,
    "sums_every": 1.0,
}
NUMBERS = (
    *NEEDED,
    *UNBOUND,
    "stewards",
    "connect_timeout",
    "price_of_crossing",
    "value_of_worst_kind",
    "fails_to_shun",
)  # those that are told must be numbers


class ConfigurationError(Exception):
    """Nothing to start by. `passing`: it may be read a moment later."""

    def __init__(self, why, passing=False):
        super().__init__(why)
        self.passing = passing


class Configuration(NamedTuple):
    """`listen`, `discovery`: (address, port); `facts`: the planner's settings; `known`: the list as this steward last
    had it, or None; `sockets`: file descriptors that the process may hold."""

    name: str
    listen: tuple
    discovery: tuple
    seed: int
    sockets: int
    facts: dict
    known: Optional[EndpointList]


def read_configuration(environ, wall):
    """`wall`: Unix seconds at which it is read."""
    path = environ.get("NODE_CONFIG")
    if not path:
        raise ConfigurationError("NODE_CONFIG: expected the path of a configuration, it is not set")
    try:
        with open(path, "rb") as file:
            data = file.read()
    except OSError as problem:
        raise ConfigurationError(f"{path}: {problem.strerror}", may_pass(problem)) from None
    try:
        said = read_configuration_document(data)
        known = (
            read_endpoint_list(said.remembered_list, wall)._replace(scope="remembered")
            if bytes(said.remembered_list)
            else None
        )
        listen, discovery, seed = (
            read_address(said.listen),
            read_address(said.discovery),
            int(said.seed, 16),
        )
    except (MalformedMessageError, ValueError) as problem:
        raise ConfigurationError(f"{path}: {problem}") from None
    try:
        facts = {
            **UNBOUND,
            **{k: v for k, v in settings_from(said.settings).items() if v is not None},
        }
    except (AttributeError, KeyError, TypeError, ValueError) as problem:
        raise ConfigurationError(f"{path}: settings: {problem!r}") from None
    wrong = faults(facts)
    if wrong:
        raise ConfigurationError(f"{path}: settings: {wrong[0]}")
    return Configuration(said.name, listen, discovery, seed, said.limits.sockets, facts, known)


def faults(facts):
    """What is wrong with the settings, a sentence each: the planner takes them to be right."""
    found = [f"{name}: expected it, not there" for name in NEEDED if name not in facts]
    found += [
        f"{name}: expected a number from 0 up, got {facts[name]!r}"
        for name in NUMBERS
        if name in facts and name != "zones" and not is_number(facts[name])
    ]
    zones, kinds = facts.get("zones"), facts["req_kinds"]
    if not (isinstance(zones, list) and zones and all(isinstance(zone, str) for zone in zones)):
        found.append(f"zones: expected names, got {zones!r}")
    elif not found and not (isinstance(facts["zone"], int) and facts["zone"] < len(zones)):
        found.append(f"zone: expected one of {len(zones)}, got {facts['zone']!r}")
    found += [
        f"{name}: expected more than 0, got {facts[name]!r}"
        for name in ("channel_rate", "proxies")
        if not found and not facts[name] > 0
    ]
    if not kinds:
        found.append("req_kinds: expected at least one, got none")
    names = [kind.get("name") for kind in kinds]
    found += [
        f"request kind {at}: expected a name of its own, got {name!r}"
        for at, name in enumerate(names)
        if not isinstance(name, str) or not name or names.index(name) < at
    ]
    found += [
        f"request kind {kind.get('name')!r}: {name}: expected {what}, got {kind.get(name)!r}"
        for kind in kinds
        for name, what, least in (
            ("response_target", "seconds", 0.0),
            ("gain", "a number from 0 up", -1.0),
        )
        if not is_number(kind.get(name)) or kind[name] <= least
    ]
    return found


def is_number(value):
    return isinstance(value, (int, float)) and 0 <= value < float("inf")
