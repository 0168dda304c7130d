"""A steward of an earlier text and one of this text in one fleet, and this text on the state that the other left.

The earlier text is taken from the repository's own history (EARLIER) and run as a process; so these tests want a
clone that reaches back to it. What is sent between stewards has names in it (a message's kind, a pin's fields):
a rename that changes them is found here. Where they change on purpose, no rolling update is possible: say so.

Nothing is to be written anew here; EARLIER goes forward when deployments have.
"""

import asyncio
import io
import os
import signal
import subprocess
import sys
import tarfile
import tempfile
import unittest
from pathlib import Path

from peatlead.controller.control_socket import ask_once
from peatlead.standin.dns_clients import RequestClass
from peatlead.standin.xds_proxies import ProxyPlan, StandInProxy
from tests.standin_fleet import SCRIPT, MemoryRecorder, run_with_standins, until

# The adapter, with the imports above: all that is known here of names inside the program.

KINDS = [
    RequestClass("look", 0.5, 0.5, 1.5, 1.0, "replayable"),
    RequestClass("file", 0.5, 0.5, 1.5, 1.0, "non-replayable"),
]


def agent(world, name):
    """A proxy that follows one of the two stewards and sends reqs."""
    controllers = [[address, world.port + 2] for address in ADDRESSES.values()]
    made = StandInProxy(
        ProxyPlan(name, "north", "127.60.9.1", controllers, world.port, 5.0, KINDS),
        world.random,
        MemoryRecorder(),
    )
    made.begin(asyncio.get_running_loop().time())
    world.cleanups.append(lambda: setattr(made, "stopped", True))
    return made


def lines(one):
    """Addresses by request kind that a proxy holds."""
    return {kind: {line.address for line in held} for kind, held in one.entries.items()}


def fail(world, host):
    world.endpoints[host].inject_fault("errors", 1.0)


# The end of the adapter.

EARLIER = "e12256b"
ROOT = Path(__file__).parents[2]
ADDRESSES = {"ns1": "127.1.0.1", "ns2": "127.1.0.2"}
SHARED = SCRIPT
for at in (1, 2):
    SHARED = SHARED.replace(
        f'control = "127.1.0.{at}:{{control}}")',
        f'control = "127.1.0.{at}:{{control}}", '
        f'grpc = "127.1.0.{at}:{{grpc}}", peer = "127.1.0.{at}:{{control}}")',
    )
SHARED += """
grpc(proxies = 4)
fleet(keys = ["%s"], probe_every = 0.1, probe_wait = 0.06, suspect = 0.5)
""" % ("ab" * 32)
LONG = 15.0  # seconds, thrice that in the end, for what takes a second or two


class Pair:
    """Stewards as processes, over one list and hosts in this loop."""

    def __init__(self, world, earlier):
        self.world, self.earlier, self.running = world, earlier, {}
        self.file = world.folder / "service.star"
        self.file.write_text(
            SHARED.format(
                port=world.port,
                control=world.port + 1,
                grpc=world.port + 2,
                path=world.folder / "nodes.json",
            )
        )
        world.cleanups.append(self.end)

    def start(self, name, text):
        """`text`: the folder of the program that runs."""
        with open(self.world.folder / f"{name}.log", "ab") as log:
            self.running[name] = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "peatlead",
                    "run",
                    str(self.file),
                    "--name",
                    name,
                    "--state",
                    str(self.world.folder / "state"),
                ],
                cwd=text,
                env={**os.environ, "PYTHONPATH": str(text)},
                stdout=log,
                stderr=log,
            )

    def log(self, name):
        return (self.world.folder / f"{name}.log").read_text()

    async def stop(self, name, how):
        process = self.running.pop(name)
        process.send_signal(how)
        await asyncio.get_running_loop().run_in_executor(None, process.wait)
        return process.returncode

    def end(self):
        for process in self.running.values():
            process.kill()
            process.wait()

    async def ask(self, name, **question):
        return await ask_once((ADDRESSES[name], self.world.port + 1), question, 10.0)

    async def wait(self, name, true, **question):
        """Until an answer of a steward's control is as wanted; the answer."""
        loop, told = asyncio.get_running_loop(), None
        end = loop.time() + 3 * LONG
        while loop.time() < end:
            try:
                told = await self.ask(name, **question)
                if true(told):
                    return told
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise AssertionError(
            f"{name} never said so of {question}: {told}\n{self.log(name)[-3000:]}"
        )

    async def up(self, *names):
        """Each has the list, and sees all of them alive."""
        for name in names:
            await self.wait(name, lambda told: told.get("hosts") == 4, ask="status")
            await self.wait(
                name,
                lambda told: all(
                    told["members"].get(one, {}).get("state") == "alive" for one in names
                ),
                ask="fleet",
                do="status",
            )

    async def owned(self, name):
        return set((await self.ask(name, ask="fleet", do="status"))["owned"])


