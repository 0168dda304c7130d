"""Errors of the wire."""


class WireFormatError(Exception):
    """The stream holds something that is not the wire; the text says what and where."""
