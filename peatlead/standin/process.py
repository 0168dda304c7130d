"""One process of stand-ins, told what to do by datagrams of JSON, each answered when it was done.

`python -m peatlead.standin.process hosts|desks ADDRESS PORT SEED FOLDER/NAME.rec`
"""

import asyncio
import signal
import sys
import traceback
from random import Random

import msgspec

from ..invariants.record import Recorder
from . import dns_clients, hosts, xds_proxies

HALLS = {"hosts": hosts.Hall, "desks": dns_clients.Hall, "agents": xds_proxies.Hall}
FLUSH = 0.5


class Orders(asyncio.DatagramProtocol):
    """Takes {"number": n, "do": ...}, once each; a repeat of one that was done is only answered again."""

    def __init__(self, hall):
        self.hall, self.done, self.tasks = hall, {}, set()

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, peer):
        said = msgspec.json.decode(data)
        number = said["number"]
        if number in self.done:
            if self.done[number]:
                self.transport.sendto(self.done[number], peer)
            return
        self.done[number] = b""
        task = asyncio.get_running_loop().create_task(self.run(said, peer))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def run(self, said, peer):
        try:
            await self.hall.command(said)
            answer = {"number": said["number"], "error": ""}
        except (
            Exception
        ) as problem:  # told to the day, which ends: a stand-in that is wrong proves nothing
            traceback.print_exc()
            answer = {"number": said["number"], "error": repr(problem)}
        self.done[said["number"]] = msgspec.json.encode(answer)
        self.transport.sendto(self.done[said["number"]], peer)


class Teller(asyncio.DatagramProtocol):
    """The other side: `await tell(peer, {...})` repeats an order until it was answered."""

    AGAIN = 0.3

    def __init__(self):
        self.waiting, self.number = {}, 0

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, peer):
        said = msgspec.json.decode(data)
        waiter = self.waiting.get(said["number"])
        if waiter is not None and not waiter.done():
            waiter.set_result(said["error"])

    async def tell(self, peer, order, deadline=20.0):
        """Raises RuntimeError with the stand-in's own words, or asyncio.TimeoutError."""
        loop = asyncio.get_running_loop()
        self.number += 1
        number, until = self.number, loop.time() + deadline
        data = msgspec.json.encode({**order, "number": number})
        self.waiting[number] = loop.create_future()
        try:
            while loop.time() < until:
                self.transport.sendto(data, peer)
                done, _ = await asyncio.wait([self.waiting[number]], timeout=self.AGAIN)
                if done:
                    if self.waiting[number].result():
                        raise RuntimeError(f"{order['do']}: {self.waiting[number].result()}")
                    return
            raise asyncio.TimeoutError(f"{order['do']}: no answer")
        finally:
            del self.waiting[number]


async def serve(kind, address, port, seed, path):
    loop, record = asyncio.get_running_loop(), Recorder(path)
    over = loop.create_future()
    loop.add_signal_handler(signal.SIGTERM, lambda: over.done() or over.set_result(None))
    hall = HALLS[kind](Random(seed), record)
    await loop.create_datagram_endpoint(lambda: Orders(hall), local_addr=(address, port))
    while not over.done():
        await asyncio.wait([over], timeout=FLUSH)
        record.flush()
    record.close()


if __name__ == "__main__":
    asyncio.run(serve(sys.argv[1], sys.argv[2], int(sys.argv[3]), int(sys.argv[4]), sys.argv[5]))
