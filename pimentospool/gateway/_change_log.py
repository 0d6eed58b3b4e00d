"""Recent changes of the published facts, for entry VMs that follow this one."""

from collections import deque

from pimentospool.gateway._facts import (
    ConfigurationPublished,
    DatedFact,
    FactBatch,
    FactPosition,
)

MAX_FACTS = 400
"""Number of changes that are kept; an entry VM that lacks more reads the source."""


class ChangeLog:
    """Changes since some position, and the position reached."""

    def __init__(self) -> None:
        self.position: FactPosition | None = None
        self._oldest: FactPosition | None = None
        """Position after which all changes are kept."""
        self._facts: deque[DatedFact] = deque()

    def restart(self, position: FactPosition) -> None:
        """Drop all changes; later ones follow `position`."""
        self.position = self._oldest = position
        self._facts.clear()

    def append(self, batch: FactBatch) -> None:
        """Add the changes of a batch that follows the current position."""
        for dated in batch.facts:
            if isinstance(dated.fact, ConfigurationPublished):
                self._drop_configurations()
            self._facts.append(dated)
        self.position = batch.position
        while len(self._facts) > MAX_FACTS:
            dropped = self._facts.popleft()
            self._oldest = FactPosition(batch.position.era, dropped.revision)

    def after(self, position: FactPosition) -> FactBatch | None:
        """Return the changes after `position`, None if they are not all kept."""
        if self.position is None or self._oldest is None:
            return None
        if position.era != self.position.era or position < self._oldest:
            return None
        facts = [dated for dated in self._facts if dated.revision > position.revision]
        return FactBatch(max(position, self.position), facts)

    def _drop_configurations(self) -> None:
        """Drop earlier configurations, which the next one replaces."""
        self._facts = deque(
            dated
            for dated in self._facts
            if not isinstance(dated.fact, ConfigurationPublished)
        )
