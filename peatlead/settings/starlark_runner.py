"""Runs a Starlark script whose builtins take named values, and checks each value."""

from collections.abc import Callable
from typing import Any, NamedTuple

import starlark

from .errors import SettingsError
from .fields import REQUIRED, Field, Schema


class Call(NamedTuple):
    """One call of a builtin, with all its fields: those that weren't given have their defaults."""

    builtin: str
    values: dict[str, Any]


def run_script(name: str, source: str, schema: Schema) -> list[Call]:
    """The script's calls of the schema's builtins, in their order; `name` stands in errors."""
    calls: list[Call] = []
    module = starlark.Module()
    for builtin, fields in schema.items():
        module.add_callable(builtin, _recorder(calls, builtin, fields))
    try:
        program = starlark.parse(name, source, starlark.Dialect.extended())
        starlark.eval(module, program, starlark.Globals.standard())
    except starlark.StarlarkError as error:
        raise SettingsError(_locate(name, str(error))) from None
    return calls


def _recorder(calls: list[Call], builtin: str, fields: dict[str, Field]) -> Callable[..., None]:
    """The function that the script calls under the builtin's name."""

    def record(*positional: Any, **named: Any) -> None:
        calls.append(Call(builtin, _check_fields(builtin, fields, positional, named)))

    return record


def _check_fields(
    builtin: str, fields: dict[str, Field], positional: tuple[Any, ...], named: dict[str, Any]
) -> dict[str, Any]:
    """The values of all fields, or ValueError with the first that is wrong."""
    if positional:
        raise ValueError(f"{builtin}: expected every value by name, got {positional[0]!r} by place")
    values = {
        name: _check_field(f"{builtin}.{name}", field, name in named, named.pop(name, None))
        for name, field in fields.items()
    }
    if named:
        raise ValueError(f"{builtin}: expected only {', '.join(fields)}, got {sorted(named)[0]!r}")
    return values


def _check_field(path: str, field: Field, given: bool, value: Any) -> Any:
    if given:
        try:
            return field.check(value)
        except ValueError as error:
            raise ValueError(f"{path}: {error}") from None
    if field.default is REQUIRED:
        raise ValueError(f"{path}: expected a value: {field.description}")
    return field.default


def _locate(name: str, report: str) -> str:
    """`FILE:LINE: text` out of Starlark's report, whose last arrow points at the place."""
    line, text = "1", report.strip().splitlines()[0]
    for row in map(str.strip, report.splitlines()):
        if row.startswith("--> "):
            line = row.rsplit(":", 2)[1]
        elif row.startswith("error: "):
            text = row.removeprefix("error: ").removeprefix("ValueError: ")
    return f"{name}:{line}: {text}"
