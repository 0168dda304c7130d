"""The errors of versioned tables, from one root."""


class TablesError(Exception):
    """Root of this package's errors."""


class UnknownVersionError(TablesError):
    """A version that is not stored: it never existed, or it has been dropped."""


class VersionOrderError(TablesError, ValueError):
    """A version that does not come after the newest one of its proxy."""


class KeyFormatError(TablesError, ValueError):
    """Text that is no key of a line."""


class StampFormatError(TablesError, ValueError):
    """Text that is no stamp of a delta."""


class SegmentError(TablesError):
    """Bytes at which the reading of a log segment ends."""


class PinError(TablesError):
    """An operator's request for a pin that cannot be met; the message says what was expected."""


class PinFormatError(TablesError, ValueError):
    """Bytes that are no list of pins."""
