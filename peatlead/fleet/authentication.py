"""Authentication and replay protection of datagrams between controllers. No I/O.

A datagram consists of `version | name length | boot | counter | challenge | name | body | hash`,
with big-endian integers. The hash is a keyed BLAKE3 over everything before it.

The boot is an identifier of one start of the sender's process. The sender increments the counter
with each datagram of a boot, and a receiver accepts each counter value once. A sender with an
unknown boot must first echo a challenge that the receiver has issued for this boot. An attacker
can therefore not replay recorded datagrams of an earlier boot, even if the receiver had issued a
challenge for that boot and then received none of its datagrams. A receiver never accepts a boot
again once a later boot of the same sender has replaced it.
"""

import struct
from collections.abc import Sequence
from hmac import compare_digest
from typing import NamedTuple

from blake3 import blake3

VERSION = 1
KEY_SIZE = 32  # bytes, of keyed BLAKE3
HASH_SIZE = 16  # bytes
CHALLENGE_SIZE = 8  # bytes
REPLAY_WINDOW = 64  # a counter this far or further below the highest accepted one is refused
MAX_SENDERS = 600
MAX_CHALLENGES = 4  # unanswered per boot: several datagrams of a boot may be in flight
MAX_UNPROVEN_BOOTS = 4  # per sender: replayed datagrams add unproven boots
MAX_REPLACED_BOOTS = 16  # remembered per sender
HEADER = struct.Struct(">BB8sQ8s")  # version, length of the name, boot, counter, challenge
NO_CHALLENGE = bytes(CHALLENGE_SIZE)
MAX_DATAGRAM = 60_000  # bytes


class AuthenticationError(Exception):
    """A datagram was refused; the message is the reason."""


class UnprovenSenderError(AuthenticationError):
    """The hash of a datagram is valid, but the sender's boot is unknown.

    `challenge` is what the sender must echo. `body` is the body of the datagram, which may be a
    replay and must not be trusted.
    """

    def __init__(self, name: str, challenge: bytes, body: bytes) -> None:
        super().__init__("sender's boot is unknown")
        self.name = name
        self.challenge = challenge
        self.body = body


class SenderState:
    """The current boot of one sender, its accepted counters, and its earlier boots."""

    __slots__ = ("boot", "highest_counter", "accepted_bits", "replaced_boots")

    def __init__(self, boot: bytes) -> None:
        self.boot = boot
        self.highest_counter = 0  # highest counter accepted so far
        self.accepted_bits = 0  # bit n is set if `highest_counter - n` was accepted
        self.replaced_boots: list[bytes] = []  # oldest first

    def replace_boot(self, boot: bytes) -> None:
        """Replaces the boot by a new, proven one and resets the counters."""
        self.replaced_boots = [*self.replaced_boots, self.boot][-MAX_REPLACED_BOOTS:]
        self.boot = boot
        self.highest_counter = 0
        self.accepted_bits = 0

    def accept_counter(self, counter: int) -> None:
        """Accepts a counter once; counters within the replay window may come in any order.

        Raises AuthenticationError.
        """
        increase = counter - self.highest_counter
        if increase > 0:
            self._raise_highest_counter(counter, increase)
        elif -increase >= REPLAY_WINDOW or self.accepted_bits >> -increase & 1:
            raise AuthenticationError("counter was already accepted or is too old")
        else:
            self.accepted_bits |= 1 << -increase

    def _raise_highest_counter(self, counter: int, increase: int) -> None:
        window_mask = (1 << REPLAY_WINDOW) - 1
        self.accepted_bits = (
            (self.accepted_bits << increase | 1) & window_mask if increase < REPLAY_WINDOW else 1
        )
        self.highest_counter = counter


class Datagram(NamedTuple):
    """The fields of a datagram with a valid hash."""

    name: str
    boot: bytes
    counter: int
    challenge: bytes
    body: bytes


