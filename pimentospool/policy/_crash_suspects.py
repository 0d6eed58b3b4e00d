"""Finds the part of prompts under which targets crash, and keeps it from them.

A target that crashes ends every request that it is serving, so one crash puts many
parts under suspicion. The cause is in crash after crash and is never answered. Entry
VMs exchange what they have seen, as each sees only the requests that it sent itself.
"""

import hashlib
import math
from collections.abc import Callable, Iterable, Sequence
from functools import cached_property, lru_cache

import msgspec

from pimentospool.ids import CrashKey, PartKey

MIN_STRIKES = 4
"""Crashes at different times, without an answer in between, after which a part may be
quarantined. A part that is seldom used meets fewer by chance while many targets crash
for other reasons. The platform's rule allows five."""
STRIKE_SEPARATION_SECONDS = 0.3
"""Crashes closer than this count once: they may have a common cause, such as a loss of
power, under which every prompt in progress fails at several targets."""
MIN_CRASH_SHARE = 0.75
MIN_REPEATED_CRASH_SHARE = 0.5
"""Share of all crashes since its first one above which a part is quarantined: with just
`MIN_STRIKES`, and with more. While targets crash for other reasons, seldom used parts
are in some of these crashes by chance."""
EVIDENCE_SECONDS = 30.0
"""Age at which a crash no longer counts; targets are back within seconds."""
SURVIVAL_SECONDS = 0.25
"""Time from the first event of a response after which its target has survived it. The
crash follows within tens of milliseconds."""
MIN_SURVIVAL_NEWS_SECONDS = 0.5
"""Time by which a survival reported by another entry VM is newer than the known one;
less may be the delay of the same report on its way back."""
TRIAL_AGES_SECONDS = (60.0, 180.0, 420.0)
"""Ages of a quarantine at which one request is sent in the whole fleet, so that a part
that was quarantined wrongly, or whose targets were mended, returns."""
QUARANTINE_SECONDS = 900.0
"""Age at which a quarantine ends."""
MAX_SHARED_PARTS = 32
"""Parts of one prompt that are considered, from its start."""
MAX_SUSPECTED_PARTS = 512
MAX_SIGHTINGS_PER_PART = 16
"""Limits on what is kept; the parts with the fewest crashes are dropped."""
MAX_CRASHES = 256
MAX_SENT_SIGHTINGS = 40
MAX_SENT_SIGHTINGS_PER_PART = 8
MAX_SENT_AGES = 24
"""Limits on what one message holds, so that it fits into a packet."""
MIN_EXPLAINED_SHARE = 0.5
"""Share of a suspect's crashes above which a part deeper in the prompts may be the
cause instead: the parts before it are in the same crashes."""


class RequestTraits:
    """What may make a request crash targets: a part of its prompt, or its content.

    Parameters
    ----------
    parts : sequence of str
        Parts of the prompt that other requests share, in order.
    content : sequence of bytes
        What makes up the request and is the same when it comes again.
    """

    def __init__(
        self, *, parts: Sequence[str] = (), content: Sequence[bytes] = ()
    ) -> None:
        self.parts = parts
        self._content = content

    @cached_property
    def content_key(self) -> PartKey:
        """Key of the whole request."""
        digest = hashlib.blake2b(digest_size=4)
        for item in self._content:
            digest.update(b"%d:" % len(item) + item)
        return PartKey(int.from_bytes(digest.digest(), "little"))


class Sighting(msgspec.Struct, array_like=True, frozen=True):
    """A part in a prompt that was unanswered when its target crashed."""

    part: PartKey
    crash: CrashKey
    depth: int
    """Position of the part in the prompt; 0 is the first."""
    age_ms: int


class PartAge(msgspec.Struct, array_like=True, frozen=True):
    """Time since a target survived a part, or since a part was quarantined."""

    part: PartKey
    age_ms: int


class CrashAge(msgspec.Struct, array_like=True, frozen=True):
    """Time since a target crashed."""

    crash: CrashKey
    age_ms: int


class CrashEvidence(msgspec.Struct, array_like=True, frozen=True):
    """What one entry VM knows of crashes; ages are those at the time of sending."""

    crashes: list[CrashAge]
    sightings: list[Sighting]
    survivals: list[PartAge]
    quarantines: list[PartAge]


