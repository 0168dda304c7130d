"""The log of tables: a writer killed while it writes, and how long reading takes."""

import os
import signal
import subprocess
import sys
import tempfile
import time
from random import Random
from typing import NamedTuple

from ..tables.history import HistoryStore
from ..tables.table_log import TableLog
from ..tables.version import Version, changes
from .tables_store import draw_states

PROXIES_WRITTEN = 20
PROXIES_READ = 200
VERSIONS_READ = 50  # of each proxy
VERSIONS_PER_FLUSH = 5
LONGEST_LIFE = 0.05  # seconds of a writer after its first version
TORN = "torn"  # in the reason of an incomplete last record, as a kill leaves it


class ReadResult(NamedTuple):
    """What was read after a kill."""

    newest: int  # serial
    torn: int  # incomplete last records
    faults: list[str]


def write_until_killed(folder: str, seed: int) -> None:
    """Publish versions without end, and print the serial of each that is written."""
    rng = Random(seed)
    log = TableLog(folder, HistoryStore(), None, sync_interval=0.05)
    log.restore()
    log.start(0.0)
    serial = newest_serial(log.store)
    while True:
        serial += 1
        name = f"p{serial % PROXIES_WRITTEN}"
        changed = {f"line/k/z/h{rng.randrange(8)}:1": serial}
        version = Version(1, serial)
        entry = log.store.commit(name, version, float(serial), (f"cause {serial}",), changed)
        log.record_version(name, entry)
        log.flush(time.monotonic())
        sys.stdout.write(f"{serial}\n")
        sys.stdout.flush()


def newest_serial(store: HistoryStore) -> int:
    """Return the largest serial of all histories."""
    return max((history.newest_version.serial for history in store.histories.values()), default=0)


def kill_writer(folder: str, seed: int, life: float) -> int:
    """Run a writer for a time and kill it; returns the last serial that it printed."""
    command = [sys.executable, "-m", "peatlead.benchmarks.tables", "writer", folder, str(seed)]
    child = subprocess.Popen(command, stdout=subprocess.PIPE)
    assert child.stdout is not None
    child.stdout.readline()
    time.sleep(life)
    child.send_signal(signal.SIGKILL)
    printed = [line for line in child.stdout.read().split(b"\n") if line.isdigit()]
    child.wait()
    child.stdout.close()
    return int(printed[-1]) if printed else 0


def read_log(folder: str) -> ReadResult:
    """Read a log and check it."""
    store = HistoryStore()
    problems = TableLog(folder, store, None).restore()
    torn = sum(TORN in problem.reason for problem in problems)
    faults = [problem.reason for problem in problems if TORN not in problem.reason]
    for history in store.histories.values():
        versions = [entry.version for entry in history.entries]
        if versions != sorted(set(versions)):
            faults.append("versions out of order")
    return ReadResult(newest_serial(store), torn, faults)


def measure_kills(kills: int = 500) -> None:
    """Kill a writer at random moments; each start reads what the ones before left."""
    rng = Random(3)
    lost = 0
    torn = 0
    newest = 0
    faults: list[str] = []
    start = time.perf_counter()
    with tempfile.TemporaryDirectory() as folder:
        for seed in range(kills):
            printed = kill_writer(folder, seed, rng.uniform(0.0, LONGEST_LIFE))
            result = read_log(folder)
            newest = result.newest
            torn += result.torn
            faults += result.faults
            lost += max(0, printed - newest)
    print(
        f"{kills} kills in {time.perf_counter() - start:.0f} s: {newest} versions written, "
        f"{lost} that were told as written lost, {torn} torn ends met, "
        f"{len(faults)} other faults {faults[:3]}"
    )


def write_versions(log: TableLog) -> None:
    """Write the versions of all proxies, a few a flush."""
    rng = Random(1)
    for proxy in range(PROXIES_READ):
        name = f"p{proxy}"
        for index, state in enumerate(draw_states(rng, VERSIONS_READ)):
            changed = changes(log.store.history(name).items, state)
            version = Version(1, index + 1)
            cause = "h7 drains, list 12"
            log.record_version(
                name, log.store.commit(name, version, float(index), (cause,), changed)
            )
            if index % VERSIONS_PER_FLUSH == VERSIONS_PER_FLUSH - 1:
                log.flush(0.0)
    log.flush(0.0)


def measure_read() -> None:
    """Print how long 10,000 versions take to write and to read."""
    with tempfile.TemporaryDirectory() as folder:
        log = TableLog(folder, HistoryStore(), None, sync_interval=1e9)
        log.start(0.0)
        start = time.perf_counter()
        write_versions(log)
        written = time.perf_counter() - start
        size = sum(os.path.getsize(os.path.join(folder, name)) for name in os.listdir(folder))
        log.close()
        start = time.perf_counter()
        store = HistoryStore()
        problems = TableLog(folder, store, None).restore()
        print(
            f"10,000 versions: written in {written:.2f} s, {size / 10_000:.0f} bytes each on disk; "
            f"read in {time.perf_counter() - start:.2f} s, {store.entry_count} versions, "
            f"{len(problems)} faults"
        )
