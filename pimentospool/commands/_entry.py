"""`pimentospool entry`."""

from pathlib import Path

import click

from pimentospool.commands._common import EXISTING_FILE, exit_refused, read_or_exit, run
from pimentospool.entry import run_entry
from pimentospool.errors import DocumentErrors
from pimentospool.log_output import open_log
from pimentospool.settings import read_settings


@click.command()
@click.argument("settings", type=EXISTING_FILE)
def entry(settings: Path) -> None:
    """Run one entry process with the SETTINGS file (TOML).

    It serves until SIGTERM or SIGINT, then lets the requests in progress end and exits.
    """
    cfg = read_or_exit(read_settings, settings)
    open_log(cfg.logs)
    try:
        run(run_entry(cfg))
    except DocumentErrors as exc:
        exit_refused(settings, exc)
