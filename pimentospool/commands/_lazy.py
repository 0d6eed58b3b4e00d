"""Command groups that import the module of a command when it is first used."""

from importlib import import_module
from typing import Any

import click


class LazyGroup(click.Group):
    """Command group that imports its commands from modules named after them.

    The command ``some-name`` is the attribute ``some_name`` of the module
    ``PREFIXsome_name``.

    Parameters
    ----------
    module_prefix : str
        Common start of the module names, such as ``package._bench_``.
    names : list of str
        Names of the commands.
    """

    def __init__(
        self,
        *args: Any,
        module_prefix: str = "",
        names: list[str] | None = None,
        **kwargs: Any,
    ) -> None:
        super().__init__(*args, **kwargs)
        self._module_prefix = module_prefix
        self._names = names or []

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands."""
        return sorted([*super().list_commands(ctx), *self._names])

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Return a command by its name; imports its module if necessary."""
        if cmd_name not in self._names:
            return super().get_command(ctx, cmd_name)
        attribute = cmd_name.replace("-", "_")
        module = import_module(self._module_prefix + attribute)
        command: click.Command = getattr(module, attribute)
        return command
