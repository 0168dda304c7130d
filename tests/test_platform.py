import asyncio
import json
import os
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from hypothesis import given
from hypothesis import strategies as some

from peatlead import interface
from peatlead.platform import messages
from peatlead.platform.configuration import ConfigurationError, read_configuration
from peatlead.platform.messages import (
    Address,
    InvalidFieldError,
    MalformedMessageError,
    TableUpdate,
    read_endpoint_list,
    read_message,
    write_push,
)
from peatlead.standin.platform_proxies import ProxyState

from .helpers import FACTS
from .places import until
from .platforms import instance, play

OUTCOMES = {
    "msg": "outcomes",
    "locality": "z0",
    "endpoint": "s-1",
    "total": 12,
    "errors": 3,
    "rtt": 41.5,
    "interval": 1000.0,
    "metrics": {"busy": 0.5, "rif": 3.0, "lat_ms": 31.0},
}


class Codec(unittest.TestCase):
    def test_load_reports_come_under_the_settings_names(self):
        # They were looked for under the pages' own names: every host's load was believed to be 0.
        said = read_message(json.dumps(OUTCOMES).encode())
        self.assertEqual(
            messages.to_load_report(said.metrics), {"util": 0.5, "holding": 3.0, "service_ms": 31.0}
        )
        self.assertEqual(
            messages.read_load_report(b'{"inflight":7,"queue":2,"util":0.61}'),
            {"holding": 7.0, "waiting": 2.0, "util": 0.61},
        )
        self.assertIsNone(messages.read_load_report(b""))

    def test_a_spoilt_message_is_told_from_the_end_of_all_sense(self):
        for change in (
            {"total": -1},
            {"total": "12"},
            {"errors": 13},
            {"interval": 0},
            {"locality": 7},
            {"endpoint": ""},
            {"rtt": 1e300},
            {"metrics": {"busy": -2}},
            {"metrics": []},
            {"msg": "orders"},
            {"msg": None},
        ):
            with self.assertRaises(InvalidFieldError, msg=change):
                read_message(json.dumps({**OUTCOMES, **change}).encode())
        for field in ("msg", "locality", "endpoint", "total", "interval"):
            with self.assertRaises(InvalidFieldError, msg=field):
                read_message(json.dumps({k: v for k, v in OUTCOMES.items() if k != field}).encode())
        for data in (
            b"GET / HTTP/1.1",
            b"\xff\xfe",
            b"[1]",
            b'{"msg":"outcomes",',
            b'{"msg":"x"} tail',
            b"[" * 100_000,
        ):
            with self.assertRaises(MalformedMessageError, msg=data[:20]):
                read_message(data)

    @given(
        some.binary(max_size=60)
        | some.recursive(
            some.none() | some.booleans() | some.floats() | some.text(max_size=5),
            lambda inner: some.lists(inner)
            | some.dictionaries(some.sampled_from(["msg", "node", "total", "metrics"]), inner),
        ).map(lambda value: json.dumps(value).encode())
    )
    def test_whatever_comes_is_a_message_or_one_of_two_errors(self, data):
        try:
            read_message(data)
        except (InvalidFieldError, MalformedMessageError):
            pass

    def test_a_long_table_goes_in_parts_that_all_but_the_last_announce(self):
        lines = [(f"s-{at}", 1.0) for at in range(25_000)]
        tables = [
            TableUpdate(None, True, lines, None),
            TableUpdate(("look",), False, [], (0.5, "once")),
        ]
        parts = [json.loads(one) for one in write_push(tables, ["s-1"], [], 9).splitlines()]
        self.assertEqual(
            [len(part.get("endpoints", ())) for part in parts], [10_000, 10_000, 5_000, 0]
        )
        self.assertEqual([part.get("full", False) for part in parts], [True, False, False, False])
        self.assertEqual(
            [part.get("continued", False) for part in parts], [True, True, True, False]
        )
        self.assertEqual(
            parts[-1],
            {
                "msg": "push",
                "routes": ["look"],
                "admit": 0.5,
                "policy": 2,
                "eject": ["s-1"],
                "nonce_out": 9,
            },
        )

    def test_one_bad_entry_does_not_cost_the_others_and_no_list_raises(self):
        body = json.dumps(
            {
                "generation": 4,
                "reset": True,
                "instances": [
                    instance(0, started=5000.0),
                    {**instance(1), "lifecycle": "asleep"},
                    {**instance(2), "hostPort": "x"},
                ],
            }
        )
        listing = read_endpoint_list(body.encode(), 9.0)
        self.assertEqual(
            [(e.name, e.address, e.port, e.started) for e in listing.hosts],
            [("s-0", "127.3.1.1", 9, 5.0)],
        )
        self.assertEqual(len(listing.bad), 2)
        for bad in (b"", b"{}", b"[]", b'{"generation":1}', b'{"generation":"x","instances":[]}'):
            with self.assertRaises(MalformedMessageError):
                read_endpoint_list(bad, 9.0)


