"""The operations of which a batch's message to one proxy consists (see controller/channel.py).

A message is a map from keys to values; the first element of a key is its kind.
"""

from collections.abc import Mapping
from typing import Any, Final

ENTRY: Final = "line"  # ("line", table, endpoint): weight
WITHDRAWN: Final = "withdrawn"  # ("withdrawn", endpoint): whether it is
ASSIGNMENT: Final = "bind"  # ("bind", request class): table
ADMISSION: Final = "level"  # ("level", request class): (fraction, retry policy)

Operations = Mapping[tuple[Any, ...], Any]
