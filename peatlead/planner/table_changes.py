"""Which tables may differ from what their proxies hold.

Change counts show whether anything that a table was drawn from has changed since; a table that
nothing changed for is not computed again. The flags show the writers of tables whether they have
anything to do.
"""

from .endpoint_state import EndpointState


class TableChanges:
    """Counts of changes, and the proxies whose tables must be looked at."""

    def __init__(self) -> None:
        self.count = 0  # changes so far, of an endpoint or of all
        self.pool_changes = 0  # those of all: pools, plans, bad paths
        self.pending: set[int] = set()  # proxies whose tables may differ
        self.all_pending = False  # every proxy's may
        self.removals_pending = False  # an endpoint that tables may name isn't usable
        self.reductions_pending = False  # a cold endpoint's share sank: as urgent as a removal

    def mark_all(self) -> None:
        """Every table may have changed."""
        self.count += 1
        self.pool_changes += 1
        self.all_pending = True

    def mark(self, endpoint: EndpointState) -> None:
        """Tables that go by the endpoint may have changed."""
        self.touch(endpoint)
        self.all_pending = True

    def touch(self, endpoint: EndpointState) -> None:
        """Tables that go by the endpoint must be computed anew when they are next written."""
        self.count += 1
        endpoint.last_change = self.count
