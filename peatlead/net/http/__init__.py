"""HTTP/1.1 (RFC 9112) on `Stream`: `ClientConnection` and `ServerConnection`.

httptools (llhttp) parses messages; heads are written here. Heads, bodies and pipelined requests are
bounded. The parser is in C because h11, in Python, took half of the time of a simulated day
(docs/results/lab.md).
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
