"""Compares deltas with whole tables on the wire, for a planner on a simulated clock."""

from typing import Any

from envoy.service.discovery.v3 import discovery_pb2

from .. import interface
from ..controller.channel import Channel
from ..controller.message import ADMISSION
from ..controller.publisher import Publisher
from ..controller.view_state import ViewState
from ..grpc.incremental import IncrementalDiscovery
from ..grpc.resources import (
    ASSIGNMENT_TYPE_URL,
    LB_ENDPOINT_TYPE_URL,
    WeightedEndpoint,
    encode_assignment,
)
from ..planner.planner import Planner
from ..tables.version import line_key, parse_line_key, quantize_weight
from .tables_store import REQUEST_CLASSES

SIZES = ((24, 80), (82, 291), (300, 1000))  # endpoints, proxies
TICK = 0.1  # seconds
CHANNEL_RATE = 4000.0  # operations per second
MESSAGE_OVERHEAD = 6.0  # operations added to the size of each message
RELEASE_STEPS = 4
ENDPOINT_STRIDE = 12  # each step of a release replaces every 12th endpoint
ANY_OVERHEAD = 8  # bytes of protobuf framing of an assignment in a response, without its type URL
HEADER = (
    "| endpoints/proxies | change | messages | entries, deltas | entries, whole | bytes, deltas | "
    "bytes, whole | ratio | wait, deltas (median / max) | wait, whole | wait, commands |\n|"
    + " --- |"
    * 11
)
REQUEST_CLASS: dict[str, Any] = {
    "response_target": 0.5,
    "client_timeout": 2.0,
    "gain": 1.0,
    "repeat": "replayable",
    "only_zones": [],
    "only_machines": [],
    "own_zone": False,
}
SETTINGS: dict[str, Any] = {
    "stewards": 1,
    "zone": 0,
    "zones": ["z0", "z1", "z2"],
    "machines": [],
    "roster_mode": "pushed",
    "channel_rate": CHANNEL_RATE,
    "message_head": MESSAGE_OVERHEAD,
    "queue_most": CHANNEL_RATE,
    "messages_most": 40,
    "messages_span": 10.0,
    "push_delay_most": 0.5,
    "bare_most": 4.0,
    "sums_every": 1.0,
    "probing": False,
    "report_fields": ["util"],
    "cold_share": 0.25,
    "warm_after": 12.0,
    "tip_multiple": 3.0,
    "tip_span": 1.5,
    "drain_grace": 3.0,
    "value_of_whole": 0.9,
    "value_of_worst_kind": 0.1,
    "pick": "lighter of two",
    "fails_to_shun": 3,
    "joins_own_zone": False,
    "req_kinds": [{**REQUEST_CLASS, "name": name} for name in REQUEST_CLASSES],
}

Items = dict[str, Any]


def endpoint(number: int, phase: str = "ready", started_at: float = -1e6) -> interface.Endpoint:
    """Return an endpoint; each machine has four, and the zones take turns."""
    return interface.Endpoint(
        number, b"h%d" % number, number % 3, 0, number // 4, phase, 1.0, started_at
    )


def list_update(
    version: int, endpoints: tuple[interface.Endpoint, ...]
) -> interface.EndpointUpdate:
    """Return an update of the endpoint list."""
    return interface.EndpointUpdate("changes", version, endpoints)


def format_waits(waits: list[float]) -> str:
    """Format the median and the maximum of waits in seconds; the text is in milliseconds."""
    ordered = sorted(waits) or [0.0]
    return f"{1000 * ordered[len(ordered) // 2]:.0f} / {1000 * ordered[-1]:.0f} ms"


class WireCounts:
    """Counts of the messages since the last row, in both forms, and their waits in seconds."""

    def __init__(self) -> None:
        self.messages = 0
        self.delta_entries = 0
        self.delta_bytes = 0
        self.whole_entries = 0
        self.whole_bytes = 0
        self.delta_waits: list[float] = []
        self.whole_waits: list[float] = []
        self.command_waits: list[float] = []


