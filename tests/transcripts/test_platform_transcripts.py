"""What the platform's protocol sends and reads, compared with stored files.

A transcript is regenerated as tests/transcripts/record_platform.py says.
"""

import json
import os
import subprocess
import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
DATA = ROOT / "tests" / "data" / "platform"


def recorded(script, hash_seed):
    """The transcript's lines as the program writes them now."""
    command = [sys.executable, "-m", "tests.transcripts.record_platform", script]
    ended = subprocess.run(command, cwd=ROOT, env={**os.environ, "PYTHONHASHSEED": hash_seed}, timeout=60,
                           stdout=subprocess.PIPE, stderr=subprocess.PIPE, check=False)
    if ended.returncode:
        raise AssertionError(f"the recording ended with {ended.returncode}: {ended.stderr[-2000:].decode()}")
    return ended.stdout.decode().splitlines()


class Transcripts(unittest.TestCase):
    maxDiff = 4000

    def compare(self, script, code="0", least=100):
        stored = (DATA / f"transcript_{script}.jsonl").read_text().splitlines()
        self.assertGreaterEqual(len(stored), least)
        self.assertEqual(json.loads(stored[-1])[1:], ["command", "exit", code])
        for hash_seed in ("0", "4242"):
            found = recorded(script, hash_seed)
            for at, (was, now) in enumerate(zip(stored, found), 1):
                self.assertEqual(was, now, f"line {at}, hash seed {hash_seed}")
            self.assertEqual(len(stored), len(found), f"hash seed {hash_seed}")

    def test_usual_traffic_gets_the_same_bytes_at_the_same_times(self):
        self.compare("usual")

    def test_many_proxies_on_a_slow_channel_and_overload_get_the_same_bytes_at_the_same_times(self):
        self.compare("pressed")

    def test_a_configuration_that_cannot_be_used_opens_nothing_and_exits_with_1(self):
        self.compare("unconfigured", "1", 1)


if __name__ == "__main__":
    unittest.main()
