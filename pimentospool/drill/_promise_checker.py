"""Checks the promises against what callers, targets and links recorded.

Nothing that the gateway says about itself is trusted: request ids serve only to match
the records of callers and targets, and bodies are matched by digest.
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
from pimentospool.drill._configuration import check_configuration
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

ISOLATION_DETECTION_SECONDS = 3.0
LEAVING_GRACE_SECONDS = 2.0
MAX_EXECUTIONS = 4
_ENTRY_LOSS_KINDS = (
    FaultKind.ENTRY_KILLED,
    FaultKind.ENTRY_PAUSED,
    FaultKind.REGION_LOST,
)
_PUBLICATION_KINDS = (FaultKind.MANIFEST_PUBLISHED, FaultKind.MANIFEST_REFUSED)


class PromiseChecker:
    """Checks every promise against the evidence of one drill.

    Parameters
    ----------
    evidence : Evidence
        What callers, targets, links and status pages showed.
    """

    def __init__(self, *, evidence: Evidence) -> None:
        self._evidence = evidence
        self._index = ManifestIndex(manifest=evidence.manifest)
        self._by_digest = {record.body_digest: record for record in evidence.records}
        self._by_request = {
            attempt.request_id: record
            for record in evidence.records
            for attempt in record.attempts
            if attempt.request_id
        }

    def results(self) -> list[PromiseResult]:
        """Return the result of every promise, in the order of `Promise`."""
        checks: list[tuple[Promise, str, Callable[[PromiseResult], None]]] = [
            (
                Promise.ALLOWED_REGIONS,
                "executions and hops of customers that not every region may serve",
                self._check_regions,
            ),
            (
                Promise.NO_LOOPS,
                "requests sent between entry VMs, and requests at targets",
                self._check_loops,
            ),
            (
                Promise.ISOLATED_REGION,
                "its callers' requests from "
                f"{ISOLATION_DETECTION_SECONDS:g} s after the cut",
                self._check_isolation,
            ),
            (
                Promise.WHOLE_ANSWERS,
                "requests that were answered, compared with the expected text",
                self._check_answers,
            ),
            (
                Promise.NOT_RUN_IS_TRUE,
                "refusals that say not run, against the targets' records",
                self._check_not_run,
            ),
            (
                Promise.AT_MOST_ONCE,
                "calls that may not be repeated, sent under a failure",
                self._check_at_most_once,
            ),
            (
                Promise.LEAVING_TARGET,
                f"work of its region from {LEAVING_GRACE_SECONDS:g} s after the VM "
                "list shows it as leaving",
                self._check_leaving,
            ),
            (
                Promise.GRACEFUL_SHUTDOWN,
                "requests in progress at SIGTERM, and the exit code",
                self._check_shutdown,
            ),
        ]
        results = []
        for promise, bound, check in checks:
            result = PromiseResult(promise=promise, bound=bound)
            check(result)
            results.append(result)
        return [*results, check_configuration(self._evidence)]

    def unmatched_executions(self) -> int:
        """Return how many executions match no caller's record."""
        return sum(self._record_of(item) is None for item in self._evidence.executions)

    def _check_regions(self, result: PromiseResult) -> None:
        everywhere = set(self._index.regions)
        for region, record, visit in self._regions_reached():
            allowed = set(self._index.customers[record.customer].allowed_regions)
            if allowed != everywhere:
                result.count_case(
                    region not in allowed,
                    f"{record.id} of {record.customer}: {visit} in {region}",
                )

    def _regions_reached(self) -> Iterator[tuple[RegionId, CallerRecord, str]]:
        """Yield each region that a request reached, its record and how it got there."""
        for item in self._evidence.executions:
            record = self._record_of(item)
            if record is not None:
                yield self._region_of(item), record, f"ran at {item.target}"
        for hop in self._evidence.hops:
            record = self._by_request.get(hop.request_id)
            if record is not None:
                region = self._evidence.entry_regions[hop.destination]
                yield region, record, f"was sent to {hop.destination}"

    def _check_loops(self, result: PromiseResult) -> None:
        hops: dict[str, list[tuple[str, str]]] = defaultdict(list)
        for hop in self._evidence.hops:
            hops[hop.request_id].append((hop.source, hop.destination))
        for request_id, edges in hops.items():
            received = {destination for _, destination in edges}
            forwarders = received & {source for source, _ in edges}
            message = f"{request_id} was sent on by {', '.join(sorted(forwarders))}"
            result.count_case(bool(forwarders), message)
        for request_id, targets in self._targets_by_request().items():
            path = [target for target, _ in groupby(targets)]
            returned = len(set(path)) < len(path)
            message = f"{request_id} ran at {', '.join(targets)}"
            result.count_case(returned or len(targets) > MAX_EXECUTIONS, message)

    def _targets_by_request(self) -> dict[str, list[TargetId]]:
        """Return the targets that started each request, in order of time.

        An execution that resumes a stream is not a start and is left out.
        """
        targets: dict[str, list[TargetId]] = defaultdict(list)
        for item in sorted(
            self._evidence.executions, key=lambda item: item.execution.at
        ):
            if not item.execution.first_token:
                targets[item.execution.request_id].append(item.target)
        return targets

    def _check_isolation(self, result: PromiseResult) -> None:
        for window in self._fault_windows(FaultKind.REGION_ISOLATED):
            for record in self._evidence.records:
                if not self._must_be_served(record, window):
                    continue
                message = f"{record.id} in {window.region}: {record.outcome.value}"
                if record.attempts:
                    message += f" ({record.attempts[-1].reason})"
                result.count_case(record.outcome is not CallOutcome.WHOLE, message)

    def _must_be_served(self, record: CallerRecord, window: FaultWindow) -> bool:
        """Return whether the isolated region of `window` had to serve the request."""
        is_after_detection = (
            record.intended_at >= window.start + ISOLATION_DETECTION_SECONDS
        )
        allowed = self._index.customers[record.customer].allowed_regions
        return (
            is_after_detection
            and record.intended_at <= window.end
            and record.region == window.region
            and window.region in allowed
            and not any(self._entry_was_lost(attempt) for attempt in record.attempts)
        )

    def _check_answers(self, result: PromiseResult) -> None:
        for record in self._evidence.records:
            if record.outcome in (CallOutcome.REFUSED, CallOutcome.UNREACHABLE):
                continue
            last = record.attempts[-1]
            is_cut = record.outcome is CallOutcome.BROKEN and not self._entry_was_lost(
                last
            )
            is_wrong = record.outcome is CallOutcome.WRONG
            message = f"{record.id} at {last.entry}: {record.outcome.value}"
            result.count_case(
                is_cut or is_wrong, f"{message} {last.status} {last.reason}"
            )

    def _entry_was_lost(self, attempt: AttemptRecord) -> bool:
        """Return whether the attempt's entry VM was lost during the attempt."""
        region = self._evidence.entry_regions.get(attempt.entry)
        return any(
            window.start <= attempt.ended_at and attempt.sent_at <= window.end
            for window in self._fault_windows(*_ENTRY_LOSS_KINDS)
            if window.entry == attempt.entry
            or (window.entry is None and window.region == region)
        )

    def _check_not_run(self, result: PromiseResult) -> None:
        if not self._evidence.executions_known:
            return
        by_request = Counter(
            item.execution.request_id for item in self._evidence.executions
        )
        by_digest = Counter(
            item.execution.body_digest for item in self._evidence.executions
        )
        for record in self._evidence.records:
            not_run = [item for item in record.attempts if _claims_not_run(item)]
            for attempt in not_run:
                did_run = (
                    bool(attempt.request_id) and by_request[attempt.request_id] > 0
                )
                result.count_case(did_run, f"{record.id}: {attempt.request_id} did run")
            unreachable = [
                item
                for item in record.attempts
                if item.outcome is CallOutcome.UNREACHABLE
            ]
            if not_run and len(not_run) + len(unreachable) == len(record.attempts):
                did_run = by_digest[record.body_digest] > 0
                result.count_case(did_run, f"{record.id}: its body did run")

    def _check_at_most_once(self, result: PromiseResult) -> None:
        if not self._evidence.executions_known:
            return
        executions = Counter(
            item.execution.body_digest for item in self._evidence.executions
        )
        for record in self._evidence.records:
            if record.kind is not CallKind.NON_IDEMPOTENT:
                continue
            count = executions[record.body_digest]
            if count > 1 or self._overlaps_failure(record):
                result.count_case(count > 1, f"{record.id} ran {count} times")

    def _overlaps_failure(self, record: CallerRecord) -> bool:
        return any(
            window.start <= record.ended_at and record.intended_at <= window.end
            for window in self._evidence.faults
            if window.kind not in _PUBLICATION_KINDS
        )

    def _check_leaving(self, result: PromiseResult) -> None:
        for window in self._fault_windows(FaultKind.TARGET_LEAVING):
            assert window.target is not None
            leaving_target = self._index.targets[window.target]
            for item in self._evidence.executions:
                check_from = window.start + LEAVING_GRACE_SECONDS
                if not check_from <= item.execution.at <= window.end:
                    continue
                if self._is_comparable(item, leaving_target.kind, window.region):
                    message = (
                        f"{item.execution.request_id} at {item.target}, "
                        f"{item.execution.at - window.start:.2f} s after it left"
                    )
                    result.count_case(item.target == window.target, message)

    def _is_comparable(
        self, item: TargetExecution, kind: TargetKind, region: RegionId
    ) -> bool:
        """Return whether a target of this kind and region ran the execution."""
        same_kind = self._index.targets[item.target].kind is kind
        return same_kind and self._region_of(item) == region

    def _check_shutdown(self, result: PromiseResult) -> None:
        interrupted = (CallOutcome.BROKEN, CallOutcome.WRONG)
        for window in self._fault_windows(FaultKind.ENTRY_REPLACED):
            for record in self._evidence.records:
                for attempt in record.attempts:
                    in_progress = attempt.sent_at < window.start < attempt.ended_at
                    if attempt.entry == window.entry and in_progress:
                        message = (
                            f"{record.id} at {window.entry}: "
                            f"{attempt.outcome.value} {attempt.reason}"
                        )
                        result.count_case(attempt.outcome in interrupted, message)
            if window.exit_code is not None:
                message = f"{window.entry} exited with {window.exit_code}"
                result.count_case(window.exit_code != 0, message)

    def _fault_windows(self, *kinds: FaultKind) -> list[FaultWindow]:
        return [window for window in self._evidence.faults if window.kind in kinds]

    def _region_of(self, item: TargetExecution) -> RegionId:
        return self._index.region_of(self._index.targets[item.target])

    def _record_of(self, item: TargetExecution) -> CallerRecord | None:
        return self._by_digest.get(item.execution.body_digest)


def all_held(results: Iterable[PromiseResult]) -> bool:
    """Return whether each promise was tried at least once and never broken."""
    return all(result.verdict == "held" for result in results)


def _claims_not_run(attempt: AttemptRecord) -> bool:
    refused = attempt.outcome is CallOutcome.REFUSED
    return refused and attempt.verdict == Verdict.NOT_RUN.value
