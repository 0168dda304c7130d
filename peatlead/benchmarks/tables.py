"""`python -m peatlead.benchmarks.tables store|wire|kills|stewards|start|back|zone`: versioned tables, measured.

store: histories against plain copies, bytes and seconds, in one run. wire: deltas against whole tables, lines, bytes
and waits in the channel, with the planner's own orders on a simulated clock. kills: a writer killed in the middle of
its writing, and what is read afterwards; stewards: whole ones. start: reading a log of many versions. back: from a
pin to the last agent that is back (simulated). zone: versions of the zone for secondaries.
"""

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
import tracemalloc
from random import Random

from .. import interface
from ..controller.channel import Channel
from ..controller.publisher import Publisher
from ..controller.view_state import ViewState
from ..grpc.incremental import Incremental
from ..grpc.resources import ENDPOINTS, LINES, WeightedEndpoint, encode_assignment
from ..planner.planner import Planner
from ..tables.history import History, Store
from ..tables.table_log import TableLog
from ..tables.version import Version, changes, line_key, parse_line_key, quantize_weight

KINDS = ("look", "file", "pay")
SIZES = ((24, 80), (82, 291), (300, 1000))


def states(chance, many, lines=8):
    """A proxy's states: three kinds of `lines` lines, one or two of which change each time."""
    keys = [
        line_key(kind, f"z{at % 3}", f"10.0.{at // 250}.{at % 250}", 80)
        for kind in KINDS
        for at in range(lines)
    ]
    state, found = dict.fromkeys(keys, 1000), []
    for _ in range(many):
        state = dict(state)
        for _ in range(chance.choice((1, 1, 2))):
            key = chance.choice(keys)
            if key in state and chance.random() < 0.3:
                del state[key]
            else:
                state[key] = chance.randrange(1, 9) * 250
        found.append(state)
    return found


def store():
    """Bytes and seconds for 200 proxies of 256 versions each."""
    chance = Random(1)
    for lines in (8, 100):
        every = [states(chance, 256, lines) for _ in range(200 if lines == 8 else 40)]
        many = sum(map(len, every))
        moved = [[changes(old, new) for old, new in zip([{}, *each], each)] for each in every]
        tracemalloc.start()
        begin = time.perf_counter()
        plain = [[dict(state) for state in each] for each in every]
        took_plain = time.perf_counter() - begin
        size_plain, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        tracemalloc.start()
        begin = time.perf_counter()
        made = []
        for each in moved:
            history = History()
            for at, change in enumerate(each):
                history.commit(Version(1, at + 1), float(at), (), change)
            made.append(history)
        took = time.perf_counter() - begin
        size, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        begin = time.perf_counter()
        right = all(
            history.at_version(Version(1, 2)) == each[1] for history, each in zip(made, plain)
        )
        back = (time.perf_counter() - begin) / len(made)
        print(
            f"{3 * lines} lines a proxy, {many} versions: plain copies {size_plain / many:.0f} bytes and "
            f"{1e6 * took_plain / many:.1f} us a version, histories {size / many:.0f} bytes "
            f"(digest and causes too) and {1e6 * took / many:.1f} us; "
            f"the oldest but one of 256 comes back in {1e6 * back:.0f} us, "
            f"{'as it was' if right else 'WRONG'}"
        )


