"""Proofs that a target is still in the start that it registered.

A target may start again under its id and address with another software version, and
answer before its entry shows that. A stream therefore goes on at a target only over
connections to a proved start. Two kinds of evidence prove one: the target names its
start in its report on itself, or the source still lists the start some time after a
connection was opened, by when a newer one would have registered.

A stream that begins doesn't wait for a proof: the version that began it is recorded
once the start is proved.

A proof goes on beside the requests that wait for it. One that takes longer than a
caller waits serves the next request.
"""

import asyncio
import contextlib
import math
from collections.abc import Callable, Sequence

import msgspec

from pimentospool.gateway._connection_pool import ConnectionPool
from pimentospool.gateway._connections import Connection
from pimentospool.gateway._dialect import TargetDialect
from pimentospool.gateway._model import Registration
from pimentospool.gateway._stream_origins import StreamOrigins
from pimentospool.gateway._target_probes import (
    REPORT_TIMEOUT_SECONDS,
    read_reported_start,
)
from pimentospool.log import Event, log_event
from pimentospool.policy import (
    MAX_STREAM_SECONDS,
    REGISTRATION_SECONDS,
    DoubtedStarts,
)
from pimentospool.targets import AttemptFailure
from pimentospool.tasks import cancel_tasks, timeout_after_read

SETTLE_INTERVAL_SECONDS = 0.5
"""Time between reads of the source that prove where streams began."""
MAX_BEGINNINGS = 10_000
"""Limit on the streams whose beginnings are to be proved, the newest ones."""
NEXT_PROOF_SECONDS = 0.2
"""Wait for the proof of one target before that of a further one begins, as reports are
priced. Most targets report within milliseconds."""


class ProofSubject(msgspec.Struct, frozen=True):
    """A start of a target and the connections to it."""

    registration: Registration
    pool: ConnectionPool

    @property
    def proved(self) -> bool:
        """Whether the open connections are known to be those of the start."""
        return self.pool.start_doubt.proved


class _Beginning(msgspec.Struct, frozen=True, eq=False):
    """A stream that has begun at a start which was not proved."""

    subject: ProofSubject
    losses: int
    began_at: float
    on_proved: Callable[[], None]


