"""Datagrams between the controllers of one fleet: their bodies, before authentication.

Each message is a MessagePack array `[tag, field, ...]`. Tags and the order of the fields are the
wire format and must not change; the names of classes and fields are free.
"""

from enum import StrEnum
from typing import Any

import msgspec

Address = tuple[Any, ...]  # (host, port), as the socket takes it


class MemberState(StrEnum):
    """What is believed of a member (SWIM, section 4.2, and a voluntary leave)."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


class MemberInfo(msgspec.Struct, array_like=True, frozen=True):
    """One disseminated fact: a member's state at one incarnation."""

    name: str
    address: Address  # its gossip socket
    state: str  # a `MemberState`; not validated, as a later release may send further states
    incarnation: int  # only the member itself raises it
    proxy_address: Address = ()  # where proxies connect to it; empty where it takes none
    load: int = 0  # connected proxies
    draining: bool = False  # whether it takes no more proxies


class Ping(msgspec.Struct, array_like=True, tag="Ping"):
    """A direct probe; `number` is repeated by its `Ack`."""

    number: int
    facts: list[MemberInfo]


class Ack(msgspec.Struct, array_like=True, tag="Ack"):
    """The answer to a `Ping` or, through a helper, to an `IndirectPing`."""

    number: int
    facts: list[MemberInfo]


class IndirectPing(msgspec.Struct, array_like=True, tag="TryFor"):
    """A request to ping `address` and to pass its answer back (SWIM's ping-req)."""

    number: int
    address: Address
    facts: list[MemberInfo]


class AdviceMessage(msgspec.Struct, array_like=True, tag="Note"):
    """Advice from one member's planner to another's; only planners interpret the payload."""

    payload: bytes


class PinsMessage(msgspec.Struct, array_like=True, tag="PinsTold"):
    """Operators' pins, as `tables.pins` writes them."""

    payload: bytes


class PinTargetMessage(msgspec.Struct, array_like=True, tag="WishTold"):
    """What one proxy held before a pin, from the controller that owned the proxy then."""

    payload: bytes


MembershipMessage = Ping | Ack | IndirectPing
Message = MembershipMessage | AdviceMessage | PinsMessage | PinTargetMessage

DECODER: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)
