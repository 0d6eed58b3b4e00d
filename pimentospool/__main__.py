"""Entry point of ``python -m pimentospool``."""

from pimentospool.cli import main

if __name__ == "__main__":
    main()
