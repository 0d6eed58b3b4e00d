"""Estimates at a larger size from the slopes of several runs."""

import math
from collections.abc import Callable, Sequence

import numpy as np

from pimentospool._generated.bench_control import ControlEstimate, ControlRun

_FEWEST_RUNS = 4
_READERS_PER_ZONE = 2

Terms = Callable[[int, int], list[float]]


def estimate(
    runs: Sequence[ControlRun], *, nodes: int, zones: int
) -> ControlEstimate | None:
    """Return values at a size by the slopes of several runs.

    The messages of a reader do not grow with the fleet, so the highest of all runs
    counts, and so does the highest processor time for a message. The length of a
    message grows with the zones, memory with the zones and the members of a zone,
    and the time until a revision is in force with the logarithms of both. None is
    returned for fewer runs than slopes need.
    """
    if len(runs) < _FEWEST_RUNS:
        return None

    def predict(value: Callable[[ControlRun], float], terms: Terms) -> float:
        rows = np.array([terms(run.nodes, run.zones) for run in runs])
        values = np.array([value(run) for run in runs])
        slopes = np.linalg.lstsq(rows, values, rcond=None)[0]
        return float(slopes @ np.array(terms(nodes, zones)))

    messages = max(run.reader_messages_per_second for run in runs)
    length = predict(
        lambda run: run.reader_bytes_per_second / run.reader_messages_per_second,
        lambda count, places: [1.0, places],
    )
    cost = max(run.cpu_percent / run.messages_per_second for run in runs)
    return ControlEstimate(
        nodes=nodes,
        zones=zones,
        reader_cpu_percent=cost * messages,
        reader_bytes_per_second=length * messages,
        reader_messages_per_second=messages,
        memory_mb=predict(
            lambda run: run.memory_mb,
            lambda count, places: [1.0, places, count / places],
        ),
        platform_reads_per_second=predict(
            lambda run: run.platform_reads_per_second,
            lambda count, places: [min(count, _READERS_PER_ZONE * places)],
        ),
        in_force_max_seconds=predict(
            lambda run: run.in_force_max_seconds,
            lambda count, places: [
                1.0,
                math.log2(places),
                math.log2(count / places),
            ],
        ),
    )
