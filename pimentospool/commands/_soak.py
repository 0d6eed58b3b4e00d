"""`pimentospool soak`."""

import sys
from pathlib import Path

import click

from pimentospool.commands._common import EXIT_FAILED, run
from pimentospool.soak import CALLERS, Soak, SoakResult


@click.command()
@click.option("--seed", default=1, show_default=True, help="First seed.")
@click.option("--seeds", default=1, show_default=True, help="Seeds, one after another.")
@click.option("--seconds", default=12.0, show_default=True, help="Time of faults.")
@click.option("--nodes", default=4, show_default=True, help="Node processes.")
@click.option("--callers", default=CALLERS, show_default=True, help="Of each node.")
@click.option(
    "--logs",
    "folder",
    type=click.Path(file_okay=False, path_type=Path),
    default=Path("soak-logs"),
    show_default=True,
    help="Where settings and logs of the processes are written, by seed.",
)
def soak(
    seed: int, seeds: int, seconds: float, nodes: int, callers: int, folder: Path
) -> None:
    """Run nodes as processes under random faults and judge what callers saw.

    Exits with 0 only if every promise held for every seed.
    """
    broken = 0
    for number in range(seed, seed + seeds):
        logs = folder / str(number)
        logs.mkdir(parents=True, exist_ok=True)
        runner = Soak(
            seed=number, seconds=seconds, nodes=nodes, folder=logs, callers=callers
        )
        result = run(runner.run())
        broken += bool(result.violations)
        _print(result)
    click.echo(f"{seeds} seeds, {broken} with a broken promise")
    if broken:
        sys.exit(EXIT_FAILED)


def _print(result: SoakResult) -> None:
    click.echo(
        f"seed {result.seed}: {result.faults} faults, {result.calls} calls, "
        f"{result.succeeded} succeeded, {result.refused} refused; slowest start "
        f"{result.slowest_start_seconds:.1f} s, all served again after "
        f"{result.recovery_seconds:.1f} s"
    )
    for violation in result.violations:
        click.echo(f"  broken: {violation.promise}: {violation.detail}")
