"""The planner's settings by key.

Controllers pass a plain map, which they have checked; these types name the keys that the planner
reads, for the type checker alone. Keys that may be lacking have their defaults where they are read.
A change of the map holds from the next batch on.
"""

from typing import NotRequired, TypedDict


class RequestClassSettings(TypedDict):
    """Settings of one request class."""

    gain: float  # of one request that is answered in time
    response_target: float  # seconds
    own_zone: bool  # whether its requests stay in their proxy's zone
    only_zones: NotRequired[list[int]]  # that its requests may go to; all if empty
    only_machines: NotRequired[list[int]]  # likewise, machine types


class PlannerSettings(TypedDict):
    """Settings of one controller's planner."""

    # The fleet.
    stewards: NotRequired[int]  # controllers
    proxies: int  # of all controllers
    zone: int  # the controller's own
    req_kinds: list[RequestClassSettings]  # request classes by number
    roster_mode: NotRequired[str]  # how the endpoint list comes, e.g. `LIST_ON_REQUEST`
    gone_is_advice: NotRequired[bool]  # an endpoint that the list lacks stays while it answers
    joins_own_zone: NotRequired[bool]  # proxies connect to controllers of their zone
    peer_notes: NotRequired[bool]  # controllers may send gossip

    # Reports and health checks.
    probing: NotRequired[bool]  # health checks are sent
    report_fields: list[str]  # metrics of endpoints' load reports
    sums_every: float  # seconds between two reports of a proxy
    tries_told: NotRequired[bool]  # proxies report their attempts

    # Proxies.
    pick: NotRequired[str]  # how they choose among endpoints, e.g. `PICK_LESS_LOADED`
    fails_to_shun: NotRequired[float]  # failures after which they avoid an endpoint; 0 for never
    bare_most: float  # seconds that a proxy may be without entries
    push_delay_most: float  # seconds that a message takes at most

    # The channel to the proxies.
    channel_rate: float  # entries a second
    queue_most: float  # entries that may wait
    message_head: float  # entries that a message counts beside its own
    messages_most: int  # to one proxy within the span; 0 for no limit
    messages_span: float  # seconds

    # Endpoints.
    drain_grace: float  # seconds until requests to a withdrawn endpoint are lost
    warm_after: float  # seconds from a process's start until it has its whole capacity
    cold_share: float  # part of its capacity that a process starts with
    tip_multiple: float  # times its usual load that pushes an endpoint into overload

    # What is worth how much.
    price_of_crossing: NotRequired[float]  # of a request that crosses zones, by its gain
    value_of_worst_kind: NotRequired[float]  # weight of the worst class's service, 0 to 1
