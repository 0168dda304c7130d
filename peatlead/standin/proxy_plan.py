"""The plan of a stand-in proxy."""

from typing import Any

import msgspec

from .request_outcome import RequestClass

TWO_CHOICES = "lighter of two"  # of two random endpoints, the one with fewer requests in flight


class ProxyPlan(msgspec.Struct):
    """The properties of a proxy; the names of the fields are JSON keys of the command."""

    name: str
    zone: str
    local: str  # the proxy's address
    controllers: list[list[Any]]  # [host, port]
    port: int  # of all endpoints
    rate: float  # requests per second
    kinds: list[RequestClass]
    pick: str = TWO_CHOICES
    fails_to_shun: int = 3  # consecutive failures until an endpoint is ejected; 0: never
    shun_for: float = 3.0  # mean seconds of an ejection
    late_gain: float = 0.1  # fraction of the gain for a late request
    incremental: bool = False  # uses the incremental variant of the protocol
