"""What the planner knows of one proxy: its tables, their origin, and what it was sent lately."""

from collections import deque

from .endpoint_state import EndpointState
from .rendezvous import RendezvousPool, proxy_key

NEVER_WRITTEN = -1  # below every change count


class ProxyState:
    """One proxy that has connected; its tables stay known while it is disconnected."""

    def __init__(self, number: int, groups: int, first_table: int) -> None:
        self.number = number
        self.key = proxy_key(number)  # its rendezvous key
        self.zone = 0
        self.first_table = first_table  # number of its first group's table; the others' follow
        # By request class group: endpoint id -> weight as published.
        self.entries: list[dict[int, float]] = [{} for _ in range(groups)]
        self.assigned = False  # whether it was assigned its tables since it connected

        # Connection.
        self.connected_at = 0.0
        self.previous_table_until = 0.0  # seconds; until then its previous table may stand
        self.message_times: deque[float] = deque()  # of the messages sent to it lately

        # Requests.
        self.request_rate = 0.0  # requests a second
        self.class_rates: dict[int, float] = {}  # requests a second by request class, as reported

        # What its tables were drawn from: one that would come out the same isn't computed again.
        self.drawn_from: dict[int, EndpointState] = {}  # its shards' endpoints
        self.seen_pool_changes = NEVER_WRITTEN  # the count of pool changes then
        self.seen_changes = NEVER_WRITTEN  # the count of endpoint changes then
        self.beyond_shards = False  # tables that go by endpoints beyond the shards
        # By (group, zone): the pool, and the first endpoints of the proxy's order of it.
        self.ranked: dict[
            tuple[int, int], tuple[RendezvousPool[EndpointState], list[EndpointState]]
        ] = {}

        # Withdrawals, while it waits for its tables.
        self.notified: set[int] = set()  # ids of the endpoints whose withdrawal it was sent
        self.notified_count = 0  # the planner's count of withdrawals when it was last notified

    def reset_draw(self) -> None:
        """Compute its tables anew with the next write."""
        self.seen_pool_changes = NEVER_WRITTEN
