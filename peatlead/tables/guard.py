"""What a pinned table may be now. Pure: facts in, lines out.

A table of the past is a wish: hosts that drain, went, were dropped or started since are as they
are now. Beside what it takes out, the guard only fills, from the table that the planner wants now:

1. shut    a host that is withdrawn, not listed ready, or that the planner names in no table at
all, is not revived 2. cold    a host that still ramps keeps what the planner's own table for this
proxy gives it, and never a greater part of the table than there: the sum over proxies is then no
more than was planned 3. fill    less than KEEP_LEAST of the wished weight left would press a whole
proxy's reqs on few hosts: the planner's lines come in beside 4. bare    nothing left: the
planner's table, whole

One entry point: `guard(wish, wanted, facts) -> Guarded`.
"""

from math import fsum
from typing import NamedTuple

KEEP_LEAST = 0.5  # of the wished table's weight
RAMPED = 0.999  # of the listed weight: at this a host has done with its ramp


class GuardContext(NamedTuple):
    """`phases`: {host: phase as listed}; `shut`: withdrawn hosts; `parts`: {host: greatest part of its listed
    weight that any of the planner's tables gives it}, none for a host that it names nowhere."""

    phases: dict
    shut: set
    parts: dict


class GuardedTable(NamedTuple):
    """`lines`: {host: weight}; `taken`: {host: why it is not as wished}; `filled`: hosts that were put in."""

    lines: dict
    taken: dict
    filled: tuple


def why_not(host, facts):
    """Why a host may not come back at all, or None."""
    phase = facts.phases.get(host, "unlisted")
    if phase != "ready":
        return {"draining": "drains", "gone": "is gone"}.get(phase, "is not listed")
    if host in facts.shut:
        return "is withdrawn"
    if host not in facts.parts:
        return "is dropped: the planner names it nowhere"
    return None


def guard(wish, wanted, facts):
    """`wish` and `wanted`: {host: weight}, the table of the past and the planner's for now."""
    lines, taken, cold = {}, {}, []
    for host, weight in wish.items():
        why = why_not(host, facts)
        if why is None and facts.parts[host] < RAMPED:
            if host not in wanted:
                why = "still ramps: the planner gives it no part here"
            else:
                cold.append(host)
                taken[host] = "still ramps: held to the planner's part"
                continue
        if why is None:
            lines[host] = weight
        else:
            taken[host] = why
    filled = ()
    if fsum(lines.values()) < KEEP_LEAST * fsum(wish.values()):
        filled = tuple(host for host in wanted if host not in lines and host not in cold)
        lines.update((host, wanted[host]) for host in filled)
    warm = {host for host in lines if facts.parts.get(host, 1.0) >= RAMPED}
    if not warm:
        return GuardedTable(dict(wanted), taken, tuple(host for host in wanted if host not in wish))
    cap_cold(lines, [*cold, *(host for host in lines if host not in warm)], wanted)
    return GuardedTable(lines, taken, filled)


def cap_cold(lines, cold, wanted):
    """Each cold host's part of the table no greater than in the planner's own."""
    warm_now = fsum(weight for host, weight in lines.items() if host not in cold)
    warm_then = fsum(weight for host, weight in wanted.items() if host not in cold)
    for host in cold:
        weight = wanted[host]
        # In a part of the whole, cold weights count in the whole too: scaling them like the warm sum keeps each part.
        scale = 1.0 if warm_now >= warm_then or not warm_then else warm_now / warm_then
        lines[host] = weight * scale
