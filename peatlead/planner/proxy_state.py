"""What the planner knows about one proxy: its tables, their sources and its recent messages."""

from collections import deque

from .endpoint_state import EndpointState
from .rendezvous import RendezvousPool, proxy_key

NEVER_WRITTEN = -1  # below every change count


class ProxyState:
    """A proxy that has connected; its tables are kept while it is disconnected."""

    def __init__(self, number: int, groups: int, first_table: int) -> None:
        self.number = number
        self.key = proxy_key(number)  # for rendezvous hashing
        self.zone = 0
        # Table number of the first group; those of the other groups follow.
        self.first_table = first_table
        # By group: endpoint id -> weight as published.
        self.entries: list[dict[int, float]] = [{} for _ in range(groups)]
        self.assigned = False  # whether tables were assigned since the proxy connected

        # Connection.
        self.connected_at = 0.0
        self.previous_table_until = 0.0  # seconds; until then the previous table may stay in use
        self.message_times: deque[float] = deque()  # times of recent messages to the proxy

        # Requests.
        self.request_rate = 0.0  # requests per second
        self.class_rates: dict[int, float] = {}  # requests per second by request class, as reported

        # What the tables were computed from, to avoid computing unchanged tables again.
        self.source_endpoints: dict[int, EndpointState] = {}  # endpoints of the shards, by id
        self.seen_pool_changes = NEVER_WRITTEN  # `TableChanges.pool_changes` at that time
        self.seen_changes = NEVER_WRITTEN  # `TableChanges.count` at that time
        self.beyond_shards = False  # whether tables depend on endpoints outside the shards
        # By (group, zone): the pool and the first endpoints in the proxy's order of the pool.
        self.ranked_pools: dict[
            tuple[int, int], tuple[RendezvousPool[EndpointState], list[EndpointState]]
        ] = {}

        # Withdrawals, while the proxy waits for its tables.
        self.notified_endpoints: set[int] = set()  # ids of endpoints whose withdrawal was sent
        self.seen_withdrawals = 0  # `Withdrawals.withdrawal_count` at the last notification

    def invalidate_tables(self) -> None:
        """Compute the tables again with the next write."""
        self.seen_pool_changes = NEVER_WRITTEN
