"""Entry point of ``python -m pimentospool`` and of the installed command."""

import signal
import sys

RELOADING_COMMAND = "node"
"""Command that reloads its settings on SIGHUP once it runs."""


def main() -> None:
    """Run the command line."""
    if sys.argv[1:2] == [RELOADING_COMMAND]:
        # Until then it would end the process, and loading the modules takes a while.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from pimentospool.cli import main as run_command

    run_command()


if __name__ == "__main__":
    main()
