"""Choice of the target, or of the region, that serves a request."""

import math
import random
from collections.abc import Callable, Iterable

from pimentospool._generated.engine import CacheEvents, EngineState, LoadReport
from pimentospool._generated.loads import RegionSummary
from pimentospool.errors import Reason
from pimentospool.ids import EntryId, RegionId, TargetId
from pimentospool.manifest import ManifestIndex, Target
from pimentospool.policy._flights import RegionFlight, TargetFlight
from pimentospool.policy._health import CircuitState
from pimentospool.policy._knowledge import RoutingState
from pimentospool.policy._pools import TargetState
from pimentospool.policy._prefixes import PrefixIndex
from pimentospool.policy._routes import (
    RegionRoute,
    RouteQuery,
    RouteRefusal,
    TargetRoute,
)
from pimentospool.policy._scores import RouteReason, Score, near_bound, near_equals
from pimentospool.policy._scoring import Scorer
from pimentospool.policy._shares import QuotaShares
from pimentospool.policy._work import MILLISECONDS

RETRY_AFTER_SECONDS = 1.0

Route = TargetRoute | RegionRoute


class Router:
    """Chooses targets for the requests that one entry VM receives.

    Parameters
    ----------
    region : RegionId
        Region of the entry VM.
    entry : EntryId
        The entry VM.
    clock : callable
        Returns monotonic seconds.
    rng : random.Random
        Source of random choices.
    shares : QuotaShares or None
        Split of quotas, whose claims ride on the summaries.
    """

    def __init__(
        self,
        *,
        region: RegionId,
        entry: EntryId,
        clock: Callable[[], float],
        rng: random.Random,
        shares: QuotaShares | None = None,
    ) -> None:
        self._region = region
        self._entry = entry
        self._clock = clock
        self._rng = rng
        self._shares = shares
        self._prefixes = PrefixIndex()
        self._scorer = Scorer(prefixes=self._prefixes)
        self._known = RoutingState(region=region)

    # Knowledge

    def set_manifest(self, index: ManifestIndex) -> None:
        """Route by the manifest behind `index` from now on."""
        self._known.apply_manifest(index)
        self._scorer.prices = self._known.prices

    def set_leaving(self, targets: frozenset[TargetId]) -> None:
        """Give no new request to `targets`; those that returned ramp up."""
        now = self._clock()
        for target in self._known.leaving_targets - targets:
            state = self._known.targets.get(target)
            if state is not None:
                self._prefixes.invalidate(target, now)
                state.health.begin_slow_start(now)
        self._known.leaving_targets = targets

    def set_entry_count(self, count: int) -> None:
        """Take `count` entry VMs of the own region to send as this one does."""
        self._scorer.senders = max(1, count)

    def own_targets(self) -> list[Target]:
        """Return the declared targets of the own region."""
        return [state.target for state in self._known.targets.values()]

    def take_load(self, target: TargetId, report: LoadReport) -> None:
        """Take over a load report that just arrived."""
        state = self._known.targets.get(target)
        if state is not None:
            state.work.apply_report(report, self._clock())
            state.silent = False

    def take_events(self, target: TargetId, events: CacheEvents) -> None:
        """Take over cache events that just arrived."""
        self._prefixes.apply_events(target, events, self._clock())

    def take_state(self, target: TargetId, engine: EngineState) -> None:
        """Take over what an engine holds."""
        state = self._known.targets.get(target)
        if state is not None:
            state.engine = engine

    def set_silent(self, target: TargetId) -> None:
        """Count a target that does not answer; it ramps up when it returns."""
        state = self._known.targets.get(target)
        if state is None:
            return
        now = self._clock()
        state.health.record_failure(now)
        if not state.silent and state.health.circuit_state(now) is CircuitState.OPEN:
            state.silent = True
            self._prefixes.invalidate(target, now)

    def region_summary(self) -> RegionSummary:
        """Return what other entry VMs should know of this region."""
        claims = self._shares.update_claims() if self._shares is not None else []
        return RegionSummary(
            region=self._region,
            entry=self._entry,
            pools=self._known.pool_summaries(
                self._rng, self._scorer.short_share, self._clock()
            ),
            claims=claims,
        )

    def set_region_summary(self, summary: RegionSummary, now: float) -> None:
        """Take over a summary of another entry VM that arrived at `now`."""
        if summary.entry == self._entry:
            return
        if self._shares is not None:
            self._shares.receive_claims(summary, now)
        state = self._known.regions.get(summary.region)
        if state is not None:
            state.receive_summary(summary, now)

    # Decisions

    def choose(
        self, query: RouteQuery, *, score_all: bool = False
    ) -> TargetRoute | RegionRoute | RouteRefusal:
        """Return where the request goes, or why it goes nowhere.

        Regions that cannot be better than the best target get no score, unless
        `score_all` is set; that changes no decision.
        """
        if self._known.index is None:
            return RouteRefusal(
                reason=Reason.NOT_READY, detail="no configuration is in force yet"
            )
        now = self._clock()
        short = self._scorer.is_short(query)
        states = self._local_candidates(query, now)
        pool = self._known.pools.get(query.pool)
        preferred = pool.affinity_target(query.blocks) if pool is not None else None
        scores = {
            state.target.id: self._scorer.target(
                state, query, now, short=short, preferred=preferred
            )
            for state in states
        }
        bound = math.inf
        if scores and not score_all:
            bound = near_bound(min(score.total_ms for score in scores.values()))
        away = self._region_scores(query, now, bound, short=short)
        everything = [*scores.values(), *away.values()]
        if not everything:
            return self._refuse_unserved(query)
        best, reason = self._pick(everything)
        if query.remaining_seconds is not None:
            late = best.first_ms / MILLISECONDS - query.remaining_seconds
            if late > 0.0:
                return _refuse_late(late, everything)
        if not best.has_room:
            return self._refuse_full(best, everything, query)
        self._remember(query, states, scores)
        listed = tuple(everything)
        if best.candidate in scores:
            target = self._known.targets[TargetId(best.candidate)].target
            return TargetRoute(target=target, score=best, reason=reason, scores=listed)
        if not scores:
            reason = RouteReason.NOT_SERVED_HERE
        region = RegionId(best.candidate)
        return RegionRoute(region=region, score=best, reason=reason, scores=listed)

    def start(self, route: Route, query: RouteQuery) -> TargetFlight | RegionFlight:
        """Count a request that goes where `route` says; end it by its methods."""
        now = self._clock()
        self._scorer.seen(short=self._scorer.is_short(query))
        if isinstance(route, RegionRoute):
            region = self._known.regions[route.region]
            return RegionFlight(
                state=region, query=query, prefixes=self._prefixes, clock=self._clock
            )
        state = self._known.targets.get(route.target.id)
        if state is None:
            state = TargetState(target=route.target, cost=1.0)
        self._prefixes.store(route.target.id, query.blocks, now)
        return TargetFlight(
            state=state,
            query=query,
            hit_tokens=route.score.hit_tokens,
            short=self._scorer.is_short(query),
            clock=self._clock,
        )

    def _local_candidates(self, query: RouteQuery, now: float) -> list[TargetState]:
        pool = self._known.pools.get(query.pool)
        if pool is None or self._region not in query.allowed_regions:
            return []
        excluded = query.excluded_targets
        holders = list(self._prefixes.holders(query.blocks))
        preferred = pool.affinity_target(query.blocks)
        if preferred is not None:
            holders.insert(0, preferred)
        drawn = pool.candidates(self._rng, holders, excluded)
        usable = self._usable(drawn, query, now)
        if usable:
            return usable
        return self._usable(pool.all_candidates(excluded), query, now)

    def _usable(
        self, states: Iterable[TargetState], query: RouteQuery, now: float
    ) -> list[TargetState]:
        leaving = self._known.leaving_targets
        model = query.model or ""
        return [
            state
            for state in states
            if state.target.id not in leaving
            and state.accepts_requests(now)
            and (query.model is None or state.serves_model(model, query.adapter))
        ]

    def _region_scores(
        self, query: RouteQuery, now: float, bound: float, *, short: bool
    ) -> dict[RegionId, Score]:
        nearest = self._known.min_round_trip_ms
        if query.hopped or self._scorer.least_away(nearest, short=short) > bound:
            return {}
        scores = {}
        for region in self._known.regions_serving(query.pool):
            if region not in query.allowed_regions or region in query.excluded_regions:
                continue
            state = self._known.regions[region]
            if self._scorer.least_away(state.round_trip_ms, short=short) > bound:
                continue
            if state.health.circuit_state(now) is not CircuitState.OPEN:
                scores[region] = self._scorer.region(state, query, now, short=short)
        return scores

    def _pick(self, scores: list[Score]) -> tuple[Score, RouteReason]:
        if len(scores) == 1:
            return scores[0], RouteReason.ONLY_CANDIDATE
        near = near_equals(scores)
        if len(near) == 1:
            best = near[0]
            most = max(score.hit_tokens for score in scores)
            if best.hit_tokens and best.hit_tokens == most:
                return best, RouteReason.PREFIX_HIT
            return best, RouteReason.LOWEST_SCORE
        pair = self._rng.sample(near, 2)
        best = min(pair, key=lambda score: score.total_ms)
        return best, RouteReason.NEAR_EQUAL

    def _remember(
        self,
        query: RouteQuery,
        states: list[TargetState],
        scores: dict[TargetId, Score],
    ) -> None:
        pool = self._known.pools.get(query.pool)
        if pool is not None and pool.is_sampled:
            states.sort(key=lambda state: scores[state.target.id].wait_ms)
            pool.remember_best(states)

    def _refuse_unserved(self, query: RouteQuery) -> RouteRefusal:
        pool = self._known.pools.get(query.pool)
        busy = pool is not None and any(
            state.target.id not in query.excluded_targets
            and state.target.id not in self._known.leaving_targets
            for state in pool.members
        )
        if busy and self._region in query.allowed_regions:
            return RouteRefusal(
                reason=Reason.OVERLOADED,
                detail="every target is at its limit or failed lately",
                retry_after_seconds=RETRY_AFTER_SECONDS,
                may_wait=True,
            )
        return RouteRefusal(
            reason=Reason.NO_TARGET,
            detail="no target in an allowed region can serve the request",
            retry_after_seconds=RETRY_AFTER_SECONDS,
        )

    def _refuse_full(
        self, best: Score, scores: list[Score], query: RouteQuery
    ) -> RouteRefusal:
        target = self._known.targets[TargetId(best.candidate)].target
        decode_seconds = query.max_tokens / target.decode_tokens_per_second
        return RouteRefusal(
            reason=Reason.OVERLOADED,
            detail="no target has room for a long request",
            retry_after_seconds=max(RETRY_AFTER_SECONDS, best.wait_ms / MILLISECONDS),
            may_wait=True,
            work_seconds=best.prefill_ms / MILLISECONDS + decode_seconds,
            scores=tuple(scores),
        )


def _refuse_late(late_seconds: float, scores: list[Score]) -> RouteRefusal:
    return RouteRefusal(
        reason=Reason.OVERLOADED,
        detail="the first token is expected after the deadline",
        retry_after_seconds=max(RETRY_AFTER_SECONDS, late_seconds),
        scores=tuple(scores),
    )
