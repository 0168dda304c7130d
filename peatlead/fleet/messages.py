"""Messages between the controllers of one fleet, as carried in the bodies of sealed datagrams.

Each message is a MessagePack array `[tag, field, ...]`. The tags and the order of the fields are
the wire format and must not change. The names of classes and fields are not on the wire.
"""

from enum import StrEnum
from typing import Any

import msgspec

Address = tuple[Any, ...]  # (host, port), as passed to the socket


class MemberState(StrEnum):
    """Believed state of a member: the states of SWIM (section 4.2), and left voluntarily."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


class MemberInfo(msgspec.Struct, array_like=True, frozen=True):
    """A fact about a member: its state and status at one incarnation."""

    name: str
    address: Address  # of the member's gossip socket
    state: str  # a `MemberState`; not validated, because a later release may add states
    incarnation: int  # only the member itself raises its incarnation
    proxy_address: Address = ()  # of the gRPC server; empty if the member serves no proxies
    load: int = 0  # connected proxies
    draining: bool = False  # whether the member admits no more proxies


class Ping(msgspec.Struct, array_like=True, tag="Ping"):
    """A direct probe; its `Ack` repeats `number`."""

    number: int
    facts: list[MemberInfo]


class Ack(msgspec.Struct, array_like=True, tag="Ack"):
    """The answer to a `Ping`; a helper forwards it as the answer to an `IndirectPing`."""

    number: int
    facts: list[MemberInfo]


class IndirectPing(msgspec.Struct, array_like=True, tag="TryFor"):
    """A request to ping `address` and to forward its answer (ping-req in the SWIM paper)."""

    number: int
    address: Address
    facts: list[MemberInfo]


class AdviceMessage(msgspec.Struct, array_like=True, tag="Note"):
    """Advice from one planner to the others; only planners interpret the payload."""

    payload: bytes


class PinsMessage(msgspec.Struct, array_like=True, tag="PinsTold"):
    """Operators' pins, as encoded by `tables.pins`."""

    payload: bytes


class PinTargetMessage(msgspec.Struct, array_like=True, tag="WishTold"):
    """The table of one proxy before a pin, from the controller that owned the proxy then."""

    payload: bytes


MembershipMessage = Ping | Ack | IndirectPing
Message = MembershipMessage | AdviceMessage | PinsMessage | PinTargetMessage

DECODER: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)
