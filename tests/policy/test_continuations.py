"""What may continue a stream, whatever its bytes and their division."""

import pytest

from pimentospool.policy import StreamPosition, continuation_head_fault


def event(number, data=b"x"):
    return b"id: %d\ndata: %s\n\n" % (number, data)


def position_after(*numbers, resume_after=None):
    position = StreamPosition(resume_after=resume_after)
    for number in numbers:
        position.record(event(number))
    return position


@pytest.mark.parametrize(
    ("sent", "first_id", "passes"),
    [
        ((1, 2, 3), 4, True),
        ((1, 2, 3), 3, False),
        ((1, 2, 3), 5, False),
        ((4, 8, 12), 16, True),
        ((4, 8, 12), 13, True),
        ((4, 8, 12), 12, False),
        ((0, 1, 2), 3, True),
        ((), 1, True),
    ],
)
def test_missing_or_repeated_event_at_the_seam_is_found(sent, first_id, passes):
    fault = position_after(*sent).events_fault(event(first_id), at_start=True)
    assert (fault is None) is passes


def test_first_id_of_a_stream_taken_up_need_not_follow_directly():
    position = position_after(resume_after=12)
    assert position.events_fault(event(14), at_start=True) is None
    assert position.events_fault(event(12), at_start=True) is not None


def test_later_ids_of_a_continuation_only_have_to_rise():
    position = position_after(1, 2)
    assert position.events_fault(event(3) + event(7), at_start=True) is None
    position.record(event(3) + event(7))
    assert position.events_fault(event(9), at_start=False) is None
    assert position.events_fault(event(7), at_start=False) is not None


@pytest.mark.parametrize(
    "data",
    [
        b": comment\n\n",
        b"retry: 100\n\n",
        b":\r\n\r\n",
        b"x-weight-versions: 3\nid: 3\ndata: x\n\n",
        b"event: token\nid: 3\ndata: a\ndata\ndata: HTTP/1.1 500 Error\n\n",
        b"data: x\r\nid:3\r\n\r\n",
    ],
)
def test_events_of_sound_targets_pass(data):
    assert position_after(1, 2).events_fault(data, at_start=True) is None


@pytest.mark.parametrize(
    "data",
    [
        b"data: x\n\n",
        b"event: error\ndata: x\n\n",
        b"error: 500\n\n",
        b"Bad Gateway\n\n",
        b"HTTP/1.1 200 OK\r\nx-a: 1\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nx-a: 1\nid: 3\ndata: x\n\n",
        b"id: 3\nid: 4\ndata: x\n\n",
        b"id: -3\ndata: x\n\n",
        b"id: 3.5\ndata: x\n\n",
        b"id:\ndata: x\n\n",
        b"\x00\xff\n\n",
        b'{"error": 1}\n\n',
        b"id: 3\ndata: x\n\nevent: error\ndata: x\n\n",
    ],
)
def test_text_that_is_no_event_of_the_stream_is_found(data):
    assert position_after(1, 2).events_fault(data, at_start=True) is not None


def test_stream_that_ends_without_an_id_can_not_be_continued():
    position = position_after(1)
    assert position.can_continue
    position.record(b": comment\n\n")
    assert position.can_continue
    position.record(b"data: x\n\n")
    assert not position.can_continue
    position.record(event(2))
    assert position.can_continue


@pytest.mark.parametrize(
    ("has_events", "ends_by_close", "next_has_begun", "passes"),
    [
        (True, True, False, True),
        (False, False, False, True),
        (False, True, False, False),
        (False, False, True, False),
    ],
)
def test_end_without_events_is_whole_only_if_nothing_tells_of_more(
    has_events, ends_by_close, next_has_begun, passes
):
    position = position_after(1)
    position.next_has_begun = next_has_begun
    fault = position.end_fault(has_events=has_events, ends_by_close=ends_by_close)
    assert (fault is None) is passes


@pytest.mark.parametrize(
    ("status", "content_type", "passes"),
    [
        (200, b"text/event-stream", True),
        (200, b"Text/Event-Stream ; charset=utf-8", True),
        (200, b"text/event-streams", False),
        (200, b"text/plain", False),
        (200, None, False),
        (204, b"text/event-stream", False),
        (206, b"text/event-stream", False),
    ],
)
def test_only_a_stream_of_events_can_hold_the_rest(status, content_type, passes):
    assert (continuation_head_fault(status, content_type) is None) is passes
