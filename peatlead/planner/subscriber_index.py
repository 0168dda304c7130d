"""An index of the proxies whose tables name an endpoint."""

from collections.abc import Iterable


class SubscriberIndex:
    """Maps each endpoint to its subscribers, the proxies whose tables name the endpoint.

    Subscribers are kept in the order in which they were added. A proxy is counted once for each of
    its tables that names the endpoint, and stops being a subscriber when no table does.
    """

    __slots__ = ("by_endpoint",)

    def __init__(self) -> None:
        # Endpoint -> proxy -> number of the proxy's tables that name the endpoint.
        self.by_endpoint: dict[int, dict[int, int]] = {}

    def add(self, endpoint: int, proxy: int) -> None:
        """Count one more table of the proxy that names the endpoint."""
        counts = self.by_endpoint.setdefault(endpoint, {})
        counts[proxy] = counts.get(proxy, 0) + 1

    def remove(self, endpoint: int, proxy: int) -> None:
        """Count one table less. Raises KeyError if the proxy is not a subscriber."""
        counts = self.by_endpoint[endpoint]
        counts[proxy] -= 1
        if not counts[proxy]:
            del counts[proxy]
            if not counts:
                del self.by_endpoint[endpoint]

    def subscribers(self, endpoint: int) -> dict[int, int]:
        """Return the endpoint's subscribers, each with its number of tables that name the endpoint.

        The result is the index's own dictionary and must not be modified by the caller.
        """
        return self.by_endpoint.get(endpoint, {})

    def subscribers_of_any(self, endpoints: Iterable[int]) -> dict[int, int]:
        """Return the subscribers of any of the endpoints, as the keys of a dictionary."""
        proxies: dict[int, int] = {}
        for endpoint in endpoints:
            proxies.update(self.by_endpoint.get(endpoint, {}))
        return proxies
