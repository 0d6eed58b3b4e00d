"""Requests in flight, and the state that their progress updates."""

from collections.abc import Callable
from itertools import count

from pimentospool.policy._pools import TargetState
from pimentospool.policy._prefixes import PrefixIndex
from pimentospool.policy._routes import RouteQuery
from pimentospool.policy._scoring import region_holder_key
from pimentospool.policy._summaries import RegionState
from pimentospool.policy._work import LocalRequest

_request_ids = count()


class TargetFlight:
    """A request in flight at a target of the local region.

    Parameters
    ----------
    state : TargetState
        State of the target.
    query : RouteQuery
        The request.
    hit_tokens : float
        Prompt tokens that the target is expected to have in its prompt cache.
    short : bool
        Whether the prompt is short; targets serve short prompts before long ones.
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
        self._request_id = next(_request_ids)
        self._in_progress = True
        self._first_byte_received = False
        self._silent = False
        self._request = LocalRequest(
            started_at=clock(),
            short=short,
            prompt_tokens=query.prompt_tokens,
            prefill_tokens=max(0.0, query.prompt_tokens - hit_tokens),
        )
        state.health.record_start(self._request.started_at)
        state.work.start(self._request_id, self._request)

    def first_token(self) -> None:
        """Record the first byte of the response, or the first one after silence."""
        if not self._in_progress or (self._first_byte_received and not self._silent):
            return
        now = self._clock()
        state = self._state
        self._silent = False
        state.health.record_success(now)
        if self._first_byte_received:
            return
        self._first_byte_received = True
        state.work.first_token(self._request_id, now)
        if self._request.prefill_tokens:
            rate = state.target.prefill_tokens_per_second
            state.limit.record_first_token(
                first_seconds=now - self._request.started_at,
                prefill_seconds=self._request.prefill_tokens / rate,
                in_flight=state.work.local_in_flight,
            )

    def silent(self) -> None:
        """Record that the target is silent; the request is still in progress there."""
        if self._in_progress and not self._silent:
            self._silent = True
            self._state.health.record_failure(self._clock())
            self._state.limit.record_failure()

    def failed(self) -> None:
        """Record that the attempt failed at the target."""
        self.silent()
        self.finish()

    def finish(self) -> None:
        """Record that the request has ended; after a failure, this does nothing."""
        if self._in_progress:
            if not (self._first_byte_received or self._silent):
                self._state.health.record_inconclusive_end()
            self._end()

    def _end(self) -> None:
        self._in_progress = False
        self._state.work.finish(self._request_id, self._clock())


class RegionFlight:
    """A request in flight in another region.

    Parameters
    ----------
    state : RegionState
        State of the other region.
    query : RouteQuery
        The request.
    prefixes : PrefixIndex
        Records that the region now has the prompt cached.
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
        self._in_progress = True
        self._first_byte_received = False
        self._silent = False
        now = clock()
        state.health.record_start(now)
        state.record_start(query.prompt_tokens, now)

    def first_token(self) -> None:
        """Record the first byte of the response, or the first one after silence."""
        if not self._in_progress or (self._first_byte_received and not self._silent):
            return
        now = self._clock()
        self._silent = False
        self._state.health.record_success(now)
        if self._first_byte_received:
            return
        self._first_byte_received = True
        holder_key = region_holder_key(self._state.region)
        self._prefixes.store(holder_key, self._query.blocks, now)

    def silent(self) -> None:
        """Record that the region is silent; the request is still in progress there."""
        if self._in_progress and not self._silent:
            self._silent = True
            self._state.health.record_failure(self._clock())

    def failed(self) -> None:
        """Record that the attempt failed in the region."""
        self.silent()
        self.finish()

    def finish(self) -> None:
        """Record that the request has ended; after a failure, this does nothing."""
        if self._in_progress:
            if not (self._first_byte_received or self._silent):
                self._state.health.record_inconclusive_end()
            self._end()

    def _end(self) -> None:
        self._in_progress = False
        self._state.record_end()
