"""What is still owed at the instant in which something ends (docs/endings.md): each crossing is forced by a peer or a
stand-in that holds or releases what it has, never by waiting for chance."""

import asyncio
import json
import os
import resource
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from peatlead import interface
from peatlead.controller.channel import Publisher
from peatlead.net.streams import Lines
from peatlead.planner.planner import Planner
from peatlead.platform import messages, sessions
from peatlead.platform.controller import PlatformController
from peatlead.platform.messages import Address
from peatlead.platform.restart_budget import RESTARTS_LIMIT
from peatlead.platform.settings_validation import settings_errors
from peatlead.scenario.runner import free_port
from peatlead.standin.platform_proxies import ProxyState

from .helpers import FACTS
from .places import until
from .platforms import STEWARD, Place, instance, listing, play


def taken_out(peer):
    """Hosts that a proxy which was sent all this could reach once and no longer can."""
    state, reached = ProxyState(0, "z0", [kind["name"] for kind in FACTS["req_kinds"]]), set()
    for part in peer.got:
        state.apply([part])
        reached |= state.reachable()
    return reached - state.reachable()


def whole_tables(peer):
    return sum(part.get("full", False) for part in peer.got)


async def joined(place, number=0, **more):
    proxy = await place.proxy(number, **more)
    await until(lambda: whole_tables(proxy))
    return proxy


class Exits(unittest.TestCase):
    def test_what_was_heard_before_the_end_is_decided_on_and_written(self):
        async def case(place):
            proxy = await joined(place)
            place.node.on_endpoint_list(
                listing(2, instance(1, "z1", "leaving"))
            )  # in the inbox, undecided
            place.node.stop()
            await until(lambda: proxy.over)
            self.assertEqual((taken_out(proxy), place.node.ended.result()), ({"s-1"}, "stopped"))

        play(case)

    def test_bytes_that_wait_are_sent_and_one_that_reads_nothing_holds_up_nobody(self):
        async def case(place):
            proxy, deaf = await joined(place, 0), await joined(place, 1)
            deaf.transport.pause_reading()
            for session in place.node.proxy_sessions.values():
                session.transport.write(b'{"pad":"' + b" " * 100_000 + b'"}\n')
            place.node.on_endpoint_list(listing(2, instance(0, lifecycle="leaving")))
            place.node.stop()
            await until(lambda: proxy.over and place.node.ended.done())
            self.assertEqual(taken_out(proxy), {"s-0"})

        play(case)

    def test_a_second_end_a_reload_and_late_timers_change_nothing(self):
        async def case(place):
            proxy = await joined(place)
            place.node.stop()
            decided = place.node.decided
            place.node.stop("again")
            place.told = place.told._replace(discovery=Address("127.3.0.9", 1))
            place.node.reload()
            place.node.fire_of(place.node.planner, 0, 0.0)
            place.node.on_health_check(0, "ok", 0.1, None, None)
            await until(lambda: proxy.over and place.node.ended.done())
            self.assertEqual((place.node.ended.result(), place.node.decided), ("stopped", decided))

        play(case)

    def test_an_end_before_the_start_is_through_leaves_no_listener(self):
        async def case(place):
            told = place.told._replace(listen=Address("127.3.0.2", place.port))
            other = PlatformController(told, None, lambda *_, **__: None, lambda: 0)
            other.stop()
            await other.start()
            await until(other.ended.done)
            with self.assertRaises(OSError):
                await asyncio.get_running_loop().create_connection(Lines, "127.3.0.2", place.port)

        play(case)


