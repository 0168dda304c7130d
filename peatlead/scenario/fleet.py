"""A day's fleet out of its script: hosts, desks, resolvers, and the stewards' settings. Pure, by seed."""

from math import exp, fsum
from random import Random

BODY = "example.org"
KEY = "5a" * 32  # of a day's fleet: no secret
HOSTS_NET, RESOLVERS_NET, STEWARDS_NET = "127.10", "127.20", "127.1.0"


class Fleet:
    """All that a day begins with; `hosts`: [plan], `desks`: [plan], `resolvers`: [order]."""

    def __init__(self, day, port):
        self.day, self.port, self.chance = day, port, Random(day["day"]["seed"])
        self.zones, self.made = day["fleet"]["zones"], 0
        self.hosts = [self.host(at, cold=False) for at in range(day["fleet"]["hosts"])]
        self.stewards = [(f"{STEWARDS_NET}.{at + 1}", port) for at in range(day["day"]["stewards"])]
        self.lay_desks()
        self.lay_agents()

    def host(self, at, cold, like=None):
        """A host's plan; `like`: the plan of the one that it succeeds."""
        fleet, number = self.day["fleet"], self.made
        self.made += 1
        zone = like["zone"] if like else self.zones[at % len(self.zones)]
        pod = like["pod"] if like else at // fleet["pod"]
        cores = (
            like["cores"] if like else fleet["cores"][at // len(self.zones) % len(fleet["cores"])]
        )
        return {
            "name": f"h{number}",
            "zone": zone,
            "pod": pod,
            "cores": cores,
            "port": self.port,
            "address": f"{HOSTS_NET}.{number // 250}.{number % 250 + 1}",
            "work": {kind["name"]: kind["work"] for kind in self.day["kinds"]},
            "repeat": {kind["name"]: kind["repeat"] for kind in self.day["kinds"]},
            "cold_share": fleet["cold_share"],
            "warm_after": fleet["warm_after"],
            "tip_multiple": fleet["tip_multiple"],
            "tip_span": fleet["tip_span"],
            "connections": fleet["connections"],
            "deep": fleet["deep_probes"],
            "cold": cold,
        }

    def lay_desks(self):
        desks = self.day["desks"]
        parts = [exp(self.chance.gauss(0.0, desks["uneven"])) for _ in range(desks["views"])]
        if desks["biggest"]:
            rest = fsum(parts[1:]) or 1.0
            parts[0] = rest * desks["biggest"] / max(1e-6, 1 - desks["biggest"])
        rates = [max(0.05, desks["rate"] * one / fsum(parts)) for one in parts]
        self.desks, self.resolvers = [], []
        for at, rate in enumerate(rates):
            shared = at >= desks["views"] - desks["shared"]
            resolver = f"r{at}" if not shared else f"shared{at // 2}"
            kind = desks["resolvers"][at % len(desks["resolvers"])]
            self.add_resolver(resolver, kind, at, shared)
            self.desks.append(
                {
                    "view": f"desk{at}",
                    "network": f"127.{30 + at // 256}.{at % 256}.0",
                    "resolver": resolver,
                    "name": f"api.{BODY}",
                    "port": self.port,
                    "rate": rate,
                    "clients": max(2, min(40, int(rate))),
                    "habits": self.day["desks"]["habits"],
                    "kinds": self.req_kinds(),
                    "retries": desks["retries"],
                    "tells_subnet": shared,
                }
            )

    def lay_agents(self):
        agents = self.day["agents"]
        parts = [exp(self.chance.gauss(0.0, agents["uneven"])) for _ in range(agents["many"])]
        self.agents = [
            {
                "name": f"agent{at}",
                "zone": self.zones[at % len(self.zones)],
                "port": self.port,
                "local": f"127.{60 + at // 250}.{at % 250}.1",
                "rate": max(0.05, agents["rate"] * one / fsum(parts)),
                "controllers": [[address, port + 2] for address, port in self.stewards],
                "kinds": self.req_kinds(),
                "pick": agents["pick"],
                "fails_to_shun": agents["fails_to_shun"],
                "incremental": agents["incremental"],
            }
            for at, one in enumerate(parts)
        ]

    def req_kinds(self):
        names = ("name", "share", "response_target", "client_timeout", "gain", "repeat")
        return [{name: kind[name] for name in names} for kind in self.day["kinds"]]

    def add_resolver(self, name, kind, at, shared):
        if all(one["name"] != name for one in self.resolvers):
            self.resolvers.append(
                {
                    "do": "resolver",
                    "name": name,
                    "kind": kind,
                    "rotates": at % 2 == 0,
                    "address": f"{RESOLVERS_NET}.1.{at // 2 % 250 + 1}"
                    if shared
                    else f"{RESOLVERS_NET}.{2 + at // 250}.{at % 250 + 1}",
                    "servers": [list(steward) for steward in self.stewards],
                }
            )

    def more(self, address, port):
        if not self.agents:
            return ""
        peer = f", peer = '{address}:{port + 1}'" if self.day["agents"]["share"] else ""
        return f", grpc = '{address}:{port + 2}'{peer}"

    def settings(self, list_path):
        """The stewards' settings script for this day, as an operator would write it."""
        steering, fleet = self.day["steering"], self.day["fleet"]
        lines = [f"zone(name = {zone!r})" for zone in self.zones]
        lines.append(
            f"dns(zone = {BODY!r}, port = {self.port}, lifetime = {steering['lifetime']}, "
            f"addresses = {steering['addresses']}, trusted_resolvers = ['{RESOLVERS_NET}.1.0/24'], "
            f"open_views = {16 if self.desks else 0})"
        )
        lines.append(
            f"limits(drain_grace = {steering['drain_grace']}, bare_most = {steering['bare_most']}, "
            f"cold_share = {fleet['cold_share']}, warm_after = {fleet['warm_after']}, "
            f"tip_multiple = {fleet['tip_multiple']}, tip_span = {fleet['tip_span']})"
        )
        lines.append(f"node_list(path = {str(list_path)!r})")
        if self.agents:
            agents = self.day["agents"]
            lines.append(
                f"grpc(proxies = {len(self.agents)}, pick = {agents['pick']!r}, "
                f"fails_to_shun = {agents['fails_to_shun']})"
            )
            lines.append(f"fleet(keys = [{KEY!r}])")
        lines.append(f"probes(port = {self.port}, deadline = {steering['probe_deadline']})")
        lines.append(f"choices(gone_is_advice = {steering['gone_is_advice']})")
        for kind in self.day["kinds"]:
            told = {
                name: kind[name]
                for name in ("name", "response_target", "client_timeout", "gain", "repeat")
            }
            said = ", ".join(f"{name} = {value!r}" for name, value in told.items())
            lines.append(f"request_kind({said})")
        lines.append(
            f"service(label = 'api', kinds = {[kind['name'] for kind in self.day['kinds']]!r})"
        )
        for at, (address, port) in enumerate(self.stewards):
            zone = self.zones[at % len(self.zones)]
            lines.append(
                f"steward(name = 'ns{at + 1}', zone = {zone!r}, seed = {at + 1}, "
                f"listen = '{address}:{port}', control = '{address}:{port + 1}'{self.more(address, port)})"
            )
        alone = {
            one["name"]: one["address"]
            for one in self.resolvers
            if not one["name"].startswith("shared")
        }
        for at, desk in enumerate(self.desks):
            resolvers = [alone[desk["resolver"]]] if desk["resolver"] in alone else []
            rate = max(0.1, round(desk["rate"], 1))
            lines.append(
                f"view(name = {desk['view']!r}, zone = {self.zones[at % len(self.zones)]!r}, "
                f"networks = ['{desk['network']}/24'], resolvers = {resolvers!r}, rate = {rate})"
            )
        return "\n".join(lines) + "\n"
