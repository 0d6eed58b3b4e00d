"""Expected load of one target, from local requests and delayed load reports."""

import math
from collections import deque

import msgspec

from pimentospool._generated.engine import LoadReport
from pimentospool.manifest import Target

MS_PER_SECOND = 1000.0
MEAN_REVERSION_SECONDS = 2.0
DEFAULT_SLOT_HOLD_SECONDS = 1.5
_MAX_ENDED_REQUESTS = 256
_ENDED_TTL_SECONDS = 10.0
_PEER_MEAN_SMOOTHING = 0.2
_SLOT_HOLD_SMOOTHING = 0.1
_CACHE_MISS_SMOOTHING = 0.05


class LocalRequest(msgspec.Struct, kw_only=True):
    """A request of this entry VM at a target; times are monotonic seconds."""

    started_at: float
    short: bool
    prompt_tokens: float
    prefill_tokens: float
    first_token_at: float | None = None
    ended_at: float | None = None


class ExpectedTimes(msgspec.Struct):
    """Expected times of a new request at a target, and requests in flight there."""

    slot_wait_seconds: float
    prefill_wait_seconds: float
    prefill_seconds: float
    in_flight: float


class TargetWork:
    """Local requests at a target, and the load of other entry VMs as reported.

    A report is applied as of the time when it was measured. The local requests of that
    time are known exactly and subtracted from it. The rest is the load of other entry
    VMs, which is assumed to return to its mean as the report ages. Their prompts are
    assumed to have the same share of cached tokens as the local ones.

    Parameters
    ----------
    target : Target
        The target's speeds and slots.
    """

    def __init__(self, *, target: Target) -> None:
        self.slots = target.slots
        self.slot_hold_seconds = DEFAULT_SLOT_HOLD_SECONDS
        self.reported_at: float | None = None
        # Prompt tokens per second.
        self._prefill_rate = target.prefill_tokens_per_second
        self._requests: dict[int, LocalRequest] = {}
        self._ended: deque[LocalRequest] = deque(maxlen=_MAX_ENDED_REQUESTS)
        self._pending_prefill_tokens = 0.0
        self._pending_prefills = 0
        self._prefill_until = 0.0
        self._peer_requests = 0.0
        self._mean_peer_requests = 0.0
        self._peer_prefill_tokens = 0.0
        self._cache_miss_share = 1.0

    @property
    def local_in_flight(self) -> int:
        """Number of requests of this entry VM in flight at the target."""
        return len(self._requests)

    def start(self, request_id: int, request: LocalRequest) -> None:
        """Record that a local request has started."""
        self._requests[request_id] = request
        self._pending_prefills += 1
        self._pending_prefill_tokens += request.prefill_tokens
        miss_share = request.prefill_tokens / max(1.0, request.prompt_tokens)
        self._cache_miss_share += _CACHE_MISS_SMOOTHING * (
            miss_share - self._cache_miss_share
        )
        begin = max(request.started_at, self._prefill_until)
        self._prefill_until = begin + request.prefill_tokens / self._prefill_rate

    def first_token(self, request_id: int, now: float) -> None:
        """Record that the prefill of a local request is done."""
        request = self._requests.get(request_id)
        if request is not None and request.first_token_at is None:
            request.first_token_at = now
            self._end_prefill(request, now)

    def finish(self, request_id: int, now: float) -> LocalRequest | None:
        """Record that a local request has ended and return it."""
        request = self._requests.pop(request_id, None)
        if request is None:
            return None
        if request.first_token_at is None:
            self._end_prefill(request, now)
        else:
            slot_hold_seconds = (
                now
                - request.first_token_at
                + request.prefill_tokens / self._prefill_rate
            )
            self.slot_hold_seconds += _SLOT_HOLD_SMOOTHING * (
                slot_hold_seconds - self.slot_hold_seconds
            )
        request.ended_at = now
        self._ended.append(request)
        return request

    def apply_report(self, report: LoadReport, now: float) -> None:
        """Apply a load report that arrived at `now`; older ones are ignored."""
        measured_at = now - max(0.0, report.age_seconds)
        if self.reported_at is not None and measured_at < self.reported_at:
            return
        local_in_flight, local_waiting_tokens = self._local_requests_at(measured_at)
        self._peer_requests = max(
            0.0, report.running + report.waiting - local_in_flight
        )
        waiting = max(0.0, report.waiting_tokens - local_waiting_tokens)
        self._peer_prefill_tokens = waiting * self._cache_miss_share
        if self.reported_at is None:
            self._mean_peer_requests = self._peer_requests
        self._mean_peer_requests += _PEER_MEAN_SMOOTHING * (
            self._peer_requests - self._mean_peer_requests
        )
        self.reported_at = measured_at

    def in_flight(self, now: float) -> float:
        """Return the expected number of requests at the target, of all entry VMs."""
        return self._expected_peer_requests(now) + len(self._requests)

    def expected_times(
        self, now: float, *, tokens: float, short: bool, short_share: float
    ) -> ExpectedTimes:
        """Return the expected times of a request that starts now.

        Parameters
        ----------
        now : float
            Time in seconds.
        tokens : float
            Prompt tokens that the target has to prefill.
        short : bool
            Whether the prompt is short; targets serve short prompts before long ones.
        short_share : float
            Share of short requests among those that wait for a slot.
        """
        in_flight = self._expected_peer_requests(now) + len(self._requests)
        queued = in_flight + 1.0 - self.slots
        slot_wait_seconds = 0.0
        if queued > 0.0:
            ahead = queued * short_share if short else queued
            slot_wait_seconds = ahead * self.slot_hold_seconds / self.slots
        backlog_seconds = self._backlog_seconds(now)
        if in_flight > self.slots:
            backlog_seconds *= self.slots / in_flight
        return ExpectedTimes(
            slot_wait_seconds, backlog_seconds, tokens / self._prefill_rate, in_flight
        )

    def _expected_peer_requests(self, now: float) -> float:
        if self.reported_at is None:
            return 0.0
        mean = self._mean_peer_requests
        decay = math.exp((self.reported_at - now) / MEAN_REVERSION_SECONDS)
        return mean + (self._peer_requests - mean) * decay

    def _backlog_seconds(self, now: float) -> float:
        backlog_seconds = 0.0
        if self._pending_prefills:
            unfinished_seconds = self._pending_prefill_tokens / self._prefill_rate
            backlog_seconds = max(self._prefill_until - now, unfinished_seconds / 2)
        if self.reported_at is not None:
            age = now - self.reported_at
            backlog_seconds += max(
                0.0, self._peer_prefill_tokens / self._prefill_rate - age
            )
        return backlog_seconds

    def _end_prefill(self, request: LocalRequest, now: float) -> None:
        self._pending_prefills -= 1
        self._pending_prefill_tokens -= request.prefill_tokens
        if not self._pending_prefills:
            self._pending_prefill_tokens = 0.0
        prefill_until = now + self._pending_prefill_tokens / self._prefill_rate
        self._prefill_until = min(self._prefill_until, prefill_until)

    def _local_requests_at(self, at: float) -> tuple[int, float]:
        while (
            self._ended and (self._ended[0].ended_at or 0.0) < at - _ENDED_TTL_SECONDS
        ):
            self._ended.popleft()
        in_flight = 0
        tokens = 0.0
        for request in (*self._requests.values(), *self._ended):
            ended_at = request.ended_at
            if request.started_at > at or (ended_at is not None and ended_at <= at):
                continue
            in_flight += 1
            first_token_at = request.first_token_at
            if first_token_at is None or first_token_at > at:
                tokens += request.prompt_tokens
        return in_flight, tokens
