"""What responses of the store prove about the configuration in force."""

from collections.abc import Callable

from pimentospool.gateway._facts import (
    ConfigurationPublished,
    FactBatch,
    FactSnapshot,
)
from pimentospool.gateway._model import Configuration
from pimentospool.gateway._routing_state import RoutingState
from pimentospool.policy import ConfigurationAge

STORE = "store"
"""Source of a confirmation by a response of the store."""
MAX_HOLD_SECONDS = 1.0
"""Longest time for which a watch is held open. A response confirms the moment at which
its call was sent, so the age of a confirmation is at least that of the call."""
HOLD_SHARE = 0.2
"""The same as a share of the bound, for a bound below the usual 5 s."""
RETRY_SHARE = 0.06
"""Longest delay between calls to a failing store, as a share of the bound: after an
outage of 0.6 of the bound, a confirmation has to arrive within a tenth of it."""
FOLLOWER_RETRY_SHARE = 0.2
"""The same of a VM that has relays, which usually confirm its configuration."""
SETTLE_SHARE = 0.3
"""Time, as a share of the bound, for which a store that was restored from a copy
confirms nothing. The copy may lack a configuration that the store had acknowledged;
meanwhile it arrives from the VMs that received it, or is published again."""
FIRST_ERA = 1
"""Era of a store that has not been restored; 0 of one that doesn't name eras."""


def configuration_age(
    routing_state: RoutingState, *, bound_seconds: float, clock: Callable[[], float]
) -> ConfigurationAge:
    """Return the age of the configuration that is in force in `routing_state`."""

    def stamp() -> tuple[int, int] | None:
        known = routing_state.stamp
        return None if known is None else (known.version, known.era)

    return ConfigurationAge(bound_seconds=bound_seconds, clock=clock, stamp=stamp)


class StoreConfirmation:
    """Confirms the configuration in force by responses of the store.

    It does nothing, and changes no time of the feed, without a bound.

    Parameters
    ----------
    age : ConfigurationAge
        Receives the confirmations.
    routing_state : RoutingState
        Holds the configuration in force.
    """

    def __init__(self, *, age: ConfigurationAge, routing_state: RoutingState) -> None:
        self._age = age
        self._routing_state = routing_state
        self._in_force = True
        """Whether the last configuration of the store is in force, or an older one than
        that in force. No response proves anything otherwise."""
        self._settled_at = float("-inf")
        self._read: tuple[Configuration, float] | None = None
        """Configuration that was read by itself and is not yet applied, and when the
        call was sent."""

    @property
    def is_due(self) -> bool:
        """Whether a VM that follows relays has to read the store by itself.

        That is of no use while the store's configuration can't become active.
        """
        return self._age.is_old and self._in_force

    def now(self) -> float:
        """Return the moment at which a call is sent."""
        return self._age.now()

    def limit_hold(self, seconds: float, *, failing: bool) -> float:
        """Return the time for which to hold a watch.

        A failing store is not asked to hold it, so that its return, which each call may
        find, is confirmed as soon as possible.
        """
        if not self._age.is_bounded:
            return seconds
        if failing:
            return 0.0
        return min(seconds, MAX_HOLD_SECONDS, HOLD_SHARE * self._age.bound_seconds)

    def limit_retry_delay(self, seconds: float, *, has_relays: bool) -> float:
        """Return the longest delay before the next call after a failure."""
        if not self._age.is_bounded:
            return seconds
        share = FOLLOWER_RETRY_SHARE if has_relays else RETRY_SHARE
        return min(seconds, share * self._age.bound_seconds)

    def record_snapshot(
        self, snapshot: FactSnapshot, *, sent_at: float, restored: bool, first: bool
    ) -> None:
        """Confirm what a response with all facts proves, once it is applied.

        Parameters
        ----------
        snapshot : FactSnapshot
            Content of the response.
        sent_at : float
            When the first call was sent.
        restored : bool
            Whether the store was found to be restored from a copy.
        first : bool
            Whether nothing of the store was known before.
        """
        if not self._age.is_bounded:
            return
        if restored or (first and snapshot.position.era > FIRST_ERA):
            self._settled_at = self._age.now() + SETTLE_SHARE * self._age.bound_seconds
        published, known = snapshot.configuration, self._routing_state.configuration
        self._in_force = (
            published is not None
            and known is not None
            and (published == known or published.version < known.version)
        )
        self._confirm(sent_at)

    def record_configuration(
        self, configuration: Configuration, sent_at: float
    ) -> None:
        """Store a configuration that was read by itself, before it is applied.

        One that is in force already is not the one that was to be read. The store may
        have been restored from a copy that lacks it.
        """
        if configuration != self._routing_state.configuration:
            self._read = configuration, sent_at

    def record_batch(self, batch: FactBatch, *, sent_at: float | None) -> None:
        """Confirm what changes prove, once they are applied.

        Parameters
        ----------
        batch : FactBatch
            Changes, of a response of the store or of another VM.
        sent_at : float or None
            When the call was sent, if the response was the store's.
        """
        if not self._age.is_bounded:
            return
        state, era = self._routing_state, batch.position.era
        for dated in batch.facts:
            if isinstance(dated.fact, ConfigurationPublished):
                published, known = dated.fact.configuration, state.configuration
                # An older version of the same era only arrives late. One of a later era
                # was published after a restore and can't become active.
                self._in_force = (
                    published is not None
                    and known is not None
                    and (
                        published == known
                        or (
                            published.version < known.version
                            and era <= state.configuration_era
                        )
                    )
                )
        read, self._read = self._read, None
        if read is not None and read[0] == state.configuration:
            self._confirm(read[1])
        if sent_at is not None:
            self._confirm(sent_at)

    def _confirm(self, sent_at: float) -> None:
        if self._in_force and sent_at >= self._settled_at:
            self._age.confirm(sent_at, source=STORE)
