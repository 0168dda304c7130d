"""A source that polls an endpoint list in a JSON file.

The file may be incomplete while it is being written, so the source retries and reports the list as
unavailable only after a timeout. A list with an older version than the last one is ignored, since
the file may have been restored from a backup or copied late.
"""

import asyncio
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any, NamedTuple

from .endpoint_list import EndpointList, EndpointListError, parse_list_document


class FileStamp(NamedTuple):
    """File attributes that change when the file is written or replaced."""

    modified_ns: int
    size: int
    inode: int


class FileSource:
    """Polls the file and calls `on_list(endpoint_list)` with each new list.

    An unreadable file is reported once, as an empty list with the scope "unavailable". `settings`
    has the keys `path`, `every` (seconds between polls) and `patience` (seconds until an unreadable
    file is reported). `log(event, **fields)` is called for invalid
    entries, ignored lists and read errors.
    """

    def __init__(
        self,
        settings: Mapping[str, Any],
        on_list: Callable[[EndpointList], object],
        log: Callable[..., object],
    ) -> None:
        self.path = Path(settings["path"])
        self.poll_interval: float = settings["every"]  # seconds
        self.unavailable_timeout: float = settings["patience"]  # seconds
        self.on_list = on_list
        self.log = log
        self.last_stamp: FileStamp | None = None  # the file's stamp when the file was last read
        # Version of the last accepted list; None before the first list.
        self.version: int | None = None
        self.unreadable_since: float | None = None  # seconds on the loop's clock
        self.reported_unavailable = False
        self.task: asyncio.Task[None] | None = None

    def set_known_version(self, version: int) -> None:
        """Set the version of the cached list; older lists are ignored."""
        self.version = version

    def start(self) -> None:
        """Start polling."""
        self.task = asyncio.get_running_loop().create_task(self.poll(), name="node list")

    def stop(self) -> None:
        """Stop polling."""
        if self.task is not None:
            self.task.cancel()

    async def poll(self) -> None:
        """Check the file every `poll_interval` seconds until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            self.check_file(loop.time())
            await asyncio.sleep(self.poll_interval)

    def check_file(self, now: float) -> None:
        """Read the file if it has changed; `now` is in seconds."""
        try:
            status = self.path.stat()
            stamp = FileStamp(status.st_mtime_ns, status.st_size, status.st_ino)
            if stamp == self.last_stamp:
                return
            endpoint_list = parse_list_document(self.path.read_bytes())
        except (OSError, EndpointListError) as error:
            self.handle_read_error(now, error)
            return
        self.last_stamp = stamp
        self.unreadable_since = None
        self.reported_unavailable = False
        self.accept_list(endpoint_list)

    def fetch(self, now: float) -> None:
        """Read the file whether or not it has changed; `now` is in seconds."""
        self.last_stamp = None
        self.check_file(now)

    def accept_list(self, endpoint_list: EndpointList) -> None:
        """Call `on_list` with a list, unless its version is older than that of the last list."""
        for error in endpoint_list.entry_errors:
            self.log("list entry left out", path=str(self.path), why=error)
        if self.version is not None and endpoint_list.version < self.version:
            self.log(
                "older list ignored",
                path=str(self.path),
                version=endpoint_list.version,
                last=self.version,
            )
            return
        self.version = endpoint_list.version
        self.on_list(endpoint_list)

    def handle_read_error(self, now: float, error: Exception) -> None:
        """Report the list as unavailable, once, after `unavailable_timeout` seconds of errors."""
        if self.unreadable_since is None:
            self.unreadable_since = now
            self.log("list not readable", path=str(self.path), why=str(error))
        elif (
            now - self.unreadable_since >= self.unavailable_timeout
            and not self.reported_unavailable
        ):
            self.reported_unavailable = True
            self.on_list(EndpointList("unavailable", self.version or 0, 0.0, ()))
