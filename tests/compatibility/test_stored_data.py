"""Data stored by an earlier text stays readable, and the program goes on from it.

tests/data/stored/ holds what a short day of three stewards left: their state folders (lists, tables' logs with
versions, a restart, pins, notes), the settings, the record of the stand-ins (one file torn) and a results file of
the lab. tests/data/stored/expected.json is what that must read as: values only, no names of types or fields.

The data is not to be written anew when the program changes: it stands for what deployments have on disk. Where a
format changes on purpose, add a second folder beside it. A first writing, or one for a new folder:

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

# The adapter, with the imports above: all that is known here of names inside the program.


class Tables:
    """A steward's log of tables, read and written on by the program."""

    def __init__(self, folder):
        self.said = []
        self.log = TableLog(
            folder,
            HistoryStore(age_max=1e12),
            lambda event, **more: self.said.append((event, more)),
        )
        self.wrong = self.log.restore()

    def newest(self):
        """{proxy: (epoch, serial)}"""
        return {name: tuple(one.newest_version) for name, one in self.log.store.histories.items()}

    def proxies(self):
        return {
            name: {
                "newest": list(one.newest_version),
                "items": one.items,
                "digest": str(one.digest),
                "versions": [
                    [
                        *entry.version,
                        entry.published_at,
                        list(entry.causes),
                        [list(moved) for moved in entry.item_changes],
                        entry.digest,
                    ]
                    for entry in one.entries
                ],
            }
            for name, one in sorted(self.log.store.histories.items())
        }

    def gone(self):
        return list(self.log.store.disconnected)

    def notes(self):
        return self.log.notes

    def segments(self):
        return sorted(self.log.segment_sizes)

    def publish(self, name, epoch, serial, changed):
        self.log.record_version(
            name, self.log.store.commit(name, Version(epoch, serial), 99.0, ("test",), changed)
        )

    def begin(self):
        self.log.start(0.0)

    def end(self):
        self.log.flush(0.0)
        self.log.close()

    def note(self, key, value):
        self.log.record_note(key, value)


def pins_of(data):
    return [list(msgspec.structs.astuple(pin)) for pin in decode_pins(data)]


def list_of(path):
    listing, why = EndpointCache(str(path)).load()
    return {
        "why": why,
        "scope": listing.scope,
        "version": listing.version,
        "written": listing.written,
        "hosts": [list(msgspec.structs.astuple(one)) for one in listing.endpoints],
    }


def record_of(folder):
    """(rows as [kind, at, values], the checker's report as values without its words)."""
    read = read_folder(folder)
    settings = load_settings("settings.star", (folder / "settings.star").read_text())
    report = check(
        read, settings["limits"], {one["name"]: one["gain"] for one in settings["request_kind"]}
    )
    rows = [[row.kind, row.at, list(row.fields.values())] for row in read.rows]
    return rows, {
        "rules": [
            [int(one.rule.split(" ")[0]), one.fraction_of_limit, one.breaches]
            for one in report.findings
        ],
        "service": report.service,
        "late": report.late_sends,
        "answers": report.answers,
        "named": report.failed_endpoints,
        "takeovers": report.takeovers,
        "rows": report.rows,
        "torn": report.torn_bytes,
    }


def results_of(path):
    results, study = Results(str(path)), Study("study", STUDY)
    try:
        name, cells = study.parameters["name"], study.cells()
        ways = sorted({cell[:3] for cell in cells})
        return {
            "done": sorted(results.finished_cells(name)),
            "broken": [list(one) for one in results.cells_with_problems(name)],
            "figures": [
                [*way, figure, results.values_by_seed(name, figure, *way)]
                for way in ways
                for figure in METRICS
            ],
        }
    finally:
        results.database.close()


def cells_left(path):
    """How many cells of the study would be played with this results file: none may be."""
    results = Results(str(path))
    try:
        return run_study(Study("study", STUDY), results, workers=1, print_line=lambda line: None)
    finally:
        results.database.close()


