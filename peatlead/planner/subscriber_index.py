"""Which proxies hold an endpoint in their tables."""

from collections.abc import Iterable


class SubscriberIndex:
    """Endpoint -> the proxies that hold it, in the order in which they came.

    A proxy may hold an endpoint in several tables: it is counted once for each, and leaves with the
    last.
    """

    __slots__ = ("by_endpoint",)

    def __init__(self) -> None:
        # endpoint -> proxy -> the number of the proxy's tables that have the endpoint
        self.by_endpoint: dict[int, dict[int, int]] = {}

    def add(self, endpoint: int, proxy: int) -> None:
        """Count one more table of the proxy with the endpoint."""
        counts = self.by_endpoint.setdefault(endpoint, {})
        counts[proxy] = counts.get(proxy, 0) + 1

    def remove(self, endpoint: int, proxy: int) -> None:
        """Count one table less; KeyError where the proxy doesn't hold the endpoint."""
        counts = self.by_endpoint[endpoint]
        counts[proxy] -= 1
        if not counts[proxy]:
            del counts[proxy]
            if not counts:
                del self.by_endpoint[endpoint]

    def subscribers(self, endpoint: int) -> dict[int, int]:
        """The proxies that hold the endpoint, each with the number of its tables that do.

        This is the index's own map, not to be changed by the caller.
        """
        return self.by_endpoint.get(endpoint, {})

    def subscribers_of_any(self, endpoints: Iterable[int]) -> dict[int, int]:
        """The proxies that hold any of the endpoints, as the keys of a map (an ordered set)."""
        proxies: dict[int, int] = {}
        for endpoint in endpoints:
            proxies.update(self.by_endpoint.get(endpoint, {}))
        return proxies
