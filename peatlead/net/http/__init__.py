"""HTTP/1.1 (RFC 9112) on `Stream`: `ClientConnection` and `ServerConnection`.

Messages are parsed by httptools, a wrapper of the C library llhttp, and encoded by this package. A
parser in Python would dominate the run time of simulations: h11 took half of the time of a
simulated day (docs/results/lab.md). The sizes of heads and bodies and the number of pipelined
requests are limited.
"""

from .client import ClientConnection, RequestFailedError, RequestOutcome, Response, connect
from .message import (
    MAX_BODY_BYTES,
    MAX_HEAD_BYTES,
    Header,
    HttpError,
    InvalidMessageError,
    encode_message,
)
from .server import MAX_PIPELINED_REQUESTS, ServerConnection

__all__ = [
    "MAX_BODY_BYTES",
    "MAX_HEAD_BYTES",
    "MAX_PIPELINED_REQUESTS",
    "ClientConnection",
    "Header",
    "HttpError",
    "InvalidMessageError",
    "RequestFailedError",
    "RequestOutcome",
    "Response",
    "ServerConnection",
    "connect",
    "encode_message",
]
