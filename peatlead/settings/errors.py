"""Errors in settings scripts."""


class SettingsError(Exception):
    """The script is invalid; the message is `FILE:LINE: description`."""
