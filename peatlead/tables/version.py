"""Versions of published tables, their items, and digests over these. Pure.

What a proxy holds is a map of items: `line/KIND/ZONE/ADDRESS:PORT` -> weight in thousandths, `level/KIND` ->
share let in, in millionths, `retry/KIND` -> what may be tried again. Keys are texts that both ends know, so
that a digest means the same at every controller and every proxy.

The digest is the sum of one hash an item, modulo 2^256 (an incremental hash of a set: Bellare and Micciancio
1997, AdHash). Adding, changing or taking out an item costs one or two hashes, whatever the size of the whole.
It finds errors, not forgers: who may speak at all is the transport's matter.
"""

from typing import NamedTuple

from blake3 import blake3

PARTS = ("line", "level", "retry")
SCALE, MILLION = 1000, 1_000_000  # of a weight, of a level: published numbers are whole
WIDE = 1 << 256


class Version(NamedTuple):
    """`epoch` of the owner, `serial` within it: ordered, and written `epoch.serial`."""

    epoch: int
    serial: int

    def __str__(self):
        return f"{self.epoch}.{self.serial}"


NONE = Version(0, 0)


def read_version(text):
    """A Version, or NONE where the text is not one of ours."""
    epoch, dot, serial = text.partition(".")
    if dot and epoch.isdigit() and serial.isdigit() and len(text) < 40:
        return Version(int(epoch), int(serial))
    return NONE


def line_key(kind, zone, address, port):
    return f"line/{kind}/{zone}/{address}:{port}"


def read_line_key(key):
    """(kind, zone, address, port) of a line's key. Raises ValueError."""
    part, _, rest = key.partition("/")
    kind, _, rest = rest.partition("/")
    zone, _, place = rest.rpartition("/")
    address, _, port = place.rpartition(":")
    if part != "line" or not kind or not address or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"expected line/KIND/ZONE/ADDRESS:PORT, got {key[:200]!r}")
    return kind, zone, address, int(port)


def part_of(key):
    return key[: key.index("/")]


def whole_weight(weight):
    """A published weight: whole, and never none for a line that stands."""
    return max(1, round(weight * SCALE))


class Hashes:
    """One hash an item, kept: the same few thousand come again and again. `most` are kept; when full, all go."""

    def __init__(self, most=50_000):
        self.most, self.kept = most, {}

    def of(self, key, value):
        found = self.kept.get((key, value))
        if found is None:
            if len(self.kept) >= self.most:
                self.kept.clear()
            found = int.from_bytes(blake3(f"{key}\0{value}".encode()).digest(32), "big")
            self.kept[key, value] = found
        return found


HASHES = Hashes()


class Digest:
    """The running digest of a map of items. `moved(key, old, new)` for each change; None: not there."""

    __slots__ = ("total",)

    def __init__(self, items=None):
        self.total = 0
        for key, value in (items or {}).items():
            self.moved(key, None, value)

    def moved(self, key, old, new):
        if old is not None:
            self.total -= HASHES.of(key, old)
        if new is not None:
            self.total += HASHES.of(key, new)
        self.total %= WIDE

    def copy(self):
        made = Digest()
        made.total = self.total
        return made

    def __str__(self):
        """128 bits of it, in hex."""
        return f"{self.total >> 128:032x}"


def changes(old, new):
    """{key: value, or None where it goes} that leads from one map of items to another."""
    found = {key: None for key in old if key not in new}
    found.update((key, value) for key, value in new.items() if old.get(key) != value)
    return found


class Stamp(NamedTuple):
    """What goes with a delta: the version that it leads to, the digests of what it starts from ("none": from
    anything, it is whole) and of what it must come to."""

    version: Version
    base: str
    digest: str

    def __str__(self):
        return f"{self.version} base={self.base} digest={self.digest}"


WHOLE = "none"


def read_stamp(text):
    """A Stamp. Raises ValueError with what was expected."""
    words = text.split(" ")
    version = read_version(words[0])
    if len(words) != 3 or version == NONE or words[1][:5] != "base=" or words[2][:7] != "digest=":
        raise ValueError(f"expected VERSION base=DIGEST digest=DIGEST, got {text[:200]!r}")
    return Stamp(version, words[1][5:], words[2][7:])
