"""Trouble on our own machine: calls that fail for want of means, files that can't be read now, clocks that step."""

import asyncio
import errno
import socket
import unittest
from unittest import mock

from peatlead import interface
from peatlead.net.http import RequestFailedError, connect
from peatlead.net.listener import PAUSE, Listener
from peatlead.platform.clock import OFFSETS_KEPT, WallClock
from peatlead.platform.configuration import ConfigurationError, read_configuration
from peatlead.platform.messages import Address
from peatlead.platform.sessions import SessionListener

from .helpers import planner
from .places import run, until
from .platforms import Place, instance, play


class Calls(unittest.TestCase):
    def outcome(self, number):
        async def case():
            loop = asyncio.get_running_loop()
            with mock.patch.object(
                loop, "create_connection", side_effect=OSError(number, "planted")
            ):
                with self.assertRaises(RequestFailedError) as raised:
                    await connect(loop, ("127.0.0.1", 9), loop.time() + 1.0)
            return raised.exception.outcome

        return run(case())

    def test_a_connection_that_this_machine_has_no_means_for_tells_nothing_of_the_host(self):
        for name in (
            "EMFILE",
            "ENFILE",
            "ENOBUFS",
            "ENOMEM",
            "EADDRNOTAVAIL",
            "ENETUNREACH",
            "EINTR",
        ):
            self.assertEqual(self.outcome(getattr(errno, name)), "denied", name)
        for name in ("ECONNREFUSED", "EHOSTUNREACH", "ECONNRESET"):
            self.assertEqual(self.outcome(getattr(errno, name)), "unreachable", name)
        self.assertEqual(self.outcome(errno.ETIMEDOUT), "timed out")

    def test_probes_that_could_not_be_sent_convict_nobody(self):
        made = planner(tries_told=False, report_fields=[])
        for tick in range(100):
            results = [
                interface.HealthCheckResult(host, "denied" if host == 3 else "ok", 0.0, None)
                for host in made.hosts
            ]
            made.decide(101.0 + tick / 10, [interface.TimerFired(0), *results])
        self.assertTrue(made.hosts[3].usable)

    def test_a_listener_that_cant_be_opened_for_a_moment_is_no_refusal_to_start(self):
        real, tries = SessionListener.open, []

        async def fail_twice(front, place):
            tries.append(place)
            if len(tries) < 3:
                raise OSError(errno.ENOBUFS, "no buffers")
            await real(front, place)

        async def case(place):
            proxy = await place.proxy()
            await until(lambda: proxy.got)
            self.assertEqual(sum(event == "listener put off" for event, _ in place.log), 2)

        with mock.patch.object(SessionListener, "open", fail_twice):
            play(case)

    def test_a_listener_that_may_not_be_opened_ends_the_start_at_once(self):
        async def case():
            place = Place()
            with mock.patch.object(
                SessionListener, "open", side_effect=OSError(errno.EACCES, "not permitted")
            ):
                with self.assertRaises(OSError):
                    await place.begin()
            place.end()

        run(case())


class FailingListener:
    """A listening socket whose accept fails as `plan` says, an errno or 0 for each call, then no more."""

    def __init__(self, real, plan):
        self.real, self.plan = real, list(plan)

    def accept(self):
        number = self.plan.pop(0) if self.plan else 0
        if number:
            raise OSError(number, "planted")
        return self.real.accept()

    def fileno(self):
        return self.real.fileno()

    def close(self):
        self.real.close()


class Accepting(unittest.TestCase):
    def taken(self, plan, peers):
        """(events, the listener) once all of so many that dial at once were taken."""
        events = []

        async def case():
            with socket.create_server(("127.0.0.1", 0), backlog=peers) as real:
                real.setblocking(False)
                found = []
                listener = Listener(
                    FailingListener(real, plan),
                    lambda: found.append(1) or asyncio.Protocol(),
                    8,
                    lambda event, **fields: events.append(event),
                )
                dialled = [socket.create_connection(real.getsockname()) for _ in range(peers)]
                await until(lambda: len(found) == peers)
                listener.close()
                for one in dialled:
                    one.close()
            await asyncio.sleep(0.02)
            return listener

        listener = run(case())
        return events, listener

    def test_the_trouble_of_one_connection_holds_up_no_other(self):
        plan = [
            getattr(errno, name)
            for name in ("ECONNABORTED", "EPROTO", "EPERM", "ENETDOWN", "EHOSTUNREACH")
        ]
        events, _ = self.taken(plan, 20)
        self.assertEqual(events, [])

    def test_a_shortage_is_told_once_and_its_pause_starts_anew_with_the_next(self):
        # Each cost a second: a steward that took 240 proxies with one accept of ten failing kept drained hosts 5 s.
        events, listener = self.taken(
            [errno.ENFILE, errno.ENOBUFS, 0, errno.EMFILE, 0, errno.ENOMEM], 20
        )
        self.assertEqual(events, ["accept put off", "accept goes on"] * 3)
        self.assertEqual(listener.pause, PAUSE)

    def test_a_shortage_that_lasts_is_asked_for_less_often_up_to_a_bound(self):
        with mock.patch("peatlead.net.listener.PAUSE_MOST", 0.04):
            events, listener = self.taken([errno.EMFILE] * 6, 1)
        self.assertEqual(events, ["accept put off", "accept goes on"])

    def test_a_listener_that_is_closed_while_it_pauses_stays_closed(self):
        async def case():
            with socket.create_server(("127.0.0.1", 0)) as real:
                real.setblocking(False)
                failing = FailingListener(real, [errno.EMFILE] * 9)
                listener = Listener(failing, asyncio.Protocol, 8, lambda *_, **__: None)
                with socket.create_connection(real.getsockname()):
                    await until(lambda: listener.timer is not None)
                    listener.close()
                    listener.close()
                    await asyncio.sleep(0.05)
                    return listener.timer.cancelled()

        self.assertTrue(run(case()))


