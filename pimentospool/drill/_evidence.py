"""What a drill saw from outside the gateway; all times in seconds since the epoch."""

from enum import Enum

import msgspec

from pimentospool._generated.records import CallerRecord
from pimentospool._generated.scenario import FaultKind
from pimentospool.ids import EntryId, RegionId, RequestId, TargetId
from pimentospool.manifest import Manifest
from pimentospool.standins import Execution

MAX_VIOLATIONS = 20


class TargetExecution(msgspec.Struct, kw_only=True):
    """An execution and the target that recorded it."""

    target: TargetId
    execution: Execution


class HopSeen(msgspec.Struct, kw_only=True, frozen=True):
    """A request on its way from one entry VM to another."""

    request_id: RequestId
    source: EntryId
    destination: EntryId
    at: float


class RevisionSample(msgspec.Struct, kw_only=True):
    """What one entry VM answered about its configuration.

    `accepts_newest` tells whether it accepted a key that only the revision it
    names holds; None if that was not asked.
    """

    entry: EntryId
    at: float
    revision: int
    accepts_newest: bool | None = None


class Publication(msgspec.Struct, kw_only=True):
    """A revision that was published; a refused one must never be in force."""

    revision: int
    at: float
    acceptable: bool


class FaultWindow(msgspec.Struct, kw_only=True):
    """A failure that was brought about."""

    kind: FaultKind
    scenario: str
    start: float
    end: float
    region: RegionId
    other_region: RegionId | None = None
    entry: EntryId | None = None
    target: TargetId | None = None
    exit_code: int | None = None

    def covers(self, at: float) -> bool:
        """Return whether the failure held at `at`."""
        return self.start <= at <= self.end

    def describe(self) -> str:
        """Return the failure in words."""
        names = [self.region, self.other_region, self.entry, self.target]
        # The entry VM's or target's own name already says its region.
        shown = [self.entry or self.target] if self.entry or self.target else names
        return f"{self.kind.value} " + " - ".join(str(name) for name in shown if name)


class Evidence(msgspec.Struct, kw_only=True):
    """Everything that the promises are judged by.

    `executions_known` is False where no target handed over its record.
    """

    manifest: Manifest
    entry_regions: dict[EntryId, RegionId]
    records: list[CallerRecord] = msgspec.field(default_factory=list)
    executions: list[TargetExecution] = msgspec.field(default_factory=list)
    hops: list[HopSeen] = msgspec.field(default_factory=list)
    samples: list[RevisionSample] = msgspec.field(default_factory=list)
    publications: list[Publication] = msgspec.field(default_factory=list)
    faults: list[FaultWindow] = msgspec.field(default_factory=list)
    executions_known: bool = True


class Promise(Enum):
    """The promises that a drill judges; the value is shown to readers."""

    ALLOWED_REGIONS = "A request is never served outside its allowed regions"
    NO_LOOPS = "No request loops between regions or targets"
    ISOLATED_REGION = "An isolated region keeps serving its own callers"
    WHOLE_ANSWERS = "Each caller receives the whole answer to its own request"
    NOT_RUN_IS_TRUE = "A refusal that says not run is true"
    AT_MOST_ONCE = "A call that may not be repeated runs at most once"
    LEAVING_TARGET = "A leaving target gets no new work"
    GRACEFUL_SHUTDOWN = "A graceful shutdown cuts no request in progress"
    CONFIGURATION = "An accepted configuration is in force everywhere, never back"


class PromiseResult(msgspec.Struct, kw_only=True):
    """How often a promise was tried and broken."""

    promise: Promise
    bound: str
    tried: int = 0
    broken: int = 0
    violations: list[str] = msgspec.field(default_factory=list)

    def count(self, broken: bool, message: str) -> None:
        """Count one event, and keep the message of a broken one."""
        self.tried += 1
        if broken:
            self.broken += 1
            if len(self.violations) < MAX_VIOLATIONS:
                self.violations.append(message)

    @property
    def verdict(self) -> str:
        """``held``, ``broken`` or ``not tried``."""
        if self.broken:
            return "broken"
        return "held" if self.tried else "not tried"
