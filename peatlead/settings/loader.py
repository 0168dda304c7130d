"""Loads settings: runs the script, then checks its values one by one and as a whole.

Each error names file, line and what was expected.
"""

from pathlib import Path
from typing import Any, Union

from .consistency import Settings, check_consistency
from .errors import SettingsError
from .fields import REQUIRED
from .schema import REPEATED_BUILTINS, SINGLE_BUILTINS
from .starlark_runner import Call, run_script

LARGEST_SCRIPT = 4_000_000  # bytes; a larger one is a mistake


def read_settings(path: Union[str, Path]) -> Settings:
    """The checked settings of the script in a file."""
    try:
        data = Path(path).read_bytes()
        if len(data) > LARGEST_SCRIPT:
            raise SettingsError(
                f"{path}:1: expected at most {LARGEST_SCRIPT} bytes, got {len(data)}"
            )
        return load_settings(str(path), data.decode("utf-8"))
    except OSError as error:
        raise SettingsError(f"{path}:1: expected a readable file: {error.strerror}") from None
    except UnicodeDecodeError as error:
        raise SettingsError(f"{path}:1: expected UTF-8, byte {error.start} is not") from None


def load_settings(name: str, source: str) -> Settings:
    """The checked settings of a script that is given as text; `name` stands in errors."""
    calls = run_script(name, source, {**SINGLE_BUILTINS, **REPEATED_BUILTINS})
    settings: Settings = {
        builtin: [call.values for call in calls if call.builtin == builtin]
        for builtin in REPEATED_BUILTINS
    }
    for builtin in SINGLE_BUILTINS:
        settings[builtin] = _single_values(name, builtin, calls)
    check_consistency(name, settings)
    return settings


def _single_values(name: str, builtin: str, calls: list[Call]) -> dict[str, Any]:
    """The values of a builtin that may be called once: its defaults where it isn't called."""
    fields = SINGLE_BUILTINS[builtin]
    given = [call.values for call in calls if call.builtin == builtin]
    if len(given) > 1:
        raise SettingsError(f"{name}:1: expected one call of {builtin}(), got {len(given)}")
    if given:
        return given[0]
    required = [f"{field} = ..." for field, spec in fields.items() if spec.default is REQUIRED]
    if required:
        raise SettingsError(f"{name}:1: expected a call of {builtin}({', '.join(required)})")
    return {field: spec.default for field, spec in fields.items()}