class Authenticator:
    """Seals outgoing datagrams and opens incoming datagrams of one member.

    `keys`: the first key seals, and every key opens, so that keys can be rotated without downtime.
    `name`: the name of this member. `boot`: 8 bytes that differ at each start of the process.

    Raises ValueError if there is no key or a key does not have `KEY_SIZE` bytes.
    """

    def __init__(self, keys: Sequence[bytes], name: str, boot: bytes) -> None:
        if not keys or any(len(key) != KEY_SIZE for key in keys):
            raise ValueError("expected at least one key of 32 bytes")
        self.keys = list(keys)
        self.name = name.encode()
        self.boot = boot
        self.counter = 0  # counter of the newest sent datagram
        self.senders: dict[str, SenderState] = {}  # proven senders, by name
        self.received_challenges: dict[str, bytes] = {}  # to echo, by the member that issued them
        # Unanswered challenges, by sender and boot.
        self.issued_challenges: dict[str, dict[bytes, list[bytes]]] = {}
        self.challenge_count = 0  # challenges issued so far

    # Sending.

    def seal(self, body: bytes, receiver: str = "") -> bytes:
        """Returns the datagram with `body` for a member.

        `receiver`: the name of that member, empty if the name is unknown.
        """
        self.counter += 1
        challenge = self.received_challenges.get(receiver, NO_CHALLENGE)
        header = HEADER.pack(VERSION, len(self.name), self.boot, self.counter, challenge)
        data = header + self.name + body
        return data + self._hash(self.keys[0], data)

    def store_challenge(self, name: str, challenge: bytes) -> None:
        """Stores the challenge of a member, which later datagrams to that member echo."""
        self.received_challenges[name] = challenge
        if len(self.received_challenges) > MAX_SENDERS:
            self.received_challenges.pop(next(iter(self.received_challenges)))

    # Receiving.

    def open(self, data: bytes) -> tuple[str, bytes]:
        """Returns the name of the sender and the body.

        Raises UnprovenSenderError if the sender must first echo a challenge, and another
        AuthenticationError if the datagram is refused.
        """
        datagram = self._parse(data)
        name = datagram.name
        if name.encode() == self.name and datagram.boot == self.boot:
            raise AuthenticationError("datagram was sent by this controller itself")
        if not self._is_proven(datagram):
            raise UnprovenSenderError(
                name, self._issue_challenge(name, datagram.boot), datagram.body
            )
        self.senders[name].accept_counter(datagram.counter)
        return name, datagram.body

    def _parse(self, data: bytes) -> Datagram:
        if len(data) < HEADER.size + HASH_SIZE or len(data) > MAX_DATAGRAM:
            raise AuthenticationError("datagram is too short or too long")
        version, name_size, boot, counter, challenge = HEADER.unpack_from(data)
        if version != VERSION:
            raise AuthenticationError(f"expected version {VERSION}, got {version}")
        signed = data[:-HASH_SIZE]
        digest = data[-HASH_SIZE:]
        if not any(compare_digest(self._hash(key, signed), digest) for key in self.keys):
            raise AuthenticationError(
                "hash matches no key: the datagram was forged, modified or sent by another fleet"
            )
        body_start = HEADER.size + name_size
        if len(signed) < body_start:
            raise AuthenticationError("datagram ends before the end of the sender's name")
        name = signed[HEADER.size : body_start].decode("utf-8", "replace")
        return Datagram(name, boot, counter, challenge, signed[body_start:])

    @staticmethod
    def _hash(key: bytes, data: bytes) -> bytes:
        return blake3(data, key=key).digest(HASH_SIZE)

    # Challenges.

    def _is_proven(self, datagram: Datagram) -> bool:
        """Returns whether the boot is proven already or the datagram echoes a valid challenge.

        A valid challenge proves the boot, which replaces the sender's earlier boot.

        Raises AuthenticationError if the boot was replaced or there are too many senders.
        """
        name, boot = datagram.name, datagram.boot
        sender = self.senders.get(name)
        if sender is not None and sender.boot == boot:
            return True
        if sender is not None and boot in sender.replaced_boots:
            raise AuthenticationError("sender's boot was replaced by a later boot")
        unanswered_challenges = self.issued_challenges.get(name, {}).get(boot, ())
        if not any(
            compare_digest(datagram.challenge, challenge) for challenge in unanswered_challenges
        ):
            return False
        del self.issued_challenges[name]  # other boots of this sender need a new challenge
        if sender is not None:
            sender.replace_boot(boot)
        elif len(self.senders) < MAX_SENDERS:
            self.senders[name] = SenderState(boot)
        else:
            raise AuthenticationError(f"more than {MAX_SENDERS} senders")
        return True

    def _issue_challenge(self, name: str, boot: bytes) -> bytes:
        """Returns a new challenge for a boot of a sender.

        Each call returns another challenge, because accepting a boot invalidates the earlier
        challenges of all boots of that sender.
        """
        self.challenge_count += 1
        challenge_input = self.boot + boot + self.challenge_count.to_bytes(8, "big")
        challenge = blake3(challenge_input, key=self.keys[0]).digest(CHALLENGE_SIZE)
        if name not in self.issued_challenges and len(self.issued_challenges) >= MAX_SENDERS:
            self.issued_challenges.pop(next(iter(self.issued_challenges)))
        challenges_by_boot = self.issued_challenges.setdefault(name, {})
        if boot not in challenges_by_boot and len(challenges_by_boot) >= MAX_UNPROVEN_BOOTS:
            challenges_by_boot.pop(next(iter(challenges_by_boot)))
        challenges_by_boot[boot] = [*challenges_by_boot.get(boot, ()), challenge][-MAX_CHALLENGES:]
        return challenge
