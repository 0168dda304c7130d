"""State that belongs to an event loop."""

import asyncio
import gc
import unittest
import weakref

from peatlead.net.buffer_budget import buffer_budget
from peatlead.net.in_memory_transport import InMemoryTransport
from peatlead.net.read_scheduler import read_scheduler
from peatlead.net.streams import LineStream


class LoopStateTest(unittest.TestCase):
    def test_state_is_kept_as_long_as_its_loop_and_no_longer(self):
        # Guards against loops that are never freed, such as those of the lab's many processes.
        async def leave_a_stream_open():
            stream = LineStream()
            stream.connection_made(InMemoryTransport())
            stream.buffer_updated(5)
            loop = asyncio.get_running_loop()
            self.assertIs(buffer_budget(loop), stream.buffer_budget)
            self.assertIs(read_scheduler(loop), stream.read_scheduler)
            self.assertIsNot(stream.buffer_budget, buffer_budget(other))
            return weakref.ref(loop)

        other = asyncio.new_event_loop()
        loop = asyncio.run(leave_a_stream_open())
        gc.collect()
        self.assertIsNone(loop())
        other.close()


if __name__ == "__main__":
    unittest.main()
