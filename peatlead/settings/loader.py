"""Loading of settings: runs the script, checks each value, then checks the settings as a whole.

Each error message names the file, the line and what was expected.
"""

from pathlib import Path
from typing import Any, Union

from .consistency import Settings, check_consistency
from .errors import SettingsError
from .fields import REQUIRED
from .schema import REPEATED_BUILTINS, SINGLE_BUILTINS
from .starlark_runner import Call, run_script

MAX_SCRIPT_BYTES = 4_000_000


def read_settings(path: Union[str, Path]) -> Settings:
    """Return the settings of a script file; raises SettingsError."""
    try:
        data = Path(path).read_bytes()
        if len(data) > MAX_SCRIPT_BYTES:
            raise SettingsError(
                f"{path}:1: expected at most {MAX_SCRIPT_BYTES} bytes, got {len(data)}"
            )
        return load_settings(str(path), data.decode("utf-8"))
    except OSError as error:
        raise SettingsError(f"{path}:1: expected a readable file: {error.strerror}") from None
    except UnicodeDecodeError as error:
        raise SettingsError(
            f"{path}:1: expected UTF-8, got an invalid byte at offset {error.start}"
        ) from None


def load_settings(name: str, source: str) -> Settings:
    """Return the settings of a script given as text; raises SettingsError.

    `name` is the file name in error messages.
    """
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
    """Return the values of a builtin that may be called once, or its defaults."""
    fields = SINGLE_BUILTINS[builtin]
    given_values = [call.values for call in calls if call.builtin == builtin]
    if len(given_values) > 1:
        raise SettingsError(f"{name}:1: expected one call of {builtin}(), got {len(given_values)}")
    if given_values:
        return given_values[0]
    required = [
        f"{field_name} = ..." for field_name, spec in fields.items() if spec.default is REQUIRED
    ]
    if required:
        raise SettingsError(f"{name}:1: expected a call of {builtin}({', '.join(required)})")
    return {field_name: spec.default for field_name, spec in fields.items()}
