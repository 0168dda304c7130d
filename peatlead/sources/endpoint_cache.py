"""The last whole list, on disk."""

import os
from pathlib import Path
from typing import Optional

import msgspec
from blake3 import blake3

from .endpoint_list import EndpointListError, read_document

FORMAT = 1


class EndpointCache:
    """The last whole list on disk: a steward that starts while the list is away answers from it.

    One file: a line `peatlead-list FORMAT CHECKSUM`, then the document. Written beside and renamed, so that
    a crash leaves the old one; anything that does not check out is as if it were not there.
    """

    def __init__(self, path: Optional[str]):
        self.path = Path(path) if path else None

    def keep(self, listing):
        """Raises OSError; the caller says so and goes on."""
        if self.path is None:
            return
        body = msgspec.json.encode(
            {
                "version": listing.version,
                "written": listing.written,
                "scope": "whole",
                "hosts": listing.hosts,
            }
        )
        head = b"peatlead-list %d %s\n" % (FORMAT, blake3(body).hexdigest().encode())
        beside = self.path.with_name(self.path.name + ".new")
        self.path.parent.mkdir(parents=True, exist_ok=True)
        with open(beside, "wb") as file:
            file.write(head + body)
            file.flush()
            os.fsync(file.fileno())
        os.replace(beside, self.path)

    def recall(self):
        """(Listing or None, why not)."""
        if self.path is None:
            return None, "no folder is set"
        try:
            head, _, body = self.path.read_bytes().partition(b"\n")
        except OSError as problem:
            return None, problem.strerror
        words = head.split(b" ")
        if len(words) != 3 or words[0] != b"peatlead-list" or words[1] != b"%d" % FORMAT:
            return None, "not a list of this format"
        if words[2] != blake3(body).hexdigest().encode():
            return None, "the checksum does not fit: torn or changed"
        try:
            return read_document(body)._replace(scope="remembered"), ""
        except EndpointListError as problem:
            return None, str(problem)
