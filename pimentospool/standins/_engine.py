"""Stand-in for a model engine: OpenAI-compatible, batching, with a prefix cache.

Its published protocol extends the OpenAI paths: ``X-Priority`` orders the batch queue,
``Last-Event-ID`` resumes a stream after that token, ``GET /load`` reports the load with
a lag, ``GET /events`` lists cache events, ``GET /state`` lists the loaded models, and
``GET`` and ``POST /kv`` export and import the KV cache. A refusal of a request that was
not executed carries ``X-Not-Executed``.
"""

import asyncio
import hashlib
import random
import time
from collections.abc import AsyncIterator

import msgspec
from aiohttp import web

from pimentospool._generated.callers import ChatRequest, CompletionRequest
from pimentospool._generated.engine import (
    EngineState,
    LoadedModel,
    LoadReport,
)
from pimentospool.prompts import (
    BLOCK_TOKENS,
    count_tokens,
    prefix_blocks,
    prompt_text,
)
from pimentospool.revisions import digest_of
from pimentospool.standins._batching import SlotQueue
from pimentospool.standins._executions import Execution
from pimentospool.standins._prefix_cache import PrefixCache
from pimentospool.standins._service import NOT_EXECUTED_HEADER

DEFAULT_MAX_TOKENS = 16
DEFAULT_PRIORITY = 10


class EngineProfile(msgspec.Struct, kw_only=True):
    """Speeds and sizes of an engine.

    `speed` multiplies the two token rates. `load_lag_seconds` is the interval at which
    the load report is refreshed. `event_loss` is the share of cache events that are
    never published. `seed` determines which ones.
    """

    slots: int = 8
    prefill_tokens_per_second: float = 4000.0
    decode_tokens_per_second: float = 25.0
    cache_blocks: int = 2048
    load_lag_seconds: float = 0.5
    event_delay_seconds: float = 0.5
    event_loss: float = 0.02
    speed: float = 1.0
    seed: int = 0


def token_text(prompt: str, number: int) -> str:
    """Return token `number` of the completion of `prompt`, equal on every engine."""
    digest = hashlib.blake2b(f"{number}:{prompt}".encode(), digest_size=3).hexdigest()
    return f"{digest} "


class _Generation(msgspec.Struct, kw_only=True):
    """One accepted request; `first_token` is above 0 if it resumes a stream."""

    request_id: str
    model: str
    prompt: str
    max_tokens: int
    first_token: int
    priority: int
    chat: bool


