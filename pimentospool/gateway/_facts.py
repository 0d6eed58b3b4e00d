"""Published facts from which the routing state is built, and their source."""

from typing import Protocol

import msgspec

from pimentospool.errors import PimentospoolError
from pimentospool.gateway._model import Configuration, Registration
from pimentospool.ids import TargetId, ZoneId


class FactPosition(msgspec.Struct, array_like=True, frozen=True, order=True):
    """How far an entry VM has followed the source of its routing state."""

    era: int
    """Rises each time the source is restored from a copy."""
    revision: int


class TargetRegistered(msgspec.Struct, frozen=True, tag="registered"):
    """A target published its registration."""

    registration: Registration


class TargetDeregistered(msgspec.Struct, frozen=True, tag="deregistered"):
    """The registration of a target was removed."""

    target: TargetId
    may_have_expired: bool = False
    """Whether it may have expired while its target could not renew it."""


class TargetUnreadable(msgspec.Struct, frozen=True, tag="unreadable"):
    """The entry of a target was replaced by one that can't be read."""

    target: TargetId


class EvacuationChanged(msgspec.Struct, frozen=True, tag="evacuation"):
    """The evacuation of a zone began or ended."""

    zone: ZoneId
    evacuated: bool


class ConfigurationPublished(msgspec.Struct, frozen=True, tag="configuration"):
    """A configuration was published.

    Without a value, the receiver has to read it from the source.
    """

    configuration: Configuration | None


Fact = (
    TargetRegistered
    | TargetDeregistered
    | TargetUnreadable
    | EvacuationChanged
    | ConfigurationPublished
)


class DatedFact(msgspec.Struct, frozen=True):
    """A fact and the revision at which it was published."""

    revision: int
    fact: Fact


class FactBatch(msgspec.Struct, frozen=True):
    """All facts between two positions; `position` is the later one."""

    position: FactPosition
    facts: list[DatedFact]


class FactSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """All published facts at one position."""

    position: FactPosition
    configuration: Configuration | None
    registrations: list[Registration]
    evacuated: frozenset[ZoneId]
    unreadable: frozenset[TargetId] = frozenset()
    """Targets whose entries are there and can't be read."""


class SourceError(PimentospoolError):
    """The source could not be reached, or its response was not valid."""


class HistoryLostError(SourceError):
    """The source no longer has the changes since a position."""


class SourceRestoredError(SourceError):
    """The source was restored from a copy and is in a later era."""


class FactSource(Protocol):
    """Where published facts are read."""

    async def read_all(self, *, era: int) -> FactSnapshot:
        """Return all facts, of era `era` or a later one.

        Raises
        ------
        SourceError
            If they could not be read.
        """

    async def watch(self, after: FactPosition, *, hold_seconds: float) -> FactBatch:
        """Return the facts after a position, once there are any.

        Without changes, the batch is empty after `hold_seconds`.

        Raises
        ------
        HistoryLostError, SourceRestoredError
            If `read_all` has to be used.
        SourceError
            If they could not be read.
        """

    async def read_configuration(self) -> Configuration | None:
        """Return the published configuration, None if there is none.

        Raises
        ------
        SourceError
            If it could not be read.
        """

    async def close(self) -> None:
        """Close all connections."""
