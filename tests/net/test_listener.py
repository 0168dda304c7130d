"""The listener accepts connections despite errors of accept(2)."""

import asyncio
import errno
import socket
import unittest
from unittest import mock

from peatlead.net.listener import MIN_PAUSE, Listener

from ..standin_fleet import run, until


class FailingSocket:
    """A listening socket whose first accepts fail with the given errnos; 0 means no error."""

    def __init__(self, listening_socket, errnos):
        self.listening_socket, self.errnos = listening_socket, list(errnos)

    def accept(self):
        error_number = self.errnos.pop(0) if self.errnos else 0
        if error_number:
            raise OSError(error_number, "simulated error")
        return self.listening_socket.accept()

    def fileno(self):
        return self.listening_socket.fileno()

    def close(self):
        self.listening_socket.close()


class ListenerTest(unittest.TestCase):
    def accept_all(self, errnos, peers):
        """Accept `peers` connections; return the logged events and the closed listener."""
        events = []

        async def case():
            with socket.create_server(("127.0.0.1", 0), backlog=peers) as listening_socket:
                listening_socket.setblocking(False)
                accepted = []
                listener = Listener(
                    FailingSocket(listening_socket, errnos),
                    lambda: accepted.append(1) or asyncio.Protocol(),
                    8,
                    lambda event, **fields: events.append(event),
                )
                connections = [
                    socket.create_connection(listening_socket.getsockname()) for _ in range(peers)
                ]
                await until(lambda: len(accepted) == peers)
                listener.close()
                for connection in connections:
                    connection.close()
            await asyncio.sleep(0.02)
            return listener

        listener = run(case())
        return events, listener

    def test_an_error_of_one_connection_does_not_delay_the_others(self):
        errnos = [
            getattr(errno, name)
            for name in ("ECONNABORTED", "EPROTO", "EPERM", "ENETDOWN", "EHOSTUNREACH")
        ]
        events, _ = self.accept_all(errnos, 20)
        self.assertEqual(events, [])

    def test_each_shortage_is_logged_once_and_resets_the_pause_when_it_ends(self):
        # asyncio's own server would pause for a second after each of these errors.
        events, listener = self.accept_all(
            [errno.ENFILE, errno.ENOBUFS, 0, errno.EMFILE, 0, errno.ENOMEM], 20
        )
        self.assertEqual(
            events, ["accepting connections paused", "accepting connections resumed"] * 3
        )
        self.assertEqual(listener.next_pause, MIN_PAUSE)

    def test_a_lasting_shortage_is_logged_once_and_accepting_resumes(self):
        with mock.patch("peatlead.net.listener.MAX_PAUSE", 0.04):
            events, listener = self.accept_all([errno.EMFILE] * 6, 1)
        self.assertEqual(events, ["accepting connections paused", "accepting connections resumed"])

    def test_a_listener_closed_during_a_pause_does_not_resume(self):
        async def case():
            with socket.create_server(("127.0.0.1", 0)) as listening_socket:
                listening_socket.setblocking(False)
                failing_socket = FailingSocket(listening_socket, [errno.EMFILE] * 9)
                listener = Listener(failing_socket, asyncio.Protocol, 8, lambda *_, **__: None)
                with socket.create_connection(listening_socket.getsockname()):
                    await until(lambda: listener.resume_timer is not None)
                    listener.close()
                    listener.close()
                    await asyncio.sleep(0.05)
                    return listener.resume_timer.cancelled()

        self.assertTrue(run(case()))
