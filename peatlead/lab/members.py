"""The failure detector of controllers on a simulated network, without the rest of the controller.

For tests, and for benchmarks with more members than sockets allow.
"""

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

TICK_INTERVAL = 0.05  # seconds


class MembershipNetwork:
    """Members on a simulated network with delays, packet loss, cut links, kills and freezes.

    `cut` contains (source, target) pairs of names, `dead` and `frozen` contain names, and `loss` is
    the probability that a datagram is lost. `timers` are keyword arguments of `Membership`.
    """

    def __init__(self, size, seed=1, loss=0.0, **timers):
        self.rng, self.loss, self.now, self.in_flight = random.Random(seed), loss, 0.0, []
        self.cut, self.dead, self.frozen, self.timers = set(), set(), set(), timers
        self.messages_sent = self.bytes_sent = 0
        self.nodes = {}
        for number in range(size):
            self.start(f"n{number}", [f"n{other}" for other in range(min(3, size))])

    def start(self, name, seeds=("n0", "n1", "n2")):
        """Start a member, or restart it without state; it joins through the `seeds`."""
        info = MemberInfo(name, (name, 1), "alive", 0)
        self.nodes[name] = Membership(info, [(seed, 1) for seed in seeds], self.rng, **self.timers)
        self.dead.discard(name)

    def deliver(self, name, events):
        """Pass events to a member and send the datagrams that it returns."""
        for command in self.nodes[name].decide(self.now, events):
            if type(command) is SendDatagram:
                data = msgspec.msgpack.encode(command.message)
                self.messages_sent += 1
                self.bytes_sent += len(data)
                if self.rng.random() >= self.loss:
                    self.in_flight.append(
                        (self.now + self.rng.uniform(0.001, 0.02), name, command.address[0], data)
                    )

    def run(self, seconds, after_tick=None):
        """Run for some simulated seconds and call `after_tick()` after each tick."""
        end = self.now + seconds
        while self.now < end:
            self.now = round(self.now + TICK_INTERVAL, 6)
            arriving = sorted(
                datagram
                for datagram in self.in_flight
                if datagram[0] <= self.now and datagram[2] not in self.frozen
            )
            self.in_flight = [datagram for datagram in self.in_flight if datagram not in arriving]
            for _, source, target, data in arriving:
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
            if after_tick is not None:
                after_tick()

    def member_states(self, member):
        """Return the state that each running member has stored for a member, by name."""
        return {
            name: node.members[member].info.state
            for name, node in self.nodes.items()
            if name not in self.dead and member in node.members
        }

    def members_agree(self, live_names):
        """Return whether each member of `live_names` considers exactly these members alive."""
        return all(set(self.nodes[name].live_members()) == set(live_names) for name in live_names)
