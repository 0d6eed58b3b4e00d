"""Encoding of control messages and refusal of invalid ones."""

import contextlib

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pimentospool._generated.peers import (
    Gossip,
    Member,
    PeerAnswer,
    PeerRequest,
    RevisionHead,
)
from pimentospool.ids import EntryId, RegionId, ZoneId
from pimentospool.peers import PeerCodec
from pimentospool.peers._codec import CodecError

CODEC = PeerCodec(deployment="test", key="key-of-this-test-run")
MEMBER = Member(
    id=EntryId("e"),
    region=RegionId("r"),
    zone=ZoneId("z"),
    caller_address="10.0.0.1:80",
    peer_address="10.0.0.1:81",
    life=1,
    incarnation=1,
)
GOSSIP = PeerRequest(
    gossip=Gossip(sender=MEMBER, revision=RevisionHead(number=3, digest="d"))
)


def test_message_is_unchanged_by_encoding_and_decoding():
    assert CODEC.decode(CODEC.encode(GOSSIP), PeerRequest) == GOSSIP


def test_message_of_another_kind_key_or_deployment_is_refused():
    data = CODEC.encode(GOSSIP)
    others = [
        PeerCodec(deployment="test", key="another-key-than-theirs"),
        PeerCodec(deployment="other", key="key-of-this-test-run"),
    ]
    for codec in others:
        with pytest.raises(CodecError):
            codec.decode(data, PeerRequest)
    with pytest.raises(CodecError):
        CODEC.decode(data, PeerAnswer)


@given(st.integers(0, len(CODEC.encode(GOSSIP)) - 1), st.integers(1, 255))
@settings(max_examples=200, derandomize=True, deadline=None)
def test_changed_byte_is_refused(place, change):
    data = bytearray(CODEC.encode(GOSSIP))
    data[place] ^= change
    with pytest.raises(CodecError):
        CODEC.decode(bytes(data), PeerRequest)


@given(st.binary(max_size=300))
@settings(max_examples=500, derandomize=True, deadline=None)
def test_signed_garbage_is_refused_with_a_codec_error_or_read(payload):
    data = CODEC._mac("PeerRequest", payload) + payload
    with contextlib.suppress(CodecError):
        CODEC.decode(data, PeerRequest)


def test_unknown_fields_of_a_later_version_are_ignored():
    payload = msgspec.msgpack.encode([*msgspec.to_builtins(GOSSIP), "later", 7])
    data = CODEC._mac("PeerRequest", payload) + payload
    assert CODEC.decode(data, PeerRequest) == GOSSIP
