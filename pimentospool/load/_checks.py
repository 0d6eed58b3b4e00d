"""Checks whether answers are complete and are those that the target must give."""

from typing import Protocol

import msgspec

from pimentospool._generated.records import CallKind
from pimentospool.load._traffic import Call
from pimentospool.standins import ServiceAnswer, token_text

_DATA_PREFIX = b"data: "
_END_MARK = b"[DONE]"


class AnswerCheck(Protocol):
    """Decides whether an answer is complete and correct."""

    def is_whole(self, call: Call, body: bytes, request_id: str) -> bool:
        """Return whether `body` is the complete, correct answer to `call`."""
        ...


class StreamEndCheck:
    """Accepts any stream that contains its end mark, and any other kind of answer."""

    def is_whole(self, call: Call, body: bytes, request_id: str) -> bool:
        """Return whether `body` is a finished stream, or not a stream."""
        return not call.prompt or _DATA_PREFIX + _END_MARK in body


class StandinAnswerCheck:
    """Compares answers with the text and the digests that stand-ins send."""

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
            and (_may_be_stored_answer(call) or answer.request_id == request_id)
        )

    def _is_whole_stream(self, call: Call, body: bytes) -> bool:
        deltas = []
        has_end_mark = False
        for event in body.split(b"\n\n"):
            data = _event_data(event)
            if data == _END_MARK:
                has_end_mark = True
            elif data:
                deltas.append(_delta_text(data))
        expected = "".join(
            token_text(call.prompt, number) for number in range(call.max_tokens)
        )
        return has_end_mark and "".join(deltas) == expected


def _may_be_stored_answer(call: Call) -> bool:
    """Return whether an answer may have been stored for an earlier request.

    The answer to a non-idempotent call is stored for its operation, so it may carry
    the id of an earlier request. The digest of the call's body, which is unique to the
    call, identifies it instead.
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
        if line.startswith(_DATA_PREFIX):
            return line.removeprefix(_DATA_PREFIX).strip()
    return b""


def _delta_text(data: bytes) -> str:
    try:
        chunk = msgspec.json.decode(data, type=_Chunk)
    except msgspec.DecodeError:
        return "\0"
    return "".join(choice.delta.content for choice in chunk.choices)
