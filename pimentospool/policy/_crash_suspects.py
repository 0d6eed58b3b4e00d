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
    CrashAge,
    CrashEvidence,
    RequestTraits,
    Sighting,
    SuspectAge,
    SuspectKind,
    crash_key,
    suspect_kind,
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
EVIDENCE_SECONDS = 30.0
"""Age at which a crash no longer counts against a part, and is no longer reported;
targets are back within seconds."""
REQUEST_EVIDENCE_SECONDS = 300.0
"""Age at which a crash no longer counts against a request, which may come seldom."""
EXPIRY_INTERVAL_SECONDS = 0.2
"""Time between searches for what has expired."""
SURVIVAL_SECONDS = 0.25
"""Time from the first event of a response after which its target has survived it. The
crash follows within tens of milliseconds."""
MIN_SURVIVAL_NEWS_SECONDS = 0.5
"""Time by which a survival reported by another entry VM is newer than the known one;
less may be the delay of the same report on its way back."""
TRIAL_AGES_SECONDS = (60.0, 180.0, 420.0)
"""Ages of a quarantine at which one request is sent in the whole fleet, so that what
was quarantined wrongly, or whose targets were mended, returns."""
QUARANTINE_SECONDS = 900.0
"""Age at which a quarantine ends."""
MAX_SUSPECTS = 512
MAX_SIGHTINGS_PER_SUSPECT = 16
"""Limits on what is kept; the suspects with the fewest and oldest crashes are
dropped."""
MAX_CRASHES = 256
MAX_SENT_SIGHTINGS = 40
MAX_SENT_LEADING_SIGHTINGS = 20
"""Sightings that one message holds, and how many of them are of the suspects with the
most crashes. The others take turns, as each may be the second crash that another entry
VM lacks."""
MAX_SENT_SIGHTINGS_PER_SUSPECT = 8
MAX_SENT_AGES = 24
"""Limits on what one message holds, so that it fits into a packet."""
MIN_EXPLAINED_SHARE = 0.5
"""Share of a part's crashes above which a part deeper in the prompts may be the cause
instead: the parts before it are in the same crashes."""
MIN_UNEXPLAINED_CRASHES = 2
"""Crashes of a part, without the request that was in most of them, from which on not
that request but the part may be the cause."""


