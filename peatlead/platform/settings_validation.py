"""Validation of the planner's settings; the planner itself does not check them."""

from collections.abc import Iterator
from typing import Any

from .shared_types import Settings

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
# Optional settings, with defaults that mean no limit.
DEFAULT_SETTINGS = {
    "messages_most": 0,
    "messages_span": 0.0,
    "cold_share": 1.0,
    "tip_multiple": 1e9,
    "sums_every": 1.0,
}
# Settings that must be numbers if they are given.
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
# Numeric settings of each request class: name, expected value, and exclusive lower bound.
NUMERIC_CLASS_SETTINGS = (
    ("response_target", "a number of seconds above 0", 0.0),
    ("gain", "a number of at least 0", -1.0),
)


def settings_errors(settings: Settings) -> list[str]:
    """Return a message for each error in the settings."""
    errors = [*missing_settings(settings), *non_numeric_settings(settings)]
    errors.extend(zone_errors(settings, check_own_zone=not errors))
    if not errors:
        errors.extend(non_positive_settings(settings))
    request_classes = settings["req_kinds"]
    if not request_classes:
        errors.append("req_kinds: expected at least one request class, got none")
    errors.extend(class_name_errors(request_classes))
    errors.extend(class_setting_errors(request_classes))
    return errors


def missing_settings(settings: Settings) -> Iterator[str]:
    """Yield an error for each missing required setting."""
    for name in REQUIRED_SETTINGS:
        if name not in settings:
            yield f"{name}: required setting is missing"


def non_numeric_settings(settings: Settings) -> Iterator[str]:
    """Yield an error for each setting that should be a number and is not."""
    for name in NUMERIC_SETTINGS:
        if name in settings and not is_number(settings[name]):
            yield f"{name}: expected a number of at least 0, got {settings[name]!r}"


def zone_errors(settings: Settings, check_own_zone: bool) -> Iterator[str]:
    """Yield an error for invalid zone names or an invalid index of the controller's own zone."""
    zones = settings.get("zones")
    if not (isinstance(zones, list) and zones and all(isinstance(zone, str) for zone in zones)):
        yield f"zones: expected a list of names, got {zones!r}"
        return
    if not check_own_zone:
        return
    own_zone = settings["zone"]
    if not (isinstance(own_zone, int) and own_zone < len(zones)):
        yield f"zone: expected an index below {len(zones)}, got {own_zone!r}"


def non_positive_settings(settings: Settings) -> Iterator[str]:
    """Yield an error for each setting that must be positive and is 0."""
    for name in POSITIVE_SETTINGS:
        if not settings[name] > 0:
            yield f"{name}: expected more than 0, got {settings[name]!r}"


def class_name_errors(request_classes: list[Settings]) -> Iterator[str]:
    """Yield an error for each request class without a unique name."""
    names = [request_class.get("name") for request_class in request_classes]
    for index, name in enumerate(names):
        if not isinstance(name, str) or not name or names.index(name) < index:
            yield f"request class {index}: expected a unique name, got {name!r}"


def class_setting_errors(request_classes: list[Settings]) -> Iterator[str]:
    """Yield an error for each setting of a request class that is too small or not a number."""
    for request_class in request_classes:
        for name, expected, lower_bound in NUMERIC_CLASS_SETTINGS:
            value = request_class.get(name)
            if value is None or not is_number(value) or value <= lower_bound:
                label = f"request class {request_class.get('name')!r}"
                yield f"{label}: {name}: expected {expected}, got {value!r}"


def is_number(value: Any) -> bool:
    """Return whether a value is a finite number of at least 0."""
    return isinstance(value, (int, float)) and 0 <= value < float("inf")
