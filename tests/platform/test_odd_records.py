"""Entries of other writers in the store, of any shape, beside sound ones."""

import base64

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pimentospool.gateway import (
    Address,
    Configuration,
    ConfigurationPublished,
    DatedFact,
    FactBatch,
    FactPosition,
    RoutingState,
    TargetRegistered,
    TargetUnreadable,
)
from pimentospool.gateway._routing_state import RoutingView
from pimentospool.platform._records import decode_registration
from pimentospool.platform._store import StoreClient, _Item
from pimentospool.standins import platform_configuration, target_entry

WAYS = ["change", "range", "lack", "repeat", "nest", "cut", "any"]
NUMERIC_FIELDS = ["Slots", "ColdLeftMs", "Sequence", "born"]
FIELDS = tuple(target_entry("127.0.0.1:7"))
BOTH = {"i-1", "i-2"}
MAX_START = 1 << 53
MAX_SLOTS = 1_000_000
WORDS = st.sampled_from(
    ["", "ready", "draining", "resting", "127.0.0.1:7", "127.0.0.1:0", "[::1]:80", "\0"]
)
NUMBERS = st.one_of(
    st.integers(-(1 << 70), 1 << 70),
    st.sampled_from([0, -1, 1_000_001, 3_600_001, MAX_START + 1, 10**4000]),
    st.floats(allow_nan=False, allow_infinity=False),
)
VALUES = st.recursive(
    st.one_of(st.none(), st.booleans(), NUMBERS, WORDS, st.text(max_size=20)),
    lambda inner: st.one_of(
        st.lists(inner, max_size=3),
        st.dictionaries(st.sampled_from(FIELDS) | st.text(max_size=5), inner),
    ),
    max_leaves=8,
)


def as_json(value):
    """Return JSON text; unlike encoders, it has integers of any length."""
    if isinstance(value, bool) or value is None:
        return {True: b"true", False: b"false", None: b"null"}[value]
    if isinstance(value, int):
        return b"%s%s" % (b"-" * (value < 0), _digits(abs(value)))
    if isinstance(value, list):
        return b"[" + b",".join(map(as_json, value)) + b"]"
    if isinstance(value, dict):
        return members(value.items())
    return msgspec.json.encode(value)


def _digits(number):
    # Python refuses to convert integers of more than 4300 digits at once.
    text = b""
    while number >= 10**1000:
        number, low = divmod(number, 10**1000)
        text = b"%01000d" % low + text
    return b"%d" % number + text


def members(pairs):
    """Return a JSON object with `pairs`, whose names may come several times."""
    return (
        b"{"
        + b",".join(msgspec.json.encode(key) + b":" + as_json(v) for key, v in pairs)
        + b"}"
    )


@st.composite
def odd_values(draw):
    """Return an entry that was broken in some way, or bytes of any kind."""
    pairs = list(target_entry("127.0.0.1:7").items())
    way = draw(st.sampled_from(WAYS))
    number = draw(st.integers(0, len(pairs) - 1))
    name = pairs[number][0]
    if way == "change":
        pairs[number] = (name, draw(VALUES))
    elif way == "range":
        name = draw(st.sampled_from(NUMERIC_FIELDS))
        pairs = [*(pair for pair in pairs if pair[0] != name), (name, draw(NUMBERS))]
    elif way == "lack":
        del pairs[number]
    elif way == "repeat":
        pairs.insert(draw(st.integers(0, len(pairs))), (name, draw(VALUES)))
    text = members(pairs)
    if way == "nest":
        depth = draw(st.sampled_from([10, 900, 1100, 50_000]))
        begin, end = draw(st.sampled_from([(b"[", b"]"), (b'{"a":', b"}")]))
        return text[:-1] + b',"Extra":' + begin * depth + b"1" + end * depth + b"}"
    if way == "cut":
        return text[: draw(st.integers(0, len(text) - 1))]
    if way == "any":
        return draw(st.binary(max_size=100) | VALUES.map(as_json))
    return text


def item(key, value, revision):
    return _Item(key=key, revision=revision, value=base64.b64encode(value).decode())


def sound_value(port):
    return msgspec.json.encode(target_entry(f"127.0.0.1:{port}"))


def usable_ids(state):
    return {item.id for item in state.usable_targets("desk", "gulf")}


@pytest.mark.parametrize("key", ["servers/odd", "servers/i-1", "op/config"])
@settings(max_examples=300, deadline=None)
@given(value=odd_values())
def test_odd_value_ends_nothing_and_sound_entries_are_followed(key, value):
    store = StoreClient(address=Address("127.0.0.1", 1))
    follower, reader = (
        RoutingState(clock=lambda: 0.0, zone_regions={"gulf-a": "gulf"})
        for _ in range(2)
    )
    configuration = msgspec.json.encode(platform_configuration())
    items = [
        item("op/config", configuration, 1),
        item("servers/i-1", sound_value(1), 2),
        item(key, value, 3),
        item("servers/i-2", sound_value(2), 4),
    ]
    facts = []
    for entry in items:
        fact = store._to_fact(entry)
        if fact is not None:
            facts.append(DatedFact(entry.revision, fact))
    batch = FactBatch(FactPosition(1, 4), facts)
    # A relay hands the facts on in this form.
    sent = msgspec.msgpack.decode(msgspec.msgpack.encode(batch), type=FactBatch)
    assert sent == batch
    for dated in sent.facts:
        match dated.fact:
            case TargetRegistered(registration=registration):
                assert registration.address.port in range(1, 1 << 16)
                assert 0 <= registration.slots <= MAX_SLOTS
                assert 0.0 <= registration.cold_seconds <= 3600.0
                assert 0 <= registration.started_at <= MAX_START
                follower.register(registration)
            case TargetUnreadable(target=target):
                follower.receive_unreadable(target)
            case ConfigurationPublished(configuration=published):
                assert isinstance(published, Configuration)
                follower.adopt(published)
    assert "i-2" in usable_ids(follower)
    if key != "servers/i-1":
        assert "i-1" in usable_ids(follower)
    # Both ways of reading give the same targets to one that knew the sound entry.
    reader.register(decode_registration("i-1", sound_value(1)))
    last = {entry.key: entry for entry in items}
    snapshot = store._to_snapshot(list(last.values()), FactPosition(1, 4))
    reader.apply_snapshot(snapshot, restored=False, may_have_expired=False)
    assert usable_ids(reader) == usable_ids(follower)
    if not isinstance(facts[-2].fact, TargetRegistered):
        assert usable_ids(reader) == ({"i-2"} if key == "servers/i-1" else BOTH)
    view = follower.view(FactPosition(1, 4))
    assert view is not None
    encoded = msgspec.msgpack.encode(view)
    assert msgspec.msgpack.decode(encoded, type=RoutingView) == view
