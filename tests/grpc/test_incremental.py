"""The incremental variant over a link that fragments, delays and breaks."""

import asyncio
import random
import unittest

from peatlead.standin.xds_proxies import Agent, Plan

from ..standin_fleet import MemoryRecorder, until
from .simulated_fleet import KINDS, run_fleet


class LossyLinkTest(unittest.TestCase):
    """Deltas over a loopback link that fragments, delays and cuts connections."""

    def test_a_proxy_converges_to_the_last_published_state_over_a_lossy_link(self):
        async def case(world):
            controller, rng, cuts, pieces = await world.start_controller(), random.Random(7), [], []

            async def carry(reader, writer, other):
                while piece := await reader.read(rng.randrange(1, 2000)):
                    await asyncio.sleep(rng.uniform(0.0, 0.004))
                    pieces.append(True)
                    if rng.random() < 0.015 or len(pieces) == 60:
                        cuts.append(True)
                        break
                    writer.write(piece)
                writer.close()
                other.close()

            async def serve(reader, writer):
                there, back = await asyncio.open_connection("127.1.0.1", world.port + 2)
                try:
                    await asyncio.gather(carry(reader, back, writer), carry(there, writer, back))
                except ConnectionError:
                    pass

            server = await asyncio.start_server(serve, "127.1.0.9", world.port + 2)
            world.cleanups.append(server.close)
            plan = Plan(
                "p0",
                "north",
                "127.60.9.1",
                [["127.1.0.9", world.port + 2]],
                world.port,
                20.0,
                KINDS,
                incremental=True,
            )
            proxy = Agent(plan, world.random, MemoryRecorder())
            proxy.begin(asyncio.get_running_loop().time())
            world.cleanups.append(lambda: setattr(proxy, "stopped", True))
            await until(lambda: len(proxy.lines.get("look", ())) == 4)
            await world.change_list_repeatedly(40, 0.08)

            def same():
                items = controller.publication.store.histories["p0"].items
                lines = {key: value for key, value in items.items() if key.startswith("line/")}
                return (
                    proxy.holder.parts["line"] == lines
                    and len({line.address for line in proxy.lines["look"]}) == 3
                )

            await until(same)
            self.assertTrue(proxy.holder.is_consistent("line"))
            self.assertNotIn(
                "127.10.9.2", {line.address for lines in proxy.lines.values() for line in lines}
            )
            self.assertFalse([row for row in proxy.record.rows_of("held") if not row[7]])
            self.assertTrue(cuts)
            await proxy.finish()

        run_fleet(case)
