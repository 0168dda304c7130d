"""Days drawn by seed, swarm style. Pure.

Each seed turns whole kinds of trouble off, draws the others' moments and sizes from ranges, some aimed at one
zone, overlapping as they fall. `as_script` writes a day back as the script that plays it, in the lab or on
sockets.
"""

from random import Random

from ..scenario.script import KINDS, ONCE, VERBS, load_day

ON = 0.35  # chance that a kind of trouble is on for a seed

NOT_DRAWN = ("fleet_drained",)


def draw_scenario(seed, kind="fleet", length=20.0):
    """A day's map; `kind`: "fleet" (agents and three controllers) or "dns" (desks and two stewards)."""
    chance = Random(f"{kind}:{seed}")
    zones = ["a", "b", "c"][: chance.choice((2, 3))]
    lines = [
        f"day(length = {length}, seed = {seed}, stewards = {3 if kind == 'fleet' else 2})",
        f"fleet(zones = {zones!r}, hosts = {chance.randrange(6, 13)}, pod = {chance.choice((2, 3, 4))}, "
        f"warm_after = {chance.uniform(4, 10):.1f}, cold_share = {chance.uniform(0.2, 0.5):.2f}, "
        f"tip_multiple = {chance.uniform(2.5, 4):.1f}, deep_probes = {chance.random() < 0.7})",
    ]
    rate = chance.uniform(25, 60)
    if kind == "fleet":
        lines.append(
            f"agents(many = {chance.randrange(4, 14)}, rate = {rate:.0f}, "
            f"pick = {chance.choice(('random', 'lighter of two'))!r}, "
            f"fails_to_shun = {chance.choice((0, 3))}, incremental = {chance.random() < 0.7})"
        )
        lines.append("desks(views = 0, shared = 0)")
    else:
        resolvers = [chance.choice(KINDS) for _ in range(4)]
        biggest = chance.choice((0.0, 0.0, 0.4))
        lines.append(
            f"desks(views = {chance.randrange(4, 14)}, rate = {rate:.0f}, shared = 2, biggest = {biggest}, "
            f"resolvers = {resolvers!r}, habits = ['first', 'any', 'same', 'sorted', 'holds'])"
        )
    lines += draw_troubles(chance, kind, zones, length)
    return load_day(f"seed {seed}", "\n".join(lines))


def draw_troubles(chance, kind, zones, length):
    found = []
    for verb in sorted(VERBS):
        if verb in NOT_DRAWN:
            continue
        if kind == "dns" and verb == "rollback":
            continue  # its stewards share nothing: pins are asked of each (tests/test_tables.py)
        if kind == "fleet" and verb in ("burst", "shift"):
            continue
        if chance.random() >= ON:
            continue
        for _ in range(chance.choice((1, 1, 2))):
            at = chance.uniform(1.0, length * 0.7)
            found.append(
                (
                    at,
                    verb,
                    draw_values(chance, verb, zones, min(length - at, chance.uniform(1.0, 10.0))),
                )
            )
    return [
        f"{verb}(at = {at:.2f}, {', '.join(f'{k} = {v!r}' for k, v in values.items())})"
        for at, verb, values in sorted(found)
    ]


def draw_values(chance, verb, zones, length):
    values = {}
    fields = VERBS[verb]
    if "length" in fields:
        values["length"] = round(max(0.5, length), 2)
    if "part" in fields:
        values["part"] = round(chance.uniform(0.08, 0.5), 2)
    if "zone" in fields and verb != "shift" and chance.random() < 0.3:
        values["zone"] = chance.choice(zones)
    if verb == "shift":
        values["zone"] = chance.choice(zones)
    if "steward" in fields:
        values["steward"] = chance.randrange(2)
    if "at_once" in fields:
        values["at_once"] = round(chance.uniform(0.1, 0.4), 2)
    if "every" in fields:
        values["every"] = round(chance.uniform(1.0, 5.0), 2)
    if "ghosts" in fields:
        values["ghosts"] = chance.randrange(1, 8)
    if "back" in fields:
        values["back"] = round(chance.uniform(0.0, 8.0), 2)
        values["over"] = round(chance.choice((0.0, 1.0, 4.0)), 2)
        values["share"] = round(chance.choice((1.0, 1.0, 0.4)), 2)
    if "one" in fields:
        values["one"], values["other"] = (
            chance.sample(zones, 2)
            if chance.random() < 0.5
            else [f"127.1.0.{at}" for at in chance.sample((1, 2, 3), 2)]
        )
        if verb == "link_cut":
            values["both"] = chance.random() < 0.6
    return values


def as_script(made):
    """The Starlark script of a day's map: defaults left out."""
    lines = []
    for name, fields in ONCE.items():
        said = {
            field: value for field, value in made[name].items() if value != fields[field].default
        }
        lines.append(call(name, said))
    for trouble in made["troubles"]:
        fields = VERBS[trouble["verb"]]
        said = {
            field: trouble[field]
            for field in fields
            if field == "at" or trouble[field] != fields[field].default
        }
        lines.append(call(trouble["verb"], said))
    return "\n".join(lines) + "\n"


def call(name, values):
    return f"{name}({', '.join(f'{field} = {value!r}' for field, value in values.items())})"
