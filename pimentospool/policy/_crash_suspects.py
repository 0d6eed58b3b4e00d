"""Finds what makes targets crash, and keeps it from them.

That is a part that many prompts share, or one request that comes again and again. A
target that crashes ends every request that it is serving, so one crash puts many under
suspicion. The cause is in crash after crash and is never answered. Entry VMs exchange
what they have seen, as each sees only the requests that it sent itself.
"""

import math
from collections.abc import Callable, Iterable

import msgspec

from pimentospool.ids import CrashKey, SuspectKey
from pimentospool.policy._crash_evidence import (
    CrashEvidence,
    RequestTraits,
    SuspectAge,
    SuspectKind,
    crash_key,
    suspect_kind,
)
from pimentospool.policy._crash_records import (
    CrashRecords,
    SeenCrash,
    to_ms,
    to_seconds,
)

MIN_STRIKES = 4
"""Crashes at different times, without an answer in between, after which a part may be
quarantined. A part that is seldom used meets fewer by chance while many targets crash
for other reasons. The platform's rule allows five."""
MIN_REQUEST_CRASHES = 3
"""Crashes under the same request, without an answer in between, after which it is
quarantined. Each is of another attempt to serve it, so few meet by chance."""
STRIKE_SEPARATION_SECONDS = 0.3
"""Crashes closer than this count once: they may have a common cause, such as a loss of
power, under which every prompt in progress fails at several targets."""
MIN_CRASH_SHARE = 0.75
MIN_REPEATED_CRASH_SHARE = 0.5
"""Share of all crashes since its first one above which a part is quarantined: with just
`MIN_STRIKES`, and with more. While targets crash for other reasons, seldom used parts
are in some of these crashes by chance."""
SURVIVAL_SECONDS = 0.25
"""Time from the first event of a response after which its target has survived it. The
crash follows within tens of milliseconds."""
TRIAL_AGES_SECONDS = (60.0, 180.0, 420.0, 900.0, 1860.0)
"""Ages of a quarantine at which one request is sent in the whole fleet, so that what
was quarantined wrongly, or whose targets were mended, returns."""
MAX_EARLY_STRIKES = 5
SHARING_SECONDS = 5.0
"""Crashes of a part, and time after them, that may pass until all entry VMs know it.
Each later crash before its quarantine stands for a trial."""
QUARANTINE_SECONDS = 3600.0
"""Age at which a quarantine ends. One more crash begins it again if there were crashes
in its trials, as these still count."""
MIN_CONCLUSIVE_STRIKES = 7
"""Crashes at different times, without an answer in between, after which a part is
quarantined whatever its share of all crashes. Targets may crash for other reasons more
often than the part comes. The platform's rule allows eight."""
MIN_EXPLAINED_SHARE = 0.5
"""Share of a part's crashes above which a part deeper in the prompts may be the cause
instead: the parts before it are in the same crashes."""
MIN_UNEXPLAINED_CRASHES = 2
"""Crashes of a part, without the request that was in most of them, from which on not
that request but the part may be the cause."""


class _Quarantine(msgspec.Struct, frozen=True):
    at: float
    depth: int


