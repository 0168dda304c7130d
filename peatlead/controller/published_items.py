"""Items of published tables, and their presentation to operators.

Keys and values are those of `tables.version`: `line/CLASS/ZONE/ADDRESS:PORT` (a weight),
`level/CLASS` (an admitted fraction) and `retry/CLASS` (a retry policy), where CLASS is a request
class.
"""

from collections.abc import Callable, Mapping
from typing import Any

from ..tables.version import WEIGHT_SCALE, changes, parse_line_key

LINE_PREFIX = "line/"

TableItems = dict[str, Any]
"""All items of one proxy: weights and admitted fractions are integers, retry policies strings."""

LineWeights = dict[str, int]
"""The endpoint lines among a proxy's items: weight in thousandths, by key."""

EndpointWeights = dict[int, float]
"""The weights of one table, by endpoint."""


def line_items(items: Mapping[str, Any]) -> LineWeights:
    """Return the endpoint lines among `items`."""
    return {key: value for key, value in items.items() if key.startswith(LINE_PREFIX)}


def weight_fractions(items: Mapping[str, Any]) -> dict[str, float]:
    """Return each endpoint line's fraction of the total weight of its request class."""
    request_classes = {key: parse_line_key(key)[0] for key in items if key.startswith(LINE_PREFIX)}
    totals: dict[str, int] = {}
    for key, request_class in request_classes.items():
        totals[request_class] = totals.get(request_class, 0) + items[key]
    return {
        key: items[key] / totals[request_class] for key, request_class in request_classes.items()
    }


class ItemFormatter:
    """Converts items to the JSON objects that operators see.

    `endpoint_by_address` is the current index of listed addresses. `endpoint_name` returns an
    endpoint's name.
    """

    def __init__(
        self, endpoint_by_address: Mapping[str, int], endpoint_name: Callable[[int], str]
    ) -> None:
        self._endpoint_by_address = endpoint_by_address
        self._endpoint_name = endpoint_name

    def describe_item(self, key: str, value: Any) -> dict[str, Any]:
        """Return one item, with the endpoint's name and the weight in the endpoint list's unit."""
        if not key.startswith(LINE_PREFIX):
            return {"item": key, "value": value}
        request_class, zone, address, _ = parse_line_key(key)
        endpoint = self._endpoint_by_address.get(address)
        return {
            "item": f"line/{request_class}",
            "host": self._endpoint_name(endpoint) if endpoint is not None else address,
            "zone": zone,
            "value": None if value is None else value / WEIGHT_SCALE,
        }

    def describe_difference(
        self, before: Mapping[str, Any], after: Mapping[str, Any]
    ) -> list[dict[str, Any]]:
        """Return the items that differ, with a line's weight fraction before and after."""
        fractions_before = weight_fractions(before)
        fractions_after = weight_fractions(after)
        return [
            {
                **self.describe_item(key, after.get(key)),
                "before": self.describe_item(key, before.get(key))["value"],
                "part before": fractions_before.get(key),
                "part after": fractions_after.get(key),
            }
            for key in sorted(changes(before, after))
        ]
