import asyncio
import queue
import random
import threading
import unittest

import grpc
import h2.config
import h2.connection
import h2.exceptions
import h2.settings
from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.service.discovery.v3 import discovery_pb2
from envoy.service.load_stats.v3 import lrs_pb2
from hypothesis import given
from hypothesis import strategies as some

from peatlead import interface
from peatlead.benchmarks.encoding import write_whole
from peatlead.grpc.discovery import NONE, Discovery, Version, read_version
from peatlead.grpc.framing import FramingError, Unframer, frame, read_timeout
from peatlead.grpc.http2 import Connection, dial
from peatlead.grpc.load_aggregation import LoadAggregator
from peatlead.grpc.load_reports import read_report
from peatlead.grpc.resources import (
    ENDPOINTS,
    Line,
    read_lines,
    read_routes,
    write_lines,
    write_routes,
)
from peatlead.grpc.resources import LINES as LINES_URL
from peatlead.grpc.server import DELTA, DISCOVERY, LOADS
from peatlead.net.streams import Stream
from peatlead.standin.dns_clients import Kind
from peatlead.standin.xds_proxies import Agent, Plan

from .places import SCRIPT, Quiet, play, until

FLEET = SCRIPT
for at in (1, 2):
    FLEET = FLEET.replace(
        f'control = "127.1.0.{at}:{{control}}")',
        f'control = "127.1.0.{at}:{{control}}", '
        f'grpc = "127.1.0.{at}:{{grpc}}", peer = "127.1.0.{at}:{{control}}")',
    )
FLEET = (
    FLEET.replace("view(", "# view(").replace("open_views = 4", "open_views = 0")
    + """
steward(name = "ns3", zone = "north", listen = "127.1.0.3:{port}", control = "127.1.0.3:{control}",
        grpc = "127.1.0.3:{grpc}", peer = "127.1.0.3:{control}")
grpc(proxies = 6)
fleet(keys = ["%s"], probe_every = 0.1, probe_wait = 0.06, suspect = 0.3)
"""
    % ("ab" * 32)
)
KINDS = [
    Kind("look", 0.5, 0.5, 1.5, 1.0, "replayable"),
    Kind("file", 0.5, 0.5, 1.5, 1.0, "non-replayable"),
]
LINES = [Line("127.10.9.1", 80, "north", 1.0), Line("127.10.9.2", 80, "south", 0.25)]


def fleet(case, **more):
    async def one(world):
        world.settings["limits"]["messages_most"] = 40
        return await case(world)

    return play(one, script=FLEET, **more)


def agent(world, name="p0", order=(1, 2, 3)):
    controllers = [[f"127.1.0.{at}", world.port + 2] for at in order]
    plan = Plan(name, "north", "127.60.9.1", controllers, world.port, 20.0, KINDS)
    made = Agent(plan, world.chance, Quiet())
    made.begin(asyncio.get_running_loop().time())
    world.closing.append(lambda: setattr(made, "stopped", True))
    return made


