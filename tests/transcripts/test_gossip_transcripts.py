"""Datagrams between controllers, byte for byte as recorded in tests/data/wire/gossip.json.

A change of the wire format that is meant is recorded anew by
`python -m tests.transcripts.test_gossip_transcripts`; a renaming must pass on the old record.
"""

import random
import unittest
from hashlib import sha256

import msgspec

from peatlead.fleet import authentication as seals
from peatlead.fleet import gossip as nodes
from peatlead.fleet import membership, messages, ownership

from ..standin_fleet import SCRIPT, settings
from . import recorded

# Adapter: all internal names that these tests use. Structs are made by position.

Ping, Ack, IndirectPing, MemberInfo = (
    messages.Ping,
    messages.Ack,
    messages.IndirectPing,
    messages.MemberInfo,
)
GossipMessage, PinsMessage, DrainRequestMessage = (
    messages.GossipMessage,
    messages.PinsMessage,
    messages.DrainRequestMessage,
)
TIMERS = {"probe_interval": 0.3, "ack_timeout": 0.15, "suspicion_timeout": 1.0}
STRAY, UNPROVEN = seals.AuthenticationError, seals.UnprovenSenderError


def decode(data):
    return messages.DECODER.decode(data)


def make_member(name, seeds, chance):
    return membership.Membership(
        MemberInfo(name, (name, 1), "alive", 0, ((name, 2),)), seeds, chance, **TIMERS
    )


def sends(machine, now, events):
    """[(target name, bytes)] and [[name, before, after]] of one step."""
    datagrams, changes = [], []
    for order in machine.decide(now, events):
        if type(order) is membership.SendDatagram:
            datagrams.append((order.address[0], msgspec.msgpack.encode(order.message)))
        else:
            changes.append(list(order))
    return datagrams, changes


def rank(proxy, names):
    """Controllers for a proxy, best first."""
    return ownership.rank_controllers(proxy, names)


def heard(source, data):
    return membership.DatagramReceived((source, 1), decode(data))


TICK, LEAVE, load_news = membership.Tick(), membership.Leave(), membership.LocalStatus


def make_seal(keys, name, boot):
    return seals.Authenticator(keys, name, boot)


def close(seal, body, to):
    return seal.close(body, to)


def learn(seal, name, proof):
    seal.learn(name, proof)


def open_sealed(seal, data):
    """[outcome, name, body or proof] as plain values."""
    try:
        name, body = seal.open(data)
        return ["taken", name, body.hex()]
    except UNPROVEN as problem:
        return ["unproven", problem.name, problem.proof.hex()]
    except STRAY:
        return ["refused", "", ""]


def fleet_settings(key):
    """Settings of two controllers that know each other, and their addresses."""
    script = SCRIPT
    for at in (1, 2):
        here = f'"127.1.0.{at}:'
        script = script.replace(f"control = {here}", f'peer = {here}{{grpc}}", control = {here}')
    only = settings(5300, script=script, more=f"fleet(keys = [{key.hex()!r}])")
    return only, [tuple(one["peer"]) for one in only["steward"]]


def make_node(only, at, clock, wire, told):
    """A GossipNode on a clock and a wire that are made up."""
    me = only["steward"][at]
    made = nodes.GossipNode(
        only,
        me,
        random.Random(at),
        bytes([at + 1]) * 8,
        lambda: 3 + at,
        lambda *_, **__: None,
        lambda sender, payload: told.append([at, "note", sender, payload.hex()]),
        lambda payload: told.append([at, "pins", payload.hex()]),
        lambda payload: told.append([at, "wish", payload.hex()]),
    )
    made.loop = clock
    made.connection_made(wire)
    return made


def node_step(node):
    node.advance([load_news(node.count_proxies(), False), TICK])


def node_take(node, data, address):
    node.datagram_received(data, address)


def node_tell(node, verb, payload):
    {
        "note": node.broadcast_advice,
        "pins": node.broadcast_pins,
        "wish": node.broadcast_drain_request,
    }[verb](payload)


# End of the adapter.

