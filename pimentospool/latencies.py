"""Prometheus collectors: latency summaries from HDR histograms, and gauges."""

from collections.abc import Callable, Iterator

from hdrh.histogram import HdrHistogram
from prometheus_client.core import (
    GaugeMetricFamily,
    Metric,
    SummaryMetricFamily,
)
from prometheus_client.registry import Collector

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
WINDOW_SECONDS = 60.0
QUANTILES = (0.5, 0.95, 0.99)
_MAX_MICROSECONDS = 120_000_000
_SIGNIFICANT_DIGITS = 2
_MICROSECONDS_PER_SECOND = 1e6


class LatencySeries:
    """Histograms of the latencies in the current and in the previous window.

    Parameters
    ----------
    now : float
        Start of the first window, in seconds.
    """

    def __init__(self, *, now: float) -> None:
        self.count = 0
        self.sum_seconds = 0.0
        self._current = _new_histogram()
        self._previous = _new_histogram()
        self._window_started_at = now

    def record(self, seconds: float, *, now: float) -> None:
        """Add one latency."""
        self._rotate(now)
        self.count += 1
        self.sum_seconds += seconds
        value = min(_MAX_MICROSECONDS, max(1, int(seconds * _MICROSECONDS_PER_SECOND)))
        self._current.record_value(value)

    def quantiles(self, *, now: float) -> list[float]:
        """Return the published quantiles of both windows, in seconds."""
        self._rotate(now)
        merged = _new_histogram()
        merged.add(self._current)
        merged.add(self._previous)
        return [
            merged.get_value_at_percentile(quantile * 100) / _MICROSECONDS_PER_SECOND
            for quantile in QUANTILES
        ]

    def _rotate(self, now: float) -> None:
        if now - self._window_started_at < WINDOW_SECONDS:
            return
        both_expired = now - self._window_started_at >= 2 * WINDOW_SECONDS
        self._previous = _new_histogram() if both_expired else self._current
        self._current = _new_histogram()
        self._window_started_at = now


class LatencyCollector(Collector):
    """A summary of latencies for each combination of label values.

    Parameters
    ----------
    name : str
        Name of the metric.
    documentation : str
        Help text of the metric.
    labels : tuple of str
        Names of the labels.
    clock : callable
        Returns the time in seconds.
    """

    def __init__(
        self,
        *,
        name: str,
        documentation: str,
        labels: tuple[str, ...],
        clock: Callable[[], float],
    ) -> None:
        self._name = name
        self._documentation = documentation
        self._labels = labels
        self._clock = clock
        self._series: dict[tuple[str, ...], LatencySeries] = {}

    def record(self, key: tuple[str, ...], seconds: float) -> None:
        """Add one latency to the series whose labels have the values of `key`."""
        now = self._clock()
        series = self._series.get(key)
        if series is None:
            series = self._series[key] = LatencySeries(now=now)
        series.record(seconds, now=now)

    def collect(self) -> Iterator[Metric]:
        """Yield the metric family with all series."""
        now = self._clock()
        family = SummaryMetricFamily(
            self._name, self._documentation, labels=list(self._labels)
        )
        for key, series in self._series.items():
            labels = dict(zip(self._labels, key, strict=True))
            values = series.quantiles(now=now)
            for quantile, value in zip(QUANTILES, values, strict=True):
                family.add_sample(
                    self._name, {**labels, "quantile": str(quantile)}, value
                )
            family.add_metric(list(key), series.count, series.sum_seconds)
        yield family


class GaugeCollector(Collector):
    """A gauge whose value is read at each scrape.

    Parameters
    ----------
    name : str
        Name of the metric.
    documentation : str
        Help text of the metric.
    read : callable
        Returns the value.
    """

    def __init__(
        self, *, name: str, documentation: str, read: Callable[[], float]
    ) -> None:
        self._name = name
        self._documentation = documentation
        self._read = read

    def collect(self) -> Iterator[Metric]:
        """Yield the metric family."""
        yield GaugeMetricFamily(self._name, self._documentation, value=self._read())


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(1, _MAX_MICROSECONDS, _SIGNIFICANT_DIGITS)
