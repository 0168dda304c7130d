"""Accepting connections during shortages."""

import asyncio
import errno
import socket
import unittest
from unittest import mock

from peatlead.net.listener import PAUSE, Listener

from ..standin_fleet import run, until


class FailingListener:
    """A listening socket whose first accepts fail with the errors of `plan`, 0 for none."""

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
    def accept_all(self, plan, peers):
        """Return the events and the listener once all of so many peers were accepted."""
        events = []

        async def case():
            with socket.create_server(("127.0.0.1", 0), backlog=peers) as real:
                real.setblocking(False)
                accepted = []
                listener = Listener(
                    FailingListener(real, plan),
                    lambda: accepted.append(1) or asyncio.Protocol(),
                    8,
                    lambda event, **fields: events.append(event),
                )
                connections = [socket.create_connection(real.getsockname()) for _ in range(peers)]
                await until(lambda: len(accepted) == peers)
                listener.close()
                for connection in connections:
                    connection.close()
            await asyncio.sleep(0.02)
            return listener

        listener = run(case())
        return events, listener

    def test_the_failure_of_one_connection_delays_no_other(self):
        plan = [
            getattr(errno, name)
            for name in ("ECONNABORTED", "EPROTO", "EPERM", "ENETDOWN", "EHOSTUNREACH")
        ]
        events, _ = self.accept_all(plan, 20)
        self.assertEqual(events, [])

    def test_a_shortage_is_logged_once_and_the_next_one_starts_with_the_shortest_pause(self):
        # asyncio's own server pauses for a second each time, in which drains would be late.
        events, listener = self.accept_all(
            [errno.ENFILE, errno.ENOBUFS, 0, errno.EMFILE, 0, errno.ENOMEM], 20
        )
        self.assertEqual(events, ["accept put off", "accept goes on"] * 3)
        self.assertEqual(listener.pause, PAUSE)

    def test_a_lasting_shortage_is_retried_less_often_up_to_a_bound(self):
        with mock.patch("peatlead.net.listener.PAUSE_MOST", 0.04):
            events, listener = self.accept_all([errno.EMFILE] * 6, 1)
        self.assertEqual(events, ["accept put off", "accept goes on"])

    def test_a_listener_closed_during_its_pause_stays_closed(self):
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
