"""Errors of the client library; each carries the verdict of the call."""

from pimentospool.errors import PimentospoolError, Problem
from pimentospool.verdicts import Verdict


class ClientError(PimentospoolError):
    """A call that ended without its complete response.

    Parameters
    ----------
    detail : str
        What happened.
    verdict : Verdict
        Whether the call may have run, over all its attempts.
    """

    def __init__(self, *, detail: str, verdict: Verdict) -> None:
        super().__init__(f"{detail} ({verdict.value})")
        self.detail = detail
        self.verdict = verdict


class NoEntryError(ClientError):
    """No entry VM could be found or reached."""


class UnansweredError(ClientError):
    """The last attempt brought no response."""


class RefusedError(ClientError):
    """The gateway answered with a problem document.

    Parameters
    ----------
    problem : Problem
        The document; its verdict is that of the last attempt's ticket alone.
    verdict : Verdict
        Whether the call may have run, over all its attempts.
    """

    def __init__(self, *, problem: Problem, verdict: Verdict) -> None:
        super().__init__(detail=problem.detail, verdict=verdict)
        self.problem = problem


class BrokenStreamError(ClientError):
    """A streamed response that ended before its end event."""
