"""Many hostile clients of a controller process: its memory, its answers and its honest proxies."""

import asyncio
import unittest

from peatlead.benchmarks import hostile_clients
from peatlead.platform.sessions import JOIN_TIMEOUT

DURATION = 5.0  # seconds


class HostileClients(unittest.TestCase):
    def assert_honest_peers_are_served(self, attack):
        result = asyncio.run(hostile_clients.measure(attack, DURATION))
        self.assertLess(result.memory, hostile_clients.MEMORY_LIMIT)
        # A peer must be able to join although the others are busy.
        self.assertLess(result.slowest_answer, JOIN_TIMEOUT)
        self.assertEqual(result.honest_proxies, hostile_clients.HONEST_PROXIES)

    def test_proxies_that_stop_within_a_message_do_not_exceed_the_memory_limit(self):
        self.assert_honest_peers_are_served(hostile_clients.stop_within_message)

    def test_messages_of_many_fields_do_not_delay_other_peers(self):
        self.assert_honest_peers_are_served(hostile_clients.send_many_fields)

    def test_proxies_that_read_no_answers_do_not_delay_other_peers(self):
        self.assert_honest_peers_are_served(hostile_clients.read_nothing)


if __name__ == "__main__":
    unittest.main()
