"""Outcomes of failed connection attempts."""

import asyncio
import errno
import unittest
from unittest import mock

from peatlead.net.http import RequestFailedError, connect

from ..standin_fleet import run


class ConnectErrorsTest(unittest.TestCase):
    def connect_outcome(self, error_number):
        async def case():
            loop = asyncio.get_running_loop()
            with mock.patch.object(
                loop, "create_connection", side_effect=OSError(error_number, "simulated error")
            ):
                with self.assertRaises(RequestFailedError) as raised:
                    await connect(loop, ("127.0.0.1", 9), loop.time() + 1.0)
            return raised.exception.outcome

        return run(case())

    def test_a_local_shortage_is_reported_as_denied_and_not_as_unreachable(self):
        for name in (
            "EMFILE",
            "ENFILE",
            "ENOBUFS",
            "ENOMEM",
            "EADDRNOTAVAIL",
            "ENETUNREACH",
            "EINTR",
        ):
            self.assertEqual(self.connect_outcome(getattr(errno, name)), "denied", name)
        for name in ("ECONNREFUSED", "EHOSTUNREACH", "ECONNRESET"):
            self.assertEqual(self.connect_outcome(getattr(errno, name)), "unreachable", name)
        self.assertEqual(self.connect_outcome(errno.ETIMEDOUT), "timed out")
