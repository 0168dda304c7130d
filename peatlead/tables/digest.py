"""Incremental digests over maps of items.

The digest is the sum of one hash per item, modulo 2^256: an incremental hash of a set, AdHash of
Bellare and Micciancio (1997). To add, change or remove an item costs one or two hashes, whatever
the size of the map. It detects errors, not forgery: who may send at all is the transport's
responsibility.
"""

from collections.abc import Mapping
from typing import Optional

from blake3 import blake3

from .items import ItemValue

MODULUS = 1 << 256
HASH_BYTES = 32
SHOWN_SHIFT = 128  # bits: the upper half of a digest is published


class HashCache:
    """A cache of item hashes, since the same few thousand items recur.

    When `capacity` is reached all of them are dropped.
    """

    def __init__(self, capacity: int = 50_000) -> None:
        self.capacity = capacity
        self._cached: dict[tuple[str, ItemValue], int] = {}

    def hash_of(self, key: str, value: ItemValue) -> int:
        """Return an item's hash."""
        cached = self._cached.get((key, value))
        if cached is not None:
            return cached
        if len(self._cached) >= self.capacity:
            self._cached.clear()
        digest = blake3(f"{key}\0{value}".encode()).digest(HASH_BYTES)
        item_hash = self._cached[key, value] = int.from_bytes(digest, "big")
        return item_hash


HASHES = HashCache()


class Digest:
    """The running digest of a map of items. Its text is 128 bits in hexadecimal."""

    __slots__ = ("total",)

    def __init__(self, items: Optional[Mapping[str, ItemValue]] = None) -> None:
        self.total = 0
        for key, value in (items or {}).items():
            self.update(key, None, value)

    def update(self, key: str, old: Optional[ItemValue], new: Optional[ItemValue]) -> None:
        """Apply the change of one item; None stands for an absent item."""
        if old is not None:
            self.total -= HASHES.hash_of(key, old)
        if new is not None:
            self.total += HASHES.hash_of(key, new)
        self.total %= MODULUS

    def copy(self) -> "Digest":
        """Return an independent copy."""
        duplicate = Digest()
        duplicate.total = self.total
        return duplicate

    def __str__(self) -> str:
        return f"{self.total >> SHOWN_SHIFT:032x}"
