"""A transport without a socket: what a protocol writes is kept, for tests and measurements."""


class InMemoryTransport:
    """`out` holds all that was written; `closed` whether the protocol has ended it."""

    def __init__(self):
        self.out, self.closed = bytearray(), False

    def write(self, data):
        self.out += data

    def get_extra_info(self, name, default=None):
        return "127.0.0.1", 1

    def get_write_buffer_size(self):
        return 0

    def is_closing(self):
        return self.closed

    def close(self):
        self.closed = True

    abort = close
