"""Commands to stand-in processes are executed once, and their errors reach the client."""

import asyncio
import signal
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

import msgspec

from peatlead.scenario.runner import free_port
from peatlead.standin.process import CommandClient, CommandFailedError, CommandServer


class RecordingGroup:
    """Stores the commands that it executes; the command "fail" raises ValueError."""

    def __init__(self):
        self.commands = []

    async def execute(self, command):
        self.commands.append(command)
        if command["do"] == "fail":
            raise ValueError("no such stand-in")


class CommandsTest(unittest.TestCase):
    def test_a_repeated_command_is_executed_once(self):
        async def case():
            loop = asyncio.get_running_loop()
            group = RecordingGroup()
            address = ("127.0.0.1", free_port())
            server, _ = await loop.create_datagram_endpoint(
                lambda: CommandServer(group), local_addr=address
            )
            transport, client = await loop.create_datagram_endpoint(
                CommandClient, local_addr=("127.0.0.1", 0)
            )
            await client.execute(address, {"do": "begin", "at": 1.0})
            transport.sendto(msgspec.json.encode({"do": "begin", "at": 1.0, "number": 1}), address)
            with self.assertRaisesRegex(CommandFailedError, "fail: ValueError.*no such stand-in"):
                await client.execute(address, {"do": "fail"})
            server.close()
            transport.close()
            return group.commands

        self.assertEqual(
            asyncio.run(case()),
            [{"do": "begin", "at": 1.0, "number": 1}, {"do": "fail", "number": 2}],
        )

    def test_a_process_answers_commands_and_ends_on_sigterm(self):
        async def case(address):
            loop = asyncio.get_running_loop()
            transport, client = await loop.create_datagram_endpoint(
                CommandClient, local_addr=("127.0.0.1", 0)
            )
            await client.execute(address, {"do": "finish"}, 30.0)
            transport.close()

        port = free_port()
        with tempfile.TemporaryDirectory() as folder:
            recording = Path(folder, "desks.rec")
            process = subprocess.Popen(
                [sys.executable, "-m", "peatlead.standin.process"]
                + ["desks", "127.0.0.1", str(port), "1", str(recording)]
            )
            try:
                asyncio.run(case(("127.0.0.1", port)))
                process.send_signal(signal.SIGTERM)
                self.assertEqual(process.wait(10.0), 0)
                self.assertTrue(recording.exists())
            finally:
                process.kill()
                process.wait()
