"""State that all mechanisms of a planner share: the current batch, settings, endpoints, proxies."""

from collections.abc import ValuesView
from random import Random

from ..interface import Command, LogMessage
from .endpoint_state import EndpointState
from .proxy_state import ProxyState
from .settings import PlannerSettings
from .subscriber_index import SubscriberIndex

# Value of the setting `pick`: proxies choose the less loaded of two random endpoints.
PICK_LESS_LOADED = "lighter of two"
# Value of the setting `roster_mode`: the endpoint list is sent on request.
LIST_ON_REQUEST = "on_request"

COVERAGE = 25.0  # mean number of this controller's proxies whose shards contain an endpoint


class PlannerContext:
    """State that belongs to no single mechanism."""

    def __init__(self, settings: PlannerSettings, seed: int) -> None:
        self.settings = settings
        self.rng = Random(seed)
        self.now = 0.0  # time of the current batch in seconds
        self.commands: list[Command] = []  # commands of the current batch, in the order of emission
        self.endpoints: dict[int, EndpointState] = {}  # by id
        self.proxies: dict[int, ProxyState] = {}  # by number, all that have ever connected
        self.connected: dict[int, ProxyState] = {}  # by number, in the order of connecting
        self.unassigned: dict[int, ProxyState] = {}  # by number, connected, without tables
        self.subscriber_index = SubscriberIndex()  # which proxies' tables name an endpoint
        # Estimated number of proxies of this controller.
        self.expected_proxies = max(
            1.0, settings.get("proxies", 1) / max(1, settings.get("stewards", 1))
        )

    @property
    def connected_proxies(self) -> ValuesView[ProxyState]:
        """The connected proxies, in the order in which they connected."""
        return self.connected.values()

    def begin_batch(self, now: float) -> None:
        """Start a batch at `now`, in seconds, without commands."""
        self.now = now
        self.commands = []

    def log(self, text: str) -> None:
        """Emit a line for the controller's log.

        `tables/change_causes.py` reads lines that begin with `endpoint NUMBER `.
        """
        self.commands.append(LogMessage(text))
