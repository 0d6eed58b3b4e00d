"""Plot of a load run: request rates and latencies over time."""

from collections import defaultdict
from pathlib import Path

import matplotlib

matplotlib.use("Agg")

from matplotlib.figure import Figure

from pimentospool._generated.records import CallerRecord, CallOutcome

_BUCKET_SECONDS = 1.0
_MS_PER_SECOND = 1e3


def plot_records(records: list[CallerRecord], path: Path) -> None:
    """Write a plot of `records` to `path`, whose suffix determines the format."""
    fig = Figure(figsize=(10, 7), layout="constrained")
    rates, latencies = fig.subplots(2, 1, sharex=True)
    start = min(record.intended_at for record in records)
    for region in sorted({record.region for record in records}):
        counts: dict[int, int] = defaultdict(int)
        for record in records:
            if record.region == region:
                counts[int((record.intended_at - start) / _BUCKET_SECONDS)] += 1
        seconds = range(max(counts) + 1)
        rates.plot(seconds, [counts[second] for second in seconds], label=region)
    rates.set_ylabel("requests due per second")
    rates.legend()
    for kind in sorted({record.kind for record in records}):
        whole = [
            record
            for record in records
            if record.kind == kind and record.outcome is CallOutcome.WHOLE
        ]
        latencies.plot(
            [record.intended_at - start for record in whole],
            [
                (record.ended_at - record.intended_at) * _MS_PER_SECOND
                for record in whole
            ],
            ".",
            markersize=3,
            label=kind,
        )
    latencies.set_yscale("log")
    latencies.set_ylabel("time from due to whole answer (ms)")
    latencies.set_xlabel("seconds")
    latencies.legend()
    fig.savefig(path)
