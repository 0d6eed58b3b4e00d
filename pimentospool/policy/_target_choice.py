"""Choice among the targets of a region, another region, or a refusal.

Answers the load of regional peaks: a request waits where its first byte is expected
first, crosses to another region when that saves more than the way costs, and is
refused at once when it cannot be answered in time anywhere.
"""

import math
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
HOP_MARGIN_SECONDS = 0.1
"""Expected gain from which another region is worth the bytes sent there."""
READ_CROWDING = 3.0
"""Weight of the time to read a prompt beside a full batch, whose requests it delays;
an empty one delays nobody."""
REREAD_WEIGHT = 1.0
"""Weight of the time to read parts that another target keeps, which is paid for."""
REFUSE_SHARE = 0.9
"""Part of the time left that the wait for a first byte may take."""
LATE_FACTOR = 4.0
"""Latency objectives that the expected wait for a first byte may last; a request that
is refused sooner comes back with time left, and does not delay those behind it."""
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
    turn_seconds: float = 0.0
    """Mean time for which a request holds its slot."""
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
            queue_seconds = waiting * self.turn_seconds / max(self.slots, 1)
            return seconds * self.pace + queue_seconds
        return seconds * self.pace

    @property
    def crowding(self) -> float:
        """Share of the slots that are in use, from 0 to 1."""
        return min(1.0, self.occupancy.running / max(self.slots, 1))

    @property
    def cost_seconds(self) -> float:
        """First byte's time and what the choice costs beside."""
        load = self.occupancy
        cost = self.first_byte_seconds + FAILING_SECONDS * self.failing
        cost += CROWDING_SECONDS * load.running / max(self.slots, 1)
        cost += _reading_cost(self.unread_tokens, self.crowding)
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
    """Expected time to a first byte there, without the way and the prompt."""
    crowding: float = 0.0
    """Share of the slots in use at the target with the least wait there."""
    unread_tokens: int = 0
    """Tokens of the prompt that a target there would have to read."""

    @property
    def read_seconds(self) -> float:
        """Time to read the prompt there."""
        return self.unread_tokens / READ_TOKENS_PER_SECOND

    @property
    def first_byte_seconds(self) -> float:
        """Expected time to the first byte of the answer, the way included."""
        return self.wait_seconds + self.read_seconds + HOP_SECONDS

    @property
    def cost_seconds(self) -> float:
        """First byte's time and what the choice costs beside."""
        reading = _reading_cost(self.unread_tokens, self.crowding)
        return self.first_byte_seconds + reading + HOP_MARGIN_SECONDS


class TargetChoice(msgspec.Struct, kw_only=True, frozen=True):
    """The request goes to a target of this region."""

    candidate: Candidate


class RegionChoice(msgspec.Struct, kw_only=True, frozen=True):
    """The request goes to an entry VM of another region."""

    remote: RemoteRegion

    @property
    def region(self) -> RegionId:
        """Region to which the request goes."""
        return self.remote.region


class NoChoice(msgspec.Struct, kw_only=True, frozen=True):
    """The request is refused."""

    detail: str
    retry_after_seconds: float


def choose_place(
    candidates: Sequence[Candidate],
    remotes: Sequence[RemoteRegion],
    *,
    patience_seconds: float,
    objective_seconds: float = math.inf,
) -> TargetChoice | RegionChoice | NoChoice:
    """Return where a request goes.

    Parameters
    ----------
    candidates : sequence of Candidate
        Targets of this region.
    remotes : sequence of RemoteRegion
        Other regions that may serve the request.
    patience_seconds : float
        Time for which the caller waits for the first byte.
    objective_seconds : float
        Time within which the first byte is on time.
    """
    local = min(candidates, key=lambda item: item.cost_seconds, default=None)
    remote = min(remotes, key=lambda item: item.cost_seconds, default=None)
    if local is None and remote is None:
        return NoChoice(
            detail="no target can take the request",
            retry_after_seconds=_bounded_retry(MIN_RETRY_SECONDS * 2),
        )
    if (
        local is not None
        and remote is not None
        and remote.cost_seconds < local.cost_seconds
    ):
        local = None
    place = local or remote
    assert place is not None
    wait = place.first_byte_seconds
    limit = min(patience_seconds * REFUSE_SHARE, objective_seconds * LATE_FACTOR)
    if wait > limit:
        return NoChoice(
            detail=f"a first byte is expected in {wait:.2f} s",
            retry_after_seconds=_bounded_retry(wait - limit),
        )
    if isinstance(place, Candidate):
        return TargetChoice(candidate=place)
    return RegionChoice(remote=place)


def _reading_cost(tokens: int, crowding: float) -> float:
    seconds = tokens / READ_TOKENS_PER_SECOND
    return seconds * (REREAD_WEIGHT + READ_CROWDING * crowding)


def _bounded_retry(seconds: float) -> float:
    return min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, seconds))
