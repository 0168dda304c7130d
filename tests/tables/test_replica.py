"""Deltas from a controller to the replica of a proxy."""

import random
import unittest
from collections import deque

from envoy.service.discovery.v3 import discovery_pb2
from hypothesis import example, given
from hypothesis import strategies as st

from peatlead.grpc.incremental import (
    MAX_FULL_RESYNCS,
    PART_BY_TYPE,
    IncrementalDiscovery,
    decode_delta,
)
from peatlead.grpc.resources import LB_ENDPOINT_TYPE_URL, resource_name
from peatlead.tables.replica import APPLIED, BASE_DIFFERS, DIGEST_DIFFERS, OLD_VERSION, Replica
from peatlead.tables.version import WHOLE_STATE, Digest, Stamp, Version, changes

from .. import standin_fleet  # noqa: F401  (loads the hypothesis profile)


def line(number, weight=None):
    """Return the key of an endpoint's item, or with a weight the map with this item."""
    return (
        f"line/k/z/10.0.0.{number}:80"
        if weight is None
        else {f"line/k/z/10.0.0.{number}:80": weight}
    )


class DeltasTest(unittest.TestCase):
    """A controller's `IncrementalDiscovery` sends deltas to a proxy's `Replica`, with faults."""

    def setUp(self):
        self.wanted, self.replica = {}, Replica()
        self.connect(1)

    def connect(self, epoch):
        """Open a new stream, on which the proxy first sends the versions of its items.

        Messages in flight are lost.
        """
        self.sender = IncrementalDiscovery(
            epoch,
            lambda part: self.wanted if part == "line" else {},
            "ns1",
            lambda version, parts: None,
        )
        self.replica.reject_up_to(Version(epoch - 1, 1 << 40))
        first_request = discovery_pb2.DeltaDiscoveryRequest(
            type_url=LB_ENDPOINT_TYPE_URL, resource_names_subscribe=["*"]
        )
        for key, value in self.replica.parts["line"].items():
            first_request.initial_resource_versions[resource_name(key)] = str(value)
        self.responses, self.requests = deque(self.sender.handle_request(first_request)), deque()

    def change(self, wanted):
        """Change the items that the controller wants the proxy to have."""
        self.wanted = wanted
        self.responses.extend(self.sender.resources_changed(LB_ENDPOINT_TYPE_URL))

    def deliver(self, response, answer=True):
        """Apply a delta to the replica and return the outcome.

        If `answer` is true, the proxy answers the controller, unless the delta is old.
        """
        type_url, item_changes, stamp = decode_delta(
            discovery_pb2.DeltaDiscoveryResponse.FromString(response.SerializeToString())
        )
        outcome = self.replica.apply_delta(PART_BY_TYPE[type_url], stamp, item_changes)
        if answer and outcome != OLD_VERSION:
            request = discovery_pb2.DeltaDiscoveryRequest(
                type_url=type_url, response_nonce=response.nonce
            )
            if outcome != APPLIED:
                request.error_detail.message = outcome
            self.requests.append(request)
        return outcome

    def settle(self):
        """Deliver all messages until none is in flight."""
        for _ in range(20):
            while self.responses:
                self.deliver(self.responses.popleft())
            while self.requests:
                self.responses.extend(self.sender.handle_request(self.requests.popleft()))

    def held_items(self):
        return self.replica.parts["line"]

    def test_only_changed_items_are_sent(self):
        self.change({line(number): 1000 for number in range(10)})
        self.settle()
        self.assertEqual(self.sender.resources_sent, 10)
        self.change({**self.wanted, line(3): 250})
        self.settle()
        self.change({key: value for key, value in self.wanted.items() if key != line(4)})
        self.settle()
        self.assertEqual((self.sender.resources_sent, self.held_items()), (12, self.wanted))

    def test_changes_during_a_delta_in_flight_are_sent_as_one_delta(self):
        self.change({line(1): 1000})
        first_delta = self.responses.popleft()
        for weight in (1, 2, 3):
            self.change({line(1): 1000, line(2): weight})
        self.assertFalse(self.responses)  # at most one delta is in flight
        self.deliver(first_delta)
        self.settle()
        self.assertEqual((self.held_items(), self.sender.resources_sent), (self.wanted, 2))

    def test_proxy_that_joins_another_owner_gets_only_the_difference(self):
        self.change({line(number): 1000 for number in range(5)})
        self.settle()
        self.wanted = {line(number): 1000 for number in range(1, 7)}
        self.connect(9)
        self.assertEqual(
            (len(self.responses[0].resources), len(self.responses[0].removed_resources)), (2, 1)
        )
        self.settle()
        self.assertEqual(self.held_items(), self.wanted)

    def test_corrupted_state_is_detected_and_replaced(self):
        self.change({line(number): 1000 for number in range(5)})
        self.settle()
        self.replica.parts["line"][line(2)] = 9  # the stored digest stays the same
        self.assertFalse(self.replica.is_consistent("line"))
        self.change({**self.wanted, line(2): 2000})
        self.assertEqual(self.deliver(self.responses.popleft()), DIGEST_DIFFERS)
        self.settle()
        self.assertEqual((self.held_items(), self.sender.full_resyncs), (self.wanted, 1))
        self.assertTrue(self.replica.is_consistent("line"))

    def test_proxy_that_refuses_all_deltas_is_reported_and_retried_a_limited_number_of_times(self):
        self.change({line(1): 1000})
        for _ in range(20):
            if not self.responses:
                break
            response = self.responses.popleft()
            request = discovery_pb2.DeltaDiscoveryRequest(
                type_url=LB_ENDPOINT_TYPE_URL, response_nonce=response.nonce
            )
            request.error_detail.message = DIGEST_DIFFERS
            self.responses.extend(self.sender.handle_request(request))
        self.assertEqual(len(self.sender.nacks), MAX_FULL_RESYNCS + 1)
        self.change({line(1): 2000})  # a new state is sent again
        self.assertTrue(self.responses)

    def test_deltas_with_an_unknown_base_and_repeated_deltas_change_nothing(self):
        self.change({line(1): 1000})
        self.settle()
        before = dict(self.held_items())
        unknown_base = Stamp(Version(1, 50), "0" * 32, str(Digest(line(9, 1))))
        self.assertEqual(self.replica.apply_delta("line", unknown_base, line(9, 1)), BASE_DIFFERS)
        repeated = Stamp(Version(1, 1), WHOLE_STATE, str(Digest(line(9, 1))))
        self.assertEqual(self.replica.apply_delta("line", repeated, line(9, 1)), OLD_VERSION)
        self.assertEqual(
            self.replica.apply_delta(
                "line", Stamp(Version(2, 1), WHOLE_STATE, "f" * 32), line(9, 1)
            ),
            DIGEST_DIFFERS,
        )
        self.assertEqual(self.held_items(), before)

    @given(
        st.lists(
            # "twice" delivers a delta two times, "drop" loses a delta, "swap" delivers an earlier
            # delta again, and "flip" corrupts an item of the replica.
            st.sampled_from(
                ["change", "deliver", "twice", "answer", "drop", "swap", "flip", "reconnect"]
            ),
            max_size=40,
        ),
        st.integers(0, 10_000),
    )
    @example(["change", "deliver", "flip", "reconnect", "twice"], 0)
    @example(["change"] * 7 + ["deliver", "flip", "change", "answer", "deliver"], 2218)
    def test_replica_converges_despite_late_repeated_reordered_or_lost_deltas_and_corruption(
        self, steps, seed
    ):
        self.setUp()
        rng, epoch, published = random.Random(seed), 1, {}
        delivered = []
        for step in steps:
            if step == "change":
                self.change(
                    {line(number): rng.randrange(1, 4) for number in range(5) if rng.random() < 0.6}
                )
                published[str(Digest(self.wanted))] = True
            elif step in ("deliver", "twice") and self.responses:
                response = self.responses.popleft()
                delivered.append(response)
                outcome = self.deliver(response)
                if outcome == APPLIED:
                    # Only `is_consistent` detects a corrupted item that no delta changes. The digest
                    # must always belong to a published state, the items only if they are consistent.
                    known_digests = published | {str(Digest({})): True}
                    self.assertIn(str(self.replica.digests["line"]), known_digests)
                    if self.replica.is_consistent("line"):
                        self.assertIn(str(Digest(self.held_items())), known_digests)
                if step == "twice":
                    # A refused delta is refused again for the same reason; an applied delta is old
                    # the second time. Neither changes the state.
                    before = self.held_items().copy(), str(self.replica.digests["line"])
                    second_outcome = self.deliver(response, answer=False)
                    self.assertEqual(second_outcome, OLD_VERSION if outcome == APPLIED else outcome)
                    self.assertEqual((self.held_items(), str(self.replica.digests["line"])), before)
            elif step == "answer" and self.requests:
                self.responses.extend(self.sender.handle_request(self.requests.popleft()))
            elif step == "drop" and self.responses:
                epoch += 2
                self.connect(epoch)  # over TCP a lost message ends the stream
            elif step == "swap" and delivered:
                self.assertIn(
                    self.deliver(rng.choice(delivered), answer=False),
                    (OLD_VERSION, BASE_DIFFERS, DIGEST_DIFFERS),
                )
            elif step == "flip" and self.held_items():
                key = rng.choice(sorted(self.held_items()))
                self.replica.parts["line"][key] += 1
            elif step == "reconnect":
                epoch += 2
                self.connect(epoch)
        if not self.replica.is_consistent("line"):  # the proxy detects the corruption
            self.replica.parts["line"], self.replica.digests["line"] = {}, Digest()
            self.connect(epoch + 2)
        self.change({**self.wanted, line(9): 7})
        self.settle()
        self.assertEqual(self.held_items(), self.wanted)
        self.assertEqual(changes(self.held_items(), self.wanted), {})