def started(folder, name, case, secondaries=()):
    """Runs `case(ask, sleep)` beside a steward that was started on a folder, in the lab; `ask` is its control."""
    world, said = Simulation(7), []
    text = (folder / "settings.star").read_text()
    settings = load_settings("settings.star", text)
    settings["node_list"]["path"] = str(folder / "away.json")
    settings["tables"]["sync_every"] = 1e9
    settings["dns"]["secondaries"] = list(secondaries)
    me = next(one for one in settings["steward"] if one["name"] == name)
    steward_loop, asker = world.process(name), world.process("asker")

    made = []

    async def serve():
        made.append(
            Controller(
                settings,
                name,
                lambda event, **more: said.append((event, more)),
                Planner,
                str(folder / "state"),
                boot=b"12345678",
                wall_clock=lambda: 1000.0 + world.now,
            )
        )
        await made[0].start()
        await made[0].ended

    world.at(0.0, steward_loop, lambda: steward_loop.create_task(serve()))

    async def asked():
        await asyncio.sleep(6.0)
        found = await case(lambda **question: ask_once(tuple(me["control"]), question))
        made[0].stop()
        await asyncio.sleep(1.0)
        return found

    return play(world, asker, asked(), 60.0), said


def write(folder):
    """The data, by the text that runs this."""
    with tempfile.TemporaryDirectory() as made:
        made, folder = Path(made), Path(folder)
        script = load_day("stored", DAY)
        world = Simulation(script["day"]["seed"])
        day = SimulatedDay(world, script, made)
        day.place_addresses()
        play(world, world.process("day"), day.play(), 200.0)
        shutil.rmtree(folder, ignore_errors=True)
        (folder / "record").mkdir(parents=True)
        shutil.copytree(made / "state", folder / "state")
        for name in STEWARDS:  # a zone's serial, as a steward with secondaries keeps it
            tables = Tables(folder / "state" / f"tables-{name}")
            tables.begin()
            tables.note("zone serial", b"2026120207")
            tables.end()
        for where in (folder, folder / "record"):
            (where / "settings.star").write_text(day.settings_text().replace(str(made), "/nowhere"))
        rows = sorted(day.recorder.rows, key=lambda row: row.at)
        for at in range(2):
            record = Recorder(folder / "record" / f"part{at}.rec")
            for row in rows[at::2]:
                record.row(row.kind, row.at, *row.fields.values())
            if at == 1:
                record.zip.write(
                    b"\0\0\0\x40half a row"
                )  # its writer was killed in the middle of a row
                record.flush()
                record.file.close()
            else:
                record.close()
        study = Study("study", STUDY)
        results = Results(str(folder / "results.sqlite"))
        for case, variant, policy, seed in study.cells():
            key, digest, finds, found = play_cell(
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
                ["rule 1: planted"] if seed == 1 else finds,
                found,
            )
        results.database.close()
        (folder / "expected.json").write_text(
            json.dumps(everything(folder), separators=(",", ":")) + "\n"
        )


# The end of the adapter.

DATA = Path(__file__).parents[1] / "data" / "stored"
PORT = 20_000  # of the lab's hosts
STEWARDS = ("ns1", "ns2", "ns3")
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


def values(one):
    """As JSON has it."""
    return json.loads(json.dumps(one))


def state_of(folder, name):
    tables = Tables(folder / "state" / f"tables-{name}")
    notes = dict(tables.notes())
    return {
        "proxies": tables.proxies(),
        "gone": tables.gone(),
        "segments": tables.segments(),
        "wrong": tables.wrong,
        "pins": pins_of(notes.pop("pins")),
        "held": {
            key: msgspec.msgpack.decode(notes.pop(key))
            for key in sorted(notes)
            if key.startswith("wish/")
        },
        "notes": {key: value.decode() for key, value in sorted(notes.items())},
    }


def everything(folder):
    rows, report = record_of(folder / "record")
    return values(
        {
            "tables": {name: state_of(folder, name) for name in STEWARDS},
            "lists": {name: list_of(folder / "state" / f"list-{name}") for name in STEWARDS},
            "record": {"rows": rows, "report": report},
            "results": results_of(folder / "results.sqlite"),
        }
    )


