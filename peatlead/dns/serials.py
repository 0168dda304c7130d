"""Serials of the zone's versions (RFC 1982), disjoint between controllers.

Each controller issues only serials with a remainder of its own, modulo a power of two, so that no
two controllers ever give one serial to different zones, and a difference is never applied to a base
that another controller made.
"""

SERIAL_MODULUS = 1 << 32


def is_newer(serial: int, other: int) -> bool:
    """Return whether a serial is past another (RFC 1982 section 3.2).

    At a distance of 2^31 neither is.
    """
    return 0 < (serial - other) % SERIAL_MODULUS < SERIAL_MODULUS // 2


class Serials:
    """The serials that controller number `controller_index` of `controller_count` may issue.

    They are `controller_index` modulo the next power of two, and never 0.
    """

    def __init__(self, controller_index: int, controller_count: int) -> None:
        self.step = 1
        while self.step < controller_count:
            self.step *= 2
        self.controller_index = controller_index

    def next_after(self, serial: int) -> int:
        """Return the first own serial past another."""
        distance = self.step - (serial - self.controller_index) % self.step
        following = (serial + distance) % SERIAL_MODULUS
        return following or self.next_after(following)

    def is_own(self, serial: int) -> bool:
        """Return whether this controller may have issued a serial."""
        return serial % self.step == self.controller_index
