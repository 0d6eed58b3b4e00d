"""Whole answers are distinguished from truncated, altered and mixed-up ones."""

import random
from pathlib import Path

import msgspec
import pytest

from pimentospool.ids import RegionId
from pimentospool.load import CallKind, StandinAnswerCheck, StreamEndCheck, TrafficMix
from pimentospool.load._traffic import TrafficSource
from pimentospool.manifest import read_manifest
from pimentospool.standins import ServiceAnswer, token_text

EXAMPLES = Path(__file__).resolve().parents[2] / "examples"


def make_call(**mix):
    shares = dict.fromkeys(("short", "long", "idempotent", "non_idempotent"), 0.0)
    source = TrafficSource(
        manifest=read_manifest(EXAMPLES / "magnolia" / "manifest.toml"),
        mix=TrafficMix(**{**shares, **mix}),
        rng=random.Random(1),
        run_id="t",
    )
    return source.next_call(RegionId("gulf"))


def encode_stream(texts, *, done=True):
    chunks = [
        b"data: "
        + msgspec.json.encode({"choices": [{"delta": {"content": text}}]})
        + b"\n\n"
        for text in texts
    ]
    return b"".join(chunks) + (b"data: [DONE]\n\n" if done else b"")


def test_only_the_complete_expected_stream_is_whole():
    call = make_call(short=1.0)
    texts = [token_text(call.prompt, number) for number in range(call.max_tokens)]
    check = StandinAnswerCheck()
    assert call.kind is CallKind.SHORT
    assert check.is_whole(call, encode_stream(texts), "r")
    assert not check.is_whole(call, encode_stream(texts, done=False), "r")
    assert not check.is_whole(call, encode_stream(texts[:-1]), "r")
    assert not check.is_whole(call, encode_stream([*texts, texts[-1]]), "r")
    other = [token_text("other", number) for number in range(call.max_tokens)]
    assert not check.is_whole(call, encode_stream(other), "r")
    assert StreamEndCheck().is_whole(call, encode_stream(other), "r")


@pytest.mark.parametrize(
    "change", [{}, {"body_digest": "x"}, {"request_id": "other"}, {"path": "other"}]
)
@pytest.mark.parametrize("mix", [{"idempotent": 1.0}, {"non_idempotent": 1.0}])
def test_only_the_expected_service_answer_is_whole(change, mix):
    call = make_call(**mix)
    fields = {
        "service": "payment",
        "path": call.path.split("/", 4)[4],
        "execution": 1,
        "request_id": "r",
        "body_digest": call.body_digest,
    }
    body = msgspec.json.encode(ServiceAnswer(**{**fields, **change}))
    may_be_stored = "non_idempotent" in mix and "request_id" in change
    assert StandinAnswerCheck().is_whole(call, body, "r") is (
        not change or may_be_stored
    )


def test_calls_are_the_same_for_the_same_seed():
    assert make_call(long=1.0) == make_call(long=1.0)
    assert make_call(long=1.0) != make_call(short=1.0)
