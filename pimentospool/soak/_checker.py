"""Judges a soak by what its callers and its targets saw."""

from collections import defaultdict
from collections.abc import Iterable, Sequence

import msgspec

from pimentospool.soak._fault_plan import OF_NODES, SoakFault
from pimentospool.standins import (
    REPEAT_RATIO,
    REPEAT_RESERVE,
    REPEAT_WINDOW_SECONDS,
    CallEnd,
    PlatformCall,
    ReceivedRequest,
)

LATE_SECONDS = 0.5
"""Time after a route's limit by which a call has its answer (rules of the platform)."""
LATE_CALLS = 8
LATE_SHARE = 0.25
"""Calls over the limit that may be later still (rules of the platform)."""
CONTACT_SECONDS = 6.0
"""Time after a fault for which its node counts as disturbed (sheets of the sites)."""


class SoakRoute(msgspec.Struct, kw_only=True, frozen=True):
    """A route on which a soak makes calls."""

    prefix: str
    method: str
    repeatable: bool
    limit_seconds: float
    home: str = ""


class Arrival(msgspec.Struct, kw_only=True, frozen=True):
    """A request as a target received it."""

    target: str
    region: str
    service: str
    request: ReceivedRequest


class Disturbance(msgspec.Struct, kw_only=True, frozen=True):
    """When and where a fault was in force; `place` is the number of the node."""

    fault: SoakFault
    place: int
    start: float
    end: float


class Violation(msgspec.Struct, kw_only=True, frozen=True):
    """A broken promise and the calls that show it."""

    promise: str
    detail: str


class SoakRecord(msgspec.Struct, kw_only=True):
    """All that was seen of a soak."""

    calls: list[PlatformCall] = msgspec.field(default_factory=list)
    arrivals: list[Arrival] = msgspec.field(default_factory=list)
    disturbances: list[Disturbance] = msgspec.field(default_factory=list)
    process_faults: list[str] = msgspec.field(default_factory=list)
    """Processes that ended by themselves or did not end as asked."""
    unrecovered: list[str] = msgspec.field(default_factory=list)
    """Nodes that did not serve after the last fault."""


class SoakJudge:
    """Checks every promise on a record.

    Parameters
    ----------
    routes : sequence of SoakRoute
        Routes of the calls.
    record : SoakRecord
        What was seen.
    """

    def __init__(self, *, routes: Sequence[SoakRoute], record: SoakRecord) -> None:
        self._routes = {route.prefix: route for route in routes}
        self._record = record
        self._calls = {call.id: call for call in record.calls}
        self._ran: dict[str, list[Arrival]] = defaultdict(list)
        for arrival in record.arrivals:
            if arrival.request.ran:
                self._ran[arrival.request.id].append(arrival)

    def judge(self) -> list[Violation]:
        """Return every broken promise."""
        checks = {
            "runs at most once": self._repeated_runs(),
            "a refusal says the truth": self._false_refusals(),
            "a success is whole and the call's own": self._spoiled_successes(),
            "targets get what callers sent": self._unasked(),
            "a route with homes is served there": self._away_from_home(),
            "a calm node answers": self._unanswered(),
            "answers come by the route's limit": self._late(),
            "repeats stay within the budget": self._excess_repeats(),
            "processes end only as asked": iter(self._record.process_faults),
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
            runs = self._ran.get(call.id, [])
            if not self._route(call).repeatable and len(runs) > 1:
                yield f"{call.id} ran at {[run.target for run in runs]}"

    def _false_refusals(self) -> Iterable[str]:
        for call in self._record.calls:
            if call.refused and not self._route(call).repeatable:
                for run in self._ran.get(call.id, []):
                    yield f"{call.id}, answered {call.status}, ran at {run.target}"

    def _spoiled_successes(self) -> Iterable[str]:
        for call in self._record.calls:
            if not call.succeeded:
                continue
            fault = self._find_spoiling(call)
            if fault:
                yield f"{call.id} {call.path}: {fault}"

    def _find_spoiling(self, call: PlatformCall) -> str:
        if call.answered_id != call.id:
            return f"answer of {call.answered_id!r}"
        target = call.sealed_target
        if not target:
            return "no proof of its target"
        sent = [run.request.whole for run in self._ran[call.id] if run.target == target]
        return "" if call.answer in sent else f"body {call.answer[:80]!r}"

    def _unasked(self) -> Iterable[str]:
        for request_id, runs in self._ran.items():
            call = self._calls.get(request_id)
            for run in runs:
                req = run.request
                sent = call and (call.method, call.path, call.body)
                if sent != (req.method, req.path, req.body):
                    yield f"{request_id} at {run.target}: {req.method} {req.path}"

    def _away_from_home(self) -> Iterable[str]:
        for call in self._record.calls:
            home = self._route(call).home
            for run in self._ran.get(call.id, []):
                if home and run.region != home:
                    yield f"{call.id} ran at {run.target} in {run.region}"

    def _unanswered(self) -> Iterable[str]:
        for call in self._record.calls:
            if call.end is CallEnd.ANSWERED or self._disturbed(call):
                continue
            if call.end is CallEnd.BROKEN and call.status == 200:
                # The target may itself have broken off its answer.
                continue
            end = f"{call.end.value} {call.reason}"
            yield f"{call.id} {call.path} at node {call.node}: {end}"

    def _late(self) -> Iterable[str]:
        due = [
            (call, call.ended_at - call.sent_at - self._route(call).limit_seconds)
            for call in self._record.calls
            if not self._disturbed(call)
        ]
        over = [late for _, late in due if late > 0]
        later = [(call, late) for call, late in due if late > LATE_SECONDS]
        if len(later) >= LATE_CALLS and len(later) > LATE_SHARE * len(over):
            yield ", ".join(f"{call.id} by {late:.2f} s" for call, late in later[:20])

    def _disturbed(self, call: PlatformCall) -> bool:
        """Return whether a fault at the call's node may explain its end."""
        return any(
            item.fault in OF_NODES
            and item.place == call.node
            and item.start <= call.ended_at
            and call.sent_at <= item.end + CONTACT_SECONDS
            for item in self._record.disturbances
        )

    def _excess_repeats(self) -> Iterable[str]:
        for service in sorted({arrival.service for arrival in self._record.arrivals}):
            yield from self._excess_of(service)

    def _excess_of(self, service: str) -> Iterable[str]:
        """Compare the repeats of each window with the requests of it and before."""
        first: dict[str, float] = {}
        repeats = []
        for arrival in sorted(self._record.arrivals, key=lambda item: item.request.at):
            req = arrival.request
            if arrival.service != service or req.id not in self._calls:
                continue
            if req.id in first:
                repeats.append(req.at)
            first.setdefault(req.id, req.at)
        sent = [self._calls[request_id].sent_at for request_id in first]
        for end in repeats:
            start = end - REPEAT_WINDOW_SECONDS
            spent = sum(start < at <= end for at in repeats)
            offered = max(
                sum(start - back < at <= end - back for at in sent)
                for back in (0, REPEAT_WINDOW_SECONDS / 2, REPEAT_WINDOW_SECONDS)
            )
            if spent > REPEAT_RATIO * offered + REPEAT_RESERVE:
                yield f"{service}: {spent} repeats beside {offered} requests"
                return
