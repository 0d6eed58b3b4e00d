"""Limit on the bytes that the requests and answers in progress may hold.

Requests are let in only below a share of the limit, so that answers still find room
when requests arrive faster than they end: a request that finds none is refused before
it runs, an answer that finds none is lost after it ran. What is let in is counted until
it is released. No request waits for room, as a wait would hold bytes itself; answers
wait unread for room in their shares.
"""

from collections.abc import Callable

from pimentospool.ids import EntryId, ServiceId, TargetId
from pimentospool.policy._answer_shares import READ_BYTES, AnswerShares, ShareClaim
from pimentospool.policy._head_budget import HEAD_SHARE, HeadBudget

MEGABYTE = 1_000_000
PROCESS_BYTES = 120 * MEGABYTE
"""Memory of the process without requests, with room for short-lived copies, socket
buffers and fragmentation. A process that knows a few targets holds 50 MB."""
MIN_SHARE = 0.4
"""Smallest share of the memory of the process that requests and answers may hold."""
BODY_SHARE = 0.6
"""Share of the limit up to which requests with a body are let in."""
BODILESS_SHARE = 0.8
"""The same for requests without a body, which would make little room."""
WHOLE_ANSWER_SHARE = 0.9
"""Share of the limit up to which answers grow that are held until they are whole. The
rest is for streams, which hold little."""
REQUEST_BYTES = 64 * 1024
"""Memory of a request beside its body and its answer: a thousand streams hold 31 to
33 MB, and the receive buffer of a connection to a target up to 32 KB."""

BUFFER_BYTES = 256 * 1024
"""Bytes of a body that wait at its connection to be read; a read takes as much."""


class MemoryHold:
    """Bytes that one owner holds; they are free again once all its users are done.

    Parameters
    ----------
    budget : MemoryBudget
        Budget that counts the bytes.
    limit_bytes : float
        Bytes in use of the whole budget up to which the hold may grow.
    """

    def __init__(self, *, budget: "MemoryBudget", limit_bytes: float) -> None:
        self._budget = budget
        self._limit_bytes = limit_bytes
        self._size_bytes = 0
        self._users = 1

    def grow(self, size_bytes: int) -> bool:
        """Count `size_bytes` more; return False, and count nothing, if they don't fit.

        A hold that has no users left counts nothing.
        """
        if not self._users:
            return True
        if self._budget.used_bytes + size_bytes > self._limit_bytes:
            return False
        self._budget.used_bytes += size_bytes
        self._size_bytes += size_bytes
        return True

    def shrink(self, size_bytes: int) -> None:
        """Free `size_bytes`, or all bytes that are held if they are fewer."""
        freed_bytes = min(size_bytes, self._size_bytes)
        self._size_bytes -= freed_bytes
        self._budget.used_bytes -= freed_bytes

    def share(self) -> None:
        """Add a user, who calls `release` once more."""
        self._users += 1

    def release(self) -> None:
        """Remove a user; the last one frees all bytes."""
        if not self._users:
            return
        self._users -= 1
        if not self._users:
            self.shrink(self._size_bytes)


