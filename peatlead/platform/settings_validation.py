"""Validation of the planner's settings; the planner itself does not check them.

The settings that follow from the platform's protocol are added here.
"""

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
# Settings that follow from the platform's protocol.
PROTOCOL_SETTINGS = {"proxies_keep_ejections": True}
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
# Settings that the planner divides by, with their minimums.
POSITIVE_SETTINGS = {"channel_rate": 1e-3, "proxies": 1}
FRACTION_SETTINGS = ("cold_share", "value_of_worst_kind")
MAX_SETTING = 1e12  # of any number, so that no computed value becomes infinite
MIN_RESPONSE_TARGET = 1e-6  # seconds, the unit of the configuration's times
# Numeric settings of each request class: name, expected value, and minimum.
NUMERIC_CLASS_SETTINGS = (
    ("response_target", "a number of seconds above 0", MIN_RESPONSE_TARGET),
    ("gain", "a number of at least 0", 0.0),
)


def planner_settings(settings: Settings) -> Settings:
    """Return valid settings together with those that follow from the protocol."""
    return {**settings, **PROTOCOL_SETTINGS}


def settings_errors(settings: Settings) -> list[str]:
    """Return a message for each error in the settings."""
    errors = [*missing_settings(settings), *non_numeric_settings(settings)]
    errors.extend(zone_errors(settings, check_own_zone=not errors))
    if not errors:
        errors.extend(non_positive_settings(settings))
        errors.extend(fraction_errors(settings))
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
            yield f"{name}: expected a number from 0 to {MAX_SETTING:g}, got {settings[name]!r}"


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
    """Yield an error for each setting that must be positive and is 0 or almost 0."""
    for name, minimum in POSITIVE_SETTINGS.items():
        if not settings[name] >= minimum:
            yield f"{name}: expected at least {minimum:g}, got {settings[name]!r}"


def fraction_errors(settings: Settings) -> Iterator[str]:
    """Yield an error for each fraction above 1."""
    for name in FRACTION_SETTINGS:
        if settings.get(name, 0) > 1:
            yield f"{name}: expected a number from 0 to 1, got {settings[name]!r}"


def class_name_errors(request_classes: list[Settings]) -> Iterator[str]:
    """Yield an error for each request class without a unique name."""
    names = [request_class.get("name") for request_class in request_classes]
    for index, name in enumerate(names):
        if not isinstance(name, str) or not name or names.index(name) < index:
            yield f"request class {index}: expected a unique name, got {name!r}"


def class_setting_errors(request_classes: list[Settings]) -> Iterator[str]:
    """Yield an error for each setting of a request class that is too small or not a number."""
    for request_class in request_classes:
        for name, expected, minimum in NUMERIC_CLASS_SETTINGS:
            value = request_class.get(name)
            if value is None or not is_number(value) or value < minimum:
                label = f"request class {request_class.get('name')!r}"
                yield f"{label}: {name}: expected {expected}, got {value!r}"


def is_number(value: Any) -> bool:
    """Return whether a value is a number from 0 to `MAX_SETTING`; booleans are no numbers."""
    is_numeric = isinstance(value, (int, float)) and not isinstance(value, bool)
    return is_numeric and 0 <= value <= MAX_SETTING
