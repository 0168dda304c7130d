"""Membership machines alone, on a made-up network: for tests, and for sizes that sockets would not reach."""

import random

import msgspec

from ..fleet.membership import (
    Ack,
    DatagramReceived,
    IndirectPing,
    MemberInfo,
    Membership,
    Ping,
    SendDatagram,
    Tick,
)

STEP = 0.05


class MembershipNetwork:
    """Members on a made-up network: delays, losses, cuts (one way too), kills and freezes, all by seed."""

    def __init__(self, many, seed=1, loss=0.0, **timers):
        self.rng, self.loss, self.now, self.in_flight = random.Random(seed), loss, 0.0, []
        self.cut, self.dead, self.frozen, self.timers = set(), set(), set(), timers
        self.messages_sent = self.bytes_sent = 0
        self.nodes = {}
        for at in range(many):
            self.start(f"n{at}", [f"n{other}" for other in range(min(3, many))])

    def start(self, name, seeds=("n0", "n1", "n2")):
        about = MemberInfo(name, (name, 1), "alive", 0)
        self.nodes[name] = Membership(about, [(seed, 1) for seed in seeds], self.rng, **self.timers)
        self.dead.discard(name)

    def deliver(self, name, events):
        for order in self.nodes[name].decide(self.now, events):
            if type(order) is SendDatagram:
                data = msgspec.msgpack.encode(order.message)
                self.messages_sent += 1
                self.bytes_sent += len(data)
                if self.rng.random() >= self.loss:
                    self.in_flight.append(
                        (self.now + self.rng.uniform(0.001, 0.02), name, order.address[0], data)
                    )

    def run(self, seconds, each=None):
        end = self.now + seconds
        while self.now < end:
            self.now = round(self.now + STEP, 6)
            due = sorted(
                one for one in self.in_flight if one[0] <= self.now and one[2] not in self.frozen
            )
            self.in_flight = [one for one in self.in_flight if one not in due]
            for _, source, target, data in due:
                if (
                    target in self.nodes
                    and target not in self.dead
                    and (source, target) not in self.cut
                ):
                    message = msgspec.msgpack.decode(data, type=Ping | Ack | IndirectPing)
                    self.deliver(target, [DatagramReceived((source, 1), message)])
            for name in sorted(self.nodes):
                if name not in self.dead and name not in self.frozen:
                    self.deliver(name, [Tick()])
            if each is not None:
                each()

    def states_of(self, of):
        return {
            name: one.members[of].info.state
            for name, one in self.nodes.items()
            if name not in self.dead and of in one.members
        }

    def agreed(self, live):
        return all(set(self.nodes[name].live_members()) == set(live) for name in live)