class Fleet:
    """A planner, its publisher and two channels (deltas, whole tables) on a clock of our own."""

    def __init__(self, hosts, proxies):
        self.now, self.hosts, self.many = 100.0, hosts, proxies
        facts = {
            "stewards": 1,
            "proxies": proxies,
            "zone": 0,
            "zones": ["z0", "z1", "z2"],
            "machines": [],
            "roster_mode": "pushed",
            "channel_rate": 4000.0,
            "message_head": 6.0,
            "queue_most": 4000.0,
            "messages_most": 40,
            "messages_span": 10.0,
            "push_delay_most": 0.5,
            "bare_most": 4.0,
            "sums_every": 1.0,
            "probing": False,
            "report_fields": ["util"],
            "cold_share": 0.25,
            "warm_after": 12.0,
            "tip_multiple": 3.0,
            "tip_span": 1.5,
            "drain_grace": 3.0,
            "value_of_whole": 0.9,
            "value_of_worst_kind": 0.1,
            "pick": "lighter of two",
            "fails_to_shun": 3,
            "joins_own_zone": False,
            "req_kinds": [
                {
                    "name": kind,
                    "response_target": 0.5,
                    "client_timeout": 2.0,
                    "gain": 1.0,
                    "repeat": "replayable",
                    "only_zones": [],
                    "only_machines": [],
                    "own_zone": False,
                }
                for kind in KINDS
            ],
        }
        self.planner, self.publisher = Planner(facts, 1), Publisher()
        # What the planner orders; what leaves as deltas; the same messages with whole tables.
        self.delta, self.lean, self.whole = (Channel(4000.0, 6.0, 1e9) for _ in range(3))
        self.views, self.streams, self.lasts = {}, {}, {}
        self.pinned = None  # {view: items} of the past, while all are held to it
        self.counts()
        events = [
            interface.EndpointUpdate("whole", 1, tuple(self.member(at) for at in range(hosts)))
        ]
        for at in range(proxies):
            self.publisher.join(at, enforces_admission=True)
            self.views[at] = ViewState()
            events.append(interface.ProxyConnected(at, at % 3, 3.0, True))
            self.streams[at] = Incremental(
                1, lambda part, at=at: self.items(at), "m", lambda version, parts: None
            )
            self.open(self.streams[at])
        self.play(events, 30.0)
        self.counts()

    @staticmethod
    def open(stream):
        from envoy.service.discovery.v3 import discovery_pb2

        stream.take(
            discovery_pb2.DeltaDiscoveryRequest(type_url=LINES, resource_names_subscribe=["*"])
        )

    def counts(self):
        self.sent = dict.fromkeys(
            ("delta lines", "delta bytes", "whole lines", "whole bytes", "messages"), 0
        )
        self.waits, self.whole_waits, self.orders = [], [], []

    def member(self, at, phase="ready", started=-1e6):
        return interface.Endpoint(at, b"h%d" % at, at % 3, 0, at // 4, phase, 1.0, started)

    def items(self, at):
        if self.pinned is not None:
            return self.pinned[at]
        return {
            line_key(kind, f"z{host % 3}", f"10.0.{host // 250}.{host % 250}", 80): quantize_weight(
                weight
            )
            for number, kind in enumerate(KINDS)
            for host, weight in self.views[at].lines(number).items()
        }

    def play(self, events, seconds, pinned=None):
        end = self.now + seconds
        while self.now < end:
            messages, _, _ = self.publisher.take(
                self.planner.decide(self.now, [*events, interface.TimerFired(0)])
            )
            events = []
            for view in sorted(messages):
                self.delta.offer(self.now, view, messages[view])
            while self.delta.next_at is not None and self.delta.next_at < self.now + 0.1:
                for view, message in self.delta.due(max(self.now, self.delta.next_at)):
                    self.orders.append(max(self.now, self.delta.free_at) - message.offered)
                    self.views[view].apply(message.ops)
                    self.send(view)
            for channel, waits in ((self.lean, self.waits), (self.whole, self.whole_waits)):
                while channel.next_at is not None and channel.next_at < self.now + 0.1:
                    for _, message in channel.due(max(self.now, channel.next_at)):
                        waits.append(max(self.now, channel.free_at) - message.offered)
            self.now = round(self.now + 0.1, 6)

    def send(self, view):
        """As both variants would: a delta of what differs, and the whole of each kind's table."""
        stream = self.streams[view]
        items = self.items(view)
        if items == self.lasts.get(view):
            return
        self.lasts[view] = items
        for response in stream.changed(LINES):
            lines = len(response.resources) + len(response.removed_resources)
            self.lean.offer(self.now, view, dict.fromkeys(range(lines)))
            self.sent["delta bytes"] += response.ByteSize()
            self.sent["delta lines"] += len(response.resources) + len(response.removed_resources)
            part = stream.parts[LINES]
            part.held, part.digest, part.flying, part.nonce = (
                part.flying[1],
                part.flying[2],
                None,
                "",
            )
        lines, tables = len(items), {kind: [] for kind in KINDS}
        for key, weight in items.items():
            kind, zone, address, port = parse_line_key(key)
            tables[kind].append(WeightedEndpoint(address, port, zone, weight / 1000))
        for kind, table in tables.items():
            self.sent["whole bytes"] += (
                len(encode_assignment(kind, table, 1.0)) + len(ENDPOINTS) + 8
            )
        self.sent["whole lines"] += lines
        self.sent["messages"] += 1
        self.whole.offer(self.now, view, dict.fromkeys(range(lines)))

    def tell(self, what):
        def late(waits):
            found = sorted(waits) or [0.0]
            return f"{1000 * found[len(found) // 2]:.0f} / {1000 * found[-1]:.0f} ms"

        sent = self.sent
        print(
            f"| {self.hosts}/{self.many} | {what} | {sent['messages']} | {sent['delta lines']} | "
            f"{sent['whole lines']} | {sent['delta bytes']} | {sent['whole bytes']} | "
            f"{sent['delta bytes'] / max(1, sent['whole bytes']):.2f} | {late(self.waits)} | "
            f"{late(self.whole_waits)} | {late(self.orders)} |"
        )
        self.counts()


def wire():
    print(
        "| hosts/proxies | what | messages | lines, deltas | lines, whole | bytes, deltas | bytes, whole | ratio | "
        "wait, deltas (median / worst) | wait, whole | wait, as ordered |\n|" + " --- |" * 11
    )
    for hosts, proxies in SIZES:
        fleet = Fleet(hosts, proxies)
        before = {view: dict(state) for view, state in fleet.lasts.items()}
        gone = fleet.member(0, "draining")
        fleet.play([interface.EndpointUpdate("changes", 2, (gone,))], 10.0)
        fleet.tell("a host lost")
        for part in range(4):
            some = range(1 + part, hosts, 12)
            fleet.play(
                [
                    interface.EndpointUpdate(
                        "changes", 3 + part, tuple(fleet.member(at, "draining") for at in some)
                    )
                ],
                3.0,
            )
            new = tuple(fleet.member(at, started=fleet.now) for at in some)
            fleet.play([interface.EndpointUpdate("changes", 3 + part, new)], 17.0)
        fleet.tell("a release of a third")
        fleet.pinned = before
        for view in sorted(fleet.views):
            fleet.send(view)
        fleet.play([], 20.0)
        fleet.tell("a rollback past both")
        fleet.pinned = None
        for view in sorted(fleet.views):
            fleet.send(view)
        fleet.play([], 20.0)
        fleet.counts()
        zone = tuple(fleet.member(at, "draining") for at in range(hosts) if at % 3 == 1)
        fleet.play([interface.EndpointUpdate("changes", 9, zone)], 15.0)
        fleet.tell("a zone lost")


def writer(folder, seed):
    """Publishes until it is killed, telling each version that is written on standard output."""
    chance = Random(seed)
    log = TableLog(folder, Store(), lambda *_, **__: None, sync_every=0.05)
    log.recall()
    log.start(0.0)
    serial = max([0, *(one.last.serial for one in log.store.histories.values())])
    while True:
        serial += 1
        name = f"p{serial % 20}"
        entry = log.store.commit(
            name,
            Version(1, serial),
            float(serial),
            (f"cause {serial}",),
            {f"line/k/z/h{chance.randrange(8)}:1": serial},
        )
        log.publish(name, entry)
        log.flush(time.monotonic())
        sys.stdout.write(f"{serial}\n")
        sys.stdout.flush()


def kills(many=500):
    """Kills a writer `many` times, at drawn moments; each start reads what the ones before left."""
    chance, lost, wrong, torn, begin = Random(3), 0, [], 0, time.perf_counter()
    with tempfile.TemporaryDirectory() as folder:
        for at in range(many):
            child = subprocess.Popen(
                [sys.executable, "-m", "peatlead.benchmarks.tables", "writer", folder, str(at)],
                stdout=subprocess.PIPE,
            )
            child.stdout.readline()
            time.sleep(chance.uniform(0.0, 0.05))
            child.send_signal(signal.SIGKILL)
            told = [line for line in child.stdout.read().split(b"\n") if line.isdigit()]
            child.wait()
            store = Store()
            reader = TableLog(folder, store, None)
            said = reader.recall()
            torn += sum("torn" in why for _, why in said)
            wrong += [why for _, why in said if "torn" not in why]
            newest = max((one.last.serial for one in store.histories.values()), default=0)
            lost += max(0, (int(told[-1]) if told else 0) - newest)
            for history in store.histories.values():
                versions = [entry.version for entry in history.entries]
                if versions != sorted(set(versions)):
                    wrong.append("versions out of order")
        print(
            f"{many} kills in {time.perf_counter() - begin:.0f} s: {newest} versions written, "
            f"{lost} that were told as written lost, {torn} torn ends met, {len(wrong)} other faults {wrong[:3]}"
        )


def start():
    """Reading a log of 10,000 versions (200 proxies of three times eight lines)."""
    chance = Random(1)
    with tempfile.TemporaryDirectory() as folder:
        log = TableLog(folder, Store(), lambda *_, **__: None, sync_every=1e9)
        log.start(0.0)
        begin = time.perf_counter()
        for name in range(200):
            for at, state in enumerate(states(chance, 50)):
                history = log.store.history(f"p{name}")
                entry = log.store.commit(
                    f"p{name}",
                    Version(1, at + 1),
                    float(at),
                    ("h7 drains, list 12",),
                    changes(history.items, state),
                )
                log.publish(f"p{name}", entry)
                if at % 5 == 4:
                    log.flush(0.0)
        log.flush(0.0)
        wrote = time.perf_counter() - begin
        size = sum(os.path.getsize(os.path.join(folder, one)) for one in os.listdir(folder))
        log.close()
        begin = time.perf_counter()
        again = Store()
        wrong = TableLog(folder, again, None).recall()
        print(
            f"10,000 versions: written in {wrote:.2f} s, {size / 10_000:.0f} bytes each on disk; read in "
            f"{time.perf_counter() - begin:.2f} s, {again.entry_count} versions, {len(wrong)} faults"
        )


STEWARD = """
zone(name = "north")
dns(zone = "example.org", port = {port}, lifetime = 1, open_views = 16)
limits(drain_grace = 3, bare_most = 4, cold_share = 0.25, warm_after = 2, tip_multiple = 3, tip_span = 1.5)
node_list(path = "{folder}/nodes.json", every = 0.02)
probes(port = {port}, deadline = 0.1)
request_kind(name = "look", response_target = 0.5, client_timeout = 1.5, gain = 2, repeat = "replayable")
service(label = "api", kinds = ["look"])
steward(name = "ns1", zone = "north", listen = "127.3.{lane}.1:{port}", control = "127.3.{lane}.1:{control}")
"""


def whole_steward(folder, lane, versions=0):
    """Settings and list of one steward in a folder; a log of `versions` versions where wished."""
    from ..scenario.runner import free_port

    port = free_port()
    with open(f"{folder}/service.star", "w") as file:
        file.write(STEWARD.format(port=port, control=port + 1, folder=folder, lane=lane))
    if versions:
        log = TableLog(f"{folder}/state/tables-ns1", Store(), lambda *_, **__: None, sync_every=1e9)
        log.start(0.0)
        for at in range(versions):
            entry = log.store.commit(
                f"agent{at % 200}",
                Version(1, at + 1),
                time.time(),
                ("h7 drains, list 12",),
                {line_key("look", "north", f"10.0.0.{at % 24}", 80): at + 1},
            )
            log.publish(f"agent{at % 200}", entry)
            log.flush(0.0)
        log.close()


def write_list(folder, version):
    hosts = [
        {
            "name": f"h{at}",
            "zone": "north",
            "address": f"127.3.0.{at + 1}",
            "weight": 1 + (version + at) % 4,
            "phase": "draining" if (version + at) % 7 == 0 else "ready",
        }
        for at in range(8)
    ]
    with open(f"{folder}/nodes.new", "w") as file:
        json.dump({"version": version, "written": 5.0, "hosts": hosts}, file)
    os.replace(f"{folder}/nodes.new", f"{folder}/nodes.json")


def run_steward(folder):
    return subprocess.Popen(
        [
            sys.executable,
            "-m",
            "peatlead",
            "run",
            f"{folder}/service.star",
            "--state",
            f"{folder}/state",
        ],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.PIPE,
    )


def until_started(child):
    """Every line up to the start, and the seconds it took."""
    begin, lines = time.perf_counter(), []
    for line in child.stderr:
        lines.append(json.loads(line))
        if lines[-1]["event"] == "steward started":
            break
    return lines, time.perf_counter() - begin


def lane(job):
    """One lane of kills: a steward whose list changes all the time, killed and started again."""
    number, many = job
    chance, wrong, newest, version = Random(number), [], 0, 0
    with tempfile.TemporaryDirectory() as folder:
        whole_steward(folder, number + 1)
        for _ in range(many):
            write_list(folder, version := version + 1)
            child = run_steward(folder)
            lines, _ = until_started(child)
            if not lines or lines[-1]["event"] != "steward started":
                wrong.append(f"did not start: {lines[-1:]}")
            wrong += [
                line["why"]
                for line in lines
                if line["event"].startswith("tables: part") and "torn" not in line["why"]
            ]
            end = time.monotonic() + chance.uniform(0.05, 0.6)
            while time.monotonic() < end:
                write_list(folder, version := version + 1)
                time.sleep(0.03)
            child.send_signal(signal.SIGKILL)
            child.wait()
            child.stderr.close()
            store = Store()
            for file, why in TableLog(f"{folder}/state/tables-ns1", store, None).recall():
                if "torn" not in why:
                    wrong.append(f"{file}: {why}")
            if store.entry_count < newest:
                wrong.append(f"{newest} versions, then {store.entry_count}")
            newest = store.entry_count
    return newest, wrong


def stewards(many=504):
    """Whole stewards killed while they publish, in eight lanes; and how long a start takes with a log."""
    import multiprocessing

    begin = time.perf_counter()
    with multiprocessing.get_context("spawn").Pool(8) as pool:
        found = pool.map(lane, [(at, many // 8) for at in range(8)])
    wrong = sum((one for _, one in found), [])
    print(
        f"{many // 8 * 8} kills of whole stewards in {time.perf_counter() - begin:.0f} s: "
        f"{sum(kept for kept, _ in found)} versions kept in the end, {len(wrong)} faults {wrong[:3]}"
    )
    for versions in (0, 10_000):
        took = []
        with tempfile.TemporaryDirectory() as folder:
            whole_steward(folder, 90, versions)
            write_list(folder, 1)
            for _ in range(5):
                child = run_steward(folder)
                took.append(until_started(child)[1])
                child.terminate()
                child.wait()
                child.stderr.close()
        print(
            f"start with a log of {versions} versions: {sorted(took)[2]:.2f} s (median of 5, with the interpreter)"
        )


def zone():
    """A new version of a zone, with its digest, and an IXFR of it: seconds and bytes by the zone's size."""
    import dns.message
    import dns.name

    from ..dns import transfer
    from ..dns.serials import Serials
    from ..dns.zone import ZoneHistory

    origin = dns.name.from_text("example.org.")
    for views in (60, 300, 1000):
        records = {("@", 60, "NS", "ns1.example.org.")}
        for view in range(views):
            for host in range(view, view + 8):
                records.add((f"d{view}.api", 1, "A", f"10.0.{host % 300 // 250}.{host % 250}"))
                records.add(
                    (
                        f"_http._tcp.d{view}.api",
                        1,
                        "SRV",
                        f"0 100 80 h{host % 300}.hosts.example.org.",
                    )
                )
        made = ZoneHistory(
            origin, lambda at: f"ns1.example.org. h.example.org. {at} 60 10 600 5", Serials(0, 2)
        )
        made.update(records)
        before, took = made.serial, []
        for at in range(3):
            begin = time.perf_counter()
            made.update(records | {("d0.api", 1, "A", f"10.9.9.{at + 1}")})
            took.append(time.perf_counter() - begin)
        query = dns.message.make_query(origin, "IXFR")
        query.authority.append(
            dns.rrset.from_text(origin, 60, "IN", "SOA", f"a. b. {before} 1 1 1 1")
        )
        begin = time.perf_counter()
        less = transfer.respond(query, made, True)
        whole = transfer.respond(dns.message.make_query(origin, "AXFR"), made, True)
        sent = time.perf_counter() - begin
        print(
            f"{views} views, {len(made.records)} records: a version {1000 * min(took):.0f} ms; both transfers "
            f"{1000 * sent:.0f} ms; IXFR past three "
            f"{sum(map(len, less))} bytes, AXFR {sum(map(len, whole))} bytes in {len(whole)} messages"
        )


def back(seeds=8):
    """24 hosts, 80 agents, three stewards: a release changes tables, then all are rolled back (simulated)."""
    from ..lab.day import play_day
    from ..scenario.script import load_day

    for over in (0.0, 2.0, 10.0):
        took, finds = [], []
        for seed in range(1, seeds + 1):
            played = play_day(
                load_day(
                    "back",
                    f"""
day(length = 30, stewards = 3)
fleet(hosts = 24, warm_after = 6)
desks(views = 0, shared = 0)
agents(many = 80, rate = 100, incremental = True)
release(at = 2, length = 6, part = 0.3)
rollback(at = 14, length = 14, back = 13, over = {over})
""",
                ),
                seed,
            )
            finds += played.finds
            at = next(row.at for row in played.rows if row.kind == "pin")
            first = {}
            for row in played.rows:
                if row.kind == "held" and at < row.at < at + over + 3.0:
                    first.setdefault(row.agent, row.at - at)
            took += first.values()
        took.sort()
        found = [took[int(len(took) * part)] for part in (0.5, 0.99)]
        print(
            f"over {over:g} s: {len(took)} agents of {seeds} days changed; median {found[0]:.3f} s, 99th "
            f"{found[1]:.3f} s, worst {took[-1]:.3f} s; {len(finds)} rules broken"
        )


if __name__ == "__main__":
    if sys.argv[1:2] == ["writer"]:
        writer(sys.argv[2], int(sys.argv[3]))
    else:
        which = {
            "store": store,
            "wire": wire,
            "kills": kills,
            "stewards": stewards,
            "start": start,
            "back": back,
            "zone": zone,
        }
        which[sys.argv[1]](*json.loads(f"[{','.join(sys.argv[2:])}]"))
