"""Metrics of one entry process in the Prometheus text format.

Latencies are HDR histograms, published as quantiles of a summary. The number of
series stays bounded however many customers there are: the first
`MAX_CUSTOMER_LABELS` customers that send a request have their own label, and all
later ones share the label `OTHER_CUSTOMERS`.
"""

import time
from collections.abc import Callable, Iterator

import msgspec
from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, Counter, generate_latest
from prometheus_client.core import (
    GaugeMetricFamily,
    Metric,
    SummaryMetricFamily,
)
from prometheus_client.registry import Collector

from pimentospool.admin import Page
from pimentospool.ids import CustomerId, RegionId
from pimentospool.outcomes import RequestOutcome

METRICS_PATH = "/metrics"
MAX_CUSTOMER_LABELS = 64
OTHER_CUSTOMERS = CustomerId("other")
WINDOW_SECONDS = 60.0
QUANTILES = (0.5, 0.95, 0.99)
CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
_MAX_MICROSECONDS = 120_000_000
_DIGITS = 2
_MICROSECONDS = 1e6
_LABELS = ("customer", "region", "kind", "verdict")


class SeriesKey(msgspec.Struct, kw_only=True, frozen=True):
    """Labels of one latency series."""

    customer: str
    region: str
    kind: str
    verdict: str

    def values(self) -> list[str]:
        """Return the label values in the order of the label names."""
        return [self.customer, self.region, self.kind, self.verdict]


class LatencySeries:
    """Latencies of the current and of the previous window.

    Parameters
    ----------
    now : float
        Time of the first window's start, in seconds.
    """

    def __init__(self, *, now: float) -> None:
        self.count = 0
        self.sum_seconds = 0.0
        self._current = _new_histogram()
        self._previous = _new_histogram()
        self._started_at = now

    def record(self, seconds: float, *, now: float) -> None:
        """Add one latency."""
        self._rotate(now)
        self.count += 1
        self.sum_seconds += seconds
        value = min(_MAX_MICROSECONDS, max(1, int(seconds * _MICROSECONDS)))
        self._current.record_value(value)

    def quantiles(self, *, now: float) -> list[float]:
        """Return the published quantiles of both windows, in seconds."""
        self._rotate(now)
        merged = _new_histogram()
        merged.add(self._current)
        merged.add(self._previous)
        return [
            merged.get_value_at_percentile(share * 100) / _MICROSECONDS
            for share in QUANTILES
        ]

    def _rotate(self, now: float) -> None:
        if now - self._started_at < WINDOW_SECONDS:
            return
        expired = now - self._started_at >= 2 * WINDOW_SECONDS
        self._previous = _new_histogram() if expired else self._current
        self._current = _new_histogram()
        self._started_at = now


class LatencyCollector(Collector):
    """Latency summaries by customer, region, kind and verdict.

    Parameters
    ----------
    name : str
        Name of the metric.
    documentation : str
        Help text of the metric.
    clock : callable
        Returns the time in seconds.
    """

    def __init__(
        self, *, name: str, documentation: str, clock: Callable[[], float]
    ) -> None:
        self._name = name
        self._documentation = documentation
        self._clock = clock
        self._series: dict[SeriesKey, LatencySeries] = {}

    def record(self, key: SeriesKey, seconds: float) -> None:
        """Add one latency to the series of `key`."""
        now = self._clock()
        series = self._series.get(key)
        if series is None:
            series = self._series[key] = LatencySeries(now=now)
        series.record(seconds, now=now)

    def collect(self) -> Iterator[Metric]:
        """Yield the metric family with every series."""
        now = self._clock()
        family = SummaryMetricFamily(
            self._name, self._documentation, labels=list(_LABELS)
        )
        for key, series in self._series.items():
            labels = dict(zip(_LABELS, key.values(), strict=True))
            values = series.quantiles(now=now)
            for share, value in zip(QUANTILES, values, strict=True):
                family.add_sample(self._name, {**labels, "quantile": str(share)}, value)
            family.add_metric(key.values(), series.count, series.sum_seconds)
        yield family


