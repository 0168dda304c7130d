"""Fixtures for tests: settings, and a small fleet of stand-in endpoints and controllers."""

import asyncio
import json
import tempfile
from pathlib import Path
from random import Random

import dns.message
from hypothesis import settings as hypothesis_settings

from peatlead.controller.controller import Controller
from peatlead.planner.planner import Planner
from peatlead.scenario.runner import free_port
from peatlead.settings import load_settings
from peatlead.standin.hosts import EndpointPlan, PodRequestIds, StandInEndpoint

hypothesis_settings.register_profile("steady", derandomize=True, deadline=None, max_examples=60)
hypothesis_settings.load_profile("steady")  # property tests give the same result on every run

SCRIPT = """
zone(name = "north")
zone(name = "south")
dns(zone = "example.org", port = {port}, lifetime = 1, trusted_resolvers = ["192.0.2.0/24"], open_views = 4,
    addresses = 2)
limits(drain_grace = 3, bare_most = 4, cold_share = 0.25, warm_after = 12, tip_multiple = 3, tip_span = 1.5)
node_list(path = "{path}", every = 0.02, patience = 0.1)
probes(port = {port}, deadline = 0.15)
choices(gone_is_advice = True, sums_every = 0.2)
request_kind(name = "look", response_target = 0.5, client_timeout = 1.5, gain = 2, repeat = "replayable")
request_kind(name = "file", response_target = 0.5, client_timeout = 1.5, gain = 6, repeat = "non-replayable")
service(label = "api", kinds = ["look", "file"])
steward(name = "ns1", zone = "north", listen = "127.1.0.1:{port}", control = "127.1.0.1:{control}")
steward(name = "ns2", zone = "south", listen = "127.1.0.2:{port}", control = "127.1.0.2:{control}")
view(name = "desk0", zone = "north", networks = ["10.1.0.0/24"], resolvers = ["10.9.0.1"])
view(name = "desk1", zone = "south", networks = ["10.2.0.0/24", "2001:db8:2::/48"])
"""

CONTROL = 'control = "127.1.0.1:{control}"'
GRPC_SCRIPT = (
    SCRIPT.replace(CONTROL, CONTROL + ', grpc = "127.1.0.1:{grpc}"') + "\ngrpc(proxies = 40)\n"
)

ZONES = ("north", "south")
CLIENT_OF_VIEW = {"desk0": "10.1.0.1", "desk1": "10.2.0.1"}


def settings(port=5300, path="/nowhere/nodes.json", script=SCRIPT, extra_script=""):
    """Return the settings of `script` followed by `extra_script`.

    The ports and the path of the list file are filled into `script`.
    """
    text = script.format(port=port, control=port + 1, grpc=port + 2, path=path)
    return load_settings("test.star", text + extra_script)


def run(case, timeout=90.0):
    """Run a coroutine in a new event loop; an exception in any callback fails the test."""
    errors = []

    async def run_case():
        asyncio.get_running_loop().set_exception_handler(lambda _, context: errors.append(context))
        return await asyncio.wait_for(case, timeout)

    result = asyncio.run(run_case())
    if errors:
        raise AssertionError(errors)
    return result