class Files(unittest.TestCase):
    def test_a_configuration_that_cant_be_read_now_is_told_from_one_that_is_not_there(self):
        expected = {errno.EIO: True, errno.EMFILE: True, errno.ENOENT: False, errno.EACCES: False}
        for number, passing in expected.items():
            with mock.patch("builtins.open", side_effect=OSError(number, "planted")):
                with self.assertRaises(ConfigurationError) as raised:
                    read_configuration({"NODE_CONFIG": "/config.json"}, 0.0)
            self.assertEqual(raised.exception.transient, passing)

    def test_a_reload_that_could_not_read_its_file_is_made_up_for(self):
        # It was told once and forgotten: the old address closes, and discovery was silent from then on.
        async def case(place):
            await until(lambda: place.node.watch.version == 1)
            told = place.told._replace(discovery=Address("127.3.0.9", place.port + 1))
            with mock.patch.object(
                place.node.reloader,
                "read",
                side_effect=[
                    ConfigurationError("half written"),
                    ConfigurationError("half written"),
                    told,
                ],
            ):
                place.node.reload()
                await until(lambda: place.node.watch.address == told.discovery)
            refused = [
                fields for event, fields in place.log if event == "new configuration not taken"
            ]
            self.assertEqual(refused, [{"why": "half written"}])

        play(case)


class Clocks(unittest.TestCase):
    """The loop's clock stands at `self.loop`, the wall clock `self.ahead` before it."""

    def setUp(self):
        self.loop, self.ahead, self.steps = 100.0, 1.9e9, []
        self.clock = WallClock(
            lambda: self.loop + self.ahead,
            lambda: self.loop,
            lambda event, **fields: self.steps.append(fields["by"]),
        )

    def test_a_hosts_age_is_a_span_of_real_time_however_the_wall_clock_is_stepped(self):
        for step in (3600.0, -3600.0, 2.5, -30.0):
            before = (
                self.loop + self.ahead
            )  # a start that is stamped before the step, and one after it
            self.loop += 5.0
            self.ahead += step
            after = self.loop + self.ahead
            self.loop += 3.0
            self.assertLessEqual(self.clock.age(before), 8.0, step)
            self.assertLessEqual(self.clock.age(after), 3.0, step)
        self.assertEqual(self.steps, [3600.0, -3600.0, 2.5, -30.0])

    def test_without_a_step_ages_are_exact_and_slew_is_no_step(self):
        self.loop += 50.0
        self.assertAlmostEqual(self.clock.age(1.9e9 + 90.0), 60.0, 3)
        self.ahead += 0.2
        self.assertAlmostEqual(self.clock.age(1.9e9 + 140.0), 10.0, 3)
        self.assertEqual(self.steps, [])

    def test_a_start_in_the_future_is_now(self):
        self.assertEqual(self.clock.age(2.0e9), 0.0)

    def test_what_is_remembered_is_bounded(self):
        for _ in range(100):
            self.ahead += 7.0
            self.clock.now()
        self.assertEqual(len(self.clock.offsets), OFFSETS_KEPT)

    def test_a_host_that_started_after_the_clock_was_set_back_counts_as_cold(self):
        wall = [2e9]

        async def case(place):
            await until(lambda: place.node.watch.version == 1)
            wall[0] -= 3600.0
            place.desk.change(instance(7, started=1000 * (wall[0] - 1.0)))
            await until(
                lambda: any(host.name == b"s-7" for host in place.node.planner.hosts.values())
            )
            [host] = [host for host in place.node.planner.hosts.values() if host.name == b"s-7"]
            return host.cold_from is not None

        async def whole():
            place = await Place().begin(wall=lambda: wall[0])
            try:
                return await case(place)
            finally:
                place.end()
                await asyncio.sleep(0.02)

        self.assertTrue(run(whole()))