class Pure(unittest.TestCase):
    @given(some.lists(some.binary(max_size=300), max_size=8), some.integers(1, 50))
    def test_messages_come_out_whole_whatever_the_pieces(self, messages, size):
        data, unframer, found = b"".join(map(frame, messages)), Unframer(), []
        for at in range(0, len(data), size):
            found += unframer.feed(data[at : at + size])
        self.assertEqual(found, messages)

    def test_compressed_and_overlong_messages_are_refused(self):
        for data, status in ((b"\x01\0\0\0\0", 12), (b"\0\xff\xff\xff\xff", 8)):
            with self.assertRaises(FramingError) as caught:
                Unframer().feed(data)
            self.assertEqual(caught.exception.status, status)
        self.assertEqual(
            [read_timeout(t) for t in ("3S", "250m", "x", "1", "999999999H", "")],
            [3.0, 0.25, None, None, None, None],
        )

    @given(
        some.lists(
            some.builds(
                Line,
                some.sampled_from(["10.0.0.1", "10.0.0.2", "2001:db8::1"]),
                some.integers(1, 65535),
                some.sampled_from(["a", "b", ""]),
                some.floats(0.001, 4000.0),
            ),
            max_size=12,
        ),
        some.floats(0.0, 1.0),
    )
    def test_what_is_put_together_is_what_protobuf_writes(self, lines, level):
        self.assertEqual(write_lines("look", lines, level), write_whole("look", lines, level))

    def test_lines_levels_and_retries_go_out_and_come_back(self):
        kind, lines, level = read_lines(write_lines("look", LINES, 0.85))
        self.assertEqual((kind, sorted(lines), round(level, 6)), ("look", sorted(LINES), 0.85))
        retries = {"a": "never", "b": "unstarted", "c": "once", "d": "twice"}
        self.assertEqual(read_routes(write_routes(retries)), retries)
        for data in (b"\xff\xff", write_lines("x", [Line("", 80, "z", 1.0)], 1.0)):
            with self.assertRaises(ValueError):
                read_lines(data)

    def request(self, **more):
        made = discovery_pb2.DiscoveryRequest(type_url=ENDPOINTS, resource_names=["look"])
        for name, value in more.items():
            if name == "error":
                made.error_detail.message = value
            else:
                setattr(made, name, value)
        return made

    def test_one_response_is_under_way_and_the_newest_follows(self):
        state = {"look": b"1"}
        made = Discovery(7, lambda _, names: dict(state), "ns1")
        (first,) = made.take(self.request())
        self.assertEqual((first.version_info, first.nonce), ("7.1", "7.1"))
        for value in (b"2", b"3"):
            state["look"] = value
            self.assertEqual(made.changed(ENDPOINTS), [])
        (second,) = made.take(self.request(response_nonce="7.1", version_info="7.1"))
        self.assertEqual(second.resources[0].value, b"3")
        self.assertEqual(made.applied, [(ENDPOINTS, Version(7, 1))])
        self.assertEqual(
            made.take(self.request(response_nonce="7.1", version_info="7.1")), []
        )  # late, overtaken

    def test_a_refusal_is_reported_and_the_same_is_not_sent_again(self):
        state = {"look": b"1"}
        made = Discovery(1, lambda _, names: dict(state), "ns1")
        made.take(self.request())
        self.assertEqual(made.take(self.request(response_nonce="1.1", error="no")), [])
        self.assertEqual([r.text for r in made.refusals], ["no"])
        self.assertEqual(made.changed(ENDPOINTS), [])
        state["look"] = b"2"
        self.assertEqual(len(made.changed(ENDPOINTS)), 1)

    def test_versions_that_are_not_ours_are_none(self):
        self.assertEqual(
            [read_version(t) for t in ("", "3", "a.b", "1.2.3", "9" * 50 + ".1")], [NONE] * 5
        )
        self.assertEqual(read_version("12.3"), Version(12, 3))

    def test_reports_become_sums_and_odd_ones_nothing(self):
        request = lrs_pb2.LoadStatsRequest()
        for name, span, good, bad in (
            ("look", 1.0, 8, 2),
            ("other", 1.0, 5, 0),
            ("file", 1e6, 5, 0),
        ):
            cluster = request.cluster_stats.add(cluster_name=name, total_dropped_requests=3)
            cluster.load_report_interval.FromNanoseconds(int(span * 1e9))
            for address in ("127.10.9.1", "203.0.113.9"):
                one = cluster.upstream_locality_stats.add().upstream_endpoint_stats.add()
                one.address.socket_address.address, one.address.socket_address.port_value = (
                    address,
                    80,
                )
                one.total_successful_requests, one.total_error_requests = good, bad
                one.load_metric_stats.add(
                    metric_name="seconds",
                    num_requests_finished_with_metric=8,
                    total_metric_value=2.0,
                )
                one.load_metric_stats.add(
                    metric_name="util", num_requests_finished_with_metric=4, total_metric_value=2.0
                )
        gathered = LoadAggregator()
        gathered.report(0.0)
        read_report(request, {"look": 0, "file": 1}, {("127.10.9.1", 80): 5}.get, 70, 1, gathered)
        self.assertEqual(
            gathered.due(0.0),
            [
                interface.RequestStats(70, 0, 23, 7, 1.0),
                interface.EndpointStats(5, 1, 10, 2, 1.0, 0.25, {"util": 0.5}),
            ],
        )


