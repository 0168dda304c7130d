"""What all mechanisms of a planner share: the batch, the settings, and the known fleet."""

from collections.abc import ValuesView
from random import Random

from ..interface import Command, LogMessage
from .endpoint_state import EndpointState
from .proxy_state import ProxyState
from .settings import PlannerSettings
from .subscriber_index import SubscriberIndex

# Values of the setting `pick`, how proxies choose among a table's endpoints, and of `roster_mode`.
PICK_LESS_LOADED = "lighter of two"
LIST_ON_REQUEST = "on_request"

COVERAGE = 25.0  # shards of this controller's proxies that each endpoint should sit in


class PlannerContext:
    """The state that belongs to no single mechanism."""

    def __init__(self, settings: PlannerSettings, seed: int) -> None:
        self.settings = settings
        self.rng = Random(seed)
        self.now = 0.0  # seconds, of the batch that is being decided
        self.commands: list[Command] = []  # of that batch, in the order of their emission
        self.endpoints: dict[int, EndpointState] = {}
        self.proxies: dict[int, ProxyState] = {}  # all that ever connected
        self.connected: dict[int, ProxyState] = {}
        self.unassigned: dict[int, ProxyState] = {}  # connected, and without tables yet
        self.subscriber_index = SubscriberIndex()  # which proxies' tables name an endpoint
        self.proxies_expected = max(
            1.0, settings.get("proxies", 1) / max(1, settings.get("stewards", 1))
        )  # of this controller

    @property
    def joined(self) -> ValuesView[ProxyState]:
        """The connected proxies, in the order in which they came."""
        return self.connected.values()

    def begin(self, now: float) -> None:
        """Start a batch."""
        self.now = now
        self.commands = []

    def log(self, text: str) -> None:
        """Emit a line for the controller's log."""
        self.commands.append(LogMessage(text))
