"""Decoding of what peers send on a link."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from burdockchute import wire
from burdockchute.wire import codec
from burdockchute.wire import messages
from burdockchute_testing.builders.messages import any_message
from burdockchute_testing.builders.messages import encoded
from burdockchute_testing.builders.messages import message_kinds

MESSAGES = st.sampled_from(message_kinds()).flatmap(
    lambda kind: any_message(kind, st.text(max_size=4))
)


def decode(data):
    """Return the message in a frame, None if it has none."""
    try:
        return wire.decode(data)
    except wire.WireError:
        return None


class WireTest(unittest.TestCase):
    @given(st.binary(), MESSAGES.map(encoded), st.integers(0, 200))
    def test_any_bytes_are_a_message_or_a_wire_error(self, more, data, size):
        for found in (more, data[:size] + more, more + data, data * 2):
            message = decode(found)
            if message is not None:
                wire.encode(message)

    @settings(max_examples=300)
    @given(MESSAGES.map(encoded))
    def test_members_are_never_none_but_where_that_has_a_meaning(self, data):
        """A handler of a message without some member ended its process."""
        message = decode(data)
        if message is None:
            return
        may_be_none = wire.codec.MAY_BE_UNSET.get(type(message), ())
        for name, value in vars(message).items():
            if name not in may_be_none:
                self.assertIsNotNone(value, name)

    def test_members_have_the_empty_value_of_their_type(self):
        data = encoded(messages.LoadReport(weights=[messages.WeightsState()]))
        report = wire.decode(data)
        self.assertEqual(
            ('', 0, None), (report.instance, report.running, report.named)
        )
        self.assertEqual(
            [messages.WeightsState('', '', '', 0, 0)], report.weights
        )
        self.assertEqual(b'', wire.decode(encoded(messages.Chunk())).data)

    def test_numbers_that_are_not_finite_are_refused(self):
        for value in (float('nan'), float('inf')):
            data = encoded(messages.LoadReport(tokens_per_s=value))
            self.assertIsNone(decode(data))

    def test_lists_at_the_limit_and_beyond(self):
        """A frame of 16 MB with empty members took 1.3 GB."""

        def members(count):
            return messages.Members([messages.Member() for _n in range(count)])

        most = codec.MAX_ELEMENTS
        decoded = wire.decode(wire.encode(members(most)))
        self.assertEqual(most, len(decoded.members))
        with self.assertRaises(wire.WireError):
            wire.decode(wire.encode(members(most + 1)))
