"""Computation of scores from what is known of targets and regions."""

import math

from pimentospool.ids import TargetId
from pimentospool.policy._pools import TargetState
from pimentospool.policy._prefixes import PrefixIndex
from pimentospool.policy._routes import RouteQuery
from pimentospool.policy._scores import Prices, Score
from pimentospool.policy._summaries import RegionState
from pimentospool.policy._work import MILLISECONDS

LONG_QUEUED = 2
LANE_RESERVE_SHARE = 0.25
LANE_BACKLOG_SECONDS = 0.25
LONG_BACKLOG_SECONDS = 0.5
LANE_FACTOR = 0.5
BLOCKING_FACTOR = 0.5
AFFINITY_SHARE = 0.5
SHARE_GAIN = 0.02
FIRST_SHORT_SHARE = 0.8
ROLE_FACTOR = 2.0


def region_holder(region: str) -> str:
    """Return the name under which the prefix index knows a region."""
    return f"region/{region}"


class Scorer:
    """Scores candidates at one moment's knowledge.

    Parameters
    ----------
    prefixes : PrefixIndex
        Expected prefix hits.
    """

    def __init__(self, *, prefixes: PrefixIndex) -> None:
        self.prices: Prices | None = None
        self.senders = 1
        self._prefixes = prefixes
        self._short_share = FIRST_SHORT_SHARE

    def is_short(self, query: RouteQuery) -> bool:
        """Return whether a request goes before long ones."""
        assert self.prices is not None
        return query.prompt_tokens <= self.prices.limits.short_prompt_tokens

    def seen(self, *, short: bool) -> None:
        """Follow the share of short requests."""
        self._short_share += SHARE_GAIN * (short - self._short_share)

    @property
    def short_share(self) -> float:
        """Share of short requests, smoothed."""
        return self._short_share

    def target(
        self,
        state: TargetState,
        query: RouteQuery,
        now: float,
        *,
        short: bool,
        preferred: TargetId | None = None,
    ) -> Score:
        """Return the score of a target of the own region.

        A long prompt costs less at the `preferred` target.
        """
        prices = self.prices
        assert prices is not None
        target = state.target
        hit = self._prefixes.hit_tokens(target.id, query.blocks, now)
        tokens = max(0.0, query.prompt_tokens - hit)
        work = state.work
        expected = work.expected_times(
            now, tokens=tokens, short=short, short_share=self._short_share
        )
        wait_ms = (
            expected.slot_wait_seconds + expected.prefill_wait_seconds
        ) * MILLISECONDS
        prefill_ms = expected.prefill_seconds * MILLISECONDS
        in_flight = expected.in_flight
        has_room = True
        factor = BLOCKING_FACTOR
        if not short:
            room = long_room(target.slots, lane=state.short_preferred)
            backlog = (
                LANE_BACKLOG_SECONDS if state.short_preferred else LONG_BACKLOG_SECONDS
            )
            has_room = (
                in_flight + 1.0 <= room and expected.prefill_wait_seconds <= backlog
            )
            if in_flight + 1.0 > room:
                ahead = in_flight + 1.0 - room
                wait_ms += ahead * work.slot_hold_seconds / target.slots * MILLISECONDS
            if state.short_preferred:
                factor += LANE_FACTOR
        if state.engine is not None and state.engine.role != "any":
            fits = (state.engine.role == "decode") == short
            factor += 0.0 if fits else ROLE_FACTOR
        if target.id == preferred:
            factor -= AFFINITY_SHARE
        blocking_ms = factor * prices.weights.tail_latency * prefill_ms
        first_ms = wait_ms + prefill_ms
        seconds = expected.prefill_seconds + self._decode_seconds(state, query)
        cost_ms = prices.weights.cost_ms * state.cost * seconds
        failure_ms = 0.0 if state.health.unimpaired else state.health.penalty_ms(now)
        factor = prices.latency_factor(short=short)
        return Score(
            target.id,
            factor * first_ms + cost_ms + blocking_ms + failure_ms,
            first_ms,
            wait_ms,
            prefill_ms,
            0.0,
            cost_ms,
            0.0,
            blocking_ms,
            failure_ms,
            hit,
            has_room,
            in_flight,
        )

    def least_away(self, round_trip_ms: float, *, short: bool) -> float:
        """Return a bound below the score of a region at this distance."""
        assert self.prices is not None
        factor = self.prices.latency_factor(short=short)
        return factor * round_trip_ms + self.prices.away_ms()

    def region(
        self, state: RegionState, query: RouteQuery, now: float, *, short: bool
    ) -> Score:
        """Return the score of another region."""
        prices = self.prices
        assert prices is not None
        holder = region_holder(state.region)
        hit = self._prefixes.hit_tokens(holder, query.blocks, now)
        wait = state.expected_wait(
            query.pool, short=short, entry_count=self.senders, now=now
        )
        rates = state.rates
        prefill = max(0.0, query.prompt_tokens - hit) / rates.prefill_tokens_per_second
        decode = query.max_tokens / rates.decode_tokens_per_second / rates.slots
        link_ms = state.link_ms(query.prompt_tokens, self.senders, now)
        first_ms = wait.wait_ms + prefill * MILLISECONDS + link_ms
        cost_ms = prices.weights.cost_ms * state.cost * (prefill + decode)
        away_ms = prices.away_ms() / state.health.capacity_share(now)
        failure_ms = state.health.penalty_ms(now)
        blocking_ms = BLOCKING_FACTOR * prices.weights.tail_latency * prefill
        blocking_ms *= MILLISECONDS
        factor = prices.latency_factor(short=short)
        return Score(
            state.region,
            factor * first_ms + cost_ms + away_ms + blocking_ms + failure_ms,
            first_ms,
            wait.wait_ms,
            prefill * MILLISECONDS,
            link_ms,
            cost_ms,
            away_ms,
            blocking_ms,
            failure_ms,
            hit,
            True,
            wait.in_flight,
        )

    def _decode_seconds(self, state: TargetState, query: RouteQuery) -> float:
        target = state.target
        return query.max_tokens / target.decode_tokens_per_second / target.slots


def long_room(slots: int, *, lane: bool) -> int:
    """Return how many requests a target may have with one more long request.

    Some slots of a short lane are kept for short requests.
    """
    if not lane:
        return slots + LONG_QUEUED
    return max(1, slots - math.ceil(slots * LANE_RESERVE_SHARE))