class Failures(unittest.TestCase):
    def test_a_planner_that_raises_is_followed_by_one_that_serves_the_same_streams(self):
        async def case(place):
            proxy, planner = await joined(place), place.node.planner
            with mock.patch.object(planner, "decide", side_effect=KeyError("planted")):
                place.node.hear(interface.ProxyDisconnected(3))
                await until(lambda: place.node.planner is not planner)
            await until(lambda: whole_tables(proxy) == 2, 20)
            before = place.node.decided
            place.desk.change(instance(1, "z1", "leaving"))
            await until(lambda: "s-1" in taken_out(proxy))
            await until(lambda: place.node.decided > before + 5)  # its timers go on
            self.assertIsNone(proxy.over)

        play(case)

    def test_timers_of_a_planner_that_is_no_more_are_not_heard(self):
        async def case(place):
            heard = []
            place.node.hear = heard.append
            place.node.fire_of(object(), 0, 0.0)
            self.assertEqual(heard, [])
            place.node.fire_of(place.node.planner, 0, 0.0)
            self.assertEqual(heard, [interface.TimerFired(0)])

        play(case)

    def test_one_that_goes_on_failing_is_the_stewards_end(self):
        async def case(place):
            await until(lambda: place.node.watch.version)
            with mock.patch.object(Planner, "decide", side_effect=KeyError("planted")):
                place.node.hear(interface.ProxyDisconnected(3))
                await until(place.node.ended.done)
            self.assertIn("planted", place.node.ended.result())
            self.assertEqual(place.node.failures.count, RESTARTS_LIMIT + 1)

        play(case)

    def test_a_message_that_cant_be_written_costs_its_stream_and_no_timer(self):
        async def case(place):
            proxy, other = await joined(place, 0), await joined(place, 1)
            tables = place.node.push.table_updates
            place.node.push.table_updates = lambda publisher, number, ops: (
                1 / 0 if number == 0 else tables(publisher, number, ops)
            )
            place.desk.change(instance(1, "z1", "leaving"))
            await until(lambda: proxy.over and "s-1" in taken_out(other))
            place.node.push.table_updates = tables
            again = await joined(place, 0)
            before = place.node.decided
            await until(lambda: place.node.decided > before + 3)
            self.assertIsNone(again.over)

        play(case)


class Streams(unittest.TestCase):
    def test_a_withdrawal_is_told_once_a_stream_and_again_on_the_next(self):
        made = Publisher()
        made.join(5, levelled=True)
        told = [made.take([interface.WithdrawEndpoint(1, True)])[0] for _ in range(2)]
        made.leave(5)
        made.join(5, levelled=True)
        self.assertEqual(
            [*told, made.take([interface.WithdrawEndpoint(1, True)])[0]],
            [{5: {("withdrawn", 1): True}}, {}, {5: {("withdrawn", 1): True}}],
        )
        self.assertEqual(
            made.take([interface.WithdrawEndpoint(1, False)])[0], {5: {("withdrawn", 1): False}}
        )
        self.assertEqual(
            made.take([interface.WithdrawEndpoint(1, True)])[0], {5: {("withdrawn", 1): True}}
        )

    def test_a_host_listed_for_the_first_time_is_let_in_by_nobody_and_one_that_came_back_is(self):
        async def case(place):
            await until(lambda: place.node.watch.version == 1)
            place.desk.change(instance(7, started=1.9e12))
            await until(lambda: "s-7" in place.node.endpoints.registry.index)
            self.assertEqual(place.node.endpoints.possibly_ejected, set())
            place.desk.change(instance(1, "z1"))  # it went and came back between two news
            await until(lambda: place.node.endpoints.possibly_ejected)
            place.node.endpoints.forgotten["s-8"] = True
            place.desk.change(instance(8))
            await until(lambda: len(place.node.endpoints.possibly_ejected) == 2)
            proxy = await joined(place, 2)
            self.assertEqual(
                {name for part in proxy.got for name in part.get("restore", ())}, {"s-1", "s-8"}
            )

        play(case, probing=False)

    def test_a_long_message_may_come_byte_by_byte(self):
        async def case(place):
            heard, hear = [], place.node.hear
            place.node.hear = lambda event: (heard.append(event), hear(event))
            agent = await place.collector()
            said = json.dumps(
                {
                    "msg": "outcomes",
                    "locality": "z0",
                    "endpoint": "s-1",
                    "total": 4,
                    "errors": 0,
                    "interval": 1000,
                }
            ).encode()
            agent.send(said[:-1] + b" " * 300_000)
            await until(
                lambda: any(len(session.part) > 300_000 for session in place.node.listener.sessions)
            )
            for byte in b"}\n":
                agent.send(bytes((byte,)))
            await until(lambda: any(type(event) is interface.EndpointStats for event in heard))
            agent.send(b" " * (messages.LINE_LIMIT + 2))
            await until(lambda: agent.over)

        play(case)

    def test_a_reset_right_after_accept_and_in_the_middle_of_a_part_leaves_nothing(self):
        async def case(place):
            for said in [b""] * 20 + [
                b'{"msg":"hel',
                b'{"msg":"hello","node":1,"locality":"z0"}\n{"msg":',
            ] * 5:
                one = socket.create_connection((STEWARD, place.port))
                one.sendall(said)
                one.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                one.close()  # a reset, whatever had been taken of it
            proxy = await joined(place)
            await until(
                lambda: list(place.node.listener.sessions) == [place.node.proxy_sessions[0]]
            )
            self.assertEqual((list(place.node.planner.here), proxy.over), ([0], None))

        play(case)

    def test_one_that_is_refused_and_does_not_read_is_no_joined_proxy_for_long(self):
        async def case(place):
            await joined(place)
            session = place.node.proxy_sessions[0]
            with mock.patch.object(session, "close"):  # as while bytes wait that nobody reads
                session.line(b"no sense")
                await until(lambda: not place.node.planner.here)

        with mock.patch.object(sessions, "REFUSAL_TIMEOUT", 0.05):
            play(case)

    def test_a_collector_that_fell_silent_makes_room_for_the_next_of_its_zone(self):
        async def case(place):
            silent, other, live = [await place.collector(zone) for zone in ("z0", "z1", "z0")]
            await until(lambda: sum(one.joined for one in place.node.listener.sessions) == 3)
            for session in list(place.node.listener.sessions)[:2]:
                session.touched -= 60.0
            late = await place.collector()
            await until(lambda: silent.over)
            self.assertEqual((other.over, live.over, late.over), (None, None, None))

        play(case)


