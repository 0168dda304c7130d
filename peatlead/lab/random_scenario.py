"""Random scenarios by seed, for swarm testing. No I/O.

Each seed enables a random subset of the kinds of faults, and draws the start times and parameters
of the enabled ones. Faults may overlap, and some are limited to one zone. `as_script` converts a
scenario back to a day script, which can be played in the lab or on sockets.
"""

from random import Random

from ..scenario.script import FAULT_BUILTINS, RESOLVER_KINDS, SETUP_BUILTINS, load_day

FAULT_PROBABILITY = 0.35  # of each kind of fault, to be enabled for a seed

EXCLUDED_FAULTS = ("fleet_drained",)


def draw_scenario(seed, kind="fleet", length=20.0):
    """Return a random scenario that lasts `length` seconds.

    Kind "fleet" has proxies and three controllers, kind "dns" has DNS clients and two controllers.
    """
    rng = Random(f"{kind}:{seed}")
    zones = ["a", "b", "c"][: rng.choice((2, 3))]
    lines = [
        f"day(length = {length}, seed = {seed}, stewards = {3 if kind == 'fleet' else 2})",
        f"fleet(zones = {zones!r}, hosts = {rng.randrange(6, 13)}, pod = {rng.choice((2, 3, 4))}, "
        f"warm_after = {rng.uniform(4, 10):.1f}, cold_share = {rng.uniform(0.2, 0.5):.2f}, "
        f"tip_multiple = {rng.uniform(2.5, 4):.1f}, deep_probes = {rng.random() < 0.7})",
    ]
    rate = rng.uniform(25, 60)
    if kind == "fleet":
        lines.append(
            f"agents(many = {rng.randrange(4, 14)}, rate = {rate:.0f}, "
            f"pick = {rng.choice(('random', 'lighter of two'))!r}, "
            f"fails_to_shun = {rng.choice((0, 3))}, incremental = {rng.random() < 0.7})"
        )
        lines.append("desks(views = 0, shared = 0)")
    else:
        resolvers = [rng.choice(RESOLVER_KINDS) for _ in range(4)]
        biggest = rng.choice((0.0, 0.0, 0.4))
        lines.append(
            f"desks(views = {rng.randrange(4, 14)}, rate = {rate:.0f}, shared = 2, biggest = {biggest}, "
            f"resolvers = {resolvers!r}, habits = ['first', 'any', 'same', 'sorted', 'holds'])"
        )
    lines += draw_faults(rng, kind, zones, length)
    return load_day(f"seed {seed}", "\n".join(lines))


def draw_faults(rng, kind, zones, length):
    """Return the calls of random faults as Starlark source, ordered by start time."""
    faults = []
    for verb in sorted(FAULT_BUILTINS):
        if verb in EXCLUDED_FAULTS:
            continue
        if kind == "dns" and verb == "rollback":
            continue  # without a fleet of controllers, a pin would affect only one of them
        if kind == "fleet" and verb in ("burst", "shift"):
            continue
        if rng.random() >= FAULT_PROBABILITY:
            continue
        for _ in range(rng.choice((1, 1, 2))):
            start = rng.uniform(1.0, length * 0.7)
            faults.append(
                (
                    start,
                    verb,
                    draw_parameters(rng, verb, zones, min(length - start, rng.uniform(1.0, 10.0))),
                )
            )
    return [
        f"{verb}(at = {start:.2f}, {', '.join(f'{name} = {value!r}' for name, value in values.items())})"
        for start, verb, values in sorted(faults)
    ]


def draw_parameters(rng, verb, zones, length):
    """Return random values of a fault's fields, except its start time."""
    values = {}
    fields = FAULT_BUILTINS[verb]
    if "length" in fields:
        values["length"] = round(max(0.5, length), 2)
    if "part" in fields:
        values["part"] = round(rng.uniform(0.08, 0.5), 2)
    if "zone" in fields and verb != "shift" and rng.random() < 0.3:
        values["zone"] = rng.choice(zones)
    if verb == "shift":
        values["zone"] = rng.choice(zones)
    if "steward" in fields:
        values["steward"] = rng.randrange(2)
    if "at_once" in fields:
        values["at_once"] = round(rng.uniform(0.1, 0.4), 2)
    if "every" in fields:
        values["every"] = round(rng.uniform(1.0, 5.0), 2)
    if "ghosts" in fields:
        values["ghosts"] = rng.randrange(1, 8)
    if "back" in fields:
        values["back"] = round(rng.uniform(0.0, 8.0), 2)
        values["over"] = round(rng.choice((0.0, 1.0, 4.0)), 2)
        values["share"] = round(rng.choice((1.0, 1.0, 0.4)), 2)
    if "one" in fields:
        values["one"], values["other"] = (
            rng.sample(zones, 2)
            if rng.random() < 0.5
            else [f"127.1.0.{number}" for number in rng.sample((1, 2, 3), 2)]
        )
        if verb == "link_cut":
            values["both"] = rng.random() < 0.6
    return values


def as_script(scenario):
    """Return the Starlark script of a scenario, without values that equal the defaults."""
    lines = []
    for name, fields in SETUP_BUILTINS.items():
        values = {
            field: value
            for field, value in scenario[name].items()
            if value != fields[field].default
        }
        lines.append(format_call(name, values))
    for fault in scenario["troubles"]:
        fields = FAULT_BUILTINS[fault["verb"]]
        values = {
            field: fault[field]
            for field in fields
            if field == "at" or fault[field] != fields[field].default
        }
        lines.append(format_call(fault["verb"], values))
    return "\n".join(lines) + "\n"


def format_call(name, values):
    """Return a call of a builtin as Starlark source."""
    return f"{name}({', '.join(f'{field} = {value!r}' for field, value in values.items())})"
