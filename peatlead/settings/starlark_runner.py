"""Runs Starlark scripts whose builtins take named values, and checks each value."""

from collections.abc import Callable
from typing import Any, NamedTuple

import starlark

from .errors import SettingsError
from .fields import REQUIRED, Field, Schema


class Call(NamedTuple):
    """One call of a builtin; `values` holds all its fields, with defaults where not given."""

    builtin: str
    values: dict[str, Any]


def run_script(name: str, source: str, schema: Schema) -> list[Call]:
    """Run a script and return its calls of the schema's builtins in order; raises SettingsError.

    `name` is the file name in error messages.
    """
    calls: list[Call] = []
    module = starlark.Module()
    for builtin, fields in schema.items():
        module.add_callable(builtin, _make_builtin(calls, builtin, fields))
    try:
        program = starlark.parse(name, source, starlark.Dialect.extended())
        starlark.eval(module, program, starlark.Globals.standard())
    except starlark.StarlarkError as error:
        raise SettingsError(_format_error(name, str(error))) from None
    return calls


def _make_builtin(calls: list[Call], builtin: str, fields: dict[str, Field]) -> Callable[..., None]:
    """Return the function of a builtin: it checks its arguments and adds them to `calls`."""

    def record_call(*positional: Any, **named: Any) -> None:
        calls.append(Call(builtin, _check_fields(builtin, fields, positional, named)))

    return record_call


def _check_fields(
    builtin: str, fields: dict[str, Field], positional: tuple[Any, ...], named: dict[str, Any]
) -> dict[str, Any]:
    """Return the values of all fields; raises ValueError for the first invalid one."""
    if positional:
        raise ValueError(
            f"{builtin}: expected every value by name, got {positional[0]!r} by position"
        )
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


def _format_error(name: str, report: str) -> str:
    """Return `FILE:LINE: text` for Starlark's error report, whose last `-->` is the location."""
    line, text = "1", report.strip().splitlines()[0]
    for report_line in map(str.strip, report.splitlines()):
        if report_line.startswith("--> "):
            line = report_line.rsplit(":", 2)[1]
        elif report_line.startswith("error: "):
            text = report_line.removeprefix("error: ").removeprefix("ValueError: ")
    return f"{name}:{line}: {text}"
