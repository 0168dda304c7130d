"""Pins: staged rollout and end, and exchange between controllers."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from peatlead.tables.pins import PinError, Pins, decode_pins, encode_pins, rollout_position

from .. import standin_fleet  # noqa: F401  (loads the hypothesis profile)


class PinsTest(unittest.TestCase):
    def test_rollout_is_the_same_at_all_controllers_and_finally_covers_all_proxies(self):
        pins, other = Pins("ns1"), Pins("ns2")
        pin = pins.make(10.0, "all", rollout_duration=10.0)
        other.merge(500.0, decode_pins(encode_pins(pins.snapshot(13.0))))
        names = [f"proxy{number}" for number in range(200)]
        early = {name for name in names if pins.pin_for(13.0, name, "a")}
        self.assertEqual(early, {name for name in names if other.pin_for(500.0, name, "a")})
        self.assertEqual(early, {name for name in names if rollout_position(pin, name) < 0.3})
        self.assertEqual(len([name for name in names if pins.pin_for(20.0, name, "a")]), 200)

    def test_scopes_select_one_proxy_a_zone_or_a_share(self):
        pins = Pins("ns1")
        pins.make(0.0, "zone", "a", rollout_duration=0.0)
        self.assertTrue(pins.pin_for(0.0, "x", "a"))
        self.assertFalse(pins.pin_for(0.0, "x", "b"))
        pins.make(0.0, "proxy", "y", target="version", target_argument="3.4", rollout_duration=0.0)
        self.assertEqual(pins.pin_for(0.0, "y", "a").pin.target_argument, "3.4")
        share = Pins("ns1")
        share.make(0.0, "share", "0.25", rollout_duration=0.0)
        count = sum(bool(share.pin_for(0.0, f"proxy{number}", "a")) for number in range(1000))
        self.assertTrue(200 < count < 300, count)

    def test_pin_ends_by_expiry_or_by_an_operator_in_stages(self):
        pins = Pins("ns1")
        pin = pins.make(0.0, "all", rollout_duration=0.0, length=60.0)
        self.assertEqual(pins.expire(59.0), [])
        self.assertEqual(pins.expire(60.0), [pin.id])
        self.assertIsNone(pins.pin_for(60.0, "x", "a"))
        pin = pins.make(100.0, "all", rollout_duration=10.0)
        pins.resume(150.0, pin.id)
        unpinned = [
            number for number in range(200) if not pins.pin_for(155.0, f"proxy{number}", "a")
        ]
        self.assertTrue(70 < len(unpinned) < 130, len(unpinned))
        self.assertFalse(any(pins.pin_for(160.0, f"proxy{number}", "a") for number in range(200)))

    def test_later_of_two_pins_applies_until_its_end_and_then_the_other(self):
        one, other = Pins("ns1"), Pins("ns2")
        first = one.make(0.0, "all", rollout_duration=0.0)
        second = other.make(0.0, "all", target="back", target_argument="9", rollout_duration=0.0)
        one.merge(1.0, other.snapshot(1.0))
        other.merge(1.0, one.snapshot(1.0))
        self.assertEqual(one.pin_for(1.0, "x", "a").pin.id, other.pin_for(1.0, "x", "a").pin.id)
        later_id = one.pin_for(1.0, "x", "a").pin.id
        one.resume(2.0, later_id)
        self.assertEqual({one.pin_for(2.0, "x", "a").pin.id, later_id}, {first.id, second.id})

    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["make", "resume", "send"]),
                st.integers(0, 2),
                st.integers(0, 2),
            ),
            max_size=30,
        )
    )
    def test_controllers_agree_after_exchanging_pins_in_any_order(self, steps):
        controllers = [Pins(f"ns{number}") for number in range(3)]
        for index, (step, one, other) in enumerate(steps):
            now = float(index)
            if step == "make":
                controllers[one].make(now, "all", rollout_duration=0.0)
            elif step == "resume" and controllers[one].unended():
                controllers[one].resume(now, sorted(controllers[one].unended())[0])
            elif step == "send":
                controllers[other].merge(now, controllers[one].snapshot(now))
        for _ in range(3):
            for one in controllers:
                for other in controllers:
                    other.merge(99.0, one.snapshot(99.0))
        states = [
            {
                key: (active.pin.revision, active.ended_at is None)
                for key, active in controller.by_id.items()
            }
            for controller in controllers
        ]
        self.assertEqual(states[0], states[1])
        self.assertEqual(states[1], states[2])
        self.assertEqual(
            *[
                {
                    (found.pin.id if found else None)
                    for found in [controller.pin_for(99.0, "x", "a")]
                }
                for controller in controllers[:2]
            ]
        )

    def test_new_pin_after_the_loss_of_stored_pins_differs_from_ended_pins(self):
        first, other = Pins("ns1", "-a"), Pins("ns2", "-b")
        pin = first.make(0.0, "all", rollout_duration=0.0)
        first.resume(1.0, pin.id)
        other.merge(1.0, first.snapshot(1.0))
        restarted = Pins("ns1", "-c")  # restarted with an empty disk
        made = restarted.make(2.0, "all", rollout_duration=0.0)
        restarted.merge(2.0, other.snapshot(2.0))
        other.merge(2.0, restarted.snapshot(2.0))
        self.assertEqual(
            {restarted.pin_for(3.0, "x", "a").pin.id, other.pin_for(3.0, "x", "a").pin.id},
            {made.id},
        )

    def test_an_ended_pin_is_not_revived_by_an_older_revision(self):
        pins, old = Pins("ns1"), Pins("ns2")
        pin = pins.make(0.0, "all", rollout_duration=0.0)
        old.merge(0.0, pins.snapshot(0.0))
        pins.resume(1.0, pin.id)
        self.assertFalse(pins.merge(2.0, old.snapshot(2.0)))
        self.assertIsNone(pins.pin_for(2.0, "x", "a"))

    def test_invalid_pins_are_rejected(self):
        pins = Pins("ns1")
        for invalid in (
            {"scope": "some"},
            {"scope": "share", "scope_argument": "2"},
            {"scope": "all", "target": "version"},
            {"scope": "all", "length": 1e9},
            {"scope": "all", "rollout_duration": -1.0},
            {"scope": "all", "target": "x"},
        ):
            with self.assertRaises(PinError):
                pins.make(0.0, **invalid)
        self.assertFalse(pins.by_id)
        for _ in range(32):
            pins.make(0.0, "all")
        with self.assertRaises(PinError):
            pins.make(0.0, "all")
        with self.assertRaises(ValueError):
            decode_pins(b"junk")
