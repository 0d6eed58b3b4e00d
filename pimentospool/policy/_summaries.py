"""What entry VMs of other regions say of their expected waits."""

import math

import msgspec

from pimentospool._generated.loads import PoolSummary, RegionSummary
from pimentospool.ids import EntryId, RegionId
from pimentospool.policy._health import Health

FRESH_SECONDS = 3.0
KEPT_SECONDS = 30.0
UNKNOWN_WAIT_MS = 250.0
SILENCE_MS_PER_SECOND = 100.0
RATE_SECONDS = 1.0
HIGHEST_UTILISATION = 0.95
BYTES_PER_TOKEN = 4
_BITS = 8


class _Received(msgspec.Struct):
    received_at: float
    hops_before: int
    summary: RegionSummary


class RegionWait(msgspec.Struct):
    """Expected wait of a request in another region, in milliseconds."""

    wait_ms: float
    in_flight: float
    slots: int
    heard: bool


class PoolRates(msgspec.Struct, kw_only=True, frozen=True):
    """Speeds of one target of a region, in tokens per second."""

    prefill: float = 4000.0
    decode: float = 25.0
    slots: int = 8


class RegionState:
    """What one entry VM knows of another region.

    Parameters
    ----------
    region : RegionId
        The other region.
    delay_ms : float
        One-way delay of the link.
    bandwidth_mbit : float
        Bandwidth of the link, shared by all traffic between the regions.
    cost : float
        Cost of one second of a target there.
    rates : PoolRates
        Speeds of its targets.
    """

    def __init__(
        self,
        *,
        region: RegionId,
        delay_ms: float,
        bandwidth_mbit: float,
        cost: float,
        rates: PoolRates,
    ) -> None:
        self.region = region
        self.cost = cost
        self.rates = rates
        self.health = Health()
        self.own = 0
        self._delay_ms = delay_ms
        self._bits_per_ms = bandwidth_mbit * 1000.0
        self._started = 0
        self._received: dict[EntryId, _Received] = {}
        self._bits_rate = 0.0
        self._rated_at = 0.0

    def declare(self, other: "RegionState") -> None:
        """Take over the declarations that `other` was made with."""
        self.cost = other.cost
        self.rates = other.rates
        self._delay_ms = other._delay_ms
        self._bits_per_ms = other._bits_per_ms

    @property
    def round_trip_ms(self) -> float:
        """Delay of the link in both directions."""
        return 2.0 * self._delay_ms

    def take(self, summary: RegionSummary, now: float) -> None:
        """Take over a summary that arrived at `now`."""
        self._received[summary.entry] = _Received(now, self._started, summary)
        gone = [
            entry
            for entry, item in self._received.items()
            if now - item.received_at > KEPT_SECONDS
        ]
        for entry in gone:
            del self._received[entry]

    def started(self, prompt_tokens: int, now: float) -> None:
        """Count a request that was sent there."""
        self.own += 1
        self._started += 1
        decay = math.exp((self._rated_at - now) / RATE_SECONDS)
        bits = prompt_tokens * BYTES_PER_TOKEN * _BITS
        self._bits_rate = self._bits_rate * decay + bits / RATE_SECONDS
        self._rated_at = now

    def finished(self) -> None:
        """Count a request sent there as ended."""
        self.own -= 1

    def link_ms(self, prompt_tokens: int, senders: int, now: float) -> float:
        """Return the time that the link adds to the first token."""
        decay = math.exp((self._rated_at - now) / RATE_SECONDS)
        used = self._bits_rate * decay * senders / (self._bits_per_ms * 1000.0)
        transfer = prompt_tokens * BYTES_PER_TOKEN * _BITS / self._bits_per_ms
        free = 1.0 - min(HIGHEST_UTILISATION, used)
        return 2.0 * self._delay_ms + transfer / free

    def wait(self, pool: str, *, short: bool, senders: int, now: float) -> RegionWait:
        """Return the expected wait there, corrected by what was sent since.

        Parameters
        ----------
        pool : str
            Model or service.
        short : bool
            Whether the request goes before long ones.
        senders : int
            Entry VMs of the own region, taken to send as many as this one.
        now : float
            Time in seconds.
        """
        waits = [
            _expected(item, found, short, self._sent_since(item) * senders)
            for item in self._received.values()
            for found in item.summary.pools
            if found.name == pool and found.targets
        ]
        if not waits:
            return RegionWait(UNKNOWN_WAIT_MS, 0.0, 0, False)
        newest = max(item.received_at for item in self._received.values())
        silence = max(0.0, now - newest - FRESH_SECONDS)
        mean = sum(item.wait_ms for item in waits) / len(waits)
        return RegionWait(
            mean + silence * SILENCE_MS_PER_SECOND,
            sum(item.in_flight for item in waits) / len(waits),
            waits[0].slots,
            True,
        )

    def _sent_since(self, item: _Received) -> int:
        return min(self.own, self._started - item.hops_before)


def _expected(
    item: _Received, pool: PoolSummary, short: bool, sent_since: int
) -> RegionWait:
    reported = pool.short_wait_ms if short else pool.long_wait_ms
    in_flight = pool.in_flight + sent_since
    room = max(0.0, pool.slots - pool.in_flight)
    beyond = max(0.0, sent_since - room)
    queued = beyond * pool.hold_ms / max(1, pool.slots)
    return RegionWait(reported + queued, in_flight, pool.slots, True)
