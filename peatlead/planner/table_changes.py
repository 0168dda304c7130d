"""Tracks which tables may differ from what their proxies hold.

A proxy stores the change counts at which its tables were computed. The comparison with the current
counts shows whether anything that the tables depend on has changed, so that unchanged tables are
not computed again. The flags tell the writers of tables whether they have work to do.
"""

from .endpoint_state import EndpointState


class TableChanges:
    """Counts changes that affect tables, and holds the proxies whose tables must be checked."""

    def __init__(self) -> None:
        self.change_count = 0  # number of changes so far, of one endpoint or of all tables
        # Number of changes to endpoint pools, the zone plan or bad paths, which affect all tables.
        self.global_change_count = 0
        self.pending_proxies: set[int] = set()  # numbers of proxies whose tables may differ
        self.all_pending = False  # whether the tables of all proxies may differ
        self.removals_pending = False  # whether tables may name an unusable endpoint
        # Whether a published weight or admitted fraction has decreased; changed tables then do not
        # wait for a stage.
        self.weight_decrease_pending = False

    def mark_all_changed(self) -> None:
        """Mark the tables of all proxies as changed, to be written in stages."""
        self.change_count += 1
        self.global_change_count += 1
        self.all_pending = True

    def mark_endpoint_changed(self, endpoint: EndpointState) -> None:
        """Mark the tables that depend on the endpoint as changed, to be written in stages.

        Which tables these are is checked when a stage writes the tables of a proxy.
        """
        self.count_endpoint_change(endpoint)
        self.all_pending = True

    def count_endpoint_change(self, endpoint: EndpointState) -> None:
        """Mark the tables that depend on the endpoint as changed, without causing a write.

        These tables are computed again the next time that they are written for another reason.
        """
        self.change_count += 1
        endpoint.last_change_count = self.change_count
