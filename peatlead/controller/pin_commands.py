"""Executes operators' commands to make a pin, to show what a pin would change, and to end a pin."""

from collections.abc import Mapping
from typing import TYPE_CHECKING, Any, NamedTuple

from ..tables.guard import GuardedTable
from ..tables.history import HistoryStore
from ..tables.pins import ActivePin, Pin, validate_pin
from .control_socket import Answer
from .pin_control import PinControl
from .pin_targets import PinTargets
from .pinned_tables import PinnedTables
from .published_items import ItemFormatter, LineWeights, line_items

if TYPE_CHECKING:
    from .controller import Controller

Arguments = Mapping[str, Any]
"""The arguments (`args`) of an operator's question."""

DEFAULT_ROLLOUT = 10.0  # seconds from the first to the last proxy that a pin applies to
DEFAULT_LENGTH = 3600.0  # seconds until a pin expires
MAX_AUTHOR_LENGTH = 200  # characters
MAX_DRY_RUN_PROXIES = 500  # proxies in the answer to a dry run


class PinRequest(NamedTuple):
    """An operator's request for a pin; the fields are those of `tables.pin.Pin`."""

    scope: str
    scope_argument: str
    target: str
    target_argument: str
    rollout_duration: float
    length: float
    operator: str


def author(arguments: Arguments) -> str:
    """Return the operator's name from the arguments, cut to MAX_AUTHOR_LENGTH."""
    return str(arguments.get("by", ""))[:MAX_AUTHOR_LENGTH]


def read_pin_request(arguments: Arguments) -> PinRequest:
    """Read the arguments of a `pin` command. Raises KeyError, TypeError or ValueError."""
    scope_argument = str(arguments.get("which", ""))
    target = arguments.get("target", "held")
    target_argument = str(arguments.get("to", ""))
    rollout_duration = float(arguments.get("over", DEFAULT_ROLLOUT))
    length = float(arguments.get("length", DEFAULT_LENGTH))
    if target == "back":
        float(target_argument)  # raises ValueError unless it is a number of seconds
    scope = arguments["whom"]
    return PinRequest(
        scope,
        scope_argument,
        target,
        target_argument,
        rollout_duration,
        length,
        author(arguments),
    )


class PinCommands:
    """Executes operators' commands on the pins of this controller."""

    def __init__(
        self,
        controller: "Controller",
        pin_control: PinControl,
        pin_targets: PinTargets,
        pinned_tables: PinnedTables,
        store: HistoryStore,
        formatter: ItemFormatter,
    ) -> None:
        self._controller = controller
        self._pin_control = pin_control
        self._pin_targets = pin_targets
        self._pinned_tables = pinned_tables
        self._store = store
        self._formatter = formatter

    def pin(self, arguments: Arguments) -> Answer:
        """Make a pin, or with `dry` only return what the pin would change.

        Raises PinError and the errors of `read_pin_request`.
        """
        now = self._controller.loop.time()
        request = read_pin_request(arguments)
        if arguments.get("dry"):
            return self._dry_run(now, request)
        pin = self._pin_control.pins.make(now, **request._asdict())
        self._pin_targets.schedule_announcements()
        self._pin_control.commit_change(now)
        self._controller.log(
            "tables pinned",
            pin=pin.id,
            whom=pin.scope,
            which=pin.scope_argument,
            target=pin.target,
            to=pin.target_argument,
            by=pin.operator,
        )
        return {"pin": pin.id}

    def resume(self, arguments: Arguments) -> Answer:
        """End a pin. Raises PinError."""
        now = self._controller.loop.time()
        rollout_duration = None if arguments.get("over") is None else float(arguments["over"])
        pin = self._pin_control.pins.resume(now, arguments["pin"], rollout_duration)
        self._pin_control.commit_change(now)
        self._controller.log("pin ended by operator", pin=pin.id, by=author(arguments))
        return {"pin": pin.id, "over": pin.rollout_duration}

    def _dry_run(self, now: float, request: PinRequest) -> Answer:
        """Return what a pin would change at the proxies it covers, and what the guard removes."""
        active = ActivePin(dry_run_pin(request), now)
        proxies = [
            self._dry_run_recipient(active, number, name)
            for number, name, zone in self._controller.recipients.all_recipients()
            if active.covers(now, name, zone)
        ]
        affected = [
            proxy for proxy in proxies if proxy["changes"] or proxy["taken"] or not proxy["known"]
        ]
        return {
            "proxies": len(proxies),
            "would change": sum(bool(proxy["changes"]) for proxy in proxies),
            "not known": sum(not proxy["known"] for proxy in proxies),
            "each": affected[:MAX_DRY_RUN_PROXIES],
        }

    def _dry_run_recipient(self, active: ActivePin, number: int, name: str) -> Answer:
        past = self._pin_targets.find_past_table(active, name)
        answer: Answer = {
            "proxy": name,
            "known": past is not None,
            "changes": [],
            "taken": {},
            "filled": [],
        }
        if past is None:
            return answer
        after: LineWeights = {}
        for request_class, planned in self._controller.recipients.planned_tables(number):
            table = self._pinned_tables.guarded_table(
                line_items(past.items), request_class, planned
            )
            after.update(self._pinned_tables.items_of_table(request_class, table.weights))
            self._add_guard_result(answer, table)
        published = line_items(self._store.histories[name].items)
        answer["changes"] = self._formatter.describe_difference(published, after)
        return answer

    def _add_guard_result(self, answer: Answer, table: GuardedTable) -> None:
        endpoint_name = self._controller.publication.endpoint_name
        for endpoint, reason in table.restricted.items():
            name = endpoint_name(endpoint) if endpoint >= 0 else "an unknown address"
            answer["taken"][name] = reason
        answer["filled"] += [endpoint_name(endpoint) for endpoint in table.added]


def dry_run_pin(request: PinRequest) -> Pin:
    """Return a checked pin that never comes into force. Raises PinError."""
    pin = Pin(
        id="dry",
        sequence=0,
        revision=1,
        scope=request.scope,
        scope_argument=request.scope_argument,
        target=request.target,
        target_argument=request.target_argument,
        rollout_duration=0.0,
        age=0.0,
        remaining=request.length,
    )
    validate_pin(pin)
    return pin
