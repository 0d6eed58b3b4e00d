"""Checks of answers against what the target must have said."""

from typing import Protocol

import msgspec

from pimentospool._generated.records import CallKind
from pimentospool.load._traffic import Call
from pimentospool.standins import ServiceAnswer, token_text

_DATA = b"data: "
_DONE = b"[DONE]"


class AnswerCheck(Protocol):
    """Tells a whole right answer from any other."""

    def is_whole(self, call: Call, body: bytes, request_id: str) -> bool:
        """Return whether `body` is the whole answer to `call`."""
        ...


class AnyAnswer:
    """Takes a stream that ended with its end mark, and any unstreamed answer."""

    def is_whole(self, call: Call, body: bytes, request_id: str) -> bool:
        """Return whether `body` came to its end."""
        return not call.prompt or _DATA + _DONE in body


class StandinAnswers:
    """Compares with the text and the digests that stand-ins answer with."""

    def is_whole(self, call: Call, body: bytes, request_id: str) -> bool:
        """Return whether `body` is exactly the stand-in's answer to `call`."""
        if call.prompt:
            return self._is_whole_stream(call, body)
        try:
            answer = msgspec.json.decode(body, type=ServiceAnswer)
        except msgspec.DecodeError:
            return False
        return (
            answer.body_digest == call.body_digest
            and call.path.endswith(answer.path)
            and (_may_be_held(call) or answer.request_id == request_id)
        )

    def _is_whole_stream(self, call: Call, body: bytes) -> bool:
        texts = []
        done = False
        for event in body.split(b"\n\n"):
            data = _event_data(event)
            if data == _DONE:
                done = True
            elif data:
                texts.append(_delta_text(data))
        expected = "".join(
            token_text(call.prompt, number) for number in range(call.max_tokens)
        )
        return done and "".join(texts) == expected


def _may_be_held(call: Call) -> bool:
    """Return whether an answer may be that of an earlier request for its operation.

    The digest of the call's body, which no other call has, then identifies it.
    """
    return call.kind is CallKind.NON_IDEMPOTENT


class _Delta(msgspec.Struct):
    content: str = ""


class _Choice(msgspec.Struct):
    delta: _Delta


class _Chunk(msgspec.Struct):
    choices: list[_Choice]


def _event_data(event: bytes) -> bytes:
    for line in event.split(b"\n"):
        if line.startswith(_DATA):
            return line.removeprefix(_DATA).strip()
    return b""


def _delta_text(data: bytes) -> str:
    try:
        chunk = msgspec.json.decode(data, type=_Chunk)
    except msgspec.DecodeError:
        return "\0"
    return "".join(choice.delta.content for choice in chunk.choices)
