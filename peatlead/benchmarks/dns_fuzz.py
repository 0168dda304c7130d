"""Mutated DNS queries without end: no exception, and no answer longer than its transport bears.

`python -m peatlead.benchmarks.dns_fuzz [MANY] [SEED]`
"""

import json
import random
import sys
import time
from collections import Counter

import dns.edns
import dns.message

from .dns_speed import build

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
KINDS = ("A", "AAAA", "SRV", "SOA", "NS", "ANY", "AXFR", "IXFR", "MX", "TXT", "OPT")


def seeds():
    made = []
    for name in NAMES:
        for kind in KINDS:
            for edns, options in (
                (False, None),
                (0, None),
                (0, [dns.edns.ECSOption("127.100.3.0", 24)]),
                (0, [dns.edns.ECSOption("2001:db8::", 56)]),
                (1, None),
            ):
                made.append(
                    dns.message.make_query(name, kind, use_edns=edns, options=options).to_wire()
                )
    return made


def mutate(data, draw, others):
    """Bits flipped, bytes set, cut, doubled, spliced with another query, lengths and pointers made wild."""
    data = bytearray(data)
    for _ in range(draw.choice((0, 1, 1, 2, 4, 8))):
        how = draw.randrange(7)
        at = draw.randrange(len(data)) if data else 0
        if how == 0 and data:
            data[at] ^= 1 << draw.randrange(8)
        elif how == 1 and data:
            data[at] = draw.choice((0, 1, 63, 64, 0xC0, 0xFF, draw.randrange(256)))
        elif how == 2:
            del data[at:]
        elif how == 3:
            data[at:at] = data[at : at + draw.randrange(64)]
        elif how == 4:
            data[at:] = draw.choice(others)[at:]
        elif how == 5 and len(data) > 12:
            data[4 + draw.randrange(8)] = draw.randrange(256)  # the counts
        elif how == 6:
            data += bytes(draw.randrange(256) for _ in range(draw.randrange(40)))
    return bytes(data)


def fuzz(many, seed):
    """Counts of what came of `many` queries. An exception or an overlong answer ends it with an error."""
    _, answers, _, _ = build(60, 40, seed)
    draw, made, found, longest = random.Random(seed), seeds(), Counter(), 0
    peers = ["127.100.0.9", "10.0.0.1", "2001:db8::1", "::ffff:127.100.1.1"]
    for at in range(many):
        data, tcp = mutate(draw.choice(made), draw, made), draw.random() < 0.3
        try:
            answer = answers.respond(data, draw.choice(peers), tcp)
        except Exception:
            print(f"query {at} of seed {seed}: {data.hex()}", file=sys.stderr)
            raise
        if answer is None:
            found["no answer"] += 1
            continue
        limit = 65535 if tcp else 1232 if b"\x00\x00\x29" in data[12:] else 512
        if len(answer) > limit or answer[:2] != data[:2]:
            raise AssertionError(f"query {at} of seed {seed}: {len(answer)} bytes for {data.hex()}")
        longest = max(longest, len(answer))
        found[f"code {answer[3] & 15}"] += 1
    return {
        "queries": many,
        "seed": seed,
        "longest answer": longest,
        **found,
        "prepared": answers.prepared,
    }


def main():
    many, seed = (int(one) for one in [*sys.argv[1:], *("100000", "1")[len(sys.argv) - 1 :]])
    start = time.perf_counter()
    found = fuzz(many, seed)
    print(json.dumps({**found, "seconds": round(time.perf_counter() - start, 1)}))


if __name__ == "__main__":
    main()