class CrashSuspects:
    """Parts and requests that are suspected of crashing targets, and quarantined ones.

    Parameters
    ----------
    clock : callable
        Returns a monotonic time in seconds.
    on_quarantine : callable
        Called with the kind and key of what is quarantined, and the number of its
        crashes.
    on_release : callable
        Called with the kind and key of what is no longer quarantined.
    """

    def __init__(
        self,
        *,
        clock: Callable[[], float],
        on_quarantine: Callable[[SuspectKind, SuspectKey, int], None] = (
            lambda kind, suspect, crashes: None
        ),
        on_release: Callable[[SuspectKind, SuspectKey], None] = (
            lambda kind, suspect: None
        ),
    ) -> None:
        self._clock = clock
        self._on_quarantine = on_quarantine
        self._on_release = on_release
        self._records = CrashRecords(clock=clock)
        self._quarantines: dict[SuspectKey, _Quarantine] = {}
        self._trials_made: dict[SuspectKey, int] = {}
        self._released_at: dict[SuspectKey, float] = {}
        """End of each quarantine that ended by its age."""

    def quarantined_count(self, kind: SuspectKind) -> int:
        """Return the number of parts or requests that are quarantined."""
        depths = [item.depth for item in self._quarantines.values()]
        return sum(suspect_kind(depth) is kind for depth in depths)

    def record_crash(self, start: str, requests: Iterable[RequestTraits]) -> None:
        """Record that a target crashed.

        Parameters
        ----------
        start : str
            Identifies one start of the target.
        requests : iterable of RequestTraits
            Requests that it had not answered.
        """
        crash = crash_key(start)
        self._records.add_crash(crash, self._clock())
        for request in requests:
            for suspect, depth in request.suspects:
                self._records.add(suspect, crash, SeenCrash(self._clock(), depth))
        self._evaluate()

    def record_survival(self, request: RequestTraits) -> None:
        """Record that a target has begun an answer and is still alive."""
        if not self._records and not self._quarantines:
            return
        for suspect, _ in request.suspects:
            self._survive(suspect, self._clock())

    def wait_seconds(
        self, request: RequestTraits, *, makes_trial: Callable[[str], bool]
    ) -> float | None:
        """Return the time until `request` may be sent, None if it may be now.

        Parameters
        ----------
        request : RequestTraits
            The request.
        makes_trial : callable
            Returns whether this entry VM makes the trial with the given name; exactly
            one of the fleet does.
        """
        if not self._quarantines:
            return None
        self._expire()
        waits = [
            wait_seconds
            for suspect, _ in request.suspects
            if (wait_seconds := self._wait_for(suspect, makes_trial)) is not None
        ]
        return max(waits, default=None)

    def evidence(self) -> CrashEvidence | None:
        """Return what other entry VMs should know, None if there is nothing."""
        self._expire()
        now = self._clock()
        latest = sorted(self._quarantines.items(), key=lambda item: -item[1].at)
        return self._records.message(
            [SuspectAge(key, to_ms(now - item.at), item.depth) for key, item in latest]
        )

    def merge(self, evidence: CrashEvidence) -> None:
        """Add the evidence of another entry VM."""
        now = self._clock()
        changed = False
        records = self._records
        for age in evidence.crashes:
            records.add_crash(age.crash, now - to_seconds(age.age_ms))
        for item in evidence.sightings:
            seen = SeenCrash(now - to_seconds(item.age_ms), item.depth)
            changed |= records.add(item.suspect, item.crash, seen)
        for quarantine in evidence.quarantines:
            self._merge_quarantine(quarantine)
        for survival in evidence.survivals:
            at = now - to_seconds(survival.age_ms)
            if records.is_news(survival.suspect, at):
                self._survive(survival.suspect, at)
        if changed:
            self._evaluate()

    # Quarantine.

    def _merge_quarantine(self, quarantine: SuspectAge) -> None:
        suspect, depth = quarantine.suspect, quarantine.depth
        now = self._clock()
        at = now - to_seconds(quarantine.age_ms)
        if (
            now - at >= QUARANTINE_SECONDS
            or at <= self._records.last_survival(suspect)
            or self._has_other_cause(suspect, depth)
        ):
            return
        known = self._quarantines.get(suspect)
        # A message arrives later than its ages say; the earliest time is exact.
        known_at = math.inf if known is None else known.at
        self._quarantines[suspect] = _Quarantine(min(at, known_at), depth)
        if known is None:
            # Those that knew of it earlier have made the trials that were due.
            self._trials_made[suspect] = _trials_due(now - at)
            self._on_quarantine(suspect_kind(depth), suspect, 0)

    def _wait_for(
        self, suspect: SuspectKey, makes_trial: Callable[[str], bool]
    ) -> float | None:
        quarantine = self._quarantines.get(suspect)
        if quarantine is None:
            return None
        age = self._clock() - quarantine.at
        due = _trials_due(age)
        made = max(
            self._trials_made.get(suspect, 0),
            _late_crashes(self._records.crashes(suspect)),
        )
        if due > made and makes_trial(f"{suspect}/{due}"):
            self._trials_made[suspect] = due
            return None
        ages = (*TRIAL_AGES_SECONDS, QUARANTINE_SECONDS)
        return ages[due] - age

    def _evaluate(self) -> None:
        """Quarantine what explains the crashes, the best explanation first."""
        self._expire()
        while True:
            by_parts = self._explained_by(SuspectKind.PART)
            by_requests = self._explained_by(SuspectKind.REQUEST)
            open_crashes = {
                suspect: found
                for suspect, crashes in self._records.suspects().items()
                if len(crashes) >= MIN_REQUEST_CRASHES
                and suspect not in self._quarantines
                and (found := self._open_crashes(suspect))
                and not self._has_other_cause(suspect, _depth(found))
            }
            parts, causes = {}, {}
            for suspect, found in open_crashes.items():
                if suspect_kind(_depth(found)) is SuspectKind.REQUEST:
                    rest = _without(found, by_requests)
                    if len(rest) >= MIN_REQUEST_CRASHES:
                        causes[suspect] = rest
                elif rest := _without(found, by_parts):
                    parts[suspect] = rest
            causes |= {
                part: found
                for part, found in parts.items()
                if self._explains_crashes(found, by_parts | by_requests)
                and not _has_deeper_part(found, parts)
                and not self._is_explained_by_a_request(found)
            }
            if not causes:
                break
            best = max(
                causes,
                key=lambda key: (len(causes[key]), _depth(causes[key]), key),
            )
            found = causes[best]
            depth = _depth(found)
            self._quarantines[best] = _Quarantine(self._clock(), depth)
            self._on_quarantine(suspect_kind(depth), best, len(found))
        for suspect, quarantine in list(self._quarantines.items()):
            if self._has_other_cause(suspect, quarantine.depth):
                self._release(suspect)

    def _explains_crashes(
        self, crashes: dict[CrashKey, SeenCrash], explained: frozenset[CrashKey]
    ) -> bool:
        """Whether a part that was in `crashes` is in most of the recent ones."""
        strikes = _strikes(crashes)
        if strikes < MIN_STRIKES:
            return False
        if strikes >= MIN_CONCLUSIVE_STRIKES:
            return True
        share = self._records.share_of_crashes(crashes, explained)
        repeated = strikes > MIN_STRIKES
        return share > (MIN_REPEATED_CRASH_SHARE if repeated else MIN_CRASH_SHARE)

    def _is_explained_by_a_request(self, crashes: dict[CrashKey, SeenCrash]) -> bool:
        """Whether one request that comes again was in almost all of `crashes`."""
        return any(
            suspect_kind(_depth(others)) is SuspectKind.REQUEST
            and len(crashes.keys() - others.keys()) < MIN_UNEXPLAINED_CRASHES
            for others in self._records.suspects().values()
        )

    def _explained_by(self, kind: SuspectKind) -> frozenset[CrashKey]:
        """Return the crashes that quarantined suspects of `kind` explain."""
        return frozenset(
            crash
            for suspect, quarantine in self._quarantines.items()
            if suspect_kind(quarantine.depth) is kind
            for crash in self._records.crashes(suspect)
        )

    def _has_other_cause(self, suspect: SuspectKey, depth: int) -> bool:
        """Whether other quarantined suspects explain the crashes of `suspect`.

        It may be quarantined before the reports on the actual cause have arrived.
        """
        if not self._quarantines:
            return False
        crashes = self._records.crashes(suspect)
        explained = frozenset(
            crash
            for other, quarantine in self._quarantines.items()
            if other != suspect
            and (len(others := self._records.crashes(other)), quarantine.depth)
            > (len(crashes), depth)
            for crash in others
        )
        rest = _without(crashes, explained)
        return len(rest) < len(crashes) and _strikes(rest) < MIN_STRIKES

    def _survive(self, suspect: SuspectKey, at: float) -> None:
        if not self._records.crashes(suspect) and suspect not in self._quarantines:
            return
        self._records.survive(suspect, at)
        quarantine = self._quarantines.get(suspect)
        if quarantine is not None and at > quarantine.at:
            self._release(suspect)

    def _release(self, suspect: SuspectKey) -> None:
        quarantine = self._quarantines.pop(suspect)
        self._trials_made.pop(suspect, None)
        self._on_release(suspect_kind(quarantine.depth), suspect)

    def _open_crashes(self, suspect: SuspectKey) -> dict[CrashKey, SeenCrash]:
        """Return the crashes of `suspect`, none after a quarantine without new ones."""
        crashes = self._records.crashes(suspect)
        released_at = self._released_at.get(suspect, -math.inf)
        is_new = any(seen.at > released_at for seen in crashes.values())
        return crashes if is_new else {}

    def _expire(self) -> None:
        if not self._records.expire():
            return
        now = self._clock()
        for suspect, quarantine in list(self._quarantines.items()):
            if now - quarantine.at >= QUARANTINE_SECONDS:
                self._released_at[suspect] = now
                self._release(suspect)
        for suspect in list(self._released_at):
            if not self._records.crashes(suspect):
                del self._released_at[suspect]