class ModelEngine:
    """A model engine that generates deterministic text.

    Parameters
    ----------
    profile : EngineProfile
        Speeds and sizes of the engine.
    models : list of LoadedModel
        Models loaded at the start.
    """

    def __init__(
        self, *, profile: EngineProfile, models: list[LoadedModel] | None = None
    ) -> None:
        self.profile = profile
        self.refusing = False
        self.served = 0
        self.executions: list[Execution] = []
        self.state = EngineState(models=models or [])
        self._slots = SlotQueue(slots=profile.slots)
        self._prefill_lock = asyncio.Lock()
        self._waiting_tokens = 0
        self._report = LoadReport(
            running=0, waiting=0, waiting_tokens=0, age_seconds=0.0
        )
        self._report_updated_at = 0.0
        self._cache = PrefixCache(
            capacity=profile.cache_blocks,
            event_delay_seconds=profile.event_delay_seconds,
            event_loss=profile.event_loss,
            rng=random.Random(profile.seed),
        )

    def routes(self) -> list[web.AbstractRouteDef]:
        """Return the routes of the stand-in."""
        return [
            web.post("/v1/chat/completions", self._handle_chat),
            web.post("/v1/completions", self._handle_completion),
            web.get("/load", self._handle_load),
            web.get("/events", self._handle_events),
            web.get("/state", self._handle_state),
            web.get("/kv", self._handle_export),
            web.post("/kv", self._handle_import),
            web.put("/refusing/{state}", self._handle_set_refusing),
        ]

    async def _handle_chat(self, req: web.Request) -> web.StreamResponse:
        body = msgspec.json.decode(await req.read(), type=ChatRequest)
        limit = body.max_completion_tokens or body.max_tokens or DEFAULT_MAX_TOKENS
        return await self._complete(req, body, limit)

    async def _handle_completion(self, req: web.Request) -> web.StreamResponse:
        body = msgspec.json.decode(await req.read(), type=CompletionRequest)
        return await self._complete(req, body, body.max_tokens or DEFAULT_MAX_TOKENS)

    async def _complete(
        self, req: web.Request, body: ChatRequest | CompletionRequest, limit: int
    ) -> web.StreamResponse:
        if self.refusing or not self._has_model(body.model):
            return web.Response(status=503, headers={NOT_EXECUTED_HEADER: "true"})
        generation = _Generation(
            request_id=req.headers.get("X-Request-Id", ""),
            model=body.model,
            prompt=prompt_text(body),
            max_tokens=limit,
            first_token=int(req.headers.get("Last-Event-ID", "-1")) + 1,
            priority=int(req.headers.get("X-Priority", DEFAULT_PRIORITY)),
            chat=isinstance(body, ChatRequest),
        )
        self.served += 1
        execution = self._record_execution(req, generation, await req.read())
        try:
            if body.stream:
                return await self._send_stream(req, generation)
            return await self._completion_response(generation)
        finally:
            execution.seconds = time.time() - execution.at

    def _record_execution(
        self, req: web.Request, gen: _Generation, body: bytes
    ) -> Execution:
        execution = Execution(
            path=req.path,
            method=req.method,
            request_id=gen.request_id,
            operation_id="",
            body_digest=digest_of(body),
            at=time.time(),
            first_token=gen.first_token,
        )
        self.executions.append(execution)
        return execution

    def clear_cache(self) -> None:
        """Evict every cached prefix, as a restart does."""
        self._cache.clear()

    def _has_model(self, name: str) -> bool:
        model, _, adapter = name.partition(":")
        return any(
            loaded.model == model
            and loaded.ready
            and (not adapter or adapter in loaded.adapters)
            for loaded in self.state.models
        )

    async def _send_stream(
        self, req: web.Request, gen: _Generation
    ) -> web.StreamResponse:
        response = web.StreamResponse(
            headers={
                "Content-Type": "text/event-stream",
                "X-Request-Id": gen.request_id,
            }
        )
        await response.prepare(req)
        async for number, text in self._tokens(gen):
            chunk = msgspec.json.encode(_stream_chunk(gen, text, None))
            await response.write(b"id: %d\ndata: %s\n\n" % (number, chunk))
        final_chunk = msgspec.json.encode(_stream_chunk(gen, "", "stop"))
        await response.write(b"id: %d\ndata: %s\n\n" % (gen.max_tokens, final_chunk))
        await response.write(b"data: [DONE]\n\n")
        await response.write_eof()
        return response

    async def _completion_response(self, gen: _Generation) -> web.Response:
        text = "".join([text async for _, text in self._tokens(gen)])
        return web.Response(
            body=msgspec.json.encode(_full_completion(gen, text)),
            content_type="application/json",
            headers={"X-Request-Id": gen.request_id},
        )

    async def _tokens(self, gen: _Generation) -> AsyncIterator[tuple[int, str]]:
        blocks = prefix_blocks(gen.prompt)
        tokens = count_tokens(gen.prompt)
        self._waiting_tokens += tokens
        try:
            async with self._slots.slot(gen.priority):
                await self._run_prefill(blocks, tokens)
                self._waiting_tokens -= tokens
                tokens = 0
                seconds_per_token = (
                    1 / self.profile.decode_tokens_per_second / self.profile.speed
                )
                for number in range(gen.first_token, gen.max_tokens):
                    yield number, token_text(gen.prompt, number)
                    await asyncio.sleep(seconds_per_token)
        finally:
            self._waiting_tokens -= tokens

    async def _run_prefill(self, blocks: list[str], tokens: int) -> None:
        async with self._prefill_lock:
            cached = self._cache.match(blocks) * BLOCK_TOKENS
            tokens_per_second = (
                self.profile.prefill_tokens_per_second * self.profile.speed
            )
            await asyncio.sleep(max(0, tokens - cached) / tokens_per_second)
            self._cache.store(blocks)

    async def _handle_load(self, req: web.Request) -> web.Response:
        now = time.monotonic()
        if now - self._report_updated_at >= self.profile.load_lag_seconds:
            self._report_updated_at = now
            self._report = LoadReport(
                running=self._slots.running,
                waiting=self._slots.waiting,
                waiting_tokens=self._waiting_tokens,
                age_seconds=0.0,
            )
        report = msgspec.structs.replace(
            self._report, age_seconds=now - self._report_updated_at
        )
        return _json(report)

    async def _handle_events(self, req: web.Request) -> web.Response:
        return _json(self._cache.events_after(int(req.query.get("after", "0"))))

    async def _handle_state(self, req: web.Request) -> web.Response:
        return _json(self.state)

    async def _handle_export(self, req: web.Request) -> web.Response:
        return _json(self._cache.export())

    async def _handle_import(self, req: web.Request) -> web.Response:
        self._cache.store(msgspec.json.decode(await req.read(), type=list[str]))
        return web.Response(status=204)

    async def _handle_set_refusing(self, req: web.Request) -> web.Response:
        self.refusing = req.match_info["state"] == "true"
        return web.Response(status=204)


class _Message(msgspec.Struct, kw_only=True, omit_defaults=True):
    role: str = "assistant"
    content: str = ""


class _Choice(msgspec.Struct, kw_only=True):
    index: int = 0
    delta: _Message | None = None
    message: _Message | None = None
    text: str | None = None
    finish_reason: str | None = None


class _Usage(msgspec.Struct, kw_only=True):
    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


class _Completion(msgspec.Struct, kw_only=True):
    id: str
    object: str
    model: str
    choices: list[_Choice]
    created: int = 0
    usage: _Usage | None = None


def _stream_chunk(
    gen: _Generation, text: str, finish_reason: str | None
) -> _Completion:
    if gen.chat:
        choice = _Choice(delta=_Message(content=text), finish_reason=finish_reason)
        kind = "chat.completion.chunk"
    else:
        choice = _Choice(text=text, finish_reason=finish_reason)
        kind = "text_completion"
    return _Completion(
        id=gen.request_id, object=kind, model=gen.model, choices=[choice]
    )


def _full_completion(gen: _Generation, text: str) -> _Completion:
    if gen.chat:
        choice = _Choice(
            message=_Message(role="assistant", content=text), finish_reason="stop"
        )
        kind = "chat.completion"
    else:
        choice = _Choice(text=text, finish_reason="stop")
        kind = "text_completion"
    prompt_tokens = count_tokens(gen.prompt)
    usage = _Usage(
        prompt_tokens=prompt_tokens,
        completion_tokens=gen.max_tokens,
        total_tokens=prompt_tokens + gen.max_tokens,
    )
    return _Completion(
        id=gen.request_id, object=kind, model=gen.model, choices=[choice], usage=usage
    )


def _json(value: object, *, status: int = 200) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(value), status=status, content_type="application/json"
    )
