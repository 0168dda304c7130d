"""Units of the wire."""

MICROSECONDS_PER_SECOND = 1_000_000  # in a second
