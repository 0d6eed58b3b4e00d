"""Builds the program as a single file that runs on the CPython 3.11 of a VM."""

import argparse
import shutil
import subprocess
import sys
import tempfile
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
DEFAULT_OUTPUT = ROOT / "dist" / "pimentospool"


def build(output: Path) -> None:
    """Write the program and its dependencies, as installed in the venv, to `output`."""
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    output.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as folder:
        shutil.copytree(
            ROOT / "pimentospool",
            Path(folder) / "pimentospool",
            ignore=shutil.ignore_patterns("__pycache__"),
        )
        command = [
            *(sys.executable, "-m", "pex"),
            *(name.replace(" ", "") for name in project["dependencies"]),
            *("--pre", "--venv-repository", sys.prefix),
            *("--sources-directory", folder),
            *("--entry-point", "pimentospool.__main__:main"),
            *("--sh-boot", "--output-file", str(output)),
        ]
        subprocess.run(command, check=True, cwd=ROOT)


def main() -> None:
    """Build the program."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--output", type=Path, default=DEFAULT_OUTPUT)
    build(parser.parse_args().output)


if __name__ == "__main__":
    main()
