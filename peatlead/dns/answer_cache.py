"""Answers prepared from the queries met before: only the id and the endpoints' order change."""

import struct
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Protocol

from .message_format import ID_BYTES

COUNTS_START = 2  # of a header without its id: the flags come before
COUNTS_END = 10

Order = tuple[int, ...]  # endpoints, in the order of an answer


class AnswerCycle:
    """The orders of the next answers, used one after the other and again from the start.

    All queries for one source and address family share it, so that weights hold over all of them.
    """

    __slots__ = ("index", "orders")

    def __init__(self, orders: list[Order]) -> None:
        self.orders = orders
        self.index = 0  # of the next order


@dataclass(slots=True, eq=False)
class AnswerSource:
    """One view of one service: the endpoints that its answers are drawn from."""

    weights: Mapping[int, float] = field(default_factory=dict)  # weights that answers are drawn by
    planned_weights: Mapping[int, float] = field(
        default_factory=dict
    )  # the table, as SRV records show it
    cacheable: bool = True  # whether answers may be cached
    min_addresses: int = 1  # that an answer should have
    version: int = 0  # counts changes
    cycles: dict[int, AnswerCycle] = field(default_factory=dict)  # by address family


class AnswerContext(Protocol):
    """What prepared answers need of `Answers`."""

    ttl: int

    def cycle(self, source: AnswerSource, family: int) -> AnswerCycle:
        """Return the source's cycle of a family."""

    def record(self, endpoint: int, family: int, ttl: int) -> bytes:
        """Return an address record in wire form."""


class PreparedAnswer:
    """The answers to one query.

    `head` is the header and question without the id, `tail` what comes after the answer section
    (the OPT record), `max_size` the bound of an answer's bytes.
    """

    __slots__ = (
        "bodies",
        "context",
        "cycle",
        "family",
        "head",
        "max_size",
        "source",
        "tail",
        "version",
    )

    def __init__(
        self,
        context: AnswerContext,
        source: AnswerSource,
        family: int,
        head: bytes,
        tail: bytes,
        max_size: int,
    ) -> None:
        self.context = context
        self.source = source
        self.family = family
        self.head = head
        self.tail = tail
        self.max_size = max_size
        self.version = source.version
        self.cycle = context.cycle(source, family)
        self.bodies: dict[Order, bytes] = {}  # answers without their id, by order

    def next(self) -> bytes:
        """Return the next answer without its id."""
        if self.version != self.source.version:
            self.renew()
        cycle = self.cycle
        index = cycle.index
        cycle.index = index + 1 if index + 1 < len(cycle.orders) else 0
        order = cycle.orders[index]
        return self.bodies.get(order) or self.build(order)

    def renew(self) -> None:
        """Start again after a change of the source."""
        self.version = self.source.version
        self.bodies = {}
        self.cycle = self.context.cycle(self.source, self.family)

    def build(self, order: Order) -> bytes:
        """Return the answer with an order, without its id, and store it.

        Addresses that do not fit are left out without truncation: fewer than asked for still serve,
        and a retry over TCP is not needed.
        """
        ttl = self.context.ttl if self.source.cacheable else 0
        records = [self.context.record(endpoint, self.family, ttl) for endpoint in order]
        capacity = self.max_size - ID_BYTES - len(self.head) - len(self.tail)
        records = records[: capacity // len(records[0])]
        flags = self.head[:COUNTS_START]
        question = self.head[COUNTS_END:]
        counts = struct.pack(">HHHH", 1, len(records), 0, 1 if self.tail else 0)
        body = flags + counts + question + b"".join(records) + self.tail
        self.bodies[order] = body
        return body


class AnswerCache:
    """Prepared answers by transport, peer and the query's bytes without its id."""

    def __init__(self) -> None:
        self.by_peer: dict[bool, dict[str, dict[bytes, PreparedAnswer]]] = {}  # by TCP or UDP
        self.size = 0  # prepared answers
        self.clear()

    def clear(self) -> None:
        """Drop all prepared answers."""
        self.by_peer = {False: {}, True: {}}
        self.size = 0

    def add(self, query: bytes, peer: str, tcp: bool, prepared: PreparedAnswer) -> None:
        """Add the prepared answer to a query."""
        self.by_peer[tcp].setdefault(peer, {})[query[ID_BYTES:]] = prepared
        self.size += 1
