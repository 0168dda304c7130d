"""The links of the simulated network: delay, jitter, loss and cuts between addresses."""

from random import Random

SAME_PLACE_DELAY = 0.0001  # one-way delay in seconds, typical within a zone
CROSS_PLACE_DELAY = 0.001  # one-way delay in seconds, typical between zones of a region
JITTER = 0.3  # maximum random increase of a delay, as a fraction of the delay


class Links:
    """The links between all addresses, whose delay depends on the places of the addresses.

    A place is usually a zone. `places` maps addresses to places; an address that is missing is a
    place of its own. `cut` contains the (source, target) pairs of places or of addresses between
    which all packets are dropped, in this direction only. `extra_delay` maps such pairs to
    additional seconds.
    """

    def __init__(self, rng: Random) -> None:
        self.rng = rng
        self.places: dict[str, str] = {}
        self.cut: set[tuple[str, str]] = set()
        self.extra_delay: dict[tuple[str, str], float] = {}
        self.same_place_delay = SAME_PLACE_DELAY
        self.cross_place_delay = CROSS_PLACE_DELAY
        self.jitter = JITTER
        self.loss = 0.0  # fraction of datagrams that are lost
        self.reordering = 0.0  # fraction of datagrams that get a much longer delay

    def place(self, address: str) -> str:
        """Return the place of an address."""
        return self.places.get(address, address)

    def delay(self, source: str, target: str) -> float | None:
        """Return a random one-way delay in seconds, or None if the link is cut."""
        places = self.place(source), self.place(target)
        if self.cut and (places in self.cut or (source, target) in self.cut):
            return None
        base = self.same_place_delay if places[0] == places[1] else self.cross_place_delay
        extra = self.extra_delay.get(places, 0.0) or self.extra_delay.get((source, target), 0.0)
        return base * (1 + self.jitter * self.rng.random()) + extra

    def drop_datagram(self) -> bool:
        """Return whether to lose the next datagram, at random."""
        return self.loss > 0.0 and self.rng.random() < self.loss

    def with_random_reordering(self, delay: float) -> float:
        """Return a datagram's delay, at random increased so that later datagrams overtake it."""
        if self.reordering and self.rng.random() < self.reordering:
            return delay * (1 + 10 * self.rng.random())
        return delay
