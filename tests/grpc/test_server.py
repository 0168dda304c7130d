"""Proxies and independent xDS clients that connect to one controller."""

import asyncio
import queue
import threading
import unittest

import grpc
from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.service.discovery.v3 import discovery_pb2
from envoy.service.load_stats.v3 import lrs_pb2

from peatlead import interface
from peatlead.grpc.resources import ENDPOINTS, decode_assignment
from peatlead.grpc.resources import LINES as LINES_URL
from peatlead.grpc.server import DELTA, DISCOVERY, LOADS

from ..standin_fleet import until
from .simulated_fleet import connect_proxy, run_fleet


class ServerTest(unittest.TestCase):
    def test_a_proxy_joins_gets_endpoints_and_its_reports_are_summed(self):
        async def case(world):
            controller = await world.start_controller()
            proxy = connect_proxy(world, order=(1,))
            await until(lambda: len(proxy.lines.get("look", ())) == 4 and proxy.tables.retries)
            received = []
            real = controller.planner.handlers[interface.EndpointStats]
            controller.planner.handlers[interface.EndpointStats] = lambda event: (
                received.append(event),
                real(event),
            )
            await until(lambda: sum(event.attempts for event in received) > 5)
            self.assertEqual(proxy.tables.retries, {"look": "unstarted", "file": "unstarted"})
            await until(
                lambda: [
                    x["held"] == x["sent"] != "0.0"
                    for x in controller.publication.proxy_versions()
                    if x["proxy"] == proxy.plan.name
                ]
                == [True]
            )
            self.assertGreater(received[0].mean_latency, 0.005)
            world.phases["h1"] = "draining"
            world.write_list()
            await until(
                lambda: {line.address for line in proxy.lines["look"]}
                == {"127.10.9.1", "127.10.9.3", "127.10.9.4"}
            )
            await proxy.finish()

        run_fleet(case)

    def test_an_independent_client_completes_both_streams(self):
        async def case(world):
            await world.start_controller()
            loop, found = asyncio.get_running_loop(), {}

            def client():
                with grpc.insecure_channel(f"127.1.0.1:{world.port + 2}") as channel:
                    done = threading.Event()
                    first = discovery_pb2.DiscoveryRequest(
                        type_url=ENDPOINTS, resource_names=["look", "file"]
                    )
                    first.node.id, first.node.locality.zone = "plain", "north"

                    def requests():
                        yield first
                        done.wait(10)
                        yield discovery_pb2.DiscoveryRequest(
                            type_url=ENDPOINTS,
                            resource_names=["look", "file"],
                            response_nonce=found["nonce"],
                            version_info=found["version"],
                        )

                    stream = channel.stream_stream(
                        DISCOVERY,
                        discovery_pb2.DiscoveryRequest.SerializeToString,
                        discovery_pb2.DiscoveryResponse.FromString,
                    )(requests(), timeout=10)
                    answer = next(stream)
                    found.update(
                        nonce=answer.nonce,
                        version=answer.version_info,
                        lines=len(decode_assignment(answer.resources[0].value)[1]),
                    )
                    done.set()
                    report = lrs_pb2.LoadStatsRequest()
                    report.node.id = "plain"
                    loads = channel.stream_stream(
                        LOADS,
                        lrs_pb2.LoadStatsRequest.SerializeToString,
                        lrs_pb2.LoadStatsResponse.FromString,
                    )(iter([report]), timeout=10)
                    found["every"] = next(loads).load_reporting_interval.ToMilliseconds()
                    list(loads)
                    found["loads"] = loads.code()
                    try:
                        channel.unary_unary("/x/Y")(b"", timeout=5)
                    except grpc.RpcError as problem:
                        found["unknown"] = problem.code()
                    stream.cancel()

            await loop.run_in_executor(None, client)
            return found["lines"], found["every"], found["loads"], found["unknown"]

        self.assertEqual(
            run_fleet(case), (4, 200, grpc.StatusCode.OK, grpc.StatusCode.UNIMPLEMENTED)
        )

    def test_an_independent_client_follows_the_incremental_variant(self):
        """It ignores our stamps: assignments name the collections, these contain the endpoints."""

        async def case(world):
            controller = await world.start_controller()
            loop, found, asks = asyncio.get_running_loop(), {}, queue.Queue()

            def ask(**fields):
                asks.put(discovery_pb2.DeltaDiscoveryRequest(**fields))

            def client():
                with grpc.insecure_channel(f"127.1.0.1:{world.port + 2}") as channel:
                    ask(
                        type_url=ENDPOINTS,
                        resource_names_subscribe=["look"],
                        node={"id": "plain", "locality": {"zone": "north"}},
                    )
                    stream = channel.stream_stream(
                        DELTA,
                        discovery_pb2.DeltaDiscoveryRequest.SerializeToString,
                        discovery_pb2.DeltaDiscoveryResponse.FromString,
                    )(iter(asks.get, None), timeout=20)
                    answer = next(stream)
                    table = endpoint_pb2.ClusterLoadAssignment.FromString(
                        answer.resources[0].resource.value
                    )
                    names = [
                        one.leds_cluster_locality_config.leds_collection_name
                        for one in table.endpoints
                    ]
                    ask(type_url=ENDPOINTS, response_nonce=answer.nonce)
                    ask(type_url=LINES_URL, resource_names_subscribe=names)
                    answer = next(stream)
                    found["lines"] = {one.name.rpartition("/")[2] for one in answer.resources}
                    found["names"] = {one.name.split("/")[4] for one in answer.resources}
                    ask(type_url=LINES_URL, response_nonce=answer.nonce)
                    found["first"] = True
                    answer = next(stream)
                    found["gone"] = list(answer.removed_resources), len(answer.resources)
                    asks.put(None)
                    stream.cancel()

            task = loop.run_in_executor(None, client)
            await until(lambda: "first" in found)
            await until(lambda: controller.proxies.acks >= 2)
            world.phases["h1"] = "draining"
            world.write_list()
            await task
            return found

        found = run_fleet(case)
        self.assertEqual((len(found["lines"]), found["names"]), (4, {"look"}))
        self.assertEqual(len(found["gone"][0]), 1)
        self.assertIn("127.10.9.2", found["gone"][0][0])

    def test_a_rejecting_proxy_keeps_its_old_endpoints_and_is_reported(self):
        async def case(world):
            controller = await world.start_controller()
            proxy = connect_proxy(world, order=(1,))
            await until(lambda: len(proxy.lines.get("look", ())) == 4)
            before, real = dict(proxy.lines), proxy._apply
            proxy._apply = lambda response: (_ for _ in ()).throw(ValueError("planted"))
            world.phases["h1"] = "draining"
            world.write_list()
            await until(lambda: controller.proxies.refusals)
            self.assertEqual(proxy.lines, before)
            self.assertEqual(dict(world.log)["assignment refused"]["why"], "planted")
            proxy._apply = real
            await proxy.finish()

        run_fleet(case)
