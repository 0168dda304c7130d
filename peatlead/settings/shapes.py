"""The former place of fields, checks and schema, until nothing imports from it any more."""

from .checks import flag, many, number, one_of, part, seconds, some_seconds, text
from .fields import REQUIRED, Field, expected
from .schema import reference

__all__ = [
    "REQUIRED",
    "Field",
    "expected",
    "flag",
    "many",
    "number",
    "one_of",
    "part",
    "reference",
    "seconds",
    "some_seconds",
    "text",
]