class Wire(unittest.TestCase):
    async def server(self, world, serve):
        loop, made = asyncio.get_running_loop(), []

        def connect():
            made.append(Connection(False, serve, ping_every=0.0))
            return made[-1]

        server = await loop.create_server(connect, "127.1.0.1", 0)
        world.closing.append(server.close)
        return server.sockets[0].getsockname(), made

    def test_a_slow_reader_bounds_what_waits_and_gets_all_once_it_reads(self):
        async def case(world):
            calls, big = [], bytes(100_000)
            address, _ = await self.server(world, calls.append)
            client = await dial(address, ping_every=0.0)
            got, real = [], client.talk.acknowledge_received_data
            held = []
            client.talk.acknowledge_received_data = lambda size, number: held.append((size, number))
            call = client.call("/x", "y")
            call.message = got.append
            await until(lambda: calls)
            sent = 0
            while calls[0].send(big) and sent < 200:
                sent += 1
            self.assertLess(sent, 100)  # bounded: the call was reset, not the memory filled
            self.assertTrue(calls[0].over)
            call = client.call("/x", "y")
            call.message = got.append
            await until(lambda: len(calls) == 2)
            for _ in range(5):
                calls[1].send(big)
            await asyncio.sleep(0.1)
            self.assertFalse(calls[1].idle)
            client.talk.acknowledge_received_data = real
            for size, number in held:
                try:
                    real(size, number)
                except Exception:  # of the call that was reset
                    client.talk._inbound_flow_control_window_manager.process_bytes(size)
            client.flush()
            await until(lambda: got.count(big) >= 5)
            client.close()

        play(case)

    def test_a_call_ends_at_its_deadline(self):
        async def case(world):
            address, _ = await self.server(world, lambda call: None)
            client, over = (
                await dial(address, ping_every=0.0),
                asyncio.get_running_loop().create_future(),
            )
            client.call("/x", "y", [("grpc-timeout", "50m")]).ended = lambda *told: over.set_result(
                told
            )
            return await asyncio.wait_for(over, 5)

        self.assertEqual(play(case), (4, "its deadline has passed"))

    def test_half_open_peers_are_found_by_pings(self):
        async def case(world):
            loop = asyncio.get_running_loop()
            silent = await loop.create_server(Stream, "127.1.0.1", 0)
            world.closing.append(silent.close)
            client = await dial(silent.sockets[0].getsockname(), ping_every=0.1, ping_wait=0.1)
            over = loop.create_future()
            client.ended_all = over.set_result
            return await over

        self.assertEqual(play(case), "no answer to pings")

    def test_floods_and_junk_cost_the_peer_its_connection(self):
        async def case(world):
            address, made = await self.server(world, lambda call: None)
            ended = []
            for kind in ("pings", "settings", "resets", "junk"):
                client = await dial(address, ping_every=0.0)
                over = asyncio.get_running_loop().create_future()
                client.ended_all = lambda reason, over=over: over.done() or over.set_result(reason)
                for at in range(400):  # it stops once its own side knows that it was sent away
                    if client.transport is None or client.transport.is_closing() or over.done():
                        break
                    try:
                        if kind == "pings":
                            client.talk.ping(b"12345678")
                        elif kind == "settings":
                            size = {h2.settings.SettingCodes.INITIAL_WINDOW_SIZE: 70_000 + at}
                            client.talk.update_settings(size)
                        elif kind == "resets":
                            client.call("/x", "y").reset("no")
                        else:
                            client.send(b"\0\0\5\xff\xff\xff\xff\xff\xffjunk!")
                    except h2.exceptions.ProtocolError:
                        break
                    client.flush()
                    await asyncio.sleep(0)
                await asyncio.wait_for(over, 5)
                ended.append(kind)
            await until(lambda: all(one.transport is None for one in made))
            return ended, [len(one.calls) for one in made]

        self.assertEqual(play(case), (["pings", "settings", "resets", "junk"], [0] * 4))

    def test_mutated_frames_raise_nothing(self):
        async def case(world):
            chance = random.Random(5)
            client = h2.connection.H2Connection(h2.config.H2Configuration(header_encoding="utf-8"))
            client.initiate_connection()
            client.send_headers(
                1,
                [
                    (":method", "POST"),
                    (":scheme", "http"),
                    (":path", DISCOVERY),
                    (":authority", "x"),
                    ("content-type", "application/grpc"),
                ],
            )
            client.send_data(
                1, frame(discovery_pb2.DiscoveryRequest(type_url=ENDPOINTS).SerializeToString())
            )
            whole = client.data_to_send()
            await world.steward()
            loop = asyncio.get_running_loop()
            for _ in range(300):
                data = bytearray(whole)
                for _ in range(chance.randrange(1, 6)):
                    data[chance.randrange(24, len(data))] = chance.randrange(256)
                _, stream = await loop.create_connection(Stream, "127.1.0.1", world.port + 2)
                stream.send(bytes(data))
                await asyncio.sleep(0)
                stream.close()
            await asyncio.sleep(0.1)

        fleet(case)


