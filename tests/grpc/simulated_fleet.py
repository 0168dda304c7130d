"""Helpers for tests with three controllers and simulated proxies on loopback addresses."""

import asyncio

from peatlead.grpc.resources import WeightedEndpoint
from peatlead.standin.request_outcome import RequestClass
from peatlead.standin.xds_proxies import ProxyPlan, StandInProxy

from ..standin_fleet import SCRIPT, MemoryRecorder, run_with_standins

FLEET_SCRIPT = SCRIPT
for index in (1, 2):
    FLEET_SCRIPT = FLEET_SCRIPT.replace(
        f'control = "127.1.0.{index}:{{control}}")',
        f'control = "127.1.0.{index}:{{control}}", '
        f'grpc = "127.1.0.{index}:{{grpc}}", peer = "127.1.0.{index}:{{control}}")',
    )
FLEET_SCRIPT = (
    FLEET_SCRIPT.replace("view(", "# view(").replace("open_views = 4", "open_views = 0")
    + """
steward(name = "ns3", zone = "north", listen = "127.1.0.3:{port}", control = "127.1.0.3:{control}",
        grpc = "127.1.0.3:{grpc}", peer = "127.1.0.3:{control}")
grpc(proxies = 6)
fleet(keys = ["%s"], probe_every = 0.1, probe_wait = 0.06, suspect = 0.3)
"""
    % ("ab" * 32)
)
REQUEST_CLASSES = [
    RequestClass("look", 0.5, 0.5, 1.5, 1.0, "replayable"),
    RequestClass("file", 0.5, 0.5, 1.5, 1.0, "non-replayable"),
]
WEIGHTED_ENDPOINTS = [
    WeightedEndpoint("127.10.9.1", 80, "north", 1.0),
    WeightedEndpoint("127.10.9.2", 80, "south", 0.25),
]


def run_fleet(case, **options):
    """Runs a test case with the settings of FLEET_SCRIPT, which has three controllers."""

    async def run_case(world):
        world.settings["limits"]["messages_most"] = 40
        return await case(world)

    return run_with_standins(run_case, script=FLEET_SCRIPT, **options)


def connect_proxy(world, name="p0", controller_order=(1, 2, 3)):
    """Starts a simulated proxy that knows the controllers of these numbers, in this order."""
    controllers = [[f"127.1.0.{index}", world.port + 2] for index in controller_order]
    plan = ProxyPlan(name, "north", "127.60.9.1", controllers, world.port, 20.0, REQUEST_CLASSES)
    proxy = StandInProxy(plan, world.random, MemoryRecorder())
    proxy.begin(asyncio.get_running_loop().time())
    world.cleanups.append(lambda: setattr(proxy, "stopped", True))
    return proxy
