"""The program `python -m peatlead.platform` in a process of its own."""

import json
import os
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from peatlead.scenario.runner import free_port

from ..platforms import (
    instance,
)

SETTINGS = {
    "balancers": 1,
    "rank": 0,
    "locality": 0,
    "zones": ["z0"],
    "kinds": ["m"],
    "classes": [
        {
            "name": "read",
            "targetUs": 800000,
            "deadlineUs": 2500000,
            "repeat": "repeatable",
            "worth": 2.0,
        }
    ],
    "familyInfo": {
        "dataPlaneSize": 4,
        "channelRate": 1000.0,
        "perMessage": 6.0,
        "pendingMax": 2000.0,
        "emptyForUs": 3000000,
        "lateMostUs": 1000000,
    },
    "obligations": {"drainGraceUs": 2000000, "warmAfterUs": 15000000},
}


class Imports(unittest.TestCase):
    def test_packages_that_the_platform_does_not_use_are_not_imported(self):
        code = "import peatlead.platform.__main__, sys; print(*[m for m in sys.modules if sys.modules[m]])"
        completed = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, text=True, timeout=60
        )
        loaded = set(completed.stdout.split())
        self.assertIn("peatlead.platform.controller", loaded)
        self.assertEqual(
            loaded
            & {
                "dns",
                "h2",
                "blake3",
                "click",
                "structlog",
                "google",
                "ssl",
                "zstandard",
                "starlark",
                "peatlead.dns",
                "peatlead.grpc",
                "peatlead.fleet",
                "peatlead.tables",
                "peatlead.controller.controller",
            },
            set(),
        )


class Program(unittest.TestCase):
    """Runs the program with only the required settings."""

    def start(self, **popen_options):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.port, self.path = free_port(), Path(directory.name, "config.json")
        self.document = {
            "name": "n0",
            "listen": f"127.3.0.3:{self.port}",
            "discovery": "127.3.0.4:9",
            "seed": "1f",
            "known": {"generation": 0, "reset": True, "instances": [instance(0)]},
            "settings": SETTINGS,
        }
        self.path.write_text(json.dumps(self.document))
        program = subprocess.Popen(
            [sys.executable, "-m", "peatlead.platform"],
            stderr=subprocess.PIPE,
            text=True,
            env={**os.environ, "NODE_CONFIG": str(self.path)},
            **popen_options,
        )
        self.addCleanup(program.stderr.close)
        self.addCleanup(program.kill)
        self.read_event(program, "controller started")
        return program

    def read_event(self, program, event):
        for line in program.stderr:
            if json.loads(line)["event"] == event:
                return json.loads(line)
        self.fail(f"the program ended without logging {event!r}")

    def check_liveness(self):
        with socket.create_connection(("127.3.0.3", self.port), 30) as connection:
            connection.sendall(b'{"msg":"probe"}\n')
            return connection.makefile().readline()

    def test_without_a_configuration_the_program_logs_one_event_and_exits_with_1(self):
        completed = subprocess.run(
            [sys.executable, "-m", "peatlead.platform"],
            capture_output=True,
            text=True,
            timeout=60,
            env={key: value for key, value in os.environ.items() if key != "NODE_CONFIG"},
        )
        self.assertEqual(
            (completed.returncode, json.loads(completed.stderr)["event"]), (1, "cannot start")
        )

    def test_an_invalid_file_at_a_reload_is_logged_and_the_program_continues(self):
        program = self.start()
        self.path.write_text('{"name":')
        program.send_signal(signal.SIGHUP)
        self.assertIn(
            "not a configuration", self.read_event(program, "configuration reload failed")["why"]
        )
        self.document["settings"] = {**SETTINGS, "locality": 9}
        self.path.write_text(json.dumps(self.document))
        program.send_signal(signal.SIGHUP)
        self.assertIn(
            "zone: expected an index below 1",
            self.read_event(program, "configuration reload failed")["why"],
        )
        self.document["settings"] = {
            **SETTINGS,
            "obligations": {"drainGraceUs": 1000000, "warmAfterUs": 15000000},
        }
        self.path.write_text(json.dumps(self.document))
        program.send_signal(signal.SIGHUP)
        record = self.read_event(program, "configuration changes need a restart")
        self.assertEqual(record["differs"], ["drain_grace"])
        self.assertEqual(self.check_liveness(), '{"msg":"alive"}\n')
        program.terminate()
        self.assertEqual(self.read_event(program, "controller stopped")["why"], "stopped")
        self.assertEqual(program.wait(60), 0)

    def test_before_the_event_loop_runs_sigterm_exits_with_0_and_sighup_is_ignored(self):
        with tempfile.TemporaryDirectory() as directory:
            path = f"{directory}/config.json"
            os.mkfifo(path)
            program = subprocess.Popen(
                [sys.executable, "-m", "peatlead.platform"],
                stderr=subprocess.PIPE,
                env={**os.environ, "NODE_CONFIG": path},
            )
            self.addCleanup(program.stderr.close)
            self.addCleanup(program.kill)
            with open(path, "wb"):  # the program is reading its configuration now
                program.send_signal(signal.SIGHUP)
                program.terminate()
                self.assertEqual(program.wait(60), 0)

    def test_peers_are_served_after_a_shortage_of_file_descriptors(self):
        program = self.start(
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (40, 40))
        )
        connections = [socket.create_connection(("127.3.0.3", self.port), 30) for _ in range(80)]
        self.read_event(program, "accepting connections paused")
        for connection in connections:
            connection.close()
        self.assertEqual(self.check_liveness(), '{"msg":"alive"}\n')
        program.terminate()
        self.assertEqual(program.wait(60), 0)
