"""Rereading of the configuration after SIGHUP."""

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
    def test_a_new_discovery_address_is_polled_and_the_list_is_kept(self):
        async def case(platform):
            await until(lambda: platform.controller.watch.version == 1)
            await platform.discovery.open(platform.port + 1)
            platform.configuration = platform.configuration._replace(
                discovery=Address(DISCOVERY_HOST, platform.port + 1)
            )
            connections_before = len(platform.discovery.connections)
            platform.controller.reload()
            await until(lambda: len(platform.discovery.connections) > connections_before)
            platform.discovery.publish(instance(0, lifecycle="leaving"))
            await until(lambda: platform.controller.planner.endpoints[0].phase == "draining")
            self.assertNotIn("/v1/endpoints", platform.discovery.request_paths[1:])

        run_with_platform(case)

    def test_an_invalid_new_configuration_changes_nothing(self):
        async def case(platform):
            def fail():
                raise ConfigurationError("torn")

            await until(lambda: platform.controller.watch.version == 1)
            platform.controller.reloader.read_configuration = fail
            platform.controller.reload()
            self.assertEqual(platform.log[-1], ("configuration reload failed", {"why": "torn"}))
            platform.discovery.publish(instance(0, lifecycle="leaving"))
            await until(lambda: platform.controller.planner.endpoints[0].phase == "draining")

        run_with_platform(case)

    def test_a_failed_reload_is_retried(self):
        # Without retries, the controller would keep polling the previous address.
        async def case(platform):
            await until(lambda: platform.controller.watch.version == 1)
            new_configuration = platform.configuration._replace(
                discovery=Address(DISCOVERY_HOST, platform.port + 1)
            )
            with mock.patch.object(
                platform.controller.reloader,
                "read_configuration",
                side_effect=[
                    ConfigurationError("half written"),
                    ConfigurationError("half written"),
                    new_configuration,
                ],
            ):
                platform.controller.reload()
                await until(
                    lambda: platform.controller.watch.address == new_configuration.discovery
                )
            failures = [
                fields for event, fields in platform.log if event == "configuration reload failed"
            ]
            self.assertEqual(failures, [{"why": "half written"}])

        run_with_platform(case)