class _Crash(msgspec.Struct, frozen=True):
    at: float
    depth: int


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
        self._crash_times: dict[CrashKey, float] = {}
        self._crashes: dict[SuspectKey, dict[CrashKey, _Crash]] = {}
        """Crashes in which each suspect was seen."""
        self._survived_at: dict[SuspectKey, float] = {}
        """Last survival of what was suspected or quarantined then."""
        self._quarantines: dict[SuspectKey, _Quarantine] = {}
        self._trials_made: dict[SuspectKey, int] = {}
        self._messages = 0
        self._expired_at = -math.inf

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
        self._add_crash(crash, self._clock())
        for request in requests:
            for suspect, depth in request.suspects:
                self._add(suspect, crash, _Crash(self._clock(), depth))
        self._evaluate()

    def record_survival(self, request: RequestTraits) -> None:
        """Record that a target has begun an answer and is still alive."""
        if not self._crashes and not self._quarantines:
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
        if not (self._crash_times or self._quarantines or self._survived_at):
            return None
        now = self._clock()
        newest = sorted(self._crash_times.items(), key=lambda item: -item[1])
        return CrashEvidence(
            crashes=[
                CrashAge(crash, _to_ms(now - at))
                for crash, at in newest[:MAX_SENT_AGES]
            ],
            sightings=self._next_sightings(now),
            survivals=[
                SuspectAge(suspect, _to_ms(now - at))
                for suspect, at in sorted(
                    self._survived_at.items(), key=lambda item: -item[1]
                )[:MAX_SENT_AGES]
            ],
            quarantines=[
                SuspectAge(suspect, _to_ms(now - item.at), item.depth)
                for suspect, item in sorted(
                    self._quarantines.items(), key=lambda item: -item[1].at
                )[:MAX_SENT_AGES]
            ],
        )

    def merge(self, evidence: CrashEvidence) -> None:
        """Add the evidence of another entry VM."""
        now = self._clock()
        changed = False
        for age in evidence.crashes:
            self._add_crash(age.crash, now - _to_seconds(age.age_ms))
        for item in evidence.sightings:
            at = now - _to_seconds(item.age_ms)
            if now - at < EVIDENCE_SECONDS:
                changed |= self._add(item.suspect, item.crash, _Crash(at, item.depth))
        for quarantine in evidence.quarantines:
            self._merge_quarantine(quarantine)
        for survival in evidence.survivals:
            at = now - _to_seconds(survival.age_ms)
            if at > self._last_survival(survival.suspect) + MIN_SURVIVAL_NEWS_SECONDS:
                self._survive(survival.suspect, at)
        if changed:
            self._evaluate()

    # Quarantine.

    def _merge_quarantine(self, quarantine: SuspectAge) -> None:
        suspect, depth = quarantine.suspect, quarantine.depth
        now = self._clock()
        at = now - _to_seconds(quarantine.age_ms)
        if (
            now - at >= QUARANTINE_SECONDS
            or at <= self._last_survival(suspect)
            or self._has_other_cause(suspect, depth)
        ):
            return
        known = self._quarantines.get(suspect)
        # A message arrives later than its ages say; the earliest time is exact.
        known_at = math.inf if known is None else known.at
        self._quarantines[suspect] = _Quarantine(min(at, known_at), depth)
        if known is None:
            self._on_quarantine(suspect_kind(depth), suspect, 0)

    def _wait_for(
        self, suspect: SuspectKey, makes_trial: Callable[[str], bool]
    ) -> float | None:
        quarantine = self._quarantines.get(suspect)
        if quarantine is None:
            return None
        age = self._clock() - quarantine.at
        due = sum(age >= trial_age for trial_age in TRIAL_AGES_SECONDS)
        if due > self._trials_made.get(suspect, 0) and makes_trial(f"{suspect}/{due}"):
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
                for suspect, crashes in self._crashes.items()
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
        self, crashes: dict[CrashKey, _Crash], explained: frozenset[CrashKey]
    ) -> bool:
        """Whether a part that was in `crashes` is in most of the recent ones."""
        strikes = _strikes(crashes)
        if strikes < MIN_STRIKES:
            return False
        share = len(crashes) / max(1, self._count_since(crashes, explained))
        repeated = strikes > MIN_STRIKES
        return share > (MIN_REPEATED_CRASH_SHARE if repeated else MIN_CRASH_SHARE)

    def _is_explained_by_a_request(self, crashes: dict[CrashKey, _Crash]) -> bool:
        """Whether one request that comes again was in almost all of `crashes`."""
        return any(
            suspect_kind(_depth(others)) is SuspectKind.REQUEST
            and len(crashes.keys() - others.keys()) < MIN_UNEXPLAINED_CRASHES
            for others in self._crashes.values()
        )

    def _explained_by(self, kind: SuspectKind) -> frozenset[CrashKey]:
        """Return the crashes that quarantined suspects of `kind` explain."""
        return frozenset(
            crash
            for suspect, quarantine in self._quarantines.items()
            if suspect_kind(quarantine.depth) is kind
            for crash in self._crashes.get(suspect, ())
        )

    def _has_other_cause(self, suspect: SuspectKey, depth: int) -> bool:
        """Whether other quarantined suspects explain the crashes of `suspect`.

        It may be quarantined before the reports on the actual cause have arrived.
        """
        if not self._quarantines:
            return False
        crashes = self._crashes.get(suspect, {})
        explained = frozenset(
            crash
            for other, quarantine in self._quarantines.items()
            if other != suspect
            and (len(others := self._crashes.get(other, {})), quarantine.depth)
            > (len(crashes), depth)
            for crash in others
        )
        rest = _without(crashes, explained)
        return len(rest) < len(crashes) and _strikes(rest) < MIN_STRIKES

    def _survive(self, suspect: SuspectKey, at: float) -> None:
        if suspect not in self._crashes and suspect not in self._quarantines:
            return
        self._survived_at[suspect] = max(at, self._last_survival(suspect))
        crashes = self._crashes.get(suspect, {})
        for crash, seen in list(crashes.items()):
            if seen.at <= at:
                del crashes[crash]
        quarantine = self._quarantines.get(suspect)
        if quarantine is not None and at > quarantine.at:
            self._release(suspect)

    def _release(self, suspect: SuspectKey) -> None:
        quarantine = self._quarantines.pop(suspect)
        self._trials_made.pop(suspect, None)
        self._on_release(suspect_kind(quarantine.depth), suspect)

    # Evidence.

    def _next_sightings(self, now: float) -> list[Sighting]:
        """Return the sightings of the next message."""
        suspects = {suspect: self._open_crashes(suspect) for suspect in self._crashes}
        leading: list[Sighting] = []
        others: list[Sighting] = []
        for suspect in sorted(
            suspects, key=lambda key: (-len(suspects[key]), -_depth(suspects[key]), key)
        ):
            recent = [
                Sighting(suspect, crash, seen.depth, _to_ms(now - seen.at))
                for crash, seen in sorted(
                    suspects[suspect].items(), key=lambda item: -item[1].at
                )
                if now - seen.at < EVIDENCE_SECONDS
            ][:MAX_SENT_SIGHTINGS_PER_SUSPECT]
            fits = len(leading) + len(recent) <= MAX_SENT_LEADING_SIGHTINGS
            (leading if fits else others).extend(recent)
        if not others:
            return leading
        count = MAX_SENT_SIGHTINGS - len(leading)
        first = self._messages * count % len(others)
        self._messages += 1
        return leading + (others[first:] + others[:first])[:count]

    def _add_crash(self, crash: CrashKey, at: float) -> None:
        self._crash_times.setdefault(crash, at)
        if len(self._crash_times) > MAX_CRASHES:
            del self._crash_times[
                min(self._crash_times, key=self._crash_times.__getitem__)
            ]

    def _count_since(
        self, crashes: dict[CrashKey, _Crash], explained: frozenset[CrashKey]
    ) -> int:
        """Return the number of crashes since the first of `crashes`.

        Those that are explained by what is quarantined count only if they are in it.
        """
        first_at = min(self._crash_times.get(crash, math.inf) for crash in crashes)
        return sum(
            at >= first_at and (crash in crashes or crash not in explained)
            for crash, at in self._crash_times.items()
        )

    def _add(self, suspect: SuspectKey, crash: CrashKey, seen: _Crash) -> bool:
        """Add a crash under `suspect`; return whether it is new."""
        crashes = self._crashes.setdefault(suspect, {})
        if crash in crashes or seen.at <= self._last_survival(suspect):
            return False
        crashes[crash] = seen
        if len(crashes) > MAX_SIGHTINGS_PER_SUSPECT:
            del crashes[min(crashes, key=lambda key: crashes[key].at)]
        if len(self._crashes) > MAX_SUSPECTS:
            del self._crashes[
                min(
                    self._crashes,
                    key=lambda key: (
                        len(self._crashes[key]),
                        _last_at(self._crashes[key]),
                    ),
                )
            ]
        return True

    def _open_crashes(self, suspect: SuspectKey) -> dict[CrashKey, _Crash]:
        """Return the crashes of `suspect` since its last survival."""
        survived_at = self._last_survival(suspect)
        return {
            crash: seen
            for crash, seen in self._crashes.get(suspect, {}).items()
            if seen.at > survived_at
        }

    def _last_survival(self, suspect: SuspectKey) -> float:
        return self._survived_at.get(suspect, -math.inf)

    def _expire(self) -> None:
        now = self._clock()
        if now - self._expired_at < EXPIRY_INTERVAL_SECONDS:
            return
        self._expired_at = now
        for crash, at in list(self._crash_times.items()):
            if now - at >= EVIDENCE_SECONDS:
                del self._crash_times[crash]
        for suspect, crashes in list(self._crashes.items()):
            for crash, seen in list(crashes.items()):
                is_request = suspect_kind(seen.depth) is SuspectKind.REQUEST
                max_age = REQUEST_EVIDENCE_SECONDS if is_request else EVIDENCE_SECONDS
                if now - seen.at >= max_age:
                    del crashes[crash]
            if not crashes:
                del self._crashes[suspect]
        for suspect, quarantine in list(self._quarantines.items()):
            if now - quarantine.at >= QUARANTINE_SECONDS:
                self._release(suspect)
        for suspect, at in list(self._survived_at.items()):
            if now - at >= EVIDENCE_SECONDS and suspect not in self._quarantines:
                del self._survived_at[suspect]


