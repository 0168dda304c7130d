import asyncio
import json
import signal
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from click.testing import CliRunner

from peatlead import cli
from peatlead.invariants.record import read_folder
from peatlead.scenario.runner import free_port

from .places import SCRIPT, play, until

SMALL = """
day(length = 6, seed = 2)
fleet(hosts = 9, pod = 3, warm_after = 5)
desks(views = 8, rate = 40, shared = 2)
silent(at = 1, length = 4, part = 0.1)
release(at = 1, length = 2, part = 0.2, drain = 3.2)
"""


def call(*words):
    return CliRunner().invoke(cli.main, [str(word) for word in words])


class Words(unittest.TestCase):
    def test_check_and_its_complaints(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "s.star"
            path.write_text(SCRIPT.format(port=5300, control=5301, path="/x"))
            self.assertIn("2 stewards, 2 views", call("check", path).output)
            path.write_text("zone(nam = 1)")
            told = call("check", path)
            self.assertEqual(
                (told.exit_code, told.output),
                (1, f"Error: {path}:1: zone.name: expected a value: as the node list names it\n"),
            )
            self.assertIn("lifetime", call("check", "--reference").output)
            self.assertIn("expected FILE", call("check").output)

    def test_a_steward_that_is_not_there_is_told_without_a_trace(self):
        with tempfile.TemporaryDirectory() as folder:
            port, path = free_port(), Path(folder) / "s.star"
            path.write_text(SCRIPT.format(port=port, control=port + 1, path="/x"))
            told = call("answer", path, "desk0", "--name", "ns1")
            self.assertEqual((told.exit_code, "Traceback" in told.output), (1, False))
            self.assertIn("steward ns1", told.output)
            self.assertIn("expected one of ns1, ns2", call("run", path, "--name", "x").output)

    def test_sigterm_ends_a_steward_in_order(self):
        with tempfile.TemporaryDirectory() as folder:
            port, path = free_port(), Path(folder) / "s.star"
            path.write_text(SCRIPT.format(port=port, control=port + 1, path=f"{folder}/n.json"))
            child = subprocess.Popen(
                [sys.executable, "-m", "peatlead", "run", str(path), "--name", "ns1"],
                stderr=subprocess.PIPE,
                text=True,
            )
            events = []
            for line in child.stderr:
                events.append(json.loads(line)["event"])
                if events[-1] == "steward started":
                    child.send_signal(signal.SIGTERM)
            child.stderr.close()
            self.assertEqual((child.wait(10), events[-1]), (0, "steward stopped"))

    def test_when_a_drained_host_may_be_stopped(self):
        async def case(world):
            steward = await world.steward()
            await until(lambda: len(world.named(steward)) == 4)
            ask = type("Q", (), {"host": "h2"})
            before = steward.queries.drained(ask)
            world.phases["h2"] = "draining"
            world.write()
            await until(
                lambda: steward.queries.drained(ask)["seconds until no kept answer names it"] == 0,
                5.0,
            )
            return before["named by views"] > 0, steward.queries.drained(ask)["phase"]

        self.assertEqual(play(case), (True, "draining"))


class Tables(unittest.TestCase):
    """`peatlead tables` against a running steward, as an operator calls it."""

    def test_from_a_bad_table_to_the_way_back_and_on(self):
        async def case(world):
            steward = await world.steward()
            await until(lambda: len(world.named(steward)) == 4)
            first = str(steward.published.store.histories["view:desk0"].last)
            file = world.folder / "service.star"
            file.write_text(
                SCRIPT.format(
                    port=world.port, control=world.port + 1, path=f"{world.folder}/nodes.json"
                )
            )
            loop = asyncio.get_running_loop()

            async def peatlead(*words):
                made = await loop.run_in_executor(
                    None, lambda: call("tables", words[0], file, *words[1:])
                )
                return made.exit_code, made.output

            world.phases["h0"] = "draining"
            world.write()
            await until(lambda: world.named(steward) == {"h1", "h2", "h3"})
            last = str(steward.published.store.histories["view:desk0"].last)
            ns1 = "--name", "ns1"
            code, said = await peatlead("log", "desk0", *ns1)
            self.assertTrue(code == 0 and "h0 drains" in said, said)
            code, said = await peatlead("diff", "desk0", first, last, *ns1)
            self.assertIn("h0 (north): 1.0 -> None, 25.0% -> 0.0%", said)
            self.assertIn("h3", (await peatlead("show", "desk0", "--version", first, *ns1))[1])
            code, said = await peatlead(
                "rollback", "--proxy", "view:desk0", "--to", first, "--dry", *ns1
            )
            self.assertIn("not as it was: h0 drains", said)
            code, said = await peatlead(
                "rollback", "--proxy", "view:desk0", "--to", first, "--over", "0", *ns1
            )
            self.assertIn("pinned as ns1-1", said)
            self.assertIn(
                "ns1-1: proxy view:desk0, version", (await peatlead("status", "--proxies", *ns1))[1]
            )
            self.assertEqual((await peatlead("resume", "ns1-1", *ns1))[0], 0)
            for words, what in (
                (("rollback", "--all"), "--to and --back"),
                (("pin", *ns1), "--all"),
                (("rollback", "--all", "--to", "noon"), "HH:MM"),
                (("resume", "x-1", *ns1), "got 'x-1'"),
                (("show", "nobody", *ns1), "nobody"),
            ):
                code, said = await peatlead(*words)
                self.assertTrue(code and what in said and "Traceback" not in said, said)

        play(case)


class SmallDay(unittest.TestCase):
    def test_a_small_day_on_sockets_keeps_the_rules(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "d.star"
            path.write_text(SMALL)
            told = call("day", path, "--out", folder)
            self.assertEqual(told.exit_code, 0, told.output)
            kinds = {row.kind for row in read_folder(Path(folder) / "shards").rows}
            self.assertLessEqual(
                {"answer", "try", "req", "effect", "list", "message", "trouble"}, kinds
            )
            self.assertEqual(call("rules", Path(folder) / "shards").exit_code, 0)
