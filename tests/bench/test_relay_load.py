"""How the relay bench recognises a complete stream."""

import pytest

from pimentospool.bench._relay_load import is_whole
from pimentospool.standins import token_text

PROMPT = "user\nstream 1\n"


def events(tokens=3):
    stream_events = [
        b'id: %d\ndata: {"choices":[{"delta":{"content":"%s"}}]}\n\n'
        % (number, token_text(PROMPT, number).encode())
        for number in range(tokens)
    ]
    finish_event = b'id: %d\ndata: {"choices":[{"delta":{}}]}\n\n' % tokens
    return [*stream_events, finish_event, b"data: [DONE]\n\n"]


def test_complete_stream_is_accepted():
    assert is_whole(b"".join(events()), PROMPT, 3)


@pytest.mark.parametrize("order", [[1, 0, 2, 3, 4], [0, 2, 3, 4], [0, 1, 2, 3], []])
def test_lost_or_reordered_events_are_rejected(order):
    stream_events = events()
    assert not is_whole(b"".join(stream_events[number] for number in order), PROMPT, 3)


def test_changed_byte_is_rejected():
    text = token_text(PROMPT, 1).encode()
    data = b"".join(events()).replace(text, text[::-1])
    assert not is_whole(data, PROMPT, 3)
