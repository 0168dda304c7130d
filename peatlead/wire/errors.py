"""Errors of the wire protocol."""


class WireFormatError(Exception):
    """The input violates the wire protocol. The message names the problem and its position."""
