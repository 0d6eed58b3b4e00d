"""Limits that targets name: the requests per second that they take from all entry VMs.

A target names its limit in each answer for as long as it holds. Entry VMs of a region
report what they have been told, since each one sees only its own answers.
"""

import math
from collections.abc import Callable

import msgspec

from pimentospool.ids import TargetId


class _Notice(msgspec.Struct, frozen=True):
    rate: float
    """Requests per second; infinite if the target has ceased to name a limit."""
    at: float


class NamedLimits:
    """The limit that each target has named last.

    Parameters
    ----------
    clock : callable
        Returns a monotonic time in seconds.
    on_change : callable
        Called with a target and its limit in requests per second when the limit
        changes; the limit is infinite when it ends.
    """

    def __init__(
        self,
        *,
        clock: Callable[[], float],
        on_change: Callable[[TargetId, float], None] = lambda target, rate: None,
    ) -> None:
        self._clock = clock
        self._on_change = on_change
        self._notices: dict[TargetId, _Notice] = {}

    def limit(self, target: TargetId) -> float:
        """Return the limit of `target` in requests per second; infinite without one."""
        notice = self._notices.get(target)
        return math.inf if notice is None else notice.rate

    def record_answer(
        self, target: TargetId, rate: float | None, *, sent_at: float
    ) -> None:
        """Record what an answer of `target` says.

        Parameters
        ----------
        target : TargetId
            The target.
        rate : float or None
            The limit in requests per second, infinite if the answer names none, None if
            it can't be read.
        sent_at : float
            Time at which the request was sent.
        """
        known = self._notices.get(target)
        if rate is None or (rate == math.inf and known is None):
            return
        # Answers overtake each other: one without a limit may be older than the limit.
        if rate == math.inf and known is not None and sent_at <= known.at:
            return
        self._set(target, _Notice(rate, self._clock()))

    def forget(self, target: TargetId) -> None:
        """Drop what is known of `target`."""
        self._notices.pop(target, None)

    def _set(self, target: TargetId, notice: _Notice) -> None:
        before = self.limit(target)
        self._notices[target] = notice
        if notice.rate != before:
            self._on_change(target, notice.rate)
