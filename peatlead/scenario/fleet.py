"""The fleet of a day, planned from its script and seed: endpoints, controllers, clients, proxies.

A plan is the map that a stand-in is configured with; its keys are part of the stand-ins' command
format. The only random values are the request rates, drawn first for client networks and then for
proxies.
"""

from math import exp, fsum
from random import Random
from typing import Any

DOMAIN = "example.org"
ENDPOINT_NETWORK = "127.10"
RESOLVER_NETWORK = "127.20"
CONTROLLER_NETWORK = "127.1.0"
MIN_RATE = 0.05  # requests per second of a network or proxy
CLIENT_COUNT_RANGE = (2, 40)  # minimum and maximum per network
GRPC_PORT_OFFSET = 2  # added to a controller's DNS port; the control socket's offset is 1
REQUEST_CLASS_FIELDS = ("name", "share", "response_target", "client_timeout", "gain", "repeat")

Plan = dict[str, Any]


class Fleet:
    """The plans and addresses of the endpoints, controllers, clients and proxies of a day."""

    def __init__(self, scenario: dict[str, Any], port: int) -> None:
        self.scenario = scenario
        self.port = port  # of all endpoints and of the controllers' DNS
        self.zones: list[str] = scenario["fleet"]["zones"]
        self._rng = Random(scenario["day"]["seed"])
        self._endpoints_planned = 0
        self.endpoints = [
            self._plan_initial_endpoint(number) for number in range(scenario["fleet"]["hosts"])
        ]
        self.controller_addresses = [  # for DNS
            (f"{CONTROLLER_NETWORK}.{number + 1}", port)
            for number in range(scenario["day"]["stewards"])
        ]
        self.resolvers: list[Plan] = []
        self.client_networks = self._plan_client_networks()
        self.proxies = self._plan_proxies()

    def plan_successor(self, plan: Plan) -> Plan:
        """Return the plan of the cold endpoint that replaces another."""
        return self._plan_endpoint(plan["zone"], plan["pod"], plan["cores"], cold=True)

    def replace(self, plan: Plan, successor: Plan) -> None:
        """Remove an endpoint from the fleet and add its successor."""
        self.endpoints = [other for other in self.endpoints if other is not plan] + [successor]

    def _plan_initial_endpoint(self, number: int) -> Plan:
        """Return the plan of an endpoint that runs from the start."""
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
        """Return the requests per second of each client network."""
        networks = self.scenario["desks"]
        shares = self._draw_shares(networks["views"], networks["uneven"])
        if networks["biggest"]:
            other_shares = fsum(shares[1:]) or 1.0
            shares[0] = other_shares * networks["biggest"] / max(1e-6, 1 - networks["biggest"])
        return _rates(networks["rate"], shares)

    def _draw_shares(self, count: int, spread: float) -> list[float]:
        """Return log-normally distributed shares of a total rate; their sum is not 1."""
        return [exp(self._rng.gauss(0.0, spread)) for _ in range(count)]

    def _plan_client_network(self, number: int, rate: float, resolver: str, shared: bool) -> Plan:
        networks = self.scenario["desks"]
        min_clients, max_clients = CLIENT_COUNT_RANGE
        return {
            "view": f"desk{number}",
            "network": f"127.{30 + number // 256}.{number % 256}.0",
            "resolver": resolver,
            "name": f"api.{DOMAIN}",
            "port": self.port,
            "rate": rate,
            "clients": max(min_clients, min(max_clients, int(rate))),
            "habits": networks["habits"],
            "kinds": self._request_classes(),
            "retries": networks["retries"],
            "tells_subnet": shared,
        }

    def _add_resolver(self, name: str, number: int, shared: bool) -> None:
        """Plan the resolver of a client network, unless another network's plan included it."""
        if any(resolver["name"] == name for resolver in self.resolvers):
            return
        if shared:
            address = f"{RESOLVER_NETWORK}.1.{number // 2 % 250 + 1}"
        else:
            address = f"{RESOLVER_NETWORK}.{2 + number // 250}.{number % 250 + 1}"
        resolver_kinds = self.scenario["desks"]["resolvers"]
        self.resolvers.append(
            {
                "do": "resolver",
                "name": name,
                "kind": resolver_kinds[number % len(resolver_kinds)],
                "rotates": number % 2 == 0,
                "address": address,
                "servers": [list(controller) for controller in self.controller_addresses],
            }
        )

    def _plan_proxies(self) -> list[Plan]:
        proxies = self.scenario["agents"]
        rates = _rates(proxies["rate"], self._draw_shares(proxies["many"], proxies["uneven"]))
        return [self._plan_proxy(number, rate) for number, rate in enumerate(rates)]

    def _plan_proxy(self, number: int, rate: float) -> Plan:
        proxies = self.scenario["agents"]
        return {
            "name": f"agent{number}",
            "zone": self.zones[number % len(self.zones)],
            "port": self.port,
            "local": f"127.{60 + number // 250}.{number % 250}.1",
            "rate": rate,
            "controllers": [
                [address, port + GRPC_PORT_OFFSET] for address, port in self.controller_addresses
            ],
            "kinds": self._request_classes(),
            "pick": proxies["pick"],
            "fails_to_shun": proxies["fails_to_shun"],
            "incremental": proxies["incremental"],
        }

    def _request_classes(self) -> list[Plan]:
        return [
            {name: kind[name] for name in REQUEST_CLASS_FIELDS} for kind in self.scenario["kinds"]
        ]


def _rates(total: float, shares: list[float]) -> list[float]:
    """Distribute a total rate by shares; each rate is at least MIN_RATE."""
    return [max(MIN_RATE, total * share / fsum(shares)) for share in shares]