class WireFleet:
    """A planner, its publisher and channels on a simulated clock."""

    def __init__(self, endpoints: int, proxies: int) -> None:
        self.now = 100.0  # seconds
        self.endpoints = endpoints
        self.proxies = proxies
        settings = {**SETTINGS, "proxies": proxies}
        self.planner = Planner(settings, 1)
        self.publisher = Publisher()
        # Channels for the planner's commands, and for the resulting deltas or whole tables.
        self.commands = Channel(CHANNEL_RATE, MESSAGE_OVERHEAD, 1e9)
        self.deltas = Channel(CHANNEL_RATE, MESSAGE_OVERHEAD, 1e9)
        self.whole_tables = Channel(CHANNEL_RATE, MESSAGE_OVERHEAD, 1e9)
        self.views: dict[int, ViewState] = {}
        self.streams: dict[int, IncrementalDiscovery] = {}
        self.last_sent: dict[int, Items] = {}  # by proxy
        self.pinned: dict[int, Items] = {}  # by proxy; empty without a pin
        self.acknowledged: list[interface.Event] = []  # to be delivered with the next batch
        self.counts = WireCounts()
        listed = tuple(map(endpoint, range(endpoints)))
        events: list[interface.Event] = [interface.EndpointUpdate("whole", 1, listed)]
        events += [self.connect(proxy) for proxy in range(proxies)]
        self.run(events, 30.0)
        self.counts = WireCounts()

    def connect(self, proxy: int) -> interface.ProxyConnected:
        """Open a proxy's stream; returns the event for the planner."""
        self.publisher.join(proxy, enforces_admission=True)
        self.views[proxy] = ViewState()
        stream = IncrementalDiscovery(
            1, lambda part: self.expected_items(proxy), "m", lambda version, parts: None
        )
        stream.handle_request(
            discovery_pb2.DeltaDiscoveryRequest(
                type_url=LB_ENDPOINT_TYPE_URL, resource_names_subscribe=["*"]
            )
        )
        self.streams[proxy] = stream
        return interface.ProxyConnected(proxy, proxy % 3, 3.0, True)

    def expected_items(self, proxy: int) -> Items:
        """Return the items that a proxy should hold."""
        if self.pinned:
            return self.pinned[proxy]
        return {
            line_key(
                name, f"z{number % 3}", f"10.0.{number // 250}.{number % 250}", 80
            ): quantize_weight(weight)
            for index, name in enumerate(REQUEST_CLASSES)
            for number, weight in self.views[proxy].weights(index).items()
        }

    def run(self, events: list[interface.Event], seconds: float) -> None:
        """Run for some seconds, starting with a batch of events."""
        end = self.now + seconds
        while self.now < end:
            batch = [*events, *self.acknowledged, interface.TimerFired(0)]
            self.acknowledged = []
            events = []
            routed = self.publisher.route(self.planner.decide(self.now, batch))
            for proxy in sorted(routed.messages):
                nonces = routed.nonces.get(proxy, ())
                self.commands.enqueue(self.now, proxy, routed.messages[proxy], nonces)
            self.deliver_commands()
            self.drain_channel(self.deltas, self.counts.delta_waits)
            self.drain_channel(self.whole_tables, self.counts.whole_waits)
            self.now = round(self.now + TICK, 6)

    def deliver_commands(self) -> None:
        """Apply the commands that leave within this tick, and send the changed items."""
        channel = self.commands
        while channel.next_due_at is not None and channel.next_due_at < self.now + TICK:
            for proxy, message in channel.take_due(max(self.now, channel.next_due_at)):
                sent_at = max(self.now, channel.free_at)
                self.acknowledged += [
                    interface.Acknowledged(proxy, nonce, sent_at - message.enqueued_at)
                    for nonce in message.nonces
                ]
                self.counts.command_waits.append(sent_at - message.enqueued_at)
                self.views[proxy].apply(message.operations)
                self.send(proxy)

    def drain_channel(self, channel: Channel, waits: list[float]) -> None:
        """Take the messages due within this tick from a channel, and record their waits."""
        while channel.next_due_at is not None and channel.next_due_at < self.now + TICK:
            for _, message in channel.take_due(max(self.now, channel.next_due_at)):
                waits.append(max(self.now, channel.free_at) - message.enqueued_at)

    def send(self, proxy: int) -> None:
        """Send the items of a proxy in both forms if they have changed."""
        items = self.expected_items(proxy)
        if items == self.last_sent.get(proxy):
            return
        self.last_sent[proxy] = items
        self.counts.messages += 1
        self.send_delta(proxy)
        self.send_whole_tables(proxy, items)

    def send_delta(self, proxy: int) -> None:
        """Send the changes of a proxy as a delta, and acknowledge it at once."""
        stream = self.streams[proxy]
        for response in stream.resources_changed(LB_ENDPOINT_TYPE_URL):
            entries = len(response.resources) + len(response.removed_resources)
            self.enqueue_entries(self.deltas, proxy, entries)
            self.counts.delta_entries += entries
            self.counts.delta_bytes += response.ByteSize()
            subscription = stream.subscriptions[LB_ENDPOINT_TYPE_URL]
            assert subscription.in_flight is not None
            subscription.held_items = subscription.in_flight.items
            subscription.digest = subscription.in_flight.digest
            subscription.in_flight = None
            subscription.nonce = ""

    def send_whole_tables(self, proxy: int, items: Items) -> None:
        """Send the tables of all request classes."""
        tables: dict[str, list[WeightedEndpoint]] = {name: [] for name in REQUEST_CLASSES}
        for key, weight in items.items():
            name, zone, address, port = parse_line_key(key)
            tables[name].append(WeightedEndpoint(address, port, zone, weight / 1000))
        for name, table in tables.items():
            size = (
                len(encode_assignment(name, table, 1.0)) + len(ASSIGNMENT_TYPE_URL) + ANY_OVERHEAD
            )
            self.counts.whole_bytes += size
        self.counts.whole_entries += len(items)
        self.enqueue_entries(self.whole_tables, proxy, len(items))

    def enqueue_entries(self, channel: Channel, proxy: int, entries: int) -> None:
        """Queue a message with one placeholder operation for each entry."""
        channel.enqueue(
            self.now, proxy, {(ADMISSION, number): (1.0, "") for number in range(entries)}
        )

    def pin(self, items: dict[int, Items]) -> None:
        """Pin the items of all proxies; {} ends the pin."""
        self.pinned = items
        for proxy in sorted(self.views):
            self.send(proxy)

    def print_row(self, name: str) -> None:
        """Print the row of a change, with all that was sent since the last row."""
        counts = self.counts
        ratio = counts.delta_bytes / max(1, counts.whole_bytes)
        print(
            f"| {self.endpoints}/{self.proxies} | {name} | {counts.messages} | "
            f"{counts.delta_entries} | {counts.whole_entries} | {counts.delta_bytes} | "
            f"{counts.whole_bytes} | {ratio:.2f} | {format_waits(counts.delta_waits)} | "
            f"{format_waits(counts.whole_waits)} | {format_waits(counts.command_waits)} |"
        )
        self.counts = WireCounts()


