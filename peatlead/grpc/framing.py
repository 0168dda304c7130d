"""gRPC over HTTP/2: message framing, status codes, deadlines. Sans-I/O.

Source: the gRPC protocol over HTTP/2 specification (Length-Prefixed-Message, Timeout, Status).
"""

OK, CANCELLED, UNKNOWN, INVALID, DEADLINE, NOT_FOUND = 0, 1, 2, 3, 4, 5
EXHAUSTED, PRECONDITION, UNIMPLEMENTED, INTERNAL, UNAVAILABLE, UNAUTHENTICATED = (
    8,
    9,
    12,
    13,
    14,
    16,
)
UNITS = {"H": 3600.0, "M": 60.0, "S": 1.0, "m": 1e-3, "u": 1e-6, "n": 1e-9}
LONGEST = 4 << 20  # bytes of one message


class FramingError(Exception):
    """`status` is what the caller is told."""

    def __init__(self, status, text):
        super().__init__(text)
        self.status = status


def frame(message):
    return b"\0" + len(message).to_bytes(4, "big") + message


class Unframer:
    """Messages out of a stream's bytes; never holds more than one message of `longest` and a header."""

    def __init__(self, longest=LONGEST):
        self.longest, self.held = longest, bytearray()

    def feed(self, data):
        """The whole messages so far. Raises BadFrame."""
        self.held += data
        found, at = [], 0
        while len(self.held) - at >= 5:
            size = int.from_bytes(self.held[at + 1 : at + 5], "big")
            if self.held[at] != 0:  # we name no encoding, so none may be used
                raise FramingError(UNIMPLEMENTED, "expected a message that is not compressed")
            if size > self.longest:
                raise FramingError(
                    EXHAUSTED, f"expected a message of at most {self.longest} bytes, got {size}"
                )
            if len(self.held) - at - 5 < size:
                break
            found.append(bytes(self.held[at + 5 : at + 5 + size]))
            at += 5 + size
        del self.held[:at]
        return found


def read_timeout(value):
    """Seconds of a `grpc-timeout` header, or None where it is not one."""
    if not value or not value[:-1].isdigit() or len(value) > 9 or value[-1] not in UNITS:
        return None
    return int(value[:-1]) * UNITS[value[-1]]


def percent(text):
    """`grpc-message`: percent-encoded beyond printable ASCII."""
    return "".join(
        chr(b) if 0x20 <= b <= 0x7E and b != 0x25 else f"%{b:02X}" for b in text.encode()
    )[:1000]
