"""Arrivals of the policy bench: daily peaks by region, short and long requests."""

import math
import random

import msgspec

from pimentospool.ids import CustomerId, RegionId
from pimentospool.manifest import Customer, ManifestIndex, TargetKind
from pimentospool.prompts import BLOCK_TOKENS

SIMULATED_SECONDS_PER_HOUR = 60.0
"""Simulated time in which one hour of the daily curve passes."""
FIRST_HOUR = 6.0
LAST_HOUR = 12.0
PEAK_HOUR = 9.0
MIN_RATE_SHARE = 0.35
PEAK_UTILISATION = 0.6
STORES_PER_REGION = 80
HOME_BOUND_SHARE = 0.15
SYSTEM_PROMPT_BLOCKS = 2
SHORT_PROMPT_TOKENS = (140, 420)
SHORT_ANSWER_TOKENS = (12, 40)
LONG_ANSWER_TOKENS = (60, 160)
LONG_SUFFIX_TOKENS = (40, 160)
HISTORY_MEDIAN_TOKENS = 3000
HISTORY_SIGMA = 0.45
HISTORY_MAX_TOKENS = 8000
SHORT_DEADLINE_SECONDS = 10.0
LONG_DEADLINE_SECONDS = 60.0
LONG_REQUEST_SHARES = {"magnolia": 0.15, "tsuzumi": 0.3}
DURATION_SECONDS = (LAST_HOUR - FIRST_HOUR) * SIMULATED_SECONDS_PER_HOUR


class Arrival(msgspec.Struct, kw_only=True, frozen=True):
    """One request as its caller sends it; `at` is in seconds from the run's start."""

    at: float
    region: RegionId
    customer: Customer
    short: bool
    prompt_tokens: int
    max_tokens: int
    blocks: tuple[str, ...]

    @property
    def deadline_seconds(self) -> float:
        """Time after which the caller stops waiting for the first token."""
        return SHORT_DEADLINE_SECONDS if self.short else LONG_DEADLINE_SECONDS


def local_hour(at: float, utc_offset_hours: float) -> float:
    """Return the local hour at a simulated time in seconds."""
    return FIRST_HOUR + at / SIMULATED_SECONDS_PER_HOUR + utc_offset_hours


def daily_rate_share(hour: float) -> float:
    """Return the request rate at a local hour as a share of the peak rate."""
    peak_shape = max(0.0, math.cos((hour - PEAK_HOUR) / 24.0 * 2.0 * math.pi))
    return MIN_RATE_SHARE + (1.0 - MIN_RATE_SHARE) * peak_shape**8


def make_arrivals(index: ManifestIndex, seed: int) -> list[Arrival]:
    """Return the arrivals of one run, ordered by time and fixed by the seed."""
    rng = random.Random(seed)
    arrivals: list[Arrival] = []
    for region in index.regions:
        arrivals += _RegionTraffic(index=index, region=region, rng=rng).arrivals()
    return sorted(arrivals, key=lambda arrival: arrival.at)


class _RegionTraffic:
    """Generates the arrivals of one region.

    Requests of a store share its history, the long prefix of its prompts.
    """

    def __init__(
        self, *, index: ManifestIndex, region: RegionId, rng: random.Random
    ) -> None:
        self._index = index
        self._region = region
        self._rng = rng
        self._long_share = LONG_REQUEST_SHARES.get(index.manifest.deployment, 0.2)
        self._history_tokens = [
            min(
                HISTORY_MAX_TOKENS,
                int(rng.lognormvariate(math.log(HISTORY_MEDIAN_TOKENS), HISTORY_SIGMA)),
            )
            for _ in range(STORES_PER_REGION)
        ]
        self._popularity = [1.0 / (rank + 3) for rank in range(STORES_PER_REGION)]
        self._request_number = 0

    def arrivals(self) -> list[Arrival]:
        peak_rate = self._peak_rate()
        utc_offset_hours = self._index.regions[self._region].utc_offset_hours
        arrivals: list[Arrival] = []
        at = 0.0
        while True:
            at += self._rng.expovariate(peak_rate)
            if at >= DURATION_SECONDS:
                return arrivals
            if self._rng.random() < daily_rate_share(local_hour(at, utc_offset_hours)):
                arrivals.append(self._make_arrival(at))

    def _peak_rate(self) -> float:
        engines = [
            target
            for target in self._index.manifest.targets
            if target.kind is TargetKind.ENGINE
            and self._index.region_of(target) == self._region
        ]
        mean_answer_tokens = self._long_share * sum(LONG_ANSWER_TOKENS) / 2
        mean_answer_tokens += (1 - self._long_share) * sum(SHORT_ANSWER_TOKENS) / 2
        tokens_per_second = sum(
            target.slots * target.decode_tokens_per_second for target in engines
        )
        return PEAK_UTILISATION * tokens_per_second / mean_answer_tokens

    def _make_arrival(self, at: float) -> Arrival:
        rng = self._rng
        self._request_number += 1
        short = rng.random() >= self._long_share
        store = rng.choices(range(STORES_PER_REGION), self._popularity)[0]
        if short:
            prompt_tokens = rng.randint(*SHORT_PROMPT_TOKENS)
            max_tokens = rng.randint(*SHORT_ANSWER_TOKENS)
            shared_blocks = SYSTEM_PROMPT_BLOCKS
        else:
            history_tokens = self._history_tokens[store]
            prompt_tokens = history_tokens + rng.randint(*LONG_SUFFIX_TOKENS)
            max_tokens = rng.randint(*LONG_ANSWER_TOKENS)
            shared_blocks = history_tokens // BLOCK_TOKENS
        return Arrival(
            at=at,
            region=self._region,
            customer=self._choose_customer(),
            short=short,
            prompt_tokens=prompt_tokens,
            max_tokens=max_tokens,
            blocks=self._make_blocks(
                store, shared_blocks, prompt_tokens // BLOCK_TOKENS
            ),
        )

    def _make_blocks(
        self, store: int, shared_blocks: int, total: int
    ) -> tuple[str, ...]:
        blocks = []
        for number in range(total):
            if number < SYSTEM_PROMPT_BLOCKS:
                blocks.append(f"system/{number}")
            elif number < shared_blocks:
                blocks.append(f"{self._region}/{store}/{number}")
            else:
                blocks.append(f"{self._region}/own/{self._request_number}/{number}")
        return tuple(blocks)

    def _choose_customer(self) -> Customer:
        customers = self._index.customers
        home_bound = customers.get(CustomerId("home-bound"))
        is_local = home_bound is not None and home_bound.allowed_regions == [
            self._region
        ]
        if (
            home_bound is not None
            and is_local
            and self._rng.random() < HOME_BOUND_SHARE
        ):
            return home_bound
        local_customers = [
            customer
            for customer in customers.values()
            if customer.id.endswith(f"-{self._region}")
        ]
        return local_customers[0]
