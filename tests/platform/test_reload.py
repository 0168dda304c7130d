"""Rereading of the configuration at SIGHUP."""

import unittest
from unittest import mock

from peatlead.platform.configuration import ConfigurationError
from peatlead.platform.messages import (
    Address,
)

from ..platforms import (
    DISCOVERY_HOST,
    instance,
    run_with_platform,
)
from ..standin_fleet import until


class Reload(unittest.TestCase):
    def test_a_new_configuration_moves_the_watch_and_keeps_the_list(self):
        async def case(platform):
            await until(lambda: platform.controller.watch.version == 1)
            await platform.discovery.open(platform.port + 1)
            platform.configuration = platform.configuration._replace(
                discovery=Address(DISCOVERY_HOST, platform.port + 1)
            )
            before = len(platform.discovery.connections)
            platform.controller.reload()
            await until(lambda: len(platform.discovery.connections) > before)
            platform.discovery.publish(instance(0, lifecycle="leaving"))
            await until(lambda: platform.controller.planner.endpoints[0].phase == "draining")
            self.assertNotIn("/v1/endpoints", platform.discovery.request_paths[1:])

        run_with_platform(case)

    def test_an_invalid_new_configuration_changes_nothing(self):
        async def case(platform):
            def fail():
                raise ConfigurationError("torn")

            await until(lambda: platform.controller.watch.version == 1)
            platform.controller.reloader.read = fail
            platform.controller.reload()
            self.assertEqual(platform.log[-1], ("new configuration not taken", {"why": "torn"}))
            platform.discovery.publish(instance(0, lifecycle="leaving"))
            await until(lambda: platform.controller.planner.endpoints[0].phase == "draining")

        run_with_platform(case)

    def test_a_reload_that_could_not_read_its_file_is_retried(self):
        # Without a retry, the controller would lose discovery once the old address closes.
        async def case(platform):
            await until(lambda: platform.controller.watch.version == 1)
            moved = platform.configuration._replace(
                discovery=Address(DISCOVERY_HOST, platform.port + 1)
            )
            with mock.patch.object(
                platform.controller.reloader,
                "read",
                side_effect=[
                    ConfigurationError("half written"),
                    ConfigurationError("half written"),
                    moved,
                ],
            ):
                platform.controller.reload()
                await until(lambda: platform.controller.watch.address == moved.discovery)
            refused = [
                fields for event, fields in platform.log if event == "new configuration not taken"
            ]
            self.assertEqual(refused, [{"why": "half written"}])

        run_with_platform(case)
