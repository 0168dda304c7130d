"""A listening socket whose accept may fail as accept(2) documents, without a pause that its peers would feel.

asyncio's own server stops accepting for a second at each shortage of descriptors or memory, however short: a herd
that dials again would wait a second for each such failure.
"""

import asyncio
import errno

SHORTAGES = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
PAUSE, PAUSE_MOST = 0.01, 0.5  # seconds after a shortage, doubled while it lasts, up to this


class Listener:
    """`listener`: a socket that listens and doesn't block; each connection gets a protocol of `make()`, `at_once` of
    them in one turn of the loop; `log(event, **fields)` tells of a shortage when it begins and when it ends."""

    def __init__(self, listener, make, at_once, log):
        self.listener, self.make, self.at_once, self.log = listener, make, at_once, log
        self.loop = asyncio.get_running_loop()
        self.pause, self.timer, self.tasks, self.closed = PAUSE, None, set(), False
        self.loop.add_reader(listener, self.accept)

    def close(self):
        """No further connection is taken; those that were taken go on."""
        if self.closed:
            return
        self.closed = True
        if self.timer is not None:
            self.timer.cancel()
        self.loop.remove_reader(self.listener)
        self.listener.close()

    def accept(self):
        for _ in range(self.at_once):
            try:
                connection, _ = self.listener.accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError as problem:
                if problem.errno in SHORTAGES:
                    self.put_off(problem)
                    return
                continue  # the end of that connection, which Linux tells here; others wait behind it
            if self.pause > PAUSE:
                self.log("accept goes on")
                self.pause = PAUSE
            connection.setblocking(False)
            task = self.loop.create_task(self.take(connection))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    def put_off(self, problem):
        if self.pause == PAUSE:
            self.log("accept put off", why=problem.strerror)
        self.loop.remove_reader(self.listener)
        self.timer = self.loop.call_later(self.pause, self.go_on)
        self.pause = min(PAUSE_MOST, 2 * self.pause)

    def go_on(self):
        self.timer = None
        self.loop.add_reader(self.listener, self.accept)

    async def take(self, connection):
        try:
            await self.loop.connect_accepted_socket(self.make, connection)
        except OSError:
            connection.close()
