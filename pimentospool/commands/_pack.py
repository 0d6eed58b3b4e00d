"""`pimentospool pack`."""

from pathlib import Path

import click
import msgspec

from pimentospool.commands._common import EXISTING_FILE, read_or_exit
from pimentospool.manifest import read_manifest
from pimentospool.revisions import INDEX_KEY, pack_manifest, part_key


@click.command()
@click.argument("manifest", type=EXISTING_FILE)
@click.option(
    "--revision", type=click.IntRange(min=1), required=True, help="Revision number."
)
@click.option(
    "--output",
    type=click.Path(file_okay=False, path_type=Path),
    required=True,
    help="Directory to write to.",
)
def pack(manifest: Path, revision: int, output: Path) -> None:
    """Write the files that publish MANIFEST under a revision number.

    The path of each file below the directory is its key in the configuration service.
    Publish the parts first and the index last. Parts that are published already need
    not be published again.
    """
    parsed_manifest = read_or_exit(read_manifest, manifest)
    packed = pack_manifest(parsed_manifest, revision=revision)
    for digest, data in packed.parts.items():
        _write_file(output / part_key(digest), data)
    _write_file(output / INDEX_KEY, msgspec.json.encode(packed.index))
    click.echo(f"revision {revision}: {len(packed.parts)} parts")


def _write_file(path: Path, data: bytes) -> None:
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(data)
