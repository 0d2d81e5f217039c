"""Tests of the messages between daemons."""

import contextlib
import string

from hypothesis import given
from hypothesis import strategies as st

from fireflylock.exceptions import ProtocolError
from fireflylock.messages import ForwardRequest, Heartbeat, StateValue, StateValues, decode, encode

TEXT = st.text(string.printable, max_size=20)


@given(st.lists(st.tuples(st.binary(), st.binary())), st.binary(), TEXT, st.integers(0, 2**63))
def test_encoded_messages_decode_to_equal_messages(headers, body, text, number):
    request = ForwardRequest(
        number, text, text, text, text, "GET", body, headers, body, True, None, 5, False
    )
    values = StateValues([StateValue(text, number, body)], 0, number)
    for message in (request, values):
        assert decode(encode(message)) == message


SAMPLES = [
    encode(Heartbeat(1, 2, 3, 4, 5, 6, 7, 8)),
    encode(ForwardRequest(1, "r", "s", "k", "c", "GET", b"/", [], b"", True, 0, 5, True)),
]


@given(
    st.one_of(st.binary(), st.sampled_from(SAMPLES)),
    st.lists(st.tuples(st.integers(0), st.integers(0, 255))),
)
def test_invalid_bytes_raise_only_protocol_errors(data, changes):
    mutated = bytearray(data)
    for position, byte in changes:
        if mutated:
            mutated[position % len(mutated)] = byte
    with contextlib.suppress(ProtocolError):
        decode(bytes(mutated))
