"""Application of endpoint lists."""

import unittest

from ..platforms import (
    endpoint_list,
    instance,
    run_with_platform,
)
from ..standin_fleet import until


class Lists(unittest.TestCase):
    def test_an_invalid_entry_of_a_whole_list_does_not_change_its_endpoint(self):
        async def case(platform):
            await until(lambda: platform.controller.watch.version == 1)
            entries = [instance(number, f"z{number % 2}") for number in range(4)]
            for entry, expected_phase in (
                ({**entries[1], "lifecycle": 7}, "ready"),
                ({**entries[1], "zone": "nowhere"}, "ready"),
                ({"zone": "z1"}, "ready"),
                (None, "gone"),
            ):
                platform.controller.on_endpoint_list(
                    endpoint_list(
                        9,
                        *[unchanged for unchanged in entries if unchanged is not entries[1]],
                        *[entry] * (entry is not None),
                        whole=True,
                    )
                )
                await until(lambda: not platform.controller.inbox)
                self.assertEqual(
                    platform.controller.planner.endpoints[1].phase, expected_phase, entry
                )

        run_with_platform(case)

    def test_a_health_check_of_a_forgotten_endpoint_is_ignored(self):
        async def case(platform):
            await until(lambda: platform.controller.watch.version == 1)
            platform.controller.endpoint_tracker.registry.forget_endpoint(3)
            del platform.controller.planner.endpoints[3]
            platform.controller.on_health_check(3, "timed out", 0.2, None, None)
            platform.controller.on_endpoint_list(endpoint_list(2, instance(3, "z1")))
            await until(
                lambda: platform.controller.endpoint_tracker.registry.numbers["s-3"] == 4
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
