"""Validation of the planner's settings, which the planner itself takes to be right."""

from collections.abc import Iterator
from typing import Any

from .shared_types import Settings

# The planner can't do without these.
REQUIRED_SETTINGS = (
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
)
# A deployment that lacks such a rule may leave its settings out: these values limit nothing.
DEFAULT_SETTINGS = {
    "messages_most": 0,
    "messages_span": 0.0,
    "cold_share": 1.0,
    "tip_multiple": 1e9,
    "sums_every": 1.0,
}
# Those that are given must be numbers.
NUMERIC_SETTINGS = (
    *(name for name in REQUIRED_SETTINGS if name != "zones"),
    *DEFAULT_SETTINGS,
    "stewards",
    "connect_timeout",
    "price_of_crossing",
    "value_of_worst_kind",
    "fails_to_shun",
)
POSITIVE_SETTINGS = ("channel_rate", "proxies")
# Of each request class: name, what is expected, and the number that it must exceed.
NUMERIC_CLASS_SETTINGS = (
    ("response_target", "seconds", 0.0),
    ("gain", "a number from 0 up", -1.0),
)


def settings_errors(settings: Settings) -> list[str]:
    """Return a sentence for each error in the settings, none if they are valid."""
    errors = [*missing_settings(settings), *non_numbers(settings)]
    errors.extend(zone_errors(settings, check_own_zone=not errors))
    if not errors:
        errors.extend(non_positive_settings(settings))
    request_classes = settings["req_kinds"]
    if not request_classes:
        errors.append("req_kinds: expected at least one, got none")
    errors.extend(class_name_errors(request_classes))
    errors.extend(class_number_errors(request_classes))
    return errors


def missing_settings(settings: Settings) -> Iterator[str]:
    """Yield an error for each required setting that is not there."""
    for name in REQUIRED_SETTINGS:
        if name not in settings:
            yield f"{name}: expected it, not there"


def non_numbers(settings: Settings) -> Iterator[str]:
    """Yield an error for each setting that should be a number and is none."""
    for name in NUMERIC_SETTINGS:
        if name in settings and not is_number(settings[name]):
            yield f"{name}: expected a number from 0 up, got {settings[name]!r}"


def zone_errors(settings: Settings, check_own_zone: bool) -> Iterator[str]:
    """Yield an error for the zones' names, or for the index of the controller's own zone."""
    zones = settings.get("zones")
    if not (isinstance(zones, list) and zones and all(isinstance(zone, str) for zone in zones)):
        yield f"zones: expected names, got {zones!r}"
        return
    if not check_own_zone:
        return
    own_zone = settings["zone"]
    if not (isinstance(own_zone, int) and own_zone < len(zones)):
        yield f"zone: expected one of {len(zones)}, got {own_zone!r}"


def non_positive_settings(settings: Settings) -> Iterator[str]:
    """Yield an error for each setting that is 0 and must not be."""
    for name in POSITIVE_SETTINGS:
        if not settings[name] > 0:
            yield f"{name}: expected more than 0, got {settings[name]!r}"


def class_name_errors(request_classes: list[Settings]) -> Iterator[str]:
    """Yield an error for each request class that has no name of its own."""
    names = [request_class.get("name") for request_class in request_classes]
    for index, name in enumerate(names):
        if not isinstance(name, str) or not name or names.index(name) < index:
            yield f"request kind {index}: expected a name of its own, got {name!r}"


def class_number_errors(request_classes: list[Settings]) -> Iterator[str]:
    """Yield an error for each number of a request class that is none or too small."""
    for request_class in request_classes:
        for name, expected, lower_bound in NUMERIC_CLASS_SETTINGS:
            value = request_class.get(name)
            if value is None or not is_number(value) or value <= lower_bound:
                label = f"request kind {request_class.get('name')!r}"
                yield f"{label}: {name}: expected {expected}, got {value!r}"


def is_number(value: Any) -> bool:
    """Whether a value is a finite number from 0 up."""
    return isinstance(value, (int, float)) and 0 <= value < float("inf")