class Joined(unittest.TestCase):
    def test_an_agent_joins_gets_lines_and_its_reports_become_sums(self):
        async def case(world):
            steward = await world.steward()
            one = agent(world, order=(1,))
            await until(lambda: len(one.lines.get("look", ())) == 4 and one.retries)
            heard = []
            real = steward.planner.handlers[interface.EndpointStats]
            steward.planner.handlers[interface.EndpointStats] = lambda event: (
                heard.append(event),
                real(event),
            )
            await until(lambda: sum(event.attempts for event in heard) > 5)
            self.assertEqual(one.retries, {"look": "unstarted", "file": "unstarted"})
            await until(
                lambda: [
                    x["held"] == x["sent"] != "0.0"
                    for x in steward.published.tell_holders()
                    if x["proxy"] == one.plan.name
                ]
                == [True]
            )
            self.assertGreater(heard[0].mean_latency, 0.005)
            world.phases["h1"] = "draining"
            world.write()
            await until(
                lambda: {line.address for line in one.lines["look"]}
                == {"127.10.9.1", "127.10.9.3", "127.10.9.4"}
            )
            await one.finish()

        fleet(case)

    def test_an_independent_client_completes_both_streams(self):
        async def case(world):
            await world.steward()
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
                        lines=len(read_lines(answer.resources[0].value)[1]),
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

        self.assertEqual(fleet(case), (4, 200, grpc.StatusCode.OK, grpc.StatusCode.UNIMPLEMENTED))

    def test_an_independent_client_follows_the_incremental_variant(self):
        """It knows nothing of our stamps: levels tell it the collections, the collections its lines."""

        async def case(world):
            steward = await world.steward()
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
            await until(lambda: steward.proxies.acks >= 2)
            world.phases["h1"] = "draining"
            world.write()
            await task
            return found

        found = fleet(case)
        self.assertEqual((len(found["lines"]), found["names"]), (4, {"look"}))
        self.assertEqual(len(found["gone"][0]), 1)
        self.assertIn("127.10.9.2", found["gone"][0][0])

    def test_a_refusing_proxy_keeps_its_old_lines_and_is_reported(self):
        async def case(world):
            steward = await world.steward()
            one = agent(world, order=(1,))
            await until(lambda: len(one.lines.get("look", ())) == 4)
            before, real = dict(one.lines), one.apply
            one.apply = lambda response: (_ for _ in ()).throw(ValueError("planted"))
            world.phases["h1"] = "draining"
            world.write()
            await until(lambda: steward.proxies.refusals)
            self.assertEqual(one.lines, before)
            self.assertEqual(dict(world.log)["assignment refused"]["why"], "planted")
            one.apply = real
            await one.finish()

        fleet(case)


