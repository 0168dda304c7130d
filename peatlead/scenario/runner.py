"""Plays a day: stand-ins in their own processes, real stewards, troubles by the clock, then the checker."""

import asyncio
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path
from random import Random

import msgspec

from ..controller.control_socket import Asking, ask_once
from ..invariants.checker import check
from ..invariants.record import Recorder, read_folder
from ..settings.script import load_settings
from ..standin.process import Teller
from .endpoint_list_file import EndpointListFile
from .fleet import Fleet

HOST_PROCESSES, DESK_PROCESSES, AGENT_PROCESSES = 3, 2, 2
NETS = {"hosts": 1, "desks": 2, "agents": 3}
SETTLE = 3.0  # seconds for stewards and stand-ins to be up before reqs begin
ADD_LAG, DRAIN_LAG = 0.3, 0.2  # seconds until the list has what happened


def free_port(taken=set()):  # noqa: B006 - what this process has handed out already
    """A port that nothing holds now, with the next two; days that run side by side need their own.

    Below those that systems give to connections on their way out: a prober's could hold it on our address.
    """
    for at in range(0, 20_000, 4):
        port = 10_000 + (os.getpid() * 28 + at) % 20_000
        if port in taken:
            continue
        with socket.socket() as one, socket.socket() as two, socket.socket() as three:
            try:
                for more, held in enumerate((one, two, three)):
                    held.bind(("0.0.0.0", port + more))
            except OSError:
                continue
        taken.add(port)
        return port
    raise OSError("no three free ports side by side")


