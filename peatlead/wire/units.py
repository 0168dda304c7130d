"""Unit conversions of the wire protocol."""

MICROSECONDS_PER_SECOND = 1_000_000
