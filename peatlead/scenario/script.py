"""Loads day scripts: Starlark scripts whose builtins define a fleet, its traffic and its faults.

A scenario is a map: the values of each builtin of `SETUP_BUILTINS` under its name, "kinds" with the
request classes, and "troubles" with the faults in order of their start. A fault has the name of its
builtin as "verb".
"""

from pathlib import Path
from typing import Any

from ..settings.consistency import require_unique
from ..settings.errors import SettingsError
from ..settings.starlark_runner import Call, run_script
from .script_schema import (
    DEFAULT_REQUEST_CLASSES,
    FAULT_BUILTINS,
    REQUEST_CLASS_FIELDS,
    RESOLVER_KINDS,
    SETUP_BUILTINS,
)

__all__ = ["RESOLVER_KINDS", "SETUP_BUILTINS", "FAULT_BUILTINS", "load_day", "read_day"]

Scenario = dict[str, Any]


def read_day(path: str | Path) -> Scenario:
    """Read and check a script file. Raises SettingsError if the file or the script is invalid."""
    try:
        source = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}:1: expected a readable day script: {error}") from None
    return load_day(str(path), source)


def load_day(name: str, source: str) -> Scenario:
    """Load and check the text of a script; `name` appears in errors. Raises SettingsError."""
    calls = run_script(
        name, source, {**SETUP_BUILTINS, **FAULT_BUILTINS, "request_kind": REQUEST_CLASS_FIELDS}
    )
    scenario: Scenario = {builtin: _single_call(name, calls, builtin) for builtin in SETUP_BUILTINS}
    scenario["kinds"] = [
        call.values for call in calls if call.builtin == "request_kind"
    ] or DEFAULT_REQUEST_CLASSES
    scenario["troubles"] = sorted(
        ({"verb": call.builtin, **call.values} for call in calls if call.builtin in FAULT_BUILTINS),
        key=lambda fault: fault["at"],
    )
    try:
        _check_consistency(scenario)
    except ValueError as error:
        raise SettingsError(f"{name}:1: {error}") from None
    return scenario


def _single_call(name: str, calls: list[Call], builtin: str) -> dict[str, Any]:
    """Return the values of the only call of a builtin, or its defaults if there is none."""
    values = [call.values for call in calls if call.builtin == builtin]
    if len(values) > 1:
        raise SettingsError(f"{name}:1: expected one call of {builtin}(), got {len(values)}")
    if values:
        return values[0]
    return {field: spec.default for field, spec in SETUP_BUILTINS[builtin].items()}


def _check_consistency(scenario: Scenario) -> None:
    """Raise ValueError if values of different calls contradict each other."""
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
