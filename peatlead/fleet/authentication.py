"""Authentication and replay protection of datagrams between controllers. Sans-I/O.

A datagram is `version | name length | boot | counter | proof | name | body | hash`, big-endian;
the hash is keyed BLAKE3 over all before it. A sender's counter only grows within a boot (one
start of the sender's process), and each value is accepted once. A boot that is not known yet must
prove that it lives now, by repeating a proof that this receiver has just made for it. So a
recording of an earlier boot can't be replayed, not even of one that was given a proof but none of
whose messages arrived. Boots that were replaced are refused for good.
"""

import struct
from collections.abc import Sequence
from hmac import compare_digest
from typing import NamedTuple

from blake3 import blake3

VERSION = 1
KEY_SIZE = 32  # bytes, of keyed BLAKE3
HASH_SIZE = 16
PROOF_SIZE = 8
REPLAY_WINDOW = 64  # counters below the highest that are still accepted, each once
MAX_SENDERS = 600
MAX_PROOFS = 4  # outstanding for one boot, as several of its messages may be under way
MAX_UNPROVEN_BOOTS = 4  # of one sender, as replays make some
MAX_REPLACED_BOOTS = 16  # of one sender that are remembered as replaced
HEADER = struct.Struct(">BB8sQ8s")  # version, length of the name, boot, counter, proof
NO_PROOF = bytes(PROOF_SIZE)
MAX_DATAGRAM = 60_000  # bytes


class AuthenticationError(Exception):
    """Why a datagram was refused."""


class UnprovenSenderError(AuthenticationError):
    """The hash is right, but the boot is not known yet.

    `proof` is what the sender has to repeat, `body` what it sent, which must not be trusted.
    """

    def __init__(self, name: str, proof: bytes, body: bytes) -> None:
        super().__init__("a boot that is not known yet")
        self.name = name
        self.proof = proof
        self.body = body


class SenderState:
    """What a receiver remembers of one sender."""

    __slots__ = ("boot", "highest", "seen", "replaced")

    def __init__(self, boot: bytes) -> None:
        self.boot = boot
        self.highest = 0  # counter
        self.seen = 0  # bit n: whether the counter `highest - n` was accepted
        self.replaced: list[bytes] = []  # earlier boots, the oldest first

    def restart(self, boot: bytes) -> None:
        """Starts anew with a boot that has proved itself."""
        self.replaced = [*self.replaced, self.boot][-MAX_REPLACED_BOOTS:]
        self.boot = boot
        self.highest = 0
        self.seen = 0

    def accept(self, counter: int) -> None:
        """Accepts each counter once, in any order within the window; raises AuthenticationError."""
        ahead = counter - self.highest
        if ahead > 0:
            self._advance(counter, ahead)
        elif -ahead >= REPLAY_WINDOW or self.seen >> -ahead & 1:
            raise AuthenticationError("a message that came before")
        else:
            self.seen |= 1 << -ahead

    def _advance(self, counter: int, ahead: int) -> None:
        window = (1 << REPLAY_WINDOW) - 1
        self.seen = (self.seen << ahead | 1) & window if ahead < REPLAY_WINDOW else 1
        self.highest = counter


class Datagram(NamedTuple):
    """A datagram whose hash is right."""

    name: str
    boot: bytes
    counter: int
    proof: bytes
    body: bytes


