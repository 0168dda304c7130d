"""Feeds mutated queries to the DNS answering code, and checks the size and ID of each answer.

`python -m peatlead.benchmarks.dns_fuzz [QUERIES] [SEED]`
"""

import json
import random
import sys
import time
from collections import Counter
from collections.abc import Sequence
from typing import Any, NamedTuple

import dns.edns
import dns.message

from .dns_speed import build_fixture

VIEWS = 60
ENDPOINTS = 40
TCP_FRACTION = 0.3  # fraction of the queries that use TCP
MAX_TCP_ANSWER = 65535  # bytes, RFC 1035 section 4.2.2
MAX_EDNS_ANSWER = 1232  # bytes over UDP, to queries with EDNS
MAX_PLAIN_UDP_ANSWER = 512  # bytes, RFC 1035 section 4.2.1
OPT_RECORD = b"\x00\x00\x29"  # root name and type of the EDNS record (RFC 6891)
COUNTS_OFFSET = 4  # position of the section counts in the header, in bytes
COUNTS_SIZE = 8  # size of the section counts, in bytes
PEERS = ("127.100.0.9", "10.0.0.1", "2001:db8::1", "::ffff:127.100.1.1")
NAMES = (
    "api.example.org",
    "_http._tcp.api.example.org",
    "d1.api.example.org",
    "example.org",
    "h3.hosts.example.org",
    "ns1.example.org",
    "x.y.z",
    ".",
    "a" * 63 + ".example.org",
)
TYPES = ("A", "AAAA", "SRV", "SOA", "NS", "ANY", "AXFR", "IXFR", "MX", "TXT", "OPT")


class Edns(NamedTuple):
    """The EDNS version of a query (False for a query without EDNS) and its options."""

    version: Any
    options: Any


EDNS = (
    Edns(False, None),
    Edns(0, None),
    Edns(0, [dns.edns.ECSOption("127.100.3.0", 24)]),
    Edns(0, [dns.edns.ECSOption("2001:db8::", 56)]),
    Edns(1, None),
)


def valid_queries() -> list[bytes]:
    """Return well-formed queries of all names, types and EDNS variants."""
    return [
        dns.message.make_query(
            name, record_type, use_edns=edns.version, options=edns.options
        ).to_wire()
        for name in NAMES
        for record_type in TYPES
        for edns in EDNS
    ]


def mutate(query: bytes, rng: random.Random, other_queries: Sequence[bytes]) -> bytes:
    """Return a query after up to eight mutations."""
    data = bytearray(query)
    for _ in range(rng.choice((0, 1, 1, 2, 4, 8))):
        mutate_once(data, rng, other_queries)
    return bytes(data)


def mutate_once(data: bytearray, rng: random.Random, other_queries: Sequence[bytes]) -> None:
    """Apply one random mutation to a query.

    It flips a bit, sets a byte, truncates, duplicates bytes, splices the query with another, sets
    a section count or appends random bytes.
    """
    mutation = rng.randrange(7)
    offset = rng.randrange(len(data)) if data else 0
    if mutation == 0 and data:
        data[offset] ^= 1 << rng.randrange(8)
    elif mutation == 1 and data:
        data[offset] = rng.choice((0, 1, 63, 64, 0xC0, 0xFF, rng.randrange(256)))
    elif mutation == 2:
        del data[offset:]
    elif mutation == 3:
        data[offset:offset] = data[offset : offset + rng.randrange(64)]
    elif mutation == 4:
        data[offset:] = rng.choice(other_queries)[offset:]
    elif mutation == 5 and len(data) > COUNTS_OFFSET + COUNTS_SIZE:
        data[COUNTS_OFFSET + rng.randrange(COUNTS_SIZE)] = rng.randrange(256)
    elif mutation == 6:
        data += bytes(rng.randrange(256) for _ in range(rng.randrange(40)))


def max_answer_size(query: bytes, tcp: bool) -> int:
    """Return the maximum size of an answer to a query, in bytes."""
    if tcp:
        return MAX_TCP_ANSWER
    return MAX_EDNS_ANSWER if OPT_RECORD in query[12:] else MAX_PLAIN_UDP_ANSWER


def find_error(query: bytes, answer: bytes | list[bytes], tcp: bool) -> str:
    """Return a description of the error in an answer, "" if the answer is valid."""
    if isinstance(answer, list):
        return "unexpected zone transfer"
    if len(answer) > max_answer_size(query, tcp) or answer[:2] != query[:2]:
        return f"answer of {len(answer)} bytes is too long or has another message ID"
    return ""


def fuzz(queries: int, seed: int) -> dict[str, Any]:
    """Answer mutated queries and count the outcomes.

    Exceptions of the tested code are raised again after their query has been printed. Raises
    AssertionError for an answer that is too long, has another message ID or is a zone transfer,
    which no view of this fixture allows.
    """
    answers = build_fixture(VIEWS, ENDPOINTS, seed).answers
    rng = random.Random(seed)
    valid = valid_queries()
    outcomes: Counter[str] = Counter()
    longest = 0
    for index in range(queries):
        query = mutate(rng.choice(valid), rng, valid)
        tcp = rng.random() < TCP_FRACTION
        try:
            answer = answers.respond(query, rng.choice(PEERS), tcp)
        except Exception:
            print(f"exception at query {index} of seed {seed}: {query.hex()}", file=sys.stderr)
            raise
        if answer is None:
            outcomes["no answer"] += 1
            continue
        error = find_error(query, answer, tcp)
        if error:
            raise AssertionError(f"query {index} of seed {seed}: {error} for {query.hex()}")
        assert isinstance(answer, bytes)
        longest = max(longest, len(answer))
        outcomes[f"code {answer[3] & 15}"] += 1
    totals = {"queries": queries, "seed": seed, "longest answer": longest}
    return {**totals, **outcomes, "prepared": answers.prepared_count}


def main() -> None:
    """Fuzz with the arguments of the command line and print the counts as JSON."""
    queries = int(sys.argv[1]) if len(sys.argv) > 1 else 100_000
    seed = int(sys.argv[2]) if len(sys.argv) > 2 else 1
    start = time.perf_counter()
    outcomes = fuzz(queries, seed)
    print(json.dumps({**outcomes, "seconds": round(time.perf_counter() - start, 1)}))


if __name__ == "__main__":
    main()
