"""Rendezvous hashing (Thaler and Ravishankar, 1998) of a pool's endpoints for each proxy.

Each proxy has its own pseudo-random order of the endpoints, which is computed without stored state.
All controllers compute the same order, and a change of the endpoint list changes few tables.

The hashes of the whole pool are mixed with a proxy's key at once, as lanes of one wide integer. For
a thousand endpoints this takes a dozen big-integer operations instead of a thousand function calls.
Only candidates for the first places are sorted. docs/scale.md compares alternatives, which
`python -m peatlead.benchmarks.scale` measures.
"""

import re
import struct
from collections.abc import Iterable, Iterator
from functools import lru_cache
from hashlib import blake2b
from typing import Generic, Optional, Protocol, TypeVar

# Seed of the hashes. Another value changes all orders and the results of simulations
# (docs/results/scale.md).
SALT = b"turf"
LANE_BITS = 64  # bits of the wide integer for each endpoint
WORD_MASK = 0xFFFFFFFF  # the lower half of a lane, which holds the endpoint's hash
MIX_SHIFT = 15  # bits, in the xorshift between the two multiplications
# Endpoints; pools up to this size are sorted without selecting candidates, which is as fast.
MAX_FULL_SORT_SIZE = 32
# The candidate filter passes ranks whose most significant byte is at most a limit. If the limit
# exceeds this value, at which half of the pool passes, sorting the whole pool is as fast.
MAX_FILTER_BYTE = 128
# For each byte value, a pattern that matches all bytes up to and including that value.
BYTE_FILTERS = [re.compile(b"[\\x00-\\x%02x]" % highest, re.DOTALL) for highest in range(256)]

ProxyKey = tuple[int, int]  # two odd 32-bit multipliers


class HashedEndpoint(Protocol):
    """The attributes of an endpoint that a pool reads."""

    name: bytes
    name_hash: int  # see `endpoint_hash`


EndpointT = TypeVar("EndpointT", bound=HashedEndpoint)


def endpoint_hash(name: bytes) -> int:
    """Return a 32-bit hash of an endpoint's name.

    The hash is odd: the product with an odd number modulo 2^32 preserves all bits of the other
    factor.
    """
    return int.from_bytes(blake2b(name, digest_size=4, person=SALT).digest(), "little") | 1


def proxy_key(number: int) -> ProxyKey:
    """Return a proxy's two odd multipliers.

    `number` may be up to 2^64 - 1, since long proxy names are hashed to numbers.
    """
    digest = blake2b(number.to_bytes(8, "little"), digest_size=8, person=b"proxy").digest()
    return int.from_bytes(digest[:4], "little") | 1, int.from_bytes(digest[4:], "little") | 1


def rank(key: ProxyKey, name_hash: int) -> int:
    """Return the rank of an endpoint, given its hash, for a proxy; the lowest rank comes first."""
    mixed = name_hash * key[0] & WORD_MASK
    mixed ^= mixed >> MIX_SHIFT
    return mixed * key[1] & WORD_MASK


@lru_cache(maxsize=4096)
def lane_masks(lanes: int) -> tuple[int, int]:
    """Return the masks of a pool with this number of lanes.

    The first mask selects the lower word of each lane. The second mask selects the bits that stay
    within their own lane when they are shifted by `MIX_SHIFT`.
    """
    one_per_lane = ((1 << LANE_BITS * lanes) - 1) // ((1 << LANE_BITS) - 1)
    return one_per_lane * WORD_MASK, one_per_lane * (WORD_MASK >> MIX_SHIFT)


def sort_by_name(endpoints: Iterable[EndpointT]) -> list[EndpointT]:
    """Return the endpoints by name, an order that is the same on every controller."""
    return sorted(endpoints, key=lambda endpoint: endpoint.name)


class RendezvousPool(Generic[EndpointT]):
    """The endpoints of one pool, which can be ranked for any proxy.

    Endpoints with equal hashes are ordered by name, so that all controllers agree.
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
        """Return the first `count` endpoints in the order of a proxy, or all if there are fewer."""
        mixed = self.packed * key[0] & self.word_mask
        mixed ^= mixed >> MIX_SHIFT & self.shift_mask
        lanes = (mixed * key[1] & self.word_mask).to_bytes(8 * self.size, "little")
        order = self._top_candidates(lanes, count) if self.size > MAX_FULL_SORT_SIZE else None
        if order is None:
            ranks = struct.unpack(f"<{self.size}Q", lanes)
            order = sorted(range(self.size), key=ranks.__getitem__)
        return [self.endpoints[index] for index in order[:count]]

    def _top_candidates(self, lanes: bytes, count: int) -> Optional[list[int]]:
        """Return the ordered indices of endpoints whose rank has a small most significant byte.

        `lanes` has the ranks of all endpoints. The limit of the byte is so high that the expected
        number of candidates is `count` plus a margin of four standard deviations. The result is
        None if there are fewer than `count` candidates, or if more than half of the pool would pass
        the limit.
        """
        limit = 256 * (count + 4 * count**0.5 + 4) / self.size
        if limit > MAX_FILTER_BYTE:
            return None
        indices = [match.start() for match in BYTE_FILTERS[int(limit)].finditer(lanes[3::8])]
        if len(indices) < count:
            return None
        return sorted(
            indices,
            key=lambda index: int.from_bytes(lanes[8 * index : 8 * index + 4], "little"),
        )
