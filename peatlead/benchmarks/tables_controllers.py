"""Whole controllers killed while they publish tables, and how long a start with a log takes."""

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

LANES = 8  # controllers at a time
START_LANE = 90  # addresses of the controller whose start is measured
STARTS = 5
STARTED = "controller started"  # event of the controller's log
SETTINGS = """
zone(name = "north")
dns(zone = "example.org", port = {port}, lifetime = 1, open_views = 16)
limits(drain_grace = 3, bare_most = 4, cold_share = 0.25, warm_after = 2, tip_multiple = 3, tip_span = 1.5)
node_list(path = "{folder}/nodes.json", every = 0.02)
probes(port = {port}, deadline = 0.1)
request_kind(name = "look", response_target = 0.5, client_timeout = 1.5, gain = 2, repeat = "replayable")
service(label = "api", kinds = ["look"])
steward(name = "ns1", zone = "north", listen = "127.3.{lane}.1:{port}", control = "127.3.{lane}.1:{control}")
"""  # noqa: E501 - settings as an operator writes them


class LaneResult(NamedTuple):
    """What one lane of kills left: versions stored in the end, and what was wrong."""

    versions: int
    faults: list[str]


def write_settings(folder: str, lane: int) -> None:
    """Write the settings of a controller."""
    port = free_port()
    with open(f"{folder}/service.star", "w") as file:
        file.write(SETTINGS.format(port=port, control=port + 1, folder=folder, lane=lane))


def write_log(folder: str, versions: int) -> None:
    """Write a log of versions into the controller's state."""
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
    """Replace the list of endpoints by one in which all weights and some phases differ."""
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
    """Start a controller; its log comes from standard error."""
    run = ["run", f"{folder}/service.star", "--state", f"{folder}/state"]
    return subprocess.Popen(
        [sys.executable, "-m", "peatlead", *run],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.PIPE,
    )


def read_until_started(child: "subprocess.Popen[bytes]") -> list[dict[str, Any]]:
    """Return the events of a controller's log up to its start."""
    assert child.stderr is not None
    events: list[dict[str, Any]] = []
    for line in child.stderr:
        events.append(json.loads(line))
        if events[-1]["event"] == STARTED:
            break
    return events


def start_faults(events: list[dict[str, Any]]) -> list[str]:
    """Return what went wrong in a start, incomplete last records aside."""
    faults = []
    if not events or events[-1]["event"] != STARTED:
        faults.append(f"did not start: {events[-1:]}")
    faults += [
        event["why"]
        for event in events
        if event["event"].startswith("tables: part") and "torn" not in event["why"]
    ]
    return faults


def end(child: "subprocess.Popen[bytes]", number: signal.Signals) -> None:
    """End a controller by a signal."""
    child.send_signal(number)
    child.wait()
    if child.stderr is not None:
        child.stderr.close()


def run_lane(lane: int, kills: int) -> LaneResult:
    """Start and kill a controller whose list changes all the time."""
    rng = Random(lane)
    faults: list[str] = []
    newest = 0
    version = 0
    with tempfile.TemporaryDirectory() as folder:
        write_settings(folder, lane + 1)
        for _ in range(kills):
            version += 1
            write_list(folder, version)
            child = start_controller(folder)
            faults += start_faults(read_until_started(child))
            killed_at = time.monotonic() + rng.uniform(0.05, 0.6)
            while time.monotonic() < killed_at:
                version += 1
                write_list(folder, version)
                time.sleep(0.03)
            end(child, signal.SIGKILL)
            store = HistoryStore()
            problems = TableLog(f"{folder}/state/tables-ns1", store, None).restore()
            faults += [f"{file}: {reason}" for file, reason in problems if "torn" not in reason]
            if store.entry_count < newest:
                faults.append(f"{newest} versions, then {store.entry_count}")
            newest = store.entry_count
    return LaneResult(newest, faults)


def measure_start(versions: int) -> float:
    """Return the median seconds of a start with a log of that many versions."""
    seconds = []
    with tempfile.TemporaryDirectory() as folder:
        write_settings(folder, START_LANE)
        if versions:
            write_log(folder, versions)
        write_list(folder, 1)
        for _ in range(STARTS):
            child = start_controller(folder)
            start = time.perf_counter()
            read_until_started(child)
            seconds.append(time.perf_counter() - start)
            end(child, signal.SIGTERM)
    return sorted(seconds)[STARTS // 2]


def measure_controllers(kills: int = 504) -> None:
    """Kill whole controllers in several lanes, then measure starts."""
    start = time.perf_counter()
    with multiprocessing.get_context("spawn").Pool(LANES) as pool:
        results = pool.starmap(run_lane, [(lane, kills // LANES) for lane in range(LANES)])
    faults = [fault for result in results for fault in result.faults]
    print(
        f"{kills // LANES * LANES} kills of whole stewards in {time.perf_counter() - start:.0f} s: "
        f"{sum(result.versions for result in results)} versions kept in the end, "
        f"{len(faults)} faults {faults[:3]}"
    )
    for versions in (0, 10_000):
        print(
            f"start with a log of {versions} versions: {measure_start(versions):.2f} s "
            "(median of 5, with the interpreter)"
        )
