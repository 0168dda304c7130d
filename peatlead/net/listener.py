"""A listening socket that recovers from accept(2) errors without a noticeable pause.

asyncio's own server stops accepting for a second at each shortage of descriptors or memory, however
short: clients that reconnect all at once would wait a second for each such error.
"""

import asyncio
import errno
import socket
from collections.abc import Callable

SHORTAGE_ERRNOS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
PAUSE = 0.01  # seconds after the first error of a shortage, doubled while it lasts
PAUSE_MOST = 0.5  # seconds


class Listener:
    """Accepts connections on a non-blocking listening socket.

    Each connection gets a protocol of `make()`. At most `at_once` connections are accepted in one
    turn of the event loop. `log(event, **fields)` is called at the start and end of a shortage.
    """

    def __init__(
        self,
        listener: socket.socket,
        make: Callable[[], asyncio.BaseProtocol],
        at_once: int,
        log: Callable[..., object],
    ) -> None:
        self.listener = listener
        self.make = make
        self.at_once = at_once
        self.log = log
        self.loop = asyncio.get_running_loop()
        self.pause = PAUSE  # seconds that the next error of a shortage pauses for
        self.timer: asyncio.TimerHandle | None = None  # ends the pause
        self.tasks: set[asyncio.Task[None]] = set()
        self.closed = False
        self.loop.add_reader(listener, self.accept_ready)

    def close(self) -> None:
        """Accept no further connection; those already accepted are not affected."""
        if self.closed:
            return
        self.closed = True
        if self.timer is not None:
            self.timer.cancel()
        self.loop.remove_reader(self.listener)
        self.listener.close()

    def accept_ready(self) -> None:
        """Accept the connections that are waiting, up to `at_once`."""
        for _ in range(self.at_once):
            try:
                connection, _ = self.listener.accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                if error.errno in SHORTAGE_ERRNOS:
                    self.pause_accepting(error)
                    return
                continue  # Linux reports this connection's own error here; others wait behind it
            self.start_protocol(connection)

    def start_protocol(self, connection: socket.socket) -> None:
        """Hand an accepted connection to a new protocol; a shortage is over."""
        if self.pause > PAUSE:
            self.log("accept goes on")
            self.pause = PAUSE
        connection.setblocking(False)
        task = self.loop.create_task(self.connect_protocol(connection))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def pause_accepting(self, error: OSError) -> None:
        """Stop accepting for a while, longer each time while the shortage lasts."""
        if self.pause == PAUSE:
            self.log("accept put off", why=error.strerror)
        self.loop.remove_reader(self.listener)
        self.timer = self.loop.call_later(self.pause, self.resume_accepting)
        self.pause = min(PAUSE_MOST, 2 * self.pause)

    def resume_accepting(self) -> None:
        """Accept again after a pause."""
        self.timer = None
        self.loop.add_reader(self.listener, self.accept_ready)

    async def connect_protocol(self, connection: socket.socket) -> None:
        """Create the protocol and transport of an accepted connection."""
        try:
            await self.loop.connect_accepted_socket(self.make, connection)
        except OSError:
            connection.close()
