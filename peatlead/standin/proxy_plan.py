"""What a stand-in proxy is; the fields are those of the command in which it is sent."""

from typing import Any

import msgspec

from .dns_clients import RequestClass

TWO_CHOICES = "lighter of two"  # of two endpoints drawn by weight, the one with less in flight


class ProxyPlan(msgspec.Struct):
    """One proxy: where it is, which controllers it knows, and the requests that it sends."""

    name: str
    zone: str
    local: str  # its own address
    controllers: list[list[Any]]  # [host, port]
    port: int  # of all endpoints
    rate: float  # requests per second
    kinds: list[RequestClass]
    pick: str = TWO_CHOICES
    fails_to_shun: int = 3  # failures in a row until an endpoint is ejected; 0 for never
    shun_for: float = 3.0  # seconds that an endpoint is ejected for, on average
    late_gain: float = 0.1  # part of the gain of a request that is late
    incremental: bool = False  # follows the incremental variant of the protocol
