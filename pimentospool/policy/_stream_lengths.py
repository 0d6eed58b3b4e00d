"""Number of events that a stream will have, learned from the answers of its route.

A caller may state an estimate of the output tokens, which is right at the median and
often far off, and a limit on them. How much either tells, and how many tokens an event
has, differs by route; both are learned.
"""

import math
from collections import OrderedDict, deque
from collections.abc import Callable
from statistics import fmean, median

import msgspec

from pimentospool.policy._leaving import MAX_ROUTES, RouteKey

SAMPLES = 96
"""Answers that are kept of a route."""
MAX_AGE_SECONDS = 300.0
"""Age above which an answer says nothing, as clients change what they ask."""
MIN_SAMPLES = 12
"""Answers below which nothing is known of a route."""
HIGH_QUANTILE = 0.9
REFIT_ANSWERS = 4
"""Answers after which the estimate is fitted again, as that takes a pass over all."""


class StatedLength(msgspec.Struct, frozen=True):
    """What a request states about its output, in tokens; 0 for what it doesn't."""

    hint: int = 0
    max_output: int = 0


class LengthEstimate(msgspec.Struct, frozen=True):
    """Events that a stream still has to send."""

    median: float
    high: float
    """Number that nine of ten such streams don't exceed."""


class _Answer(msgspec.Struct, frozen=True):
    ended_at: float
    log_events: float
    stated: StatedLength


class _Fit(msgspec.Struct, frozen=True):
    """Logarithm of the events as a linear function of that of a stated number."""

    offset: float
    slope: float
    residuals: tuple[float, ...]
    """Sorted differences of the answers from the estimate."""
    highest: float
    """Highest logarithm of the stated number that was seen. Beyond it the line is not
    known to hold, and streams that are refused can't show that it doesn't."""

    def log_events(self, stated: int) -> float:
        if not self.slope:
            return self.offset
        return self.offset + self.slope * min(math.log(stated), self.highest)


class _Route:
    def __init__(self) -> None:
        self.answers: deque[_Answer] = deque(maxlen=SAMPLES)
        self.new_answers = REFIT_ANSWERS
        self.fits: dict[str, _Fit] = {}


class StreamLengths:
    """Numbers of events in the latest answers of each route.

    Parameters
    ----------
    clock : callable
        Returns monotonic time in seconds.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._routes: OrderedDict[RouteKey, _Route] = OrderedDict()
        """The route that was used last is at the end."""

    def record(
        self, key: RouteKey, events: int, stated: StatedLength, *, whole: bool = True
    ) -> None:
        """Record the length of an answer.

        Parameters
        ----------
        key : RouteKey
            Route of the stream.
        events : int
            Events from the beginning of the stream.
        stated : StatedLength
            What the request stated.
        whole : bool
            Whether the answer was whole. One that was cut counts if it was already
            longer than expected; long answers would be missed otherwise.
        """
        if events < 1:
            return
        if not whole:
            estimate = self.estimate(key, stated)
            if estimate is None or events <= estimate.median:
                return
        route = self._routes.setdefault(key, _Route())
        self._routes.move_to_end(key)
        if len(self._routes) > MAX_ROUTES:
            self._routes.popitem(last=False)
        route.answers.append(_Answer(self._clock(), math.log(events), stated))
        route.new_answers += 1

    def estimate(
        self, key: RouteKey, stated: StatedLength, *, sent: int = 0
    ) -> LengthEstimate | None:
        """Return what a stream has still to send, None if too little is known.

        Parameters
        ----------
        key : RouteKey
            Route of the stream.
        stated : StatedLength
            What the request states.
        sent : int
            Events that the caller has already.
        """
        route = self._routes.get(key)
        if route is None:
            return None
        oldest = self._clock() - MAX_AGE_SECONDS
        while route.answers and route.answers[0].ended_at < oldest:
            route.answers.popleft()
            route.new_answers = REFIT_ANSWERS
        if len(route.answers) < MIN_SAMPLES:
            return None
        if route.new_answers >= REFIT_ANSWERS:
            route.fits, route.new_answers = _make_fits(route.answers), 0
        usable = [
            (fit, value)
            for name, fit in route.fits.items()
            if (value := getattr(stated, name, 1))
        ]
        fit, value = min(usable, key=lambda item: _spread(item[0]))
        center = fit.log_events(value)
        lengths = [math.exp(center + residual) for residual in fit.residuals]
        if stated.max_output:
            # Each event has a token at least.
            lengths = [min(length, stated.max_output) for length in lengths]
        rest = [length - sent for length in lengths if length > sent]
        if not rest:
            return LengthEstimate(1.0, 1.0)
        return LengthEstimate(
            median(rest), rest[math.ceil(HIGH_QUANTILE * len(rest)) - 1]
        )


def _make_fits(answers: deque[_Answer]) -> dict[str, _Fit]:
    """Return the estimate without a stated number, and by each one stated often."""
    fits = {"": _make_fit([(0.0, item.log_events) for item in answers])}
    for name in StatedLength.__struct_fields__:
        points = [
            (math.log(value), item.log_events)
            for item in answers
            if (value := getattr(item.stated, name))
        ]
        if len(points) >= MIN_SAMPLES:
            fits[name] = _make_fit(points)
    return fits


def _make_fit(points: list[tuple[float, float]]) -> _Fit:
    mean_x = fmean(x for x, _ in points)
    variance = fmean((x - mean_x) ** 2 for x, _ in points)
    covariance = fmean((x - mean_x) * y for x, y in points)
    # Twice the stated number never means more than twice the events, or fewer.
    slope = min(1.0, max(0.0, covariance / variance)) if variance > 1e-9 else 0.0
    offset = median(y - slope * x for x, y in points)
    residuals = sorted(y - slope * x - offset for x, y in points)
    return _Fit(offset, slope, tuple(residuals), max(x for x, _ in points))


def _spread(fit: _Fit) -> float:
    return fmean(abs(residual) for residual in fit.residuals)
