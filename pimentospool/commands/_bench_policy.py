"""`pimentospool bench policy`."""

from pathlib import Path

import click
import msgspec
from rich.console import Console
from rich.table import Table

from pimentospool.bench._policy import PolicyRun, run_policy_bench
from pimentospool.bench._policy_simulation import Fault
from pimentospool.commands._common import EXISTING_FILE, read_or_exit
from pimentospool.commands._demo import DEPLOYMENTS
from pimentospool.commands._progress import progress_spinner
from pimentospool.manifest import read_manifest
from pimentospool.paths import EXAMPLES

_FIGURES = [
    "short_p50_ms",
    "short_p95_ms",
    "short_p99_ms",
    "long_p50_ms",
    "long_p95_ms",
    "long_p99_ms",
    "cost_per_1000",
]
_SHARES = ["away_share", "miss_share", "refused_share"]


@click.command()
@click.option("--deployment", type=click.Choice(DEPLOYMENTS), default="magnolia")
@click.option(
    "--manifest", type=EXISTING_FILE, help="Manifest to use instead of the example."
)
@click.option(
    "--fault", type=click.Choice([fault.value for fault in Fault]), default="none"
)
@click.option("--seed", "seeds", multiple=True, type=int, help="May be repeated.")
@click.option("--json", "output", type=click.Path(path_type=Path, dir_okay=False))
def policy(
    deployment: str,
    manifest: Path | None,
    fault: str,
    seeds: tuple[int, ...],
    output: Path | None,
) -> None:
    """Compare the gateway's routing with plain load balancing, in virtual time.

    The gateway's real routing, limits and queue, and four baselines, each serve the
    same arrivals on a queue model of the engines.
    """
    path = manifest or EXAMPLES / deployment / "manifest.toml"
    parsed_manifest = read_or_exit(read_manifest, path)
    runs = []
    for seed in seeds or (1,):
        with progress_spinner(f"comparing policies, seed {seed}"):
            run = run_policy_bench(parsed_manifest, fault=Fault(fault), seed=seed)
        runs.append(run)
        _print_run(run)
    if output is not None:
        output.write_bytes(msgspec.json.encode(runs))


def _print_run(run: PolicyRun) -> None:
    title = f"{run.deployment}, fault {run.fault}, seed {run.seed}"
    table = Table(title=title)
    table.add_column("policy")
    for name in (*_FIGURES, *_SHARES):
        table.add_column(name.replace("_", " "), justify="right")
    for item in run.figures:
        figures = [f"{getattr(item, name):.0f}" for name in _FIGURES]
        shares = [f"{getattr(item, name):.2%}" for name in _SHARES]
        table.add_row(item.policy, *figures, *shares)
    console = Console(width=140)
    console.print(table)
    gateway = run.figures[0]
    unservable = gateway.unservable
    console.print(
        f"{gateway.requests} requests counted; {unservable} had no allowed region up"
    )
    console.print(f"refusals of the gateway: {gateway.refusals or 'none'}")
    for comparison in run.comparisons:
        verdict = "met" if comparison.met else "missed"
        console.print(
            f"{verdict}: {comparison.name} {comparison.gateway:.4g}, at most "
            f"{comparison.bound:g} times the best baseline's {comparison.baseline:.4g}"
        )
