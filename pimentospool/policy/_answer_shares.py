"""Shares of the memory for answers, by target and by service.

An answer that is held until it is whole counts in two shares from its first bytes until
it is whole. Beyond a share its answers are not refused, as sound ones are long, too:
the gateway stops reading them until there is room. The oldest one of a share always
goes on, so that they can't keep each other from being whole.
"""

from collections.abc import Callable
from typing import TypeAlias

from pimentospool.ids import EntryId, ServiceId, TargetId

TARGET_SHARE = 0.15
SERVICE_SHARE = 0.3
"""Shares of the limit on bytes in progress. Two services that have reached theirs leave
room for the requests of others."""
READ_BYTES = 64 * 1024
"""Bytes that an answer is expected to bring with the next read."""
FREE_BYTES = 64 * 1024
"""Bytes up to which an answer waits for no share: what a connection has brought with
its first read is held in any case."""

ShareKey: TypeAlias = tuple[ServiceId, TargetId | EntryId | None]


class _Share:
    def __init__(self, limit_bytes: float) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self.claims: dict[ShareClaim, None] = {}
        """Answers that hold bytes, the oldest first."""

    def has_room(self, claim: "ShareClaim", size_bytes: int) -> bool:
        if self.used_bytes + size_bytes <= self.limit_bytes:
            return True
        return next(iter(self.claims), claim) is claim


class ShareClaim:
    """What one answer holds of the shares of its target and its service.

    Parameters
    ----------
    shares : AnswerShares
        All shares.
    keys : tuple
        Keys of the shares, the target's first.
    """

    def __init__(self, *, shares: "AnswerShares", keys: tuple[ShareKey, ...]) -> None:
        self._shares = shares
        self._share_keys = keys
        self._keys: tuple[ShareKey, ...] = ()
        """Keys of the shares in which the answer counts; none if it is streamed."""
        self._held_bytes = 0
        self._promised_bytes = 0

    def enter(self) -> None:
        """Count the answer in its shares, as it is held until it is whole."""
        if not self._keys:
            self._keys = self._share_keys
            if self._held_bytes:
                self._count(self._held_bytes)

    def add(self, size_bytes: int) -> None:
        """Count bytes that the answer holds; they may exceed what it was promised."""
        self._count(size_bytes - self._promised_bytes)
        self._held_bytes += size_bytes
        self._promised_bytes = 0

    def remove(self, size_bytes: int) -> None:
        """Free bytes that the answer held."""
        self._held_bytes -= size_bytes
        if not self._keys:
            return
        for share in self._shares.find(self._keys):
            share.used_bytes -= size_bytes
        self._shares.wake()

    def ask(self, size_bytes: int = READ_BYTES) -> bool:
        """Return whether the answer may grow by so much; if so, promise it the room."""
        shares = self._shares.find(self._keys)
        more_bytes = size_bytes - self._promised_bytes
        if self._held_bytes + size_bytes > FREE_BYTES and more_bytes > 0:
            if not all(share.has_room(self, more_bytes) for share in shares):
                return False
            self._count(more_bytes)
            self._promised_bytes = size_bytes
        self._shares.waiting.pop(self, None)
        return True

    def _count(self, size_bytes: int) -> None:
        for share in self._shares.find(self._keys):
            share.claims[self] = None
            share.used_bytes += size_bytes

    def wait(self, on_turn: Callable[[], None], size_bytes: int = READ_BYTES) -> None:
        """Call `on_turn` as soon as `ask` returns True, unless the claim ends first."""
        self._shares.waiting[self] = (on_turn, size_bytes)

    @property
    def waits_for_others(self) -> bool:
        """Whether the answer waits though its own target's share has room."""
        if self not in self._shares.waiting:
            return False
        _, size_bytes = self._shares.waiting[self]
        (share,) = self._shares.find(self._keys[:1])
        return share.has_room(self, size_bytes)

    def end(self) -> None:
        """Free all; the answer is whole, or has failed."""
        if not self._keys:
            return
        for share in self._shares.find(self._keys):
            share.used_bytes -= self._held_bytes + self._promised_bytes
            share.claims.pop(self, None)
        self._shares.forget(self._keys)
        self._shares.waiting.pop(self, None)
        self._keys = self._share_keys = ()
        self._shares.wake()


class AnswerShares:
    """Shares of all targets and services that are answering.

    Parameters
    ----------
    limit_bytes : float
        Bytes that requests and answers may hold together.

    Attributes
    ----------
    waiting : dict
        Answers that are not read, what goes on reading, and the bytes that it needs.
    """

    def __init__(self, *, limit_bytes: float) -> None:
        self._limit_bytes = limit_bytes
        self._shares: dict[ShareKey, _Share] = {}
        self.waiting: dict[ShareClaim, tuple[Callable[[], None], int]] = {}

    def begin(self, service: ServiceId, source: TargetId | EntryId) -> ShareClaim:
        """Return the claim of an answer of `service` that `source` sends."""
        return ShareClaim(shares=self, keys=((service, source), (service, None)))

    def find(self, keys: tuple[ShareKey, ...]) -> list[_Share]:
        """Return the shares with `keys`, new ones if they don't exist."""
        for key in keys:
            if key not in self._shares:
                share = SERVICE_SHARE if key[1] is None else TARGET_SHARE
                self._shares[key] = _Share(share * self._limit_bytes)
        return [self._shares[key] for key in keys]

    def forget(self, keys: tuple[ShareKey, ...]) -> None:
        """Forget those shares with `keys` that are not used."""
        for key in keys:
            if key in self._shares and not self._shares[key].claims:
                del self._shares[key]

    def wake(self) -> None:
        """Let those answers go on, the longest waiting first, that have room now."""
        for claim, (on_turn, size_bytes) in list(self.waiting.items()):
            if claim.ask(size_bytes):
                on_turn()
