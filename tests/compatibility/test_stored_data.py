"""Data that an earlier version stored can be read, and a controller continues from it.

tests/data/stored/ holds what three controllers left in a short simulated day: their state folders
(endpoint lists, table logs with versions, a restart, pins and notes), the settings, the recording of
the stand-ins (one file ends within a row) and a results file of the lab. expected.json in that folder
holds the values that reading the data must give; it contains no names of types or fields.

Don't regenerate the data when the program changes: it stands for the data of existing deployments.
Where a format changes on purpose, add a second folder beside it. To write a new folder:

    python -m tests.compatibility.test_stored_data write FOLDER
"""

import asyncio
import json
import shutil
import sys
import tempfile
import unittest
from pathlib import Path

import msgspec

from peatlead.controller.control_socket import ask_once
from peatlead.controller.controller import Controller
from peatlead.invariants.checker import check
from peatlead.invariants.record import Recorder, read_folder
from peatlead.lab.day import SimulatedDay
from peatlead.lab.simulation import Simulation, play
from peatlead.lab.study import METRICS, Results, Study, play_cell, run_study
from peatlead.planner.planner import Planner
from peatlead.scenario.script import load_day
from peatlead.settings import load_settings
from peatlead.sources.endpoint_cache import EndpointCache
from peatlead.tables.history import HistoryStore
from peatlead.tables.pins import decode_pins
from peatlead.tables.table_log import TableLog
from peatlead.tables.version import Version

# Only the imports above and this section use names from inside the program.


class StoredTables:
    """A controller's table log, read from its folder, to which versions and notes can be appended."""

    def __init__(self, folder):
        self.events = []
        self.log = TableLog(
            folder,
            HistoryStore(age_max=1e12),
            lambda event, **fields: self.events.append((event, fields)),
        )
        self.problems = self.log.restore()

    def newest_versions(self):
        """Return the newest version of each proxy as (epoch, serial)."""
        return {
            name: tuple(history.newest_version)
            for name, history in self.log.store.histories.items()
        }

    def proxies(self):
        return {
            name: {
                "newest": list(history.newest_version),
                "items": history.items,
                "digest": str(history.digest),
                "versions": [
                    [
                        *entry.version,
                        entry.published_at,
                        list(entry.causes),
                        [list(change) for change in entry.item_changes],
                        entry.digest,
                    ]
                    for entry in history.entries
                ],
            }
            for name, history in sorted(self.log.store.histories.items())
        }

    def disconnected_proxies(self):
        return list(self.log.store.disconnected)

    def notes(self):
        return self.log.notes

    def segment_numbers(self):
        return sorted(self.log.segment_sizes)

    def record_version(self, name, epoch, serial, changed):
        self.log.record_version(
            name, self.log.store.commit(name, Version(epoch, serial), 99.0, ("test",), changed)
        )

    def start(self):
        self.log.start(0.0)

    def close(self):
        self.log.flush(0.0)
        self.log.close()

    def record_note(self, key, value):
        self.log.record_note(key, value)


def read_pins(data):
    return [list(msgspec.structs.astuple(pin)) for pin in decode_pins(data)]


def read_list(path):
    endpoint_list, error = EndpointCache(str(path)).load()
    return {
        "why": error,
        "scope": endpoint_list.scope,
        "version": endpoint_list.version,
        "written": endpoint_list.written,
        "hosts": [list(msgspec.structs.astuple(endpoint)) for endpoint in endpoint_list.endpoints],
    }


def read_recording(folder):
    """Return the rows as [kind, at, values], and the values of the checker's report without texts."""
    recording = read_folder(folder)
    settings = load_settings("settings.star", (folder / "settings.star").read_text())
    report = check(
        recording,
        settings["limits"],
        {kind["name"]: kind["gain"] for kind in settings["request_kind"]},
    )
    rows = [[row.kind, row.at, list(row.fields.values())] for row in recording.rows]
    return rows, {
        "rules": [
            [int(finding.rule.split(" ")[0]), finding.fraction_of_limit, finding.breaches]
            for finding in report.findings
        ],
        "service": report.service,
        "late": report.late_sends,
        "answers": report.answers,
        "named": report.failed_endpoints,
        "takeovers": report.takeovers,
        "rows": report.rows,
        "torn": report.torn_bytes,
    }


