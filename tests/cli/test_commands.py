"""The commands of the command line."""

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

from ..standin_fleet import SCRIPT, run_with_standins, until

SHORT_SCENARIO = """
day(length = 6, seed = 2)
fleet(hosts = 9, pod = 3, warm_after = 5)
desks(views = 8, rate = 40, shared = 2)
silent(at = 1, length = 4, part = 0.1)
release(at = 1, length = 2, part = 0.2, drain = 3.2)
"""


def run_cli(*arguments):
    """Run the command line with these arguments; return click's result."""
    return CliRunner().invoke(cli.main, [str(argument) for argument in arguments])


class CommandsTest(unittest.TestCase):
    def test_check_prints_counts_or_the_error(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "s.star"
            path.write_text(SCRIPT.format(port=5300, control=5301, path="/x"))
            self.assertIn("2 controllers, 2 views", run_cli("check", path).output)
            path.write_text("zone(nam = 1)")
            result = run_cli("check", path)
            self.assertEqual(
                (result.exit_code, result.output),
                (
                    1,
                    f"Error: {path}:1: zone.name: expected a value: name of the zone, "
                    "as in the node list\n",
                ),
            )
            self.assertIn("lifetime", run_cli("check", "--reference").output)
            self.assertIn("expected FILE", run_cli("check").output)

    def test_a_controller_that_does_not_answer_is_reported_without_a_traceback(self):
        with tempfile.TemporaryDirectory() as folder:
            port, path = free_port(), Path(folder) / "s.star"
            path.write_text(SCRIPT.format(port=port, control=port + 1, path="/x"))
            result = run_cli("answer", path, "desk0", "--name", "ns1")
            self.assertEqual((result.exit_code, "Traceback" in result.output), (1, False))
            self.assertIn("controller ns1", result.output)
            self.assertIn("expected one of ns1, ns2", run_cli("run", path, "--name", "x").output)

    def test_sigterm_stops_a_controller_with_exit_code_0(self):
        with tempfile.TemporaryDirectory() as folder:
            port, path = free_port(), Path(folder) / "s.star"
            path.write_text(SCRIPT.format(port=port, control=port + 1, path=f"{folder}/n.json"))
            process = subprocess.Popen(
                [sys.executable, "-m", "peatlead", "run", str(path), "--name", "ns1"],
                stderr=subprocess.PIPE,
                text=True,
            )
            events = []
            for line in process.stderr:
                events.append(json.loads(line)["event"])
                if events[-1] == "controller started":
                    process.send_signal(signal.SIGTERM)
            process.stderr.close()
            self.assertEqual((process.wait(10), events[-1]), (0, "controller stopped"))


class TablesCommandsTest(unittest.TestCase):
    """`peatlead tables` against a running controller."""

    def test_each_command_prints_its_result_or_an_error_without_a_traceback(self):
        async def case(world):
            controller = await world.start_controller()
            await until(lambda: len(world.answered_endpoints(controller)) == 4)
            first_version = str(controller.publication.store.histories["view:desk0"].newest_version)
            settings_file = world.folder / "service.star"
            settings_file.write_text(
                SCRIPT.format(
                    port=world.port, control=world.port + 1, path=f"{world.folder}/nodes.json"
                )
            )
            loop = asyncio.get_running_loop()

            async def run_tables_command(command, *arguments):
                result = await loop.run_in_executor(
                    None, lambda: run_cli("tables", command, settings_file, *arguments)
                )
                return result.exit_code, result.output

            world.phases["h0"] = "draining"
            world.write_list()
            await until(lambda: world.answered_endpoints(controller) == {"h1", "h2", "h3"})
            last_version = str(controller.publication.store.histories["view:desk0"].newest_version)
            name_option = "--name", "ns1"
            exit_code, output = await run_tables_command("log", "desk0", *name_option)
            self.assertTrue(exit_code == 0 and "h0 drains" in output, output)
            exit_code, output = await run_tables_command(
                "diff", "desk0", first_version, last_version, *name_option
            )
            self.assertIn("h0 (north): 1.0 -> None, 25.0% -> 0.0%", output)
            self.assertIn(
                "h3",
                (
                    await run_tables_command(
                        "show", "desk0", "--version", first_version, *name_option
                    )
                )[1],
            )
            exit_code, output = await run_tables_command(
                "rollback", "--proxy", "view:desk0", "--to", first_version, "--dry", *name_option
            )
            self.assertIn("not restored as pinned: h0 drains", output)
            exit_code, output = await run_tables_command(
                "rollback",
                "--proxy",
                "view:desk0",
                "--to",
                first_version,
                "--over",
                "0",
                *name_option,
            )
            self.assertIn("pinned as ns1-1", output)
            self.assertIn(
                "ns1-1: proxy view:desk0, version",
                (await run_tables_command("status", "--proxies", *name_option))[1],
            )
            self.assertEqual((await run_tables_command("resume", "ns1-1", *name_option))[0], 0)
            for arguments, expected in (
                (("rollback", "--all"), "--to and --back"),
                (("pin", *name_option), "--all"),
                (("rollback", "--all", "--to", "noon"), "HH:MM"),
                (("resume", "x-1", *name_option), "got 'x-1'"),
                (("show", "nobody", *name_option), "nobody"),
            ):
                exit_code, output = await run_tables_command(*arguments)
                self.assertTrue(
                    exit_code and expected in output and "Traceback" not in output, output
                )

        run_with_standins(case)


class DayCommandTest(unittest.TestCase):
    def test_a_short_scenario_over_sockets_keeps_the_rules(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "d.star"
            path.write_text(SHORT_SCENARIO)
            result = run_cli("day", path, "--out", folder)
            self.assertEqual(result.exit_code, 0, result.output)
            kinds = {row.kind for row in read_folder(Path(folder) / "shards").rows}
            self.assertLessEqual(
                {"answer", "try", "req", "effect", "list", "message", "trouble"}, kinds
            )
            self.assertEqual(run_cli("rules", Path(folder) / "shards").exit_code, 0)