class Streams(unittest.TestCase):
    def test_a_proxy_that_joins_gets_one_whole_table_and_its_levels(self):
        async def case(place):
            proxy = await place.proxy()
            await until(
                lambda: any(part.get("full") for part in proxy.got)
                and not proxy.got[-1].get("continued")
            )
            return proxy.got[[part.get("full") for part in proxy.got].index(True) :]

        first, *rest = play(case)
        self.assertEqual(
            sorted(name for name, _ in first["endpoints"]), ["s-0", "s-1", "s-2", "s-3"]
        )
        self.assertNotIn("restore", {key for part in (first, *rest) for key in part})
        self.assertEqual([part["admit"] for part in (first, *rest) if "admit" in part], [1.0])

    def test_kinds_that_stay_at_home_have_a_table_of_their_own(self):
        async def case(place):
            proxy = await place.proxy()
            await until(lambda: sum(part.get("full", False) for part in proxy.got) == 2)
            return [part for part in proxy.got if part.get("full")]

        kinds = [{**kind, "own_zone": kind["name"] == "pay"} for kind in FACTS["req_kinds"]]
        got = play(case, req_kinds=kinds)
        named = {tuple(part["routes"]): {name for name, _ in part["endpoints"]} for part in got}
        self.assertEqual((set(named), named["pay",]), ({("read",), ("pay",)}, {"s-0", "s-2"}))
        self.assertTrue(named["read",] & {"s-1", "s-3"})

    def test_a_drain_is_a_removal_for_one_on_our_table_and_its_return_lets_it_in(self):
        # It was an eject too: one line more in the channel for each proxy and host that says the same.
        async def case(place):
            proxy = await place.proxy()
            state = ProxyState(0, "z0", [kind["name"] for kind in FACTS["req_kinds"]])
            await until(lambda: proxy.got)
            place.desk.change(instance(2, lifecycle="leaving"))
            await until(
                lambda: ["s-2", 0.0]
                in [line for part in proxy.got for line in part.get("endpoints", ())]
            )
            state.apply(proxy.got)
            self.assertEqual(state.reachable(), {"s-0", "s-1", "s-3"})
            place.desk.change(instance(2, started=1.9e12))

            def reachable():
                state.apply(proxy.got)
                return "s-2" in state.reachable()

            await until(reachable)

        play(case)

    def test_a_drain_is_an_eject_for_a_proxy_that_waits_for_its_table(self):
        async def case(place):
            place.node.planner.settings = {
                **place.node.planner.settings,
                "queue_most": 0.0,
            }  # no room for any table
            proxy, cold = await place.proxy(0, cold=False), await place.proxy(1, "z1")
            await until(lambda: len(place.node.planner.unbound) == 2)
            place.node.planner.settings = {**place.node.planner.settings, "queue_most": 1000.0}
            place.node.planner.waiting.unanswered = 410.0
            place.desk.change(instance(2, lifecycle="leaving"))
            await until(lambda: any(part.get("eject") == ["s-2"] for part in proxy.got))
            self.assertFalse(any(part.get("full") for part in proxy.got + cold.got))

        play(case)

    def test_a_host_that_another_steward_had_shut_out_is_let_in_with_its_line(self):
        # A proxy keeps what it shuts out across streams; ours never told this one, yet must open it.
        async def case(place):
            await (await place.proxy(1)).loop.create_task(asyncio.sleep(0.05))
            place.desk.change(instance(1, "z1", "leaving"))
            await until(lambda: place.node.endpoints.possibly_ejected)
            place.desk.change(instance(1, "z1", started=1.9e12))
            late = await place.proxy(0, cold=False)
            await until(lambda: any("endpoints" in part for part in late.got), 20)
            await until(lambda: any(part.get("restore") == ["s-1"] for part in late.got), 20)
            self.assertNotIn("s-0", {name for part in late.got for name in part.get("restore", ())})

        play(case)

    def test_a_new_stream_of_a_proxy_takes_the_place_of_the_old_one(self):
        async def case(place):
            old = await place.proxy()
            await until(lambda: old.got)
            new = await place.proxy()
            await until(lambda: new.got and old.over)
            self.assertEqual((len(place.node.proxy_sessions), len(place.node.planner.here)), (1, 1))
            new.cut("gone")
            await until(lambda: not place.node.planner.here)

        play(case)

    def test_reports_reach_the_planner_and_spoilt_ones_cost_only_themselves(self):
        async def case(place):
            heard, hear = [], place.node.hear
            place.node.hear = lambda event: (heard.append(event), hear(event))
            await place.proxy(3)
            agent = await place.dial()
            agent.say(msg="agent", locality="z1")
            for change in (
                {"total": -1},
                {"endpoint": "s-99"},
                {"locality": "nowhere"},
                {"msg": "push"},
                {},
            ):
                agent.say(**{**OUTCOMES, **change})
            agent.say(msg="demand", node=99, route="read", total=1, errors=0, interval=1000)
            agent.say(msg="demand", node=3, route="nothing", total=1, errors=0, interval=1000)
            agent.say(msg="demand", node=3, route="pay", total=8, errors=1, interval=500)
            await until(lambda: any(type(event) is interface.RequestStats for event in heard))
            self.assertEqual(
                [
                    event
                    for event in heard
                    if type(event) in (interface.EndpointStats, interface.RequestStats)
                ],
                [
                    interface.EndpointStats(
                        1, 0, 12, 3, 1.0, 0.0415, {"util": 0.5, "holding": 3.0, "service_ms": 31.0}
                    ),
                    interface.RequestStats(3, 1, 8, 1, 0.5),
                ],
            )
            agent.send(b"no sense at all\n")
            await until(lambda: agent.over)
            self.assertEqual(place.node.listener.counts["spoilt"], 2)

        play(case)


