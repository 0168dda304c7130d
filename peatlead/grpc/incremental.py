"""One proxy's incremental aggregated discovery stream. Pure: requests in, responses out.

Lines are resources of their own, in collections by request kind and zone (locality endpoint discovery): a changed
weight sends one line, not its table. A resource's version is its value, so a proxy that says what it holds says
it all, whoever owned it before; what is sent is what differs. Each response carries a stamp as its
`system_version_info`: the digest of what it starts from and of what it leads to. A proxy of ours checks both and
refuses what does not fit; it then gets the whole, `WHOLES_MOST` times in a row at most. Plain clients leave the
stamp unread, and are served alike.

Sources: the xDS transport protocol (incremental variant, nonces, ACK and NACK, initial_resource_versions),
envoy.config.endpoint.v3.LbEndpoint and LedsClusterLocalityConfig, xDS TP1 resource names.
"""

from envoy.service.discovery.v3 import discovery_pb2
from google.protobuf.any_pb2 import Any

from ..tables.replica import BASE, DIGEST
from ..tables.version import WHOLE, Digest, Stamp, Version, changes, read_stamp
from .discovery import NAMES_MOST, Refused
from .resources import (
    ENDPOINTS,
    LINES,
    ROUTES,
    read_resource_name,
    read_value,
    resource_name,
    write_value,
)

PARTS_OF = {LINES: "line", ENDPOINTS: "level", ROUTES: "retry"}
TYPES = {part: url for url, part in PARTS_OF.items()}
WHOLES_MOST = 3


class Part:
    """One resource type on the stream. `held`: {key: value} as far as the proxy has said; None: not known."""

    __slots__ = (
        "held",
        "digest",
        "flying",
        "nonce",
        "asked",
        "dirty",
        "refused",
        "wholes",
        "names",
    )

    def __init__(self):
        self.held, self.digest, self.flying, self.nonce = {}, Digest(), None, ""
        self.asked = self.dirty = False
        self.refused, self.wholes, self.names = None, 0, set()

    def subscribe(self, request):
        names = (self.names | set(request.resource_names_subscribe)) - set(
            request.resource_names_unsubscribe
        )
        names = set(sorted(names)[:NAMES_MOST])
        self.dirty |= names != self.names
        self.names = names

    def wants(self, key):
        """None and "*" are all; a collection's name ends in "/*"."""
        name = resource_name(key)
        return (
            not self.names
            or "*" in self.names
            or name in self.names
            or any(one.endswith("/*") and name.startswith(one[:-1]) for one in self.names)
        )


class Incremental:
    """`take(request)` and `changed(type)` give responses to send; `items(part)` the {key: value} as they stand, or
    None while there is nothing to say; `published(version, parts)` is told of each version that is sent."""

    def __init__(self, epoch, items, identity, published, zones=()):
        self.epoch, self.items, self.identity, self.published = epoch, items, identity, published
        self.zones = zones
        self.parts, self.serial, self.refusals, self.applied = {}, 0, [], []
        self.sent, self.wholes = 0, 0  # resources; responses that were whole after a refusal

    def take(self, request):
        """[DeltaDiscoveryResponse] that are due after a DeltaDiscoveryRequest."""
        if request.type_url not in PARTS_OF:
            return []
        part = self.parts.setdefault(request.type_url, Part())
        if not part.asked:
            part.asked = part.dirty = True
            part.held = read_held(request)
            part.digest = Digest(part.held)
        part.subscribe(request)
        if request.response_nonce and request.response_nonce == part.nonce:
            self.answered(part, request)
        return self.due(request.type_url)

    def answered(self, part, request):
        version, after, digest = part.flying
        part.flying, part.nonce = None, ""
        if not request.HasField("error_detail"):
            part.held, part.digest, part.wholes, part.refused = after, digest, 0, None
            self.applied.append((request.type_url, version))
            return
        text = request.error_detail.message[:500]
        self.refusals.append(Refused(request.type_url, str(version), text))
        if text in (BASE, DIGEST) and part.wholes < WHOLES_MOST:
            part.held, part.dirty = None, True  # it holds something else than it said: all anew
        else:
            part.refused = after  # the same again would change nothing

    def changed(self, type_url):
        part = self.parts.get(type_url)
        if part is None:
            return []
        part.dirty = True
        return self.due(type_url)

    def due(self, type_url):
        part = self.parts[type_url]
        if not part.dirty or part.flying is not None:
            return []
        wanted = self.items(PARTS_OF[type_url])
        part.dirty = False
        if wanted is not None:
            wanted = {key: value for key, value in wanted.items() if part.wants(key)}
        if wanted is None or wanted == part.refused:
            return []
        if part.held is None:
            part.wholes += 1
            self.wholes += 1
            return [self.respond(type_url, part, WHOLE, dict(wanted), wanted, Digest(wanted))]
        moved = changes(part.held, wanted)
        if not moved:
            return []
        digest = part.digest.copy()
        for key, value in moved.items():
            digest.moved(key, part.held.get(key), value)
        return [self.respond(type_url, part, str(part.digest), moved, wanted, digest)]

    def respond(self, type_url, part, base, moved, wanted, digest):
        self.serial += 1
        version = Version(self.epoch, self.serial)
        part.flying, part.nonce = (version, dict(wanted), digest), str(version)
        self.sent += len(moved)
        self.published(version, (PARTS_OF[type_url],))
        made = discovery_pb2.DeltaDiscoveryResponse(
            type_url=type_url,
            nonce=part.nonce,
            system_version_info=str(Stamp(version, base, str(digest))),
            control_plane={"identifier": self.identity},
        )
        for key in sorted(moved):
            if moved[key] is None:
                made.removed_resources.append(resource_name(key))
            else:
                made.resources.append(
                    discovery_pb2.Resource(
                        name=resource_name(key),
                        version=str(moved[key]),
                        resource=Any(
                            type_url=type_url, value=write_value(key, moved[key], self.zones)
                        ),
                    )
                )
        return made


def read_held(request):
    """{key: value} that a proxy says it holds of a type; what is none of ours is left out."""
    held = {}
    for name, version in request.initial_resource_versions.items():
        try:
            key = read_resource_name(request.type_url, name)
            held[key] = version if key.startswith("retry/") else int(version)
        except ValueError:
            continue
    return held


def read_delta(response):
    """(type, {key: value or None}, Stamp) of a response, for a proxy. Raises ValueError with what was expected."""
    moved = {
        read_resource_name(response.type_url, name): None for name in response.removed_resources
    }
    for one in response.resources:
        key = read_resource_name(response.type_url, one.name)
        moved[key] = read_value(key, one.resource.value)
    return response.type_url, moved, read_stamp(response.system_version_info)