class Day:
    """`await play()` returns the checker's report. `folder` gets settings, record, logs."""

    def __init__(self, day, folder, planner="shards", port=None):
        self.day, self.folder, self.planner = day, Path(folder), planner
        self.fleet = Fleet(day, port or free_port())
        self.chance = Random(day["day"]["seed"] + 1000)
        self.children, self.stewards, self.feeds, self.where = [], {}, {}, {}
        self.begun_at, self.over, self.away = {}, False, set()

    # The whole.

    async def play(self):
        self.loop = asyncio.get_running_loop()
        self.folder.mkdir(parents=True, exist_ok=True)
        for old in [
            *self.folder.glob("*.rec"),
            *self.folder.glob("*.log"),
            *self.folder.glob("state/*"),
        ]:
            old.unlink()  # an earlier day's list would be remembered, and its hosts seem started anew
        self.record = self.begin_record()
        self.list = EndpointListFile(self.folder / "nodes.json", self.loop.time, self.record)
        try:
            await self.set_up()
            await self.run()
        finally:
            self.tear_down()
        return self.finish()

    def begin_record(self):
        return Recorder(self.folder / "day.rec")

    def finish(self):
        """The checker's report of all that was recorded."""
        settings = load_settings("settings.star", self.script())
        read = read_folder(self.folder)
        return check(
            read, settings["limits"], {kind["name"]: kind["gain"] for kind in self.day["kinds"]}
        )

    def script(self):
        return self.fleet.settings(self.folder / "nodes.json")

    async def set_up(self):
        (self.folder / "settings.star").write_text(self.script())
        self.telling, self.teller = await self.loop.create_datagram_endpoint(
            Teller, local_addr=("127.2.0.1", 0)
        )
        self.halls = [self.spawn("hosts", at) for at in range(HOST_PROCESSES)]
        self.rooms = [
            self.spawn("desks", at) for at in range(DESK_PROCESSES if self.fleet.desks else 0)
        ]
        self.posts = [
            self.spawn("agents", at) for at in range(AGENT_PROCESSES if self.fleet.agents else 0)
        ]
        for plan in self.fleet.hosts:
            await self.add_host(plan)
            self.list.put(plan, "ready", self.loop.time() - 10_000)
        self.list.write()
        for at in range(len(self.fleet.stewards)):
            self.start_steward(at)
        for order in self.fleet.resolvers:
            await self.teller.tell(self.room_of(order["name"]), order)
        for at, plan in enumerate(self.fleet.desks):
            await self.teller.tell(
                self.room_of(plan["resolver"]), {"do": "desk", "plan": plan, "desk": at}
            )
        for at, plan in enumerate(self.fleet.agents):
            await self.teller.tell(self.posts[at % len(self.posts)], {"do": "agent", "plan": plan})

    def room_of(self, resolver):
        names = sorted(one["name"] for one in self.fleet.resolvers)
        return self.rooms[names.index(resolver) % len(self.rooms)]

    async def run(self):
        await asyncio.sleep(SETTLE)
        for child in [*self.stewards.values(), *self.children]:
            if child.poll() is not None:
                raise RuntimeError(
                    f"a process ended before the day began: {' '.join(child.args[2:5])}; "
                    f"its log is in {self.folder}"
                )
        start = self.loop.time() + 0.2
        for room in self.rooms + self.posts:
            await self.teller.tell(room, {"do": "begin", "at": start})
        self.start = start
        tasks = [self.loop.create_task(self.strike(trouble)) for trouble in self.day["troubles"]]
        await asyncio.sleep(start + self.day["day"]["length"] - self.loop.time())
        await self.note_ends()
        await asyncio.gather(
            *(self.teller.tell(room, {"do": "finish"}) for room in self.rooms + self.posts)
        )
        for task in tasks:
            if not task.done():
                task.cancel()
        for task in await asyncio.gather(*tasks, return_exceptions=True):
            if isinstance(task, Exception) and not isinstance(task, asyncio.CancelledError):
                raise task

    def tear_down(self):
        for stream in self.feeds.values():
            stream.cut("the day is over")
        self.over = True
        self.telling.close()
        for child in self.stewards.values():
            child.send_signal(signal.SIGCONT)
        everyone = [*self.children, *self.stewards.values()]
        for child in everyone:
            child.terminate()
        for child in everyone:
            try:
                child.wait(5.0)
            except subprocess.TimeoutExpired:
                child.kill()
                child.wait()
        self.record.close()

    # Processes.

    def spawn(self, kind, at):
        address = self.address_of(kind, at)
        with open(self.folder / f"{kind}{at}.log", "wb") as log:
            self.children.append(
                subprocess.Popen(
                    [
                        sys.executable,
                        "-m",
                        "peatlead.standin.process",
                        kind,
                        address,
                        str(self.fleet.port),
                        str(self.seed_of(kind, at)),
                        str(self.folder / f"{kind}{at}.rec"),
                    ],
                    stdout=log,
                    stderr=log,
                )
            )
        return address, self.fleet.port

    @staticmethod
    def address_of(kind, at):
        return f"127.2.{NETS[kind]}.{at + 1}"

    def seed_of(self, kind, at):
        return self.day["day"]["seed"] * 100 + at + 30 * NETS[kind]

    def start_steward(self, at):
        name = f"ns{at + 1}"
        with open(self.folder / f"{name}.log", "ab") as log:
            self.stewards[at] = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "peatlead",
                    "run",
                    str(self.folder / "settings.star"),
                    "--name",
                    name,
                    "--state",
                    str(self.folder / "state"),
                    "--planner",
                    self.planner,
                ],
                stdout=log,
                stderr=log,
            )
        self.loop.create_task(self.feed(at, self.stewards[at]))

    async def feed(self, at, child):
        """Reads a steward's feed as long as that process lives."""
        address, port = self.fleet.stewards[at]
        while child.poll() is None:
            try:
                _, stream = await self.loop.create_connection(
                    lambda: Asking({"ask": "feed"}, self.take_message), address, port + 1
                )
                self.feeds[at] = stream
                await stream.over
            except OSError:
                await asyncio.sleep(0.02)

    def take_message(self, data):
        said = msgspec.json.decode(data)
        if "view" in said and not self.over:
            self.record.row(
                "message",
                said["at"],
                said["steward"],
                said["view"],
                said["lines"],
                said["waiting"],
                said["most"],
                said["held"],
            )

    # Hosts.

    async def add_host(self, plan):
        hall = self.where[plan["name"]] = self.halls[plan["pod"] % len(self.halls)]
        await self.teller.tell(hall, {"do": "host", "plan": plan})

    async def tell_hosts(self, plans, fault, value=True):
        for hall in self.halls:
            names = [plan["name"] for plan in plans if self.where[plan["name"]] == hall]
            if names:
                await self.teller.tell(
                    hall, {"do": "tell", "hosts": names, "fault": fault, "value": value}
                )

    def some_hosts(self, trouble):
        """Drawn among those that run and have no trouble yet."""
        found = [
            plan
            for plan in self.fleet.hosts
            if not trouble["zone"] or plan["zone"] == trouble["zone"]
        ]
        many = max(1, round(len(found) * trouble["part"]))
        free = [plan for plan in found if plan["name"] not in self.begun_at]
        chosen = self.chance.sample(free, min(many, len(free)))
        for plan in chosen:
            self.begun_at[plan["name"]] = True
        self.note(trouble, chosen)
        return chosen

    def let_go(self, plans):
        for plan in plans:
            self.begun_at.pop(plan["name"], None)

    # Troubles.

    async def note_ends(self):
        """What stewards say that they last published, beside what agents hold."""
        for at in self.stewards if self.posts else ():
            address, port = self.fleet.stewards[at]
            if at in self.away:
                continue
            try:
                told = await ask_once((address, port + 1), {"ask": "tables", "do": "ends"}, 1.0)
            except (OSError, asyncio.TimeoutError):
                continue
            for agent, (epoch, serial, digest, age) in told.get("ends", {}).items():
                self.record.row(
                    "published", self.loop.time(), address, agent, epoch, serial, digest, age
                )

    async def strike(self, trouble):
        await asyncio.sleep(max(0.0, self.start + trouble["at"] - self.loop.time()))
        verb = trouble["verb"]
        self.note(trouble, [])
        if verb.startswith("list_"):
            self.list.begin(verb, trouble, self.chance)
            await asyncio.sleep(trouble["length"])
            self.list.end()
        else:
            await getattr(self, verb)(trouble)

    def note(self, trouble, plans):
        now = self.loop.time()
        self.record.row(
            "trouble",
            now,
            trouble["verb"],
            [plan["address"] for plan in plans],
            now + trouble.get("length", 0.0),
        )

    async def hosts_fault(self, trouble, fault, value, over):
        plans = self.some_hosts(trouble)
        await self.tell_hosts(plans, fault, value)
        await asyncio.sleep(trouble["length"])
        await self.tell_hosts(plans, fault, over)
        return plans

    async def silent(self, trouble):
        """No answer, no reset; then the process comes back cold."""
        plans = await self.hosts_fault(trouble, "silent", True, False)
        await self.tell_hosts(plans, "start")
        self.list_again(plans)
        self.let_go(plans)

    def list_again(self, plans):
        for plan in plans:
            self.list.put(plan, "ready", self.loop.time())
        self.list.write()

    async def hung(self, trouble):
        self.let_go(await self.hosts_fault(trouble, "hung", True, False))

    async def quick_errors(self, trouble):
        self.let_go(await self.hosts_fault(trouble, "errors", trouble["errors"], 0.0))

    async def neighbour(self, trouble):
        self.let_go(await self.hosts_fault(trouble, "stolen", trouble["stolen"], 0.0))

    async def lost_answers(self, trouble):
        self.let_go(await self.hosts_fault(trouble, "lost", trouble["lost"], 0.0))

    async def pauses(self, trouble):
        plans, until = self.some_hosts(trouble), self.loop.time() + trouble["length"]
        while self.loop.time() < until:
            await self.tell_hosts(plans, "pause", trouble["pause"])
            await asyncio.sleep(trouble["every"])
        self.let_go(plans)

    async def heavy_tail(self, trouble):
        heavy = (trouble["kind"], trouble["share"], trouble["times"])
        await self.tell_hosts(self.fleet.hosts, "heavy", heavy)
        await asyncio.sleep(trouble["length"])
        await self.tell_hosts(self.fleet.hosts, "heavy", None)

    async def pod_restart(self, trouble):
        """All of a pod's processes die at once and come back cold; the list never says that they went."""
        pods = sorted({plan["pod"] for plan in self.fleet.hosts})
        chosen = set(self.chance.sample(pods, min(trouble["pods"], len(pods))))
        plans = [
            plan
            for plan in self.fleet.hosts
            if plan["pod"] in chosen and plan["name"] not in self.begun_at
        ]
        await self.tell_hosts(plans, "stop")
        await asyncio.sleep(1.0)
        for plan in plans:
            await self.teller.tell(self.where[plan["name"]], {"do": "begin", "host": plan["name"]})
        await asyncio.sleep(ADD_LAG)
        self.list_again(plans)

    async def release(self, trouble):
        """Rolling: drained, stopped, and a cold successor with a name and address of its own."""
        plans, running = self.some_hosts(trouble), set()
        each = trouble["length"] / max(1, len(plans))
        most = max(1, round(len(self.fleet.hosts) * trouble["at_once"]))
        for plan in plans:
            while len(running) >= most:
                await asyncio.wait(running, return_when=asyncio.FIRST_COMPLETED)
            task = self.loop.create_task(self.replace(plan, trouble))
            running.add(task)
            task.add_done_callback(running.discard)
            await asyncio.sleep(each)
        if running:
            await asyncio.wait(running)

    async def replace(self, plan, trouble):
        await self.tell_hosts([plan], "draining")
        await asyncio.sleep(DRAIN_LAG)
        self.list.put(plan, "draining", 0.0)
        self.list.write()
        await self.tell_hosts([plan], "drain")
        await asyncio.sleep(trouble["drain"])
        await self.tell_hosts([plan], "stop")
        self.list.put(plan, "gone", 0.0)
        self.list.write()
        new = self.fleet.host(0, cold=True, like=plan)
        await self.add_host(new)
        self.fleet.hosts = [one for one in self.fleet.hosts if one is not plan] + [new]
        started = self.loop.time()
        await asyncio.sleep(ADD_LAG)
        self.list.put(new, "ready", started)
        self.list.write()

    async def set_rate(self, views, times):
        for room in self.rooms:
            await self.teller.tell(room, {"do": "rate", "views": views, "times": times})

    async def burst(self, trouble):
        await self.set_rate([], trouble["times"])
        await asyncio.sleep(trouble["length"])
        await self.set_rate([], 1.0)

    async def shift(self, trouble):
        zones = self.fleet.zones
        home = (
            zones.index(trouble["zone"]) if trouble["zone"] else self.chance.randrange(len(zones))
        )
        near = [desk["view"] for at, desk in enumerate(self.fleet.desks) if at % len(zones) == home]
        far = [desk["view"] for desk in self.fleet.desks if desk["view"] not in near]
        less = max(0.1, 1 - (trouble["times"] - 1) * len(near) / max(1, len(far)))
        await self.set_rate(near, trouble["times"])
        await self.set_rate(far, less)
        await asyncio.sleep(trouble["length"])
        await self.set_rate([], 1.0)

    async def steward_killed(self, trouble):
        at = trouble["steward"]
        if not self.take_steward(at):
            return
        self.stewards[at].kill()
        self.stewards[at].wait()
        self.note_steward(at, "killed")
        await asyncio.sleep(trouble["length"])
        self.start_steward(at)
        self.note_steward(at, "started")
        self.away.discard(at)

    def take_steward(self, at):
        """False where another trouble has it already, or a study plays this day with fewer."""
        if at in self.away or at not in self.stewards:
            return False
        self.away.add(at)
        return True

    def note_steward(self, at, what):
        """By its name, as its feed has it, and by its address, as resolvers and agents know it."""
        for name in (f"ns{at + 1}", self.fleet.stewards[at][0]):
            self.record.row("steward", self.loop.time(), name, what)

    async def steward_frozen(self, trouble):
        at = trouble["steward"]
        if not self.take_steward(at):
            return
        child = self.stewards[at]
        child.send_signal(signal.SIGSTOP)
        self.note_steward(at, "frozen")
        await asyncio.sleep(trouble["length"])
        child.send_signal(signal.SIGCONT)
        self.note_steward(at, "woken")
        self.away.discard(at)

    async def stewards_struck(self, trouble):
        """Killed and frozen at random; one at least is left alone."""
        until, running = self.loop.time() + trouble["length"], []
        while self.loop.time() < until:
            free = [at for at in self.stewards if at not in self.away]
            if len(free) > 1:
                strike = {
                    "steward": self.chance.choice(free),
                    "length": self.chance.uniform(0.5, trouble["most"]),
                }
                case = (
                    self.steward_frozen
                    if self.chance.random() < trouble["freezes"]
                    else self.steward_killed
                )
                running.append(self.loop.create_task(case(strike)))
            await asyncio.sleep(trouble["every"] * self.chance.uniform(0.3, 1.7))
        await asyncio.gather(*running)

    async def link_cut(self, trouble):
        """Loopback has no links: only the lab plays these."""
        raise RuntimeError(f"{trouble['verb']}: expected a day in the lab (peatlead lab run)")

    link_slow = datagrams_lost = link_cut

    async def rollback(self, trouble):
        """By hand, on any steward that answers; it ends by time, or by hand on another one."""
        whom = ("zone", trouble["zone"]) if trouble["zone"] else ("share", str(trouble["share"]))
        asked = {
            "ask": "tables",
            "do": "pin",
            "args": {
                "whom": whom[0],
                "which": whom[1],
                "target": "back",
                "to": str(trouble["back"]),
                "over": trouble["over"],
                "length": trouble["length"],
                "by": "the day",
            },
        }
        for at in range(len(self.stewards)):
            steward = (trouble["steward"] + at) % len(self.stewards)
            if steward in self.away:
                continue
            address, port = self.fleet.stewards[steward]
            try:
                told = await ask_once((address, port + 1), asked)
            except (OSError, asyncio.TimeoutError):
                continue
            pin = told.get("pin", told.get("error", ""))
            self.record.row("pin", self.loop.time(), f"ns{steward + 1}", pin, "pinned")
            return

    async def fleet_drained(self, trouble):
        address, port = self.fleet.stewards[trouble["steward"]]
        self.note_steward(trouble["steward"], "draining")
        await ask_once((address, port + 1), {"ask": "fleet", "do": "drain"})