class Strangers(unittest.TestCase):
    def test_each_bad_client_gets_an_error_or_its_end_and_a_proxy_is_served_meanwhile(self):
        said = [
            b"GET / HTTP/1.1\r\nhost: x\r\n\r\n",
            b"\x16\x03\x01" * 30 + b"\n",
            b'{"msg":"hello","node":99,"locality":"z0"}\n',
            b'{"msg":"hello","node":0,"locality":"nowhere"}\n',
            b'{"msg":"agent","locality":"nowhere"}\n',
            json.dumps(OUTCOMES).encode() + b"\n",
            b'{"msg":"push","full":true}\n',
            b"x" * 5000,
            b'{"msg":"hel',
            b"",
        ]

        async def case(place):
            strangers = [await place.dial() for _ in said]
            for stranger, data in zip(strangers, said):
                stranger.send(data)
            proxy = await place.proxy()
            await until(lambda: proxy.got)
            await until(lambda: all(stranger.over for stranger in strangers))
            self.assertEqual(list(place.node.listener.sessions), [place.node.proxy_sessions[0]])

        play(case)

    def test_a_herd_that_says_nothing_costs_no_proxy_its_stream(self):
        async def case(place):
            proxy = await place.proxy()
            await until(lambda: proxy.got)
            listener = place.node.listener
            for _ in range(listener.limit + 28):
                await place.dial()
            late = await place.proxy(1)
            await until(lambda: late.got)
            self.assertLessEqual(len(listener.sessions), listener.limit + 1)
            self.assertIsNone(proxy.over)
            self.assertGreater(listener.counts["evicted"], 0)

        play(case, sockets=96)

    def test_a_sign_of_life_waits_for_the_first_list(self):
        async def case(place):
            peer = await place.dial()
            peer.say(msg="probe")
            await until(lambda: peer.got)
            self.assertEqual((peer.got, len(place.node.planner.hosts)), ([{"msg": "alive"}], 4))

        play(case)