class Several(unittest.TestCase):
    async def three(self, world):
        stewards = {name: await world.steward(name) for name in ("ns1", "ns2", "ns3")}
        await until(lambda: all(len(one.fleet.members.live()) == 3 for one in stewards.values()))
        return stewards

    def owner(self, stewards, name="p0"):
        ownership = [key for key, one in stewards.items() if name in one.proxies.front.sessions]
        return ownership[0] if len(ownership) == 1 else None

    def test_the_owner_by_rank_takes_it_in_and_a_killed_one_is_replaced(self):
        async def case(world):
            stewards = await self.three(world)
            one = agent(world)
            await until(lambda: self.owner(stewards))
            first = self.owner(stewards)
            self.assertEqual(first, stewards["ns1"].fleet.ownership.owner_of("p0"))
            await until(lambda: one.lines)
            held, epoch = dict(one.lines), one.fence.newest[0]
            stewards.pop(first).stop()
            await until(lambda: self.owner(stewards))
            await until(lambda: one.fence.newest[0] > epoch)
            self.assertEqual(
                set(held["look"]), set(one.lines["look"])
            )  # same shard, whoever owns it
            await one.finish()

        fleet(case)

    def test_a_cut_between_controllers_that_both_reach_the_agents_doubles_nothing_and_heals(self):
        async def case(world):
            stewards = await self.three(world)
            agents = [
                agent(world, f"p{at}", (at % 3 + 1, (at + 1) % 3 + 1, (at + 2) % 3 + 1))
                for at in range(6)
            ]
            await until(lambda: all(self.owner(stewards, one.plan.name) for one in agents))
            real = {name: one.fleet.send for name, one in stewards.items()}
            for one in stewards.values():  # each believes that it is alone, and owns them all
                one.fleet.send = lambda address, body: None
            await until(
                lambda: all(len(one.fleet.members.live()) == 1 for one in stewards.values())
            )
            world.phases["h1"] = "draining"
            world.write()
            await until(
                lambda: all(
                    {line.address for line in one.lines["look"]}
                    == {"127.10.9.1", "127.10.9.3", "127.10.9.4"}
                    for one in agents
                )
            )
            for name, one in stewards.items():
                one.fleet.send = real[name]
            await until(
                lambda: all(len(one.fleet.members.live()) == 3 for one in stewards.values())
            )
            await until(
                lambda: all(
                    self.owner(stewards, one.plan.name)
                    == stewards["ns1"].fleet.ownership.preferred_owner(one.plan.name)
                    for one in agents
                ),
                15,
            )
            orders = [row for one in agents for row in one.record.of("order")]
            versions = [(row[2], row[4], row[5]) for row in orders if row[6] == "applied"]
            self.assertEqual(len(versions), len(set(versions)))
            for one in agents:
                await one.finish()

        fleet(case)

    def test_handing_over_moves_all_and_nobody_is_left_without_lines(self):
        async def case(world):
            stewards = await self.three(world)
            agents = [agent(world, f"p{at}") for at in range(5)]
            await until(
                lambda: all(self.owner(stewards, one.plan.name) and one.lines for one in agents)
            )
            busy = max(stewards, key=lambda name: len(stewards[name].proxies.front.sessions))
            stewards[busy].tell_fleet(type("Q", (), {"do": "drain", "host": ""}))
            await until(lambda: not stewards[busy].proxies.front.sessions, 15)
            await until(lambda: all(self.owner(stewards, one.plan.name) for one in agents))
            self.assertTrue(all(one.lines["look"] for one in agents))
            told = stewards[busy].tell_fleet(type("Q", (), {"do": "why", "host": "p0"}))
            self.assertFalse(told["here"])
            for one in agents:
                await one.finish()

        fleet(case)

    def test_old_orders_that_arrive_do_not_act(self):
        async def case(world):
            stewards = await self.three(world)
            one = agent(world)
            await until(lambda: self.owner(stewards) and one.lines)
            first = self.owner(stewards)
            session = stewards[first].proxies.front.sessions["p0"]
            # Seen from the agent it is frozen: pings go unanswered. Then it wakes, and still believes that it owns.
            connection = session.call.connection
            connection.ping_timer.cancel()
            real, connection.received = connection.received, lambda data: None
            await until(
                lambda: any(self.owner({k: s}) for k, s in stewards.items() if k != first), 15
            )
            await until(
                lambda: one.fence.newest[0] > 1 and one.record.of("order")[-1][6] == "applied", 15
            )
            connection.received = real
            held = dict(one.lines)
            session.state.withdrawn.update(range(3))
            session.ready = True
            for kind in session.discovery.kinds.values():
                kind.nonce = ""
            session.changed()
            await until(lambda: any(row[6] == "old" for row in one.record.of("order")))
            self.assertEqual(one.lines, held)
            await one.finish()

        fleet(case)

    def test_a_forged_member_message_changes_nothing(self):
        async def case(world):
            stewards = await self.three(world)
            loop = asyncio.get_running_loop()
            transport, _ = await loop.create_datagram_endpoint(
                asyncio.DatagramProtocol, local_addr=("127.1.0.9", 0)
            )
            for data in (b"junk", b"\x01" * 90, bytes(60), b"\x01\x03" + bytes(80)):
                transport.sendto(data, ("127.1.0.1", world.port + 1))
            await until(lambda: stewards["ns1"].fleet.counts["refused"] >= 4)
            transport.close()
            return len(stewards["ns1"].fleet.members.live())

        self.assertEqual(fleet(case), 3)


