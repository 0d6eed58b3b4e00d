"""What is known of crashes: which suspects were in them, and which survived since.

A crash stays recorded against a suspect until the suspect survives, however seldom it
comes. The number of suspects is limited; those with the least against them are dropped.
"""

import math
from collections.abc import Callable, Sequence
from typing import TypeVar

import msgspec

from pimentospool.ids import CrashKey, SuspectKey
from pimentospool.policy._crash_evidence import (
    CrashAge,
    CrashEvidence,
    Sighting,
    SuspectAge,
    SuspectKind,
    suspect_kind,
)

T = TypeVar("T")

PART_EVIDENCE_SECONDS = 3600.0
"""Age at which a crash no longer counts against a part that hasn't survived since. It
bounds how long what never comes again is kept."""
REQUEST_EVIDENCE_SECONDS = 300.0
"""The same for a request. Most requests never come again."""
NEWS_SECONDS = 30.0
"""Age up to which evidence is in each message. By then all entry VMs that can be
reached have heard of it; later messages are for those that have started since."""
REMINDER_INTERVAL_SECONDS = 2.0
"""Time between messages with older evidence."""
MIN_SURVIVAL_NEWS_SECONDS = 0.5
"""Time by which a survival reported by another entry VM is newer than the known one;
less may be the delay of the same report on its way back."""
EXPIRY_INTERVAL_SECONDS = 0.2
"""Time between searches for what has expired."""
MAX_SUSPECTS = 512
"""Limit on the suspects of each kind. A crash adds a request for each one that was in
progress, so that requests would displace parts under a common limit."""
KEPT_SUSPECT_SHARE = 0.75
"""Share of `MAX_SUSPECTS` that is kept once the limit is exceeded."""
MAX_SIGHTINGS_PER_SUSPECT = 16
MAX_CRASHES = 256
MAX_SURVIVALS = 512
MAX_SENT_SIGHTINGS = 36
MAX_SENT_LEADING_SIGHTINGS = 18
"""Sightings that one message holds, and how many of them are of the suspects with the
most crashes. The others take turns, as each may be the second crash that another entry
VM lacks."""
MAX_SENT_SIGHTINGS_PER_SUSPECT = 8
MAX_SENT_AGES = 20
"""Limits on what one message holds, so that it fits into a packet."""


class SeenCrash(msgspec.Struct, frozen=True):
    """A crash in which a suspect was seen."""

    at: float
    depth: int


