"""Expected end of a stream, and the cost of room that other requests may need."""

from collections.abc import Callable, Iterable

import msgspec

from pimentospool.ids import TargetId
from pimentospool.policy._leaving import RouteKey
from pimentospool.policy._stream_lengths import (
    LengthEstimate,
    StatedLength,
    StreamLengths,
)
from pimentospool.policy._stream_pace import PaceLine, StreamObserver, StreamPaces

RESERVED_FROM_SHARE = 0.6
"""Share of a target's slots above which work that may run in other regions pays for
taking room. Below, a burst of half as much again still finds free slots."""
RESERVE_COST_SECONDS = 0.5
"""Cost of the last free slot to work that may run elsewhere. Work that may not waits or
is refused if it finds none; half a second is the objective of a short stream."""


class StreamPlan(msgspec.Struct, kw_only=True, frozen=True):
    """What is expected of one stream, wherever it goes."""

    pace: PaceLine
    length: LengthEstimate
    """Events that it still has to send."""


class StreamExpectations:
    """What streams take, learned from those that this entry VM relays.

    Parameters
    ----------
    clock : callable
        Returns monotonic time in seconds.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self.paces = StreamPaces(clock=clock)
        self.lengths = StreamLengths(clock=clock)

    def plan(
        self, key: RouteKey, stated: StatedLength, *, sent: int
    ) -> StreamPlan | None:
        """Return what is expected of a stream, None if too little is known.

        Parameters
        ----------
        key : RouteKey
            Route of the stream.
        stated : StatedLength
            What the request states about its length.
        sent : int
            Events that the caller has already.
        """
        pace = self.paces.line(key)
        length = self.lengths.estimate(key, stated, sent=sent)
        if pace is None or length is None:
            return None
        return StreamPlan(pace=pace, length=length)

    def rest_seconds(
        self, plan: StreamPlan, *, running: float, target: TargetId | None = None
    ) -> float:
        """Return the expected time from the first event to the end.

        Parameters
        ----------
        plan : StreamPlan
            The stream.
        running : float
            Requests that run at the target, this one included.
        target : TargetId, optional
            The target; without it, one like most targets.
        """
        factor = 1.0 if target is None else self.paces.factor(target)
        return plan.length.median * plan.pace.seconds(running) * factor

    def observe(
        self, key: RouteKey, target: TargetId, *, running: Callable[[], int]
    ) -> StreamObserver:
        """Return what learns from a stream of `target`."""
        return StreamObserver(
            paces=self.paces,
            key=key,
            target=target,
            running=running,
            clock=self._clock,
        )


def reserve_seconds(slot_utilisation: float) -> float:
    """Return the cost of taking a slot that work bound to a region may need.

    Parameters
    ----------
    slot_utilisation : float
        Share of the slots in use, from 0 to 1.
    """
    excess = max(0.0, slot_utilisation - RESERVED_FROM_SHARE)
    return RESERVE_COST_SECONDS * excess / (1.0 - RESERVED_FROM_SHARE)


def is_narrower(
    other: frozenset[str], own: frozenset[str], *, regions: Iterable[str]
) -> bool:
    """Whether work that may run in `other` may run in fewer regions than `own`.

    Parameters
    ----------
    other, own : frozenset of str
        Allowed regions; empty if all are.
    regions : iterable of str
        All regions.
    """
    everywhere = frozenset(regions)
    return (other or everywhere) < (own or everywhere)


def drain_seconds(
    *, excess_seconds: float, rest_seconds: float, hold_seconds: float
) -> float:
    """Return the time until enough requests have ended for a stream to end in time.

    The time between events falls at most in proportion to the running requests, all of
    which end within `hold_seconds` on average.

    Parameters
    ----------
    excess_seconds : float
        Time by which the stream would end too late.
    rest_seconds : float
        Time from its first event to its end at the present load.
    hold_seconds : float
        Mean time for which a request runs.
    """
    if rest_seconds <= 0:
        return 0.0
    return hold_seconds * min(1.0, max(0.0, excess_seconds) / rest_seconds)