class _Crash(msgspec.Struct, frozen=True):
    at: float
    depth: int


class CrashSuspects:
    """Parts of prompts that are suspected of crashing targets, and quarantined ones.

    Parameters
    ----------
    clock : callable
        Returns a monotonic time in seconds.
    on_quarantine : callable
        Called with a part that is quarantined, and the number of its crashes.
    on_release : callable
        Called with a part whose quarantine ends.
    """

    def __init__(
        self,
        *,
        clock: Callable[[], float],
        on_quarantine: Callable[[PartKey, int], None] = lambda part, crashes: None,
        on_release: Callable[[PartKey], None] = lambda part: None,
    ) -> None:
        self._clock = clock
        self._on_quarantine = on_quarantine
        self._on_release = on_release
        self._crash_times: dict[CrashKey, float] = {}
        self._crashes: dict[PartKey, dict[CrashKey, _Crash]] = {}
        """Crashes in which each part was seen."""
        self._survived_at: dict[PartKey, float] = {}
        """Last survival of parts that were suspected or quarantined then."""
        self._quarantined_at: dict[PartKey, float] = {}
        self._trials_made: dict[PartKey, int] = {}

    @property
    def quarantined_count(self) -> int:
        """Number of parts that are quarantined."""
        return len(self._quarantined_at)

    def record_crash(self, start: str, prompts: Iterable[Sequence[str]]) -> None:
        """Record that a target crashed.

        Parameters
        ----------
        start : str
            Identifies one start of the target.
        prompts : iterable of sequences of str
            Shared parts of each prompt that it had not answered.
        """
        crash = CrashKey(_hash(start))
        self._add_crash(crash, self._clock())
        for parts in prompts:
            for depth, part in enumerate(parts[:MAX_SHARED_PARTS]):
                self._add(part_key(part), crash, _Crash(self._clock(), depth))
        self._evaluate()

    def record_survival(self, parts: Sequence[str]) -> None:
        """Record that a target has begun an answer to `parts` and is still alive."""
        if not self._crashes and not self._quarantined_at:
            return
        for part in parts[:MAX_SHARED_PARTS]:
            self._survive(part_key(part), self._clock())

    def wait_seconds(
        self, parts: Sequence[str], *, makes_trial: Callable[[str], bool]
    ) -> float | None:
        """Return the time until `parts` may be sent, None if they may be now.

        Parameters
        ----------
        parts : sequence of str
            Shared parts of the prompt.
        makes_trial : callable
            Returns whether this entry VM makes the trial with the given name; exactly
            one of the fleet does.
        """
        if not self._quarantined_at:
            return None
        self._expire()
        waits = [
            wait_seconds
            for part in parts[:MAX_SHARED_PARTS]
            if (wait_seconds := self._wait_for(part_key(part), makes_trial)) is not None
        ]
        return max(waits, default=None)

    def evidence(self) -> CrashEvidence | None:
        """Return what other entry VMs should know, None if there is nothing."""
        if not (self._crashes or self._quarantined_at or self._survived_at):
            return None
        self._expire()
        now = self._clock()
        suspects = {part: self._open_crashes(part) for part in self._crashes}
        sightings: list[Sighting] = []
        for part in sorted(suspects, key=lambda part: _weight(part, suspects[part])):
            if len(sightings) >= MAX_SENT_SIGHTINGS:
                break
            recent = sorted(suspects[part].items(), key=lambda item: -item[1].at)
            sightings += [
                Sighting(part, crash, seen.depth, _to_ms(now - seen.at))
                for crash, seen in recent[:MAX_SENT_SIGHTINGS_PER_PART]
            ]
        newest = sorted(self._crash_times.items(), key=lambda item: -item[1])
        return CrashEvidence(
            crashes=[
                CrashAge(crash, _to_ms(now - at))
                for crash, at in newest[:MAX_SENT_AGES]
            ],
            sightings=sightings[:MAX_SENT_SIGHTINGS],
            survivals=_newest(self._survived_at, now),
            quarantines=_newest(self._quarantined_at, now),
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
                changed |= self._add(item.part, item.crash, _Crash(at, item.depth))
        for quarantine in evidence.quarantines:
            at = now - _to_seconds(quarantine.age_ms)
            known_at = self._quarantined_at.get(quarantine.part, math.inf)
            if (
                now - at < QUARANTINE_SECONDS
                and at > self._last_survival(quarantine.part)
                and not self._has_other_cause(quarantine.part)
            ):
                # A message arrives later than its ages say; the earliest time is exact.
                self._quarantined_at[quarantine.part] = min(at, known_at)
                if known_at == math.inf:
                    self._on_quarantine(quarantine.part, 0)
        for survival in evidence.survivals:
            at = now - _to_seconds(survival.age_ms)
            if at > self._last_survival(survival.part) + MIN_SURVIVAL_NEWS_SECONDS:
                self._survive(survival.part, at)
        if changed:
            self._evaluate()

    # Quarantine.

    def _wait_for(
        self, part: PartKey, makes_trial: Callable[[str], bool]
    ) -> float | None:
        quarantined_at = self._quarantined_at.get(part)
        if quarantined_at is None:
            return None
        age = self._clock() - quarantined_at
        due = sum(age >= trial_age for trial_age in TRIAL_AGES_SECONDS)
        if due > self._trials_made.get(part, 0) and makes_trial(f"{part}/{due}"):
            self._trials_made[part] = due
            return None
        ages = (*TRIAL_AGES_SECONDS, QUARANTINE_SECONDS)
        return ages[due] - age

    def _evaluate(self) -> None:
        """Quarantine the parts that explain the crashes, the best explanation first."""
        self._expire()
        while True:
            explained = frozenset(
                crash
                for part in self._quarantined_at
                for crash in self._crashes.get(part, ())
            )
            suspects = {
                part: found
                for part in self._crashes
                if part not in self._quarantined_at
                and (found := self._open_crashes(part, explained))
            }
            causes = [
                part
                for part, found in suspects.items()
                if self._is_cause(found, explained)
                and not _has_deeper_suspect(found, suspects)
            ]
            if not causes:
                break
            part = max(causes, key=lambda part: (len(suspects[part]), part))
            self._quarantined_at[part] = self._clock()
            self._on_quarantine(part, len(suspects[part]))
        for part in list(self._quarantined_at):
            if self._has_other_cause(part):
                self._release(part)

    def _is_cause(
        self, crashes: dict[CrashKey, _Crash], explained: frozenset[CrashKey]
    ) -> bool:
        """Whether a part that was in `crashes` is taken for their cause."""
        strikes = _strikes(crashes)
        if strikes < MIN_STRIKES:
            return False
        share = len(crashes) / max(1, self._count_since(crashes, explained))
        repeated = strikes > MIN_STRIKES
        return share > (MIN_REPEATED_CRASH_SHARE if repeated else MIN_CRASH_SHARE)

    def _has_other_cause(self, part: PartKey) -> bool:
        """Whether another quarantined part explains the crashes of `part`.

        A part may be quarantined before the reports on the actual cause have arrived.
        """
        crashes = self._crashes.get(part, {})
        explained = {
            crash
            for other in self._quarantined_at
            if len(self._crashes.get(other, ())) > len(crashes)
            for crash in self._crashes[other]
        }
        rest = {
            crash: seen for crash, seen in crashes.items() if crash not in explained
        }
        return (
            bool(crashes) and _strikes(rest) < MIN_STRIKES and len(rest) < len(crashes)
        )

    def _survive(self, part: PartKey, at: float) -> None:
        if part not in self._crashes and part not in self._quarantined_at:
            return
        self._survived_at[part] = max(at, self._last_survival(part))
        if at > self._quarantined_at.get(part, math.inf):
            self._release(part)

    def _release(self, part: PartKey) -> None:
        del self._quarantined_at[part]
        self._trials_made.pop(part, None)
        self._on_release(part)

    # Evidence.

    def _add_crash(self, crash: CrashKey, at: float) -> None:
        self._crash_times.setdefault(crash, at)
        if len(self._crash_times) > MAX_CRASHES:
            del self._crash_times[
                min(self._crash_times, key=self._crash_times.__getitem__)
            ]

    def _count_since(
        self, crashes: dict[CrashKey, _Crash], explained: frozenset[CrashKey]
    ) -> int:
        """Return the number of unexplained crashes since the first of `crashes`."""
        first_at = min(self._crash_times.get(crash, math.inf) for crash in crashes)
        return sum(
            at >= first_at and crash not in explained
            for crash, at in self._crash_times.items()
        )

    def _add(self, part: PartKey, crash: CrashKey, seen: _Crash) -> bool:
        """Add a crash under `part`; return whether it is new."""
        crashes = self._crashes.setdefault(part, {})
        if crash in crashes:
            return False
        crashes[crash] = seen
        if len(crashes) > MAX_SIGHTINGS_PER_PART:
            del crashes[min(crashes, key=lambda key: crashes[key].at)]
        if len(self._crashes) > MAX_SUSPECTED_PARTS:
            del self._crashes[
                max(self._crashes, key=lambda part: _weight(part, self._crashes[part]))
            ]
        return True

    def _open_crashes(
        self, part: PartKey, explained: frozenset[CrashKey] = frozenset()
    ) -> dict[CrashKey, _Crash]:
        """Return the crashes since the last survival that nothing else explains."""
        survived_at = self._last_survival(part)
        return {
            crash: seen
            for crash, seen in self._crashes.get(part, {}).items()
            if seen.at > survived_at and crash not in explained
        }

    def _last_survival(self, part: PartKey) -> float:
        return self._survived_at.get(part, -math.inf)

    def _expire(self) -> None:
        now = self._clock()
        for crash, at in list(self._crash_times.items()):
            if now - at >= EVIDENCE_SECONDS:
                del self._crash_times[crash]
        for part, crashes in list(self._crashes.items()):
            for crash, seen in list(crashes.items()):
                if now - seen.at >= EVIDENCE_SECONDS:
                    del crashes[crash]
            if not crashes:
                del self._crashes[part]
        for part, at in list(self._quarantined_at.items()):
            if now - at >= QUARANTINE_SECONDS:
                self._release(part)
        for part, at in list(self._survived_at.items()):
            if now - at >= EVIDENCE_SECONDS and part not in self._quarantined_at:
                del self._survived_at[part]


@lru_cache(maxsize=4096)
def part_key(part: str) -> PartKey:
    """Return the key by which entry VMs name a part to each other."""
    return PartKey(_hash(part))


def _hash(text: str) -> int:
    digest = hashlib.blake2b(text.encode(errors="surrogateescape"), digest_size=4)
    return int.from_bytes(digest.digest(), "little")


def _has_deeper_suspect(
    crashes: dict[CrashKey, _Crash], suspects: dict[PartKey, dict[CrashKey, _Crash]]
) -> bool:
    """Whether most of `crashes` are also those of one part deeper in the prompts."""
    depth = _depth(crashes)
    return any(
        _depth(others) > depth
        and len(others.keys() & crashes.keys()) > MIN_EXPLAINED_SHARE * len(crashes)
        for others in suspects.values()
    )


def _depth(crashes: dict[CrashKey, _Crash]) -> int:
    return max((seen.depth for seen in crashes.values()), default=0)


def _weight(part: PartKey, crashes: dict[CrashKey, _Crash]) -> tuple[int, int, PartKey]:
    """Return a key that sorts the parts with the most crashes, then depth, first."""
    return -len(crashes), -_depth(crashes), part


def _strikes(crashes: dict[CrashKey, _Crash]) -> int:
    """Return the number of crashes, where those close together count once."""
    strikes, last_at = 0, -math.inf
    for at in sorted(seen.at for seen in crashes.values()):
        if at - last_at >= STRIKE_SEPARATION_SECONDS:
            strikes, last_at = strikes + 1, at
    return strikes


def _newest(times: dict[PartKey, float], now: float) -> list[PartAge]:
    newest = sorted(times.items(), key=lambda item: -item[1])[:MAX_SENT_AGES]
    return [PartAge(part, _to_ms(now - at)) for part, at in newest]


def _to_ms(seconds: float) -> int:
    return round(seconds * 1000)


def _to_seconds(milliseconds: int) -> float:
    return max(0, milliseconds) / 1000
