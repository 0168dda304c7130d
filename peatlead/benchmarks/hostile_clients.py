"""Measures a platform controller's memory and answers beside many hostile clients.

    python -m peatlead.benchmarks.hostile_clients [COURSE ...]

Each course starts a controller process on loopback with a memory limit and opens hostile
connections to it. Printed for each course: the most memory of the process; the slowest answer to a
liveness check, which a process of its own sends on a new connection every 50 ms; and how many
honest proxies, whose messages arrive a few bytes at a time, kept their streams.
"""

import asyncio
import contextlib
import json
import os
import subprocess
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from pathlib import Path
from typing import Any, NamedTuple

from ..net.streams import with_timeout
from ..scenario.runner import free_port

MEMORY_LIMIT = 192  # MiB
SOCKETS = 1024  # descriptors of the controller
PROXIES = 700
HONEST_PROXIES = 10
DURATION = 8.0  # seconds of a course
CHECK_INTERVAL = 0.05  # seconds between two liveness checks
CHECK_TIMEOUT = 20.0  # seconds
START_TIMEOUT = 15.0  # seconds
PIECE_INTERVAL = 0.1  # seconds between two pieces of an honest proxy's message
PIECE_BYTES = 16
KIBIBYTE = 1 << 10
MEBIBYTE = 1 << 20
LIVENESS_CHECK = b'{"msg":"probe"}\n'
PROBER_ARGUMENT = "--probe"  # runs the process that sends liveness checks

Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]
Attack = Callable[[int], Awaitable[None]]  # takes the controller's port


def settings() -> dict[str, Any]:
    """Return the settings of a small deployment."""
    return {
        "balancers": 1,
        "rank": 0,
        "locality": 0,
        "zones": ["z0"],
        "kinds": ["m"],
        "classes": [
            {
                "name": "read",
                "targetUs": 800_000,
                "deadlineUs": 2_500_000,
                "repeat": "repeatable",
                "worth": 2.0,
            }
        ],
        "familyInfo": {
            "dataPlaneSize": PROXIES,
            "channelRate": 6000.0,
            "perMessage": 6.0,
            "pendingMax": 9000.0,
            "emptyForUs": 3_000_000,
            "lateMostUs": 1_000_000,
        },
        "limits": {"probing": False},
        "obligations": {"drainGraceUs": 3_000_000, "warmAfterUs": 15_000_000},
    }


def endpoint_list() -> dict[str, Any]:
    """Return the endpoint list that the controller remembers."""
    entry = {"zone": "z0", "machineType": "m", "cell": 0, "lifecycle": "active", "weight": 1.0}
    instances = [
        {"instanceId": f"s-{number}", "hostPort": "127.0.0.1:9", "startedAtMs": 0, **entry}
        for number in range(20)
    ]
    return {"generation": 1, "reset": True, "instances": instances}


class Controller:
    """A controller process."""

    def __init__(self, folder: str) -> None:
        self.port = free_port()
        address = f"127.0.0.1:{self.port}"
        configuration = {
            "name": "n0",
            "listen": address,
            "discovery": f"127.0.0.1:{free_port()}",
            "limits": {"cores": 1.0, "memory_mb": MEMORY_LIMIT, "sockets": SOCKETS},
            "known": endpoint_list(),
            "settings": settings(),
        }
        path = Path(folder) / "controller.json"
        path.write_text(json.dumps(configuration), encoding="utf-8")
        self.process = subprocess.Popen(
            [sys.executable, "-m", "peatlead.platform"],
            env={**os.environ, "NODE_CONFIG": str(path)},
            stderr=subprocess.DEVNULL,
        )

    async def wait_until_ready(self) -> None:
        """Wait for the first answer. Raises TimeoutError."""
        deadline = time.monotonic() + START_TIMEOUT
        while time.monotonic() < deadline:
            with contextlib.suppress(OSError):
                if await check_liveness(self.port):
                    return
            await asyncio.sleep(CHECK_INTERVAL)
        raise TimeoutError("the controller did not answer")

    def most_memory(self) -> float:
        """Return the largest resident size so far, in MiB."""
        status = Path(f"/proc/{self.process.pid}/status").read_text(encoding="ascii")
        [line] = [line for line in status.splitlines() if line.startswith("VmHWM:")]
        return int(line.split()[1]) / KIBIBYTE

    def stop(self) -> None:
        """End the process."""
        self.process.kill()
        self.process.wait()


