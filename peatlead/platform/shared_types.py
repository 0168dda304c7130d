"""Types that the modules of this package share."""

from typing import Any, Protocol

Settings = dict[str, Any]  # the planner's settings by name


class Log(Protocol):
    """Writes a log event with its fields."""

    def __call__(self, event: str, /, **fields: Any) -> None:
        """Write the event."""
        ...
