"""Checks of single values: each returns the normalized value or raises ValueError."""

from collections.abc import Callable
from ipaddress import ip_address, ip_network
from math import isnan
from typing import Any, Optional

from .fields import Check, expectation_error

MAX_DOMAIN_LENGTH = 200  # characters; the rest of the 255 is for labels in front (RFC 1035)
MAX_LABEL_LENGTH = 63  # characters (RFC 1035, section 2.3.4)
KEY_BYTES = 32


def number(
    minimum: Optional[float] = None, maximum: Optional[float] = None, whole: bool = False
) -> Callable[[Any], float]:
    """Return a check for a number from `minimum` to `maximum`; with `whole`, for an integer."""

    def check(value: Any) -> float:
        if not _is_number(value, whole):
            raise expectation_error("a whole number" if whole else "a number", value)
        too_small = minimum is not None and value < minimum
        too_large = maximum is not None and value > maximum
        if too_small or too_large:
            raise expectation_error(f"a number {_bounds(minimum, maximum)}", value)
        return value if whole else float(value)

    return check


def _is_number(value: Any, whole: bool) -> bool:
    if isinstance(value, bool):  # bool is a subclass of int
        return False
    if isinstance(value, float):
        return not whole and not isnan(value)
    return isinstance(value, int)


def _bounds(minimum: Optional[float], maximum: Optional[float]) -> str:
    return f"at least {minimum}" if maximum is None else f"from {minimum} to {maximum}"


def text(value: Any) -> str:
    """Check for a string that is not empty."""
    if not isinstance(value, str) or not value:
        raise expectation_error("a string that is not empty", value)
    return value


def flag(value: Any) -> bool:
    """Check for True or False."""
    if not isinstance(value, bool):
        raise expectation_error("True or False", value)
    return value


def one_of(*choices: Any) -> Check:
    """Return a check for one of the values."""

    def check(value: Any) -> Any:
        if value not in choices:
            raise expectation_error("one of " + ", ".join(map(repr, choices)), value)
        return value

    return check


def list_of(check_item: Check, minimum: int = 0) -> Callable[[Any], list[Any]]:
    """Return a check for a list of at least `minimum` items that each pass `check_item`."""

    def check(value: Any) -> list[Any]:
        if not isinstance(value, (list, tuple)) or len(value) < minimum:
            raise expectation_error(f"a list of at least {minimum}" if minimum else "a list", value)
        return [check_item(item) for item in value]

    return check


def domain(value: Any) -> str:
    """Check for a domain name; return it in lower case without the trailing dot (RFC 1035)."""
    labels = text(value).rstrip(".").lower().split(".")
    if len(value) > MAX_DOMAIN_LENGTH or not all(map(_is_label, labels)):
        raise expectation_error("a domain name of letters, digits and hyphens", value)
    return ".".join(labels)


def _is_label(label: str) -> bool:
    alphanumerics = label.replace("-", "").replace("_", "")
    return 0 < len(label) <= MAX_LABEL_LENGTH and alphanumerics.isalnum()


def label(value: Any) -> str:
    """Check for one label of a domain name; return it in lower case."""
    if "." in text(value):
        raise expectation_error("one label without dots", value)
    return domain(value)


def address(value: Any) -> str:
    """Check for an IP address; return it in canonical form."""
    try:
        return str(ip_address(value))
    except ValueError:
        raise expectation_error("an IP address", value) from None


def network(value: Any) -> str:
    """Check for an IP network; return it in canonical form."""
    try:
        return str(ip_network(value))
    except ValueError:
        raise expectation_error(
            "a network such as 10.1.2.0/24 with no host bits set", value
        ) from None


def address_and_port(value: Any) -> tuple[str, int]:
    """Check for `ADDRESS:PORT`, with an IPv6 address in brackets; return address and port."""
    host, _, port = text(value).rpartition(":")
    if not port.isdecimal() or not 0 < int(port) < 65536:
        raise expectation_error("ADDRESS:PORT", value)
    return address(host.strip("[]")), int(port)


def secret_key(value: Any) -> str:
    """Check for a key of KEY_BYTES bytes in hexadecimal digits."""
    try:
        if len(bytes.fromhex(text(value))) == KEY_BYTES:
            return text(value)
    except ValueError:
        pass
    raise ValueError("expected 64 hex digits")  # without the value, which is a secret


seconds = number(0.0, 86400.0)
positive_seconds = number(0.001, 86400.0)
fraction = number(0.0, 1.0)
