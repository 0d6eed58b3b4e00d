"""Checks the platform's promises on what the callers and targets of a soak recorded."""

import math
from collections import defaultdict
from collections.abc import Iterable, Sequence

import msgspec

from pimentospool.soak._fault_plan import NODE_FAULTS, SoakFault
from pimentospool.soak._tenants import SoakTenants
from pimentospool.standins import (
    RETRY_BUDGET_EXTRA,
    RETRY_BUDGET_RATIO,
    RETRY_BUDGET_WINDOW_SECONDS,
    CallEnd,
    PlatformCall,
    ReceivedRequest,
)

LATENESS_TOLERANCE_SECONDS = 0.5
"""Time after a route's timeout by which a call must end (rules of the platform)."""
MIN_LATE_CALLS = 8
MAX_LATE_SHARE = 0.25
"""Share of the calls beyond the timeout that may exceed the tolerance too.

Both limits are rules of the platform: the promise is broken if at least
`MIN_LATE_CALLS` calls, and more than this share, exceed the tolerance.
"""
DISTURBED_AFTER_SECONDS = 6.0
"""Time after a fault in which it may still disturb its node.

It is a figure of the sites' data sheets.
"""


CONTACT_SECONDS = 5.0
"""Time after which a target's limit binds."""
DRAIN_SECONDS = 3.0
"""Time after which a node sends nothing more to a target that says that it leaves.

Both are figures of the sites' data sheets.
"""
LIMIT_WINDOW_SECONDS = 4.0
LIMIT_FACTOR = 1.5
LIMIT_EXTRA = 5
"""In a window, a target gets at most what its limit allows times this factor, and so
many requests more (rules of the platform)."""
EXCUSED_REQUESTS = 3
"""Requests in a window that a node which was paused or started may send beyond that;
the platform's rule excuses it altogether."""
STOPPING_FAULTS = frozenset(
    {SoakFault.NODE_PAUSED, SoakFault.NODE_KILLED, SoakFault.NODE_TERMINATED}
)


class SoakRoute(msgspec.Struct, kw_only=True, frozen=True):
    """A route on which a soak makes calls.

    `home_region` is the only region that may serve it, or empty if all may.
    """

    prefix: str
    method: str
    idempotent: bool
    timeout_seconds: float
    home_region: str = ""


class Arrival(msgspec.Struct, kw_only=True, frozen=True):
    """A request received by a target."""

    target: str
    region: str
    service: str
    request: ReceivedRequest


class Disturbance(msgspec.Struct, kw_only=True, frozen=True):
    """Period in which a fault was active; `node` is the number of the affected node."""

    fault: SoakFault
    node: int
    started_at: float
    ended_at: float


class TargetNotice(msgspec.Struct, kw_only=True, frozen=True):
    """What a target said of itself in its answers, in some period.

    `limit` is the requests per second that it took; without one it said that it leaves.
    `nodes` are the numbers of the nodes in its region.
    """

    target: str
    started_at: float
    ended_at: float
    nodes: frozenset[int]
    limit: float | None = None


class Violation(msgspec.Struct, kw_only=True, frozen=True):
    """A broken promise and the calls that show it."""

    promise: str
    detail: str


class SoakRecord(msgspec.Struct, kw_only=True):
    """Observations of a soak, from which the promises are checked."""

    calls: list[PlatformCall] = msgspec.field(default_factory=list)
    arrivals: list[Arrival] = msgspec.field(default_factory=list)
    disturbances: list[Disturbance] = msgspec.field(default_factory=list)
    notices: list[TargetNotice] = msgspec.field(default_factory=list)
    process_errors: list[str] = msgspec.field(default_factory=list)
    """Messages about processes that exited unexpectedly or did not stop on request."""
    unrecovered: list[str] = msgspec.field(default_factory=list)
    """Messages about nodes that did not serve requests after the last fault."""


