"""Requests in flight, and what routing learns from their course."""

from collections.abc import Callable
from itertools import count

from pimentospool.policy._pools import TargetState
from pimentospool.policy._prefixes import PrefixIndex
from pimentospool.policy._routes import RouteQuery
from pimentospool.policy._scoring import region_holder
from pimentospool.policy._summaries import RegionState
from pimentospool.policy._work import Flight

_ids = count()


class TargetFlight:
    """A request at a target of the own region.

    Parameters
    ----------
    state : TargetState
        The target.
    query : RouteQuery
        The request.
    hit_tokens : float
        Prompt tokens that the target is expected to have cached.
    short : bool
        Whether the request goes before long ones.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(
        self,
        *,
        state: TargetState,
        query: RouteQuery,
        hit_tokens: float,
        short: bool,
        clock: Callable[[], float],
    ) -> None:
        self._state = state
        self._clock = clock
        self._id = next(_ids)
        self._open = True
        self._answered = False
        self._flight = Flight(
            started_at=clock(),
            short=short,
            prompt_tokens=query.prompt_tokens,
            prefill_tokens=max(0.0, query.prompt_tokens - hit_tokens),
        )
        state.health.started(self._flight.started_at)
        state.work.start(self._id, self._flight)

    def first_token(self) -> None:
        """Count the first byte of the answer."""
        if self._answered or not self._open:
            return
        self._answered = True
        now = self._clock()
        state = self._state
        state.work.first_token(self._id, now)
        state.health.succeeded(now)
        if self._flight.prefill_tokens:
            rate = state.target.prefill_tokens_per_second
            state.limit.record_first_token(
                first_seconds=now - self._flight.started_at,
                prefill_seconds=self._flight.prefill_tokens / rate,
                in_flight=state.work.own,
            )

    def failed(self) -> None:
        """Count the attempt as failed by the target."""
        if self._open:
            self._state.health.failed(self._clock())
            self._state.limit.record_failure()
            self._end()

    def finish(self) -> None:
        """Count the request as ended; nothing happens after a failure."""
        if self._open:
            if not self._answered:
                self._state.health.ended()
            self._end()

    def _end(self) -> None:
        self._open = False
        self._state.work.finish(self._id, self._clock())


class RegionFlight:
    """A request sent to another region.

    Parameters
    ----------
    state : RegionState
        The other region.
    query : RouteQuery
        The request.
    prefixes : PrefixIndex
        Learns that the region has seen the prompt.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(
        self,
        *,
        state: RegionState,
        query: RouteQuery,
        prefixes: PrefixIndex,
        clock: Callable[[], float],
    ) -> None:
        self._state = state
        self._clock = clock
        self._query = query
        self._prefixes = prefixes
        self._open = True
        self._answered = False
        now = clock()
        state.health.started(now)
        state.started(query.prompt_tokens, now)

    def first_token(self) -> None:
        """Count the first byte of the answer."""
        if self._answered or not self._open:
            return
        self._answered = True
        now = self._clock()
        self._state.health.succeeded(now)
        holder = region_holder(self._state.region)
        self._prefixes.store(holder, self._query.blocks, now)

    def failed(self) -> None:
        """Count the attempt as failed by the region."""
        if self._open:
            self._state.health.failed(self._clock())
            self._end()

    def finish(self) -> None:
        """Count the request as ended; nothing happens after a failure."""
        if self._open:
            if not self._answered:
                self._state.health.ended()
            self._end()

    def _end(self) -> None:
        self._open = False
        self._state.finished()
