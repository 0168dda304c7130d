"""Compares datagrams between controllers byte by byte with tests/data/wire/gossip.json.

After an intended change of the wire format, record the file again with
`python -m tests.transcripts.test_gossip_transcripts`. Renamed code must match the existing file.
"""

import random
import unittest
from hashlib import sha256

import msgspec

from peatlead.fleet import authentication, gossip, membership, messages, ownership

from ..standin_fleet import SCRIPT, settings
from . import recorded

# Adapter: the only code here that uses names of the package. Structs are created by position.

Ping, Ack, IndirectPing, MemberInfo = (
    messages.Ping,
    messages.Ack,
    messages.IndirectPing,
    messages.MemberInfo,
)
AdviceMessage, PinsMessage, PinTargetMessage = (
    messages.AdviceMessage,
    messages.PinsMessage,
    messages.PinTargetMessage,
)
TIMERS = {"probe_interval": 0.3, "ack_timeout": 0.15, "suspicion_timeout": 1.0}
AUTHENTICATION_ERROR, UNPROVEN_SENDER_ERROR = (
    authentication.AuthenticationError,
    authentication.UnprovenSenderError,
)


def decode(data):
    return messages.DECODER.decode(data)


def make_member(name, seeds, rng):
    return membership.Membership(
        MemberInfo(name, (name, 1), "alive", 0, ((name, 2),)), seeds, rng, **TIMERS
    )


def run_step(member, now, events):
    """Returns the datagrams as [(target name, bytes)] and state changes as [[name, before, after]]."""
    datagrams, changes = [], []
    for action in member.decide(now, events):
        if type(action) is membership.SendDatagram:
            datagrams.append((action.address[0], msgspec.msgpack.encode(action.message)))
        else:
            changes.append(list(action))
    return datagrams, changes


def rank(proxy, names):
    """Returns the controllers for a proxy, best first."""
    return ownership.rank_controllers(proxy, names)


def datagram_event(source, data):
    return membership.DatagramReceived((source, 1), decode(data))


TICK, LEAVE, local_status = membership.Tick(), membership.Leave(), membership.LocalStatus


def make_authenticator(keys, name, boot):
    return authentication.Authenticator(keys, name, boot)


def seal_body(authenticator, body, to):
    return authenticator.seal(body, to)


def store_challenge(authenticator, name, challenge):
    authenticator.store_challenge(name, challenge)


def open_datagram(authenticator, data):
    """Returns [outcome, name, body or challenge] as plain values."""
    try:
        name, body = authenticator.open(data)
        return ["taken", name, body.hex()]
    except UNPROVEN_SENDER_ERROR as error:
        return ["unproven", error.name, error.challenge.hex()]
    except AUTHENTICATION_ERROR:
        return ["refused", "", ""]


def fleet_settings(key):
    """Returns the settings of two controllers that know each other, and their addresses."""
    script = SCRIPT
    for index in (1, 2):
        address = f'"127.1.0.{index}:'
        script = script.replace(
            f"control = {address}", f'peer = {address}{{grpc}}", control = {address}'
        )
    all_settings = settings(5300, script=script, extra_script=f"fleet(keys = [{key.hex()!r}])")
    return all_settings, [tuple(controller["peer"]) for controller in all_settings["steward"]]


def make_node(all_settings, index, clock, transport, received):
    """Returns a GossipNode with a simulated clock and transport."""
    own_settings = all_settings["steward"][index]
    node = gossip.GossipNode(
        all_settings,
        own_settings,
        random.Random(index),
        bytes([index + 1]) * 8,
        lambda: 3 + index,
        lambda *_, **__: None,
        lambda sender, payload: received.append([index, "note", sender, payload.hex()]),
        lambda payload: received.append([index, "pins", payload.hex()]),
        lambda payload: received.append([index, "wish", payload.hex()]),
    )
    node.loop = clock
    node.connection_made(transport)
    return node


def run_tick(node):
    node.handle_events([local_status(node.count_proxies(), False), TICK])


def deliver(node, data, address):
    node.datagram_received(data, address)


def broadcast(node, kind, payload):
    {
        "note": node.broadcast_advice,
        "pins": node.broadcast_pins,
        "wish": node.broadcast_pin_target,
    }[kind](payload)


# End of the adapter.

