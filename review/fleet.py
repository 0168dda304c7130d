"""Several stewards: each with its own agent of discovery, its own channel and its own proxies.

A proxy is joined to one steward at a time. When its stream breaks, it keeps its tables and what it
shuts out, and dials again, another steward if the last one refuses. The hosts are not started as
servers: the settings permit no probes, and requests are handed over inside this process.
"""

import asyncio
import copy
import json
from pathlib import Path
from typing import Any, Optional

import rig

REPORT_INTERVAL = 1.0  # seconds


class Agent(rig.Discovery):
    """Discovery's agent on the machine of one steward; notes when it was told that a host leaves.

    `not_ready_since` has the hosts that the steward was told to be leaving or gone.
    """

    def __init__(self, record: rig.Record) -> None:
        super().__init__(record)
        self.not_ready_since: dict[str, float] = {}

    def note_told(self, answer: rig.Message) -> None:
        """Note what the steward was told, and when."""
        super().note_told(answer)
        for entry in answer["instances"]:
            if entry["lifecycle"] == "active":
                self.not_ready_since.pop(entry["instanceId"], None)
            else:
                self.not_ready_since.setdefault(entry["instanceId"], self.record.now())


class Member(rig.Steward):
    """One of several stewards."""

    def __init__(self, day: "FleetDay", number: int) -> None:
        own_settings = copy.deepcopy(day.settings)
        own_settings["rank"] = number
        own_settings["locality"] = number % len(own_settings["zones"])
        super().__init__(day, Agent(day.record), f"n{number}", own_settings)
        self.number = number
        self.zone: str = own_settings["zones"][own_settings["locality"]]
        self.channel = rig.Channel(day)
        self.killed = False

    @property
    def agent(self) -> Agent:
        """The agent of discovery on this steward's machine."""
        assert isinstance(self.discovery, Agent)
        return self.discovery


class FleetProxy(rig.Proxy):
    """A proxy that may join any of the stewards."""

    day: "FleetDay"

    def __init__(self, day: "FleetDay", number: int, zone: str, home: Member) -> None:
        super().__init__(day, number, zone)
        self.member = home
        self.usage_sent_at = day.now()
        in_zone = [host.name for host in day.hosts.values() if host.zone == zone]
        count = min(len(in_zone), day.settings["familyInfo"]["standing"])
        standing = day.random.sample(in_zone, count)
        for table in self.tables.values():
            table.lines = dict.fromkeys(standing, 1.0)

    def pick(self, class_name: str) -> Optional[str]:
        """Return the next host evenly by weight, or None; each proxy begins at another place."""
        credit = self.tables[class_name].credit
        for host in self.tables[class_name].lines:
            if host not in credit:
                credit[host] = self.day.random.random()
        return super().pick(class_name)

    async def run(self) -> None:
        """Keep a stream to a steward, to another one when the last one is gone."""
        while True:
            if self.member.killed:
                self.member = self.day.random.choice(
                    [member for member in self.day.members if not member.killed]
                )
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.member.port)
            except OSError:
                await asyncio.sleep(0.2)
                continue
            await self.serve_stream(reader, writer)
            await asyncio.sleep(self.day.random.uniform(*self.day.redial))