def read_results(path):
    results, study = Results(str(path)), Study("study", STUDY)
    try:
        name, cells = study.parameters["name"], study.cells()
        combinations = sorted({cell[:3] for cell in cells})
        return {
            "done": sorted(results.finished_cells(name)),
            "broken": [list(broken_cell) for broken_cell in results.cells_with_problems(name)],
            "figures": [
                [*combination, metric, results.values_by_seed(name, metric, *combination)]
                for combination in combinations
                for metric in METRICS
            ],
        }
    finally:
        results.database.close()


def play_missing_cells(path):
    """Play the cells of the study that the results file lacks; returns their number."""
    results = Results(str(path))
    try:
        return run_study(Study("study", STUDY), results, workers=1, print_line=lambda line: None)
    finally:
        results.database.close()


def run_controller(folder, name, case, secondaries=()):
    """Start a simulated controller on a stored state folder and run `case(ask)`.

    `ask` sends a question to the control socket. Returns the result of `case` and the log events.
    """
    simulation, log_events = Simulation(7), []
    text = (folder / "settings.star").read_text()
    settings = load_settings("settings.star", text)
    settings["node_list"]["path"] = str(folder / "away.json")
    settings["tables"]["sync_every"] = 1e9
    settings["dns"]["secondaries"] = list(secondaries)
    controller_settings = next(entry for entry in settings["steward"] if entry["name"] == name)
    controller_process, client_process = (
        simulation.add_process(name),
        simulation.add_process("asker"),
    )

    controllers = []

    async def serve():
        controllers.append(
            Controller(
                settings,
                name,
                lambda event, **fields: log_events.append((event, fields)),
                Planner,
                str(folder / "state"),
                boot=b"12345678",
                wall_clock=lambda: 1000.0 + simulation.now,
            )
        )
        await controllers[0].start()
        await controllers[0].ended

    simulation.at(0.0, controller_process, lambda: controller_process.create_task(serve()))

    async def ask_questions():
        await asyncio.sleep(6.0)
        result = await case(
            lambda **question: ask_once(tuple(controller_settings["control"]), question)
        )
        controllers[0].stop()
        await asyncio.sleep(1.0)
        return result

    return play(simulation, client_process, ask_questions(), 60.0), log_events


def write_data(folder):
    """Write the data of a new folder with the running version of the program."""
    with tempfile.TemporaryDirectory() as temporary:
        temporary, folder = Path(temporary), Path(folder)
        script = load_day("stored", DAY)
        simulation = Simulation(script["day"]["seed"])
        day = SimulatedDay(simulation, script, temporary)
        day.place_addresses()
        play(simulation, simulation.add_process("day"), day.play(), 200.0)
        shutil.rmtree(folder, ignore_errors=True)
        (folder / "record").mkdir(parents=True)
        shutil.copytree(temporary / "state", folder / "state")
        for name in CONTROLLERS:  # a zone serial, as a controller with secondaries stores it
            tables = StoredTables(folder / "state" / f"tables-{name}")
            tables.start()
            tables.record_note("zone serial", b"2026120207")
            tables.close()
        for parent in (folder, folder / "record"):
            (parent / "settings.star").write_text(
                day.settings_text().replace(str(temporary), "/nowhere")
            )
        rows = sorted(day.recorder.rows, key=lambda row: row.at)
        for number in range(2):
            recorder = Recorder(folder / "record" / f"part{number}.rec")
            for row in rows[number::2]:
                recorder.write_row(row.kind, row.at, *row.fields.values())
            if number == 1:
                # An incomplete row, as a killed writer leaves it.
                recorder.compressor.write(b"\0\0\0\x40half a row")
                recorder.flush()
                recorder.file.close()
            else:
                recorder.close()
        study = Study("study", STUDY)
        results = Results(str(folder / "results.sqlite"))
        for case, variant, policy, seed in study.cells():
            key, digest, problems, metrics = play_cell(
                (
                    (case, variant, policy, seed),
                    study.cases[case],
                    study.variants[variant],
                    policy,
                    seed,
                )
            )
            results.store(
                study.parameters["name"],
                key,
                digest,
                ["rule 1: planted"] if seed == 1 else problems,
                metrics,
            )
        results.database.close()
        (folder / "expected.json").write_text(
            json.dumps(read_all(folder), separators=(",", ":")) + "\n"
        )


