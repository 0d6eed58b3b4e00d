"""Estimates at a larger size from the slopes of several runs."""

from collections.abc import Callable

import numpy as np

from pimentospool._generated.bench_control import ControlEstimate, ControlRun

_HEAD_ROOM_RUNS = 3


def estimate(
    runs: list[ControlRun], *, nodes: int, zones: int
) -> ControlEstimate | None:
    """Return values at a size by least squares over nodes in a zone and zones.

    Processor time is taken as the highest of any run for a message. None is
    returned for fewer runs than the model has terms.
    """
    if len(runs) < _HEAD_ROOM_RUNS:
        return None

    def predict(value: Callable[[ControlRun], float]) -> float:
        terms = np.array([[1.0, run.zones, run.nodes / run.zones] for run in runs])
        values = np.array([value(run) for run in runs])
        slopes = np.linalg.lstsq(terms, values, rcond=None)[0]
        return float(slopes @ np.array([1.0, zones, nodes / zones]))

    messages = predict(lambda run: run.reader_messages_per_second)
    cost = max(run.cpu_percent / run.messages_per_second for run in runs)
    return ControlEstimate(
        nodes=nodes,
        zones=zones,
        reader_cpu_percent=cost * messages,
        reader_bytes_per_second=predict(lambda run: run.reader_bytes_per_second),
        reader_messages_per_second=messages,
        memory_mb=predict(lambda run: run.memory_mb),
        platform_reads_per_second=predict(lambda run: run.platform_reads_per_second),
        in_force_max_seconds=predict(lambda run: run.in_force_max_seconds),
    )