def _without(
    crashes: dict[CrashKey, _Crash], explained: frozenset[CrashKey]
) -> dict[CrashKey, _Crash]:
    return {crash: seen for crash, seen in crashes.items() if crash not in explained}


def _has_deeper_part(
    crashes: dict[CrashKey, _Crash], parts: dict[SuspectKey, dict[CrashKey, _Crash]]
) -> bool:
    """Whether most of `crashes` are also those of one part deeper in the prompts."""
    depth = _depth(crashes)
    return any(
        _depth(others) > depth
        and len(others.keys() & crashes.keys()) > MIN_EXPLAINED_SHARE * len(crashes)
        for others in parts.values()
    )


def _depth(crashes: dict[CrashKey, _Crash]) -> int:
    return max((seen.depth for seen in crashes.values()), default=0)


def _last_at(crashes: dict[CrashKey, _Crash]) -> float:
    return max((seen.at for seen in crashes.values()), default=-math.inf)


def _strikes(crashes: dict[CrashKey, _Crash]) -> int:
    """Return the number of crashes, where those close together count once."""
    strikes, last_at = 0, -math.inf
    for at in sorted(seen.at for seen in crashes.values()):
        if at - last_at >= STRIKE_SEPARATION_SECONDS:
            strikes, last_at = strikes + 1, at
    return strikes


def _to_ms(seconds: float) -> int:
    return round(seconds * 1000)


def _to_seconds(milliseconds: int) -> float:
    return max(0, milliseconds) / 1000