# End of the section that uses names from inside the program.

DATA = Path(__file__).parents[1] / "data" / "stored"
PORT = 20_000  # of the simulated endpoints
CONTROLLERS = ("ns1", "ns2", "ns3")
DAY = """
day(length = 9, seed = 5, stewards = 3)
fleet(hosts = 5, zones = ["a", "b"], pod = 2)
desks(views = 3, rate = 6, shared = 0)
agents(many = 4, rate = 6, incremental = True)
steward_killed(at = 4, length = 2, steward = 0)
rollback(at = 2.5, length = 60, back = 1)
silent(at = 3, length = 2, part = 0.2)
release(at = 2, length = 4, part = 0.3)
"""
STUDY = """
study(name = "stored", question = "is it read?", seeds = 2)
case(name = "one", script = "day(length = 2)\\nfleet(hosts = 6)\\ndesks(views = 4, rate = 15, shared = 0)")
vary(name = "as is")
vary(name = "few", set = {"steering.addresses": 1})
policy(names = ["shards", "plain"])
"""


def as_json(value):
    """Return a value as it is after encoding to JSON and decoding."""
    return json.loads(json.dumps(value))


def read_state(folder, name):
    tables = StoredTables(folder / "state" / f"tables-{name}")
    notes = dict(tables.notes())
    return {
        "proxies": tables.proxies(),
        "gone": tables.disconnected_proxies(),
        "segments": tables.segment_numbers(),
        "wrong": tables.problems,
        "pins": read_pins(notes.pop("pins")),
        "held": {
            key: msgspec.msgpack.decode(notes.pop(key))
            for key in sorted(notes)
            if key.startswith("wish/")
        },
        "notes": {key: value.decode() for key, value in sorted(notes.items())},
    }


def read_all(folder):
    rows, report = read_recording(folder / "record")
    return as_json(
        {
            "tables": {name: read_state(folder, name) for name in CONTROLLERS},
            "lists": {name: read_list(folder / "state" / f"list-{name}") for name in CONTROLLERS},
            "record": {"rows": rows, "report": report},
            "results": read_results(folder / "results.sqlite"),
        }
    )


class StoredDataTestCase(unittest.TestCase):
    """The base class, which gives each test its own copy of the data."""

    maxDiff = 4000

    def setUp(self):
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.folder = Path(temporary.name) / "stored"
        shutil.copytree(DATA, self.folder)
        self.expected = json.loads((DATA / "expected.json").read_text())

    def assert_same_json(self, actual, expected):
        """Check that values are equal and of the same types (1 is not 1.0)."""
        actual = as_json(actual)
        self.assertEqual(actual, expected)
        self.assertEqual(json.dumps(actual, sort_keys=True), json.dumps(expected, sort_keys=True))