async def check_liveness(port: int) -> bool:
    """Send a liveness check on a new connection; return whether it was answered."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(LIVENESS_CHECK)
        return bool(await with_timeout(CHECK_TIMEOUT, reader.readline()))
    finally:
        writer.close()


async def run_prober(port: int) -> None:
    """Send liveness checks until standard input ends, and print the longest delay in seconds."""
    loop = asyncio.get_running_loop()
    stopped = loop.run_in_executor(None, sys.stdin.read)
    slowest = 0.0
    while not stopped.done():
        started_at = loop.time()
        answered = False
        with contextlib.suppress(OSError, TimeoutError):
            answered = await check_liveness(port)
        slowest = max(slowest, loop.time() - started_at if answered else CHECK_TIMEOUT)
        await asyncio.sleep(CHECK_INTERVAL)
    print(slowest)


@contextlib.contextmanager
def prober(port: int) -> Iterator[Callable[[], float]]:
    """Run the prober's process; the function stops it and returns the slowest answer."""
    process = subprocess.Popen(
        [sys.executable, "-m", __spec__.name, PROBER_ARGUMENT, str(port)],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    try:
        yield lambda: float(process.communicate(timeout=2 * CHECK_TIMEOUT)[0])
    finally:
        process.kill()
        process.wait()


class HonestProxy:
    """A proxy on a slow link: its messages arrive in small pieces."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.connected = False

    async def run(self, port: int) -> None:
        """Join, and send reports until cancelled or cut off."""
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        self.connected = True
        reading = asyncio.ensure_future(self.read(reader))
        try:
            await self.send(writer, msg="hello", locality="z0", w=1.0, cold=False)
            while self.connected:
                await self.send(writer, msg="demand", route="read", total=5, interval=1000.0)
        except OSError:
            self.connected = False
        finally:
            reading.cancel()
            writer.close()

    async def read(self, reader: asyncio.StreamReader) -> None:
        """Read until the stream ends."""
        with contextlib.suppress(OSError):
            while await reader.read(KIBIBYTE):
                await asyncio.sleep(PIECE_INTERVAL)
        self.connected = False

    async def send(self, writer: asyncio.StreamWriter, **fields: Any) -> None:
        """Send a message in pieces."""
        data = json.dumps({**fields, "node": self.number}).encode() + b"\n"
        for start in range(0, len(data), PIECE_BYTES):
            writer.write(data[start : start + PIECE_BYTES])
            await writer.drain()
            await asyncio.sleep(PIECE_INTERVAL)


@contextlib.asynccontextmanager
async def honest_proxies(port: int) -> AsyncIterator[Callable[[], int]]:
    """Run honest proxies; the function returns how many are connected."""
    proxies = [HonestProxy(PROXIES - 1 - number) for number in range(HONEST_PROXIES)]
    tasks = [asyncio.ensure_future(proxy.run(port)) for proxy in proxies]
    await asyncio.sleep(1.0)
    try:
        yield lambda: sum(proxy.connected for proxy in proxies)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


# Attacks.


async def open_hostile(port: int, hello: dict[str, Any]) -> Connection:
    """Open a connection that joins."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=KIBIBYTE)
    writer.write(json.dumps(hello).encode() + b"\n")
    return reader, writer


def proxy_hello(number: int) -> dict[str, Any]:
    """Return the first message of a proxy."""
    return {"msg": "hello", "node": number, "locality": "z0", "w": 1.0, "cold": True}


async def send_paced(writer: asyncio.StreamWriter, data: bytes, size: int, pause: float) -> None:
    """Send data in pieces until it is sent or the connection is cut."""
    with contextlib.suppress(OSError):
        for start in range(0, len(data), size):
            writer.write(data[start : start + size])
            await writer.drain()
            await asyncio.sleep(pause)


async def attack_with(
    port: int, count: int, hello: Callable[[int], dict[str, Any]], data: bytes, **pace: Any
) -> None:
    """Send the same data on many connections at a pace."""

    async def attack(number: int) -> None:
        with contextlib.suppress(OSError):
            _, writer = await open_hostile(port, hello(number))
            try:
                await send_paced(writer, data, **pace)
                await asyncio.sleep(DURATION)
            finally:
                writer.transport.abort()

    await asyncio.gather(*[attack(number) for number in range(count)])


async def stop_within_message(port: int) -> None:
    """600 proxies stop after 1,000 KiB of a message."""
    data = b'{"msg":"' + b"x" * (1000 * KIBIBYTE)
    await attack_with(port, 600, proxy_hello, data, size=64 * KIBIBYTE, pause=0.01)


async def send_slowly(port: int) -> None:
    """600 proxies send a quarter of 1 MiB of a message, 1 KiB each 20 ms."""
    data = b'{"msg":"' + b"x" * (256 * KIBIBYTE)
    await attack_with(port, 600, proxy_hello, data, size=KIBIBYTE, pause=0.02)


async def send_many_fields(port: int) -> None:
    """300 collectors each send one message of 60,000 short fields, 64 KiB each 50 ms."""
    fields = ",".join(f'"{number:x}":1' for number in range(60_000))
    message = f'{{"msg":"outcomes","locality":"z0","endpoint":"s-1","metrics":{{{fields}}}}}\n'

    def hello(_: int) -> dict[str, Any]:
        return {"msg": "agent", "locality": "z0"}

    await attack_with(port, 300, hello, message.encode(), size=64 * KIBIBYTE, pause=0.05)


async def read_nothing(port: int) -> None:
    """600 proxies send 40,000 liveness checks each, and read nothing."""
    data = LIVENESS_CHECK * 40_000
    await attack_with(port, 600, proxy_hello, data, size=64 * KIBIBYTE, pause=0.0)


async def send_reports(port: int) -> None:
    """One collector sends reports on ever new endpoints at full speed."""
    _, writer = await open_hostile(port, {"msg": "agent", "locality": "z0"})
    stopped_at = time.monotonic() + DURATION
    figures = '"total":5,"errors":1,"rtt":10.0,"interval":1000.0'
    first = 0
    with contextlib.suppress(OSError):
        while time.monotonic() < stopped_at:
            lines = [
                f'{{"msg":"outcomes","locality":"z0","endpoint":"new-{number}",{figures}}}\n'
                for number in range(first, first + 1000)
            ]
            first += len(lines)
            writer.write("".join(lines).encode())
            await writer.drain()


ATTACKS: dict[str, Attack] = {
    "stop_within_message": stop_within_message,
    "send_slowly": send_slowly,
    "send_many_fields": send_many_fields,
    "read_nothing": read_nothing,
    "send_reports": send_reports,
}


class Result(NamedTuple):
    """The figures of one course."""

    memory: float  # MiB, the most so far
    slowest_answer: float  # seconds
    honest_proxies: int  # that kept their streams


async def measure(attack: Attack, duration: float = DURATION) -> Result:
    """Run a controller beside an attack for some seconds, and return its figures."""
    with tempfile.TemporaryDirectory() as folder:
        controller = Controller(folder)
        try:
            await controller.wait_until_ready()
            async with honest_proxies(controller.port) as count_connected:
                with prober(controller.port) as stop_prober:
                    attacking = asyncio.ensure_future(attack(controller.port))
                    await asyncio.sleep(duration)
                    connected = count_connected()
                    attacking.cancel()
                    await asyncio.gather(attacking, return_exceptions=True)
                    loop = asyncio.get_running_loop()
                    slowest = await loop.run_in_executor(None, stop_prober)
            return Result(controller.most_memory(), slowest, connected)
        finally:
            controller.stop()


def main() -> None:
    """Play the courses of the command line, or all, and print their figures."""
    if sys.argv[1:2] == [PROBER_ARGUMENT]:
        asyncio.run(run_prober(int(sys.argv[2])))
        return
    for name in sys.argv[1:] or ATTACKS:
        result = asyncio.run(measure(ATTACKS[name]))
        print(
            f"{name}: {result.memory:.0f} MiB of {MEMORY_LIMIT}, slowest answer "
            f"{result.slowest_answer:.2f} s, {result.honest_proxies} of {HONEST_PROXIES} honest "
            "proxies connected",
            flush=True,
        )


if __name__ == "__main__":
    main()
