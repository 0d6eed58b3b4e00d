"""Tenants of a soak, their keys, and the check of what calls with keys led to."""

import random
import time
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

from pimentospool.standins import (
    CallEnd,
    PlatformCall,
    ReceivedRequest,
    platform_tenant,
)

REVOKE_SECONDS = 5.0
TENANT_BOUNDS: Mapping[str, Any] = {
    "StrictRevoke": True,
    "RevokeMs": REVOKE_SECONDS * 1000,
    "QuotaWindowS": 8,
    "QuotaOverage": 0.25,
    "QuotaSlack": 72_000,
}
_TOKENS_PER_SECOND = 10_000_000
"""Rate and burst of a tenant, far above the load of a soak, so that the share of one
node alone is enough."""
_TENANT_SEED_DIGITS = frozenset({0, 2, 5, 8})
"""Last digits of the seeds with tenants. Seeds kept in the tests before there were
tenants end in other digits, so that they still run the case that once failed."""
_WITHDRAWN_KEY = "soak-key-3"
_KEYS = {"soak-key-1": "alder", "soak-key-2": "birch", _WITHDRAWN_KEY: "birch"}
_UNKNOWN_KEYS = ("soak-key-unknown", "")
"""An empty key stands for a call without the header."""
_KEY_WEIGHTS = (8, 8, 3, 1, 1)
"""Few calls have the withdrawn or an unknown key, so that most still succeed."""
_EARLIEST_WITHDRAWAL, _LATEST_WITHDRAWAL = 0.2, 0.4
"""Parts of the soak's duration between which the key is withdrawn. At 12 s, at least
2 s remain after the bound."""
_KEY_HEADERS = ("x-credential", "pimentospool-credential")


class SoakTenants:
    """Two tenants and their keys; it draws from a generator of its own.

    Parameters
    ----------
    seed : int
        Seed of the soak.
    """

    def __init__(self, *, seed: int) -> None:
        self._rng = random.Random(f"tenants of {seed}")
        self.enabled = seed % 10 in _TENANT_SEED_DIGITS
        """Whether the configuration of the seed has tenants."""
        self.withdrawal_share = self._rng.uniform(
            _EARLIEST_WITHDRAWAL, _LATEST_WITHDRAWAL
        )
        """Part of the soak's duration after which the key is withdrawn."""
        self.withdrawn = False
        self.withdrawn_at: float | None = None
        """Monotonic time in seconds at which the store had acknowledged it."""

    def documents(self) -> list[dict[str, Any]]:
        """Return the tenants of the configuration at present."""
        if not self.enabled:
            return []
        return [
            platform_tenant(
                name,
                *(
                    key
                    for key, owner in _KEYS.items()
                    if owner == name and not (self.withdrawn and key == _WITHDRAWN_KEY)
                ),
                RatePerS=_TOKENS_PER_SECOND,
                Burst=_TOKENS_PER_SECOND,
            )
            for name in dict.fromkeys(_KEYS.values())
        ]

    def draw_key(self, *, valid: bool = False) -> str:
        """Return the key of a call; a valid one is known and stays so."""
        if not self.enabled:
            return ""
        keys = (*_KEYS, *_UNKNOWN_KEYS)
        count = list(_KEYS).index(_WITHDRAWN_KEY) if valid else len(keys)
        return self._rng.choices(keys[:count], _KEY_WEIGHTS[:count])[0]

    def record_withdrawal(self) -> None:
        """Record that the store has acknowledged the configuration without the key."""
        self.withdrawn_at = time.monotonic()

    def violations(
        self,
        calls: Mapping[str, PlatformCall],
        requests: Sequence[ReceivedRequest],
    ) -> Iterable[str]:
        """Compare the calls, by id, with the requests that targets received."""
        if not self.enabled:
            return
        for req in requests:
            leaked = [name for name in _KEY_HEADERS if name in req.headers]
            if leaked:
                yield f"{req.id} reached a target with {leaked}"
            call = calls.get(req.id)
            if call is None:
                continue
            tenant = _KEYS.get(call.credential)
            if tenant is None:
                yield f"{req.id} reached a target with an unknown key"
            elif req.headers.get("x-tenant") != tenant:
                yield f"{req.id} of {tenant} ran as {req.headers.get('x-tenant')!r}"
            if req.executed and self._sent_after_bound(call):
                yield f"{req.id}, sent {self._age(call):.2f} s after withdrawal, ran"
        for call in calls.values():
            if call.end is not CallEnd.ANSWERED:
                continue
            if call.credential not in _KEYS:
                if call.status not in (401, 503):
                    yield f"{call.id} with an unknown key was answered {call.status}"
            elif call.status == 401 and not self._may_be_withdrawn(call):
                yield f"{call.id} with a known key was answered 401"

    def _age(self, call: PlatformCall) -> float:
        return call.sent_at - (self.withdrawn_at or call.sent_at)

    def _sent_after_bound(self, call: PlatformCall) -> bool:
        return call.credential == _WITHDRAWN_KEY and self._age(call) > REVOKE_SECONDS

    def _may_be_withdrawn(self, call: PlatformCall) -> bool:
        return call.credential == _WITHDRAWN_KEY and self.withdrawn
