"""Expected waits in other regions, from the summaries of their entry VMs."""

import math

import msgspec

from pimentospool._generated.loads import PoolSummary, RegionSummary
from pimentospool.ids import EntryId, RegionId
from pimentospool.policy._health import Health

SUMMARY_FRESH_SECONDS = 3.0
SUMMARY_TTL_SECONDS = 30.0
UNKNOWN_WAIT_MS = 250.0
STALENESS_MS_PER_SECOND = 100.0
LINK_RATE_WINDOW_SECONDS = 1.0
MAX_LINK_UTILISATION = 0.95
BYTES_PER_TOKEN = 4
_BITS_PER_BYTE = 8


class _Received(msgspec.Struct):
    received_at: float
    sent_before: int
    """Requests sent to the region before the summary arrived."""
    summary: RegionSummary


class RegionWait(msgspec.Struct):
    """Expected wait of a request in another region, in milliseconds."""

    wait_ms: float
    in_flight: float
    slots: int
    from_summary: bool


class PoolRates(msgspec.Struct, kw_only=True, frozen=True):
    """Prefill rate, decode rate and slots of one target of a region."""

    prefill_tokens_per_second: float = 4000.0
    decode_tokens_per_second: float = 25.0
    slots: int = 8


class RegionState:
    """State of another region as this entry VM knows it.

    Parameters
    ----------
    region : RegionId
        The other region.
    delay_ms : float
        One-way delay of the link.
    bandwidth_mbit : float
        Bandwidth of the link, shared by all traffic between the regions.
    cost : float
        Cost of one second of a target in the region.
    rates : PoolRates
        Rates and slots of its targets.
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
        self.local_in_flight = 0
        self._delay_ms = delay_ms
        self._bits_per_ms = bandwidth_mbit * 1000.0
        self._sent_total = 0
        self._received: dict[EntryId, _Received] = {}
        self._sent_bits_per_second = 0.0
        self._rate_updated_at = 0.0

    def apply_declaration(self, other: "RegionState") -> None:
        """Apply the declared properties of `other`, which a newer manifest has."""
        self.cost = other.cost
        self.rates = other.rates
        self._delay_ms = other._delay_ms
        self._bits_per_ms = other._bits_per_ms

    @property
    def round_trip_ms(self) -> float:
        """Delay of the link in both directions."""
        return 2.0 * self._delay_ms

    def receive_summary(self, summary: RegionSummary, now: float) -> None:
        """Store a summary that arrived at `now`, and drop expired ones."""
        self._received[summary.entry] = _Received(now, self._sent_total, summary)
        expired = [
            entry
            for entry, received in self._received.items()
            if now - received.received_at > SUMMARY_TTL_SECONDS
        ]
        for entry in expired:
            del self._received[entry]

    def record_start(self, prompt_tokens: int, now: float) -> None:
        """Record that a request was sent to the region."""
        self.local_in_flight += 1
        self._sent_total += 1
        decay = math.exp((self._rate_updated_at - now) / LINK_RATE_WINDOW_SECONDS)
        bits = prompt_tokens * BYTES_PER_TOKEN * _BITS_PER_BYTE
        self._sent_bits_per_second = (
            self._sent_bits_per_second * decay + bits / LINK_RATE_WINDOW_SECONDS
        )
        self._rate_updated_at = now

    def record_end(self) -> None:
        """Record that a request sent to the region has ended."""
        self.local_in_flight -= 1

    def link_ms(self, prompt_tokens: int, entry_count: int, now: float) -> float:
        """Return the time that the link adds to the first token, in milliseconds."""
        decay = math.exp((self._rate_updated_at - now) / LINK_RATE_WINDOW_SECONDS)
        utilisation = (
            self._sent_bits_per_second
            * decay
            * entry_count
            / (self._bits_per_ms * 1000.0)
        )
        transfer_ms = (
            prompt_tokens * BYTES_PER_TOKEN * _BITS_PER_BYTE / self._bits_per_ms
        )
        free_share = 1.0 - min(MAX_LINK_UTILISATION, utilisation)
        return 2.0 * self._delay_ms + transfer_ms / free_share

    def expected_wait(
        self, pool: str, *, short: bool, entry_count: int, now: float
    ) -> RegionWait:
        """Return the expected wait, corrected for requests sent since the summaries.

        Parameters
        ----------
        pool : str
            Model or service.
        short : bool
            Whether the prompt is short; targets serve short prompts before long ones.
        entry_count : int
            Entry VMs of the local region; each is assumed to send as much as this one.
        now : float
            Time in seconds.
        """
        waits = [
            _corrected_wait(
                received, summary, short, self._sent_since(received) * entry_count
            )
            for received in self._received.values()
            for summary in received.summary.pools
            if summary.name == pool and summary.targets
        ]
        if not waits:
            return RegionWait(UNKNOWN_WAIT_MS, 0.0, 0, False)
        newest_at = max(received.received_at for received in self._received.values())
        stale_seconds = max(0.0, now - newest_at - SUMMARY_FRESH_SECONDS)
        mean_wait_ms = sum(wait.wait_ms for wait in waits) / len(waits)
        return RegionWait(
            mean_wait_ms + stale_seconds * STALENESS_MS_PER_SECOND,
            sum(wait.in_flight for wait in waits) / len(waits),
            waits[0].slots,
            True,
        )

    def _sent_since(self, received: _Received) -> int:
        return min(self.local_in_flight, self._sent_total - received.sent_before)


def _corrected_wait(
    received: _Received, pool: PoolSummary, short: bool, sent_since: int
) -> RegionWait:
    reported_wait_ms = pool.short_wait_ms if short else pool.long_wait_ms
    in_flight = pool.in_flight + sent_since
    free_slots = max(0.0, pool.slots - pool.in_flight)
    queued = max(0.0, sent_since - free_slots)
    queued_ms = queued * pool.hold_ms / max(1, pool.slots)
    return RegionWait(reported_wait_ms + queued_ms, in_flight, pool.slots, True)
