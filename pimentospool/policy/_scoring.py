"""Computation of scores from what is known of targets and regions."""

import math

from pimentospool.policy._pools import TargetState
from pimentospool.policy._prefixes import PrefixIndex
from pimentospool.policy._routes import RouteQuery
from pimentospool.policy._scores import Prices, Score
from pimentospool.policy._summaries import RegionState
from pimentospool.policy._work import MILLISECONDS

LONG_RESERVE_SHARE = 0.25
LONG_BACKLOG_SECONDS = 1.0
LANE_FACTOR = 2.0
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

    def target(self, state: TargetState, query: RouteQuery, now: float) -> Score:
        """Return the score of a target of the own region."""
        prices = self.prices
        assert prices is not None
        short = self.is_short(query)
        target = state.target
        hit = self._prefixes.hit_tokens(target.id, query.blocks, now)
        tokens = max(0.0, query.prompt_tokens - hit)
        work = state.work
        expected = work.expect(
            now, tokens=tokens, short=short, short_share=self._short_share
        )
        wait_ms = (expected.slot_wait + expected.prefill_wait) * MILLISECONDS
        prefill_ms = expected.prefill * MILLISECONDS
        in_flight = work.in_flight(now)
        has_room = True
        lane_ms = 0.0
        if not short:
            room = long_room(target.slots)
            busy = expected.prefill_wait > LONG_BACKLOG_SECONDS
            has_room = in_flight + 1.0 <= room and not busy
            if in_flight + 1.0 > room:
                ahead = in_flight + 1.0 - room
                wait_ms += ahead * work.hold_seconds / target.slots * MILLISECONDS
            if state.short_lane:
                lane_ms = LANE_FACTOR * prices.weights.tail_latency * prefill_ms
        if state.engine is not None and state.engine.role != "any":
            fits = (state.engine.role == "decode") == short
            lane_ms += 0.0 if fits else ROLE_FACTOR * prefill_ms
        first_ms = wait_ms + prefill_ms
        seconds = expected.prefill + self._decode_seconds(state, query)
        cost_ms = prices.weights.cost_ms * state.cost * seconds
        failure_ms = state.health.penalty_ms(now)
        factor = prices.latency_factor(short=short)
        return Score(
            target.id,
            factor * first_ms + cost_ms + lane_ms + failure_ms,
            first_ms,
            wait_ms,
            prefill_ms,
            0.0,
            cost_ms,
            0.0,
            lane_ms,
            failure_ms,
            hit,
            has_room,
            in_flight,
        )

    def region(self, state: RegionState, query: RouteQuery, now: float) -> Score:
        """Return the score of another region."""
        prices = self.prices
        assert prices is not None
        short = self.is_short(query)
        holder = region_holder(state.region)
        hit = self._prefixes.hit_tokens(holder, query.blocks, now)
        wait = state.wait(query.pool, short=short, senders=self.senders, now=now)
        rates = state.rates
        prefill = max(0.0, query.prompt_tokens - hit) / rates.prefill
        decode = query.max_tokens / rates.decode / rates.slots
        link_ms = state.link_ms(query.prompt_tokens, self.senders, now)
        first_ms = wait.wait_ms + prefill * MILLISECONDS + link_ms
        cost_ms = prices.weights.cost_ms * state.cost * (prefill + decode)
        away_ms = prices.away_ms() / state.health.ramp(now)
        failure_ms = state.health.penalty_ms(now)
        factor = prices.latency_factor(short=short)
        return Score(
            state.region,
            factor * first_ms + cost_ms + away_ms + failure_ms,
            first_ms,
            wait.wait_ms,
            prefill * MILLISECONDS,
            link_ms,
            cost_ms,
            away_ms,
            0.0,
            failure_ms,
            hit,
            True,
            wait.in_flight,
        )

    def _decode_seconds(self, state: TargetState, query: RouteQuery) -> float:
        target = state.target
        return query.max_tokens / target.decode_tokens_per_second / target.slots


def long_room(slots: int) -> int:
    """Return how many requests leave room for one more long request."""
    reserve = math.ceil(slots * LONG_RESERVE_SHARE)
    return max(1, slots - reserve)
