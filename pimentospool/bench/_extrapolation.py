"""Extrapolation of the control bench to a larger fleet by linear regression."""

import math
from collections.abc import Callable, Sequence

import numpy as np

from pimentospool._generated.bench_control import ControlEstimate, ControlRun

_MIN_RUNS = 4
_READERS_PER_ZONE = 2

RegressionTerms = Callable[[int, int], list[float]]


def estimate(
    runs: Sequence[ControlRun], *, nodes: int, zones: int
) -> ControlEstimate | None:
    """Return the figures expected for a fleet of `nodes` in `zones`.

    A reader's message rate does not grow with the fleet, so the highest rate of all
    runs is used, and likewise the highest CPU time for one message. The other figures
    are fitted by least squares: the length of a message grows with the number of
    zones, memory with the number of zones and of nodes in a zone, and the time until
    a revision is active with the logarithms of both. Returns None for fewer runs than
    the fit needs.
    """
    if len(runs) < _MIN_RUNS:
        return None

    def extrapolate(
        value: Callable[[ControlRun], float], terms: RegressionTerms
    ) -> float:
        rows = np.array([terms(run.nodes, run.zones) for run in runs])
        values = np.array([value(run) for run in runs])
        coefficients = np.linalg.lstsq(rows, values, rcond=None)[0]
        return float(coefficients @ np.array(terms(nodes, zones)))

    message_rate = max(run.reader_messages_per_second for run in runs)
    message_bytes = extrapolate(
        lambda run: run.reader_bytes_per_second / run.reader_messages_per_second,
        lambda node_count, zone_count: [1.0, zone_count],
    )
    cpu_percent_per_message = max(
        run.cpu_percent / run.messages_per_second for run in runs
    )
    return ControlEstimate(
        nodes=nodes,
        zones=zones,
        reader_cpu_percent=cpu_percent_per_message * message_rate,
        reader_bytes_per_second=message_bytes * message_rate,
        reader_messages_per_second=message_rate,
        memory_mb=extrapolate(
            lambda run: run.memory_mb,
            lambda node_count, zone_count: [1.0, zone_count, node_count / zone_count],
        ),
        platform_reads_per_second=extrapolate(
            lambda run: run.platform_reads_per_second,
            lambda node_count, zone_count: [
                min(node_count, _READERS_PER_ZONE * zone_count)
            ],
        ),
        in_force_max_seconds=extrapolate(
            lambda run: run.in_force_max_seconds,
            lambda node_count, zone_count: [
                1.0,
                math.log2(zone_count),
                math.log2(node_count / zone_count),
            ],
        ),
    )
