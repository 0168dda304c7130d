"""Exceptions of versioned tables. All classes derive from `TablesError`."""


class TablesError(Exception):
    """Base class of this package's exceptions."""


class UnknownVersionError(TablesError):
    """A version is not stored, because it never existed or was dropped."""


class VersionOrderError(TablesError, ValueError):
    """A committed version is not newer than the newest version of its proxy."""


class KeyFormatError(TablesError, ValueError):
    """A text is not a valid line key."""


class StampFormatError(TablesError, ValueError):
    """A text is not a valid stamp of a delta."""


class SegmentError(TablesError):
    """A segment of the table log is damaged. Nothing after the damage can be read."""


class PinError(TablesError):
    """An operator's request for a pin is invalid. The message says what was expected."""


class PinFormatError(TablesError, ValueError):
    """Data is not a valid encoded list of pins."""
