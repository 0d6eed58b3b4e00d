"""Command line of the gateway."""

import click

from pimentospool import __version__
from pimentospool.commands import COMMANDS, LazyGroup

EXIT_CODES = """\b
Exit codes:
  0  done
  1  failed: the message says why
  2  refused: bad arguments, settings or manifest
"""


@click.group(
    cls=LazyGroup,
    module_prefix="pimentospool.commands._",
    names=COMMANDS,
    epilog=EXIT_CODES,
    context_settings={"max_content_width": 88},
)
@click.version_option(__version__)
def main() -> None:
    """Multi-region inference gateway without shared state.

    Each entry VM runs `pimentospool entry` with its own settings file. The manifest
    is published through the platform's configuration service.
    """
