"""Computation of scores from the state of targets and regions."""

import math

from pimentospool.ids import TargetId
from pimentospool.policy._pools import TargetState
from pimentospool.policy._prefixes import PrefixIndex
from pimentospool.policy._routes import RouteQuery
from pimentospool.policy._scores import Score, ScoreParameters
from pimentospool.policy._summaries import RegionState
from pimentospool.policy._work import MS_PER_SECOND

MAX_QUEUED_LONG_REQUESTS = 2
SHORT_RESERVED_SLOT_SHARE = 0.25
SHORT_PREFERRED_MAX_BACKLOG_SECONDS = 0.25
MAX_BACKLOG_SECONDS = 0.5
SHORT_PREFERRED_FACTOR = 0.5
BLOCKING_FACTOR = 0.5
AFFINITY_DISCOUNT = 0.5
SHORT_SHARE_SMOOTHING = 0.02
INITIAL_SHORT_SHARE = 0.8
ROLE_MISMATCH_FACTOR = 2.0


def region_holder_key(region: str) -> str:
    """Return the key of a region in the prefix index."""
    return f"region/{region}"


class Scorer:
    """Scores candidates by the current state of targets and regions.

    Parameters
    ----------
    prefixes : PrefixIndex
        Source of the expected cache hits.
    """

    def __init__(self, *, prefixes: PrefixIndex) -> None:
        self.parameters: ScoreParameters | None = None
        self.entry_count = 1
        self._prefixes = prefixes
        self._short_share = INITIAL_SHORT_SHARE

    def is_short(self, query: RouteQuery) -> bool:
        """Return whether the prompt is short; targets serve these before long ones."""
        assert self.parameters is not None
        return query.prompt_tokens <= self.parameters.limits.short_prompt_tokens

    def record_request(self, *, short: bool) -> None:
        """Update the smoothed share of short requests."""
        self._short_share += SHORT_SHARE_SMOOTHING * (short - self._short_share)

    @property
    def short_share(self) -> float:
        """Smoothed share of short requests, from 0 to 1."""
        return self._short_share

    def score_target(
        self,
        state: TargetState,
        query: RouteQuery,
        now: float,
        *,
        short: bool,
        affinity_target: TargetId | None = None,
    ) -> Score:
        """Return the score of a target of the local region.

        The blocking cost is lower at `affinity_target`, which should cache the prompt.
        """
        params = self.parameters
        assert params is not None
        target = state.target
        hit_tokens = self._prefixes.hit_tokens(target.id, query.blocks, now)
        prefill_tokens = max(0.0, query.prompt_tokens - hit_tokens)
        work = state.work
        expected = work.expected_times(
            now, tokens=prefill_tokens, short=short, short_share=self._short_share
        )
        wait_ms = (
            expected.slot_wait_seconds + expected.prefill_wait_seconds
        ) * MS_PER_SECOND
        prefill_ms = expected.prefill_seconds * MS_PER_SECOND
        in_flight = expected.in_flight
        has_room = True
        blocking_factor = BLOCKING_FACTOR
        if not short:
            request_limit = long_request_limit(
                target.slots, short_preferred=state.short_preferred
            )
            max_backlog_seconds = (
                SHORT_PREFERRED_MAX_BACKLOG_SECONDS
                if state.short_preferred
                else MAX_BACKLOG_SECONDS
            )
            has_room = (
                in_flight + 1.0 <= request_limit
                and expected.prefill_wait_seconds <= max_backlog_seconds
            )
            if in_flight + 1.0 > request_limit:
                excess = in_flight + 1.0 - request_limit
                wait_ms += (
                    excess * work.slot_hold_seconds / target.slots * MS_PER_SECOND
                )
            if state.short_preferred:
                blocking_factor += SHORT_PREFERRED_FACTOR
        if state.engine is not None and state.engine.role != "any":
            role_matches = (state.engine.role == "decode") == short
            blocking_factor += 0.0 if role_matches else ROLE_MISMATCH_FACTOR
        if target.id == affinity_target:
            blocking_factor -= AFFINITY_DISCOUNT
        blocking_ms = blocking_factor * params.weights.tail_latency * prefill_ms
        first_ms = wait_ms + prefill_ms
        work_seconds = expected.prefill_seconds + self._decode_seconds(state, query)
        cost_ms = params.weights.cost_ms * state.cost * work_seconds
        failure_ms = 0.0 if state.health.unimpaired else state.health.penalty_ms(now)
        latency_factor = params.latency_factor(short=short)
        return Score(
            target.id,
            latency_factor * first_ms + cost_ms + blocking_ms + failure_ms,
            first_ms,
            wait_ms,
            prefill_ms,
            0.0,
            cost_ms,
            0.0,
            blocking_ms,
            failure_ms,
            hit_tokens,
            has_room,
            in_flight,
        )

    def min_region_score_ms(self, round_trip_ms: float, *, short: bool) -> float:
        """Return a lower bound on the score of a region with this round trip."""
        assert self.parameters is not None
        latency_factor = self.parameters.latency_factor(short=short)
        return latency_factor * round_trip_ms + self.parameters.sent_away_cost_ms()

    def score_region(
        self, state: RegionState, query: RouteQuery, now: float, *, short: bool
    ) -> Score:
        """Return the score of another region."""
        params = self.parameters
        assert params is not None
        holder = region_holder_key(state.region)
        hit_tokens = self._prefixes.hit_tokens(holder, query.blocks, now)
        expected = state.expected_wait(
            query.pool, short=short, entry_count=self.entry_count, now=now
        )
        rates = state.rates
        prefill_seconds = (
            max(0.0, query.prompt_tokens - hit_tokens) / rates.prefill_tokens_per_second
        )
        decode_seconds = query.max_tokens / rates.decode_tokens_per_second / rates.slots
        link_ms = state.link_ms(query.prompt_tokens, self.entry_count, now)
        first_ms = expected.wait_ms + prefill_seconds * MS_PER_SECOND + link_ms
        cost_ms = (
            params.weights.cost_ms * state.cost * (prefill_seconds + decode_seconds)
        )
        away_ms = params.sent_away_cost_ms() / state.health.capacity_share(now)
        failure_ms = state.health.penalty_ms(now)
        blocking_ms = BLOCKING_FACTOR * params.weights.tail_latency * prefill_seconds
        blocking_ms *= MS_PER_SECOND
        latency_factor = params.latency_factor(short=short)
        return Score(
            state.region,
            latency_factor * first_ms + cost_ms + away_ms + blocking_ms + failure_ms,
            first_ms,
            expected.wait_ms,
            prefill_seconds * MS_PER_SECOND,
            link_ms,
            cost_ms,
            away_ms,
            blocking_ms,
            failure_ms,
            hit_tokens,
            True,
            expected.in_flight,
        )

    def _decode_seconds(self, state: TargetState, query: RouteQuery) -> float:
        target = state.target
        return query.max_tokens / target.decode_tokens_per_second / target.slots


def long_request_limit(slots: int, *, short_preferred: bool) -> int:
    """Return how many requests a target may have, an added long one included.

    Targets that are preferred for short requests reserve some slots for these.
    """
    if not short_preferred:
        return slots + MAX_QUEUED_LONG_REQUESTS
    return max(1, slots - math.ceil(slots * SHORT_RESERVED_SLOT_SHARE))
