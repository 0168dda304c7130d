"""A listener that backs off briefly when accept(2) fails for lack of descriptors or memory.

asyncio's own server stops accepting for one second after each such error. That is too long when
many clients reconnect at the same time.
"""

import asyncio
import errno
import socket
from collections.abc import Callable

SHORTAGE_ERRNOS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
MIN_PAUSE = 0.01  # seconds; the pause doubles with each further error of the same shortage
MAX_PAUSE = 0.5  # seconds


class Listener:
    """Accepts connections on a non-blocking listening socket.

    `create_protocol()` returns the protocol of each connection. At most `max_accepts_per_turn`
    connections are accepted in one turn of the event loop. `log(event, **fields)` is called at the
    start and at the end of a shortage.
    """

    def __init__(
        self,
        listening_socket: socket.socket,
        create_protocol: Callable[[], asyncio.BaseProtocol],
        max_accepts_per_turn: int,
        log: Callable[..., object],
    ) -> None:
        self.listening_socket = listening_socket
        self.create_protocol = create_protocol
        self.max_accepts_per_turn = max_accepts_per_turn
        self.log = log
        self.loop = asyncio.get_running_loop()
        self.next_pause = MIN_PAUSE  # seconds; the pause after the next error
        self.resume_timer: asyncio.TimerHandle | None = None  # ends the pause
        self.connect_tasks: set[asyncio.Task[None]] = set()
        self.closed = False
        self.loop.add_reader(listening_socket, self.accept_connections)

    def close(self) -> None:
        """Close the listening socket; accepted connections stay open."""
        if self.closed:
            return
        self.closed = True
        if self.resume_timer is not None:
            self.resume_timer.cancel()
        self.loop.remove_reader(self.listening_socket)
        self.listening_socket.close()

    def accept_connections(self) -> None:
        """Accept waiting connections, at most `max_accepts_per_turn`."""
        for _ in range(self.max_accepts_per_turn):
            try:
                connection, _ = self.listening_socket.accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                if error.errno in SHORTAGE_ERRNOS:
                    self.pause_accepting(error)
                    return
                continue  # a network error of this connection only (accept(2)); accept the next
            self.start_protocol(connection)

    def start_protocol(self, connection: socket.socket) -> None:
        """Start a protocol for an accepted connection, and end the shortage if there was one."""
        if self.next_pause > MIN_PAUSE:
            self.log("accepting connections resumed")
            self.next_pause = MIN_PAUSE
        connection.setblocking(False)
        task = self.loop.create_task(self.connect_protocol(connection))
        self.connect_tasks.add(task)
        task.add_done_callback(self.connect_tasks.discard)

    def pause_accepting(self, error: OSError) -> None:
        """Stop accepting for `next_pause` seconds, and double `next_pause` up to `MAX_PAUSE`."""
        if self.next_pause == MIN_PAUSE:
            self.log("accepting connections paused", why=error.strerror)
        self.loop.remove_reader(self.listening_socket)
        self.resume_timer = self.loop.call_later(self.next_pause, self.resume_accepting)
        self.next_pause = min(MAX_PAUSE, 2 * self.next_pause)

    def resume_accepting(self) -> None:
        """Start accepting again after a pause."""
        self.resume_timer = None
        self.loop.add_reader(self.listening_socket, self.accept_connections)

    async def connect_protocol(self, connection: socket.socket) -> None:
        """Create the transport and protocol of an accepted connection; close it if that fails."""
        try:
            await self.loop.connect_accepted_socket(self.create_protocol, connection)
        except OSError:
            connection.close()
