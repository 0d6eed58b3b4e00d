"""What an entry VM that is leaving may still begin.

It answers the load of a planned stop: requests on kept connections go on to arrive, and
the process ends whatever is still at work at the end of its grace.
"""

import math
from collections import OrderedDict, deque
from collections.abc import Callable, Collection

import msgspec

from pimentospool.ids import ServiceId

INITIAL_STREAM_SECONDS = 3.0
"""Assumed time of a stream before one of its service has ended. A longer one would have
all of them refused from the start of a grace of 4 s, short ones too."""
INITIAL_WHOLE_SECONDS = 2.5
"""The same for a request that is answered as a whole; nine of ten took less."""
LENGTH_QUANTILE = 0.75
"""Share of the latest requests that took no longer than is expected of the next.
A refused request is begun elsewhere at once, one that is cut was in vain."""
MARGIN_FACTOR = 1.1
"""Multiple of the expected time that must be left, as loads rise in a planned stop."""
SAMPLES = 32
"""Times that are kept of a route."""
MAX_ROUTES = 512
"""Routes whose times are kept; each configuration may name other ones."""


class RouteKey(msgspec.Struct, frozen=True):
    """The requests whose times are compared."""

    service: ServiceId
    route: str
    is_stream: bool


class RunningRequest:
    """A request in progress."""

    def __init__(self, *, key: RouteKey, begun_at: float) -> None:
        self.key = key
        self.begun_at = begun_at


class RouteTimes:
    """Times that the latest requests of each route took, from their routing on.

    Parameters
    ----------
    clock : callable
        Returns a monotonic time in seconds.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._ended: OrderedDict[RouteKey, deque[float]] = OrderedDict()
        """The route that was used last is at the end."""
        self._running: set[RunningRequest] = set()

    def begin(self, key: RouteKey) -> RunningRequest:
        """Return a new request in progress, which has to be ended."""
        running = RunningRequest(key=key, begun_at=self._clock())
        self._running.add(running)
        return running

    def end(self, running: RunningRequest, *, whole: bool) -> None:
        """End a request; its time counts if the caller got a `whole` answer."""
        self._running.discard(running)
        if not whole:
            return
        times = self._ended.setdefault(running.key, deque(maxlen=SAMPLES))
        times.append(self._clock() - running.begun_at)
        self._ended.move_to_end(running.key)
        if len(self._ended) > MAX_ROUTES:
            self._ended.popitem(last=False)

    def expected_seconds(self, key: RouteKey) -> float:
        """Return the time that the next request is expected to take.

        Before one of the route has ended, those of other routes to the service tell,
        of the same kind if there are any, and the ages of those in progress. Later
        these tell too little: most in progress at any time are long ones.
        """
        times = self._ended.get(key)
        if times:
            return _quantile(times)
        known = (
            self._service_times(key.service, is_stream=key.is_stream)
            or self._service_times(key.service, is_stream=not key.is_stream)
            or [INITIAL_STREAM_SECONDS if key.is_stream else INITIAL_WHOLE_SECONDS]
        )
        expected_seconds = _quantile(known)
        now = self._clock()
        ages = [now - item.begun_at for item in self._running if item.key == key]
        return _quantile(known + [age for age in ages if age > expected_seconds])

    def _service_times(self, service: ServiceId, *, is_stream: bool) -> list[float]:
        return [
            seconds
            for key, times in self._ended.items()
            if key.service == service and key.is_stream == is_stream
            for seconds in times
        ]


def ends_in_time(*, expected_seconds: float, left_seconds: float) -> bool:
    """Return whether a request will have ended before the process.

    Parameters
    ----------
    expected_seconds : float
        Time that the request is expected to take from now on.
    left_seconds : float
        Time until the process aborts its requests, infinite unless it is leaving.
    """
    return expected_seconds * MARGIN_FACTOR <= left_seconds


def _quantile(times: Collection[float]) -> float:
    return sorted(times)[math.ceil(LENGTH_QUANTILE * len(times)) - 1]
