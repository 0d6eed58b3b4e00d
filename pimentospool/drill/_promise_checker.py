"""Judges the promises from what callers, targets and links saw.

Nothing here trusts the gateway: request ids only match records of both sides, and
bodies are matched by digest.
"""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Iterator
from itertools import groupby

from pimentospool._generated.records import (
    AttemptRecord,
    CallerRecord,
    CallKind,
    CallOutcome,
)
from pimentospool._generated.scenario import FaultKind
from pimentospool.drill._configuration import judge_configuration
from pimentospool.drill._evidence import (
    Evidence,
    FaultWindow,
    Promise,
    PromiseResult,
    TargetExecution,
)
from pimentospool.ids import RegionId, TargetId
from pimentospool.manifest import ManifestIndex, TargetKind
from pimentospool.verdicts import Verdict

DETECTION_SECONDS = 3.0
LEAVING_SECONDS = 2.0
MAX_RUNS = 4
_ENTRY_LOST = (
    FaultKind.ENTRY_KILLED,
    FaultKind.ENTRY_PAUSED,
    FaultKind.REGION_LOST,
)
_FAULTS_OF_ONE_MOMENT = (FaultKind.MANIFEST_PUBLISHED, FaultKind.MANIFEST_REFUSED)


class Judge:
    """Judges one body of evidence.

    Parameters
    ----------
    evidence : Evidence
        What was seen.
    """

    def __init__(self, *, evidence: Evidence) -> None:
        self._seen = evidence
        self._index = ManifestIndex(manifest=evidence.manifest)
        self._by_digest = {record.body_digest: record for record in evidence.records}
        self._by_request = {
            attempt.request_id: record
            for record in evidence.records
            for attempt in record.attempts
            if attempt.request_id
        }

    def results(self) -> list[PromiseResult]:
        """Return the result of every promise, in their order."""
        judged: list[tuple[Promise, str, Callable[[PromiseResult], None]]] = [
            (
                Promise.ALLOWED_REGIONS,
                "executions and hops of customers that not every region may serve",
                self._judge_regions,
            ),
            (
                Promise.NO_LOOPS,
                "requests sent between entry VMs, and requests at targets",
                self._judge_loops,
            ),
            (
                Promise.ISOLATED_REGION,
                f"its callers' requests from {DETECTION_SECONDS:g} s after the cut",
                self._judge_isolation,
            ),
            (
                Promise.WHOLE_ANSWERS,
                "requests that were answered, compared with the expected text",
                self._judge_answers,
            ),
            (
                Promise.NOT_RUN_IS_TRUE,
                "refusals that say not run, against the targets' records",
                self._judge_not_run,
            ),
            (
                Promise.AT_MOST_ONCE,
                "calls that may not be repeated, sent under a failure",
                self._judge_once,
            ),
            (
                Promise.LEAVING_TARGET,
                f"work of its region from {LEAVING_SECONDS:g} s after the VM list "
                "shows it as leaving",
                self._judge_leaving,
            ),
            (
                Promise.GRACEFUL_SHUTDOWN,
                "requests in progress at SIGTERM, and the exit code",
                self._judge_shutdown,
            ),
        ]
        results = []
        for promise, bound, judge in judged:
            result = PromiseResult(promise=promise, bound=bound)
            judge(result)
            results.append(result)
        return [*results, judge_configuration(self._seen)]

    def unmatched_executions(self) -> int:
        """Return how many executions belong to no caller's record."""
        return sum(self._record_of(item) is None for item in self._seen.executions)

    def _judge_regions(self, result: PromiseResult) -> None:
        everywhere = set(self._index.regions)
        for region, record, what in self._placements():
            allowed = set(self._index.customers[record.customer].allowed_regions)
            if allowed != everywhere:
                result.count(
                    region not in allowed,
                    f"{record.id} of {record.customer}: {what} in {region}",
                )

    def _placements(self) -> Iterator[tuple[RegionId, CallerRecord, str]]:
        for item in self._seen.executions:
            record = self._record_of(item)
            if record is not None:
                yield self._region_of(item), record, f"ran at {item.target}"
        for hop in self._seen.hops:
            record = self._by_request.get(hop.request_id)
            if record is not None:
                region = self._seen.entry_regions[hop.destination]
                yield region, record, f"was sent to {hop.destination}"

    def _judge_loops(self, result: PromiseResult) -> None:
        hops: dict[str, list[tuple[str, str]]] = defaultdict(list)
        for hop in self._seen.hops:
            hops[hop.request_id].append((hop.source, hop.destination))
        for request_id, edges in hops.items():
            received = {destination for _, destination in edges}
            again = received & {source for source, _ in edges}
            message = f"{request_id} was sent on by {', '.join(sorted(again))}"
            result.count(bool(again), message)
        for request_id, visits in self._visits().items():
            path = [target for target, _ in groupby(visits)]
            returned = len(set(path)) < len(path)
            message = f"{request_id} ran at {', '.join(visits)}"
            result.count(returned or len(visits) > MAX_RUNS, message)

    def _visits(self) -> dict[str, list[TargetId]]:
        """Return the targets that began each request, in order of time."""
        visits: dict[str, list[TargetId]] = defaultdict(list)
        for item in sorted(self._seen.executions, key=lambda item: item.execution.at):
            if not item.execution.first_token:
                visits[item.execution.request_id].append(item.target)
        return visits

    def _judge_isolation(self, result: PromiseResult) -> None:
        for window in self._windows(FaultKind.REGION_ISOLATED):
            for record in self._seen.records:
                if not self._is_own(record, window):
                    continue
                message = f"{record.id} in {window.region}: {record.outcome.value}"
                if record.attempts:
                    message += f" ({record.attempts[-1].reason})"
                result.count(record.outcome is not CallOutcome.WHOLE, message)

    def _is_own(self, record: CallerRecord, window: FaultWindow) -> bool:
        started = record.intended_at >= window.start + DETECTION_SECONDS
        allowed = self._index.customers[record.customer].allowed_regions
        return (
            started
            and record.intended_at <= window.end
            and record.region == window.region
            and window.region in allowed
            and not any(self._is_explained(attempt) for attempt in record.attempts)
        )

    def _judge_answers(self, result: PromiseResult) -> None:
        for record in self._seen.records:
            if record.outcome in (CallOutcome.REFUSED, CallOutcome.UNREACHABLE):
                continue
            last = record.attempts[-1]
            cut = record.outcome is CallOutcome.BROKEN and not self._is_explained(last)
            wrong = record.outcome is CallOutcome.WRONG
            message = f"{record.id} at {last.entry}: {record.outcome.value}"
            result.count(cut or wrong, f"{message} {last.status} {last.reason}")

    def _is_explained(self, attempt: AttemptRecord) -> bool:
        """Return whether the entry VM itself was lost during the attempt."""
        region = self._seen.entry_regions.get(attempt.entry)
        return any(
            window.start <= attempt.ended_at and attempt.sent_at <= window.end
            for window in self._windows(*_ENTRY_LOST)
            if window.entry == attempt.entry
            or (window.entry is None and window.region == region)
        )

    def _judge_not_run(self, result: PromiseResult) -> None:
        if not self._seen.executions_known:
            return
        by_request = Counter(
            item.execution.request_id for item in self._seen.executions
        )
        by_digest = Counter(
            item.execution.body_digest for item in self._seen.executions
        )
        for record in self._seen.records:
            denied = [item for item in record.attempts if _says_not_run(item)]
            for attempt in denied:
                ran = bool(attempt.request_id) and by_request[attempt.request_id] > 0
                result.count(ran, f"{record.id}: {attempt.request_id} did run")
            unsent = [
                item
                for item in record.attempts
                if item.outcome is CallOutcome.UNREACHABLE
            ]
            if denied and len(denied) + len(unsent) == len(record.attempts):
                ran = by_digest[record.body_digest] > 0
                result.count(ran, f"{record.id}: its body did run")

    def _judge_once(self, result: PromiseResult) -> None:
        if not self._seen.executions_known:
            return
        times = Counter(item.execution.body_digest for item in self._seen.executions)
        for record in self._seen.records:
            if record.kind is not CallKind.NON_IDEMPOTENT:
                continue
            ran = times[record.body_digest]
            if ran > 1 or self._is_under_failure(record):
                result.count(ran > 1, f"{record.id} ran {ran} times")

    def _is_under_failure(self, record: CallerRecord) -> bool:
        return any(
            window.start <= record.ended_at and record.intended_at <= window.end
            for window in self._seen.faults
            if window.kind not in _FAULTS_OF_ONE_MOMENT
        )

    def _judge_leaving(self, result: PromiseResult) -> None:
        for window in self._windows(FaultKind.TARGET_LEAVING):
            assert window.target is not None
            leaving = self._index.targets[window.target]
            for item in self._seen.executions:
                after = window.start + LEAVING_SECONDS
                if not after <= item.execution.at <= window.end:
                    continue
                if self._is_alike(item, leaving.kind, window.region):
                    message = (
                        f"{item.execution.request_id} at {item.target}, "
                        f"{item.execution.at - window.start:.2f} s after it left"
                    )
                    result.count(item.target == window.target, message)

    def _is_alike(
        self, item: TargetExecution, kind: TargetKind, region: RegionId
    ) -> bool:
        same_kind = self._index.targets[item.target].kind is kind
        return same_kind and self._region_of(item) == region

    def _judge_shutdown(self, result: PromiseResult) -> None:
        bad = (CallOutcome.BROKEN, CallOutcome.WRONG)
        for window in self._windows(FaultKind.ENTRY_REPLACED):
            for record in self._seen.records:
                for attempt in record.attempts:
                    in_progress = attempt.sent_at < window.start < attempt.ended_at
                    if attempt.entry == window.entry and in_progress:
                        message = (
                            f"{record.id} at {window.entry}: "
                            f"{attempt.outcome.value} {attempt.reason}"
                        )
                        result.count(attempt.outcome in bad, message)
            if window.exit_code is not None:
                message = f"{window.entry} exited with {window.exit_code}"
                result.count(window.exit_code != 0, message)

    def _windows(self, *kinds: FaultKind) -> list[FaultWindow]:
        return [window for window in self._seen.faults if window.kind in kinds]

    def _region_of(self, item: TargetExecution) -> RegionId:
        return self._index.region_of(self._index.targets[item.target])

    def _record_of(self, item: TargetExecution) -> CallerRecord | None:
        return self._by_digest.get(item.execution.body_digest)


def all_held(results: Iterable[PromiseResult]) -> bool:
    """Return whether every promise was tried and held."""
    return all(result.verdict == "held" for result in results)


def _says_not_run(attempt: AttemptRecord) -> bool:
    refused = attempt.outcome is CallOutcome.REFUSED
    return refused and attempt.verdict == Verdict.NOT_RUN.value