class FleetDay(rig.Day):
    """A day with several stewards. A case overrides `check` or `send_request` as usual."""

    proxies: list[FleetProxy]  # type: ignore[assignment]

    def __init__(self, folder: Path, day_settings: rig.Message, seed: int = 1) -> None:
        super().__init__(folder, day_settings, seed)
        self.members: list[Member] = []
        # By steward, zone and host: what proxies met since the last report, and since when.
        self.tallies: dict[tuple[int, str, str], rig.Outcomes] = {}
        self.tallied_since: dict[tuple[int, str, str], float] = {}

    def channel_of(self, proxy: rig.Proxy) -> rig.Channel:
        """Return the channel of the proxy's steward."""
        assert isinstance(proxy, FleetProxy)
        return proxy.member.channel

    def told_to(self, proxy: rig.Proxy) -> dict[str, rig.Message]:
        """Return nothing: cases with several stewards look at the agents themselves."""
        return {}

    async def play_in_loop(self, script: Any, length: float) -> int:
        """Start everything, run the script, and end everything."""
        self.loop = asyncio.get_running_loop()
        self.handle_signals()
        try:
            for member in self.members:
                await member.discovery.start()
                member.discovery.record = self.record
                member.agent.update(*[host.entry("active") for host in self.hosts.values()])
            await asyncio.gather(*[member.start() for member in self.members])
            for proxy in self.proxies:
                self.spawn(proxy.run())
            for member in self.members:
                self.spawn(self.run_reports(member))
            self.spawn(self.run_checks())
            script_task = self.loop.create_task(script())
            while self.now() < length and not (self.ends_with_breach and self.breaches):
                await asyncio.sleep(0.1)
                if script_task.done():
                    script_task.result()  # raises the script's exception, if there was one
            script_task.cancel()
            for member in self.members:
                if not member.killed and member.exit_code() is not None:
                    self.errors.append(f"{member.name} has ended with {member.exit_code()}")
        finally:
            for member in self.members:
                member.kill()
            self.loop.set_exception_handler(lambda *_: None)  # streams that end with the day
            for task in self.tasks:
                task.cancel()
        return self.verdict()

    def update_lists(self, entries: list[rig.Message]) -> None:
        """Change the list of hosts at all agents."""
        for member in self.members:
            member.agent.update(*entries)

    def kill_member(self, member: Member) -> None:
        """Kill a steward outright."""
        member.killed = True
        member.kill()

    async def restart_member(self, member: Member) -> None:
        """Start a killed steward again, under its name and address, from nothing."""
        member.channel.clear()
        await member.start()
        member.killed = False
        self.spawn(self.run_reports(member))

    def finish_request(
        self, proxy: rig.Proxy, class_name: str, host: rig.Host, latency: Optional[float]
    ) -> None:
        """Count the answer of a request, or its failure if `latency` is None."""
        assert isinstance(proxy, FleetProxy)
        key = (proxy.member.number, proxy.zone, host.name)
        if key not in self.tallies:
            self.tallies[key], self.tallied_since[key] = rig.Outcomes(), self.now()
        outcomes = self.tallies[key]
        outcomes.tries += 1
        proxy.note_result(host.name, latency is not None)
        result = "not accepted" if latency is None else f"run and answered after {latency:.3f} s"
        self.record.write(
            f"request {class_name} from proxy {proxy.number} to {host.name}: {result}"
        )
        if latency is None:
            self.failed += 1
            outcomes.errors += 1
            proxy.counts[class_name][1] += 1
        else:
            self.answered += 1
            outcomes.latency += latency

    # Reports.

    async def run_reports(self, member: Member) -> None:
        """Send a steward the reports of its proxies, at most as many lines as the settings say.

        Half of the lines are reports on usage. What is not sent accumulates and follows, the oldest
        first.
        """
        most = round(self.settings["familyInfo"]["hearsPerS"] * REPORT_INTERVAL)
        writers: dict[str, asyncio.StreamWriter] = {}
        while not member.killed:
            await asyncio.sleep(REPORT_INTERVAL)
            usage_count = self.send_usage(member, most // 2)
            lines: dict[str, list[rig.Message]] = {}
            for key in [key for key in self.tallies if key[0] == member.number][
                : most - usage_count
            ]:
                outcomes, since = self.tallies.pop(key), self.tallied_since.pop(key)
                message = report(key[1], key[2], outcomes, self.now() - since)
                lines.setdefault(key[1], []).append(message)
            try:
                for zone in self.settings["zones"]:
                    if zone not in writers:
                        _, writers[zone] = await asyncio.open_connection("127.0.0.1", member.port)
                        hello = {"msg": "agent", "locality": zone}
                        writers[zone].write(json.dumps(hello).encode() + b"\n")
                    data = [json.dumps(line).encode() + b"\n" for line in lines.get(zone, ())]
                    writers[zone].write(b"".join(data))
                    await writers[zone].drain()
            except OSError:
                writers.clear()
        for writer in writers.values():
            writer.close()

    def send_usage(self, member: Member, most: int) -> int:
        """Send reports on usage of a steward's proxies, and return the number of lines."""
        count = 0
        joined = [
            proxy
            for proxy in self.proxies
            if proxy.member is member and proxy.joined_at is not None
        ]
        for proxy in sorted(joined, key=lambda proxy: proxy.usage_sent_at):
            if count + len(self.class_names) > most:
                break
            interval = 1000 * (self.now() - proxy.usage_sent_at)
            proxy.usage_sent_at = self.now()
            for message in self.take_demand(proxy):
                proxy.send(**{**message, "interval": interval})
                count += 1
        return count


def report(zone: str, host: str, outcomes: rig.Outcomes, seconds: float) -> rig.Message:
    """Return the message with what a zone's proxies met at a host within some seconds."""
    good = outcomes.tries - outcomes.errors
    message: rig.Message = {
        "msg": "outcomes",
        "locality": zone,
        "endpoint": host,
        "total": outcomes.tries,
        "errors": outcomes.errors,
        "rtt": 1000 * outcomes.latency / good if good else 0.0,
        "interval": 1000 * max(REPORT_INTERVAL, seconds),
    }
    if good:
        message["metrics"] = {"busy": 0.4, "rif": 1}
    return message
