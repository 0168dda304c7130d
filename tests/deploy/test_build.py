"""deploy/build rebuilds incomplete and outdated environments; a fake interpreter records its calls."""

import os
import subprocess
import tempfile
import unittest
from pathlib import Path


class BuildTest(unittest.TestCase):
    def test_an_incomplete_or_outdated_environment_is_rebuilt(self):
        with tempfile.TemporaryDirectory() as folder:
            root = Path(folder)
            (root / "deploy").mkdir()
            (root / "requirements.txt").write_text("one==1\n")
            build = Path(__file__).parent.parent.parent / "deploy" / "build"
            (root / "deploy" / "build").write_text(build.read_text())
            fake_python = """#!/bin/sh
echo "$@" >> "$ROOT/calls"
if [ "$2" = venv ]; then mkdir -p .venv-run/bin; cp "$0" .venv-run/bin/python; fi
case "$*" in *"$FAILS"*) exit 1;; esac
"""
            (root / "python3").write_text(fake_python)
            (root / "python3").chmod(0o755)

            def run(failing_command="nothing"):
                """Run deploy/build; returns its exit code and how many environments it created."""
                (root / "calls").write_text("")
                completed = subprocess.run(
                    ["sh", "deploy/build"],
                    cwd=root,
                    env={
                        "PATH": f"{root}:{os.environ['PATH']}",
                        "ROOT": folder,
                        "FAILS": failing_command,
                    },
                )
                return completed.returncode, (root / "calls").read_text().count("venv --clear")

            self.assertEqual(run("pip install"), (1, 1))
            self.assertEqual(run("compileall"), (1, 1))  # an incomplete environment is not used
            self.assertEqual(run(), (0, 1))
            self.assertEqual(run(), (0, 0))
            (root / "requirements.txt").write_text("one==2\n")
            self.assertEqual(run(), (0, 1))
