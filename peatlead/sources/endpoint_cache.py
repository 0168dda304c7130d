"""A cache on disk of the last complete endpoint list."""

import os
from pathlib import Path

import msgspec
from blake3 import blake3

from .endpoint_list import EndpointList, EndpointListError, parse_list_document

MAGIC = b"peatlead-list"
FORMAT_VERSION = 1


class EndpointCache:
    """Stores the last complete list, for a start of the controller while the source is unavailable.

    The file has a header line, `peatlead-list FORMAT_VERSION CHECKSUM`, followed by a JSON
    document. The file is replaced by a rename, so a crash leaves the previous file intact. A file
    with a wrong header or checksum is ignored.
    """

    def __init__(self, path: str | None) -> None:
        self.path = Path(path) if path else None  # None: the cache is disabled

    def save(self, endpoint_list: EndpointList) -> None:
        """Replace the cached list, unless the cache is disabled; raises OSError."""
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
        header = b"%s %d %s\n" % (MAGIC, FORMAT_VERSION, checksum(body))
        temporary_path = self.path.with_name(self.path.name + ".new")
        self.path.parent.mkdir(parents=True, exist_ok=True)
        with open(temporary_path, "wb") as file:
            file.write(header + body)
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary_path, self.path)

    def load(self) -> tuple[EndpointList | None, str]:
        """Return the cached list and "", or None and the reason why there is none."""
        if self.path is None:
            return None, "no folder is set"
        try:
            header, _, body = self.path.read_bytes().partition(b"\n")
        except OSError as error:
            return None, error.strerror or str(error)
        header_fields = header.split(b" ")
        if len(header_fields) != 3 or header_fields[:2] != [MAGIC, b"%d" % FORMAT_VERSION]:
            return None, "the header is not that of a cached list of this version"
        if header_fields[2] != checksum(body):
            return None, "the checksum is wrong: the file is truncated or corrupted"
        try:
            return parse_list_document(body)._replace(scope="remembered"), ""
        except EndpointListError as error:
            return None, str(error)


def checksum(body: bytes) -> bytes:
    """Return a document's BLAKE3 digest in hexadecimal."""
    return blake3(body).hexdigest().encode()
