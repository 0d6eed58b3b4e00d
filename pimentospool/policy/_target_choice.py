"""Choice among the targets of a region, another region, or a refusal.

Answers the load of regional peaks: a request waits where its first byte is expected
first, crosses to another region when that saves more than the way costs, and is
refused at once when it cannot be answered in time anywhere.
"""

from collections.abc import Sequence

import msgspec

from pimentospool.ids import RegionId, TargetId
from pimentospool.policy._occupancy import Occupancy

READ_TOKENS_PER_SECOND = 30_000.0
"""Prompt tokens that an engine reads in a second; each target's pace corrects it."""
PLAIN_SECONDS = 0.03
"""Expected time of a request without a prompt; each target's pace corrects it."""
STEP_SECONDS = 0.01
"""Time to a first token that is independent of the prompt."""
SLOT_TURN_SECONDS = 1.5
"""Mean time for which a generation holds its slot."""
CROWDING_SECONDS = 0.06
"""Cost of a target whose slots are all in use against an idle one."""
MEMORY_SECONDS = 1.0
"""Cost of a target whose memory the request would overfill."""
FAILING_SECONDS = 1.0
"""Cost of a target that fails every request."""
COLD_SECONDS = 0.25
"""Cost of a target that has just started."""
HOP_SECONDS = 0.12
"""Round trip to another region."""
HOP_MARGIN_SECONDS = 0.25
"""Expected gain from which another region is worth the bytes sent there."""
REFUSE_SHARE = 0.9
"""Part of the time left that the wait for a first byte may take."""
MIN_RETRY_SECONDS = 0.2
MAX_RETRY_SECONDS = 10.0


class Candidate(msgspec.Struct, kw_only=True, frozen=True):
    """A target that may take the request."""

    target: TargetId
    occupancy: Occupancy
    slots: int
    cache_tokens: int = 0
    """Memory of an engine in tokens; 0 for a target without a prompt cache."""
    unread_tokens: int = 0
    """Tokens of the prompt that the target would have to read."""
    prompt_tokens: int = 0
    pace: float = 1.0
    failing: float = 0.0
    cold: bool = False

    @property
    def first_byte_seconds(self) -> float:
        """Expected time to the first byte of the answer."""
        load = self.occupancy
        if not self.cache_tokens:
            turns = 1 + load.running / max(self.slots, 1)
            return PLAIN_SECONDS * self.pace * turns
        tokens = load.waiting_tokens + self.unread_tokens
        seconds = STEP_SECONDS + tokens / READ_TOKENS_PER_SECOND
        waiting = load.running - self.slots + 1
        if waiting > 0:
            seconds += waiting * SLOT_TURN_SECONDS / max(self.slots, 1)
        return seconds * self.pace

    @property
    def cost_seconds(self) -> float:
        """First byte's time and what the choice costs beside."""
        load = self.occupancy
        cost = self.first_byte_seconds + FAILING_SECONDS * self.failing
        cost += CROWDING_SECONDS * load.running / max(self.slots, 1)
        if self.cache_tokens and (
            load.held_tokens + self.prompt_tokens > self.cache_tokens
        ):
            cost += MEMORY_SECONDS
        if self.cold:
            cost += COLD_SECONDS
        return cost


class RemoteRegion(msgspec.Struct, kw_only=True, frozen=True):
    """Another region that may serve the request."""

    region: RegionId
    wait_seconds: float
    """Expected time to a first byte there, without the way."""


class TargetChoice(msgspec.Struct, kw_only=True, frozen=True):
    """The request goes to a target of this region."""

    candidate: Candidate


class RegionChoice(msgspec.Struct, kw_only=True, frozen=True):
    """The request goes to an entry VM of another region."""

    region: RegionId


class NoChoice(msgspec.Struct, kw_only=True, frozen=True):
    """The request is refused."""

    detail: str
    retry_after_seconds: float


def choose_place(
    candidates: Sequence[Candidate],
    remotes: Sequence[RemoteRegion],
    *,
    remaining_seconds: float,
) -> TargetChoice | RegionChoice | NoChoice:
    """Return where a request goes.

    Parameters
    ----------
    candidates : sequence of Candidate
        Targets of this region.
    remotes : sequence of RemoteRegion
        Other regions that may serve the request.
    remaining_seconds : float
        Time to the caller's deadline.
    """
    local = min(candidates, key=lambda item: item.cost_seconds, default=None)
    remote = min(remotes, key=lambda item: item.wait_seconds, default=None)
    if local is None and remote is None:
        return NoChoice(
            detail="no target can take the request",
            retry_after_seconds=_bounded_retry(MIN_RETRY_SECONDS * 2),
        )
    if local is not None and remote is not None:
        there = remote.wait_seconds + HOP_SECONDS + HOP_MARGIN_SECONDS
        if there < local.cost_seconds:
            local = None
        else:
            remote = None
    limit = remaining_seconds * REFUSE_SHARE
    if local is not None:
        wait = local.first_byte_seconds
    else:
        assert remote is not None
        wait = remote.wait_seconds + HOP_SECONDS
    if wait > limit:
        return NoChoice(
            detail=f"a first byte is expected in {wait:.2f} s",
            retry_after_seconds=_bounded_retry(wait - limit),
        )
    if local is not None:
        return TargetChoice(candidate=local)
    assert remote is not None
    return RegionChoice(region=remote.region)


def _bounded_retry(seconds: float) -> float:
    return min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, seconds))
