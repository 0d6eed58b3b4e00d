"""Whether a target may have started again since it was last known to run.

A connection stays with the start that accepted it, so a proof holds as long as one
that was open then.
"""

import math
from collections.abc import Callable

REGISTRATION_SECONDS = 2.0
"""Time after a target is reached in which it registers if it has started again; it does
so as it begins to listen."""
PROOF_INTERVAL_SECONDS = 0.5
"""Time between two attempts to prove a start if the first one failed; reports are
priced."""


class StartDoubt:
    """Doubt whether the target at an address is still in its known start.

    It begins when all connections of a start were lost or none could be opened, and
    ends with a proof that began after that. Without any loss the start is not in doubt,
    but it is only proved while a connection has been open since a proof.

    Parameters
    ----------
    clock : callable
        Returns a monotonic time in seconds.
    on_loss : callable
        Called when a doubt begins, with whether there was a connection before.
    on_reached : callable
        Called when a connection was opened.
    """

    def __init__(
        self,
        *,
        clock: Callable[[], float],
        on_loss: Callable[[bool], None] = lambda was_connected: None,
        on_reached: Callable[[], None] = lambda: None,
    ) -> None:
        self._clock = clock
        self._on_loss = on_loss
        self._on_reached = on_reached
        self.exists = False
        self.proved = False
        """Whether the known start is that of the open connections."""
        self.losses = 0
        """How often all connections were lost or closed, or one was refused."""
        self._reached_at = math.inf
        self._tried_at = -math.inf

    def record_loss(self, *, heard: bool = True, was_connected: bool = True) -> None:
        """Record that all connections were lost, or that none could be opened.

        With `heard` false, the last one was lost before anything came on it: a target
        also resets connections beyond its limit. That isn't told.
        """
        self.exists = True
        self.record_unconnected()
        if heard:
            self._on_loss(was_connected)

    def record_unconnected(self) -> None:
        """Record that no connection is open any more."""
        self.proved = False
        self.losses += 1
        self._reached_at = math.inf

    def record_reached(self) -> None:
        """Record that a connection was opened."""
        self._reached_at = min(self._reached_at, self._clock())
        self._on_reached()

    def try_proof(self) -> bool:
        """Return whether a proof may be tried now; if so, it counts as failed.

        With `end` it no longer does.
        """
        now = self._clock()
        if now - self._tried_at < PROOF_INTERVAL_SECONDS:
            return False
        self._tried_at = now
        return True

    @property
    def seconds_to_registered(self) -> float:
        """Time until a newer start would have registered; infinite if unconnected."""
        return max(0.0, self._reached_at + REGISTRATION_SECONDS - self._clock())

    def end(self, *, known: int, shown: int | None, losses: int) -> bool:
        """End the doubt if a proof shows the known start; return whether it does.

        `losses` is the number of losses before the proof began: one during it may have
        been that of the target which gave it.
        """
        proved = shown == known and losses == self.losses
        if proved:
            self.exists, self.proved = False, True
            self._tried_at = -math.inf
        return proved