class _GaugeCollector(Collector):
    def __init__(
        self, name: str, documentation: str, read: Callable[[], float]
    ) -> None:
        self._name = name
        self._documentation = documentation
        self._read = read

    def collect(self) -> Iterator[Metric]:
        yield GaugeMetricFamily(self._name, self._documentation, value=self._read())


class EntryMetrics:
    """Metrics of one entry process, in a registry of their own.

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
        self._total = self._latency(
            "pimentospool_request_seconds",
            "Time from the verified request to its end, in seconds.",
            clock,
        )
        self._first = self._latency(
            "pimentospool_first_byte_seconds",
            "Time from the verified request to the first byte of its answer.",
            clock,
        )
        self._refusals = Counter(
            "pimentospool_request_refusals",
            "Requests that ended without their answer, by reason and verdict.",
            ["reason", "verdict"],
            registry=self.registry,
        )
        self._sent_away = Counter(
            "pimentospool_requests_sent_away",
            "Requests sent to an entry VM of another region, by that region.",
            ["region"],
            registry=self.registry,
        )
        self._hops = Counter(
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
        """Count the end of a request; connect it to ``request_ended``."""
        key = SeriesKey(
            customer=self._customer_label(outcome.customer),
            region=self._region,
            kind=outcome.kind.value,
            verdict=outcome.verdict.value,
        )
        self._total.record(key, outcome.total_seconds)
        if outcome.first_seconds is not None:
            self._first.record(key, outcome.first_seconds)
        if outcome.reason is not None:
            self._refusals.labels(outcome.reason.slug, outcome.verdict.value).inc()
        if outcome.sent_to is not None:
            self._sent_away.labels(outcome.sent_to).inc()
        if outcome.hopped:
            self._hops.inc()
        self._retries.inc(max(0, outcome.attempts - 1))
        self._answer_bytes.inc(outcome.answer_bytes)

    def add_gauge(
        self, name: str, documentation: str, read: Callable[[], float]
    ) -> None:
        """Publish what `read` returns as the gauge `name`."""
        self.registry.register(_GaugeCollector(name, documentation, read))

    def render(self) -> Page:
        """Return the page for scrapers."""
        return Page(content_type=CONTENT_TYPE, body=generate_latest(self.registry))

    def _latency(
        self, name: str, documentation: str, clock: Callable[[], float]
    ) -> LatencyCollector:
        made = LatencyCollector(name=name, documentation=documentation, clock=clock)
        self.registry.register(made)
        return made

    def _customer_label(self, customer: CustomerId) -> CustomerId:
        if customer in self._customers:
            return customer
        if len(self._customers) >= MAX_CUSTOMER_LABELS:
            return OTHER_CUSTOMERS
        self._customers.add(customer)
        return customer


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(1, _MAX_MICROSECONDS, _DIGITS)


class ProcessReadings(msgspec.Struct, kw_only=True):
    """Where the gauges of an entry process read their values."""

    revision: Callable[[], int]
    revision_age_seconds: Callable[[], float]
    in_progress: Callable[[], int]
    leaving: Callable[[], bool]


def add_process_gauges(metrics: EntryMetrics, readings: ProcessReadings) -> None:
    """Publish the state of an entry process."""
    metrics.add_gauge(
        "pimentospool_revision",
        "Number of the configuration revision in force; 0 before the first.",
        readings.revision,
    )
    metrics.add_gauge(
        "pimentospool_revision_age_seconds",
        "Time since the revision in force was adopted, in seconds.",
        readings.revision_age_seconds,
    )
    metrics.add_gauge(
        "pimentospool_requests_in_progress",
        "Requests that have not ended.",
        readings.in_progress,
    )
    metrics.add_gauge(
        "pimentospool_leaving",
        "1 once the entry process takes no new requests.",
        readings.leaving,
    )
