"""Arrivals of the policy bench: daily peaks by region, short and long requests."""

import math
import random

import msgspec

from pimentospool.ids import CustomerId, RegionId
from pimentospool.manifest import Customer, ManifestIndex, TargetKind
from pimentospool.prompts import BLOCK_TOKENS

SECONDS_PER_HOUR = 60.0
FIRST_HOUR = 6.0
LAST_HOUR = 12.0
PEAK_HOUR = 9.0
NIGHT_SHARE = 0.35
PEAK_UTILISATION = 0.6
STORES_PER_REGION = 80
HOME_BOUND_SHARE = 0.15
SYSTEM_BLOCKS = 2
SHORT_TOKENS = (140, 420)
SHORT_ANSWER = (12, 40)
LONG_ANSWER = (60, 160)
LONG_SUFFIX = (40, 160)
HISTORY_MEDIAN_TOKENS = 3000
HISTORY_SIGMA = 0.45
HISTORY_MOST_TOKENS = 8000
SHORT_DEADLINE_SECONDS = 10.0
LONG_DEADLINE_SECONDS = 60.0
LONG_SHARES = {"magnolia": 0.15, "tsuzumi": 0.3}
DURATION_SECONDS = (LAST_HOUR - FIRST_HOUR) * SECONDS_PER_HOUR


class Arrival(msgspec.Struct, kw_only=True, frozen=True):
    """One request as its caller sends it; times in seconds."""

    at: float
    region: RegionId
    customer: Customer
    short: bool
    prompt_tokens: int
    max_tokens: int
    blocks: tuple[str, ...]

    @property
    def deadline_seconds(self) -> float:
        """Time to the first token after which nobody waits any more."""
        return SHORT_DEADLINE_SECONDS if self.short else LONG_DEADLINE_SECONDS


def local_hour(at: float, utc_offset_hours: float) -> float:
    """Return the local hour of a time of the bench."""
    return FIRST_HOUR + at / SECONDS_PER_HOUR + utc_offset_hours


def day_share(hour: float) -> float:
    """Return the share of the peak rate at a local hour."""
    wave = max(0.0, math.cos((hour - PEAK_HOUR) / 24.0 * 2.0 * math.pi))
    return NIGHT_SHARE + (1.0 - NIGHT_SHARE) * wave**8


def make_arrivals(index: ManifestIndex, seed: int) -> list[Arrival]:
    """Return the arrivals of one run in the order of time; the same for each policy."""
    rng = random.Random(seed)
    arrivals: list[Arrival] = []
    for region in index.regions:
        arrivals += _RegionTraffic(index=index, region=region, rng=rng).arrivals()
    return sorted(arrivals, key=lambda arrival: arrival.at)


class _RegionTraffic:
    def __init__(
        self, *, index: ManifestIndex, region: RegionId, rng: random.Random
    ) -> None:
        self._index = index
        self._region = region
        self._rng = rng
        self._long_share = LONG_SHARES.get(index.manifest.deployment, 0.2)
        self._histories = [
            min(
                HISTORY_MOST_TOKENS,
                int(rng.lognormvariate(math.log(HISTORY_MEDIAN_TOKENS), HISTORY_SIGMA)),
            )
            for _ in range(STORES_PER_REGION)
        ]
        self._popularity = [1.0 / (rank + 3) for rank in range(STORES_PER_REGION)]
        self._number = 0

    def arrivals(self) -> list[Arrival]:
        peak = self._peak_rate()
        offset = self._index.regions[self._region].utc_offset_hours
        made: list[Arrival] = []
        at = 0.0
        while True:
            at += self._rng.expovariate(peak)
            if at >= DURATION_SECONDS:
                return made
            if self._rng.random() < day_share(local_hour(at, offset)):
                made.append(self._arrival(at))

    def _peak_rate(self) -> float:
        engines = [
            target
            for target in self._index.manifest.targets
            if target.kind is TargetKind.ENGINE
            and self._index.region_of(target) == self._region
        ]
        answer = self._long_share * sum(LONG_ANSWER) / 2
        answer += (1 - self._long_share) * sum(SHORT_ANSWER) / 2
        capacity = sum(
            target.slots * target.decode_tokens_per_second for target in engines
        )
        return PEAK_UTILISATION * capacity / answer

    def _arrival(self, at: float) -> Arrival:
        rng = self._rng
        self._number += 1
        short = rng.random() >= self._long_share
        store = rng.choices(range(STORES_PER_REGION), self._popularity)[0]
        if short:
            prompt_tokens = rng.randint(*SHORT_TOKENS)
            max_tokens = rng.randint(*SHORT_ANSWER)
            shared = SYSTEM_BLOCKS
        else:
            history = self._histories[store]
            prompt_tokens = history + rng.randint(*LONG_SUFFIX)
            max_tokens = rng.randint(*LONG_ANSWER)
            shared = history // BLOCK_TOKENS
        return Arrival(
            at=at,
            region=self._region,
            customer=self._customer(),
            short=short,
            prompt_tokens=prompt_tokens,
            max_tokens=max_tokens,
            blocks=self._blocks(store, shared, prompt_tokens // BLOCK_TOKENS),
        )

    def _blocks(self, store: int, shared: int, total: int) -> tuple[str, ...]:
        blocks = []
        for number in range(total):
            if number < SYSTEM_BLOCKS:
                blocks.append(f"system/{number}")
            elif number < shared:
                blocks.append(f"{self._region}/{store}/{number}")
            else:
                blocks.append(f"{self._region}/own/{self._number}/{number}")
        return tuple(blocks)

    def _customer(self) -> Customer:
        customers = self._index.customers
        bound = customers.get(CustomerId("home-bound"))
        mine_only = bound is not None and bound.allowed_regions == [self._region]
        if bound is not None and mine_only and self._rng.random() < HOME_BOUND_SHARE:
            return bound
        mine = [
            customer
            for customer in customers.values()
            if customer.id.endswith(f"-{self._region}")
        ]
        return mine[0]
