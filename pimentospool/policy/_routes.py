"""Queries to the router and the routes that it returns."""

import msgspec

from pimentospool.errors import Reason
from pimentospool.ids import ModelId, RegionId, ServiceId, TargetId
from pimentospool.manifest import Target
from pimentospool.policy._scores import RouteReason, Score


class RouteQuery(msgspec.Struct, kw_only=True, frozen=True):
    """Properties of a request that routing depends on."""

    allowed_regions: frozenset[RegionId]
    model: ModelId | None = None
    adapter: str = ""
    service: ServiceId | None = None
    prompt_tokens: int = 0
    max_tokens: int = 0
    blocks: tuple[str, ...] = ()
    is_hop: bool = False
    excluded_targets: frozenset[TargetId] = frozenset()
    excluded_regions: frozenset[RegionId] = frozenset()
    remaining_seconds: float | None = None

    @property
    def pool(self) -> str:
        """Name of the pool that serves the request: its model or service."""
        return self.service or self.model or ""


class _ScoredRoute(msgspec.Struct, kw_only=True, frozen=True):
    reason: RouteReason
    scores: tuple[Score, ...] = ()

    @property
    def explanation(self) -> str:
        """Reason of the decision and score of each candidate, best first."""
        ranked = sorted(self.scores, key=lambda score: score.total_ms)
        return "; ".join([self.reason.value, *map(str, ranked)])


class TargetRoute(_ScoredRoute, kw_only=True, frozen=True):
    """The request goes to a target of the local region."""

    target: Target
    score: Score


class RegionRoute(_ScoredRoute, kw_only=True, frozen=True):
    """The request goes to an entry VM of another region, in one hop."""

    region: RegionId
    score: Score


class RouteRefusal(msgspec.Struct, kw_only=True, frozen=True):
    """No target can serve the request now.

    With `may_wait` set, a target is expected to have room before the deadline. The
    request may then wait in the entry VM's queue, as long as `work_seconds` are left
    to serve it.
    """

    reason: Reason
    detail: str
    retry_after_seconds: float | None = None
    may_wait: bool = False
    work_seconds: float = 0.0
    scores: tuple[Score, ...] = ()
