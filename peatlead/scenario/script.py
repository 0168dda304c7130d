"""Loads day scripts: Starlark whose builtins lay out a fleet, its traffic and its faults.

A day is a map: the values of each builtin of `ONCE` under its name, "kinds" with the request
classes, and "troubles" with the faults in order of their time, each with its builtin as "verb".
"""

from pathlib import Path
from typing import Any

from ..settings.consistency import require_unique
from ..settings.errors import SettingsError
from ..settings.starlark_runner import Call, run_script
from .script_schema import DEFAULT_KINDS, KIND, KINDS, ONCE, VERBS

__all__ = ["KINDS", "ONCE", "VERBS", "load_day", "read_day"]

Scenario = dict[str, Any]


def read_day(path: str | Path) -> Scenario:
    """The checked day of a script file. Raises SettingsError where the script is wrong."""
    try:
        source = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}:1: expected a readable day script: {error}") from None
    return load_day(str(path), source)


def load_day(name: str, source: str) -> Scenario:
    """The checked day of a script's text; `name` stands in errors, which are SettingsErrors."""
    calls = run_script(name, source, {**ONCE, **VERBS, "request_kind": KIND})
    scenario: Scenario = {builtin: _single_call(name, calls, builtin) for builtin in ONCE}
    scenario["kinds"] = [
        call.values for call in calls if call.builtin == "request_kind"
    ] or DEFAULT_KINDS
    scenario["troubles"] = sorted(
        ({"verb": call.builtin, **call.values} for call in calls if call.builtin in VERBS),
        key=lambda fault: fault["at"],
    )
    try:
        _check(scenario)
    except ValueError as error:
        raise SettingsError(f"{name}:1: {error}") from None
    return scenario


def _single_call(name: str, calls: list[Call], builtin: str) -> dict[str, Any]:
    """The values of the only call of a builtin, or its defaults."""
    values = [call.values for call in calls if call.builtin == builtin]
    if len(values) > 1:
        raise SettingsError(f"{name}:1: expected one call of {builtin}(), got {len(values)}")
    if values:
        return values[0]
    return {field: spec.default for field, spec in ONCE[builtin].items()}


def _check(scenario: Scenario) -> None:
    """Raise ValueError where values of different calls do not fit together."""
    require_unique(scenario["fleet"]["zones"], "zone")
    require_unique([kind["name"] for kind in scenario["kinds"]], "request kind")
    for fault in scenario["troubles"]:
        _check_fault(fault, scenario["fleet"]["zones"], scenario["day"]["stewards"])


def _check_fault(fault: dict[str, Any], zones: list[str], controllers: int) -> None:
    if fault.get("zone") and fault["zone"] not in zones:
        raise ValueError(
            f"{fault['verb']}.zone: expected one of {', '.join(zones)}, got {fault['zone']!r}"
        )
    if fault.get("steward", 0) >= controllers:
        raise ValueError(
            f"{fault['verb']}.steward: expected under {controllers}, got {fault['steward']}"
        )
