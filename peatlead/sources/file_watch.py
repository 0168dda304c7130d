"""A JSON file that is looked at every so often.

Whoever writes it may be half done when we look: what cannot be read is tried again, and told as
"unavailable" only after `patience` seconds. An older version than the last is not taken: files are
restored from backups, and copies lag.
"""

import asyncio
from pathlib import Path

from .endpoint_list import EndpointList, EndpointListError, read_document


class FileSource:
    """`tell(Listing)` is called for each news; `log(event, **fields)` for what was not taken."""

    def __init__(self, settings, tell, log):
        self.path, self.every = Path(settings["path"]), settings["every"]
        self.patience, self.tell, self.log = settings["patience"], tell, log
        self.seen, self.version, self.bad_since, self.told_bad, self.task = (
            None,
            None,
            None,
            False,
            None,
        )

    def remember(self, version):
        """The version that was known before this start: an older one is not taken after it either."""
        self.version = version

    def start(self):
        self.task = asyncio.get_running_loop().create_task(self.watch(), name="node list")

    def stop(self):
        if self.task is not None:
            self.task.cancel()

    async def watch(self):
        loop = asyncio.get_running_loop()
        while True:
            self.look(loop.time())
            await asyncio.sleep(self.every)

    def look(self, now):
        try:
            status = self.path.stat()
            stamp = status.st_mtime_ns, status.st_size, status.st_ino
            if stamp == self.seen:
                return
            listing = read_document(self.path.read_bytes())
        except (OSError, EndpointListError) as problem:
            self.fail(now, problem)
            return
        self.seen, self.bad_since, self.told_bad = stamp, None, False
        self.take(listing)

    def fetch(self, now):
        """Look at the whole list again, changed or not."""
        self.seen = None
        self.look(now)

    def take(self, listing):
        for why in listing.bad:
            self.log("list entry left out", path=str(self.path), why=why)
        if self.version is not None and listing.version < self.version:
            self.log(
                "older list not taken",
                path=str(self.path),
                version=listing.version,
                last=self.version,
            )
            return
        self.version = listing.version
        self.tell(listing)

    def fail(self, now, problem):
        if self.bad_since is None:
            self.bad_since = now
            self.log("list not readable", path=str(self.path), why=str(problem))
        elif now - self.bad_since >= self.patience and not self.told_bad:
            self.told_bad = True
            self.tell(EndpointList("unavailable", self.version or 0, 0.0, ()))
