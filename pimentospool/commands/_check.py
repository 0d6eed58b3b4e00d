"""`pimentospool check`."""

import sys
from pathlib import Path

import click

from pimentospool.commands._common import EXISTING_FILE, EXIT_REFUSED
from pimentospool.errors import DocumentErrors
from pimentospool.manifest import read_manifest
from pimentospool.settings import read_settings


@click.command()
@click.option(
    "--settings", "settings", type=EXISTING_FILE, multiple=True, help="Settings file."
)
@click.option(
    "--manifest", "manifests", type=EXISTING_FILE, multiple=True, help="Manifest."
)
def check(settings: tuple[Path, ...], manifests: tuple[Path, ...]) -> None:
    """Check settings files and manifests, and print every error with its location."""
    any_refused = False
    documents = [(path, read_settings) for path in settings]
    documents += [(path, read_manifest) for path in manifests]  # type: ignore[misc]
    for path, read_document in documents:
        try:
            read_document(path)
        except DocumentErrors as exc:
            any_refused = True
            for error in exc.exceptions:
                click.echo(f"{path}: {error}", err=True)
        else:
            click.echo(f"{path}: accepted")
    if any_refused:
        sys.exit(EXIT_REFUSED)
