"""Choice of a request's destination: a local target, another region, or a refusal.

During a regional peak, a request goes where its first byte is expected first. It goes
to another region if that saves more time than the hop costs, and is refused at once if
no destination can answer in time.
"""

import math
from collections.abc import Sequence

import msgspec

from pimentospool.ids import RegionId, SoftwareVersion, TargetId
from pimentospool.policy._completion import drain_seconds
from pimentospool.policy._occupancy import Occupancy

PREFILL_TOKENS_PER_SECOND = 30_000.0
"""Prefill rate of a reference engine; the pace of the service corrects it."""
PROMPTLESS_REQUEST_SECONDS = 0.03
"""Time of a request without a prompt at a reference target, corrected likewise."""
FIRST_TOKEN_BASE_SECONDS = 0.01
"""Part of the time to first token that does not depend on the prompt."""
UTILISATION_COST_SECONDS = 0.06
"""Cost of a target with all slots in use, compared with an idle one."""
CACHE_OVERFLOW_COST_SECONDS = 1.0
"""Cost of a target whose KV cache the request would overfill."""
FAILURE_COST_SECONDS = 1.0
"""Cost of a target that fails all requests; less in proportion to the share."""
COLD_START_COST_SECONDS = 0.25
"""Cost of a target that is still in its cold start."""
HOP_ROUND_TRIP_SECONDS = 0.12
"""Round trip time to another region."""
MIN_HOP_GAIN_SECONDS = 0.1
"""Least expected gain that is worth the traffic to another region."""
PREFILL_INTERFERENCE_WEIGHT = 3.0
"""Weight of the prefill time at a fully utilised target, as the prefill delays the
other requests of its batch; at an idle target it delays none."""
PREFILL_WORK_WEIGHT = 1.0
"""Weight of the prefill time itself: computing parts of the prompt that another
target has cached costs engine time."""
MAX_WAIT_SHARE = 0.9
"""Share of the first byte timeout that the expected wait may take."""
MAX_WAIT_OBJECTIVES = 4.0
"""Expected wait for the first byte above which a request is refused, as a multiple of
the latency objective, or of the time at an idle target where that is longer. A request
that is refused early can be retried with time left, and doesn't delay the requests
queued behind it; it would gain nothing if idle targets take as long."""
SPARE_TIME_SHARE = 0.25
"""Share of the time left up to which the end of a stream does not count. A stream that
may take four times as long as expected is placed by its first byte alone."""
STREAM_TIME_WEIGHT = 0.6
"""Weight of the time from a stream's first event to its end, for one that takes all the
time until its deadline; less in proportion for others. Streams with little time to
spare thus get the faster targets. At 1.3 and 1.6 times the capacity of engines of two
speeds, 0.4 and 0.8 had more streams complete than 0.15 and 1.6, and than a weight
that does not depend on the deadline."""
MIN_RETRY_AFTER_SECONDS = 0.2
MAX_RETRY_AFTER_SECONDS = 10.0


class Candidate(msgspec.Struct, kw_only=True, frozen=True):
    """A target that may serve the request."""

    target: TargetId
    version: SoftwareVersion = SoftwareVersion("")
    occupancy: Occupancy
    slots: int
    cache_tokens: int = 0
    """Size of the engine's KV cache in tokens; 0 for a target without one."""
    prefill_tokens: int = 0
    """Tokens of the prompt that the target does not have cached."""
    required_cache_tokens: int = 0
    """KV cache tokens that the request may need: its prompt and longest output."""
    service_pace: float = 1.0
    """Factor of the service's targets on the times of a reference target."""
    latency_ratio: float = 1.0
    """Observed divided by expected time to first byte, relative to the service."""
    failure_rate: float = 0.0
    """Recent share of failed answers, from 0 to 1."""
    slot_hold_seconds: float = 0.0
    """Mean time for which a request holds a slot."""
    cold: bool = False
    warmed_share: float = 0.0
    """Share of its load that a cold target has shown to bear."""
    over_limit: bool = False
    """Whether the target has as many requests as it has shown to bear."""
    rest_seconds: float = 0.0
    """Expected time from a stream's first event to its end; 0 if it isn't known."""
    reserve_seconds: float = 0.0
    """Cost of taking a slot that requests bound to the region may need."""

    @property
    def reference_seconds(self) -> float:
        """Time to the first byte at a reference target, without a wait for a slot."""
        load = self.occupancy
        if not self.cache_tokens:
            turn_count = 1 + load.running / max(self.slots, 1)
            return PROMPTLESS_REQUEST_SECONDS * turn_count
        tokens = load.waiting_tokens + self.prefill_tokens
        return FIRST_TOKEN_BASE_SECONDS + tokens / PREFILL_TOKENS_PER_SECOND

    @property
    def idle_seconds(self) -> float:
        """Time to the first byte if the target served nothing else."""
        if not self.cache_tokens:
            return PROMPTLESS_REQUEST_SECONDS * self.service_pace
        seconds = (
            FIRST_TOKEN_BASE_SECONDS + self.prefill_tokens / PREFILL_TOKENS_PER_SECOND
        )
        return seconds * self.service_pace

    @property
    def queue_seconds(self) -> float:
        """Expected wait for a slot of an engine."""
        excess_requests = self.occupancy.running - self.slots + 1
        if not self.cache_tokens or excess_requests <= 0:
            return 0.0
        return excess_requests * self.slot_hold_seconds / max(self.slots, 1)

    @property
    def first_byte_seconds(self) -> float:
        """Expected time to the first byte of the response."""
        factor = self.service_pace * self.latency_ratio
        return self.reference_seconds * factor + self.queue_seconds

    @property
    def completion_seconds(self) -> float:
        """Expected time to the end of a stream, 0 if it isn't known."""
        return self.known_seconds + self.rest_seconds if self.rest_seconds else 0.0

    @property
    def known_seconds(self) -> float:
        """Time to the first byte as far as the target's present load tells it.

        An idle target may have become faster since its last answers, which only
        another request shows.
        """
        if self.occupancy.running or self.occupancy.waiting_tokens:
            return self.first_byte_seconds
        return min(self.first_byte_seconds, self.reference_seconds)

    @property
    def slot_utilisation(self) -> float:
        """Share of the slots in use, from 0 to 1."""
        return min(1.0, self.occupancy.running / max(self.slots, 1))

    @property
    def cost_seconds(self) -> float:
        """Expected time to first byte, plus the weighted costs of this choice."""
        load = self.occupancy
        cost = self.first_byte_seconds + FAILURE_COST_SECONDS * self.failure_rate
        cost += UTILISATION_COST_SECONDS * load.running / max(self.slots, 1)
        cost += _prefill_cost_seconds(
            self.prefill_tokens, self.service_pace, self.slot_utilisation
        )
        if self.cache_tokens and (
            load.held_tokens + self.required_cache_tokens > self.cache_tokens
        ):
            cost += CACHE_OVERFLOW_COST_SECONDS
        if self.cold:
            cost += COLD_START_COST_SECONDS * (1.0 - self.warmed_share)
        return cost + self.reserve_seconds


