"""`pimentospool standin`."""

import asyncio
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

import click
import msgspec

from pimentospool._generated.engine import LoadedModel
from pimentospool._generated.platform import VmList
from pimentospool.commands._common import EXISTING_FILE, read_or_exit, run
from pimentospool.ids import ModelId
from pimentospool.manifest import read_manifest
from pimentospool.standins import (
    ConfigurationService,
    Directory,
    EngineProfile,
    ModelEngine,
    PlainService,
    VmListService,
    serve_standin,
)
from pimentospool.standins._server import Standin


@click.group()
@click.option("--address", default="127.0.0.1:0", show_default=True, help="IP:port.")
@click.pass_context
def standin(ctx: click.Context, address: str) -> None:
    """Run a stand-in for a system that the gateway talks to; prints its address."""
    ctx.obj = address


@standin.command()
@click.option("--model", "models", multiple=True, help="Loaded model, as id=version.")
@click.option("--slots", default=8, show_default=True)
@click.option("--speed", default=1.0, show_default=True, help="Factor on all speeds.")
@click.option("--seed", default=0, show_default=True)
@click.pass_obj
def engine(
    address: str,
    models: tuple[str, ...],
    slots: int,
    speed: float,
    seed: int,
) -> None:
    """Run a model engine with an OpenAI-compatible interface."""
    profile = EngineProfile(slots=slots, speed=speed, seed=seed)
    run(_serve(_make_engine(profile, models), address))


async def _make_engine(profile: EngineProfile, models: tuple[str, ...]) -> Standin:
    loaded_models = []
    for item in models:
        model, _, version = item.partition("=")
        loaded_models.append(LoadedModel(model=ModelId(model), version=version or "1"))
    return ModelEngine(profile=profile, models=loaded_models)


@standin.command()
@click.option("--seconds", default=0.005, show_default=True, help="Duration of a call.")
@click.pass_obj
def service(address: str, seconds: float) -> None:
    """Run a plain service that records every execution."""

    async def make_standin() -> Standin:
        return PlainService(service_seconds=seconds)

    run(_serve(make_standin(), address))


@standin.command()
@click.option("--manifest", "path", type=EXISTING_FILE, help="Published as revision 1.")
@click.pass_obj
def configuration(address: str, path: Path | None) -> None:
    """Run a configuration service whose values are read and watched."""
    manifest = read_or_exit(read_manifest, path) if path else None

    async def make_standin() -> Standin:
        standin_service = ConfigurationService()
        if manifest is not None:
            await standin_service.publish_manifest(manifest, revision=1)
        return standin_service

    run(_serve(make_standin(), address))


@standin.command(name="vm-list")
@click.option(
    "--vms", "path", type=EXISTING_FILE, help="JSON file of the initial list."
)
@click.option("--lag", default=1.0, show_default=True, help="Lag in seconds.")
@click.pass_obj
def vm_list(address: str, path: Path | None, lag: float) -> None:
    """Run the list of live and leaving VMs, which lags behind the real state."""

    async def make_standin() -> Standin:
        standin_service = VmListService(lag_seconds=lag)
        if path is not None:
            standin_service.seed(
                msgspec.json.decode(path.read_bytes(), type=VmList).vms
            )
        return standin_service

    run(_serve(make_standin(), address))


@standin.command()
@click.option("--entry", "entries", multiple=True, help="IP:port of an entry VM.")
@click.pass_obj
def directory(address: str, entries: tuple[str, ...]) -> None:
    """Run the directory that gives callers their first entry VMs."""

    async def make_standin() -> Standin:
        return Directory(addresses=list(entries))

    run(_serve(make_standin(), address))


async def _serve(standin_coroutine: Coroutine[Any, Any, Standin], address: str) -> None:
    server = await serve_standin(await standin_coroutine, address)
    click.echo(server.address)
    await asyncio.Event().wait()
