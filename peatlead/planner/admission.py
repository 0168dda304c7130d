"""The admission of requests: how many a proxy forwards, and which it tries again."""

from typing import NamedTuple


class Admission(NamedTuple):
    """The admitted fraction (0 to 1) and the retry policy of a class or of a table."""

    fraction: float
    retry_policy: str