class Watching(unittest.TestCase):
    def test_the_old_address_is_heard_until_the_new_one_has_answered(self):
        async def case(place):
            await until(lambda: place.node.watch.version == 1)
            later = type(place.desk)(place.desk.hosts)
            later.silent = True
            await later.open(place.port + 1)
            place.moved(1)
            await until(lambda: later.paths)
            place.desk.change(instance(0, lifecycle="leaving"))  # told by the old one alone
            await until(lambda: place.node.planner.hosts[0].phase == "draining")
            later.silent, later.version, later.news = False, 3, [instance(1, "z1", "leaving")]
            await until(lambda: place.node.planner.hosts[1].phase == "draining", 20)
            await until(lambda: place.node.watch.previous is None)
            for conn in later.conns:
                conn.cut("over")
            later.servers[0].close()

        play(case)

    def test_an_address_that_never_answered_is_left_at_once_and_the_one_before_it_kept(self):
        async def case(place):
            await until(lambda: place.node.watch.version == 1)
            place.moved(1)  # refuses
            place.moved(2)  # refuses too: a second SIGHUP in a row
            place.desk.change(instance(0, lifecycle="leaving"))
            await until(lambda: place.node.planner.hosts[0].phase == "draining")
            place.moved(0)
            await until(lambda: place.node.watch.previous is None)
            place.desk.change(instance(1, "z1", "leaving"))
            await until(lambda: place.node.planner.hosts[1].phase == "draining")

        play(case)

    def test_a_close_while_an_answer_is_half_read_loses_no_news(self):
        async def case(place):
            await until(lambda: place.node.watch.version == 1 and place.desk.held)
            conn, _ = place.desk.held.pop()
            conn.send(b'HTTP/1.1 200 OK\r\ncontent-length: 900\r\n\r\n{"generation":2,"inst')
            conn.close()
            place.desk.change(instance(0, lifecycle="leaving"))
            await until(lambda: place.node.planner.hosts[0].phase == "draining")

        play(case)

    def test_changes_of_a_version_that_went_back_are_not_taken_and_the_whole_list_is(self):
        async def case(place):
            place.desk.version = 5
            await until(lambda: place.node.watch.version in (1, 5))
            place.desk.change(instance(0, lifecycle="leaving"))
            await until(lambda: place.node.watch.version == 6)
            whole = place.desk.paths.count("/v1/endpoints")
            place.desk.hosts[0] = instance(0, lifecycle="leaving")
            place.desk.version, place.desk.news = 3, [instance(0)]
            place.desk.tell()
            await until(lambda: place.desk.paths.count("/v1/endpoints") > whole)
            await until(lambda: place.node.watch.version == 3)
            self.assertEqual(place.node.planner.hosts[0].phase, "draining")

        play(case)

    def test_news_that_came_while_a_decide_was_long_come_with_the_next_call(self):
        async def case(place):
            await until(lambda: place.node.watch.version == 1)
            decide, long = place.node.planner.decide, []

            def once(now, events):
                if not long:
                    long.append(place.desk.held.clear())  # the call that waited is lost meanwhile
                    place.desk.change(instance(0, lifecycle="leaving"))
                return decide(now, events)

            with mock.patch.object(place.node.planner, "decide", once):
                await until(lambda: place.node.planner.hosts[0].phase == "draining")

        play(case)

    def test_a_spoilt_entry_of_a_whole_list_takes_its_host_out_of_nothing(self):
        async def case(place):
            await until(lambda: place.node.watch.version == 1)
            good = [instance(at, f"z{at % 2}") for at in range(4)]
            for bad, left in (
                ({**good[1], "lifecycle": 7}, "ready"),
                ({**good[1], "zone": "nowhere"}, "ready"),
                ({"zone": "z1"}, "ready"),
                (None, "gone"),
            ):
                place.node.on_endpoint_list(
                    listing(
                        9,
                        *[one for at, one in enumerate(good) if at != 1],
                        *[bad] * (bad is not None),
                        whole=True,
                    )
                )
                await until(lambda: not place.node.inbox)
                self.assertEqual(place.node.planner.hosts[1].phase, left, bad)

        play(case)

    def test_a_probe_of_a_host_that_was_forgotten_meanwhile_is_no_news(self):
        async def case(place):
            await until(lambda: place.node.watch.version == 1)
            place.node.endpoints.registry.forget(3)
            del place.node.planner.hosts[3]
            place.node.on_health_check(3, "timed out", 0.2, None, None)
            place.node.on_endpoint_list(listing(2, instance(3, "z1")))
            await until(
                lambda: place.node.endpoints.registry.index["s-3"] == 4
                and 4 in place.node.planner.hosts
            )

        play(case)

    def test_alive_is_answered_from_the_known_list_while_discovery_is_silent(self):
        async def case(place):
            self.assertTrue(place.node.ready)
            peer = await place.dial()
            peer.say(msg="probe")
            await until(lambda: peer.got == [{"msg": "alive"}])
            self.assertIsNone(place.node.watch.version)

        known = listing(0, instance(0), instance(1, "z1"), whole=True)._replace(scope="remembered")
        play(case, known=known, silent=True)


