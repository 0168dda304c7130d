"""Units of the wire."""

MICROSECONDS = 1_000_000  # in a second
