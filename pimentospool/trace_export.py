"""Export of OpenTelemetry spans on the process's event loop.

The SDK's batch processor and OTLP exporter use a thread and blocking requests. This
module uses the SDK's spans, sampler and encoding, but sends with aiohttp.
"""

import asyncio
from collections import deque
from collections.abc import Sequence
from pathlib import Path

import aiohttp
from opentelemetry import trace
from opentelemetry.exporter.otlp.proto.common.trace_encoder import encode_spans
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, SpanProcessor, TracerProvider
from opentelemetry.sdk.trace.sampling import ParentBased, TraceIdRatioBased
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

from pimentospool._generated.settings import EntrySettings, TraceSettings
from pimentospool.log import Event, log_event
from pimentospool.sending import open_session
from pimentospool.traces import TRACEPARENT_HEADER, Span, SpanAttribute, SpanName

MAX_QUEUED_SPANS = 4096
_FLUSH_INTERVAL_SECONDS = 1.0
_SEND_TIMEOUT_SECONDS = 5.0
_HEADERS = {"Content-Type": "application/x-protobuf"}
_PROPAGATOR = TraceContextTextMapPropagator()


class _SdkSpan:
    """A span of the OpenTelemetry SDK."""

    def __init__(self, *, span: trace.Span) -> None:
        self._span = span

    @property
    def traceparent(self) -> str:
        carrier: dict[str, str] = {}
        _PROPAGATOR.inject(carrier, trace.set_span_in_context(self._span))
        return carrier.get(TRACEPARENT_HEADER, "")

    def set(self, attribute: SpanAttribute, value: str | int | bool) -> None:
        self._span.set_attribute(attribute.value, value)

    def end(self) -> None:
        self._span.end()


class _SpanQueue(SpanProcessor):
    """Queue of ended spans to be exported; when full, it drops the oldest."""

    def __init__(self) -> None:
        self.queued: deque[ReadableSpan] = deque(maxlen=MAX_QUEUED_SPANS)

    def on_end(self, span: ReadableSpan) -> None:
        if span.context is not None and span.context.trace_flags.sampled:
            self.queued.append(span)

    def take_all(self) -> list[ReadableSpan]:
        """Return the queued spans and empty the queue."""
        spans = list(self.queued)
        self.queued.clear()
        return spans


class ExportingTracer:
    """Tracer that exports spans to a file, to an OTLP collector, or to both.

    Parameters
    ----------
    cfg : TraceSettings
        Destinations of the spans, and the share of traces that is sampled.
    entry : EntrySettings
        Identity of the entry process, an attribute of every span.
    """

    def __init__(self, *, cfg: TraceSettings, entry: EntrySettings) -> None:
        self._cfg = cfg
        self._queue = _SpanQueue()
        provider = TracerProvider(
            sampler=ParentBased(TraceIdRatioBased(cfg.sample_ratio)),
            resource=Resource(
                {
                    "service.name": "pimentospool",
                    "service.instance.id": entry.id,
                    "pimentospool.region": entry.region,
                    "pimentospool.zone": entry.zone,
                }
            ),
            shutdown_on_exit=False,
        )
        provider.add_span_processor(self._queue)
        self._tracer = provider.get_tracer("pimentospool")

    def begin(self, name: SpanName, *, parent: str) -> Span:
        """Start a child span of the ``traceparent`` header `parent`."""
        ctx = _PROPAGATOR.extract({TRACEPARENT_HEADER: parent}) if parent else None
        return _SdkSpan(span=self._tracer.start_span(name.value, ctx))

    async def run(self) -> None:
        """Export ended spans until cancelled."""
        while True:
            await asyncio.sleep(_FLUSH_INTERVAL_SECONDS)
            await self.flush()

    async def flush(self) -> None:
        """Export the ended spans; those that cannot be delivered are dropped."""
        spans = self._queue.take_all()
        if not spans:
            return
        try:
            if self._cfg.file:
                self._write(spans)
            if self._cfg.otlp_endpoint:
                await self._send(spans)
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            log_event(Event.TRACES_LOST, spans=len(spans), error=repr(exc))

    def _write(self, spans: Sequence[ReadableSpan]) -> None:
        with Path(self._cfg.file).open("a") as file:
            file.writelines(f"{span.to_json(indent=None)}\n" for span in spans)

    async def _send(self, spans: Sequence[ReadableSpan]) -> None:
        timeout = aiohttp.ClientTimeout(total=_SEND_TIMEOUT_SECONDS)
        data = encode_spans(spans).SerializeToString()
        async with (
            open_session(timeout=timeout, headers=_HEADERS) as session,
            session.post(self._cfg.otlp_endpoint, data=data) as resp,
        ):
            resp.raise_for_status()