class Settings(unittest.TestCase):
    def test_two_stewards_in_one_process_know_their_own_settings_alone(self):
        kinds = [{**FACTS["req_kinds"][0], "name": "quote"}]

        async def case(place):
            other = await Place(hosts=2, req_kinds=kinds, zones=["z1", "z0"], proxies=9).begin()
            first, second = await joined(place, 3, cold=False), await other.proxy(8, zone="z1")
            await until(lambda: whole_tables(second))
            self.assertIsNone(first.over)
            self.assertEqual(
                (place.node.class_names, other.node.class_names), (["read", "pay"], ["quote"])
            )
            self.assertEqual(other.node.proxy_sessions[8].zone, 0)
            second.say(msg="demand", node=8, route="pay", total=1, errors=0, interval=1000)
            await until(lambda: other.node.listener.counts.get("names nothing"))
            other.end()

        play(case)

    def test_each_setting_that_cant_be_used_is_named(self):
        self.assertEqual(settings_errors(FACTS), [])
        for name, value, said in (
            ("channel_rate", "fast", "channel_rate"),
            ("zone", 2, "zone"),
            ("zones", [], "zones"),
            ("proxies", 0, "proxies"),
            ("drain_grace", float("nan"), "drain_grace"),
            ("req_kinds", [], "req_kinds"),
        ):
            self.assertIn(said, settings_errors({**FACTS, name: value})[0])
        kind = FACTS["req_kinds"][0]
        for change, said in (
            ({"gain": -1.0}, "gain"),
            ({"response_target": 0.0}, "response_target"),
            ({"name": 7}, "7"),
        ):
            self.assertIn(said, settings_errors({**FACTS, "req_kinds": [{**kind, **change}]})[0])
        self.assertIn("a name of its own", settings_errors({**FACTS, "req_kinds": [kind, kind]})[0])


SETTINGS = {
    "balancers": 1,
    "rank": 0,
    "locality": 0,
    "zones": ["z0"],
    "kinds": ["m"],
    "classes": [
        {
            "name": "read",
            "targetUs": 800000,
            "deadlineUs": 2500000,
            "repeat": "repeatable",
            "worth": 2.0,
        }
    ],
    "familyInfo": {
        "dataPlaneSize": 4,
        "channelRate": 1000.0,
        "perMessage": 6.0,
        "pendingMax": 2000.0,
        "emptyForUs": 3000000,
        "lateMostUs": 1000000,
    },
    "obligations": {"drainGraceUs": 2000000, "warmAfterUs": 15000000},
}


