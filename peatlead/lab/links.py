"""The simulated network's links: delay, jitter, loss and cuts between addresses."""

from random import Random

SAME_PLACE_DELAY = 0.0001  # seconds one way, as within a zone
CROSS_PLACE_DELAY = 0.001  # seconds one way, as between zones of a region
JITTER = 0.3  # a delay is drawn between itself and (1 + JITTER) times itself


class Links:
    """The links between all addresses, by the places of the addresses.

    `places` maps an address to its place; an address without one is its own. `cut` holds (from, to)
    pairs of places or of addresses that let nothing through, one way each; `extra_delay` holds
    seconds that such a pair takes longer.
    """

    def __init__(self, rng: Random) -> None:
        self.rng = rng
        self.places: dict[str, str] = {}
        self.cut: set[tuple[str, str]] = set()
        self.extra_delay: dict[tuple[str, str], float] = {}
        self.same_place_delay = SAME_PLACE_DELAY
        self.cross_place_delay = CROSS_PLACE_DELAY
        self.jitter = JITTER
        self.loss = 0.0  # the part of datagrams that is lost
        self.reordering = 0.0  # the part of datagrams that is delayed past later ones

    def place(self, address: str) -> str:
        """The place of an address."""
        return self.places.get(address, address)

    def delay(self, source: str, target: str) -> float | None:
        """Seconds for one way between two addresses, drawn anew; None over a cut link."""
        places = self.place(source), self.place(target)
        if self.cut and (places in self.cut or (source, target) in self.cut):
            return None
        base = self.same_place_delay if places[0] == places[1] else self.cross_place_delay
        extra = self.extra_delay.get(places, 0.0) or self.extra_delay.get((source, target), 0.0)
        return base * (1 + self.jitter * self.rng.random()) + extra

    def drop_datagram(self) -> bool:
        """Whether the next datagram is lost, drawn anew."""
        return self.loss > 0.0 and self.rng.random() < self.loss

    def reordered(self, delay: float) -> float:
        """A datagram's delay, for some of them long enough to arrive after later ones."""
        if self.reordering and self.rng.random() < self.reordering:
            return delay * (1 + 10 * self.rng.random())
        return delay
