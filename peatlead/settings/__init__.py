"""Settings: a Starlark script that calls builtins, checked completely before it is used."""

from .errors import SettingsError
from .loader import load_settings, read_settings

__all__ = ["SettingsError", "load_settings", "read_settings"]
