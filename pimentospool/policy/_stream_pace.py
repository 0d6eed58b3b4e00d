"""Time between the events of streams, learned from the events that arrive.

An engine decodes all requests of its batch together and reads prompts between the
steps, so the time between two events rises with the number of running requests. One
entry VM of a large region sees few events of each target. It therefore learns the time
at a load for all targets of a route together, and for a target only the factor by which
it differs, which is 1 as long as little is known.
"""

import math
from collections.abc import Callable

import msgspec

from pimentospool.ids import TargetId
from pimentospool.policy._leaving import RouteKey

MODEL_HALF_LIFE_SECONDS = 10.0
"""Age at which events have half their weight for a route. Loads change within some
ten seconds, and the model has to hold at the present one."""
STALE_SECONDS = 5.0
"""Time without an event after which nothing is known of a route. If all its streams
were refused, only new ones can show that the engines have recovered."""
FACTOR_HALF_LIFE_SECONDS = 8.0
"""The same for the factor of a target, which becomes slow and recovers by itself. One
that gets no streams as it was slow is tried again after a few half-lives."""
MAX_FACTOR_EVENTS = 64.0
"""Limit on the weight of the events of a target. With more, the factor of one that gets
no streams would outlast its slowness by a minute."""
MIN_EVENTS = 64.0
"""Events, by their weight, below which nothing is known of a route; some two answers
have as many."""
PRIOR_EVENTS = 8.0
"""Weight of the assumption that a target is as fast as the others, in events."""
SLOPE_PRIOR = 16.0
"""Variance of the number of running requests at which the slope counts by half; without
it, events at nearly the same load would give any slope."""
MIN_MEAN_SHARE = 0.1
"""Share of the mean time below which no load is expected to bring it."""
MAX_RATIO = 8.0
"""Limit on how far one sample may lie from the expected time. A target that hangs for
seconds tells of itself; its answers end by other rules."""
WINDOW_EVENTS = 4
"""Events in one sample. Prefills delay single events by a multiple."""
MAX_WRITE_SHARE = 0.2
"""Share of a sample's time in which the caller may have kept the stream waiting."""


class _DecayingSums:
    """Weighted sums that lose half of their weight in each half-life."""

    def __init__(
        self, *, half_life_seconds: float, size: int, max_weight: float = math.inf
    ) -> None:
        self._half_life_seconds = half_life_seconds
        self._max_weight = max_weight
        self.values = [0.0] * size
        self._at = 0.0

    def share(self, now: float) -> float:
        """Return the weight that the values have kept."""
        return 0.5 ** ((now - self._at) / self._half_life_seconds)

    def age_seconds(self, now: float) -> float:
        """Return the time since the last addition."""
        return now - self._at

    def add(self, now: float, *terms: float) -> None:
        """Add to the values, of which the first is the weight."""
        weight = self.share(now) * self.values[0] + terms[0]
        share = self.share(now) * min(1.0, self._max_weight / weight)
        self.values = [
            value * share + term for value, term in zip(self.values, terms, strict=True)
        ]
        self._at = now


class PaceLine(msgspec.Struct, frozen=True):
    """Seconds between events as a line over the running requests."""

    mean_running: float
    mean_seconds: float
    slope: float

    def seconds(self, running: float) -> float:
        """Return the expected time between two events of a target like most."""
        seconds = self.mean_seconds + self.slope * (running - self.mean_running)
        return max(seconds, self.mean_seconds * MIN_MEAN_SHARE)


