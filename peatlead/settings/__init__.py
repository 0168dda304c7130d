"""Settings: a Starlark script that calls a few builtins; checked whole before anything is used."""

from .errors import SettingsError
from .loader import load_settings, read_settings

__all__ = ["SettingsError", "load_settings", "read_settings"]