NEWS = (
    b"\x97\xa2n1\x92\xa9127.0.0.1\xcd\x14\xb4\xa5alive\x02\x92\xa9127.0.0.1\xcd\x14\xb5\x11\xc3",
    MemberInfo("n1", ("127.0.0.1", 5300), "alive", 2, ("127.0.0.1", 5301), 17, True),
)
PLAIN = (
    b"\x97\xa2n2\x92\xa1x\x01\xa7suspect\x00\x90\x00\xc2",
    MemberInfo("n2", ("x", 1), "suspect", 0),
)
MESSAGES = (
    (b"\x93\xa4Ping\x07\x92" + NEWS[0] + PLAIN[0], Ping(7, [NEWS[1], PLAIN[1]])),
    (b"\x93\xa3Ack\xcd\x01\x00\x91" + PLAIN[0], Ack(256, [PLAIN[1]])),
    (b"\x94\xa6TryFor\x01\x92\xa1x\x01\x91" + NEWS[0], IndirectPing(1, ("x", 1), [NEWS[1]])),
    (b"\x92\xa4Note\xc4\x03abc", GossipMessage(b"abc")),
    (b"\x92\xa8PinsTold\xc4\x02\x00\xff", PinsMessage(b"\x00\xff")),
    (b"\x92\xa8WishTold\xc4\x00", DrainRequestMessage(b"")),
)
KEY, OTHER = b"k" * 32, b"o" * 32


def run_members(many, seconds, seed, what):
    """Each datagram of a seeded run as [milliseconds, source, target, bytes], and each change that a member saw.
    `what`: {milliseconds: (verb, name)}."""
    chance, now, way, datagrams, changes = random.Random(seed), 0, [], [], []
    names = [f"n{at}" for at in range(many)]
    seeds = [(name, 1) for name in names[:2]]
    machines = {
        name: make_member(name, seeds, random.Random(seed + at)) for at, name in enumerate(names)
    }
    gone, cut = set(), set()

    def step(name, events):
        found, moved = sends(machines[name], now / 1000, events)
        changes.extend([now, name, *one] for one in moved)
        for target, data in found:
            datagrams.append([now, name, target, data])
            if chance.random() >= 0.03:
                way.append((now + chance.randrange(1, 20), len(datagrams), name, target, data))

    while now < seconds * 1000:
        now += 50
        verb, name = what.get(now, ("", ""))
        if verb == "load":
            step(name, [load_news(9, True)])
        elif verb == "cut":
            cut |= {(name, other) for other in names[:2]}
        elif verb == "leave":
            step(name, [LEAVE])
        elif verb == "start":
            machines[name] = make_member(name, seeds, random.Random(seed + 99))
            gone.discard(name)
        if verb in ("leave", "kill"):
            gone.add(name)
        due = sorted(one for one in way if one[0] <= now)
        way[:] = [one for one in way if one[0] > now]
        for _, _, source, target, data in due:
            if target not in gone and (source, target) not in cut:
                step(target, [heard(source, data)])
        for name in names:
            if name not in gone:
                step(name, [TICK])
    return datagrams, changes


def seal_transcript():
    """[what was done, datagram or input, outcome] over fixed boots and keys."""
    one, other, found = (
        make_seal([KEY], "a", b"1" * 8),
        make_seal([OTHER, KEY], "béta", b"2" * 8),
        [],
    )

    def carry(sender, receiver, body, to):
        data = close(sender, body, to)
        outcome = open_sealed(receiver, data)
        found.append(["close and open", data.hex(), outcome])
        return data, outcome

    _, asked = carry(one, other, b"hello", "béta")
    learn(one, "béta", bytes.fromhex(asked[2]))
    first, _ = carry(one, other, b"x", "béta")
    for data in (first, first[:-1] + b"\0", b"\x07" + first[1:], first[:20], b""):
        found.append(["open", data.hex(), open_sealed(other, data)])
    carry(one, one, b"own", "")
    _, refused = carry(other, one, b"its first key is another", "a")
    one.keys = [KEY, OTHER]
    _, asked = carry(other, one, b"\x92\xa4Note\xc4\x00", "a")
    learn(other, "a", bytes.fromhex(asked[2]))
    carry(other, one, b"\x92\xa4Note\xc4\x00", "a")
    anew = make_seal([KEY], "a", b"3" * 8)
    _, asked = carry(anew, other, b"again", "béta")
    learn(anew, "béta", bytes.fromhex(asked[2]))
    carry(anew, other, b"again", "béta")
    carry(one, other, b"replaced", "béta")
    return found


