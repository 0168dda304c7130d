"""Members' messages are sealed: keyed hash, and no message twice. Sans-I/O.

A datagram is `version | sender | boot | counter | proof | body | hash`. The hash is keyed BLAKE3 over all
before it. A sender's counter only grows within a boot, and each is taken once. A boot that is not known
yet must prove that it lives now: it has to repeat a proof that this receiver made for it just then, so that
what was recorded of an earlier boot can't be played again, not even where that boot once had a proof of which
no message came through. Boots that were replaced stay out for good.
"""

import struct
from hmac import compare_digest

from blake3 import blake3

VERSION = 1
HASH = 16
WINDOW = 64  # counters behind the highest that may still come, each once
SENDERS_MOST = 600
PROOFS_MOST = 4  # for one boot, as several of its messages may be on the way
BOOTS_MOST = 4  # of one sender that wait to be proven: replays make some
RETIRED_MOST = 16  # boots of one sender that are remembered as replaced
HEAD = struct.Struct(">BB8sQ8s")
NONE = bytes(8)
LONGEST = 60_000


class AuthenticationError(Exception):
    """Why a datagram was not taken."""


class SenderState:
    __slots__ = ("boot", "highest", "seen", "retired")

    def __init__(self, boot):
        self.boot, self.highest, self.seen, self.retired = boot, 0, 0, []


class Authenticator:
    """`keys`: the first seals, all open, so that keys change in service. `boot`: 8 bytes, new at each start."""

    def __init__(self, keys, name, boot):
        if not keys or any(len(key) != 32 for key in keys):
            raise ValueError("expected at least one key of 32 bytes")
        self.keys, self.name, self.boot, self.counter = list(keys), name.encode(), boot, 0
        self.senders, self.proofs = {}, {}  # of others; what they want repeated
        self.wanted, self.issued = {}, 0  # name -> boot -> proofs that we made for it

    def close(self, body, to=""):
        """A datagram for the member `to` ("" where its name is not known yet)."""
        self.counter += 1
        head = HEAD.pack(
            VERSION, len(self.name), self.boot, self.counter, self.proofs.get(to, NONE)
        )
        data = head + self.name + body
        return data + self.hash(self.keys[0], data)

    def open(self, data):
        """(sender, body). Raises AuthenticationError, among them Unproven."""
        if len(data) < HEAD.size + HASH or len(data) > LONGEST:
            raise AuthenticationError("expected a sealed message")
        version, size, boot, counter, proof = HEAD.unpack_from(data)
        if version != VERSION:
            raise AuthenticationError(f"expected version {VERSION}, got {version}")
        whole, told = data[:-HASH], data[-HASH:]
        if not any(compare_digest(self.hash(key, whole), told) for key in self.keys):
            raise AuthenticationError("the hash does not fit: forged, changed, or another fleet's")
        if len(whole) < HEAD.size + size:
            raise AuthenticationError("expected a sender")
        name = whole[HEAD.size : HEAD.size + size].decode("utf-8", "replace")
        if name.encode() == self.name and boot == self.boot:
            raise AuthenticationError("our own message came back")
        body = whole[HEAD.size + size :]
        if not self.known(name, boot, proof):
            raise UnprovenSenderError(name, self.make_proof(name, boot), body)
        self.count(self.senders[name], counter)
        return name, body

    def known(self, name, boot, proof):
        """Whether it is the sender's boot that we know, or one that has proved that it lives now."""
        sender = self.senders.get(name)
        if sender is not None and sender.boot == boot:
            return True
        if sender is not None and boot in sender.retired:
            raise AuthenticationError("a boot that was replaced")
        made = self.wanted.get(name, {}).get(boot, ())
        if not any(compare_digest(proof, one) for one in made):
            return False
        del self.wanted[name]  # what else was on its way to be proven has to begin anew
        if sender is None:
            if len(self.senders) >= SENDERS_MOST:
                raise AuthenticationError("too many senders")
            self.senders[name] = SenderState(boot)
        else:
            sender.retired = [*sender.retired, sender.boot][-RETIRED_MOST:]
            sender.boot, sender.highest, sender.seen = boot, 0, 0
        return True

    @staticmethod
    def count(sender, counter):
        """Each counter once, in any order within the window."""
        ahead = counter - sender.highest
        if ahead > 0:
            sender.seen = (sender.seen << ahead | 1) & ((1 << WINDOW) - 1) if ahead < WINDOW else 1
            sender.highest = counter
        elif -ahead >= WINDOW or sender.seen >> -ahead & 1:
            raise AuthenticationError("a message that came before")
        else:
            sender.seen |= 1 << -ahead

    def learn(self, name, proof):
        """A member asks us to repeat this proof: we have just started, or it has."""
        self.proofs[name] = proof
        if len(self.proofs) > SENDERS_MOST:
            self.proofs.pop(next(iter(self.proofs)))

    def make_proof(self, name, boot):
        """A new one each time: one that was made before some other boot was taken proves nothing any more."""
        self.issued += 1
        proof = blake3(self.boot + boot + self.issued.to_bytes(8, "big"), key=self.keys[0]).digest(
            8
        )
        if name not in self.wanted and len(self.wanted) >= SENDERS_MOST:
            self.wanted.pop(next(iter(self.wanted)))
        boots = self.wanted.setdefault(name, {})
        if boot not in boots and len(boots) >= BOOTS_MOST:
            boots.pop(next(iter(boots)))
        boots[boot] = [*boots.get(boot, ()), proof][-PROOFS_MOST:]
        return proof

    @staticmethod
    def hash(key, data):
        return blake3(data, key=key).digest(HASH)


class UnprovenSenderError(AuthenticationError):
    """Its hash fits, its boot is not known: `proof` is what it has to repeat, `body` what it said."""

    def __init__(self, name, proof, body):
        super().__init__("a boot that is not known yet")
        self.name, self.proof, self.body = name, proof, body
