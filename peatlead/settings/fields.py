"""Fields: the named values that the builtins of a script take."""

from collections.abc import Callable
from typing import Any, NamedTuple

REQUIRED = object()  # the default of a field that must be given

Check = Callable[[Any], Any]  # returns the normalized value or raises ValueError


class Field(NamedTuple):
    """One named value: its check, default and description."""

    check: Check
    default: Any
    description: str


Schema = dict[str, dict[str, Field]]  # by builtin name and field name


def expectation_error(expected: str, value: object) -> ValueError:
    """Return the error of a failed check.

    A ValueError is used because the Starlark interpreter includes the name of the class in its
    error report, from which starlark_runner removes it.
    """
    return ValueError(f"expected {expected}, got {value!r}")
