"""What one named value of a builtin is: its check, its default and its meaning."""

from collections.abc import Callable
from typing import Any, NamedTuple

REQUIRED = object()  # as a default: the value must be given

Check = Callable[[Any], Any]  # returns the value as it is stored, or raises ValueError


class Field(NamedTuple):
    """One named value that a builtin of a script takes."""

    check: Check
    default: Any
    description: str


Schema = dict[str, dict[str, Field]]  # by builtin and field


def expectation_error(what: str, value: object) -> ValueError:
    """The error of a check.

    It is a plain ValueError, since it passes through the Starlark interpreter, which names an
    error's class in its report.
    """
    return ValueError(f"expected {what}, got {value!r}")
