"""What a steward is told at its start, and again at SIGHUP: the file that NODE_CONFIG names.

Every field is checked before anything is opened; `BadConfiguration` says which one and what was expected.
"""

from typing import NamedTuple, Optional

from ..sources.listing import Listing
from ..wire.names import settings_from
from .messages import Unreadable, read_document, read_list, read_place

NEEDED = ("proxies", "zones", "zone", "channel_rate", "message_head", "queue_most", "bare_most", "drain_grace",
          "warm_after", "push_delay_most")  # that the planner can't do without


class BadConfiguration(Exception):
    """Nothing to start by."""


class Told(NamedTuple):
    """`listen`, `discovery`: (address, port); `facts`: the planner's settings; `known`: the list as this steward last
    had it, or None; `sockets`: file descriptors that the process may hold."""
    name: str
    listen: tuple
    discovery: tuple
    seed: int
    sockets: int
    facts: dict
    known: Optional[Listing]


def read_configuration(environ, wall):
    """`wall`: Unix seconds at which it is read."""
    path = environ.get("NODE_CONFIG")
    if not path:
        raise BadConfiguration("NODE_CONFIG: expected the path of a configuration, it is not set")
    try:
        with open(path, "rb") as file:
            data = file.read()
    except OSError as problem:
        raise BadConfiguration(f"{path}: {problem.strerror}") from None
    try:
        said = read_document(data)
        known = read_list(said.known, wall)._replace(scope="remembered") if bytes(said.known) else None
        listen, discovery, seed = read_place(said.listen), read_place(said.discovery), int(said.seed, 16)
    except (Unreadable, ValueError) as problem:
        raise BadConfiguration(f"{path}: {problem}") from None
    try:
        facts = settings_from(said.settings)
    except (AttributeError, KeyError, TypeError, ValueError) as problem:
        raise BadConfiguration(f"{path}: settings: {problem!r}") from None
    missing = [name for name in NEEDED if name not in facts]
    if missing or not facts["req_kinds"]:
        raise BadConfiguration(f"{path}: settings: expected {', '.join(missing) or 'request kinds'}, not there")
    return Told(said.name, listen, discovery, seed, said.limits.sockets, facts, known)
