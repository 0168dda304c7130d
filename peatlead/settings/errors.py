"""Errors of settings scripts."""


class SettingsError(Exception):
    """The script cannot be used; the text is `FILE:LINE: what was expected`."""
