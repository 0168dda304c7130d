"""Simulated datagram sockets."""

import asyncio
from typing import TYPE_CHECKING, Any

from .streams import Address

if TYPE_CHECKING:
    from .process_loop import ProcessLoop


class DatagramTransport(asyncio.DatagramTransport):
    """A bound datagram socket of a simulated process."""

    def __init__(
        self, loop: "ProcessLoop", address: Address, protocol: asyncio.DatagramProtocol
    ) -> None:
        super().__init__()
        self.loop = loop
        self.simulation = loop.simulation
        self.address = address
        self.protocol = protocol
        self.closed = False

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """See asyncio."""
        return self.address if name == "sockname" else default

    def is_closing(self) -> bool:
        """See asyncio."""
        return self.closed

    def sendto(self, data: bytes, address: Address) -> None:  # type: ignore[override]
        """See asyncio."""
        if self.closed or self.loop.dead:
            return
        links = self.simulation.links
        delay = links.delay(self.address[0], address[0])
        if delay is None or links.drop_datagram():
            return
        arrives_at = self.simulation.now + links.with_random_reordering(delay)
        self.simulation.schedule(arrives_at, None, self._arrive, bytes(data), address)

    def _arrive(self, data: bytes, address: Address) -> None:
        receiver = self.simulation.datagram_endpoints.get(address)
        if receiver is not None and not receiver.closed:
            receiver.loop.run_callback(receiver._deliver, (data, self.address))

    def _deliver(self, data: bytes, source: Address) -> None:
        if not self.closed:
            self.simulation.record("datagram", source, self.address, data)
            self.protocol.datagram_received(data, source)

    def close(self) -> None:
        """See asyncio."""
        self.kill()
        now = self.simulation.now
        self.simulation.schedule(now, self.loop, self.protocol.connection_lost, None)

    abort = close

    def kill(self) -> None:
        """Unbind the socket, as the kernel does when a process ends."""
        self.closed = True
        self.simulation.datagram_endpoints.pop(self.address, None)
