"""Serials of the zone's versions (RFC 1982), different for each controller.

Each controller issues only serials with its own remainder modulo a power of two. So two controllers
never use the same serial for different versions, and a secondary never applies a difference to a
version from another controller.
"""

SERIAL_MODULUS = 1 << 32


def is_newer(serial: int, other: int) -> bool:
    """Return whether a serial is newer than another (RFC 1982 section 3.2).

    The order of two serials at a distance of 2^31 is undefined; then the result is False.
    """
    return 0 < (serial - other) % SERIAL_MODULUS < SERIAL_MODULUS // 2


class Serials:
    """The serials that controller number `controller_index` of `controller_count` may issue.

    These are the serials with the remainder `controller_index` modulo `step`, the lowest power of
    two that is not below `controller_count`. Serial 0 is never issued.
    """

    def __init__(self, controller_index: int, controller_count: int) -> None:
        self.step = 1
        while self.step < controller_count:
            self.step *= 2
        self.controller_index = controller_index

    def next_own_serial(self, serial: int) -> int:
        """Return this controller's first serial that is newer than `serial`."""
        distance = self.step - (serial - self.controller_index) % self.step
        next_serial = (serial + distance) % SERIAL_MODULUS
        return next_serial or self.next_own_serial(next_serial)

    def is_own(self, serial: int) -> bool:
        """Return whether this controller may issue a serial."""
        return serial % self.step == self.controller_index