def _late_crashes(crashes: dict[CrashKey, SeenCrash]) -> int:
    """Return the number of `crashes` that all entry VMs could have prevented."""
    times = sorted(seen.at for seen in crashes.values())
    if len(times) <= MAX_EARLY_STRIKES:
        return 0
    known_at = times[MAX_EARLY_STRIKES - 1] + SHARING_SECONDS
    return sum(at > known_at for at in times)


def _trials_due(age_seconds: float) -> int:
    return sum(age_seconds >= trial_age for trial_age in TRIAL_AGES_SECONDS)


def _without(
    crashes: dict[CrashKey, SeenCrash], explained: frozenset[CrashKey]
) -> dict[CrashKey, SeenCrash]:
    return {crash: seen for crash, seen in crashes.items() if crash not in explained}


def _has_deeper_part(
    crashes: dict[CrashKey, SeenCrash],
    parts: dict[SuspectKey, dict[CrashKey, SeenCrash]],
) -> bool:
    """Whether most of `crashes` are also those of one part deeper in the prompts."""
    depth = _depth(crashes)
    return any(
        _depth(others) > depth
        and len(others.keys() & crashes.keys()) > MIN_EXPLAINED_SHARE * len(crashes)
        for others in parts.values()
    )


def _depth(crashes: dict[CrashKey, SeenCrash]) -> int:
    return max((seen.depth for seen in crashes.values()), default=0)


def _strikes(crashes: dict[CrashKey, SeenCrash]) -> int:
    """Return the number of crashes, where those close together count once."""
    strikes, last_at = 0, -math.inf
    for at in sorted(seen.at for seen in crashes.values()):
        if at - last_at >= STRIKE_SEPARATION_SECONDS:
            strikes, last_at = strikes + 1, at
    return strikes
