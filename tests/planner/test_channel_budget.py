"""Limits on the channel's queue and on the messages to a proxy."""

import unittest

from peatlead import interface
from peatlead.controller.publisher import Publisher
from tests.helpers import make_endpoint, make_planner


class ChannelBudgetTest(unittest.TestCase):
    def test_a_channel_much_slower_than_configured_never_exceeds_its_queue(self):
        # The channel sends an eighth of its configured rate.
        planner = make_planner(endpoints=60, proxies=0, channel_rate=2000.0, queue_most=3000.0)
        planner.settings["proxies"] = 90
        publisher = Publisher()
        channel = []  # [proxy, remaining entries, nonces]
        events = []
        sendable = 0.0  # entries that the channel can send by now
        max_queued = 0.0
        assigned = set()
        for tick in range(600):
            now = 101.0 + tick / 10
            if tick < 90:
                publisher.join(tick, enforces_admission=True)
                events.append(interface.ProxyConnected(tick, tick % 2, 10.0, False))
            if tick % 100 == 50:
                endpoint = tick // 100
                events.append(
                    interface.EndpointUpdate(
                        "changes", tick, (make_endpoint(endpoint, endpoint % 2, "draining"),)
                    )
                )
            messages, nonces, _ = publisher.route(
                planner.decide(now, [interface.TimerFired(0), *events])
            )
            channel += [
                [proxy, 6 + len(operations), nonces.get(proxy, ())]
                for proxy, operations in messages.items()
            ]
            assigned.update(
                proxy
                for proxy, operations in messages.items()
                if any(operation[0] == "bind" for operation in operations)
            )
            max_queued = max(max_queued, sum(message[1] for message in channel))
            events = []
            sendable += 2000.0 / 8 / 10
            while channel and sendable >= channel[0][1]:
                proxy, entries, message_nonces = channel.pop(0)
                sendable -= entries
                events += [interface.Acknowledged(proxy, nonce, 0.1) for nonce in message_nonces]
            sendable = sendable if channel else 0.0
        self.assertLess(max_queued, 3000.0)
        # Tables are still assigned, as fast as the channel sends them.
        self.assertGreater(len(assigned), 60)

    def test_updates_are_postponed_after_half_of_a_proxys_messages(self):
        planner = make_planner(messages_most=20)
        proxy = planner.proxies[0]
        self.assertTrue(planner.budget.may_update(proxy))
        proxy.message_times.extend([planner.now] * 10)
        self.assertFalse(planner.budget.may_update(proxy))
