"""An endpoint list in a JSON file that is polled.

The file may be read while it is being written: reading is retried, and the list is reported as
unavailable only after `patience` seconds. A version older than the last is not taken: files are
restored from backups, and copies lag behind.
"""

import asyncio
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any, NamedTuple

from .endpoint_list import EndpointList, EndpointListError, read_document


class FileStamp(NamedTuple):
    """What changes with a file's content."""

    modified_ns: int
    size: int
    inode: int


class FileSource:
    """Polls the file and calls `on_update(EndpointList)` for each update.

    `settings`: path, every (seconds between polls) and patience (seconds). `log(event, **fields)`
    is called for what was not taken.
    """

    def __init__(
        self,
        settings: Mapping[str, Any],
        on_update: Callable[[EndpointList], object],
        log: Callable[..., object],
    ) -> None:
        self.path = Path(settings["path"])
        self.every: float = settings["every"]
        self.patience: float = settings["patience"]
        self.on_update = on_update
        self.log = log
        self.last_stamp: FileStamp | None = None  # of the last file that was read
        self.version: int | None = None  # of the last list that was taken
        self.unreadable_since: float | None = None
        self.reported_unavailable = False
        self.task: asyncio.Task[None] | None = None

    def set_known_version(self, version: int) -> None:
        """Set the version known from the cache: an older list is not taken."""
        self.version = version

    def start(self) -> None:
        """Start polling."""
        self.task = asyncio.get_running_loop().create_task(self.poll(), name="node list")

    def stop(self) -> None:
        """Stop polling."""
        if self.task is not None:
            self.task.cancel()

    async def poll(self) -> None:
        """Look at the file periodically, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            self.look(loop.time())
            await asyncio.sleep(self.every)

    def look(self, now: float) -> None:
        """Read the file if it has changed; `now` is in seconds."""
        try:
            status = self.path.stat()
            stamp = FileStamp(status.st_mtime_ns, status.st_size, status.st_ino)
            if stamp == self.last_stamp:
                return
            endpoint_list = read_document(self.path.read_bytes())
        except (OSError, EndpointListError) as error:
            self.handle_unreadable(now, error)
            return
        self.last_stamp = stamp
        self.unreadable_since = None
        self.reported_unavailable = False
        self.take(endpoint_list)

    def fetch(self, now: float) -> None:
        """Read the file again, changed or not."""
        self.last_stamp = None
        self.look(now)

    def take(self, endpoint_list: EndpointList) -> None:
        """Pass a list on unless it is older than the last."""
        for error in endpoint_list.entry_errors:
            self.log("list entry left out", path=str(self.path), why=error)
        if self.version is not None and endpoint_list.version < self.version:
            self.log(
                "older list not taken",
                path=str(self.path),
                version=endpoint_list.version,
                last=self.version,
            )
            return
        self.version = endpoint_list.version
        self.on_update(endpoint_list)

    def handle_unreadable(self, now: float, error: Exception) -> None:
        """Report the list as unavailable, once, when it was unreadable for too long."""
        if self.unreadable_since is None:
            self.unreadable_since = now
            self.log("list not readable", path=str(self.path), why=str(error))
        elif now - self.unreadable_since >= self.patience and not self.reported_unavailable:
            self.reported_unavailable = True
            self.on_update(EndpointList("unavailable", self.version or 0, 0.0, ()))
