"""Commands of the program, one module each."""

import click

from pimentospool.commands._check import check
from pimentospool.commands._demo import demo
from pimentospool.commands._entry import entry
from pimentospool.commands._standin import standin

COMMANDS: list[click.Command] = [check, demo, entry, standin]

__all__ = ["COMMANDS"]
