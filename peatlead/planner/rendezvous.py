"""Rendezvous hashing (Thaler and Ravishankar, 1998) of a pool's endpoints for each proxy.

Each proxy has its own random order of the endpoints, which needs no memory: every controller
computes the same one, and a change of the list moves few entries.

The whole pool is mixed with a proxy's key at once, as lanes of one wide integer: a thousand
endpoints cost a dozen big-integer operations instead of a thousand calls, and only the candidates
for the top are sorted. `python -m peatlead.benchmarks.scale` measures the planner on it;
docs/scale.md compares the alternatives.
"""

import re
import struct
from collections.abc import Iterable, Iterator
from functools import lru_cache
from hashlib import blake2b
from typing import Generic, Optional, Protocol, TypeVar

# Picks one order out of many that are alike, so that simulated days can be compared
# (docs/results/scale.md).
SALT = b"turf"
LANE_BITS = 64  # of the wide integer that each endpoint has for itself
WORD_MASK = 0xFFFFFFFF  # the lower half of a lane holds the endpoint's hash
MIX_SHIFT = 15  # bits, between the two multiplications
SMALL_POOL = 32  # endpoints; up to here sorting all is as fast as selecting candidates first
# A filter on the highest byte passes about 256 * part of all values; beyond a half it isn't worth
# its cost.
HIGHEST_FILTER = 128
# By byte value: matches every byte up to it.
BYTE_FILTERS = [re.compile(b"[\\x00-\\x%02x]" % top, re.DOTALL) for top in range(256)]

ProxyKey = tuple[int, int]  # two odd 32-bit multipliers


class HashedEndpoint(Protocol):
    """What a pool reads of an endpoint."""

    name: bytes
    name_hash: int  # its `endpoint_hash`


EndpointT = TypeVar("EndpointT", bound=HashedEndpoint)


def endpoint_hash(name: bytes) -> int:
    """32 bits that stand for an endpoint's name.

    They are odd, since a product with an odd number loses no bit of the other factor.
    """
    return int.from_bytes(blake2b(name, digest_size=4, person=SALT).digest(), "little") | 1


def proxy_key(number: int) -> ProxyKey:
    """A proxy's two odd multipliers.

    `number` may be up to 2^64 - 1, since long proxy names are hashed to numbers.
    """
    digest = blake2b(number.to_bytes(8, "little"), digest_size=8, person=b"proxy").digest()
    return int.from_bytes(digest[:4], "little") | 1, int.from_bytes(digest[4:], "little") | 1


def rank(key: ProxyKey, name_hash: int) -> int:
    """The place of one endpoint, by its hash, in a proxy's order: the lowest comes first."""
    mixed = name_hash * key[0] & WORD_MASK
    mixed ^= mixed >> MIX_SHIFT
    return mixed * key[1] & WORD_MASK


@lru_cache(maxsize=4096)
def lane_masks(lanes: int) -> tuple[int, int]:
    """Masks of a pool with so many lanes.

    The first selects the lanes' words, the second the bits that the mixing shift leaves within
    their own lane.
    """
    ones = ((1 << LANE_BITS * lanes) - 1) // ((1 << LANE_BITS) - 1)
    return ones * WORD_MASK, ones * (WORD_MASK >> MIX_SHIFT)


def sort_by_name(endpoints: Iterable[EndpointT]) -> list[EndpointT]:
    """The endpoints in an order that is the same at every controller, whatever ids it gave them."""
    return sorted(endpoints, key=lambda endpoint: endpoint.name)


class RendezvousPool(Generic[EndpointT]):
    """The endpoints of one pool, to be ranked for any proxy.

    Two endpoints whose hashes are equal rank by name, at every controller alike.
    """

    __slots__ = ("endpoints", "packed", "word_mask", "shift_mask", "size")

    def __init__(self, endpoints: Iterable[EndpointT]) -> None:
        self.endpoints = sort_by_name(endpoints)
        self.size = len(self.endpoints)
        # All hashes, one in each lane of a wide integer.
        self.packed = int.from_bytes(
            struct.pack(f"<{self.size}Q", *[endpoint.name_hash for endpoint in self.endpoints]),
            "little",
        )
        self.word_mask, self.shift_mask = lane_masks(self.size)

    def __len__(self) -> int:
        return self.size

    def __iter__(self) -> Iterator[EndpointT]:
        return iter(self.endpoints)

    def top(self, key: ProxyKey, count: int) -> list[EndpointT]:
        """The first `count` endpoints (or all there are) of the proxy's order, best first."""
        mixed = self.packed * key[0] & self.word_mask
        mixed ^= mixed >> MIX_SHIFT & self.shift_mask
        lanes = (mixed * key[1] & self.word_mask).to_bytes(8 * self.size, "little")
        order = self._top_candidates(lanes, count) if self.size > SMALL_POOL else None
        if order is None:
            ranks = struct.unpack(f"<{self.size}Q", lanes)
            order = sorted(range(self.size), key=ranks.__getitem__)
        return [self.endpoints[index] for index in order[:count]]

    def _top_candidates(self, lanes: bytes, count: int) -> Optional[list[int]]:
        """Indices of the endpoints with a low highest byte of their rank, in order.

        The limit is set so that they should be `count` and a margin of four standard deviations.
        None where they are fewer than `count`, or where most of the pool would pass the limit.
        """
        limit = 256 * (count + 4 * count**0.5 + 4) / self.size
        if limit > HIGHEST_FILTER:
            return None
        indices = [match.start() for match in BYTE_FILTERS[int(limit)].finditer(lanes[3::8])]
        if len(indices) < count:
            return None
        return sorted(
            indices,
            key=lambda index: int.from_bytes(lanes[8 * index : 8 * index + 4], "little"),
        )
