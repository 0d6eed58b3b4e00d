"""What a drill observed outside the gateway; times in seconds since the epoch."""

from enum import Enum

import msgspec

from pimentospool._generated.records import CallerRecord
from pimentospool._generated.scenario import FaultKind
from pimentospool.ids import EntryId, RegionId, RequestId, TargetId
from pimentospool.manifest import Manifest
from pimentospool.standins import Execution

MAX_VIOLATION_MESSAGES = 20


class TargetExecution(msgspec.Struct, kw_only=True):
    """An execution, and the target that recorded it."""

    target: TargetId
    execution: Execution


class ObservedHop(msgspec.Struct, kw_only=True, frozen=True):
    """A request that one entry VM sent to another, as seen on the link."""

    request_id: RequestId
    source: EntryId
    destination: EntryId
    observed_at: float


class RevisionSample(msgspec.Struct, kw_only=True):
    """The active revision that one entry VM reported.

    `accepts_probe_key` tells whether it accepted the key of a customer that the
    reported revision added; None if no such key was sent.
    """

    entry: EntryId
    sampled_at: float
    revision: int
    accepts_probe_key: bool | None = None


class Publication(msgspec.Struct, kw_only=True):
    """A published revision; one that is not acceptable must never become active."""

    revision: int
    published_at: float
    acceptable: bool


class FaultWindow(msgspec.Struct, kw_only=True):
    """An injected or declared failure, and the time during which it was active."""

    kind: FaultKind
    scenario: str
    start: float
    end: float
    region: RegionId
    other_region: RegionId | None = None
    entry: EntryId | None = None
    target: TargetId | None = None
    exit_code: int | None = None

    def covers(self, time: float) -> bool:
        """Return whether the failure was active at `time`."""
        return self.start <= time <= self.end

    def describe(self) -> str:
        """Return the failure's kind and the names of what it affected."""
        names = [self.region, self.other_region, self.entry, self.target]
        # The name of an entry VM or target already contains its region.
        shown = [self.entry or self.target] if self.entry or self.target else names
        return f"{self.kind.value} " + " - ".join(str(name) for name in shown if name)


class Evidence(msgspec.Struct, kw_only=True):
    """Everything that the promises are checked against.

    `executions_known` is False if no executions recorded by targets are available.
    """

    manifest: Manifest
    entry_regions: dict[EntryId, RegionId]
    records: list[CallerRecord] = msgspec.field(default_factory=list)
    executions: list[TargetExecution] = msgspec.field(default_factory=list)
    hops: list[ObservedHop] = msgspec.field(default_factory=list)
    samples: list[RevisionSample] = msgspec.field(default_factory=list)
    publications: list[Publication] = msgspec.field(default_factory=list)
    faults: list[FaultWindow] = msgspec.field(default_factory=list)
    executions_known: bool = True


class Promise(Enum):
    """The promises that a drill checks; reports show the value."""

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
    """How many cases put a promise to the test, and how many broke it."""

    promise: Promise
    bound: str
    tried: int = 0
    broken: int = 0
    violations: list[str] = msgspec.field(default_factory=list)

    def count_case(self, broken: bool, message: str) -> None:
        """Count one case; keep `message` if it broke the promise.

        At most `MAX_VIOLATION_MESSAGES` messages are kept.
        """
        self.tried += 1
        if broken:
            self.broken += 1
            if len(self.violations) < MAX_VIOLATION_MESSAGES:
                self.violations.append(message)

    @property
    def verdict(self) -> str:
        """``held``, ``broken`` or ``not tried``."""
        if self.broken:
            return "broken"
        return "held" if self.tried else "not tried"
