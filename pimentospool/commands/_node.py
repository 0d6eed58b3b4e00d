"""`pimentospool node`."""

import os
from pathlib import Path

import click

from pimentospool._generated.settings import LogSettings
from pimentospool.commands._common import EXIT_REFUSED, run
from pimentospool.log_output import open_log
from pimentospool.platform import (
    SETTINGS_VARIABLE,
    NodeSettingsError,
    read_node_settings,
    run_node,
)


@click.command()
@click.argument("settings", required=False)
def node(settings: str | None) -> None:
    """Run one process on the users' platform.

    Without SETTINGS, the settings file named by the platform's environment variable is
    read. The process serves until SIGTERM, then lets the requests in progress end and
    exits.
    """
    path = Path(settings or os.environ.get(SETTINGS_VARIABLE, ""))
    try:
        cfg = read_node_settings(path)
    except NodeSettingsError as exc:
        click.echo(f"settings refused: {exc}", err=True)
        raise SystemExit(EXIT_REFUSED) from exc
    handler = open_log(LogSettings())
    try:
        run(run_node(cfg, path))
    finally:
        handler.flush()