def standing(told):
    return {one["pin"] for one in told["pins"] if one["ended"] is None}


class Mixed(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        place = tempfile.TemporaryDirectory()
        cls.addClassCleanup(place.cleanup)
        cls.earlier = Path(place.name)
        packed = subprocess.run(
            ["git", "archive", EARLIER, "peatlead"], cwd=ROOT, capture_output=True
        )
        if packed.returncode:
            raise AssertionError(
                f"no history back to {EARLIER}, clone it whole: {packed.stderr.decode()}"
            )
        with tarfile.open(fileobj=io.BytesIO(packed.stdout)) as archive:
            archive.extractall(cls.earlier)

    def play(self, case):
        run_with_standins(
            lambda world: case(world, Pair(world, self.earlier)), script=SHARED, deep=False
        )

    def test_the_earlier_process_runs_the_earlier_text(self):
        said = subprocess.run(
            [sys.executable, "-c", "import peatlead; print(peatlead.__file__)"],
            cwd=self.earlier,
            env={**os.environ, "PYTHONPATH": str(self.earlier)},
            capture_output=True,
            text=True,
        )
        self.assertEqual(Path(said.stdout.strip()), self.earlier / "peatlead" / "__init__.py")

    def test_old_and_new_share_a_fleet_its_pins_and_its_proxies(self):
        async def case(world, pair):
            pair.start("ns1", self.earlier)
            pair.start("ns2", ROOT)
            await pair.up("ns1", "ns2")
            agents = [agent(world, f"p{at}") for at in range(4)]
            names = {one.plan.name for one in agents}
            await until(
                lambda: all(lines(one).get("look") and lines(one).get("file") for one in agents),
                LONG,
            )
            for name in ADDRESSES:  # each owns some: as rank has it
                await pair.wait(
                    name, lambda told: 0 < len(told["owned"]) < 4, ask="fleet", do="status"
                )
            ask = {"ask": "tables", "do": "status"}
            back = (
                await pair.ask(
                    "ns1",
                    ask="tables",
                    do="pin",
                    args={"whom": "all", "target": "back", "to": "0", "over": 0.0, "by": "old"},
                )
            )["pin"]
            await pair.wait("ns2", lambda told: standing(told) == {back}, **ask)
            held = (
                await pair.ask(
                    "ns2",
                    ask="tables",
                    do="pin",
                    args={"whom": "zone", "which": "south", "over": 0.0, "by": "new"},
                )
            )["pin"]
            for name in ADDRESSES:
                told = await pair.wait(name, lambda told: standing(told) == {back, held}, **ask)
                self.assertEqual({one["by"] for one in told["pins"]}, {"old", "new"})
            self.assertEqual(
                (await pair.ask("ns1", ask="tables", do="resume", args={"pin": held}))["pin"], held
            )
            await pair.wait("ns2", lambda told: standing(told) == {back}, **ask)
            for name in ADDRESSES:
                told = await pair.ask(name, ask="fleet", do="status")
                self.assertEqual(told["messages"]["refused"], 0)
            fail(world, 3)
            for name in ADDRESSES:  # their planners advise each other of it
                await pair.wait(
                    name, lambda told: told["messages"]["notes"] > 0, ask="fleet", do="status"
                )
            gone = await pair.owned("ns1")
            self.assertTrue(gone)
            self.assertEqual(await pair.stop("ns1", signal.SIGTERM), 0)
            await pair.wait(
                "ns2", lambda told: set(told["owned"]) == names, ask="fleet", do="status"
            )
            await pair.wait(
                "ns2",
                lambda told: told["members"]["ns1"]["state"] == "left",
                ask="fleet",
                do="status",
            )
            self.assertTrue(all(lines(one)["look"] for one in agents))
            pair.start("ns1", self.earlier)  # and the other way round: new to old
            await pair.up("ns1", "ns2")
            await pair.wait("ns1", lambda told: standing(told) == {back}, **ask)
            self.assertEqual(await pair.stop("ns2", signal.SIGTERM), 0)
            await pair.wait(
                "ns1", lambda told: set(told["owned"]) == names, ask="fleet", do="status"
            )
            for name in ADDRESSES:
                self.assertNotIn("message refused", pair.log(name))
                self.assertNotIn("wish refused", pair.log(name))
                self.assertNotIn("pin target refused", pair.log(name))
                self.assertNotIn("pins refused", pair.log(name))
            for one in agents:
                await one.finish()

        self.play(case)

    def test_the_new_text_goes_on_from_the_state_of_a_killed_old_one(self):
        async def case(world, pair):
            pair.start("ns1", self.earlier)
            await pair.up("ns1")
            one = agent(world, "p0")
            await until(lambda: lines(one).get("look"), LONG)
            view = {"ask": "tables", "do": "show", "args": {"proxy": "desk0"}}
            await pair.wait("ns1", lambda told: len(told.get("items", ())) > 2, **view)
            pin = (
                await pair.ask("ns1", ask="tables", do="pin", args={"whom": "all", "over": 0.0})
            )["pin"]
            before = await pair.wait("ns1", lambda told: told.get("pinned by") == pin, **view)
            log = {"ask": "tables", "do": "log", "args": {"proxy": "desk0"}}
            versions = (await pair.ask("ns1", **log))["versions"]
            epoch = (await pair.ask("ns1", ask="fleet", do="status"))["owned"]["p0"][0]
            await pair.stop("ns1", signal.SIGKILL)
            (world.folder / "nodes.json").rename(
                world.folder / "away.json"
            )  # it knows the list by memory alone
            pair.start("ns1", ROOT)
            await pair.up("ns1")
            told = await pair.wait("ns1", lambda told: told.get("pinned by") == pin, **view)
            self.assertEqual(
                {one["host"] for one in told["items"]}, {one["host"] for one in before["items"]}
            )
            shown = await pair.ask(
                "ns1", **{**view, "args": {"proxy": "desk0", "version": before["version"]}}
            )
            self.assertEqual(shown["digest"], before["digest"])
            self.assertEqual(shown["items"], before["items"])
            again = (await pair.ask("ns1", **log))["versions"]
            self.assertEqual(again[: len(versions)], versions)
            self.assertTrue(
                all(int(one["version"].split(".")[0]) > 1 for one in again[len(versions) :])
            )
            status = await pair.wait(
                "ns1", lambda told: standing(told) == {pin}, ask="tables", do="status"
            )
            self.assertEqual(status["pins"][0]["target not known"], [])
            answer = await pair.wait(
                "ns1", lambda told: told.get("lines"), ask="answer", view="desk0"
            )
            self.assertLessEqual(
                {line["host"] for line in answer["lines"]}, {"h0", "h1", "h2", "h3"}
            )
            fleet = await pair.wait(
                "ns1", lambda told: "p0" in told["owned"], ask="fleet", do="status"
            )
            self.assertGreater(fleet["owned"]["p0"][0], epoch)
            self.assertNotIn("not taken", pair.log("ns1"))
            await one.finish()

        self.play(case)
