"""Kills a process that writes a table log, and measures how long reading a log takes."""

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
MAX_WRITER_LIFETIME = 0.05  # seconds after its first version
INCOMPLETE_RECORD = "torn"  # text in the reported reason for an incomplete last record


class ReadResult(NamedTuple):
    """The contents of a log after a kill."""

    newest_serial: int
    incomplete_records: int  # at the ends of files
    errors: list[str]


def write_until_killed(folder: str, seed: int) -> None:
    """Write versions to a log until killed, and print the serial of each written version."""
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


def kill_writer(folder: str, seed: int, lifetime: float) -> int:
    """Run a writer for `lifetime` seconds and kill it; returns the last serial that it printed."""
    command = [sys.executable, "-m", "peatlead.benchmarks.tables", "writer", folder, str(seed)]
    child = subprocess.Popen(command, stdout=subprocess.PIPE)
    assert child.stdout is not None
    child.stdout.readline()
    time.sleep(lifetime)
    child.send_signal(signal.SIGKILL)
    serials = [line for line in child.stdout.read().split(b"\n") if line.isdigit()]
    child.wait()
    child.stdout.close()
    return int(serials[-1]) if serials else 0


def read_log(folder: str) -> ReadResult:
    """Read a log and check the order of its versions."""
    store = HistoryStore()
    problems = TableLog(folder, store, None).restore()
    incomplete_records = sum(INCOMPLETE_RECORD in problem.reason for problem in problems)
    errors = [problem.reason for problem in problems if INCOMPLETE_RECORD not in problem.reason]
    for history in store.histories.values():
        versions = [entry.version for entry in history.entries]
        if versions != sorted(set(versions)):
            errors.append("versions out of order")
    return ReadResult(newest_serial(store), incomplete_records, errors)


def measure_kills(kills: int = 500) -> None:
    """Kill writers of one log at random times; prints how many written versions were lost."""
    rng = Random(3)
    lost = 0
    incomplete_records = 0
    newest = 0
    errors: list[str] = []
    start = time.perf_counter()
    with tempfile.TemporaryDirectory() as folder:
        for seed in range(kills):
            last_printed = kill_writer(folder, seed, rng.uniform(0.0, MAX_WRITER_LIFETIME))
            result = read_log(folder)
            newest = result.newest_serial
            incomplete_records += result.incomplete_records
            errors += result.errors
            lost += max(0, last_printed - newest)
    print(
        f"{kills} kills in {time.perf_counter() - start:.0f} s: {newest} versions written, "
        f"{lost} lost that were reported as written, {incomplete_records} incomplete last records, "
        f"{len(errors)} other errors {errors[:3]}"
    )


def write_versions(log: TableLog) -> None:
    """Write the versions of all proxies, VERSIONS_PER_FLUSH in each flush."""
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
    """Print the time to write and to read 10,000 versions."""
    with tempfile.TemporaryDirectory() as folder:
        log = TableLog(folder, HistoryStore(), None, sync_interval=1e9)
        log.start(0.0)
        start = time.perf_counter()
        write_versions(log)
        write_time = time.perf_counter() - start
        size = sum(os.path.getsize(os.path.join(folder, name)) for name in os.listdir(folder))
        log.close()
        start = time.perf_counter()
        store = HistoryStore()
        problems = TableLog(folder, store, None).restore()
        print(
            f"10,000 versions: written in {write_time:.2f} s, {size / 10_000:.0f} bytes each on "
            f"disk; read in {time.perf_counter() - start:.2f} s, {store.entry_count} versions, "
            f"{len(problems)} errors"
        )
