"""`pimentospool drill`."""

import asyncio
import signal
import sys
from pathlib import Path
from typing import TypeVar

import click
import msgspec
from rich.console import Console
from rich.table import Table

from pimentospool._generated.records import CallerRecord
from pimentospool._generated.scenario import Scenario
from pimentospool.commands._common import EXISTING_FILE, EXIT_FAILED, read_or_exit, run
from pimentospool.drill import (
    Drill,
    DrillProgress,
    DrillReport,
    DrillView,
    Evidence,
    LiveWatch,
    TargetExecution,
    make_report,
    read_scenario,
    write_report,
)
from pimentospool.manifest import read_manifest
from pimentospool.paths import EXAMPLES
from pimentospool.tasks import cancel_tasks

DEPLOYMENTS = ["magnolia", "tsuzumi"]
_SCENARIOS = EXAMPLES / "scenarios"
_FOLDER = click.Path(file_okay=False, path_type=Path)
T = TypeVar("T")


@click.command()
@click.option(
    "--deployment",
    type=click.Choice(DEPLOYMENTS),
    help="Only this one; both by default.",
)
@click.option(
    "--scenario",
    "scenario_paths",
    type=EXISTING_FILE,
    multiple=True,
    help="Scenario to run; all of examples/scenarios by default.",
)
@click.option(
    "--seed", default=1, show_default=True, help="Seed of traffic and faults."
)
@click.option(
    "--report",
    "report_folder",
    type=_FOLDER,
    default=Path("drill-report"),
    show_default=True,
    help="Where the reports are written.",
)
@click.option("--live", is_flag=True, help="Watch a real deployment; start nothing.")
@click.option(
    "--manifest",
    "manifest_path",
    type=EXISTING_FILE,
    help="Manifest of the real deployment.",
)
@click.option("--admin", "admins", multiple=True, help="IP:port of an admin interface.")
@click.option(
    "--records",
    "records_path",
    type=EXISTING_FILE,
    help="JSON lines of callers' records.",
)
@click.option(
    "--executions",
    "executions_path",
    type=EXISTING_FILE,
    help="JSON lines of targets' executions.",
)
@click.option(
    "--seconds", default=60.0, show_default=True, help="How long --live watches."
)
def drill(
    deployment: str | None,
    scenario_paths: tuple[Path, ...],
    seed: int,
    report_folder: Path,
    live: bool,
    manifest_path: Path | None,
    admins: tuple[str, ...],
    records_path: Path | None,
    executions_path: Path | None,
    seconds: float,
) -> None:
    """Inject failures into a deployment and check its promises.

    Real entry processes and stand-ins run on loopback behind fault-injecting proxies.
    Exits with 0 only if every promise was exercised and kept. With --live nothing is
    started: the status of a real deployment is watched, and callers' records, as
    `pimentospool load --records` writes them, are checked at the end.
    """
    if live:
        if manifest_path is None or not admins:
            raise click.UsageError("--live needs --manifest and --admin")
        watch = LiveWatch(
            manifest=read_or_exit(read_manifest, manifest_path),
            admin_addresses=list(admins),
        )
        run(watch.run(seconds))
        watch.add_records(_read_lines(records_path, CallerRecord))
        if executions_path is not None:
            watch.add_executions(_read_lines(executions_path, TargetExecution))
        reports = [_write_and_print_report(watch.evidence, None, report_folder)]
    else:
        paths = scenario_paths or tuple(sorted((EXAMPLES / "scenarios").glob("*.toml")))
        scenarios = [read_or_exit(read_scenario, path) for path in paths]
        reports = [
            _run_deployment(name, scenarios, seed, report_folder / name)
            for name in ([deployment] if deployment else DEPLOYMENTS)
        ]
    if not all(report.held for report in reports):
        sys.exit(EXIT_FAILED)


def _run_deployment(
    name: str, scenarios: list[Scenario], seed: int, folder: Path
) -> DrillReport:
    manifest = read_or_exit(read_manifest, EXAMPLES / name / "manifest.toml")
    drill_run = Drill(manifest=manifest, scenarios=scenarios, seed=seed)
    console = Console()
    try:
        evidence = run(_run_with_view(drill_run, console))
    except asyncio.CancelledError:
        raise click.ClickException("the drill was stopped before its end") from None
    return _write_and_print_report(evidence, seed, folder)


async def _run_with_view(drill_run: Drill, console: Console) -> Evidence:
    view_tasks: list[asyncio.Task[None]] = []
    task = asyncio.current_task()
    assert task is not None
    # On SIGTERM the drill is cancelled, so that it ends the processes it started.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)

    def show(progress: DrillProgress) -> None:
        if console.is_terminal:
            view = DrillView(console=console, progress=progress)
            view_tasks.append(asyncio.create_task(view.run()))

    try:
        return await drill_run.run(show)
    finally:
        await cancel_tasks(view_tasks)


def _write_and_print_report(
    evidence: Evidence, seed: int | None, folder: Path
) -> DrillReport:
    report = make_report(evidence, seed=seed)
    page = write_report(report, evidence, folder)
    console = Console(width=120)
    console.print(_make_table(report))
    for item in report.promises:
        for line in item.violations:
            console.print(f"broken: {item.promise}: {line}", soft_wrap=True)
    click.echo(f"{report.requests} requests in {report.seconds:.0f} s; {page}")
    return report


def _make_table(report: DrillReport) -> Table:
    table = Table(title=f"drill of {report.deployment}")
    for name in ("promise", "tried", "broken", "result"):
        table.add_column(name)
    for item in report.promises:
        table.add_row(item.promise, str(item.tried), str(item.broken), item.verdict)
    return table


def _read_lines(path: Path | None, kind: type[T]) -> list[T]:
    if path is None:
        return []
    return [
        msgspec.json.decode(line, type=kind) for line in path.read_bytes().splitlines()
    ]