class Stored(unittest.TestCase):
    """Each test has its own copy of the data."""

    maxDiff = 4000

    def setUp(self):
        place = tempfile.TemporaryDirectory()
        self.addCleanup(place.cleanup)
        self.folder = Path(place.name) / "stored"
        shutil.copytree(DATA, self.folder)
        self.expected = json.loads((DATA / "expected.json").read_text())

    def same(self, found, wanted):
        """Equal, and of the same types (1 is not 1.0)."""
        found = values(found)
        self.assertEqual(found, wanted)
        self.assertEqual(json.dumps(found, sort_keys=True), json.dumps(wanted, sort_keys=True))


class Reading(Stored):
    def test_the_data_holds_what_these_tests_are_about(self):
        tables = self.expected["tables"]["ns1"]
        self.assertGreater(len(tables["segments"]), 2)  # begun anew at each start
        self.assertTrue(tables["pins"] and tables["held"])
        self.assertEqual(set(tables["notes"]), {"boots", "zone serial"})
        several = [name for name, one in tables["proxies"].items() if len(one["versions"]) > 2]
        self.assertTrue(any(name.startswith("view:") for name in several))
        self.assertTrue(any(name.startswith("agent") for name in several))
        self.assertTrue(self.expected["tables"]["ns3"]["gone"])
        self.assertTrue(self.expected["record"]["report"]["torn"] > 0)
        self.assertTrue(self.expected["results"]["broken"])
        kinds = {row[0] for row in self.expected["record"]["rows"]}
        self.assertLessEqual(
            {"try", "req", "effect", "message", "answer", "order", "stream", "held", "pin"}, kinds
        )

    def test_each_stewards_tables_pins_and_notes_read_as_they_were(self):
        for name in STEWARDS:
            with self.subTest(name=name):
                self.same(state_of(self.folder, name), self.expected["tables"][name])

    def test_remembered_lists_read_as_they_were(self):
        for name in STEWARDS:
            self.same(list_of(self.folder / "state" / f"list-{name}"), self.expected["lists"][name])

    def test_a_record_reads_row_by_row_and_is_judged_as_it_was(self):
        rows, report = record_of(self.folder / "record")
        self.same(rows, self.expected["record"]["rows"])
        self.same(report, self.expected["record"]["report"])

    def test_results_of_the_lab_read_as_they_were_and_no_cell_is_played_again(self):
        self.same(results_of(self.folder / "results.sqlite"), self.expected["results"])
        self.assertEqual(cells_left(self.folder / "results.sqlite"), 0)