class Rough(unittest.TestCase):
    """Deltas over a loopback way that cuts what it carries to pieces, holds it up, and breaks."""

    def test_it_ends_on_what_was_published_last_and_its_memory_is_sound(self):
        async def case(world):
            steward, chance, cuts, pieces = await world.steward(), random.Random(7), [], []

            async def carry(reader, writer, other):
                while piece := await reader.read(chance.randrange(1, 2000)):
                    await asyncio.sleep(chance.uniform(0.0, 0.004))
                    pieces.append(True)
                    if chance.random() < 0.015 or len(pieces) == 60:
                        cuts.append(True)
                        break
                    writer.write(piece)
                writer.close()
                other.close()

            async def serve(reader, writer):
                there, back = await asyncio.open_connection("127.1.0.1", world.port + 2)
                try:
                    await asyncio.gather(carry(reader, back, writer), carry(there, writer, back))
                except ConnectionError:
                    pass

            server = await asyncio.start_server(serve, "127.1.0.9", world.port + 2)
            world.closing.append(server.close)
            plan = Plan(
                "p0",
                "north",
                "127.60.9.1",
                [["127.1.0.9", world.port + 2]],
                world.port,
                20.0,
                KINDS,
                incremental=True,
            )
            one = Agent(plan, world.chance, Quiet())
            one.begin(asyncio.get_running_loop().time())
            world.closing.append(lambda: setattr(one, "stopped", True))
            await until(lambda: len(one.lines.get("look", ())) == 4)
            await world.shake(40, 0.08)

            def same():
                items = steward.published.store.histories["p0"].items
                lines = {key: value for key, value in items.items() if key.startswith("line/")}
                return (
                    one.holder.parts["line"] == lines
                    and len({line.address for line in one.lines["look"]}) == 3
                )

            await until(same)
            self.assertTrue(one.holder.sound("line"))
            self.assertNotIn(
                "127.10.9.2", {line.address for lines in one.lines.values() for line in lines}
            )
            self.assertFalse([row for row in one.record.of("held") if not row[7]])
            self.assertTrue(cuts)
            await one.finish()

        fleet(case)
