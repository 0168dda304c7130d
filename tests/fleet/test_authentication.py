"""Refusal of datagrams that are forged, replayed or of an earlier boot."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from peatlead.fleet.authentication import AuthenticationError, Authenticator, UnprovenSenderError

KEY, OTHER_KEY = b"k" * 32, b"o" * 32


class AuthenticationTest(unittest.TestCase):
    def proven_pair(self):
        alice, bob = Authenticator([KEY], "a", b"1" * 8), Authenticator([KEY], "b", b"2" * 8)
        for sender, receiver, name in ((alice, bob, "b"), (bob, alice, "a")):
            with self.assertRaises(UnprovenSenderError) as caught:
                receiver.open(sender.seal(b"hello", name))
            sender.store_challenge(name, caught.exception.challenge)
        return alice, bob

    def test_each_message_of_a_proven_sender_is_accepted_once(self):
        alice, bob = self.proven_pair()
        first, second = alice.seal(b"x", "b"), alice.seal(b"y", "b")
        self.assertEqual(bob.open(second), ("a", b"y"))
        self.assertEqual(bob.open(first), ("a", b"x"))  # out of order, but not a repetition
        for repeated in (first, second):
            with self.assertRaisesRegex(AuthenticationError, "already accepted"):
                bob.open(repeated)

    def test_forged_changed_and_foreign_messages_are_refused(self):
        alice, bob = self.proven_pair()
        datagram = alice.seal(b"x", "b")
        for index in range(len(datagram)):
            with self.assertRaises(AuthenticationError):
                bob.open(datagram[:index] + bytes([datagram[index] ^ 1]) + datagram[index + 1 :])
            with self.assertRaises(AuthenticationError):
                bob.open(datagram[:index])
        with self.assertRaisesRegex(AuthenticationError, "sent by another fleet"):
            bob.open(Authenticator([OTHER_KEY], "a", b"1" * 8).seal(b"x"))
        with self.assertRaisesRegex(AuthenticationError, "expected version 1, got 7"):
            bob.open(b"\x07" + datagram[1:])
        with self.assertRaisesRegex(AuthenticationError, "sent by this controller itself"):
            alice.open(datagram)

    def test_recordings_of_an_earlier_boot_cannot_be_replayed(self):
        alice, bob = self.proven_pair()
        recorded = [alice.seal(b"old%d" % index, "b") for index in range(5)]
        restarted = Authenticator([KEY], "a", b"3" * 8)
        with self.assertRaises(UnprovenSenderError) as caught:
            bob.open(restarted.seal(b"hi", "b"))
        restarted.store_challenge("b", caught.exception.challenge)
        self.assertEqual(bob.open(restarted.seal(b"hi", "b")), ("a", b"hi"))
        for old in recorded * 2:  # the boot was proven, but none of these messages had arrived
            with self.assertRaises(AuthenticationError):
                bob.open(old)
        self.assertEqual(bob.open(restarted.seal(b"ho", "b")), ("a", b"ho"))

    def test_a_boot_that_was_accepted_and_replaced_stays_refused(self):
        alice, bob = self.proven_pair()
        bob.open(alice.seal(b"x", "b"))
        recorded, restarted = alice.seal(b"y", "b"), Authenticator([KEY], "a", b"3" * 8)
        with self.assertRaises(UnprovenSenderError) as caught:
            bob.open(restarted.seal(b"hi", "b"))
        restarted.store_challenge("b", caught.exception.challenge)
        bob.open(restarted.seal(b"hi", "b"))
        with self.assertRaisesRegex(AuthenticationError, "boot was replaced"):
            bob.open(recorded)

    def test_a_restarted_receiver_accepts_no_recording(self):
        alice, bob = self.proven_pair()
        recorded = alice.seal(b"x", "b")
        with self.assertRaises(UnprovenSenderError):
            Authenticator([KEY], "b", b"9" * 8).open(recorded)

    def test_keys_are_rotated_without_refused_messages(self):
        alice, bob = self.proven_pair()
        bob.keys = [OTHER_KEY, KEY]
        self.assertEqual(bob.open(alice.seal(b"x", "b"))[1], b"x")
        alice.keys = [OTHER_KEY, KEY]
        self.assertEqual(bob.open(alice.seal(b"y", "b"))[1], b"y")
        bob.keys = [OTHER_KEY]
        self.assertEqual(bob.open(alice.seal(b"z", "b"))[1], b"z")

    @given(st.lists(st.integers(1, 200), max_size=120))
    def test_no_counter_is_accepted_twice_in_any_order(self, order):
        alice, bob = self.proven_pair()
        messages, accepted = [alice.seal(b"%d" % index, "b") for index in range(201)], []
        for index in order:
            try:
                accepted.append(bob.open(messages[index])[1])
            except AuthenticationError:
                pass
        self.assertEqual(len(accepted), len(set(accepted)))
