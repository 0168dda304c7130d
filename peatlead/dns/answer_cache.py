"""A cache of prepared answers to repeated queries.

Answers to the same query differ only in their id and in the order of the endpoints.
"""

import struct
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Protocol

from .message_format import ID_BYTES

PREPARED_ANSWER_BYTES = 1024  # memory of a prepared answer, in addition to its query and bodies
BODY_OVERHEAD_BYTES = 128  # memory of a body, in addition to its data
COUNTS_START = 2  # offset of the record counts in a header without its id
COUNTS_END = 10

Order = tuple[int, ...]  # endpoints in the order of an answer's records


class AnswerCycle:
    """A cyclic sequence of the endpoint orders of answers.

    All queries for one source and address family share a cycle, so that the weights apply to all
    of these queries together.
    """

    __slots__ = ("index", "orders")

    def __init__(self, orders: list[Order]) -> None:
        self.orders = orders
        self.index = 0  # index of the next order


@dataclass(slots=True, eq=False)
class AnswerSource:
    """The endpoints that the answers to one view for one service are drawn from."""

    # Weights of the endpoints for address records (A and AAAA).
    weights: Mapping[int, float] = field(default_factory=dict)
    planned_weights: Mapping[int, float] = field(default_factory=dict)  # weights for SRV records
    cacheable: bool = True  # whether answers may be cached
    min_addresses: int = 1  # minimum addresses per answer, or all endpoints if there are fewer
    version: int = 0  # incremented by each change
    cycles: dict[int, AnswerCycle] = field(default_factory=dict)  # by address family


class AnswerContext(Protocol):
    """The part of `Answers` that prepared answers use."""

    ttl: int

    def cycle(self, source: AnswerSource, family: int) -> AnswerCycle:
        """Return the source's cycle of orders for an address family."""

    def record(self, endpoint: int, family: int, ttl: int) -> bytes:
        """Return an address record in wire form."""

    def count_prepared_bytes(self, size: int) -> None:
        """Count memory that prepared answers take."""


class PreparedAnswer:
    """The answers to one query, built when they are first needed.

    `head` is the header and question without the id. `tail` is the OPT record, which follows the
    answer section; it may be empty. `max_size` is the largest size of an answer in bytes.
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
        self.bodies: dict[Order, bytes] = {}  # answers without their id

    def next_answer(self) -> bytes:
        """Return the next answer without its id."""
        if self.version != self.source.version:
            self.reset()
        cycle = self.cycle
        index = cycle.index
        cycle.index = index + 1 if index + 1 < len(cycle.orders) else 0
        order = cycle.orders[index]
        return self.bodies.get(order) or self.build_body(order)

    def reset(self) -> None:
        """Drop the built answers and get a new cycle, after a change of the source."""
        self.version = self.source.version
        self.bodies = {}
        self.cycle = self.context.cycle(self.source, self.family)

    def build_body(self, order: Order) -> bytes:
        """Build and store the answer, without its id, that has the endpoints in this order.

        Addresses that do not fit are left out without setting the TC flag, since clients can do
        with fewer addresses and need no retry over TCP.
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
        self.context.count_prepared_bytes(BODY_OVERHEAD_BYTES + len(body))
        return body


class AnswerCache:
    """Prepared answers by transport (whether TCP), peer address and query without its id."""

    def __init__(self) -> None:
        # By transport, then by peer, then by query.
        self.by_transport: dict[bool, dict[str, dict[bytes, PreparedAnswer]]] = {}
        self.size = 0  # number of prepared answers
        self.held_bytes = 0  # approximate memory; bodies that are dropped alone stay counted
        self.clear()

    def clear(self) -> None:
        """Drop all prepared answers."""
        self.by_transport = {False: {}, True: {}}
        self.size = 0
        self.held_bytes = 0

    def add(self, query: bytes, peer: str, tcp: bool, prepared_answer: PreparedAnswer) -> None:
        """Add the prepared answer to a query."""
        self.by_transport[tcp].setdefault(peer, {})[query[ID_BYTES:]] = prepared_answer
        self.size += 1
        self.held_bytes += PREPARED_ANSWER_BYTES + len(query)