class Program(unittest.TestCase):
    """The program itself, started as the platform starts it, with settings that leave out all they may."""

    def start(self, **limits):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.port, self.path = free_port(), Path(folder.name, "config.json")
        self.said = {
            "name": "n0",
            "listen": f"127.3.0.3:{self.port}",
            "discovery": "127.3.0.4:9",
            "seed": "1f",
            "known": {"generation": 0, "reset": True, "instances": [instance(0)]},
            "settings": SETTINGS,
        }
        self.path.write_text(json.dumps(self.said))
        program = subprocess.Popen(
            [sys.executable, "-m", "peatlead.platform"],
            stderr=subprocess.PIPE,
            text=True,
            env={**os.environ, "NODE_CONFIG": str(self.path)},
            **limits,
        )
        self.addCleanup(program.stderr.close)
        self.addCleanup(program.kill)
        self.read(program, "steward started")
        return program

    def read(self, program, event):
        for line in program.stderr:
            if json.loads(line)["event"] == event:
                return json.loads(line)
        self.fail(f"it ended without telling {event!r}")

    def asked(self):
        with socket.create_connection(("127.3.0.3", self.port), 30) as one:
            one.sendall(b'{"msg":"probe"}\n')
            return one.makefile().readline()

    def test_a_faulty_file_at_a_reload_is_one_line_and_the_end_is_0(self):
        program = self.start()
        self.path.write_text('{"name":')
        program.send_signal(signal.SIGHUP)
        self.assertIn(
            "not a configuration", self.read(program, "new configuration not taken")["why"]
        )
        self.said["settings"] = {**SETTINGS, "locality": 9}
        self.path.write_text(json.dumps(self.said))
        program.send_signal(signal.SIGHUP)
        self.assertIn(
            "zone: expected one of 1", self.read(program, "new configuration not taken")["why"]
        )
        self.said["settings"] = {
            **SETTINGS,
            "obligations": {"drainGraceUs": 1000000, "warmAfterUs": 15000000},
        }
        self.path.write_text(json.dumps(self.said))
        program.send_signal(signal.SIGHUP)
        told = self.read(
            program, "new configuration: all but discovery's address is for the next start"
        )
        self.assertEqual(told["differs"], ["drain_grace"])
        self.assertEqual(self.asked(), '{"msg":"alive"}\n')
        program.terminate()
        self.assertEqual(self.read(program, "steward stopped")["why"], "stopped")
        self.assertEqual(program.wait(60), 0)

    def test_the_end_before_the_loop_runs_is_0_and_a_reload_then_is_none(self):
        with tempfile.TemporaryDirectory() as folder:
            path = f"{folder}/config.json"
            os.mkfifo(path)
            program = subprocess.Popen(
                [sys.executable, "-m", "peatlead.platform"],
                stderr=subprocess.PIPE,
                env={**os.environ, "NODE_CONFIG": path},
            )
            self.addCleanup(program.stderr.close)
            self.addCleanup(program.kill)
            with open(path, "wb"):  # it has come so far as to read what it is told
                program.send_signal(signal.SIGHUP)
                program.terminate()
                self.assertEqual(program.wait(60), 0)

    def test_descriptors_used_up_are_no_end_and_those_that_come_later_are_served(self):
        program = self.start(
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (40, 40))
        )
        herd = [socket.create_connection(("127.3.0.3", self.port), 30) for _ in range(80)]
        self.read(program, "accept put off")
        for one in herd:
            one.close()
        self.assertEqual(self.asked(), '{"msg":"alive"}\n')
        program.terminate()
        self.assertEqual(program.wait(60), 0)


class Build(unittest.TestCase):
    """deploy/build, with a stand-in for the interpreter that notes how it was called."""

    def test_an_environment_that_is_half_made_or_outdated_is_made_anew(self):
        with tempfile.TemporaryDirectory() as folder:
            root = Path(folder)
            (root / "deploy").mkdir()
            (root / "requirements.txt").write_text("one==1\n")
            build = Path(__file__).parent.parent / "deploy" / "build"
            (root / "deploy" / "build").write_text(build.read_text())
            stand_in = """#!/bin/sh
echo "$@" >> "$ROOT/calls"
if [ "$2" = venv ]; then mkdir -p .venv-run/bin; cp "$0" .venv-run/bin/python; fi
case "$*" in *"$FAILS"*) exit 1;; esac
"""
            (root / "python3").write_text(stand_in)
            (root / "python3").chmod(0o755)

            def run(fails="nothing"):
                (root / "calls").write_text("")
                done = subprocess.run(
                    ["sh", "deploy/build"],
                    cwd=root,
                    env={"PATH": f"{root}:{os.environ['PATH']}", "ROOT": folder, "FAILS": fails},
                )
                return done.returncode, (root / "calls").read_text().count("venv --clear")

            self.assertEqual(run("pip install"), (1, 1))
            self.assertEqual(run("compileall"), (1, 1))  # what was half made does not pass
            self.assertEqual(run(), (0, 1))
            self.assertEqual(run(), (0, 0))
            (root / "requirements.txt").write_text("one==2\n")
            self.assertEqual(run(), (0, 1))
