"""The relay bench's judgement of a stream."""

import pytest

from pimentospool.bench._relay_load import is_whole
from pimentospool.standins import token_text

PROMPT = "user\nstream 1\n"


def events(tokens=3):
    made = [
        b'id: %d\ndata: {"choices":[{"delta":{"content":"%s"}}]}\n\n'
        % (number, token_text(PROMPT, number).encode())
        for number in range(tokens)
    ]
    last = b'id: %d\ndata: {"choices":[{"delta":{}}]}\n\n' % tokens
    return [*made, last, b"data: [DONE]\n\n"]


def test_whole_stream_counts_as_whole():
    assert is_whole(b"".join(events()), PROMPT, 3)


@pytest.mark.parametrize("order", [[1, 0, 2, 3, 4], [0, 2, 3, 4], [0, 1, 2, 3], []])
def test_lost_or_reordered_events_do_not(order):
    made = events()
    assert not is_whole(b"".join(made[number] for number in order), PROMPT, 3)


def test_a_changed_byte_does_not():
    text = token_text(PROMPT, 1).encode()
    data = b"".join(events()).replace(text, text[::-1])
    assert not is_whole(data, PROMPT, 3)
