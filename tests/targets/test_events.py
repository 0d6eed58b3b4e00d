"""Splitting of a stream into events, however it is divided into chunks."""

from itertools import pairwise

from hypothesis import given, settings
from hypothesis import strategies as st

from pimentospool.targets import EventBatch, EventBoundary, EventSplitter

TEXTS = st.text(alphabet="ab \n\r:", max_size=8).map(
    lambda text: text.replace("\n", "").replace("\r", "").encode()
)


@settings(max_examples=200, derandomize=True)
@given(
    texts=st.lists(TEXTS, max_size=8),
    cuts=st.lists(st.integers(0, 200), max_size=10),
)
def test_events_do_not_depend_on_the_chunks(texts, cuts):
    events = [b"id: %d\ndata: x%b\n\n" % item for item in enumerate(texts)]
    stream = b"".join(events)
    chunk_bounds = sorted({min(cut, len(stream)) for cut in cuts} | {0, len(stream)})
    splitter = EventSplitter()
    received = b""
    for start, end in pairwise(chunk_bounds):
        batch = splitter.feed(stream[start:end])
        if batch is None:
            continue
        received += batch.data
        complete_count = received.count(b"\n\n")
        assert received == b"".join(events[:complete_count])
        assert batch.last_id == complete_count - 1
    assert received == stream
    assert not splitter.pending_bytes


def test_ids_and_end_are_read_from_fields_only():
    batch = EventBatch(data=b'id: 4\ndata: "id: 9 event: error [DONE]"\n\n')
    assert (batch.first_id, batch.last_id) == (4, 4)
    assert batch.error is None
    assert not batch.done
    assert EventBatch(data=b"id: 5\r\ndata: x\r\n\r\ndata: [DONE]\r\n\r\n").done


def test_error_event_is_found_after_other_events():
    batch = EventBatch(data=b"id: 4\ndata: x\n\nevent: error\ndata: {}\n\n")
    assert batch.error == b"{}"


def test_first_event_can_be_dropped():
    batch = EventBatch(data=b"id: 4\ndata: x\n\nid: 5\ndata: y\n\n")
    assert batch.without_event(4).data == b"id: 5\ndata: y\n\n"
    assert batch.without_event(5) is batch


@settings(max_examples=200, derandomize=True)
@given(
    newline=st.sampled_from([b"\n", b"\r\n", b"\r"]),
    count=st.integers(1, 3),
    length=st.integers(1, 60),
    chunk_size=st.integers(1, 7),
)
def test_boundary_is_known_at_each_length_of_a_stream(
    newline, count, length, chunk_size
):
    event = newline.join([b"id: 1", b"data: x", b"", b""])
    stream = (event * count)[:length]
    boundary = EventBoundary()
    for start in range(0, len(stream), chunk_size):
        boundary.feed(stream[start : start + chunk_size])
    blank_line_begun = len(newline) == 2 and len(stream) % len(event) == len(event) - 1
    ends_after_event = len(stream) % len(event) == 0 or blank_line_begun
    assert boundary.within_event is not ends_after_event