class Authenticator:
    """Closes outgoing and opens incoming datagrams of one member.

    `keys`: the first is used for sending, all for receiving, so keys can be rotated in service.
    `boot`: 8 bytes, new at each start.
    """

    def __init__(self, keys: Sequence[bytes], name: str, boot: bytes) -> None:
        if not keys or any(len(key) != KEY_SIZE for key in keys):
            raise ValueError("expected at least one key of 32 bytes")
        self.keys = list(keys)
        self.name = name.encode()
        self.boot = boot
        self.counter = 0  # of the newest datagram sent
        self.senders: dict[str, SenderState] = {}  # whose boot has proved itself
        self.proofs: dict[str, bytes] = {}  # by member, to be repeated to it
        self.expected: dict[str, dict[bytes, list[bytes]]] = {}  # proofs made, by sender and boot
        self.issued = 0  # number of proofs made

    # Sending.

    def seal(self, body: bytes, to: str = "") -> bytes:
        """A datagram for the member `to`; empty where its name is not known yet."""
        self.counter += 1
        proof = self.proofs.get(to, NO_PROOF)
        header = HEADER.pack(VERSION, len(self.name), self.boot, self.counter, proof)
        data = header + self.name + body
        return data + self._hash(self.keys[0], data)

    def store_proof(self, name: str, proof: bytes) -> None:
        """Stores the proof that a member wants repeated, as it or this one has just started."""
        self.proofs[name] = proof
        if len(self.proofs) > MAX_SENDERS:
            self.proofs.pop(next(iter(self.proofs)))

    # Receiving.

    def open(self, data: bytes) -> tuple[str, bytes]:
        """The sender's name and the body.

        Raises AuthenticationError, and UnprovenSenderError where the sender must prove itself
        first.
        """
        datagram = self._parse(data)
        name = datagram.name
        if name.encode() == self.name and datagram.boot == self.boot:
            raise AuthenticationError("our own message came back")
        if not self._is_proven(datagram):
            raise UnprovenSenderError(name, self._make_proof(name, datagram.boot), datagram.body)
        self.senders[name].accept(datagram.counter)
        return name, datagram.body

    def _parse(self, data: bytes) -> Datagram:
        if len(data) < HEADER.size + HASH_SIZE or len(data) > MAX_DATAGRAM:
            raise AuthenticationError("expected a sealed message")
        version, name_size, boot, counter, proof = HEADER.unpack_from(data)
        if version != VERSION:
            raise AuthenticationError(f"expected version {VERSION}, got {version}")
        signed = data[:-HASH_SIZE]
        digest = data[-HASH_SIZE:]
        if not any(compare_digest(self._hash(key, signed), digest) for key in self.keys):
            raise AuthenticationError("the hash does not fit: forged, changed, or another fleet's")
        body_at = HEADER.size + name_size
        if len(signed) < body_at:
            raise AuthenticationError("expected a sender")
        name = signed[HEADER.size : body_at].decode("utf-8", "replace")
        return Datagram(name, boot, counter, proof, signed[body_at:])

    @staticmethod
    def _hash(key: bytes, data: bytes) -> bytes:
        return blake3(data, key=key).digest(HASH_SIZE)

    # Proofs.

    def _is_proven(self, datagram: Datagram) -> bool:
        """Whether the boot is the sender's known one, or has proved just now that it lives."""
        name, boot = datagram.name, datagram.boot
        sender = self.senders.get(name)
        if sender is not None and sender.boot == boot:
            return True
        if sender is not None and boot in sender.replaced:
            raise AuthenticationError("a boot that was replaced")
        expected = self.expected.get(name, {}).get(boot, ())
        if not any(compare_digest(datagram.proof, proof) for proof in expected):
            return False
        del self.expected[name]  # further boots of this sender have to prove themselves anew
        if sender is not None:
            sender.restart(boot)
        elif len(self.senders) < MAX_SENDERS:
            self.senders[name] = SenderState(boot)
        else:
            raise AuthenticationError("too many senders")
        return True

    def _make_proof(self, name: str, boot: bytes) -> bytes:
        """A new proof each time, as one made before another boot was accepted proves nothing."""
        self.issued += 1
        challenge = self.boot + boot + self.issued.to_bytes(8, "big")
        proof = blake3(challenge, key=self.keys[0]).digest(PROOF_SIZE)
        if name not in self.expected and len(self.expected) >= MAX_SENDERS:
            self.expected.pop(next(iter(self.expected)))
        boots = self.expected.setdefault(name, {})
        if boot not in boots and len(boots) >= MAX_UNPROVEN_BOOTS:
            boots.pop(next(iter(boots)))
        boots[boot] = [*boots.get(boot, ()), proof][-MAX_PROOFS:]
        return proof