class Watching(unittest.TestCase):
    def test_a_new_configuration_moves_the_watch_and_what_is_known_stands(self):
        async def case(place):
            await until(lambda: place.node.watch.version == 1)
            await place.desk.open(place.port + 1)
            place.told = place.told._replace(discovery=Address("127.3.0.9", place.port + 1))
            before = len(place.desk.conns)
            place.node.reload()
            await until(lambda: len(place.desk.conns) > before)
            place.desk.change(instance(0, lifecycle="leaving"))
            await until(lambda: place.node.planner.hosts[0].phase == "draining")
            self.assertNotIn("/v1/endpoints", place.desk.paths[1:])

        play(case)

    def test_a_bad_new_configuration_leaves_all_as_it_is(self):
        async def case(place):
            def worse():
                raise ConfigurationError("torn")

            await until(lambda: place.node.watch.version == 1)
            place.node.reloader.read = worse
            place.node.reload()
            self.assertEqual(place.log[-1], ("new configuration not taken", {"why": "torn"}))
            place.desk.change(instance(0, lifecycle="leaving"))
            await until(lambda: place.node.planner.hosts[0].phase == "draining")

        play(case)

    def test_news_that_could_not_be_taken_are_asked_for_whole_again(self):
        async def case(place):
            await until(lambda: place.node.watch.version == 1)
            tell, place.node.watch.on_list = place.node.watch.on_list, lambda listing: 1 / 0
            place.desk.change(instance(0, lifecycle="leaving"))
            await until(lambda: place.node.watch.failures)
            place.desk.hosts[0] = instance(0, lifecycle="leaving")
            place.node.watch.on_list = tell
            await until(lambda: place.node.planner.hosts[0].phase == "draining")

        play(case)

    def test_a_silent_connection_is_left_for_another(self):
        async def case(place):
            await until(lambda: place.node.watch.version == 1)
            place.desk.silent = True
            await until(lambda: len(place.desk.paths) > 2)
            before = len(place.desk.conns)
            await until(
                lambda: len(place.desk.conns) > before
            )  # past its deadline, though nothing has ended
            place.desk.silent = False
            place.desk.version, place.desk.news = 2, [instance(0, lifecycle="leaving")]
            await until(lambda: place.node.planner.hosts[0].phase == "draining")

        play(case)


class Program(unittest.TestCase):
    def test_a_configuration_that_lacks_something_says_what(self):
        with tempfile.TemporaryDirectory() as folder:
            path = f"{folder}/config.json"
            for said, why in (
                ("{", "not a configuration"),
                ('{"name":"n"}', "listen"),
                ('{"name":"n","listen":"x","discovery":"y:1","settings":{}}', "ADDRESS:PORT"),
                ('{"name":"n","listen":"x:1","discovery":"y:1","settings":{}}', "proxies"),
            ):
                Path(path).write_text(said)
                with self.assertRaisesRegex(ConfigurationError, why):
                    read_configuration({"NODE_CONFIG": path}, 0.0)
        with self.assertRaisesRegex(ConfigurationError, "NODE_CONFIG"):
            read_configuration({}, 0.0)

    def test_what_is_off_on_the_platform_is_not_loaded(self):
        code = "import peatlead.platform.__main__, sys; print(*[m for m in sys.modules if sys.modules[m]])"
        done = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, text=True, timeout=60
        )
        loaded = set(done.stdout.split())
        self.assertIn("peatlead.platform.controller", loaded)
        self.assertEqual(
            loaded
            & {
                "dns",
                "h2",
                "blake3",
                "click",
                "structlog",
                "google",
                "ssl",
                "zstandard",
                "starlark",
                "peatlead.dns",
                "peatlead.grpc",
                "peatlead.fleet",
                "peatlead.tables",
                "peatlead.controller.controller",
            },
            set(),
        )

    def test_no_configuration_is_one_line_and_exit_1(self):
        done = subprocess.run(
            [sys.executable, "-m", "peatlead.platform"],
            capture_output=True,
            text=True,
            timeout=60,
            env={key: value for key, value in os.environ.items() if key != "NODE_CONFIG"},
        )
        self.assertEqual((done.returncode, json.loads(done.stderr)["event"]), (1, "cannot start"))