class RemoteRegion(msgspec.Struct, kw_only=True, frozen=True):
    """Entry VMs of a region, mostly another one, that may serve the request."""

    region: RegionId
    wait_seconds: float
    """Expected time to first byte, without the round trip and the prefill."""
    slot_utilisation: float = 0.0
    """Share of the slots in use at the region's target with the shortest wait."""
    prefill_tokens: int = 0
    """Tokens of the prompt that the region's target does not have cached."""
    service_pace: float = 1.0
    """Factor of the service's targets on the times of a reference target."""
    round_trip_seconds: float = HOP_ROUND_TRIP_SECONDS
    rest_seconds: float = 0.0
    """Expected time from a stream's first event to its end; 0 if it isn't known."""
    reserve_seconds: float = 0.0
    """Cost of taking a slot that requests bound to fewer regions may need."""

    @property
    def completion_seconds(self) -> float:
        """Expected time to the end of a stream, 0 if it isn't known."""
        return self.known_seconds + self.rest_seconds if self.rest_seconds else 0.0

    @property
    def prefill_seconds(self) -> float:
        """Expected time of the prefill."""
        return self.prefill_tokens / PREFILL_TOKENS_PER_SECOND * self.service_pace

    @property
    def idle_seconds(self) -> float:
        """Time to the first byte if the region's targets served nothing else."""
        base_seconds = PROMPTLESS_REQUEST_SECONDS * self.service_pace
        return base_seconds + self.prefill_seconds + HOP_ROUND_TRIP_SECONDS

    @property
    def first_byte_seconds(self) -> float:
        """Expected time to the first byte of the response, round trip included."""
        return self.wait_seconds + self.prefill_seconds + self.round_trip_seconds

    @property
    def known_seconds(self) -> float:
        """Time to the first byte as far as the region's present load tells it."""
        if self.slot_utilisation:
            return self.first_byte_seconds
        prefill_seconds = self.prefill_tokens / PREFILL_TOKENS_PER_SECOND
        return min(self.first_byte_seconds, prefill_seconds + self.round_trip_seconds)

    @property
    def cost_seconds(self) -> float:
        """Expected time to first byte, plus the weighted costs of this choice."""
        prefill_cost = _prefill_cost_seconds(
            self.prefill_tokens, self.service_pace, self.slot_utilisation
        )
        cost = self.first_byte_seconds + prefill_cost + MIN_HOP_GAIN_SECONDS
        return cost + self.reserve_seconds


class TargetChoice(msgspec.Struct, kw_only=True, frozen=True):
    """The request goes to a target of the local region."""

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
    completion_seconds: float = 0.0
    """Least expected time to the end of the stream, if that is why."""


