"""Metrics of one entry process in the Prometheus text format.

Latencies are recorded in HDR histograms and published as the quantiles of a summary.
The number of series is bounded for any number of customers: the first
`MAX_CUSTOMER_LABELS` customers that send a request get a label value each, and all
others share the label value `OTHER_CUSTOMERS`.
"""

import time
from collections.abc import Callable

import msgspec
from prometheus_client import CollectorRegistry, Counter, generate_latest

from pimentospool.admin import Page
from pimentospool.ids import CustomerId, RegionId
from pimentospool.latencies import CONTENT_TYPE, GaugeCollector, LatencyCollector
from pimentospool.outcomes import RequestOutcome

METRICS_PATH = "/metrics"
MAX_CUSTOMER_LABELS = 64
OTHER_CUSTOMERS = CustomerId("other")
_LABELS = ("customer", "region", "kind", "verdict")


class EntryMetrics:
    """Metrics of one entry process, in a separate registry.

    Parameters
    ----------
    region : RegionId
        Region of the entry VM.
    clock : callable
        Returns the time in seconds; only differences are used.
    """

    def __init__(
        self, *, region: RegionId, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self.registry = CollectorRegistry()
        self._region = region
        self._customers: set[CustomerId] = set()
        self._request_latency = self._add_latency(
            "pimentospool_request_seconds",
            "Time from the verified request to its end, in seconds.",
            clock,
        )
        self._first_byte_latency = self._add_latency(
            "pimentospool_first_byte_seconds",
            "Time from the verified request to the first byte of its answer.",
            clock,
        )
        self._failures = Counter(
            "pimentospool_request_refusals",
            "Requests that ended without their answer, by reason and verdict.",
            ["reason", "verdict"],
            registry=self.registry,
        )
        self._sent_to_regions = Counter(
            "pimentospool_requests_sent_away",
            "Requests sent to an entry VM of another region, by that region.",
            ["region"],
            registry=self.registry,
        )
        self._hops_received = Counter(
            "pimentospool_hops_received",
            "Requests received from entry VMs of other regions.",
            registry=self.registry,
        )
        self._retries = Counter(
            "pimentospool_request_retries",
            "Attempts after a request's first one.",
            registry=self.registry,
        )
        self._answer_bytes = Counter(
            "pimentospool_answer_bytes",
            "Bytes of answers sent to callers and to hops.",
            registry=self.registry,
        )

    def record(self, outcome: RequestOutcome) -> None:
        """Record the outcome of a request; connect it to ``request_ended``."""
        key = (
            self._customer_label(outcome.customer),
            self._region,
            outcome.kind.value,
            outcome.verdict.value,
        )
        self._request_latency.record(key, outcome.total_seconds)
        if outcome.first_byte_seconds is not None:
            self._first_byte_latency.record(key, outcome.first_byte_seconds)
        if outcome.reason is not None:
            self._failures.labels(outcome.reason.slug, outcome.verdict.value).inc()
        if outcome.sent_to_region is not None:
            self._sent_to_regions.labels(outcome.sent_to_region).inc()
        if outcome.is_hop:
            self._hops_received.inc()
        self._retries.inc(max(0, outcome.attempts - 1))
        self._answer_bytes.inc(outcome.answer_bytes)

    def add_gauge(
        self, name: str, documentation: str, read: Callable[[], float]
    ) -> None:
        """Publish the value that `read` returns as the gauge `name`."""
        self.registry.register(
            GaugeCollector(name=name, documentation=documentation, read=read)
        )

    def render(self) -> Page:
        """Return the page in the Prometheus text format."""
        return Page(content_type=CONTENT_TYPE, body=generate_latest(self.registry))

    def _add_latency(
        self, name: str, documentation: str, clock: Callable[[], float]
    ) -> LatencyCollector:
        collector = LatencyCollector(
            name=name, documentation=documentation, labels=_LABELS, clock=clock
        )
        self.registry.register(collector)
        return collector

    def _customer_label(self, customer: CustomerId) -> CustomerId:
        if customer in self._customers:
            return customer
        if len(self._customers) >= MAX_CUSTOMER_LABELS:
            return OTHER_CUSTOMERS
        self._customers.add(customer)
        return customer


class ProcessGaugeReaders(msgspec.Struct, kw_only=True):
    """Callables that return the values of an entry process's gauges."""

    revision: Callable[[], int]
    revision_age_seconds: Callable[[], float]
    in_progress: Callable[[], int]
    leaving: Callable[[], bool]


def add_process_gauges(metrics: EntryMetrics, readers: ProcessGaugeReaders) -> None:
    """Publish the gauges of an entry process."""
    metrics.add_gauge(
        "pimentospool_revision",
        "Number of the configuration revision in force; 0 before the first.",
        readers.revision,
    )
    metrics.add_gauge(
        "pimentospool_revision_age_seconds",
        "Time since the revision in force was adopted, in seconds.",
        readers.revision_age_seconds,
    )
    metrics.add_gauge(
        "pimentospool_requests_in_progress",
        "Requests that have not ended.",
        readers.in_progress,
    )
    metrics.add_gauge(
        "pimentospool_leaving",
        "1 once the entry process takes no new requests.",
        readers.leaving,
    )