class Clock:
    now = 0.0

    def time(self):
        return self.now


def node_transcript():
    """Sealed datagrams of two nodes on a made-up wire, and what each was told."""
    only, places = fleet_settings(KEY)
    clock, way, datagrams, told = Clock(), [], [], []

    class Wire:
        def __init__(self, at):
            self.at = at

        def sendto(self, data, address):
            datagrams.append([round(clock.now * 1000), self.at, recorded.to_base64(data)])
            way.append((self.at, tuple(address), data))

    made = [make_node(only, at, clock, Wire(at), told) for at in range(2)]
    for tick in range(60):
        clock.now = round(0.05 * (tick + 1), 6)
        for source, address, data in way[:]:
            node_take(made[places.index(address)], data, places[source])
            way.remove((source, address, data))
        for node in made:
            node_step(node)
        if tick in (30, 35, 40):
            verb = {30: "note", 35: "pins", 40: "wish"}[tick]
            node_tell(made[tick // 5 % 2], verb, b"payload of " + verb.encode())
    return datagrams, told


WHAT = {
    1500: ("load", "n1"),
    2000: ("cut", "n2"),
    3000: ("kill", "n3"),
    4500: ("start", "n3"),
    5500: ("leave", "n0"),
}
LONG = {5000: ("kill", "n4"), 12000: ("start", "n4"), 15000: ("cut", "n5"), 20000: ("leave", "n0")}


def transcript():
    datagrams, changes = run_members(4, 6, 11, WHAT)
    long, seen = run_members(7, 30, 5, LONG)
    sealed, told = node_transcript()
    return {
        "datagrams": [[*one[:3], recorded.to_base64(one[3])] for one in datagrams],
        "changes": changes,
        "long run": {
            "datagrams": len(long),
            "changes": len(seen),
            "sha256": sha256(b"".join(f"{one[:3]}".encode() + one[3] for one in long)).hexdigest(),
        },
        "seal": seal_transcript(),
        "sealed datagrams": sealed,
        "told": told,
        "ranks": [
            [proxy, rank(proxy, ["ns1", "ns2", "ns3", "béta"])]
            for proxy in ("p0", "p1", "p2", "p3", "é")
        ],
    }


class Messages(unittest.TestCase):
    def test_each_message_is_encoded_to_its_literal_bytes(self):
        for data, message in MESSAGES:
            self.assertEqual(msgspec.msgpack.encode(message), data)

    def test_literal_bytes_are_decoded_to_each_message_and_back(self):
        for data, message in MESSAGES:
            found = decode(data)
            self.assertIs(type(found), type(message))
            self.assertEqual(msgspec.msgpack.encode(found), data)

    def test_an_unknown_tag_is_refused(self):
        with self.assertRaises(msgspec.ValidationError):
            decode(b"\x92\xa5Other\xc4\x00")


class Transcripts(unittest.TestCase):
    def test_seeded_runs_send_the_recorded_datagrams(self):
        recorded.compare(self, "gossip", transcript())

    def test_the_record_holds_every_kind_of_message(self):
        kept = recorded.read("gossip")
        kinds = {decode_kind(one[3]) for one in kept["datagrams"]}
        self.assertEqual(kinds, {b"Ping", b"Ack", b"TryFor"})
        self.assertEqual({one[1] for one in kept["told"]}, {"note", "pins", "wish"})
        self.assertEqual({one[2][0] for one in kept["seal"]}, {"taken", "unproven", "refused"})


def decode_kind(text):
    """The tag by the msgpack format itself: an array's head, then a short string."""
    data = recorded.b64decode(text)
    return data[2 : 2 + (data[1] & 0x1F)]


if __name__ == "__main__":
    recorded.write("gossip", transcript())
