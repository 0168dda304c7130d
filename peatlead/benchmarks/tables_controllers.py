"""Kills controllers while they publish tables, and measures starts with a long table log."""

import json
import multiprocessing
import os
import signal
import subprocess
import sys
import tempfile
import time
from random import Random
from typing import Any, NamedTuple

from ..scenario.runner import free_port
from ..tables.history import HistoryStore
from ..tables.table_log import TableLog
from ..tables.version import Version, line_key

SERIES = 8  # of kills, which run in parallel with one controller each
START_NETWORK = 90  # third byte of the address; the series have smaller ones
STARTS = 5
STARTED_EVENT = "controller started"  # in the controller's log
SETTINGS = """
zone(name = "north")
dns(zone = "example.org", port = {port}, lifetime = 1, open_views = 16)
limits(drain_grace = 3, bare_most = 4, cold_share = 0.25, warm_after = 2, tip_multiple = 3, tip_span = 1.5)
node_list(path = "{folder}/nodes.json", every = 0.02)
probes(port = {port}, deadline = 0.1)
request_kind(name = "look", response_target = 0.5, client_timeout = 1.5, gain = 2, repeat = "replayable")
service(label = "api", kinds = ["look"])
steward(name = "ns1", zone = "north", listen = "127.3.{network}.1:{port}", control = "127.3.{network}.1:{control}")
"""  # noqa: E501 - a settings script


class SeriesResult(NamedTuple):
    """The result of a series of kills: the number of versions stored at the end, and the errors."""

    versions: int
    errors: list[str]


def write_settings(folder: str, network: int) -> None:
    """Write the settings of a controller with the address 127.3.`network`.1."""
    port = free_port()
    with open(f"{folder}/service.star", "w") as file:
        file.write(SETTINGS.format(port=port, control=port + 1, folder=folder, network=network))


def write_log(folder: str, versions: int) -> None:
    """Write a table log with some versions into the controller's state folder."""
    log = TableLog(f"{folder}/state/tables-ns1", HistoryStore(), None, sync_interval=1e9)
    log.start(0.0)
    for index in range(versions):
        name = f"agent{index % 200}"
        changed = {line_key("look", "north", f"10.0.0.{index % 24}", 80): index + 1}
        version = Version(1, index + 1)
        cause = "h7 drains, list 12"
        log.record_version(name, log.store.commit(name, version, time.time(), (cause,), changed))
        log.flush(0.0)
    log.close()


def write_list(folder: str, version: int) -> None:
    """Replace the endpoint list by one in which all weights and some phases differ."""
    hosts = [
        {
            "name": f"h{number}",
            "zone": "north",
            "address": f"127.3.0.{number + 1}",
            "weight": 1 + (version + number) % 4,
            "phase": "draining" if (version + number) % 7 == 0 else "ready",
        }
        for number in range(8)
    ]
    with open(f"{folder}/nodes.new", "w") as file:
        json.dump({"version": version, "written": 5.0, "hosts": hosts}, file)
    os.replace(f"{folder}/nodes.new", f"{folder}/nodes.json")


def start_controller(folder: str) -> "subprocess.Popen[bytes]":
    """Start a controller, which writes its log to standard error."""
    run = ["run", f"{folder}/service.star", "--state", f"{folder}/state"]
    return subprocess.Popen(
        [sys.executable, "-m", "peatlead", *run],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.PIPE,
    )


def read_until_started(child: "subprocess.Popen[bytes]") -> list[dict[str, Any]]:
    """Read and return the log events of a controller until it has started."""
    assert child.stderr is not None
    events: list[dict[str, Any]] = []
    for line in child.stderr:
        events.append(json.loads(line))
        if events[-1]["event"] == STARTED_EVENT:
            break
    return events


def start_errors(events: list[dict[str, Any]]) -> list[str]:
    """Return the errors of a start, except incomplete last records, which a kill leaves."""
    errors = []
    if not events or events[-1]["event"] != STARTED_EVENT:
        errors.append(f"the controller did not start, its last event is {events[-1:]}")
    errors += [
        event["why"]
        for event in events
        if event["event"].startswith("part of the table log") and "torn" not in event["why"]
    ]
    return errors


def stop_controller(child: "subprocess.Popen[bytes]", signal_number: signal.Signals) -> None:
    """Send a signal to a controller and wait until it has ended."""
    child.send_signal(signal_number)
    child.wait()
    if child.stderr is not None:
        child.stderr.close()


def run_series(series: int, kills: int) -> SeriesResult:
    """Repeatedly start and kill a controller while its endpoint list changes."""
    rng = Random(series)
    errors: list[str] = []
    stored_versions = 0
    version = 0
    with tempfile.TemporaryDirectory() as folder:
        write_settings(folder, series + 1)
        for _ in range(kills):
            version += 1
            write_list(folder, version)
            child = start_controller(folder)
            errors += start_errors(read_until_started(child))
            killed_at = time.monotonic() + rng.uniform(0.05, 0.6)
            while time.monotonic() < killed_at:
                version += 1
                write_list(folder, version)
                time.sleep(0.03)
            stop_controller(child, signal.SIGKILL)
            store = HistoryStore()
            problems = TableLog(f"{folder}/state/tables-ns1", store, None).restore()
            errors += [f"{file}: {reason}" for file, reason in problems if "torn" not in reason]
            if store.entry_count < stored_versions:
                errors.append(
                    f"{stored_versions} versions before the kill, {store.entry_count} after"
                )
            stored_versions = store.entry_count
    return SeriesResult(stored_versions, errors)


def measure_start(versions: int) -> float:
    """Return the median time of a start with a log of that many versions, in seconds."""
    seconds = []
    with tempfile.TemporaryDirectory() as folder:
        write_settings(folder, START_NETWORK)
        if versions:
            write_log(folder, versions)
        write_list(folder, 1)
        for _ in range(STARTS):
            child = start_controller(folder)
            start = time.perf_counter()
            read_until_started(child)
            seconds.append(time.perf_counter() - start)
            stop_controller(child, signal.SIGTERM)
    return sorted(seconds)[STARTS // 2]


def measure_controllers(kills: int = 504) -> None:
    """Kill controllers in parallel series, then measure starts; prints both results."""
    start = time.perf_counter()
    with multiprocessing.get_context("spawn").Pool(SERIES) as pool:
        results = pool.starmap(run_series, [(series, kills // SERIES) for series in range(SERIES)])
    errors = [error for result in results for error in result.errors]
    print(
        f"{kills // SERIES * SERIES} kills of controllers in {time.perf_counter() - start:.0f} s: "
        f"{sum(result.versions for result in results)} versions stored in the end, "
        f"{len(errors)} errors {errors[:3]}"
    )
    for versions in (0, 10_000):
        print(
            f"start with a log of {versions} versions: {measure_start(versions):.2f} s "
            "(median of 5, including the start of the interpreter)"
        )
