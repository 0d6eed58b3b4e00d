"""Problem documents (RFC 9457) as HTTP responses."""

import msgspec
from sanic import HTTPResponse
from sanic import Request as HttpRequest
from sanic.exceptions import SanicException

from pimentospool.callers._connections import HeadsRefusedError
from pimentospool.callers._parsing import OPERATION_HEADER
from pimentospool.callers._sinks import HttpSink
from pimentospool.errors import Reason, RequestFailure
from pimentospool.ids import RequestId
from pimentospool.log import Event, log_event
from pimentospool.operations import operation_failure
from pimentospool.targets import PROBLEM_TYPE, REQUEST_ID_HEADER, VERDICT_HEADER
from pimentospool.verdicts import Verdict

_UNPARSED_METHOD = "NONE"
"""Method that sanic gives to a request whose header it could not parse."""
HEADS_RETRY_AFTER_SECONDS = 1.0
"""Retry-After of requests whose heads find no memory; it is stated in whole seconds."""
_REASONS_BY_STATUS = {
    404: Reason.UNKNOWN_PATH,
    405: Reason.METHOD_NOT_ALLOWED,
    408: Reason.REQUEST_TIMEOUT,
    413: Reason.BODY_TOO_LARGE,
}


def problem_response(exc: RequestFailure, request_id: RequestId) -> HTTPResponse:
    """Return the problem document of `exc` as an HTTP response."""
    headers = {VERDICT_HEADER: exc.verdict.value, REQUEST_ID_HEADER: request_id}
    if exc.retry_after_seconds is not None:
        headers["Retry-After"] = str(max(1, round(exc.retry_after_seconds)))
    return HTTPResponse(
        msgspec.json.encode(exc.problem(request_id=request_id)),
        status=exc.reason.status,
        content_type=PROBLEM_TYPE,
        headers=headers,
    )


async def end_stream_with_error(
    sink: HttpSink, exc: RequestFailure, request_id: RequestId
) -> None:
    """End a partly sent stream with an error event instead of its end event."""
    problem = msgspec.json.encode(exc.problem(request_id=request_id))
    await sink.write(b"event: error\ndata: " + problem + b"\n\n")
    await sink.finish()


async def handle_error(http: HttpRequest, exc: Exception) -> HTTPResponse:
    """Return the response to a request that sanic refused or that raised an error."""
    return problem_response(
        failure_for_request(http, _failure_of_exception(http, exc)), RequestId("")
    )


def failure_for_request(http: HttpRequest, exc: RequestFailure) -> RequestFailure:
    """Return `exc` as it is reported to the sender of `http`.

    If the request names an operation, the verdict covers the whole operation.
    """
    return operation_failure(exc) if OPERATION_HEADER in http.headers else exc


def _failure_of_exception(http: HttpRequest, exc: Exception) -> RequestFailure:
    if isinstance(exc, HeadsRefusedError):
        log_event(Event.HEADS_REFUSED)
        return RequestFailure(
            reason=Reason.OVERLOADED,
            detail=str(exc),
            verdict=Verdict.NOT_RUN,
            retry_after_seconds=HEADS_RETRY_AFTER_SECONDS,
        )
    if not isinstance(exc, SanicException) or exc.status_code >= 500:
        log_event(Event.REQUEST_ERROR, error=repr(exc))
        return RequestFailure(
            reason=Reason.INTERNAL,
            detail="unexpected error in the gateway",
            verdict=Verdict.MAY_HAVE_RUN,
        )
    reason = _REASONS_BY_STATUS.get(exc.status_code, Reason.BAD_REQUEST)
    if reason is Reason.BODY_TOO_LARGE and http.method == _UNPARSED_METHOD:
        reason = Reason.HEADERS_TOO_LARGE
    return RequestFailure(reason=reason, detail=str(exc), verdict=Verdict.NOT_RUN)
