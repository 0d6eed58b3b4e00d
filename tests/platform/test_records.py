"""Values of the store, with those of other writers among them."""

import contextlib

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from pimentospool.gateway import Address, RequestKind
from pimentospool.platform._records import (
    RecordError,
    decode_configuration,
    decode_registration,
)
from pimentospool.standins import platform_configuration, platform_route, target_entry


def encode(value):
    return msgspec.json.encode(value)


def test_configuration_is_decoded_into_the_projects_terms():
    made = decode_configuration(encode(platform_configuration(version=7)))
    assert made.version == 7
    by_prefix = {item.prefix: item for item in made.routes}
    assert by_prefix["/book/"].kind is RequestKind.NON_IDEMPOTENT
    assert by_prefix["/ask/"].resumable
    assert by_prefix["/ask/"].timeout_seconds == 5.0
    assert by_prefix["/home/"].home_regions == {"delta"}
    assert not by_prefix["/plan/"].retryable
    assert made.services["llm"].engine.cache_tokens == 100000
    assert made.services["desk"].engine is None


def test_split_routes_keep_their_weights():
    split = [{"Service": "a", "Weight": 90}, {"Service": "b", "Weight": 10}]
    raw = platform_route("/x/", "idempotent", TrafficSplit=split)
    del raw["Service"]
    made = decode_configuration(encode(platform_configuration(routes=[raw])))
    assert [(w.service, w.weight) for w in made.routes[0].services] == [
        ("a", 90),
        ("b", 10),
    ]


@pytest.mark.parametrize(
    "value",
    [
        b"\xff\x00",
        b"[]",
        b"{}",
        encode(platform_configuration() | {"Version": "7"}),
        encode(platform_configuration(routes=[platform_route("/x/", "unheard_of")])),
    ],
)
def test_unreadable_configuration_is_refused(value):
    with pytest.raises(RecordError):
        decode_configuration(value)


def test_registration_is_decoded():
    raw = target_entry("10.0.0.1:80", State="draining", ColdLeftMs=1500, Extra={})
    made = decode_registration("i-1", encode(raw))
    assert made.address == Address("10.0.0.1", 80)
    assert made.leaving
    assert made.cold_seconds == 1.5


@pytest.mark.parametrize(
    "change",
    [
        {"State": "resting"},
        {"State": None},
        {"Address": "nowhere"},
        {"Address": 5},
        {"Slots": "six"},
        {"born": 1.5},
    ],
)
def test_entry_of_another_writer_names_no_target(change):
    with pytest.raises(RecordError):
        decode_registration("i-1", encode(target_entry("10.0.0.1:80") | change))
    raw = target_entry("10.0.0.1:80")
    del raw["Zone"]
    with pytest.raises(RecordError):
        decode_registration("i-1", encode(raw))


@given(st.binary(max_size=200))
def test_any_bytes_are_decoded_or_refused(value):
    for decode in (decode_configuration, lambda data: decode_registration("i", data)):
        with contextlib.suppress(RecordError):
            decode(value)