class SoakChecker:
    """Checks every promise on the record of a soak.

    Parameters
    ----------
    routes : sequence of SoakRoute
        Routes of the calls.
    record : SoakRecord
        Observations of the soak.
    tenants : SoakTenants, optional
        Tenants of the configuration.
    """

    def __init__(
        self,
        *,
        routes: Sequence[SoakRoute],
        record: SoakRecord,
        tenants: SoakTenants | None = None,
    ) -> None:
        self._tenants = tenants
        self._routes = {route.prefix: route for route in routes}
        self._record = record
        self._calls = {call.id: call for call in record.calls}
        self._runs: dict[str, list[Arrival]] = defaultdict(list)
        for arrival in record.arrivals:
            if arrival.request.executed:
                self._runs[arrival.request.id].append(arrival)

    def check(self) -> list[Violation]:
        """Return the violations of every promise."""
        checks = {
            "runs at most once": self._repeated_runs(),
            "a refusal says the truth": self._false_refusals(),
            "a success is whole and the call's own": self._corrupt_successes(),
            "targets get what callers sent": self._altered_requests(),
            "a route with homes is served there": self._runs_outside_home_region(),
            "a calm node answers": self._unanswered_calls(),
            "answers come by the route's limit": self._late_calls(),
            "repeats stay within the budget": self._excess_retries(),
            "a limit that a target names is kept": self._excess_of_limits(),
            "a target that says it leaves is left": self._calls_of_leaving_targets(),
            "keys are checked and stay within": self._credential_faults(),
            "processes end only as asked": iter(self._record.process_errors),
            "all nodes serve after the last fault": iter(self._record.unrecovered),
        }
        return [
            Violation(promise=promise, detail=detail)
            for promise, details in checks.items()
            for detail in details
        ]

    def _route(self, call: PlatformCall) -> SoakRoute:
        return self._routes[f"/{call.path.split('/')[1]}/"]

    def _repeated_runs(self) -> Iterable[str]:
        for call in self._record.calls:
            runs = self._runs.get(call.id, [])
            if not self._route(call).idempotent and len(runs) > 1:
                yield f"{call.id} ran at {[run.target for run in runs]}"

    def _false_refusals(self) -> Iterable[str]:
        for call in self._record.calls:
            if call.refused and not self._route(call).idempotent:
                for run in self._runs.get(call.id, []):
                    yield f"{call.id}, answered {call.status}, ran at {run.target}"

    def _corrupt_successes(self) -> Iterable[str]:
        for call in self._record.calls:
            if not call.succeeded:
                continue
            corruption = self._find_corruption(call)
            if corruption:
                yield f"{call.id} {call.path}: {corruption}"

    def _find_corruption(self, call: PlatformCall) -> str:
        if call.response_request_id != call.id:
            return f"response belongs to request {call.response_request_id!r}"
        target = call.signing_target
        if not target:
            return "response has no valid seal of its target"
        expected = [
            run.request.expected_body
            for run in self._runs[call.id]
            if run.target == target
        ]
        return (
            "" if call.answer in expected else f"unexpected body {call.answer[:80]!r}"
        )

    def _altered_requests(self) -> Iterable[str]:
        for request_id, runs in self._runs.items():
            call = self._calls.get(request_id)
            for run in runs:
                req = run.request
                sent = call and (call.method, call.path, call.body)
                if sent != (req.method, req.path, req.body):
                    yield f"{request_id} at {run.target}: {req.method} {req.path}"

    def _runs_outside_home_region(self) -> Iterable[str]:
        for call in self._record.calls:
            home_region = self._route(call).home_region
            for run in self._runs.get(call.id, []):
                if home_region and run.region != home_region:
                    yield f"{call.id} ran at {run.target} in {run.region}"

    def _unanswered_calls(self) -> Iterable[str]:
        for call in self._record.calls:
            if call.end is CallEnd.ANSWERED or self._disturbed(call):
                continue
            if call.end is CallEnd.BROKEN and call.status == 200:
                # The target may have aborted its response itself.
                continue
            end = f"{call.end.value} {call.reason}"
            yield f"{call.id} {call.path} at node {call.node}: {end}"

    def _late_calls(self) -> Iterable[str]:
        lateness_by_call = [
            (call, _seconds(call) - self._route(call).timeout_seconds)
            for call in self._record.calls
            if not self._disturbed(call)
        ]
        overdue = [seconds for _, seconds in lateness_by_call if seconds > 0]
        late = [
            (call, seconds)
            for call, seconds in lateness_by_call
            if seconds > LATENESS_TOLERANCE_SECONDS
        ]
        if len(late) >= MIN_LATE_CALLS and len(late) > MAX_LATE_SHARE * len(overdue):
            yield ", ".join(
                f"{call.id} by {seconds:.2f} s" for call, seconds in late[:20]
            )

    def _disturbed(self, call: PlatformCall) -> bool:
        """Return whether a fault at the call's node may have caused its failure."""
        return any(
            item.fault in NODE_FAULTS
            and item.node == call.node
            and item.started_at <= call.ended_at
            and call.sent_at <= item.ended_at + DISTURBED_AFTER_SECONDS
            for item in self._record.disturbances
        )

    def _excess_retries(self) -> Iterable[str]:
        for service in sorted({arrival.service for arrival in self._record.arrivals}):
            yield from self._excess_retries_of(service)

    def _excess_retries_of(self, service: str) -> Iterable[str]:
        """Compare the retries in each window with the budget that requests give.

        The budget is that of the window itself, or of one that ended half a window or
        a whole window earlier, whichever is largest.
        """
        first_received_at: dict[str, float] = {}
        retry_times = []
        for arrival in sorted(
            self._record.arrivals, key=lambda item: item.request.received_at
        ):
            req = arrival.request
            if arrival.service != service or req.id not in self._calls:
                continue
            if req.id in first_received_at:
                retry_times.append(req.received_at)
            first_received_at.setdefault(req.id, req.received_at)
        sent_times = [
            self._calls[request_id].sent_at for request_id in first_received_at
        ]
        for end in retry_times:
            start = end - RETRY_BUDGET_WINDOW_SECONDS
            spent_retries = sum(start < at <= end for at in retry_times)
            request_count = max(
                sum(
                    start - shift_seconds < at <= end - shift_seconds
                    for at in sent_times
                )
                for shift_seconds in (
                    0,
                    RETRY_BUDGET_WINDOW_SECONDS / 2,
                    RETRY_BUDGET_WINDOW_SECONDS,
                )
            )
            if spent_retries > RETRY_BUDGET_RATIO * request_count + RETRY_BUDGET_EXTRA:
                yield f"{service}: {spent_retries} retries for {request_count} requests"
                return

    def _excess_of_limits(self) -> Iterable[str]:
        for notice in self._record.notices:
            if notice.limit is None:
                continue
            times = sorted(
                arrival.request.received_at
                for arrival in self._record.arrivals
                if arrival.target == notice.target
            )
            allowed = LIMIT_FACTOR * notice.limit * LIMIT_WINDOW_SECONDS + LIMIT_EXTRA
            for start in times:
                end = start + LIMIT_WINDOW_SECONDS
                if start < notice.started_at + CONTACT_SECONDS or end > notice.ended_at:
                    continue
                count = sum(start <= at < end for at in times)
                if count > allowed + EXCUSED_REQUESTS * self._stops(start, end):
                    yield f"{notice.target}: {count} requests in a window"
                    break

    def _calls_of_leaving_targets(self) -> Iterable[str]:
        for notice in self._record.notices:
            if notice.limit is not None:
                continue
            for node in notice.nodes:
                calls = [call for call in self._record.calls if call.node == node]
                told_at = min(
                    (
                        call.ended_at
                        for call in calls
                        if call.sent_at >= notice.started_at
                        and call.end is CallEnd.ANSWERED
                        and call.signing_target == notice.target
                    ),
                    default=math.inf,
                )
                for call in calls:
                    if (
                        call.sent_at > told_at + DRAIN_SECONDS
                        and not self._stops(told_at, call.ended_at, node=node)
                        and any(
                            run.target == notice.target
                            for run in self._runs.get(call.id, [])
                        )
                    ):
                        yield f"{call.id} at node {node} ran at {notice.target}"

    def _credential_faults(self) -> Iterable[str]:
        if self._tenants is not None:
            requests = [arrival.request for arrival in self._record.arrivals]
            yield from self._tenants.violations(self._calls, requests)

    def _stops(self, start: float, end: float, *, node: int | None = None) -> int:
        """Return how often nodes were paused or stopped shortly before or in a time."""
        return sum(
            item.fault in STOPPING_FAULTS
            and node in (None, item.node)
            and item.started_at <= end
            and start <= item.ended_at + DISTURBED_AFTER_SECONDS
            for item in self._record.disturbances
        )


def _seconds(call: PlatformCall) -> float:
    """Return the time until the node had answered a call.

    A node holds the answers that a soak reads slowly until they are whole.
    """
    return (call.slowly_read_from or call.ended_at) - call.sent_at
