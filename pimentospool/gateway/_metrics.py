"""Metrics of a gateway process."""

import time
from collections.abc import Callable

from prometheus_client import CollectorRegistry, Counter, generate_latest

from pimentospool.gateway._outcomes import RoutedOutcome
from pimentospool.gateway._replies import RefusalReason
from pimentospool.latencies import GaugeCollector, LatencyCollector


class GatewayMetrics:
    """Metrics of one process, in a separate registry.

    Parameters
    ----------
    clock : callable
        Returns the time in seconds; only differences are used.
    """

    def __init__(self, *, clock: Callable[[], float] = time.monotonic) -> None:
        self.registry = CollectorRegistry()
        self._requests = Counter(
            "pimentospool_routed_requests",
            "Requests that ended, by kind of route, result and verdict.",
            ["kind", "result", "verdict"],
            registry=self.registry,
        )
        self._attempts = Counter(
            "pimentospool_routed_attempts",
            "Attempts at targets and at other regions, by kind of route.",
            ["kind"],
            registry=self.registry,
        )
        self._hops = Counter(
            "pimentospool_routed_hops_received",
            "Requests that entry VMs of other regions passed on.",
            registry=self.registry,
        )
        self._refusals = Counter(
            "pimentospool_unplaced_requests",
            "Requests refused before a destination was chosen, by reason.",
            ["reason"],
            registry=self.registry,
        )
        self._request_seconds = LatencyCollector(
            name="pimentospool_routed_request_seconds",
            documentation="Time from a request's arrival to its end.",
            labels=("kind", "result"),
            clock=clock,
        )
        self._first_event_seconds = LatencyCollector(
            name="pimentospool_routed_first_event_seconds",
            documentation="Time from a request's arrival to its stream's first event.",
            labels=("kind",),
            clock=clock,
        )
        self.registry.register(self._request_seconds)
        self.registry.register(self._first_event_seconds)

    def record(self, outcome: RoutedOutcome) -> None:
        """Count a request that has ended."""
        result, verdict = outcome.result.value, outcome.verdict.value
        self._requests.labels(outcome.kind, result, verdict).inc()
        self._attempts.labels(outcome.kind).inc(outcome.attempts)
        if outcome.is_hop:
            self._hops.inc()
        self._request_seconds.record((outcome.kind, result), outcome.seconds)
        if outcome.first_byte_seconds is not None:
            self._first_event_seconds.record(
                (outcome.kind,), outcome.first_byte_seconds
            )

    def record_refusal(self, reason: RefusalReason) -> None:
        """Count a request that was refused before a destination was chosen."""
        self._refusals.labels(reason.name.lower()).inc()

    def add_gauge(
        self, name: str, documentation: str, read: Callable[[], float]
    ) -> None:
        """Publish what `read` returns as the gauge `name`."""
        self.registry.register(
            GaugeCollector(name=name, documentation=documentation, read=read)
        )

    def render(self) -> bytes:
        """Return the metrics in the text format of Prometheus."""
        return generate_latest(self.registry)
