"""Exceptions of versioned tables; all of them derive from `TablesError`."""


class TablesError(Exception):
    """Base class of this package's exceptions."""


class UnknownVersionError(TablesError):
    """A version that is not stored: either it never existed or it was dropped."""


class VersionOrderError(TablesError, ValueError):
    """A version that is not newer than the newest version of its proxy."""


class KeyFormatError(TablesError, ValueError):
    """Text that is not a valid line key."""


class StampFormatError(TablesError, ValueError):
    """Text that is not a valid delta stamp."""


class SegmentError(TablesError):
    """Damage in a log segment; nothing after it can be read."""


class PinError(TablesError):
    """An invalid pin request of an operator; the message says what was expected."""


class PinFormatError(TablesError, ValueError):
    """Bytes that are not a valid list of pins."""