class ReadStoredDataTest(StoredDataTestCase):
    def test_the_data_contains_what_these_tests_need(self):
        tables = self.expected["tables"]["ns1"]
        self.assertGreater(len(tables["segments"]), 2)  # each start begins a new segment
        self.assertTrue(tables["pins"] and tables["held"])
        self.assertEqual(set(tables["notes"]), {"boots", "zone serial"})
        proxies_with_several_versions = [
            name for name, history in tables["proxies"].items() if len(history["versions"]) > 2
        ]
        self.assertTrue(any(name.startswith("view:") for name in proxies_with_several_versions))
        self.assertTrue(any(name.startswith("agent") for name in proxies_with_several_versions))
        self.assertTrue(self.expected["tables"]["ns3"]["gone"])
        self.assertTrue(self.expected["record"]["report"]["torn"] > 0)
        self.assertTrue(self.expected["results"]["broken"])
        kinds = {row[0] for row in self.expected["record"]["rows"]}
        self.assertLessEqual(
            {"try", "req", "effect", "message", "answer", "order", "stream", "held", "pin"}, kinds
        )

    def test_tables_pins_and_notes_of_each_controller_are_read_unchanged(self):
        for name in CONTROLLERS:
            with self.subTest(name=name):
                self.assert_same_json(read_state(self.folder, name), self.expected["tables"][name])

    def test_cached_endpoint_lists_are_read_unchanged(self):
        for name in CONTROLLERS:
            self.assert_same_json(
                read_list(self.folder / "state" / f"list-{name}"), self.expected["lists"][name]
            )

    def test_a_recording_is_read_unchanged_and_checked_with_the_same_result(self):
        rows, report = read_recording(self.folder / "record")
        self.assert_same_json(rows, self.expected["record"]["rows"])
        self.assert_same_json(report, self.expected["record"]["report"])

    def test_lab_results_are_read_unchanged_and_no_cell_is_played_again(self):
        self.assert_same_json(
            read_results(self.folder / "results.sqlite"), self.expected["results"]
        )
        self.assertEqual(play_missing_cells(self.folder / "results.sqlite"), 0)


