"""Tracks which tables may differ from what their proxies hold.

Change counts show whether anything that a table was computed from has changed since, so that
unchanged tables are not computed again. The flags show the writers of tables whether they have work
to do.
"""

from .endpoint_state import EndpointState


class TableChanges:
    """Change counts, and the proxies whose tables must be checked."""

    def __init__(self) -> None:
        self.count = 0  # number of changes so far, of one endpoint or of all
        self.pool_changes = 0  # number of changes that affect all tables: pools, plans, bad paths
        self.pending: set[int] = set()  # proxies whose tables may differ
        self.all_pending = False  # whether the tables of all proxies may differ
        self.removals_pending = False  # whether tables may name an unusable endpoint
        self.reductions_pending = False  # whether a published weight decreased, which is urgent

    def mark_all(self) -> None:
        """Mark all tables as changed and pending."""
        self.count += 1
        self.pool_changes += 1
        self.all_pending = True

    def mark(self, endpoint: EndpointState) -> None:
        """Mark the tables that depend on the endpoint as changed, and all tables as pending."""
        self.touch(endpoint)
        self.all_pending = True

    def touch(self, endpoint: EndpointState) -> None:
        """Mark the tables that depend on the endpoint as changed, without writing them now."""
        self.count += 1
        endpoint.last_change = self.count