class AnswerHold(MemoryHold):
    """Bytes that one answer holds, also counted in its shares until it is whole.

    Parameters
    ----------
    budget : MemoryBudget
        Budget that counts the bytes.
    limit_bytes : float
        Bytes in use of the whole budget up to which the hold may grow.
    claim : ShareClaim
        What it holds of its shares.
    """

    def __init__(
        self, *, budget: "MemoryBudget", limit_bytes: float, claim: ShareClaim
    ) -> None:
        super().__init__(budget=budget, limit_bytes=limit_bytes)
        self._claim = claim

    def grow(self, size_bytes: int) -> bool:
        """Count `size_bytes` more; return False, and count nothing, if they don't fit.

        Shares bound what is read, by `may_read`, not what has been read.
        """
        grown = super().grow(size_bytes)
        if grown and self._users:
            self._claim.add(size_bytes)
        return grown

    def shrink(self, size_bytes: int) -> None:
        """Free `size_bytes`, or all bytes that are held if they are fewer."""
        before_bytes = self._size_bytes
        super().shrink(size_bytes)
        self._claim.remove(before_bytes - self._size_bytes)

    def may_read(
        self, on_turn: Callable[[], None], size_bytes: int = READ_BYTES
    ) -> bool:
        """Return whether more of the answer may be read; if not, it waits.

        Parameters
        ----------
        on_turn : callable
            Called once, later, when it may be.
        size_bytes : int
            Bytes that will be held in addition.
        """
        if self._claim.ask(size_bytes):
            return True
        self._claim.wait(on_turn, size_bytes)
        return False

    def hold_whole(self) -> None:
        """Bound the answer as one that is held until it is whole."""
        self._limit_bytes = self._budget.limit_bytes * WHOLE_ANSWER_SHARE
        self._claim.enter()

    @property
    def waits_for_others(self) -> bool:
        """Whether it isn't read though its own target's share has room."""
        return self._claim.waits_for_others

    def become_whole(self) -> None:
        """Leave the shares: the answer only waits for its caller to take it."""
        self._claim.end()

    def release(self) -> None:
        """Remove a user; the last one frees all bytes."""
        if self._users == 1:
            self._claim.end()
        super().release()


class MemoryBudget:
    """Counts the bytes of requests and answers in progress against a limit.

    Parameters
    ----------
    process_bytes : float
        Memory that the process may use, infinite if it isn't known.

    Attributes
    ----------
    limit_bytes : float
        Bytes that requests and answers may hold together.
    used_bytes : int
        Bytes that they hold now.
    answer_shares : AnswerShares
        What answers of single targets and services hold of it.
    heads : HeadBudget
        What the heads of requests hold of it, beyond `REQUEST_BYTES`.
    """

    def __init__(self, *, process_bytes: float) -> None:
        self.limit_bytes = max(process_bytes - PROCESS_BYTES, process_bytes * MIN_SHARE)
        self.used_bytes = 0
        self.answer_shares = AnswerShares(limit_bytes=self.limit_bytes)
        self.heads = HeadBudget(
            limit_bytes=self.limit_bytes * HEAD_SHARE,
            hold=MemoryHold(budget=self, limit_bytes=self.limit_bytes * BODILESS_SHARE),
        )

    def begin_request(self, body_bytes: int | None) -> MemoryHold | None:
        """Return the hold of a request that arrives; None if it doesn't fit.

        Parameters
        ----------
        body_bytes : int or None
            Length of its body; None if it becomes known only as the body arrives, and
            the hold has to grow meanwhile.
        """
        has_body = body_bytes is None or body_bytes > 0
        share = BODY_SHARE if has_body else BODILESS_SHARE
        hold = MemoryHold(budget=self, limit_bytes=self.limit_bytes * share)
        if body_bytes is None:
            return hold if hold.grow(REQUEST_BYTES + BUFFER_BYTES) else None
        size_bytes = REQUEST_BYTES + body_bytes + min(body_bytes, BUFFER_BYTES)
        return hold if hold.grow(size_bytes) else None

    def begin_answer(
        self, *, is_stream: bool, service: ServiceId, source: TargetId | EntryId
    ) -> AnswerHold:
        """Return the hold of an answer, which grows as bytes of it arrive.

        Parameters
        ----------
        is_stream : bool
            Whether it is passed on as it arrives, not held until it is whole.
        service : ServiceId
            Service that answers.
        source : TargetId or EntryId
            Target, or entry VM of another region, that sends it.
        """
        hold = AnswerHold(
            budget=self,
            limit_bytes=self.limit_bytes,
            claim=self.answer_shares.begin(service, source),
        )
        if not is_stream:
            hold.hold_whole()
        return hold