DRAINING_MEMBER = (
    b"\x97\xa2n1\x92\xa9127.0.0.1\xcd\x14\xb4\xa5alive\x02\x92\xa9127.0.0.1\xcd\x14\xb5\x11\xc3",
    MemberInfo("n1", ("127.0.0.1", 5300), "alive", 2, ("127.0.0.1", 5301), 17, True),
)
SUSPECTED_MEMBER = (
    b"\x97\xa2n2\x92\xa1x\x01\xa7suspect\x00\x90\x00\xc2",
    MemberInfo("n2", ("x", 1), "suspect", 0),
)
MESSAGES = (
    (
        b"\x93\xa4Ping\x07\x92" + DRAINING_MEMBER[0] + SUSPECTED_MEMBER[0],
        Ping(7, [DRAINING_MEMBER[1], SUSPECTED_MEMBER[1]]),
    ),
    (b"\x93\xa3Ack\xcd\x01\x00\x91" + SUSPECTED_MEMBER[0], Ack(256, [SUSPECTED_MEMBER[1]])),
    (
        b"\x94\xa6TryFor\x01\x92\xa1x\x01\x91" + DRAINING_MEMBER[0],
        IndirectPing(1, ("x", 1), [DRAINING_MEMBER[1]]),
    ),
    (b"\x92\xa4Note\xc4\x03abc", AdviceMessage(b"abc")),
    (b"\x92\xa8PinsTold\xc4\x02\x00\xff", PinsMessage(b"\x00\xff")),
    (b"\x92\xa8WishTold\xc4\x00", PinTargetMessage(b"")),
)
KEY, OTHER_KEY = b"k" * 32, b"o" * 32


def run_members(count, seconds, seed, events):
    """Simulates members; returns their datagrams and the state changes that they saw.

    A datagram is [milliseconds, source, target, bytes]. `events`: {milliseconds: (verb, name)}.
    """
    rng, now, in_flight, datagrams, changes = random.Random(seed), 0, [], [], []
    names = [f"n{index}" for index in range(count)]
    seeds = [(name, 1) for name in names[:2]]
    members = {
        name: make_member(name, seeds, random.Random(seed + index))
        for index, name in enumerate(names)
    }
    stopped, cut_links = set(), set()

    def step(name, member_events):
        sent, state_changes = run_step(members[name], now / 1000, member_events)
        changes.extend([now, name, *change] for change in state_changes)
        for target, data in sent:
            datagrams.append([now, name, target, data])
            if rng.random() >= 0.03:
                in_flight.append((now + rng.randrange(1, 20), len(datagrams), name, target, data))

    while now < seconds * 1000:
        now += 50
        verb, name = events.get(now, ("", ""))
        if verb == "load":
            step(name, [local_status(9, True)])
        elif verb == "cut":
            cut_links |= {(name, seed_name) for seed_name in names[:2]}
        elif verb == "leave":
            step(name, [LEAVE])
        elif verb == "start":
            members[name] = make_member(name, seeds, random.Random(seed + 99))
            stopped.discard(name)
        if verb in ("leave", "kill"):
            stopped.add(name)
        arrived = sorted(datagram for datagram in in_flight if datagram[0] <= now)
        in_flight[:] = [datagram for datagram in in_flight if datagram[0] > now]
        for _, _, source, target, data in arrived:
            if target not in stopped and (source, target) not in cut_links:
                step(target, [datagram_event(source, data)])
        for name in names:
            if name not in stopped:
                step(name, [TICK])
    return datagrams, changes


def authentication_transcript():
    """Returns [operation, datagram, outcome] of each step, with fixed boots and keys."""
    first_authenticator, second_authenticator, steps = (
        make_authenticator([KEY], "a", b"1" * 8),
        make_authenticator([OTHER_KEY, KEY], "béta", b"2" * 8),
        [],
    )

    def carry(sender, receiver, body, to):
        data = seal_body(sender, body, to)
        outcome = open_datagram(receiver, data)
        steps.append(["close and open", data.hex(), outcome])
        return data, outcome

    _, unproven = carry(first_authenticator, second_authenticator, b"hello", "béta")
    store_challenge(first_authenticator, "béta", bytes.fromhex(unproven[2]))
    first_datagram, _ = carry(first_authenticator, second_authenticator, b"x", "béta")
    for data in (
        first_datagram,
        first_datagram[:-1] + b"\0",
        b"\x07" + first_datagram[1:],
        first_datagram[:20],
        b"",
    ):
        steps.append(["open", data.hex(), open_datagram(second_authenticator, data)])
    carry(first_authenticator, first_authenticator, b"own", "")
    _, refused = carry(second_authenticator, first_authenticator, b"its first key is another", "a")
    first_authenticator.keys = [KEY, OTHER_KEY]
    _, unproven = carry(second_authenticator, first_authenticator, b"\x92\xa4Note\xc4\x00", "a")
    store_challenge(second_authenticator, "a", bytes.fromhex(unproven[2]))
    carry(second_authenticator, first_authenticator, b"\x92\xa4Note\xc4\x00", "a")
    restarted = make_authenticator([KEY], "a", b"3" * 8)
    _, unproven = carry(restarted, second_authenticator, b"again", "béta")
    store_challenge(restarted, "béta", bytes.fromhex(unproven[2]))
    carry(restarted, second_authenticator, b"again", "béta")
    carry(first_authenticator, second_authenticator, b"replaced", "béta")
    return steps


