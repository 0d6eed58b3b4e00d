"""Tells operators which connections were ended at a limit: a metric and log lines."""

import asyncio
from collections import Counter
from collections.abc import Iterator, Mapping, Sized
from enum import Enum

import prometheus_client
from prometheus_client import CollectorRegistry
from prometheus_client.core import GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from pimentospool.gateway import Listener
from pimentospool.log import Event, log_event

REPORT_INTERVAL_SECONDS = 1.0
"""Least time between two log lines on the same listener and reason."""


class EndReason(Enum):
    """Limit at which a connection was ended."""

    REPLACED = "idle or held up, and replaced by a new one"
    REFUSED = "no room for it"
    SLOW = "its answer is taken too slowly"
    SENT_ON = "it sent on after it was refused"


class OpenConnectionsCollector(Collector):
    """Publishes how many connections each listener has.

    Parameters
    ----------
    connections : mapping
        The connections of each listener.
    """

    def __init__(self, connections: Mapping[Listener, Sized]) -> None:
        self._connections = connections

    def collect(self) -> Iterator[Metric]:
        """Yield the metric family."""
        family = GaugeMetricFamily(
            "pimentospool_connections",
            "Connections that a listener has accepted and that are open.",
            labels=["listener"],
        )
        for listener, connections in self._connections.items():
            family.add_metric([listener.value], len(connections))
        yield family


class ConnectionReport:
    """Counts ended connections, and logs each listener and reason once a second.

    Parameters
    ----------
    registry : CollectorRegistry
        Where the counter is published.
    """

    def __init__(self, *, registry: CollectorRegistry) -> None:
        self._counter = prometheus_client.Counter(
            "pimentospool_connections_ended",
            "Connections of callers and others that were ended at a limit.",
            ["listener", "reason"],
            registry=registry,
        )
        self._unreported: Counter[tuple[Listener, EndReason]] = Counter()
        self._reported: set[tuple[Listener, EndReason]] = set()
        """Those with a line in the current interval."""
        self._last_caller: dict[tuple[Listener, EndReason], str] = {}

    def record(self, listener: Listener, reason: EndReason, caller: str) -> None:
        """Count a connection of `caller` that was ended."""
        self._counter.labels(listener.value, reason.name.lower()).inc()
        key = listener, reason
        self._unreported[key] += 1
        self._last_caller[key] = caller
        if key not in self._reported:
            self._report(key)

    def _report(self, key: tuple[Listener, EndReason]) -> None:
        """Log what has been counted, and the next time after an interval."""
        self._reported.discard(key)
        count = self._unreported.pop(key, 0)
        if not count:
            return
        listener, reason = key
        log_event(
            Event.CONNECTIONS_ENDED,
            listener=listener.value,
            reason=reason.name.lower(),
            detail=reason.value,
            connections=count,
            last_caller=self._last_caller.pop(key),
        )
        self._reported.add(key)
        loop = asyncio.get_running_loop()
        loop.call_later(REPORT_INTERVAL_SECONDS, self._report, key)
