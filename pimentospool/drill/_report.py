"""The report of a drill: one self-contained HTML page, and the same data as JSON."""

import html
from collections import Counter
from importlib import resources
from pathlib import Path
from string import Template

import msgspec

from pimentospool._generated.records import CallKind, CallOutcome
from pimentospool.drill._evidence import Evidence, FaultWindow, PromiseResult
from pimentospool.drill._plots import draw_svg
from pimentospool.drill._promise_checker import PromiseChecker, all_held
from pimentospool.drill._series import DrillSeries, make_series, start_time
from pimentospool.load import LatencySummary, summarize

_HTML_NAME = "report.html"
_JSON_NAME = "report.json"
_RECORDS_NAME = "records.jsonl"


class PromiseFigures(msgspec.Struct, kw_only=True):
    """One promise in the report's table."""

    promise: str
    bound: str
    tried: int
    broken: int
    verdict: str
    violations: list[str]


class DrillReport(msgspec.Struct, kw_only=True):
    """Everything that the report shows; times in seconds."""

    deployment: str
    seed: int | None
    held: bool
    seconds: float
    requests: int
    outcomes: dict[str, int]
    non_idempotent: int
    executions: int
    unmatched_executions: int
    promises: list[PromiseFigures]
    faults: list[FaultWindow]
    callers: list[LatencySummary]
    series: DrillSeries


def make_report(evidence: Evidence, *, seed: int | None) -> DrillReport:
    """Check the promises against the evidence and return the report."""
    checker = PromiseChecker(evidence=evidence)
    results = checker.results()
    records = evidence.records
    outcomes = Counter(record.outcome.value for record in records)
    ends = [record.ended_at for record in records]
    ends += [sample.sampled_at for sample in evidence.samples]
    return DrillReport(
        deployment=evidence.manifest.deployment,
        seed=seed,
        held=all_held(results),
        seconds=max(ends, default=0.0) - start_time(evidence),
        requests=len(records),
        outcomes=dict(outcomes),
        non_idempotent=sum(r.kind is CallKind.NON_IDEMPOTENT for r in records),
        executions=len(evidence.executions),
        unmatched_executions=checker.unmatched_executions(),
        promises=[_promise_figures(result) for result in results],
        faults=evidence.faults,
        callers=summarize(records),
        series=make_series(evidence),
    )


def write_report(report: DrillReport, evidence: Evidence, folder: Path) -> Path:
    """Write the HTML page, the JSON and the callers' records; return the page path."""
    folder.mkdir(parents=True, exist_ok=True)
    figures = msgspec.json.format(msgspec.json.encode(report))
    (folder / _JSON_NAME).write_bytes(figures)
    records = msgspec.json.Encoder().encode_lines(evidence.records)
    (folder / _RECORDS_NAME).write_bytes(records)
    page = folder / _HTML_NAME
    page.write_text(render_html(report, evidence, figures.decode()))
    return page


def render_html(report: DrillReport, evidence: Evidence, figures: str) -> str:
    """Return the HTML page, with its plots and the JSON `figures` embedded."""
    template = resources.files("pimentospool.drill").joinpath("templates/report.html")
    start = start_time(evidence)
    verdict = (
        "Every promise was tried and held" if report.held else _failure_summary(report)
    )
    seed = "" if report.seed is None else f" Seed {report.seed}."
    return Template(template.read_text()).substitute(
        deployment=html.escape(report.deployment),
        verdict=verdict,
        verdict_class="held" if report.held else "broken",
        summary=(
            "Checked against what callers received and what targets recorded; what "
            f"the gateway reports about itself is not used.{seed}"
        ),
        facts=_facts(report),
        promises="".join(_promise_row(item) for item in report.promises),
        violations=_violations(report),
        plots=draw_svg(evidence),
        faults="".join(
            _fault_row(number, window, start)
            for number, window in enumerate(report.faults, 1)
        ),
        callers="".join(_caller_row(item) for item in report.callers),
        figures=html.escape(figures),
    )


def _failure_summary(report: DrillReport) -> str:
    counts = Counter(item.verdict for item in report.promises)
    parts = [
        f"{counts[name]} {name}" for name in ("broken", "not tried") if counts[name]
    ]
    return f"Not passed: {', '.join(parts)} of {len(report.promises)} promises"


def _facts(report: DrillReport) -> str:
    facts = {
        "seconds": f"{report.seconds:.0f}",
        "requests": f"{report.requests:,}",
        "whole answers": f"{report.outcomes.get(CallOutcome.WHOLE.value, 0):,}",
        "calls that must not run twice": f"{report.non_idempotent:,}",
        "failures": str(len(report.faults)),
    }
    return "".join(
        f"<li><b>{value}</b>{html.escape(name)}</li>" for name, value in facts.items()
    )


def _promise_figures(result: PromiseResult) -> PromiseFigures:
    return PromiseFigures(
        promise=result.promise.value,
        bound=result.bound,
        tried=result.tried,
        broken=result.broken,
        verdict=result.verdict,
        violations=result.violations,
    )


def _promise_row(item: PromiseFigures) -> str:
    css_class = item.verdict.replace(" ", "-")
    return (
        f"<tr><td>{html.escape(item.promise)}"
        f"<small>{html.escape(item.bound)}</small></td>"
        f'<td class="number">{item.tried:,}</td>'
        f'<td class="number">{item.broken:,}</td>'
        f'<td class="state {css_class}">{item.verdict}</td></tr>'
    )


def _violations(report: DrillReport) -> str:
    broken = [item for item in report.promises if item.violations]
    if not broken:
        return ""
    parts = ["<h2>Broken promises</h2>"]
    for item in broken:
        lines = "".join(f"<li>{html.escape(line)}</li>" for line in item.violations)
        parts.append(f"<p>{html.escape(item.promise)}</p><ul>{lines}</ul>")
    return "".join(parts)


def _fault_row(number: int, window: FaultWindow, start: float) -> str:
    return (
        f'<tr><td class="number">{number}</td>'
        f"<td>{html.escape(window.describe())}</td>"
        f"<td>{html.escape(window.scenario)}</td>"
        f'<td class="number">{window.start - start:.1f}</td>'
        f'<td class="number">{window.end - start:.1f}</td></tr>'
    )


def _caller_row(item: LatencySummary) -> str:
    outcomes = ", ".join(f"{name} {count}" for name, count in item.outcomes.items())
    quantile_cells = "".join(
        f'<td class="number">{value:.0f}</td>'
        for value in (item.first.p50_ms, item.first.p95_ms, item.first.p99_ms)
    )
    return (
        f"<tr><td>{html.escape(item.region)}</td><td>{item.kind.value}</td>"
        f'<td class="number">{item.sent}</td><td>{outcomes}</td>{quantile_cells}</tr>'
    )
