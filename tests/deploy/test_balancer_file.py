"""deploy/balancer.toml lists the files that the program on the platform loads."""

import subprocess
import sys
import tomllib
import unittest
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
LIST_LOADED_FILES = """
import sys
import peatlead.platform.__main__
for name, module in sys.modules.items():
    if name.split(".")[0] == "peatlead":
        print(module.__file__)
"""


def is_or_contains(listed, path):
    """Return whether a listed file or folder is the path or contains it."""
    return path == listed or path.startswith(listed + "/")


class BalancerFileTest(unittest.TestCase):
    def test_policy_and_node_list_exactly_the_files_that_the_program_loads(self):
        deployment = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        listed = deployment["policy"] + deployment["node"]
        output = subprocess.run(
            [sys.executable, "-c", LIST_LOADED_FILES],
            cwd=ROOT,
            check=True,
            capture_output=True,
            text=True,
        ).stdout
        loaded = {str(Path(line).relative_to(ROOT)) for line in output.splitlines()}
        modules = {path for path in loaded if not path.endswith("/__init__.py")}
        unlisted = [
            path for path in modules if not any(is_or_contains(entry, path) for entry in listed)
        ]
        unused = [
            entry for entry in listed if not any(is_or_contains(entry, path) for path in loaded)
        ]
        self.assertEqual((sorted(unlisted), unused), ([], []))
