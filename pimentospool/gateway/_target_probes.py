"""Questions to targets about themselves: reports and health checks."""

from pimentospool.gateway._answer_streams import AnswerHead, EncodedRequest
from pimentospool.gateway._connections import Connection
from pimentospool.gateway._dialect import TargetDialect
from pimentospool.gateway._model import Registration, ServiceSpec
from pimentospool.targets import AttemptFailure
from pimentospool.tasks import timeout_after_read

REPORT_TIMEOUT_SECONDS = 10.0
"""Longest wait for a report. It holds a connection, and the source proves the start
sooner as a rule."""
MAX_REPORT_BYTES = 64 * 1024
"""Size above which a report is not read."""


async def read_reported_start(
    dialect: TargetDialect,
    registration: Registration,
    conn: Connection,
    *,
    timeout_seconds: float = REPORT_TIMEOUT_SECONDS,
) -> tuple[str, int | None]:
    """Return what came of a target's report on itself, and the start that it names.

    The start is None if the report didn't arrive or doesn't name it.
    """
    try:
        async with timeout_after_read(timeout_seconds):
            data = dialect.encode_report(registration)
            stream = conn.send(EncodedRequest(data=data, accepts=_accept_any))
            head = await stream.wait_head()
            body = b""
            while chunk := await stream.read():
                body += chunk
                if len(body) > MAX_REPORT_BYTES:
                    return "too long", None
    except TimeoutError:
        return "slow", None
    except AttemptFailure as exc:
        return exc.cause.value, None
    started_at = dialect.reported_start(head, body)
    return "without start" if started_at is None else "start", started_at


async def read_health(
    dialect: TargetDialect,
    registration: Registration,
    service: ServiceSpec,
    conn: Connection,
) -> AnswerHead:
    """Return the head of a target's response to a health check.

    Raises
    ------
    AttemptFailure
        If no complete response arrived.
    """
    data = dialect.encode_health(registration, service.health_path)
    stream = conn.send(EncodedRequest(data=data, accepts=_accept_any))
    head = await stream.wait_head()
    while await stream.read():
        pass
    return head


def _accept_any(head: AnswerHead) -> bool:
    return True
