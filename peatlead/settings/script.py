"""Runs a settings script and checks what it said, field by field and then as a whole.

Every complaint names file, line and what was expected. What comes out is a plain map.
"""

from pathlib import Path

import starlark

from .shapes import MANY, ONCE, REQUIRED, expected

LARGEST = 4_000_000  # bytes of a script; a larger one is a mistake


class SettingsError(Exception):
    """The script cannot be used; the text has a line `FILE:LINE: what was expected` for each complaint."""


def read_settings(path):
    """The checked map of the script in the file at `path`."""
    try:
        data = Path(path).read_bytes()
        if len(data) > LARGEST:
            raise SettingsError(f"{path}:1: expected at most {LARGEST} bytes, got {len(data)}")
        return load_settings(str(path), data.decode("utf-8"))
    except OSError as problem:
        raise SettingsError(f"{path}:1: expected a readable file: {problem.strerror}") from None
    except UnicodeDecodeError as problem:
        raise SettingsError(f"{path}:1: expected UTF-8, byte {problem.start} is not") from None


def load_settings(name, source):
    """The checked map of a script given as text; `name` is what complaints call it."""
    said = run_script(name, source, {**ONCE, **MANY})
    made = {kind: [values for called, values in said if called == kind] for kind in MANY}
    for kind, fields in ONCE.items():
        calls = [values for called, values in said if called == kind]
        if len(calls) > 1:
            raise SettingsError(f"{name}:1: expected one call of {kind}(), got {len(calls)}")
        needed = [field for field, spec in fields.items() if spec.default is REQUIRED]
        if not calls and needed:
            raise SettingsError(
                f"{name}:1: expected a call of {kind}({', '.join(f + ' = ...' for f in needed)})"
            )
        made[kind] = calls[0] if calls else {field: spec.default for field, spec in fields.items()}
    check_whole(name, made)
    return made


def run_script(name, source, shapes):
    """[(builtin, {field: value})] in the order of the calls; `shapes` is {builtin: {field: Field}}."""
    said, module = [], starlark.Module()

    def builtin(called, fields):
        def take(*positional, **given):
            said.append((called, take_fields(called, fields, positional, given)))

        return take

    for called, fields in shapes.items():
        module.add_callable(called, builtin(called, fields))
    try:
        starlark.eval(
            module,
            starlark.parse(name, source, starlark.Dialect.extended()),
            starlark.Globals.standard(),
        )
    except starlark.StarlarkError as problem:
        raise SettingsError(where(name, str(problem))) from None
    return said


def where(name, told):
    """`FILE:LINE: text` out of Starlark's report, whose last arrow points at the place."""
    line, text = "1", told.strip().splitlines()[0]
    for row in told.splitlines():
        row = row.strip()
        if row.startswith("--> "):
            line = row.rsplit(":", 2)[1]
        elif row.startswith("error: "):
            text = row.removeprefix("error: ").removeprefix("ValueError: ")
    return f"{name}:{line}: {text}"


def take_fields(called, fields, positional, given):
    if positional:
        raise ValueError(f"{called}: expected every value by name, got {positional[0]!r} by place")
    values = {}
    for field, spec in fields.items():
        if field in given:
            try:
                values[field] = spec.check(given.pop(field))
            except ValueError as problem:
                raise ValueError(f"{called}.{field}: {problem}") from None
        elif spec.default is REQUIRED:
            raise ValueError(f"{called}.{field}: expected a value: {spec.meaning}")
        else:
            values[field] = spec.default
    if given:
        raise ValueError(f"{called}: expected only {', '.join(fields)}, got {sorted(given)[0]!r}")
    return values


def check_whole(name, made):
    """What no field alone can tell: names that must exist, and times that must fit each other."""
    try:
        for kind, least in (("zone", 1), ("request_kind", 1), ("service", 1), ("steward", 1)):
            if len(made[kind]) < least:
                raise ValueError(f"expected at least {least} {kind}(...)")
        for kind in ("zone", "request_kind", "view", "steward"):
            unique([one["name"] for one in made[kind]], kind)
        unique([one["label"] for one in made["service"]], "service")
        zones = {zone["name"] for zone in made["zone"]}
        kinds = {kind["name"]: kind for kind in made["request_kind"]}
        for kind in kinds.values():
            known(kind["only_zones"], zones, f"request_kind {kind['name']}.only_zones")
        for service in made["service"]:
            known(service["kinds"], kinds, f"service {service['label']}.kinds")
            if len({tuple(kinds[k]["only_zones"]) for k in service["kinds"]}) > 1:
                raise ValueError(
                    f"service {service['label']}: expected kinds that are open to the same zones: "
                    "a name has one answer for all of them"
                )
        for kind in ("view", "steward"):
            for one in made[kind]:
                known([one["zone"]], zones, f"{kind} {one['name']}.zone")
        unique(
            [n for view in made["view"] for n in view["networks"] + view["resolvers"]], "network"
        )
        if not made["view"] and not made["dns"]["open_views"] and not made["grpc"]["proxies"]:
            raise ValueError(
                "expected a view(...), dns.open_views or grpc.proxies: nobody could be served"
            )
        peers = [one for one in made["steward"] if one["peer"]]
        if peers and len(peers) < len(made["steward"]):
            raise ValueError("steward.peer: expected for all stewards of a fleet, or for none")
        if peers and not made["fleet"]["keys"]:
            raise ValueError("fleet.keys: expected at least one key: members' messages are sealed")
        check_lifetime(made)
    except ValueError as problem:
        raise SettingsError(f"{name}:1: {problem}") from None


def check_lifetime(made):
    """An answer given just before the news of a drain came through may live its whole lifetime after it:
    the channel's way, the list's lag and the lifetime must fit into the grace, or rule 3 is lost by plan."""
    limits, lifetime = made["limits"], made["dns"]["lifetime"]
    room = limits["drain_grace"] - limits["push_delay_most"] - made["node_list"]["every"]
    if lifetime > room:
        raise ValueError(
            f"dns.lifetime: expected at most {max(0, int(room))}, got {lifetime}: drain_grace less "
            f"push_delay_most and node_list.every leaves {room:.2f} s"
        )


def unique(names, what):
    seen = set()
    for name in names:
        if name in seen:
            raise expected(f"each {what} once", name)
        seen.add(name)


def known(names, all_of_them, what):
    for name in names:
        if name not in all_of_them:
            raise ValueError(
                f"{what}: expected one of {', '.join(sorted(all_of_them))}, got {name!r}"
            )