def choose_destination(
    candidates: Sequence[Candidate],
    remotes: Sequence[RemoteRegion],
    *,
    first_byte_timeout_seconds: float,
    objective_seconds: float = math.inf,
    min_wait_seconds: float = math.inf,
    may_try_idle: bool = True,
    seconds_left: float = math.inf,
    refuses_late: bool = True,
) -> TargetChoice | RegionChoice | NoChoice:
    """Return the destination of a request, the one with the lowest cost.

    A stream goes where it is expected to end before its deadline if there is such a
    destination.

    Parameters
    ----------
    candidates : sequence of Candidate
        Targets of the local region.
    remotes : sequence of RemoteRegion
        Other regions that may serve the request.
    first_byte_timeout_seconds : float
        Time until the caller gives up waiting for the first byte.
    objective_seconds : float
        Latency objective for the first byte.
    min_wait_seconds : float
        Time until one of the targets that are left out may be sent a request.
    may_try_idle : bool
        Whether the request may show that an idle target has become faster. One that
        has waited leaves that to others, which have the time for the answer.
    seconds_left : float
        Time until the deadline of a stream.
    refuses_late : bool
        Whether a stream is refused that no destination is expected to end in time.
    """
    destinations: list[Candidate | RemoteRegion] = [*candidates, *remotes]
    timely = [item for item in destinations if item.completion_seconds <= seconds_left]
    if timely:
        candidates = [item for item in timely if isinstance(item, Candidate)]
        remotes = [item for item in timely if isinstance(item, RemoteRegion)]
    elif refuses_late and destinations:
        return _refuse_late(destinations, seconds_left=seconds_left)

    def cost_seconds(item: Candidate | RemoteRegion) -> float:
        return item.cost_seconds + _stream_cost_seconds(item.rest_seconds, seconds_left)

    local = min(candidates, key=cost_seconds, default=None)
    remote = min(remotes, key=cost_seconds, default=None)
    if local is None and remote is None:
        return NoChoice(
            detail="no target can take the request",
            retry_after_seconds=_clamp_retry_after(
                min_wait_seconds
                if math.isfinite(min_wait_seconds)
                else MIN_RETRY_AFTER_SECONDS * 2
            ),
        )
    if (
        local is not None
        and remote is not None
        and cost_seconds(remote) < cost_seconds(local)
    ):
        local = None
    destination = local or remote
    assert destination is not None
    wait_seconds = destination.known_seconds
    timely_seconds = first_byte_timeout_seconds * MAX_WAIT_SHARE
    if not (may_try_idle or answers_within(destination, timely_seconds)):
        wait_seconds = destination.first_byte_seconds
    max_wait_seconds = min(
        timely_seconds,
        max(objective_seconds, destination.idle_seconds) * MAX_WAIT_OBJECTIVES,
    )
    if wait_seconds > max_wait_seconds:
        return NoChoice(
            detail=f"a first byte is expected in {wait_seconds:.2f} s",
            retry_after_seconds=_clamp_retry_after(wait_seconds - max_wait_seconds),
        )
    if isinstance(destination, Candidate):
        return TargetChoice(candidate=destination)
    return RegionChoice(remote=destination)


def answers_within(
    destination: Candidate | RemoteRegion, seconds: float, *, may_try_idle: bool = False
) -> bool:
    """Whether the first byte of `destination` is expected within `seconds`.

    Parameters
    ----------
    destination : Candidate or RemoteRegion
        Where the request is to be sent.
    seconds : float
        Time for which the caller still waits.
    may_try_idle : bool
        As in `choose_destination`.
    """
    if may_try_idle:
        return destination.known_seconds <= seconds
    return destination.first_byte_seconds <= seconds


def _refuse_late(
    destinations: Sequence[Candidate | RemoteRegion], *, seconds_left: float
) -> NoChoice:
    """Refuse a stream that would be cut at its deadline at all `destinations`."""
    fastest = min(destinations, key=lambda item: item.completion_seconds)
    completion_seconds = fastest.completion_seconds
    hold_seconds = (
        fastest.slot_hold_seconds
        if isinstance(fastest, Candidate)
        else fastest.rest_seconds
    )
    return NoChoice(
        detail=(
            f"the stream is expected to end in {completion_seconds:.2f} s, "
            f"its deadline is in {seconds_left:.2f} s"
        ),
        retry_after_seconds=_clamp_retry_after(
            drain_seconds(
                excess_seconds=completion_seconds - seconds_left,
                rest_seconds=fastest.rest_seconds,
                hold_seconds=hold_seconds,
            )
        ),
        completion_seconds=completion_seconds,
    )


def _stream_cost_seconds(rest_seconds: float, seconds_left: float) -> float:
    if not rest_seconds or math.isinf(seconds_left):
        return 0.0
    time_share = rest_seconds / max(seconds_left, rest_seconds)
    excess = max(0.0, time_share - SPARE_TIME_SHARE) / (1.0 - SPARE_TIME_SHARE)
    return STREAM_TIME_WEIGHT * rest_seconds * excess


def _prefill_cost_seconds(
    tokens: int, service_pace: float, slot_utilisation: float
) -> float:
    seconds = tokens / PREFILL_TOKENS_PER_SECOND * service_pace
    return seconds * (
        PREFILL_WORK_WEIGHT + PREFILL_INTERFERENCE_WEIGHT * slot_utilisation
    )


def _clamp_retry_after(seconds: float) -> float:
    return min(MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, seconds))