async def until(condition, timeout=8.0):
    """Wait until `condition()` is true; fail after three times `timeout` seconds.

    The factor of three keeps tests from failing on a busy machine.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + 3 * timeout
    while not condition():
        if loop.time() > deadline:
            raise AssertionError(f"condition still false after {3 * timeout} s")
        await asyncio.sleep(0.01)


class MemoryRecorder:
    """Replaces a Recorder and keeps the rows in memory."""

    def __init__(self):
        self.rows = []

    def write_row(self, kind, at, *fields):
        self.rows.append((kind, at, *fields))

    def rows_of_kind(self, kind):
        return [row for row in self.rows if row[0] == kind]


class StandinFleet:
    """Stand-in endpoints, an endpoint list file and controllers in one event loop, on a free port.

    `endpoints` is the number of endpoints. With `deep`, endpoints serve probes like requests; with
    `cold`, they have just started and warm up.
    """

    def __init__(self, folder, endpoints=4, deep=True, cold=False, script=SCRIPT):
        self.folder = Path(folder)
        self.port = free_port()
        self.recorder = MemoryRecorder()
        self.settings = settings(self.port, f"{folder}/nodes.json", script)
        self.random = Random(4)
        self.pod_request_ids = PodRequestIds()
        self.endpoints = []  # StandInEndpoint objects
        self.controllers = []
        self.log = []  # (event, fields) of all controllers
        self.cleanups = []  # functions that `stop` calls at its end
        self.plans = [self._make_plan(number, deep, cold) for number in range(endpoints)]
        self.phases = {plan.name: "ready" for plan in self.plans}  # in the list, by name
        self.list_version = 0
        self.extra_entries = []  # further entries of the list, without a stand-in endpoint

    def _make_plan(self, number, deep, cold):
        return EndpointPlan(
            name=f"h{number}",
            zone=ZONES[number % 2],
            pod=0,
            address=f"127.10.9.{number + 1}",
            port=self.port,
            cores=2,
            work={"look": 0.01, "file": 0.01},
            repeat={"look": "replayable", "file": "non-replayable"},
            cold_share=0.25,
            warm_after=12.0,
            tip_multiple=3.0,
            tip_span=1.5,
            deep=deep,
            cold=cold,
        )

    async def start(self):
        """Start the endpoints and write the first list."""
        for plan in self.plans:
            self.endpoints.append(
                StandInEndpoint(plan, self.random, self.recorder, self.pod_request_ids)
            )
            await self.endpoints[-1].open()
        self.write_list()
        return self

    def write_list(self, data=None):
        """Write the list of `phases` and `extra_entries`, or the bytes `data` instead."""
        self.list_version += 1
        entries = [
            {
                "name": plan.name,
                "zone": plan.zone,
                "address": plan.address,
                "phase": self.phases[plan.name],
            }
            for plan in self.plans
            if plan.name in self.phases
        ]
        document = {
            "version": self.list_version,
            "written": 50.0,
            "hosts": entries + self.extra_entries,
        }
        path = self.folder / "nodes.json"
        new_path = path.with_suffix(".new")
        new_path.write_bytes(json.dumps(document).encode() if data is None else data)
        new_path.replace(path)

    async def change_list_repeatedly(self, change_count, interval):
        """Change `change_count` phases, one every `interval` seconds; finally only h1 drains."""
        for number in range(change_count):
            name = f"h{number % 3 + 1}"
            self.phases[name] = "draining" if self.phases[name] == "ready" else "ready"
            self.write_list()
            await asyncio.sleep(interval)
        self.phases.update(h1="draining", h2="ready", h3="ready")
        self.write_list()

    async def start_controller(self, name="ns1", planner=Planner):
        """Start and return the controller with this name in the settings."""
        controller = Controller(
            self.settings,
            name,
            lambda event, **fields: self.log.append((event, fields)),
            planner,
            str(self.folder / "state"),
        )
        self.controllers.append(controller)
        await controller.start()
        return controller

    def answered_endpoints(self, controller, view="desk0", query_count=24):
        """Return the names of the endpoints in the answers to a view's client.

        An address that belongs to no endpoint is returned as it is.
        """
        client = CLIENT_OF_VIEW[view]
        addresses = set()
        for _ in range(query_count):
            query = dns.message.make_query("api.example.org", "A").to_wire()
            answer = dns.message.from_wire(controller.answers.respond(query, client))
            addresses |= {str(record) for rrset in answer.answer for record in rrset}
        names_by_address = {plan.address: plan.name for plan in self.plans}
        return {names_by_address.get(address, address) for address in addresses}

    def stop(self):
        """Stop controllers and endpoints, then call the cleanup functions."""
        for controller in self.controllers:
            controller.stop()
        for endpoint in self.endpoints:
            endpoint.stop()
        for cleanup in self.cleanups:
            cleanup()


def run_with_standins(case, **options):
    """Run `case(fleet)` with a started StandinFleet of these options."""

    async def run_case():
        with tempfile.TemporaryDirectory() as folder:
            fleet = await StandinFleet(folder, **options).start()
            try:
                return await case(fleet)
            finally:
                fleet.stop()
                await asyncio.sleep(0.02)

    return run(run_case())
