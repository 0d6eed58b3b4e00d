"""Proves that a target is still in the start that it registered.

A target may start again under its id and address with another software version, and
answer before its entry shows that. So a start is in doubt once all of its connections
were lost, until the target itself names it or the source still lists it some time
after the target was reached again. An entry VM that had no connection open learns of
no loss, so a stream goes on at a target only over connections to a proved start.
"""

import asyncio

from pimentospool.gateway._answer_streams import AnswerHead, EncodedRequest
from pimentospool.gateway._connection_pool import ConnectionPool
from pimentospool.gateway._dialect import TargetDialect
from pimentospool.gateway._model import Registration
from pimentospool.gateway._stream_origins import StreamOrigins
from pimentospool.log import Event, log_event
from pimentospool.targets import AttemptFailure
from pimentospool.tasks import timeout_after_read

REPORT_TIMEOUT_SECONDS = 0.2
"""Longest wait for a target's report on itself."""
MAX_REPORT_BYTES = 64 * 1024
"""Size above which a report is not read."""


class StartProofs:
    """Proofs of the starts of targets.

    Parameters
    ----------
    dialect : TargetDialect
        Encoding and reading of a target's report on itself.
    origins : StreamOrigins
        Reads the registrations.
    """

    def __init__(self, *, dialect: TargetDialect, origins: StreamOrigins) -> None:
        self._dialect = dialect
        self._origins = origins
        self._proofs: dict[ConnectionPool, asyncio.Task[None]] = {}

    async def prove(self, registration: Registration, pool: ConnectionPool) -> bool:
        """Return whether the target is in the start that it registered."""
        if pool.start_doubt.proved:
            return True
        proof = self._proofs.get(pool)
        if proof is None:
            if not pool.start_doubt.try_proof():
                return False
            proof = asyncio.create_task(self._prove(registration, pool))
            self._proofs[pool] = proof
            proof.add_done_callback(lambda _: self._proofs.pop(pool, None))
        await asyncio.shield(proof)
        return pool.start_doubt.proved

    async def _prove(self, registration: Registration, pool: ConnectionPool) -> None:
        doubt = pool.start_doubt
        losses = doubt.losses
        started_at = await self._read_start(registration, pool)
        evidence = "report"
        if started_at is None and doubt.registered_since:
            started_at = await self._origins.registered_start(registration)
            evidence = "source"
        proved = doubt.end(
            known=registration.started_at, shown=started_at, losses=losses
        )
        log_event(
            Event.TARGET_START_CHECKED,
            target=registration.id,
            proved=proved,
            evidence=None if started_at is None else evidence,
        )

    async def _read_start(
        self, registration: Registration, pool: ConnectionPool
    ) -> int | None:
        """Return the start that the target names, None if it names none."""
        try:
            async with timeout_after_read(REPORT_TIMEOUT_SECONDS):
                conn = await pool.acquire()
                try:
                    data = self._dialect.encode_report(registration)
                    stream = conn.send(EncodedRequest(data=data, accepts=_accept_any))
                    head = await stream.wait_head()
                    body = b""
                    while chunk := await stream.read():
                        body += chunk
                        if len(body) > MAX_REPORT_BYTES:
                            return None
                finally:
                    pool.release(conn)
        except (AttemptFailure, TimeoutError):
            return None
        return self._dialect.reported_start(head, body)


def _accept_any(head: AnswerHead) -> bool:
    return True
