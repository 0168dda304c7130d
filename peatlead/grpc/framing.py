"""gRPC over HTTP/2: message framing, status codes and timeouts. No I/O.

Source: the gRPC protocol over HTTP/2 specification (Length-Prefixed-Message, Status,
Status-Message, Timeout).
"""

from enum import IntEnum
from typing import Optional


class StatusCode(IntEnum):
    """The gRPC status codes that this project uses."""

    OK = 0
    CANCELLED = 1
    UNKNOWN = 2
    INVALID_ARGUMENT = 3
    DEADLINE_EXCEEDED = 4
    NOT_FOUND = 5
    RESOURCE_EXHAUSTED = 8
    UNIMPLEMENTED = 12
    UNAVAILABLE = 14


TIMEOUT_UNITS = {"H": 3600.0, "M": 60.0, "S": 1.0, "m": 1e-3, "u": 1e-6, "n": 1e-9}  # in seconds
MAX_TIMEOUT_SIZE = 9  # characters: at most eight digits and a unit
MAX_MESSAGE = 4 << 20  # bytes
MAX_STATUS_MESSAGE = 1000  # characters after percent-encoding
PREFIX_SIZE = 5  # bytes: compressed flag (1) and message length (4, big-endian)
NOT_COMPRESSED = 0


class FramingError(Exception):
    """An invalid message; `status` is the status code to end the call with."""

    def __init__(self, status: StatusCode, text: str) -> None:
        super().__init__(text)
        self.status = status


def frame(message: bytes) -> bytes:
    """Returns an uncompressed message with its length prefix."""
    return b"\0" + len(message).to_bytes(4, "big") + message


class MessageDeframer:
    """Extracts messages from the data of a stream.

    The buffer holds at most one incomplete message of `max_message` bytes.
    """

    def __init__(self, max_message: int = MAX_MESSAGE) -> None:
        self.max_message = max_message
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Adds data and returns the messages that are now complete. Raises FramingError."""
        self.buffer += data
        messages = []
        start = 0
        while len(self.buffer) - start >= PREFIX_SIZE:
            size = self._read_prefix(start)
            body = start + PREFIX_SIZE
            if len(self.buffer) - body < size:
                break
            messages.append(bytes(self.buffer[body : body + size]))
            start = body + size
        del self.buffer[:start]
        return messages

    def _read_prefix(self, start: int) -> int:
        """Returns the size of the message whose prefix is at `start`."""
        if self.buffer[start] != NOT_COMPRESSED:  # no compression was negotiated
            raise FramingError(
                StatusCode.UNIMPLEMENTED, "expected a message that is not compressed"
            )
        size = int.from_bytes(self.buffer[start + 1 : start + PREFIX_SIZE], "big")
        if size > self.max_message:
            raise FramingError(
                StatusCode.RESOURCE_EXHAUSTED,
                f"expected a message of at most {self.max_message} bytes, got {size}",
            )
        return size


def parse_timeout(value: str) -> Optional[float]:
    """Returns the seconds of a `grpc-timeout` header, or None if it is invalid."""
    digits, unit = value[:-1], value[-1:]
    if len(value) > MAX_TIMEOUT_SIZE or not digits.isdecimal() or unit not in TIMEOUT_UNITS:
        return None
    return int(digits) * TIMEOUT_UNITS[unit]


def percent_encode(text: str) -> str:
    """Encodes a text as a `grpc-message` header of limited size.

    Characters other than printable ASCII are percent-encoded.
    """
    encoded = "".join(map(_percent_encode_byte, text.encode()))
    return encoded[:MAX_STATUS_MESSAGE]


def _percent_encode_byte(byte: int) -> str:
    printable = ord(" ") <= byte <= ord("~") and byte != ord("%")
    return chr(byte) if printable else f"%{byte:02X}"
