"""Incremental digests over maps of items.

The digest is the sum of one hash per item, modulo 2^256. This is AdHash, the incremental hash of a
set by Bellare and Micciancio (1997). Adding, changing or removing an item costs one or two hashes,
independent of the size of the map. The digest detects errors, not forgery: the transport
authenticates the sender.
"""

from collections.abc import Mapping
from typing import Optional

from blake3 import blake3

from .items import ItemValue

MODULUS = 1 << 256
HASH_BYTES = 32  # of an item's hash
TEXT_SHIFT_BITS = 128  # the text form contains the upper half of the digest


class HashCache:
    """A cache of item hashes, which is cleared when it holds `capacity` hashes.

    The tables of different proxies have many items in common.
    """

    def __init__(self, capacity: int = 50_000) -> None:
        self.capacity = capacity
        self._cached: dict[tuple[str, ItemValue], int] = {}

    def hash_of(self, key: str, value: ItemValue) -> int:
        """Return the hash of an item."""
        cached = self._cached.get((key, value))
        if cached is not None:
            return cached
        if len(self._cached) >= self.capacity:
            self._cached.clear()
        digest = blake3(f"{key}\0{value}".encode()).digest(HASH_BYTES)
        item_hash = self._cached[key, value] = int.from_bytes(digest, "big")
        return item_hash


HASH_CACHE = HashCache()  # shared by all digests of the process


class Digest:
    """The running digest of a map of items. `str()` returns 128 bits in hexadecimal."""

    __slots__ = ("total",)

    def __init__(self, items: Optional[Mapping[str, ItemValue]] = None) -> None:
        self.total = 0  # sum of the items' hashes, modulo `MODULUS`
        for key, value in (items or {}).items():
            self.update(key, None, value)

    def update(self, key: str, old: Optional[ItemValue], new: Optional[ItemValue]) -> None:
        """Apply the change of one item from `old` to `new`; None stands for an absent item."""
        if old is not None:
            self.total -= HASH_CACHE.hash_of(key, old)
        if new is not None:
            self.total += HASH_CACHE.hash_of(key, new)
        self.total %= MODULUS

    def copy(self) -> "Digest":
        """Return an independent copy."""
        duplicate = Digest()
        duplicate.total = self.total
        return duplicate

    def __str__(self) -> str:
        return f"{self.total >> TEXT_SHIFT_BITS:032x}"
