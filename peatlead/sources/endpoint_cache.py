"""The last whole endpoint list, cached on disk."""

import os
from pathlib import Path

import msgspec
from blake3 import blake3

from .endpoint_list import EndpointList, EndpointListError, read_document

MAGIC = b"peatlead-list"
FORMAT = 1  # version of the file form


class EndpointCache:
    """Caches the last whole list, so that a controller can start while its source is unavailable.

    The file is a line `peatlead-list FORMAT CHECKSUM` followed by the document. It is replaced by
    renaming, so that a crash leaves the previous file. A file that fails its check is ignored.
    """

    def __init__(self, path: str | None) -> None:
        self.path = Path(path) if path else None  # None: nothing is cached

    def save(self, endpoint_list: EndpointList) -> None:
        """Replace the cached list; raises OSError."""
        if self.path is None:
            return
        body = msgspec.json.encode(
            {
                "version": endpoint_list.version,
                "written": endpoint_list.written,
                "scope": "whole",
                "hosts": endpoint_list.endpoints,
            }
        )
        head = b"%s %d %s\n" % (MAGIC, FORMAT, checksum(body))
        temporary_path = self.path.with_name(self.path.name + ".new")
        self.path.parent.mkdir(parents=True, exist_ok=True)
        with open(temporary_path, "wb") as file:
            file.write(head + body)
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary_path, self.path)

    def load(self) -> tuple[EndpointList | None, str]:
        """Return the cached list and "", or None and the reason why there is none."""
        if self.path is None:
            return None, "no folder is set"
        try:
            head, _, body = self.path.read_bytes().partition(b"\n")
        except OSError as error:
            return None, error.strerror or str(error)
        words = head.split(b" ")
        if len(words) != 3 or words[:2] != [MAGIC, b"%d" % FORMAT]:
            return None, "not a list of this format"
        if words[2] != checksum(body):
            return None, "the checksum does not fit: torn or changed"
        try:
            return read_document(body)._replace(scope="remembered"), ""
        except EndpointListError as error:
            return None, str(error)


def checksum(body: bytes) -> bytes:
    """Return a document's BLAKE3 digest in hexadecimal."""
    return blake3(body).hexdigest().encode()