class ContinueFromStoredDataTest(StoredDataTestCase):
    def test_a_log_continues_in_a_new_segment_with_greater_versions(self):
        folder = self.folder / "state" / "tables-ns1"
        tables = StoredTables(folder)
        before = tables.newest_versions()
        segments = tables.segment_numbers()
        tables.start()
        for name, (epoch, serial) in before.items():
            with self.assertRaises(ValueError):
                tables.record_version(name, epoch, serial, {"level/k": 1})
            tables.record_version(name, epoch, serial + 1, {"level/k": 7})
        tables.record_note("zone serial", b"2026120208")
        tables.close()
        reread = StoredTables(folder)
        self.assertEqual(reread.problems, [])
        self.assertEqual(
            reread.newest_versions(),
            {name: (epoch, serial + 1) for name, (epoch, serial) in before.items()},
        )
        self.assertEqual(reread.notes()["zone serial"], b"2026120208")
        self.assertEqual(max(reread.segment_numbers()), max(segments) + 1)
        for name, history in self.expected["tables"]["ns1"]["proxies"].items():
            actual = as_json(reread.proxies()[name])
            self.assertEqual(actual["versions"][:-1], history["versions"], name)
            self.assertEqual(actual["items"], {**history["items"], "level/k": 7})

    def test_a_controller_serves_the_stored_list_and_pins_with_greater_versions(self):
        async def case(ask):
            return {
                "answer": await ask(ask="answer", view="desk0"),
                "tables": await ask(ask="tables", do="status"),
                "status": await ask(ask="status"),
                "shown": await ask(ask="tables", do="show", args={"proxy": "desk0"}),
            }

        for name in CONTROLLERS:
            with self.subTest(name=name):
                answers, log_events = run_controller(self.folder, name, case)
                expected = self.expected["tables"][name]
                errors = [
                    event
                    for event in log_events
                    if any(word in event[0] for word in ("not restored", "ignored", "failed"))
                ]
                self.assertEqual(errors, [])
                self.assertEqual(
                    answers["status"]["hosts"], len(self.expected["lists"][name]["hosts"])
                )
                listed = {host[0] for host in self.expected["lists"][name]["hosts"]}
                answered = {line["host"] for line in answers["answer"]["lines"]}
                self.assertTrue(answered and answered <= listed, answers["answer"])
                active_pins = {fields[0] for fields in expected["pins"] if fields[10] is None}
                self.assertEqual(
                    {pin["pin"] for pin in answers["tables"]["pins"] if pin["ended"] is None},
                    active_pins,
                )
                self.assertEqual(answers["shown"]["pinned by"], max(active_pins))
                self.assertEqual(
                    [pin["target not known"] for pin in answers["tables"]["pins"]],
                    [[]] * len(active_pins),
                )
                self.check_folder_after_run(name, expected)

    def check_folder_after_run(self, name, expected):
        """Check the state folder after the run of a controller."""
        tables = StoredTables(self.folder / "state" / f"tables-{name}")
        boots = int(expected["notes"]["boots"]) + 1
        self.assertEqual(tables.problems, [])
        self.assertEqual(tables.notes()["boots"], b"%d" % boots)
        self.assertEqual(tables.notes()["zone serial"], expected["notes"]["zone serial"].encode())
        self.assertGreater(max(tables.segment_numbers()), max(expected["segments"]))
        newest = tables.newest_versions()
        for proxy, history in expected["proxies"].items():
            self.assertGreaterEqual(newest[proxy], tuple(history["newest"]))
        proxies_with_new_versions = {
            proxy
            for proxy, history in expected["proxies"].items()
            if newest[proxy] > tuple(history["newest"])
        }
        self.assertTrue(proxies_with_new_versions)
        self.assertEqual({newest[proxy][0] for proxy in proxies_with_new_versions}, {boots})
        pinned_items = {
            key: msgspec.msgpack.decode(value)
            for key, value in tables.notes().items()
            if key.startswith("wish/")
        }
        self.assertEqual({key: pinned_items[key] for key in expected["held"]}, expected["held"])
        self.assertEqual(
            set(tables.notes()) - pinned_items.keys(), {"boots", "pins", "zone serial"}
        )
        listed_keys = {
            f"line/api/{host[1]}/{host[3]}:{PORT}" for host in self.expected["lists"][name]["hosts"]
        }
        for proxy, history in tables.proxies().items():
            if proxy.startswith("view:"):
                self.assertLessEqual(history["items"].keys(), listed_keys, proxy)

    def test_a_zone_serial_continues_from_the_stored_serial(self):
        async def case(ask):
            return (await ask(ask="status"))["secondaries"]["serial"]

        stored = int(self.expected["tables"]["ns1"]["notes"]["zone serial"])
        serial, _ = run_controller(self.folder, "ns1", case, [("127.1.9.9", 20_000)])
        self.assertTrue(stored < serial < stored + 1000, serial)
        self.assertEqual(
            StoredTables(self.folder / "state" / "tables-ns1").notes()["zone serial"],
            b"%d" % serial,
        )

    def test_a_controller_serves_the_items_that_a_stored_pin_gives_a_view(self):
        pinned_items = self.expected["tables"]["ns2"]["held"]
        key = next(key for key in pinned_items if key.endswith("/view:desk0"))
        item_key = min(pinned_items[key])
        tables = StoredTables(self.folder / "state" / "tables-ns2")
        tables.start()
        # A weight that no stored version contains.
        tables.record_note(
            key,
            msgspec.msgpack.encode(
                {**pinned_items[key], item_key: 7 * pinned_items[key][item_key]}
            ),
        )
        tables.close()

        async def case(ask):
            return await ask(ask="tables", do="show", args={"proxy": "desk0"})

        table, _ = run_controller(self.folder, "ns2", case)
        endpoint_names = {
            f"line/api/{host[1]}/{host[3]}:{PORT}": host[0]
            for host in self.expected["lists"]["ns2"]["hosts"]
        }
        weights = {item["host"]: item["value"] for item in table["items"]}
        self.assertEqual(weights[endpoint_names[item_key]], 7 * pinned_items[key][item_key] / 1000)


if __name__ == "__main__":
    if sys.argv[1:2] != ["write"] or len(sys.argv) != 3:
        sys.exit("usage: python -m tests.compatibility.test_stored_data write FOLDER")
    write_data(sys.argv[2])
