"""Incremental discovery over a link that fragments, delays and cuts connections."""

import asyncio
import random
import unittest

from peatlead.standin.xds_proxies import ProxyPlan, StandInProxy

from ..standin_fleet import MemoryRecorder, until
from .simulated_fleet import REQUEST_CLASSES, run_fleet


class LossyLinkTest(unittest.TestCase):
    """A relay on loopback forwards chunks of random sizes, with delays and cuts."""

    def test_a_proxy_converges_to_the_last_published_state_over_a_lossy_link(self):
        async def case(world):
            controller, rng, cut_links, chunks = (
                await world.start_controller(),
                random.Random(7),
                [],
                [],
            )

            async def forward(reader, writer, other_writer):
                while chunk := await reader.read(rng.randrange(1, 2000)):
                    await asyncio.sleep(rng.uniform(0.0, 0.004))
                    chunks.append(True)
                    if rng.random() < 0.015 or len(chunks) == 60:
                        cut_links.append(True)
                        break
                    writer.write(chunk)
                writer.close()
                other_writer.close()

            async def relay(reader, writer):
                server_reader, server_writer = await asyncio.open_connection(
                    "127.1.0.1", world.port + 2
                )
                try:
                    await asyncio.gather(
                        forward(reader, server_writer, writer),
                        forward(server_reader, writer, server_writer),
                    )
                except ConnectionError:
                    pass

            server = await asyncio.start_server(relay, "127.1.0.9", world.port + 2)
            world.cleanups.append(server.close)
            plan = ProxyPlan(
                "p0",
                "north",
                "127.60.9.1",
                [["127.1.0.9", world.port + 2]],
                world.port,
                20.0,
                REQUEST_CLASSES,
                incremental=True,
            )
            proxy = StandInProxy(plan, world.random, MemoryRecorder())
            proxy.begin(asyncio.get_running_loop().time())
            world.cleanups.append(lambda: setattr(proxy, "stopped", True))
            await until(lambda: len(proxy.entries.get("look", ())) == 4)
            await world.change_list_repeatedly(40, 0.08)

            def has_converged():
                items = controller.publication.store.histories["p0"].items
                line_items = {key: value for key, value in items.items() if key.startswith("line/")}
                return (
                    proxy.replica.parts["line"] == line_items
                    and len({endpoint.address for endpoint in proxy.entries["look"]}) == 3
                )

            await until(has_converged)
            self.assertTrue(proxy.replica.is_consistent("line"))
            self.assertNotIn(
                "127.10.9.2",
                {
                    endpoint.address
                    for endpoints in proxy.entries.values()
                    for endpoint in endpoints
                },
            )
            self.assertFalse([row for row in proxy.recorder.rows_of_kind("held") if not row[7]])
            self.assertTrue(cut_links)
            await proxy.finish()

        run_fleet(case)
