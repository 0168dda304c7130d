"""One proxy's aggregated discovery stream, state of the world. Pure: requests in, responses out.

For each type one response is under way at a time; what changes meanwhile is sent after the answer, newest
only. A proxy that refuses keeps its old state, is reported, and is not sent the same again. Source: the
xDS transport protocol (nonces, ACK and NACK).
"""

from typing import NamedTuple

from envoy.service.discovery.v3 import discovery_pb2
from google.protobuf.any_pb2 import Any

from ..tables.version import NONE, Version, read_version

NAMES_MOST = 1000  # resource names that one proxy may ask for


class Kind:
    """One resource type on the stream."""

    __slots__ = ("names", "nonce", "sent", "held", "dirty", "refused", "asked")

    def __init__(self):
        self.names, self.nonce, self.sent, self.held = (), "", None, NONE
        self.dirty, self.refused, self.asked = False, None, False


class Refused(NamedTuple):
    type_url: str
    version: str
    text: str


class Discovery:
    """`take(request)` and `changed(type)` give responses to send; `resources(type, names)` gives {name: bytes}
    as they stand now; `epoch` is the owner's for this proxy; `published(version, type)` is told what is sent."""

    def __init__(self, epoch, resources, identity, published=lambda version, type_url: None):
        self.epoch, self.resources, self.identity, self.published = (
            epoch,
            resources,
            identity,
            published,
        )
        self.kinds, self.serial, self.refusals, self.applied = {}, 0, [], []

    def take(self, request):
        """[DiscoveryResponse] that are due after a DiscoveryRequest."""
        kind = self.kinds.setdefault(request.type_url, Kind())
        if request.response_nonce and request.response_nonce != kind.nonce:
            return []  # of a response that a newer one has overtaken
        if request.response_nonce:
            kind.nonce = ""
            if request.HasField("error_detail"):
                kind.refused = kind.sent
                self.refusals.append(
                    Refused(
                        request.type_url,
                        str(kind.sent and kind.sent[0]),
                        request.error_detail.message[:500],
                    )
                )
            else:
                kind.held = read_version(request.version_info)
                self.applied.append((request.type_url, kind.held))
        names = tuple(sorted(set(request.resource_names)))[:NAMES_MOST]
        if names != kind.names or not kind.asked:
            kind.names, kind.dirty, kind.asked = names, True, True
        return self.due(request.type_url)

    def changed(self, type_url):
        """Resources of a type may have changed."""
        kind = self.kinds.get(type_url)
        if kind is None:
            return []
        kind.dirty = True
        return self.due(type_url)

    def due(self, type_url):
        kind = self.kinds[type_url]
        if not kind.dirty or kind.nonce:
            return []
        found = self.resources(type_url, kind.names)
        kind.dirty = False
        last = kind.sent
        if found is None or last is not None and last[1] == found:
            return []  # nothing new; or just what was refused: sending it again changes nothing
        self.serial += 1
        version = Version(self.epoch, self.serial)
        kind.sent, kind.nonce = (version, found), f"{version}"
        self.published(version, type_url)
        return [
            discovery_pb2.DiscoveryResponse(
                version_info=str(version),
                type_url=type_url,
                nonce=kind.nonce,
                control_plane={"identifier": self.identity},
                resources=[Any(type_url=type_url, value=data) for _, data in sorted(found.items())],
            )
        ]
