"""The state of one proxy: its tables, what they were computed from, and its recent messages."""

from collections import deque
from typing import Optional

from ..interface import Admission
from .endpoint_state import EndpointState
from .rendezvous import RendezvousPool, proxy_key

NEVER_WRITTEN = -1  # below every change count


class ProxyState:
    """A proxy that has connected; its tables are kept while it is disconnected."""

    def __init__(self, number: int, groups: int, first_table: int) -> None:
        self.number = number
        self.key = proxy_key(number)  # for rendezvous hashing
        self.zone = 0
        # Table number of the first group; the numbers of the other groups' tables follow.
        self.first_table = first_table
        # For each group, the published weight of each endpoint in the table, by endpoint id.
        self.entries: list[dict[int, float]] = [{} for _ in range(groups)]
        # For each group, the published admission of its table; None if the table never had its own.
        self.admissions: list[Optional[Admission]] = [None] * groups
        self.assigned = False  # whether tables have been assigned since the proxy connected

        # Connection.
        self.connected_at = 0.0  # seconds
        # Seconds; until then the proxy may keep the table of a previous controller.
        self.previous_table_until = 0.0
        self.message_times: deque[float] = deque()  # seconds, of recent messages to the proxy

        # Requests.
        self.request_rate = 0.0  # requests per second
        self.announced_rate = 0.0  # requests per second, as told when connecting; 0 if unknown
        self.rate_is_announced = True  # whether no report has come since the proxy connected
        self.class_rates: dict[int, float] = {}  # requests per second by request class, as reported

        # What the tables were computed from, so that unchanged tables are not computed again.
        self.source_endpoints: dict[int, EndpointState] = {}  # endpoints of the shards, by id
        # The counts of `TableChanges` when the tables were last computed.
        self.seen_global_change_count = NEVER_WRITTEN
        self.seen_change_count = NEVER_WRITTEN
        # Whether the tables have endpoints from outside the shards. Such tables are computed again
        # with every write.
        self.has_endpoints_outside_shards = False
        # For each (group, zone), the pool and its first endpoints in the proxy's order.
        self.ranked_pools: dict[
            tuple[int, int], tuple[RendezvousPool[EndpointState], list[EndpointState]]
        ] = {}

        # Restorations: ids of the endpoints that the proxy does not eject, because the current
        # stream has restored them.
        self.restored_endpoints: set[int] = set()

        # Withdrawals, while the proxy waits for its tables.
        self.notified_endpoints: set[int] = set()  # ids of endpoints whose withdrawal was sent
        # Since when the previous table may name withdrawn endpoints that the proxy was not notified
        # of, in seconds; None if it was notified of all.
        self.unnotified_since: Optional[float] = None
        # Ids of endpoints that are ready again, and that the proxy still ejects.
        self.returned_endpoints: set[int] = set()
        # Whether the proxy is sent its table instead of a notification.
        self.needs_table = False
        # Whether all endpoints of one of the previous tables may be withdrawn.
        self.may_have_no_endpoint = False

    def invalidate_tables(self) -> None:
        """Cause the tables to be computed again with the next write."""
        self.seen_global_change_count = NEVER_WRITTEN
