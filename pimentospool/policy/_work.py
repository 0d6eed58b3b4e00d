"""Work expected at one target, from own requests and lagging load reports."""

import math
from collections import deque

import msgspec

from pimentospool._generated.engine import LoadReport
from pimentospool.manifest import Target

MILLISECONDS = 1000.0
REVERSION_SECONDS = 2.0
DEFAULT_HOLD_SECONDS = 1.5
_KEPT_ENDED = 256
_KEPT_SECONDS = 10.0
_MEAN_GAIN = 0.2
_HOLD_GAIN = 0.1
_MISS_GAIN = 0.05


class Flight(msgspec.Struct, kw_only=True):
    """One own request at a target; times in seconds of the caller's clock."""

    started_at: float
    short: bool
    prompt_tokens: float
    prefill_tokens: float
    first_at: float | None = None
    ended_at: float | None = None


class Expectation(msgspec.Struct):
    """Expected times of a request at a target, in seconds, and requests there."""

    slot_wait: float
    prefill_wait: float
    prefill: float
    in_flight: float


class TargetWork:
    """Own requests at a target, and others' work as reported.

    A report is taken at the time of its measurement: own requests of that time are
    known exactly and subtracted, and what is left, the work of other entry VMs,
    returns to its mean as the report ages. Their prompts are taken to have the same
    share of cached tokens as own ones.

    Parameters
    ----------
    target : Target
        The target's speeds and slots.
    """

    def __init__(self, *, target: Target) -> None:
        self.slots = target.slots
        self.hold_seconds = DEFAULT_HOLD_SECONDS
        self.reported_at: float | None = None
        self._rate = target.prefill_tokens_per_second
        self._flights: dict[int, Flight] = {}
        self._ended: deque[Flight] = deque(maxlen=_KEPT_ENDED)
        self._pending_tokens = 0.0
        self._pending = 0
        self._prefill_until = 0.0
        self._others = 0.0
        self._others_mean = 0.0
        self._others_tokens = 0.0
        self._miss_share = 1.0

    @property
    def own(self) -> int:
        """Own requests in flight."""
        return len(self._flights)

    def start(self, flight_id: int, flight: Flight) -> None:
        """Count an own request."""
        self._flights[flight_id] = flight
        self._pending += 1
        self._pending_tokens += flight.prefill_tokens
        miss = flight.prefill_tokens / max(1.0, flight.prompt_tokens)
        self._miss_share += _MISS_GAIN * (miss - self._miss_share)
        begin = max(flight.started_at, self._prefill_until)
        self._prefill_until = begin + flight.prefill_tokens / self._rate

    def first_token(self, flight_id: int, now: float) -> None:
        """Count an own request's prefill as done."""
        flight = self._flights.get(flight_id)
        if flight is not None and flight.first_at is None:
            flight.first_at = now
            self._end_prefill(flight, now)

    def finish(self, flight_id: int, now: float) -> Flight | None:
        """Count an own request as ended and return it."""
        flight = self._flights.pop(flight_id, None)
        if flight is None:
            return None
        if flight.first_at is None:
            self._end_prefill(flight, now)
        else:
            held = now - flight.first_at + flight.prefill_tokens / self._rate
            self.hold_seconds += _HOLD_GAIN * (held - self.hold_seconds)
        flight.ended_at = now
        self._ended.append(flight)
        return flight

    def report(self, report: LoadReport, now: float) -> None:
        """Take over a load report that arrived at `now`."""
        measured_at = now - max(0.0, report.age_seconds)
        if self.reported_at is not None and measured_at < self.reported_at:
            return
        own, own_tokens = self._own_at(measured_at)
        self._others = max(0.0, report.running + report.waiting - own)
        waiting = max(0.0, report.waiting_tokens - own_tokens)
        self._others_tokens = waiting * self._miss_share
        if self.reported_at is None:
            self._others_mean = self._others
        self._others_mean += _MEAN_GAIN * (self._others - self._others_mean)
        self.reported_at = measured_at

    def in_flight(self, now: float) -> float:
        """Return the expected number of requests at the target."""
        return self._others_now(now) + len(self._flights)

    def expect(
        self, now: float, *, tokens: float, short: bool, short_share: float
    ) -> Expectation:
        """Return the expected times of a request that starts now.

        Parameters
        ----------
        now : float
            Time in seconds.
        tokens : float
            Prompt tokens that the target has to prefill.
        short : bool
            Whether the request goes before long ones.
        short_share : float
            Share of short requests among those that wait.
        """
        count = self._others_now(now) + len(self._flights)
        queued = count + 1.0 - self.slots
        slot_wait = 0.0
        if queued > 0.0:
            ahead = queued * short_share if short else queued
            slot_wait = ahead * self.hold_seconds / self.slots
        backlog = self._backlog_seconds(now)
        if count > self.slots:
            backlog *= self.slots / count
        return Expectation(slot_wait, backlog, tokens / self._rate, count)

    def _others_now(self, now: float) -> float:
        if self.reported_at is None:
            return 0.0
        mean = self._others_mean
        decay = math.exp((self.reported_at - now) / REVERSION_SECONDS)
        return mean + (self._others - mean) * decay

    def _backlog_seconds(self, now: float) -> float:
        backlog = 0.0
        if self._pending:
            unfinished = self._pending_tokens / self._rate
            backlog = max(self._prefill_until - now, unfinished / 2)
        if self.reported_at is not None:
            age = now - self.reported_at
            backlog += max(0.0, self._others_tokens / self._rate - age)
        return backlog

    def _end_prefill(self, flight: Flight, now: float) -> None:
        self._pending -= 1
        self._pending_tokens -= flight.prefill_tokens
        if not self._pending:
            self._pending_tokens = 0.0
        remaining = now + self._pending_tokens / self._rate
        self._prefill_until = min(self._prefill_until, remaining)

    def _own_at(self, time: float) -> tuple[int, float]:
        while self._ended and (self._ended[0].ended_at or 0.0) < time - _KEPT_SECONDS:
            self._ended.popleft()
        count = 0
        tokens = 0.0
        for flight in (*self._flights.values(), *self._ended):
            ended = flight.ended_at
            if flight.started_at > time or (ended is not None and ended <= time):
                continue
            count += 1
            first = flight.first_at
            if first is None or first > time:
                tokens += flight.prompt_tokens
        return count, tokens
