"""Whether an entry VM reaches the targets of its region, and which others do.

An entry VM that was cut off from all targets sees what it would see if all targets had
ended. What the other entry VMs of the region reach tells the two apart.
"""

import hashlib
import math
from collections.abc import Callable, Collection, Mapping, Sequence
from enum import Enum
from functools import lru_cache

from pimentospool.ids import MemberKey, ServiceId, TargetId

MIN_FAILED_TARGETS = 3
"""Targets that have to fail, or all of a region with fewer, before contact counts as
lost. A few that fail at the same time may have crashed."""
CONFIRMATION_SECONDS = 1.5
"""Time for which no target may be reached before contact counts as lost. All targets
may be silent for a second and go on."""
FAILURE_SECONDS = 4.0
"""Age at which a failure that hasn't come again says nothing."""
CONTACT_SECONDS = 3.0
"""Age of an answer up to which its service counts as reached."""
REPORT_SECONDS = 3.0
"""Age at which the report of another entry VM says nothing; it is repeated each second
while there is anything to report."""

REFUSAL_SECONDS = 1.0
"""Time for which an entry VM that refused a hop, as it reaches no target, gets no other
one. Its report comes within a second."""
MAX_REPORTED_SERVICES = 16
"""Limit on the services in a report, of which a datagram holds several."""
MIN_UNREACHABLE_TARGETS = 2
"""Targets that one request couldn't reach before it goes by a neighbour, instead of to
a further target here."""


class NeighbourUse(Enum):
    """Whether a request goes by another entry VM of the region."""

    NEVER = "never"
    WITHOUT_TARGET = "if there is no target to try here"
    INSTEAD = "instead of the targets here"


def neighbour_use(
    *, contact_lost: bool, all_targets_failed: bool, unreachable_targets: int
) -> NeighbourUse:
    """Return whether a request goes by a neighbour.

    Parameters
    ----------
    contact_lost : bool
        Whether this entry VM reaches no target of its region.
    all_targets_failed : bool
        Whether each target of the service is ejected, or the last connection to it
        failed.
    unreachable_targets : int
        Targets that couldn't be reached for this request.
    """
    if contact_lost or unreachable_targets >= MIN_UNREACHABLE_TARGETS:
        return NeighbourUse.INSTEAD
    return NeighbourUse.WITHOUT_TARGET if all_targets_failed else NeighbourUse.NEVER


class TargetContact:
    """Whether this entry VM reaches targets of its region.

    Connections that were opened before a cut may live on, so that only an answer on a
    connection that was opened after a failure speaks against it.

    Parameters
    ----------
    clock : callable
        Returns a monotonic time in seconds.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._failures: dict[TargetId, float] = {}
        """Last failure of each target that hasn't been reached since."""
        self._first_failure_at = math.inf
        self._answered_at: dict[ServiceId, float] = {}
        self._failed_at: dict[ServiceId, float] = {}

    def record_failure(self, target: TargetId, service: ServiceId) -> None:
        """Record that a target couldn't be reached or has gone silent."""
        now = self._clock()
        self._expire()
        if not self._failures:
            self._first_failure_at = now
        self._failures[target] = now
        self._failed_at[service] = now

    def record_answer(self, service: ServiceId, *, opened_at: float) -> None:
        """Record an answer on a connection that was opened at `opened_at`."""
        self._answered_at[service] = self._clock()
        self.record_opened(opened_at)

    def record_opened(self, opened_at: float) -> None:
        """Record that a connection that was opened at `opened_at` works."""
        for target, at in list(self._failures.items()):
            if at <= opened_at:
                del self._failures[target]
        self._first_failure_at = max(self._first_failure_at, opened_at)

    @property
    def suspected(self) -> bool:
        """Whether contact may have been lost, which a probe can refute."""
        self._expire()
        return len(self._failures) > 1

    def is_lost(self, targets: Collection[TargetId]) -> bool:
        """Whether none of `targets`, those of the region, can be reached from here."""
        self._expire()
        failed = sum(target in self._failures for target in targets)
        return (
            failed >= min(MIN_FAILED_TARGETS, max(2, len(targets)))
            and self._clock() - self._first_failure_at >= CONFIRMATION_SECONDS
        )

    def probe_order(self, targets: Collection[TargetId]) -> list[TargetId]:
        """Return `targets` in the order in which they are worth a probe."""
        return sorted(targets, key=lambda key: (self._failures.get(key, 0.0), key))

    def report(self) -> dict[int, bool]:
        """Return, by service key, whether its targets were reached recently."""
        now = self._clock()
        reached = {}
        for service in self._answered_at.keys() | self._failed_at.keys():
            answered_at = self._answered_at.get(service, -math.inf)
            failed_at = self._failed_at.get(service, -math.inf)
            if now - answered_at < CONTACT_SECONDS:
                reached[service_key(service)] = True
            elif now - failed_at < FAILURE_SECONDS:
                reached[service_key(service)] = False
        return dict(sorted(reached.items())[:MAX_REPORTED_SERVICES])

    def _expire(self) -> None:
        oldest = self._clock() - FAILURE_SECONDS
        for target, at in list(self._failures.items()):
            if at <= oldest:
                del self._failures[target]