class StreamPaces:
    """Seconds between events by route and load, and the factor of each target.

    Parameters
    ----------
    clock : callable
        Returns monotonic time in seconds.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._routes: dict[RouteKey, _DecayingSums] = {}
        self._factors: dict[TargetId, _DecayingSums] = {}

    def record(
        self,
        key: RouteKey,
        target: TargetId,
        *,
        events: int,
        seconds: float,
        running: float,
    ) -> None:
        """Record that `events` of a stream arrived in `seconds`.

        Parameters
        ----------
        key : RouteKey
            Route of the stream.
        target : TargetId
            Target that sent it.
        events : int
            Events that arrived, without the one with which the time began.
        seconds : float
            Time in which they arrived.
        running : float
            Mean number of requests that ran at the target.
        """
        now, gap = self._clock(), max(seconds / events, 1e-6)
        line = self.line(key)
        expected = None if line is None else line.seconds(running)
        factor = self.factor(target)
        if expected is not None:
            ratio = min(MAX_RATIO, max(1 / MAX_RATIO, gap / expected))
            gap = ratio * expected
            sums = self._factors.get(target)
            if sums is None:
                sums = self._factors[target] = _DecayingSums(
                    half_life_seconds=FACTOR_HALF_LIFE_SECONDS,
                    size=2,
                    max_weight=MAX_FACTOR_EVENTS,
                )
            sums.add(now, events, events * math.log(ratio))
        route = self._routes.get(key)
        if route is None or route.age_seconds(now) > STALE_SECONDS:
            route = self._routes[key] = _DecayingSums(
                half_life_seconds=MODEL_HALF_LIFE_SECONDS, size=5
            )
        gap /= factor
        route.add(
            now,
            events,
            events * running,
            events * gap,
            events * running * running,
            events * running * gap,
        )

    def event_seconds(
        self, key: RouteKey, running: float, target: TargetId | None = None
    ) -> float | None:
        """Return the expected time between two events, None if it isn't known.

        Parameters
        ----------
        key : RouteKey
            Route of the stream.
        running : float
            Requests that run at the target, this one included.
        target : TargetId, optional
            The target; without it, one like most targets.
        """
        line = self.line(key)
        if line is None:
            return None
        return line.seconds(running) * (1.0 if target is None else self.factor(target))

    def factor(self, target: TargetId) -> float:
        """Return how much more time `target` takes than others at the same load."""
        sums = self._factors.get(target)
        if sums is None:
            return 1.0
        share = sums.share(self._clock())
        weight, total = sums.values
        return math.exp(share * total / (share * weight + PRIOR_EVENTS))

    def forget(self, target: TargetId) -> None:
        """Drop what is known of a target that was removed or has started again."""
        self._factors.pop(target, None)

    def line(self, key: RouteKey) -> PaceLine | None:
        """Return the pace of a route by load, None if too little is known."""
        sums = self._routes.get(key)
        if sums is None:
            return None
        weight, loads, gaps, squares, products = sums.values
        now = self._clock()
        if (
            sums.age_seconds(now) > STALE_SECONDS
            or weight * sums.share(now) < MIN_EVENTS
        ):
            return None
        mean_load, mean_gap = loads / weight, gaps / weight
        variance = max(0.0, squares / weight - mean_load**2)
        covariance = products / weight - mean_load * mean_gap
        # The time doesn't fall with the load, and rises at most in proportion to it.
        steepest = mean_gap / max(mean_load, 1.0)
        slope = min(steepest, max(0.0, covariance / (variance + SLOPE_PRIOR)))
        return PaceLine(mean_load, mean_gap, slope)


class StreamObserver:
    """Learns the pace of a target from one stream of it.

    Parameters
    ----------
    paces : StreamPaces
        What is learned.
    key : RouteKey
        Route of the stream.
    target : TargetId
        Target that sends the stream.
    running : callable
        Returns the number of requests that run at the target.
    clock : callable
        Returns monotonic time in seconds.
    """

    def __init__(
        self,
        *,
        paces: StreamPaces,
        key: RouteKey,
        target: TargetId,
        running: Callable[[], int],
        clock: Callable[[], float],
    ) -> None:
        self._paces = paces
        self._key = key
        self._target = target
        self._running = running
        self._clock = clock
        self._began_at: float | None = None
        self._events = 0
        self._load = 0
        self._write_seconds = 0.0

    def record(self, events: int, write_seconds: float) -> None:
        """Record the events that have arrived so far.

        Parameters
        ----------
        events : int
            Number of events of the stream so far.
        write_seconds : float
            Time in which the caller has kept the stream waiting so far.
        """
        if self._began_at is not None and events - self._events < WINDOW_EVENTS:
            return
        now, load = self._clock(), self._running()
        if self._began_at is not None:
            seconds = now - self._began_at
            if write_seconds - self._write_seconds <= MAX_WRITE_SHARE * seconds:
                self._paces.record(
                    self._key,
                    self._target,
                    events=events - self._events,
                    seconds=seconds,
                    running=(load + self._load) / 2,
                )
        self._began_at, self._events, self._load = now, events, load
        self._write_seconds = write_seconds