class CrashRecords:
    """Crashes of targets, the suspects in them and the survivals of suspects.

    Parameters
    ----------
    clock : callable
        Returns a monotonic time in seconds.
    """

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._crash_times: dict[CrashKey, float] = {}
        self._crashes: dict[SuspectKey, dict[CrashKey, SeenCrash]] = {}
        """Crashes in which each suspect was seen since its last survival."""
        self._survived_at: dict[SuspectKey, float] = {}
        """Last survival of what was suspected or quarantined then."""
        self._counts = dict.fromkeys(SuspectKind, 0)
        """Number of suspects of each kind."""
        self._messages = 0
        self._reminded_at = -math.inf
        self._expired_at = -math.inf

    def __bool__(self) -> bool:
        return bool(self._crashes)

    def suspects(self) -> dict[SuspectKey, dict[CrashKey, SeenCrash]]:
        """Return the crashes of each suspect since its last survival; read only."""
        return self._crashes

    def crashes(self, suspect: SuspectKey) -> dict[CrashKey, SeenCrash]:
        """Return the crashes of `suspect` since its last survival; read only."""
        return self._crashes.get(suspect, {})

    def last_survival(self, suspect: SuspectKey) -> float:
        """Return when `suspect` survived last, -inf if that isn't known."""
        return self._survived_at.get(suspect, -math.inf)

    def add_crash(self, crash: CrashKey, at: float) -> None:
        """Record a crash, of whatever cause."""
        self._crash_times.setdefault(crash, at)
        if len(self._crash_times) > MAX_CRASHES:
            del self._crash_times[
                min(self._crash_times, key=self._crash_times.__getitem__)
            ]

    def add(self, suspect: SuspectKey, crash: CrashKey, seen: SeenCrash) -> bool:
        """Record that `suspect` was in a crash; return whether that is new."""
        crashes = self._crashes.get(suspect, {})
        is_old = self._clock() - seen.at >= _max_age_seconds(seen.depth)
        if crash in crashes or is_old or seen.at <= self.last_survival(suspect):
            return False
        # The crash counts also if the news of it come later or were lost.
        self.add_crash(crash, seen.at)
        if not crashes:
            self._crashes[suspect] = crashes
            self._counts[suspect_kind(seen.depth)] += 1
        crashes[crash] = seen
        if len(crashes) > MAX_SIGHTINGS_PER_SUSPECT:
            del crashes[min(crashes, key=lambda key: crashes[key].at)]
        if self._counts[suspect_kind(seen.depth)] > MAX_SUSPECTS:
            self._drop_weakest(suspect_kind(seen.depth))
        return True

    def survive(self, suspect: SuspectKey, at: float) -> None:
        """Record that a target survived `suspect`, which clears it until then."""
        self._survived_at[suspect] = max(at, self.last_survival(suspect))
        if len(self._survived_at) > MAX_SURVIVALS:
            del self._survived_at[
                min(self._survived_at, key=self._survived_at.__getitem__)
            ]
        self._keep(suspect, lambda seen: seen.at > at)

    def is_news(self, suspect: SuspectKey, survived_at: float) -> bool:
        """Whether a survival that another entry VM reports is newer than the known."""
        return survived_at > self.last_survival(suspect) + MIN_SURVIVAL_NEWS_SECONDS

    def share_of_crashes(
        self, crashes: dict[CrashKey, SeenCrash], explained: frozenset[CrashKey]
    ) -> float:
        """Return the share of `crashes` in all crashes since the first of them.

        Those that are explained by what is quarantined count only if they are in it.
        """
        known = crashes.keys() & self._crash_times.keys()
        first_at = min((self._crash_times[crash] for crash in known), default=math.inf)
        total = sum(
            at >= first_at and (crash in known or crash not in explained)
            for crash, at in self._crash_times.items()
        )
        return len(known) / max(1, total)

    def expire(self) -> bool:
        """Drop what is too old; return whether the search was due."""
        now = self._clock()
        if now - self._expired_at < EXPIRY_INTERVAL_SECONDS:
            return False
        self._expired_at = now
        oldest = now - PART_EVIDENCE_SECONDS
        for times in (self._crash_times, self._survived_at):
            for key in [key for key, at in times.items() if at <= oldest]:
                del times[key]  # type: ignore[arg-type]
        for suspect, crashes in list(self._crashes.items()):
            max_age = _max_age_seconds(_depth(crashes))
            self._keep(suspect, lambda seen, age=max_age: now - seen.at < age)  # type: ignore[misc]
        return True

    # Messages.

    def message(self, quarantines: Sequence[SuspectAge]) -> CrashEvidence | None:
        """Return what other entry VMs should know now, None if there is nothing.

        Parameters
        ----------
        quarantines : sequence of SuspectAge
            What is quarantined, the latest first.
        """
        now = self._clock()
        is_reminder = now - self._reminded_at >= REMINDER_INTERVAL_SECONDS
        if is_reminder:
            self._reminded_at = now
        since = -math.inf if is_reminder else now - NEWS_SECONDS
        evidence = CrashEvidence(
            crashes=[
                CrashAge(crash, to_ms(now - at))
                for crash, at in self._take_turns(self._crash_times, since)
            ],
            sightings=self._sightings(now, since),
            survivals=[
                SuspectAge(suspect, to_ms(now - at))
                for suspect, at in self._take_turns(self._survived_at, since)
            ],
            quarantines=self._rotate(
                [
                    item
                    for item in quarantines
                    if now - to_seconds(item.age_ms) >= since
                ],
                MAX_SENT_AGES,
            ),
        )
        if not any((evidence.crashes, evidence.survivals, evidence.quarantines)):
            return None
        self._messages += 1
        return evidence

    def _take_turns(self, times: dict[T, float], since: float) -> list[tuple[T, float]]:
        """Return the newest of `times` and, in turns, some of the others."""
        items = sorted(
            ((key, at) for key, at in times.items() if at >= since),
            key=lambda item: -item[1],
        )
        newest = items[: MAX_SENT_AGES // 2]
        return newest + self._rotate(
            items[MAX_SENT_AGES // 2 :], MAX_SENT_AGES - len(newest)
        )

    def _rotate(self, items: list[T], count: int) -> list[T]:
        """Return `count` of `items`, others in each message."""
        if len(items) <= count:
            return items
        first = self._messages * count % len(items)
        return (items[first:] + items[:first])[:count]

    def _sightings(self, now: float, since: float) -> list[Sighting]:
        """Return sightings of the suspects that were in a crash after `since`."""
        suspects = {
            suspect: crashes
            for suspect, crashes in self._crashes.items()
            if _last_at(crashes) >= since
            and (len(crashes) > 1 or _is_worth_sending(crashes, now))
        }
        leading: list[Sighting] = []
        others: list[Sighting] = []
        for suspect in sorted(
            suspects, key=lambda key: (-len(suspects[key]), -_depth(suspects[key]), key)
        ):
            newest = [
                Sighting(suspect, crash, seen.depth, to_ms(now - seen.at))
                for crash, seen in sorted(
                    suspects[suspect].items(), key=lambda item: -item[1].at
                )
            ][:MAX_SENT_SIGHTINGS_PER_SUSPECT]
            fits = len(leading) + len(newest) <= MAX_SENT_LEADING_SIGHTINGS
            (leading if fits else others).extend(newest)
        return leading + self._rotate(others, MAX_SENT_SIGHTINGS - len(leading))

    # Limits.

    def _keep(self, suspect: SuspectKey, keeps: Callable[[SeenCrash], bool]) -> None:
        """Drop the crashes of `suspect` that aren't kept."""
        crashes = self._crashes.get(suspect)
        if crashes is None:
            return
        kind = suspect_kind(_depth(crashes))
        for crash, seen in list(crashes.items()):
            if not keeps(seen):
                del crashes[crash]
        if not crashes:
            del self._crashes[suspect]
            self._counts[kind] -= 1

    def _drop_weakest(self, kind: SuspectKind) -> None:
        """Drop the suspects with the fewest and oldest crashes, several at once."""
        ranked = sorted(
            (
                (len(crashes), _last_at(crashes), suspect)
                for suspect, crashes in self._crashes.items()
                if suspect_kind(_depth(crashes)) is kind
            ),
            reverse=True,
        )
        for _, _, suspect in ranked[int(MAX_SUSPECTS * KEPT_SUSPECT_SHARE) :]:
            self._keep(suspect, lambda seen: False)


def _is_worth_sending(crashes: dict[CrashKey, SeenCrash], now: float) -> bool:
    """Whether one crash is news, or under a part; most requests never come again."""
    is_part = suspect_kind(_depth(crashes)) is SuspectKind.PART
    return is_part or now - _last_at(crashes) < NEWS_SECONDS


def _max_age_seconds(depth: int) -> float:
    is_part = suspect_kind(depth) is SuspectKind.PART
    return PART_EVIDENCE_SECONDS if is_part else REQUEST_EVIDENCE_SECONDS


def _depth(crashes: dict[CrashKey, SeenCrash]) -> int:
    return max((seen.depth for seen in crashes.values()), default=0)


def _last_at(crashes: dict[CrashKey, SeenCrash]) -> float:
    return max((seen.at for seen in crashes.values()), default=-math.inf)


def to_ms(seconds: float) -> int:
    """Return `seconds` in whole milliseconds."""
    return round(seconds * 1000)


def to_seconds(milliseconds: int) -> float:
    """Return an age of another entry VM in seconds, at least 0."""
    return max(0, milliseconds) / 1000
