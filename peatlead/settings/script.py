"""The former place of what runs and loads scripts, until nothing imports from it any more."""

from .consistency import require_unique as unique
from .errors import SettingsError
from .loader import load_settings, read_settings
from .starlark_runner import run_script

__all__ = ["SettingsError", "load_settings", "read_settings", "run_script", "unique"]