class GoingOn(Stored):
    def test_a_log_goes_on_in_a_new_segment_past_all_versions_before(self):
        place = self.folder / "state" / "tables-ns1"
        tables = Tables(place)
        before = tables.newest()
        segments = tables.segments()
        tables.begin()
        for name, (epoch, serial) in before.items():
            with self.assertRaises(ValueError):
                tables.publish(name, epoch, serial, {"level/k": 1})
            tables.publish(name, epoch, serial + 1, {"level/k": 7})
        tables.note("zone serial", b"2026120208")
        tables.end()
        again = Tables(place)
        self.assertEqual(again.wrong, [])
        self.assertEqual(
            again.newest(), {name: (epoch, serial + 1) for name, (epoch, serial) in before.items()}
        )
        self.assertEqual(again.notes()["zone serial"], b"2026120208")
        self.assertEqual(max(again.segments()), max(segments) + 1)
        for name, one in self.expected["tables"]["ns1"]["proxies"].items():
            found = values(again.proxies()[name])
            self.assertEqual(found["versions"][:-1], one["versions"], name)
            self.assertEqual(found["items"], {**one["items"], "level/k": 7})

    def test_a_steward_started_on_the_folder_serves_its_list_and_pins_with_higher_serials(self):
        async def case(ask):
            return {
                "answer": await ask(ask="answer", view="desk0"),
                "tables": await ask(ask="tables", do="status"),
                "status": await ask(ask="status"),
                "shown": await ask(ask="tables", do="show", args={"proxy": "desk0"}),
            }

        for name in STEWARDS:
            with self.subTest(name=name):
                told, said = started(self.folder, name, case)
                wanted = self.expected["tables"][name]
                wrong = [one for one in said if "not taken" in one[0] or "failed" in one[0]]
                self.assertEqual(wrong, [])
                self.assertEqual(
                    told["status"]["hosts"], len(self.expected["lists"][name]["hosts"])
                )
                names = {host[0] for host in self.expected["lists"][name]["hosts"]}
                lines = {line["host"] for line in told["answer"]["lines"]}
                self.assertTrue(lines and lines <= names, told["answer"])
                standing = {pin[0] for pin in wanted["pins"] if pin[10] is None}
                self.assertEqual(
                    {one["pin"] for one in told["tables"]["pins"] if one["ended"] is None}, standing
                )
                self.assertEqual(told["shown"]["pinned by"], max(standing))
                self.assertEqual(
                    [one["target not known"] for one in told["tables"]["pins"]],
                    [[]] * len(standing),
                )
                self.after(name, wanted)

    def after(self, name, wanted):
        """What that start left on disk."""
        tables = Tables(self.folder / "state" / f"tables-{name}")
        boots = int(wanted["notes"]["boots"]) + 1
        self.assertEqual(tables.wrong, [])
        self.assertEqual(tables.notes()["boots"], b"%d" % boots)
        self.assertEqual(tables.notes()["zone serial"], wanted["notes"]["zone serial"].encode())
        self.assertGreater(max(tables.segments()), max(wanted["segments"]))
        newest = tables.newest()
        for proxy, one in wanted["proxies"].items():
            self.assertGreaterEqual(newest[proxy], tuple(one["newest"]))
        moved = {
            proxy
            for proxy, one in wanted["proxies"].items()
            if newest[proxy] > tuple(one["newest"])
        }
        self.assertTrue(moved)
        self.assertEqual({newest[proxy][0] for proxy in moved}, {boots})
        held = {
            key: msgspec.msgpack.decode(value)
            for key, value in tables.notes().items()
            if key.startswith("wish/")
        }
        self.assertEqual({key: held[key] for key in wanted["held"]}, wanted["held"])
        self.assertEqual(set(tables.notes()) - held.keys(), {"boots", "pins", "zone serial"})
        lines = {
            f"line/api/{host[1]}/{host[3]}:{PORT}" for host in self.expected["lists"][name]["hosts"]
        }
        for proxy, one in tables.proxies().items():
            if proxy.startswith("view:"):
                self.assertLessEqual(one["items"].keys(), lines, proxy)

    def test_a_zones_serial_goes_on_past_the_stored_one(self):
        async def case(ask):
            return (await ask(ask="status"))["secondaries"]["serial"]

        stored = int(self.expected["tables"]["ns1"]["notes"]["zone serial"])
        serial, _ = started(self.folder, "ns1", case, [("127.1.9.9", 20_000)])
        self.assertTrue(stored < serial < stored + 1000, serial)
        self.assertEqual(
            Tables(self.folder / "state" / "tables-ns1").notes()["zone serial"], b"%d" % serial
        )

    def test_what_a_stored_pin_holds_a_view_to_is_what_the_steward_serves(self):
        held = self.expected["tables"]["ns2"]["held"]
        key = next(key for key in held if key.endswith("/view:desk0"))
        line = min(held[key])
        tables = Tables(self.folder / "state" / "tables-ns2")
        tables.begin()
        tables.note(
            key, msgspec.msgpack.encode({**held[key], line: 7 * held[key][line]})
        )  # no version has that
        tables.end()

        async def case(ask):
            return await ask(ask="tables", do="show", args={"proxy": "desk0"})

        shown, _ = started(self.folder, "ns2", case)
        hosts = {
            f"line/api/{host[1]}/{host[3]}:{PORT}": host[0]
            for host in self.expected["lists"]["ns2"]["hosts"]
        }
        found = {one["host"]: one["value"] for one in shown["items"]}
        self.assertEqual(found[hosts[line]], 7 * held[key][line] / 1000)


if __name__ == "__main__":
    if sys.argv[1:2] != ["write"] or len(sys.argv) != 3:
        sys.exit("expected: write FOLDER")
    write(sys.argv[2])
