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
from pimentospool.policy._pools import TargetState
from pimentospool.policy._prefixes import PrefixIndex
from pimentospool.policy._router_state import RouterState
from pimentospool.policy._routes import (
    RegionRoute,
    RouteQuery,
    RouteRefusal,
    TargetRoute,
)
from pimentospool.policy._scores import (
    RouteReason,
    Score,
    near_equal_limit_ms,
    near_equals,
)
from pimentospool.policy._scoring import Scorer
from pimentospool.policy._shares import QuotaShares
from pimentospool.policy._work import MS_PER_SECOND

MIN_RETRY_AFTER_SECONDS = 1.0

Route = TargetRoute | RegionRoute


class Router:
    """Chooses the target or region for each request that one entry VM receives.

    Parameters
    ----------
    region : RegionId
        Region of the entry VM.
    entry : EntryId
        Id of the entry VM.
    clock : callable
        Returns monotonic seconds.
    rng : random.Random
        Source of random choices.
    shares : QuotaShares or None
        Split of quotas; its claims are sent with the region summaries.
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
        self._state = RouterState(region=region)

    # State updates

    def set_manifest(self, index: ManifestIndex) -> None:
        """Apply a manifest; what is known of targets that remain is kept."""
        self._state.apply_manifest(index)
        self._scorer.parameters = self._state.score_parameters

    def set_leaving(self, targets: frozenset[TargetId]) -> None:
        """Send no new requests to `targets`; targets that return have a slow start."""
        now = self._clock()
        for target in self._state.leaving_targets - targets:
            state = self._state.targets.get(target)
            if state is not None:
                self._prefixes.invalidate(target, now)
                state.health.begin_slow_start(now)
        self._state.leaving_targets = targets

    def set_entry_count(self, count: int) -> None:
        """Set how many entry VMs of the local region send as much as this one."""
        self._scorer.entry_count = max(1, count)

    def own_targets(self) -> list[Target]:
        """Return the declared targets of the local region."""
        return [state.target for state in self._state.targets.values()]

    def apply_load_report(self, target: TargetId, report: LoadReport) -> None:
        """Apply a load report that has just arrived from `target`."""
        state = self._state.targets.get(target)
        if state is not None:
            state.work.apply_report(report, self._clock())
            state.silent = False

    def apply_cache_events(self, target: TargetId, events: CacheEvents) -> None:
        """Apply cache events that have just arrived from `target`."""
        self._prefixes.apply_events(target, events, self._clock())

    def apply_engine_state(self, target: TargetId, engine: EngineState) -> None:
        """Store which models an engine has loaded."""
        state = self._state.targets.get(target)
        if state is not None:
            state.engine = engine

    def record_unanswered_poll(self, target: TargetId) -> None:
        """Record that a target did not answer a poll.

        Once this opens its circuit, its prompt cache is no longer relied on. It has a
        slow start when it answers requests again.
        """
        state = self._state.targets.get(target)
        if state is None:
            return
        now = self._clock()
        state.health.record_failure(now)
        if not state.silent and state.health.circuit_state(now) is CircuitState.OPEN:
            state.silent = True
            self._prefixes.invalidate(target, now)

    def region_summary(self) -> RegionSummary:
        """Return the expected waits in this region, for other entry VMs."""
        claims = self._shares.update_claims() if self._shares is not None else []
        return RegionSummary(
            region=self._region,
            entry=self._entry,
            pools=self._state.pool_summaries(
                self._rng, self._scorer.short_share, self._clock()
            ),
            claims=claims,
        )

    def set_region_summary(self, summary: RegionSummary, now: float) -> None:
        """Apply a summary of another entry VM that arrived at `now`."""
        if summary.entry == self._entry:
            return
        if self._shares is not None:
            self._shares.receive_claims(summary, now)
        state = self._state.regions.get(summary.region)
        if state is not None:
            state.receive_summary(summary, now)

    # Decisions

    def choose(
        self, query: RouteQuery, *, score_all: bool = False
    ) -> TargetRoute | RegionRoute | RouteRefusal:
        """Return where the request goes, or why it is refused.

        Regions that cannot be better than the best target are not scored, unless
        `score_all` is set; this does not affect the decision.
        """
        if self._state.index is None:
            return RouteRefusal(
                reason=Reason.NOT_READY, detail="no configuration is in force yet"
            )
        now = self._clock()
        short = self._scorer.is_short(query)
        states = self._local_candidates(query, now)
        pool = self._state.pools.get(query.pool)
        affinity_target = (
            pool.affinity_target(query.blocks) if pool is not None else None
        )
        scores = {
            state.target.id: self._scorer.score_target(
                state, query, now, short=short, affinity_target=affinity_target
            )
            for state in states
        }
        max_score_ms = math.inf
        if scores and not score_all:
            max_score_ms = near_equal_limit_ms(
                min(score.total_ms for score in scores.values())
            )
        region_scores = self._region_scores(query, now, max_score_ms, short=short)
        all_scores = [*scores.values(), *region_scores.values()]
        if not all_scores:
            return self._refuse_unserved(query)
        best, reason = self._pick_best(all_scores)
        if query.remaining_seconds is not None:
            late_seconds = best.first_ms / MS_PER_SECOND - query.remaining_seconds
            if late_seconds > 0.0:
                return _refuse_late(late_seconds, all_scores)
        if not best.has_room:
            return self._refuse_without_room(best, all_scores, query)
        self._remember_best(query, states, scores)
        scored = tuple(all_scores)
        if best.candidate in scores:
            target = self._state.targets[TargetId(best.candidate)].target
            return TargetRoute(target=target, score=best, reason=reason, scores=scored)
        if not scores:
            reason = RouteReason.NOT_SERVED_HERE
        region = RegionId(best.candidate)
        return RegionRoute(region=region, score=best, reason=reason, scores=scored)

    def start(self, route: Route, query: RouteQuery) -> TargetFlight | RegionFlight:
        """Record that a request is sent along `route`.

        The caller reports its progress and its end to the returned object.
        """
        now = self._clock()
        self._scorer.record_request(short=self._scorer.is_short(query))
        if isinstance(route, RegionRoute):
            region = self._state.regions[route.region]
            return RegionFlight(
                state=region, query=query, prefixes=self._prefixes, clock=self._clock
            )
        state = self._state.targets.get(route.target.id)
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
        pool = self._state.pools.get(query.pool)
        if pool is None or self._region not in query.allowed_regions:
            return []
        excluded = query.excluded_targets
        holders = list(self._prefixes.holders(query.blocks))
        affinity_target = pool.affinity_target(query.blocks)
        if affinity_target is not None:
            holders.insert(0, affinity_target)
        candidates = pool.candidates(self._rng, holders, excluded)
        usable = self._usable(candidates, query, now)
        if usable:
            return usable
        return self._usable(pool.all_candidates(excluded), query, now)

    def _usable(
        self, states: Iterable[TargetState], query: RouteQuery, now: float
    ) -> list[TargetState]:
        leaving = self._state.leaving_targets
        model = query.model or ""
        return [
            state
            for state in states
            if state.target.id not in leaving
            and state.accepts_requests(now)
            and (query.model is None or state.serves_model(model, query.adapter))
        ]

    def _region_scores(
        self, query: RouteQuery, now: float, max_score_ms: float, *, short: bool
    ) -> dict[RegionId, Score]:
        min_round_trip_ms = self._state.min_round_trip_ms
        if (
            query.is_hop
            or self._scorer.min_region_score_ms(min_round_trip_ms, short=short)
            > max_score_ms
        ):
            return {}
        scores = {}
        for region in self._state.regions_serving(query.pool):
            if region not in query.allowed_regions or region in query.excluded_regions:
                continue
            state = self._state.regions[region]
            if (
                self._scorer.min_region_score_ms(state.round_trip_ms, short=short)
                > max_score_ms
            ):
                continue
            if state.health.circuit_state(now) is not CircuitState.OPEN:
                scores[region] = self._scorer.score_region(
                    state, query, now, short=short
                )
        return scores

    def _pick_best(self, scores: list[Score]) -> tuple[Score, RouteReason]:
        if len(scores) == 1:
            return scores[0], RouteReason.ONLY_CANDIDATE
        near_equal = near_equals(scores)
        if len(near_equal) == 1:
            best = near_equal[0]
            max_hit_tokens = max(score.hit_tokens for score in scores)
            if best.hit_tokens and best.hit_tokens == max_hit_tokens:
                return best, RouteReason.PREFIX_HIT
            return best, RouteReason.LOWEST_SCORE
        pair = self._rng.sample(near_equal, 2)
        best = min(pair, key=lambda score: score.total_ms)
        return best, RouteReason.NEAR_EQUAL

    def _remember_best(
        self,
        query: RouteQuery,
        states: list[TargetState],
        scores: dict[TargetId, Score],
    ) -> None:
        pool = self._state.pools.get(query.pool)
        if pool is not None and pool.is_sampled:
            states.sort(key=lambda state: scores[state.target.id].wait_ms)
            pool.remember_best(states)

    def _refuse_unserved(self, query: RouteQuery) -> RouteRefusal:
        pool = self._state.pools.get(query.pool)
        has_members = pool is not None and any(
            state.target.id not in query.excluded_targets
            and state.target.id not in self._state.leaving_targets
            for state in pool.members
        )
        if has_members and self._region in query.allowed_regions:
            return RouteRefusal(
                reason=Reason.OVERLOADED,
                detail="every target is at its limit or failed lately",
                retry_after_seconds=MIN_RETRY_AFTER_SECONDS,
                may_wait=True,
            )
        return RouteRefusal(
            reason=Reason.NO_TARGET,
            detail="no target in an allowed region can serve the request",
            retry_after_seconds=MIN_RETRY_AFTER_SECONDS,
        )

    def _refuse_without_room(
        self, best: Score, scores: list[Score], query: RouteQuery
    ) -> RouteRefusal:
        target = self._state.targets[TargetId(best.candidate)].target
        decode_seconds = query.max_tokens / target.decode_tokens_per_second
        return RouteRefusal(
            reason=Reason.OVERLOADED,
            detail="no target has room for a long request",
            retry_after_seconds=max(
                MIN_RETRY_AFTER_SECONDS, best.wait_ms / MS_PER_SECOND
            ),
            may_wait=True,
            work_seconds=best.prefill_ms / MS_PER_SECOND + decode_seconds,
            scores=tuple(scores),
        )


def _refuse_late(late_seconds: float, scores: list[Score]) -> RouteRefusal:
    return RouteRefusal(
        reason=Reason.OVERLOADED,
        detail="the first token is expected after the deadline",
        retry_after_seconds=max(MIN_RETRY_AFTER_SECONDS, late_seconds),
        scores=tuple(scores),
    )
