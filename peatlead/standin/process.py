"""A process of stand-ins, controlled by commands in JSON datagrams.

`python -m peatlead.standin.process hosts|desks|agents ADDRESS PORT SEED FOLDER/NAME.rec`

A command is `{"number": n, "do": ..., ...}`. The reply, sent when the command is done, is
`{"number": n, "error": ""}`; if the command failed, `error` describes the exception. The client
repeats a command until it gets the reply, and the server recognizes repeats by their number.
"""

import asyncio
import signal
import sys
import traceback
from collections.abc import Callable
from random import Random
from typing import Any, Protocol, cast

import msgspec

from ..invariants.record import Recorder
from . import dns_clients, hosts, xds_proxies

FLUSH_INTERVAL = 0.5  # seconds between writes of the recording
REPEAT_INTERVAL = 0.3  # seconds until an unanswered command is repeated
COMMAND_TIMEOUT = 20.0  # seconds until an unanswered command fails

Command = dict[str, Any]
Address = tuple[str, int]


class CommandFailedError(RuntimeError):
    """A stand-in process failed to execute a command."""


class Group(Protocol):
    """The stand-ins of one process."""

    async def execute(self, command: Command, /) -> None:
        """Execute a command."""


STANDIN_GROUPS: dict[str, Callable[[Random, Recorder], Group]] = {
    "hosts": hosts.EndpointGroup,
    "desks": dns_clients.DnsClientGroup,
    "agents": xds_proxies.ProxyGroup,
}


class Reply(msgspec.Struct):
    """The reply to a command; `error` is empty if the command succeeded."""

    number: int
    error: str


class CommandServer(asyncio.DatagramProtocol):
    """Executes each command once; for a repeat of a finished command it sends the reply again."""

    transport: asyncio.DatagramTransport

    def __init__(self, group: Group) -> None:
        self.group = group
        self.replies: dict[int, bytes] = {}  # by command number; empty while it is executed
        self.tasks: set[asyncio.Task[None]] = set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the socket's transport."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, peer: Any) -> None:
        """Start a command, or send the reply of a finished command again."""
        command = msgspec.json.decode(data)
        number = command["number"]
        if number in self.replies:
            if self.replies[number]:
                self.transport.sendto(self.replies[number], peer)
            return
        self.replies[number] = b""
        task = asyncio.get_running_loop().create_task(self._run(command, peer))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _run(self, command: Command, peer: Any) -> None:
        error = ""
        try:
            await self.group.execute(command)
        except Exception as exception:  # the client raises CommandFailedError
            traceback.print_exc()
            error = repr(exception)
        number = command["number"]
        self.replies[number] = msgspec.json.encode(Reply(number, error))
        self.transport.sendto(self.replies[number], peer)


class CommandClient(asyncio.DatagramProtocol):
    """Sends commands to stand-in processes and repeats each until its reply arrives."""

    transport: asyncio.DatagramTransport

    def __init__(self) -> None:
        self.pending_replies: dict[int, asyncio.Future[str]] = {}  # error by command number
        self.last_number = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the socket's transport."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, peer: Any) -> None:
        """Pass a reply to the `execute` call that waits for it."""
        reply = msgspec.json.decode(data, type=Reply)
        pending = self.pending_replies.get(reply.number)
        if pending is not None and not pending.done():
            pending.set_result(reply.error)

    async def execute(
        self, peer: Address, command: Command, timeout: float = COMMAND_TIMEOUT
    ) -> None:
        """Send a command to a process and wait until it is executed.

        Raises CommandFailedError with the error of the reply, or TimeoutError after `timeout`
        seconds without a reply.
        """
        loop = asyncio.get_running_loop()
        self.last_number += 1
        number = self.last_number
        deadline = loop.time() + timeout
        data = msgspec.json.encode({**command, "number": number})
        reply = self.pending_replies[number] = loop.create_future()
        try:
            while loop.time() < deadline:
                self.transport.sendto(data, peer)
                await asyncio.wait([reply], timeout=REPEAT_INTERVAL)
                if reply.done():
                    break
            else:
                raise TimeoutError(f"command {command['do']!r}: no reply within {timeout} s")
        finally:
            del self.pending_replies[number]
        error = reply.result()
        if error:
            raise CommandFailedError(f"{command['do']}: {error}")


async def serve(kind: str, address: str, port: int, seed: int, path: str) -> None:
    """Run stand-ins of a kind (a key of `STANDIN_GROUPS`) until SIGTERM and record to `path`."""
    loop = asyncio.get_running_loop()
    recorder = Recorder(path)
    stopped = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    group = STANDIN_GROUPS[kind](Random(seed), recorder)
    await loop.create_datagram_endpoint(lambda: CommandServer(group), local_addr=(address, port))
    stop = loop.create_task(stopped.wait())
    while not stop.done():
        await asyncio.wait([stop], timeout=FLUSH_INTERVAL)
        recorder.flush()
    recorder.close()


if __name__ == "__main__":
    asyncio.run(serve(sys.argv[1], sys.argv[2], int(sys.argv[3]), int(sys.argv[4]), sys.argv[5]))