def play_release(fleet: WireFleet) -> None:
    """Replace a third of the endpoints in steps."""
    for step in range(RELEASE_STEPS):
        numbers = range(1 + step, fleet.endpoints, ENDPOINT_STRIDE)
        drained = tuple(endpoint(number, "draining") for number in numbers)
        fleet.run([list_update(3 + step, drained)], 3.0)
        started = tuple(endpoint(number, started_at=fleet.now) for number in numbers)
        fleet.run([list_update(3 + step, started)], 17.0)


def measure_wire() -> None:
    """Print a Markdown table with one row for each size and change."""
    print(HEADER)
    for endpoints, proxies in SIZES:
        fleet = WireFleet(endpoints, proxies)
        before = {proxy: dict(items) for proxy, items in fleet.last_sent.items()}
        fleet.run([list_update(2, (endpoint(0, "draining"),))], 10.0)
        fleet.print_row("an endpoint lost")
        play_release(fleet)
        fleet.print_row("a release of a third")
        fleet.pin(before)
        fleet.run([], 20.0)
        fleet.print_row("a rollback of both")
        fleet.pin({})
        fleet.run([], 20.0)
        fleet.counts = WireCounts()
        zone = tuple(endpoint(number, "draining") for number in range(endpoints) if number % 3 == 1)
        fleet.run([list_update(9, zone)], 15.0)
        fleet.print_row("a zone lost")
