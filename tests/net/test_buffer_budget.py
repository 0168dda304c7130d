"""The limit on what all peers of a process together make it buffer."""

import asyncio
import unittest

from peatlead.net.buffer_budget import BufferBudget, buffer_budget
from peatlead.net.streams import LineStream

KIBIBYTE = 1 << 10


class Holder:
    def __init__(self, held):
        self.held = held
        self.reason = None

    def held_bytes(self):
        return self.held

    def abort(self, reason):
        self.reason = reason


class BufferBudgetTest(unittest.TestCase):
    def test_the_largest_holders_are_aborted_and_slow_peers_are_not(self):
        budget = BufferBudget(1000)
        honest = [Holder(10) for _ in range(20)]
        hostile = [Holder(150) for _ in range(10)]
        for holder in [*honest, *hostile]:
            budget.update(holder)
            self.assertLessEqual(budget.total, 1000)
        self.assertEqual([holder.reason for holder in honest], [None] * 20)
        self.assertEqual(budget.aborted_count, 5)

    def test_what_peers_have_read_meanwhile_does_not_count(self):
        budget = BufferBudget(1000)
        readers = [Holder(90) for _ in range(10)]
        for holder in readers:
            budget.update(holder)
            holder.held = 0
        budget.update(Holder(500))
        self.assertEqual(budget.aborted_count, 0)

    def test_a_holder_that_has_ended_is_forgotten(self):
        budget = BufferBudget(1000)
        holder = Holder(900)
        budget.update(holder)
        budget.remove(holder)
        self.assertEqual(budget.total, 0)
        budget.remove(holder)
        self.assertEqual(budget.total, 0)


class StreamBudgetTest(unittest.IsolatedAsyncioTestCase):
    async def test_incomplete_lines_of_all_connections_share_the_budget(self):
        loop = asyncio.get_running_loop()
        buffer_budget(loop).limit = 64 * KIBIBYTE
        streams = []

        def accept():
            streams.append(LineStream())
            return streams[-1]

        server = await loop.create_server(accept, "127.0.0.1", 0)
        address = server.sockets[0].getsockname()
        try:
            _, slow = await asyncio.open_connection(*address)
            slow.write(b"x" * 100)
            writers = [(await asyncio.open_connection(*address))[1] for _ in range(20)]
            for writer in writers:
                writer.write(b"x" * 16 * KIBIBYTE)
            async with asyncio.timeout(10):
                while buffer_budget(loop).aborted_count < 16:
                    await asyncio.sleep(0.01)
            await asyncio.sleep(0.05)
            self.assertLessEqual(buffer_budget(loop).total, 64 * KIBIBYTE)
            self.assertIsNotNone(streams[0].transport)
            self.assertEqual(bytes(streams[0].partial_line), b"x" * 100)
        finally:
            for writer in [slow, *writers]:
                writer.close()
            server.close()
            await asyncio.sleep(0.01)
        self.assertEqual(buffer_budget(loop).total, 0)


if __name__ == "__main__":
    unittest.main()
