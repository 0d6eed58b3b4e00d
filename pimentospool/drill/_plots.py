"""Plots of a drill as one SVG image, with the failures shaded."""

import io
from typing import Any

import matplotlib
from matplotlib.axes import Axes
from matplotlib.figure import Figure

from pimentospool.drill._evidence import Evidence, FaultWindow
from pimentospool.drill._series import Curve, DrillSeries, make_series, start_time

_COLOURS = ("#0b5fa5", "#d1495b", "#2e7d32", "#8e5ea2")
_FAULT_COLOUR = "#e8a33d"
_MIN_SHADED_SECONDS = 0.4
_LABEL_ROWS = 4


def draw_svg(evidence: Evidence) -> str:
    """Return the plots of a drill as an ``<svg>`` element."""
    style: Any = {"svg.fonttype": "none", "svg.hashsalt": "drill", "font.size": 13}
    with matplotlib.rc_context(style):
        figure = Figure(figsize=(13, 13), layout="constrained")
        _draw_plots(figure, evidence, make_series(evidence))
        svg = io.StringIO()
        figure.savefig(svg, format="svg", metadata={"Date": None})
    return svg.getvalue()[svg.getvalue().index("<svg") :]


def _draw_plots(figure: Figure, evidence: Evidence, series: DrillSeries) -> None:
    plots = figure.subplots(4, 1, sharex=True)
    _draw_curves(plots[0], series.first_token_ms, "first token (ms)", dotted=True)
    plots[0].set_yscale("log")
    _draw_curves(plots[1], series.sent_away_percent, "sent to another region (%)")
    plots[1].set_ylim(0, 100)
    _draw_curves(plots[2], series.not_answered, "no whole answer (per s)")
    _draw_curves(plots[3], series.revisions, "active revision", steps=True)
    plots[3].yaxis.get_major_locator().set_params(integer=True)
    plots[3].set_xlabel(
        "seconds since the start; the numbers refer to the table of failures below"
    )
    start = start_time(evidence)
    for number, window in enumerate(evidence.faults, 1):
        for plot in plots:
            _shade_window(plot, window, start)
        _annotate_window(plots[0], number, window, start)


def _draw_curves(
    plot: Axes,
    curves: list[Curve],
    label: str,
    *,
    dotted: bool = False,
    steps: bool = False,
) -> None:
    for curve, colour in zip(curves, _COLOURS * len(curves), strict=False):
        plot.plot(
            curve.seconds,
            curve.values,
            ".-" if dotted else "-",
            drawstyle="steps-post" if steps else "default",
            label=curve.name,
            color=colour,
            linewidth=1.6,
        )
    plot.set_ylabel(label)
    plot.grid(True, alpha=0.25)
    plot.margins(x=0.01)
    if curves:
        plot.legend(loc="center left", bbox_to_anchor=(1.0, 0.5), frameon=False)


def _shade_window(plot: Axes, window: FaultWindow, start: float) -> None:
    end = max(window.end, window.start + _MIN_SHADED_SECONDS)
    plot.axvspan(window.start - start, end - start, color=_FAULT_COLOUR, alpha=0.22)


def _annotate_window(
    plot: Axes, number: int, window: FaultWindow, start: float
) -> None:
    row = (number - 1) % _LABEL_ROWS
    plot.annotate(
        str(number),
        xy=((window.start + window.end) / 2 - start, 1.02 + 0.09 * row),
        xycoords=("data", "axes fraction"),
        ha="center",
        fontsize=11,
        color="#7a4b00",
    )
