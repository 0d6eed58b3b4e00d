"""Arrival times: a daily curve for each region, compressed in time."""

import math
import random
from collections.abc import Iterator

import msgspec

from pimentospool.ids import RegionId
from pimentospool.manifest import Region

HOURS_PER_DAY = 24.0
SECONDS_PER_DAY = 86_400.0


class ArrivalCurve(msgspec.Struct, kw_only=True, frozen=True):
    """Rate of requests over the day.

    Parameters
    ----------
    peak_per_second : float
        Rate of one region at its daily peak.
    peak_hour : float
        Local hour of the peak.
    trough : float
        Rate at the quietest hour, as a share of the peak.
    day_seconds : float
        Real seconds that one day of the curve takes.
    start_hour : float
        Hour of the first region's clock at the start.
    """

    peak_per_second: float
    peak_hour: float = 9.0
    trough: float = 0.2
    day_seconds: float = SECONDS_PER_DAY
    start_hour: float = 9.0

    def rate(self, region: Region, seconds: float) -> float:
        """Return requests a second of `region`, `seconds` after the start."""
        elapsed_hours = seconds / self.day_seconds * HOURS_PER_DAY
        hour = self.start_hour + elapsed_hours + region.utc_offset_hours
        phase = 2 * math.pi * (hour - self.peak_hour) / HOURS_PER_DAY
        height = (1 + math.cos(phase)) / 2
        return self.peak_per_second * (self.trough + (1 - self.trough) * height)


class Arrival(msgspec.Struct, kw_only=True, frozen=True):
    """A request that is due `at` seconds after the start."""

    at: float
    region: RegionId


def plan_arrivals(
    curve: ArrivalCurve, regions: list[Region], *, seconds: float, rng: random.Random
) -> list[Arrival]:
    """Return the arrivals of all regions in order of time.

    Each region's arrivals are a Poisson process with the curve's rate, made by
    thinning one of the peak's rate.
    """
    arrivals: list[Arrival] = []
    for region in regions:
        arrivals += _region_arrivals(curve, region, seconds, rng)
    return sorted(arrivals, key=lambda arrival: (arrival.at, arrival.region))


def _region_arrivals(
    curve: ArrivalCurve, region: Region, seconds: float, rng: random.Random
) -> Iterator[Arrival]:
    at = rng.expovariate(curve.peak_per_second)
    while at < seconds:
        if rng.random() * curve.peak_per_second < curve.rate(region, at):
            yield Arrival(at=at, region=region.id)
        at += rng.expovariate(curve.peak_per_second)
