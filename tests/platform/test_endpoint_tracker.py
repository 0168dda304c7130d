"""Endpoint lists and what is remembered between them."""

import unittest

from ..places import until
from ..platforms import (
    endpoint_list,
    instance,
    run_with_platform,
)


class Lists(unittest.TestCase):
    def test_an_invalid_entry_of_a_whole_list_leaves_its_endpoint_as_it_was(self):
        async def case(platform):
            await until(lambda: platform.controller.watch.version == 1)
            entries = [instance(number, f"z{number % 2}") for number in range(4)]
            for entry, phase in (
                ({**entries[1], "lifecycle": 7}, "ready"),
                ({**entries[1], "zone": "nowhere"}, "ready"),
                ({"zone": "z1"}, "ready"),
                (None, "gone"),
            ):
                platform.controller.on_endpoint_list(
                    endpoint_list(
                        9,
                        *[other for other in entries if other is not entries[1]],
                        *[entry] * (entry is not None),
                        whole=True,
                    )
                )
                await until(lambda: not platform.controller.inbox)
                self.assertEqual(platform.controller.planner.endpoints[1].phase, phase, entry)

        run_with_platform(case)

    def test_a_health_check_of_a_forgotten_endpoint_is_ignored(self):
        async def case(platform):
            await until(lambda: platform.controller.watch.version == 1)
            platform.controller.endpoints.registry.forget(3)
            del platform.controller.planner.endpoints[3]
            platform.controller.on_health_check(3, "timed out", 0.2, None, None)
            platform.controller.on_endpoint_list(endpoint_list(2, instance(3, "z1")))
            await until(
                lambda: platform.controller.endpoints.registry.numbers["s-3"] == 4
                and 4 in platform.controller.planner.endpoints
            )

        run_with_platform(case)

    def test_a_remembered_list_makes_the_controller_ready_while_discovery_is_silent(self):
        async def case(platform):
            self.assertTrue(platform.controller.ready)
            peer = await platform.connect()
            peer.send_message(msg="probe")
            await until(lambda: peer.messages == [{"msg": "alive"}])
            self.assertIsNone(platform.controller.watch.version)

        remembered_list = endpoint_list(0, instance(0), instance(1, "z1"), whole=True)._replace(
            scope="remembered"
        )
        run_with_platform(case, remembered_list=remembered_list, silent=True)