class NeighbourContacts:
    """What other entry VMs report of their contact, or say as they refuse hops.

    Parameters
    ----------
    clock : callable
        Returns a monotonic time in seconds.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._reports: dict[MemberKey, tuple[float, Mapping[int, bool]]] = {}
        self._refused_at: dict[tuple[MemberKey, ServiceId], float] = {}

    def receive(self, member: MemberKey, reached: Mapping[int, bool]) -> None:
        """Store a report, which replaces the earlier one of the same entry VM."""
        if reached:
            self._reports[member] = (self._clock(), reached)
        else:
            self._reports.pop(member, None)

    def record_refusal(self, member: MemberKey, service: ServiceId) -> None:
        """Record that an entry VM refused a hop, as it reaches no target."""
        now = self._clock()
        self._refused_at = {
            key: at
            for key, at in self._refused_at.items()
            if now - at < REFUSAL_SECONDS
        }
        self._refused_at[member, service] = now

    def without_refusals(
        self, members: Sequence[MemberKey], service: ServiceId
    ) -> list[MemberKey]:
        """Return those of `members` that have refused no such hop just now."""
        oldest = self._clock() - REFUSAL_SECONDS
        return [
            member
            for member in members
            if self._refused_at.get((member, service), -math.inf) <= oldest
        ]

    def choose(
        self, members: Sequence[MemberKey], service: ServiceId, *, proven: bool
    ) -> list[MemberKey]:
        """Return those of `members` that can be asked for targets of `service`.

        Those that reach one; without any, and unless `proven` is wanted, those that
        report nothing, as they had no request to try.
        """
        oldest = self._clock() - REPORT_SECONDS
        reached, unknown = [], []
        for member in self.without_refusals(members, service):
            at, report = self._reports.get(member, (-math.inf, {}))
            state = report.get(service_key(service)) if at > oldest else None
            if state:
                reached.append(member)
            elif state is None and not (at > oldest and _reaches_nothing(report)):
                unknown.append(member)
        return reached or ([] if proven else unknown)

    def forget_all_but(self, members: Collection[MemberKey]) -> None:
        """Forget the reports of entry VMs that are gone."""
        for member in list(self._reports):
            if member not in members:
                del self._reports[member]


@lru_cache(maxsize=256)
def service_key(service: ServiceId) -> int:
    """Return the key of a service in reports, which are to stay short."""
    digest = hashlib.blake2b(service.encode(), digest_size=2).digest()
    return int.from_bytes(digest, "little")


def _reaches_nothing(report: Mapping[int, bool]) -> bool:
    return not any(report.values())
