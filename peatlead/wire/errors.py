"""Errors of the wire protocol."""


class WireFormatError(Exception):
    """Input that violates the wire protocol; the message names the problem and its position."""
