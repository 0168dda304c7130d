"""Rolling updates: controllers of an earlier version and of this one share a fleet and stored state.

The earlier version is taken from the repository's history (EARLIER_COMMIT) and run as a process, so
these tests need a clone that contains that commit. Messages between controllers contain names, such
as the kind of a message and the fields of a pin; the tests fail if such a name changes. An intended
change of these names makes rolling updates from the earlier version impossible and must be
announced.

Do not adapt these tests to a changed format. Move EARLIER_COMMIT forward only when all deployments
run a later version.
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
from peatlead.standin.request_outcome import RequestClass
from peatlead.standin.xds_proxies import ProxyPlan, StandInProxy
from tests.standin_fleet import SCRIPT, MemoryRecorder, run_with_standins, until

# Only the imports above and the functions of this section use names from inside the program.

REQUEST_CLASSES = [
    RequestClass("look", 0.5, 0.5, 1.5, 1.0, "replayable"),
    RequestClass("file", 0.5, 0.5, 1.5, 1.0, "non-replayable"),
]


def start_proxy(world, name):
    """Start a stand-in proxy that follows one of the two controllers and sends requests."""
    controllers = [[address, world.port + 2] for address in CONTROLLER_ADDRESSES.values()]
    proxy = StandInProxy(
        ProxyPlan(name, "north", "127.60.9.1", controllers, world.port, 5.0, REQUEST_CLASSES),
        world.random,
        MemoryRecorder(),
    )
    proxy.begin(asyncio.get_running_loop().time())
    world.cleanups.append(lambda: setattr(proxy, "stopped", True))
    return proxy


def addresses_by_class(proxy):
    """Return the endpoint addresses that a proxy holds, by request class."""
    return {
        request_class: {entry.address for entry in entries}
        for request_class, entries in proxy.entries.items()
    }


def fail_requests(world, endpoint):
    """Let all requests to a stand-in endpoint fail."""
    world.endpoints[endpoint].inject_fault("errors", 1.0)


# End of the section that uses names from inside the program.

EARLIER_COMMIT = "e12256b"
ROOT = Path(__file__).parents[2]
CONTROLLER_ADDRESSES = {"ns1": "127.1.0.1", "ns2": "127.1.0.2"}
SETTINGS_SCRIPT = SCRIPT
for number in (1, 2):
    SETTINGS_SCRIPT = SETTINGS_SCRIPT.replace(
        f'control = "127.1.0.{number}:{{control}}")',
        f'control = "127.1.0.{number}:{{control}}", '
        f'grpc = "127.1.0.{number}:{{grpc}}", peer = "127.1.0.{number}:{{control}}")',
    )
SETTINGS_SCRIPT += """
grpc(proxies = 4)
fleet(keys = ["%s"], probe_every = 0.1, probe_wait = 0.06, suspect = 0.5)
""" % ("ab" * 32)
TIMEOUT = 15.0  # seconds; one third of the timeout of `wait_for_answer`


class ControllerPair:
    """Controllers in processes of their own, with stand-in endpoints in this event loop."""

    def __init__(self, world, earlier_root):
        self.world, self.earlier_root, self.processes = world, earlier_root, {}
        self.settings_path = world.folder / "service.star"
        self.settings_path.write_text(
            SETTINGS_SCRIPT.format(
                port=world.port,
                control=world.port + 1,
                grpc=world.port + 2,
                path=world.folder / "nodes.json",
            )
        )
        world.cleanups.append(self.kill_all)

    def start(self, name, source_root):
        """Start a controller; `source_root` is the folder that contains its `peatlead` package."""
        with open(self.world.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "peatlead",
                    "run",
                    str(self.settings_path),
                    "--name",
                    name,
                    "--state",
                    str(self.world.folder / "state"),
                ],
                cwd=source_root,
                env={**os.environ, "PYTHONPATH": str(source_root)},
                stdout=log,
                stderr=log,
            )

    def log(self, name):
        return (self.world.folder / f"{name}.log").read_text()

    async def stop(self, name, signal_number):
        process = self.processes.pop(name)
        process.send_signal(signal_number)
        await asyncio.get_running_loop().run_in_executor(None, process.wait)
        return process.returncode

    def kill_all(self):
        for process in self.processes.values():
            process.kill()
            process.wait()

    async def ask(self, name, **question):
        return await ask_once((CONTROLLER_ADDRESSES[name], self.world.port + 1), question, 10.0)

    async def wait_for_answer(self, name, condition, **question):
        """Repeat a question to a controller until the answer meets a condition; returns the answer."""
        loop, answer = asyncio.get_running_loop(), None
        deadline = loop.time() + 3 * TIMEOUT
        while loop.time() < deadline:
            try:
                answer = await self.ask(name, **question)
                if condition(answer):
                    return answer
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise AssertionError(
            f"{name}: no answer to {question} met the condition, the last was {answer}\n"
            f"{self.log(name)[-3000:]}"
        )

    async def wait_until_running(self, *names):
        """Wait until each controller has the endpoint list and considers all of `names` alive."""
        for name in names:
            await self.wait_for_answer(name, lambda answer: answer.get("hosts") == 4, ask="status")
            await self.wait_for_answer(
                name,
                lambda answer: all(
                    answer["members"].get(member, {}).get("state") == "alive" for member in names
                ),
                ask="fleet",
                do="status",
            )

    async def owned_proxies(self, name):
        return set((await self.ask(name, ask="fleet", do="status"))["owned"])


def active_pins(status):
    return {pin["pin"] for pin in status["pins"] if pin["ended"] is None}


class MixedFleetTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        temporary = tempfile.TemporaryDirectory()
        cls.addClassCleanup(temporary.cleanup)
        cls.earlier_root = Path(temporary.name)
        archived = subprocess.run(
            ["git", "archive", EARLIER_COMMIT, "peatlead"], cwd=ROOT, capture_output=True
        )
        if archived.returncode:
            raise AssertionError(
                f"commit {EARLIER_COMMIT} is not in this clone, which must have the whole history: "
                f"{archived.stderr.decode()}"
            )
        with tarfile.open(fileobj=io.BytesIO(archived.stdout)) as archive:
            archive.extractall(cls.earlier_root)

    def run_case(self, case):
        run_with_standins(
            lambda world: case(world, ControllerPair(world, self.earlier_root)),
            script=SETTINGS_SCRIPT,
            deep=False,
        )

    def test_the_earlier_process_runs_the_earlier_version(self):
        completed = subprocess.run(
            [sys.executable, "-c", "import peatlead; print(peatlead.__file__)"],
            cwd=self.earlier_root,
            env={**os.environ, "PYTHONPATH": str(self.earlier_root)},
            capture_output=True,
            text=True,
        )
        self.assertEqual(
            Path(completed.stdout.strip()), self.earlier_root / "peatlead" / "__init__.py"
        )

    def test_old_and_new_controllers_share_proxies_and_pins(self):
        async def case(world, pair):
            pair.start("ns1", self.earlier_root)
            pair.start("ns2", ROOT)
            await pair.wait_until_running("ns1", "ns2")
            proxies = [start_proxy(world, f"p{number}") for number in range(4)]
            all_proxies = {proxy.plan.name for proxy in proxies}
            await until(
                lambda: all(
                    addresses_by_class(proxy).get("look") and addresses_by_class(proxy).get("file")
                    for proxy in proxies
                ),
                TIMEOUT,
            )
            # Rendezvous hashing gives each controller some of the proxies.
            for name in CONTROLLER_ADDRESSES:
                await pair.wait_for_answer(
                    name, lambda answer: 0 < len(answer["owned"]) < 4, ask="fleet", do="status"
                )
            tables_status = {"ask": "tables", "do": "status"}
            rollback_pin = (
                await pair.ask(
                    "ns1",
                    ask="tables",
                    do="pin",
                    args={"whom": "all", "target": "back", "to": "0", "over": 0.0, "by": "old"},
                )
            )["pin"]
            await pair.wait_for_answer(
                "ns2", lambda answer: active_pins(answer) == {rollback_pin}, **tables_status
            )
            hold_pin = (
                await pair.ask(
                    "ns2",
                    ask="tables",
                    do="pin",
                    args={"whom": "zone", "which": "south", "over": 0.0, "by": "new"},
                )
            )["pin"]
            for name in CONTROLLER_ADDRESSES:
                answer = await pair.wait_for_answer(
                    name,
                    lambda answer: active_pins(answer) == {rollback_pin, hold_pin},
                    **tables_status,
                )
                self.assertEqual({pin["by"] for pin in answer["pins"]}, {"old", "new"})
            self.assertEqual(
                (await pair.ask("ns1", ask="tables", do="resume", args={"pin": hold_pin}))["pin"],
                hold_pin,
            )
            await pair.wait_for_answer(
                "ns2", lambda answer: active_pins(answer) == {rollback_pin}, **tables_status
            )
            for name in CONTROLLER_ADDRESSES:
                answer = await pair.ask(name, ask="fleet", do="status")
                self.assertEqual(answer["messages"]["refused"], 0)
            fail_requests(world, 3)
            # The planners inform each other of the failed requests.
            for name in CONTROLLER_ADDRESSES:
                await pair.wait_for_answer(
                    name, lambda answer: answer["messages"]["notes"] > 0, ask="fleet", do="status"
                )
            owned_by_ns1 = await pair.owned_proxies("ns1")
            self.assertTrue(owned_by_ns1)
            self.assertEqual(await pair.stop("ns1", signal.SIGTERM), 0)
            await pair.wait_for_answer(
                "ns2", lambda answer: set(answer["owned"]) == all_proxies, ask="fleet", do="status"
            )
            await pair.wait_for_answer(
                "ns2",
                lambda answer: answer["members"]["ns1"]["state"] == "left",
                ask="fleet",
                do="status",
            )
            self.assertTrue(all(addresses_by_class(proxy)["look"] for proxy in proxies))
            # The earlier controller takes over all proxies from the newer one.
            pair.start("ns1", self.earlier_root)
            await pair.wait_until_running("ns1", "ns2")
            await pair.wait_for_answer(
                "ns1", lambda answer: active_pins(answer) == {rollback_pin}, **tables_status
            )
            self.assertEqual(await pair.stop("ns2", signal.SIGTERM), 0)
            await pair.wait_for_answer(
                "ns1", lambda answer: set(answer["owned"]) == all_proxies, ask="fleet", do="status"
            )
            for name in CONTROLLER_ADDRESSES:
                self.assertNotIn("message refused", pair.log(name))
                self.assertNotIn("wish refused", pair.log(name))  # text of the old version
                self.assertNotIn("pin target refused", pair.log(name))
                self.assertNotIn("pins refused", pair.log(name))
            for proxy in proxies:
                await proxy.finish()

        self.run_case(case)

    def test_the_new_version_continues_from_the_state_of_a_killed_old_controller(self):
        async def case(world, pair):
            pair.start("ns1", self.earlier_root)
            await pair.wait_until_running("ns1")
            proxy = start_proxy(world, "p0")
            await until(lambda: addresses_by_class(proxy).get("look"), TIMEOUT)
            show_view = {"ask": "tables", "do": "show", "args": {"proxy": "desk0"}}
            await pair.wait_for_answer(
                "ns1", lambda answer: len(answer.get("items", ())) > 2, **show_view
            )
            pin = (
                await pair.ask("ns1", ask="tables", do="pin", args={"whom": "all", "over": 0.0})
            )["pin"]
            before = await pair.wait_for_answer(
                "ns1", lambda answer: answer.get("pinned by") == pin, **show_view
            )
            version_log = {"ask": "tables", "do": "log", "args": {"proxy": "desk0"}}
            versions = (await pair.ask("ns1", **version_log))["versions"]
            epoch = (await pair.ask("ns1", ask="fleet", do="status"))["owned"]["p0"][0]
            await pair.stop("ns1", signal.SIGKILL)
            # Without the list's file the controller has to use its cached list.
            (world.folder / "nodes.json").rename(world.folder / "away.json")
            pair.start("ns1", ROOT)
            await pair.wait_until_running("ns1")
            restored = await pair.wait_for_answer(
                "ns1", lambda answer: answer.get("pinned by") == pin, **show_view
            )
            self.assertEqual(
                {item["host"] for item in restored["items"]},
                {item["host"] for item in before["items"]},
            )
            stored = await pair.ask(
                "ns1", **{**show_view, "args": {"proxy": "desk0", "version": before["version"]}}
            )
            self.assertEqual(stored["digest"], before["digest"])
            self.assertEqual(stored["items"], before["items"])
            versions_after = (await pair.ask("ns1", **version_log))["versions"]
            self.assertEqual(versions_after[: len(versions)], versions)
            self.assertTrue(
                all(
                    int(entry["version"].split(".")[0]) > 1
                    for entry in versions_after[len(versions) :]
                )
            )
            status = await pair.wait_for_answer(
                "ns1", lambda answer: active_pins(answer) == {pin}, ask="tables", do="status"
            )
            self.assertEqual(status["pins"][0]["target not known"], [])
            answer = await pair.wait_for_answer(
                "ns1", lambda answer: answer.get("lines"), ask="answer", view="desk0"
            )
            self.assertLessEqual(
                {line["host"] for line in answer["lines"]}, {"h0", "h1", "h2", "h3"}
            )
            fleet = await pair.wait_for_answer(
                "ns1", lambda answer: "p0" in answer["owned"], ask="fleet", do="status"
            )
            self.assertGreater(fleet["owned"]["p0"][0], epoch)
            self.assertNotIn("not taken", pair.log("ns1"))  # text of the old version
            self.assertNotIn("not restored", pair.log("ns1"))
            await proxy.finish()

        self.run_case(case)