class StartProofs:
    """Proofs of the starts of targets.

    Parameters
    ----------
    dialect : TargetDialect
        Encoding and reading of a target's report on itself.
    origins : StreamOrigins
        Reads the registrations.
    doubted : DoubtedStarts
        Told the starts that are proved.
    """

    def __init__(
        self,
        *,
        dialect: TargetDialect,
        origins: StreamOrigins,
        doubted: DoubtedStarts,
    ) -> None:
        self._dialect = dialect
        self._origins = origins
        self._doubted = doubted
        self._proofs: dict[ConnectionPool, asyncio.Task[None]] = {}
        self._reports: set[asyncio.Task[tuple[str, int | None]]] = set()
        self._beginnings: list[_Beginning] = []
        self._settling: asyncio.Task[None] | None = None

    def begin(self, subject: ProofSubject) -> asyncio.Task[None] | None:
        """Return the proof that is in progress, a new one if there is none.

        It is None if the start is proved, or a proof has failed just now.
        """
        pool = subject.pool
        proof = self._proofs.get(pool)
        if proof is not None or subject.proved or not pool.start_doubt.try_proof():
            return proof
        proof = asyncio.create_task(self._prove(subject.registration, pool))
        self._proofs[pool] = proof
        proof.add_done_callback(lambda _: self._end_proof(pool))
        return proof

    def prove_beginning(
        self, subject: ProofSubject, on_proved: Callable[[], None]
    ) -> None:
        """Prove the start at which a stream begins now, without a wait for it.

        Besides a proof of the open connections, the source proves it later without
        them: a newer start would have registered by then.

        Parameters
        ----------
        subject : ProofSubject
            The start, and the pool of the connection on which the stream begins.
        on_proved : callable
            Called once it is proved; never if it can't be.
        """
        losses = subject.pool.start_doubt.losses
        now = asyncio.get_running_loop().time()
        self._beginnings.append(_Beginning(subject, losses, now, on_proved))
        del self._beginnings[:-MAX_BEGINNINGS]
        self.begin(subject)
        if self._settling is None:
            self._settling = asyncio.create_task(self._settle_beginnings())

    def _end_proof(self, pool: ConnectionPool) -> None:
        del self._proofs[pool]
        if pool.start_doubt.proved:
            losses = pool.start_doubt.losses
            self._settle(
                [
                    item
                    for item in self._beginnings
                    if item.subject.pool is pool and item.losses == losses
                ]
            )

    def _settle(self, proved: Sequence[_Beginning]) -> None:
        for item in proved:
            self._beginnings.remove(item)
            item.on_proved()

    def _drop(self, disproved: Sequence[_Beginning]) -> None:
        self._beginnings = [item for item in self._beginnings if item not in disproved]

    async def _settle_beginnings(self) -> None:
        """Prove by the source what no open connections have proved."""
        loop = asyncio.get_running_loop()
        try:
            while self._beginnings:
                await asyncio.sleep(SETTLE_INTERVAL_SECONDS)
                now = loop.time()
                self._beginnings = [
                    item
                    for item in self._beginnings
                    if now - item.began_at < MAX_STREAM_SECONDS
                ]
                due = [
                    item
                    for item in self._beginnings
                    if now - item.began_at >= REGISTRATION_SECONDS
                ]
                # One read serves all that ask for it at the same time.
                starts = await asyncio.gather(
                    *(
                        self._origins.registered_start(item.subject.registration)
                        for item in due
                    )
                )
                read = [
                    (item, started_at == item.subject.registration.started_at)
                    for item, started_at in zip(due, starts, strict=True)
                    if started_at is not None and item in self._beginnings
                ]
                self._settle([item for item, proved in read if proved])
                self._drop([item for item, proved in read if not proved])
        finally:
            self._settling = None

    async def wait(
        self, subjects: Sequence[ProofSubject], *, within_seconds: float
    ) -> bool:
        """Wait until one of the starts is proved; return whether one is.

        Parameters
        ----------
        subjects : sequence of ProofSubject
            Starts in the order in which their proofs begin.
        within_seconds : float
            Longest wait; the proofs go on after it.
        """
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + within_seconds
        proofs: list[asyncio.Task[None]] = []
        for number, subject in enumerate(subjects, 1):
            if any(item.proved for item in subjects):
                break
            proof = self.begin(subject)
            if proof is not None:
                proofs.append(proof)
            left_seconds = ends_at - loop.time()
            if number < len(subjects):
                left_seconds = min(NEXT_PROOF_SECONDS, left_seconds)
            await _wait_for_one(proofs, subjects, left_seconds)
        return any(item.proved for item in subjects)

    def due_seconds(self, subjects: Sequence[ProofSubject]) -> float:
        """Return the time until the source can prove one of the starts, or infinity."""
        return min(
            (item.pool.start_doubt.seconds_to_registered for item in subjects),
            default=math.inf,
        )

    async def close(self) -> None:
        """End the proofs that are in progress."""
        settling = [] if self._settling is None else [self._settling]
        await cancel_tasks([*self._proofs.values(), *self._reports, *settling])

    async def _prove(self, registration: Registration, pool: ConnectionPool) -> None:
        doubt = pool.start_doubt
        losses = doubt.losses
        doubts = self._doubted.open_doubts(registration.id)
        report, said = "unreachable", None
        source, listed = "not asked", None
        try:
            reading = self._begin_report(registration, pool, await pool.acquire())
        except AttemptFailure:
            pass
        else:
            report = "slow"
            wait_seconds = min(REPORT_TIMEOUT_SECONDS, doubt.seconds_to_registered)
            with contextlib.suppress(TimeoutError):
                async with timeout_after_read(wait_seconds):
                    await asyncio.wait([reading])
            if reading.done():
                report, said = reading.result()
            if said is None and doubt.losses == losses:
                await asyncio.sleep(doubt.seconds_to_registered)
            if said is None and doubt.losses == losses:
                listed = await self._origins.registered_start(registration)
                source = "unread" if listed is None else "start"
        known = registration.started_at
        if said not in (None, known):
            self._drop([item for item in self._beginnings if item.subject.pool is pool])
        proved = doubt.end(known=known, shown=said or listed, losses=losses)
        if proved:
            self._doubted.settle(registration.id, known, doubts)
        log_event(
            Event.TARGET_START_CHECKED,
            target=registration.id,
            proved=proved,
            report=report,
            source=source,
            lost_meanwhile=losses != doubt.losses,
        )

    def _begin_report(
        self, registration: Registration, pool: ConnectionPool, conn: Connection
    ) -> asyncio.Task[tuple[str, int | None]]:
        """Read a report on `conn`; its end is not awaited, so that `conn` stays open.

        It may be the only connection, with which the proof would end.
        """
        reading = asyncio.create_task(self._read_report(registration, pool, conn))
        self._reports.add(reading)
        reading.add_done_callback(self._reports.discard)
        return reading

    async def _read_report(
        self, registration: Registration, pool: ConnectionPool, conn: Connection
    ) -> tuple[str, int | None]:
        try:
            return await read_reported_start(self._dialect, registration, conn)
        finally:
            pool.release(conn)


async def _wait_for_one(
    proofs: Sequence[asyncio.Task[None]],
    subjects: Sequence[ProofSubject],
    seconds: float,
) -> None:
    """Wait until a start is proved, all proofs have ended, or the time is over."""
    with contextlib.suppress(TimeoutError):
        async with timeout_after_read(seconds):
            while not any(item.proved for item in subjects):
                pending = [proof for proof in proofs if not proof.done()]
                if not pending:
                    return
                await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
