"""The former place of `wire.settings`, until nothing imports from it any more."""

from .settings import REPORT_METRICS as REPORTS
from .settings import REQUEST_CLASS_SETTING_NAMES as OF_KIND
from .settings import SETTING_NAMES as PLAIN
from .settings import settings_from

__all__ = ["OF_KIND", "PLAIN", "REPORTS", "settings_from"]
