"""The fleet of a day, out of its script and its seed: endpoints, controllers, clients and proxies.

Plans are the maps that stand-ins are sent, under the names that they read. Draws no numbers but for
the rates of client networks and proxies, in this order.
"""

from math import exp, fsum
from random import Random
from typing import Any

DOMAIN = "example.org"
ENDPOINT_NETWORK = "127.10"
RESOLVER_NETWORK = "127.20"
CONTROLLER_NETWORK = "127.1.0"
LEAST_RATE = 0.05  # requests a second
CLIENTS = (2, 40)  # of a network, at least and at most
GRPC_PORT_OFFSET = 2  # from a controller's DNS port; its control socket has the port between
CLASS_FIELDS = ("name", "share", "response_target", "client_timeout", "gain", "repeat")

Plan = dict[str, Any]


class Fleet:
    """All that a day begins with."""

    def __init__(self, scenario: dict[str, Any], port: int) -> None:
        self.scenario = scenario
        self.port = port  # of endpoints and of the controllers' DNS
        self.zones: list[str] = scenario["fleet"]["zones"]
        self._rng = Random(scenario["day"]["seed"])
        self._endpoints_planned = 0
        self.hosts = [self._plan_first(number) for number in range(scenario["fleet"]["hosts"])]
        self.stewards = [  # the controllers' DNS addresses
            (f"{CONTROLLER_NETWORK}.{number + 1}", port)
            for number in range(scenario["day"]["stewards"])
        ]
        self.resolvers: list[Plan] = []
        self.desks = self._plan_client_networks()
        self.agents = self._plan_proxies()

    def plan_successor(self, plan: Plan) -> Plan:
        """The plan of the cold endpoint that takes another's place."""
        return self._plan_endpoint(plan["zone"], plan["pod"], plan["cores"], cold=True)

    def replace(self, plan: Plan, successor: Plan) -> None:
        """Take an endpoint out and its successor in."""
        self.hosts = [other for other in self.hosts if other is not plan] + [successor]

    def _plan_first(self, number: int) -> Plan:
        """The plan of an endpoint that runs from the start."""
        fleet = self.scenario["fleet"]
        zone = self.zones[number % len(self.zones)]
        pod = number // fleet["pod"]
        cores = fleet["cores"][number // len(self.zones) % len(fleet["cores"])]
        return self._plan_endpoint(zone, pod, cores, cold=False)

    def _plan_endpoint(self, zone: str, pod: int, cores: int, cold: bool) -> Plan:
        fleet = self.scenario["fleet"]
        number = self._endpoints_planned
        self._endpoints_planned += 1
        return {
            "name": f"h{number}",
            "zone": zone,
            "pod": pod,
            "cores": cores,
            "port": self.port,
            "address": f"{ENDPOINT_NETWORK}.{number // 250}.{number % 250 + 1}",
            "work": {kind["name"]: kind["work"] for kind in self.scenario["kinds"]},
            "repeat": {kind["name"]: kind["repeat"] for kind in self.scenario["kinds"]},
            "cold_share": fleet["cold_share"],
            "warm_after": fleet["warm_after"],
            "tip_multiple": fleet["tip_multiple"],
            "tip_span": fleet["tip_span"],
            "connections": fleet["connections"],
            "deep": fleet["deep_probes"],
            "cold": cold,
        }

    def _plan_client_networks(self) -> list[Plan]:
        networks = self.scenario["desks"]
        plans = []
        for number, rate in enumerate(self._network_rates()):
            shared = number >= networks["views"] - networks["shared"]
            resolver = f"shared{number // 2}" if shared else f"r{number}"
            self._add_resolver(resolver, number, shared)
            plans.append(self._plan_client_network(number, rate, resolver, shared))
        return plans

    def _network_rates(self) -> list[float]:
        """Requests a second of each client network."""
        networks = self.scenario["desks"]
        parts = self._draw_parts(networks["views"], networks["uneven"])
        if networks["biggest"]:
            rest = fsum(parts[1:]) or 1.0
            parts[0] = rest * networks["biggest"] / max(1e-6, 1 - networks["biggest"])
        return _rates(networks["rate"], parts)

    def _draw_parts(self, count: int, spread: float) -> list[float]:
        """Log-normal shares of the whole rate."""
        return [exp(self._rng.gauss(0.0, spread)) for _ in range(count)]

    def _plan_client_network(self, number: int, rate: float, resolver: str, shared: bool) -> Plan:
        networks = self.scenario["desks"]
        fewest, most = CLIENTS
        return {
            "view": f"desk{number}",
            "network": f"127.{30 + number // 256}.{number % 256}.0",
            "resolver": resolver,
            "name": f"api.{DOMAIN}",
            "port": self.port,
            "rate": rate,
            "clients": max(fewest, min(most, int(rate))),
            "habits": networks["habits"],
            "kinds": self._request_classes(),
            "retries": networks["retries"],
            "tells_subnet": shared,
        }

    def _add_resolver(self, name: str, number: int, shared: bool) -> None:
        """Plan the resolver of a client network; a shared one is planned with its first."""
        if any(resolver["name"] == name for resolver in self.resolvers):
            return
        if shared:
            address = f"{RESOLVER_NETWORK}.1.{number // 2 % 250 + 1}"
        else:
            address = f"{RESOLVER_NETWORK}.{2 + number // 250}.{number % 250 + 1}"
        kinds = self.scenario["desks"]["resolvers"]
        self.resolvers.append(
            {
                "do": "resolver",
                "name": name,
                "kind": kinds[number % len(kinds)],
                "rotates": number % 2 == 0,
                "address": address,
                "servers": [list(controller) for controller in self.stewards],
            }
        )

    def _plan_proxies(self) -> list[Plan]:
        proxies = self.scenario["agents"]
        rates = _rates(proxies["rate"], self._draw_parts(proxies["many"], proxies["uneven"]))
        return [self._plan_proxy(number, rate) for number, rate in enumerate(rates)]

    def _plan_proxy(self, number: int, rate: float) -> Plan:
        proxies = self.scenario["agents"]
        return {
            "name": f"agent{number}",
            "zone": self.zones[number % len(self.zones)],
            "port": self.port,
            "local": f"127.{60 + number // 250}.{number % 250}.1",
            "rate": rate,
            "controllers": [[address, port + GRPC_PORT_OFFSET] for address, port in self.stewards],
            "kinds": self._request_classes(),
            "pick": proxies["pick"],
            "fails_to_shun": proxies["fails_to_shun"],
            "incremental": proxies["incremental"],
        }

    def _request_classes(self) -> list[Plan]:
        return [{name: kind[name] for name in CLASS_FIELDS} for kind in self.scenario["kinds"]]


def _rates(total: float, parts: list[float]) -> list[float]:
    return [max(LEAST_RATE, total * part / fsum(parts)) for part in parts]
