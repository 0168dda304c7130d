"""The planner's settings by key.

Controllers pass a plain dictionary that they have already validated. The types here declare the
keys that the planner reads, for the type checker only. Defaults of optional keys are given where
the keys are read. A change of the dictionary takes effect with the next batch.
"""

from typing import NotRequired, TypedDict


class RequestClassSettings(TypedDict):
    """Settings of one request class."""

    gain: float  # value of a request that is answered in time
    response_target: float  # seconds
    own_zone: bool  # whether requests must stay in the zone of their proxy
    only_zones: NotRequired[list[int]]  # zones that requests may go to; all if empty
    only_machines: NotRequired[list[int]]  # machine types that requests may go to; all if empty


class PlannerSettings(TypedDict):
    """Settings of the planner of one controller."""

    # The fleet.
    stewards: NotRequired[int]  # number of controllers
    proxies: int  # number of proxies of all controllers
    zone: int  # zone of this controller
    req_kinds: list[RequestClassSettings]  # request classes by number
    roster_mode: NotRequired[str]  # how the endpoint list is delivered, e.g. `LIST_ON_REQUEST`
    gone_is_advice: NotRequired[bool]  # whether unlisted endpoints are kept while they answer
    joins_own_zone: NotRequired[bool]  # whether proxies connect to controllers of their own zone
    peer_notes: NotRequired[bool]  # whether controllers may send gossip messages

    # Reports and health checks.
    probing: NotRequired[bool]  # whether health checks are enabled
    report_fields: list[str]  # metrics in the load reports of endpoints
    sums_every: float  # seconds between two reports of a proxy's attempts
    tries_told: NotRequired[bool]  # whether proxies report their attempts

    # Proxies.
    pick: NotRequired[str]  # selection among the endpoints of a table, e.g. `PICK_LESS_LOADED`
    fails_to_shun: NotRequired[float]  # failures until proxies avoid an endpoint; 0 for never
    proxies_keep_ejections: NotRequired[bool]  # whether ejections outlast the proxy's stream
    bare_most: float  # maximum seconds that a proxy may be without entries
    push_delay_most: float  # maximum seconds for the delivery of a message

    # The channel to the proxies.
    channel_rate: float  # entries per second
    queue_most: float  # maximum number of queued entries
    message_head: float  # overhead of a message, in entries
    messages_most: int  # maximum messages to one proxy within `messages_span`; 0 for no limit
    messages_span: float  # seconds

    # Endpoints.
    drain_grace: float  # seconds until requests to a withdrawn endpoint fail
    warm_after: float  # seconds from the start of a process until it has its full capacity
    cold_share: float  # fraction of its capacity that a process starts with
    tip_multiple: float  # multiple of the usual load that overloads an endpoint

    # Values and costs.
    price_of_crossing: NotRequired[float]  # cost of crossing zones, relative to a request's gain
    value_of_worst_kind: NotRequired[float]  # weight of the service of the worst class, 0 to 1


def max_safe_wait(settings: PlannerSettings) -> float:
    """Return for how many seconds a proxy may wait for new tables without harm.

    All entries that it can use may have been withdrawn, and it may be without entries only for a
    limited time, of which delivery takes a part. It may also send requests to endpoints that drain.
    """
    max_time_without_entries = max(0.0, settings["bare_most"] - settings["push_delay_most"])
    return min(max_time_without_entries, settings["drain_grace"])
