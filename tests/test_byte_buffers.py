"""Buffers return what was appended, whatever its size."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pimentospool.byte_buffers import MAPPED_BYTES, ByteBuffer


@given(
    expected=st.integers(0, 4 * MAPPED_BYTES),
    sizes=st.lists(st.integers(0, 2 * MAPPED_BYTES), max_size=12),
)
def test_bytes_come_back_whatever_size_was_expected(expected, sizes):
    buffer = ByteBuffer(expected)
    pieces = [bytes([number + 1]) * size for number, size in enumerate(sizes)]
    for piece in pieces:
        buffer.append(piece)
    assert len(buffer) == sum(sizes)
    assert bytes(buffer.take()) == b"".join(pieces)


def test_body_that_was_taken_can_not_be_changed():
    buffer = ByteBuffer()
    buffer.append(b"a" * 2 * MAPPED_BYTES)
    body = buffer.take()
    with pytest.raises(TypeError):
        body[0] = 1