class Clock:
    now = 0.0

    def time(self):
        return self.now


def node_transcript():
    """Returns the sealed datagrams of two nodes and the messages that each node received."""
    all_settings, addresses = fleet_settings(KEY)
    clock, in_flight, datagrams, received = Clock(), [], [], []

    class Transport:
        def __init__(self, index):
            self.index = index

        def sendto(self, data, address):
            datagrams.append([round(clock.now * 1000), self.index, recorded.to_base64(data)])
            in_flight.append((self.index, tuple(address), data))

    nodes = [
        make_node(all_settings, index, clock, Transport(index), received) for index in range(2)
    ]
    for tick in range(60):
        clock.now = round(0.05 * (tick + 1), 6)
        for source, address, data in in_flight[:]:
            deliver(nodes[addresses.index(address)], data, addresses[source])
            in_flight.remove((source, address, data))
        for node in nodes:
            run_tick(node)
        if tick in (30, 35, 40):
            verb = {30: "note", 35: "pins", 40: "wish"}[tick]
            broadcast(nodes[tick // 5 % 2], verb, b"payload of " + verb.encode())
    return datagrams, received


SHORT_RUN_EVENTS = {
    1500: ("load", "n1"),
    2000: ("cut", "n2"),
    3000: ("kill", "n3"),
    4500: ("start", "n3"),
    5500: ("leave", "n0"),
}
LONG_RUN_EVENTS = {
    5000: ("kill", "n4"),
    12000: ("start", "n4"),
    15000: ("cut", "n5"),
    20000: ("leave", "n0"),
}


def transcript():
    datagrams, changes = run_members(4, 6, 11, SHORT_RUN_EVENTS)
    long_run_datagrams, long_run_changes = run_members(7, 30, 5, LONG_RUN_EVENTS)
    sealed_datagrams, received = node_transcript()
    return {
        "datagrams": [[*datagram[:3], recorded.to_base64(datagram[3])] for datagram in datagrams],
        "changes": changes,
        "long run": {
            "datagrams": len(long_run_datagrams),
            "changes": len(long_run_changes),
            "sha256": sha256(
                b"".join(
                    f"{datagram[:3]}".encode() + datagram[3] for datagram in long_run_datagrams
                )
            ).hexdigest(),
        },
        "seal": authentication_transcript(),
        "sealed datagrams": sealed_datagrams,
        "told": received,
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
            decoded = decode(data)
            self.assertIs(type(decoded), type(message))
            self.assertEqual(msgspec.msgpack.encode(decoded), data)

    def test_an_unknown_tag_is_refused(self):
        with self.assertRaises(msgspec.ValidationError):
            decode(b"\x92\xa5Other\xc4\x00")


class Transcripts(unittest.TestCase):
    def test_seeded_runs_send_the_recorded_datagrams(self):
        recorded.compare(self, "gossip", transcript())

    def test_the_record_holds_every_kind_of_message(self):
        record = recorded.read("gossip")
        tags = {decode_tag(entry[3]) for entry in record["datagrams"]}
        self.assertEqual(tags, {b"Ping", b"Ack", b"TryFor"})
        self.assertEqual({entry[1] for entry in record["told"]}, {"note", "pins", "wish"})
        self.assertEqual(
            {entry[2][0] for entry in record["seal"]}, {"taken", "unproven", "refused"}
        )


def decode_tag(encoded):
    """Returns the tag by the MessagePack format: an array header, then a short string."""
    data = recorded.b64decode(encoded)
    return data[2 : 2 + (data[1] & 0x1F)]


if __name__ == "__main__":
    recorded.write("gossip", transcript())
