"""`pimentospool soak`."""

import sys
from pathlib import Path

import click

from pimentospool.commands._common import EXIT_FAILED, run
from pimentospool.soak import CALLERS_PER_NODE, Soak, SoakResult


@click.command()
@click.option("--seed", default=1, show_default=True, help="First seed.")
@click.option("--seeds", default=1, show_default=True, help="Number of seeds to run.")
@click.option(
    "--seconds", default=12.0, show_default=True, help="How long faults are injected."
)
@click.option("--nodes", default=4, show_default=True, help="Node processes.")
@click.option(
    "--callers",
    default=CALLERS_PER_NODE,
    show_default=True,
    help="Callers of each node.",
)
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
    """Run nodes as processes under random faults and check what callers saw.

    Exits with 0 only if no promise was broken for any seed.
    """
    failed_seeds = 0
    for number in range(seed, seed + seeds):
        seed_folder = folder / str(number)
        seed_folder.mkdir(parents=True, exist_ok=True)
        runner = Soak(
            seed=number,
            seconds=seconds,
            nodes=nodes,
            folder=seed_folder,
            callers=callers,
        )
        result = run(runner.run())
        failed_seeds += bool(result.violations)
        _print_result(result)
    click.echo(f"{seeds} seeds, {failed_seeds} with a broken promise")
    if failed_seeds:
        sys.exit(EXIT_FAILED)


def _print_result(result: SoakResult) -> None:
    click.echo(
        f"seed {result.seed}: {result.faults} faults, {result.calls} calls, "
        f"{result.succeeded} succeeded, {result.refused} refused; slowest start "
        f"{result.slowest_start_seconds:.1f} s, all served again after "
        f"{result.recovery_seconds:.1f} s"
    )
    for violation in result.violations:
        click.echo(f"  broken: {violation.promise}: {violation.detail}")
