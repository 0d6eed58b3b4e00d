"""Program of the gateway."""

from pimentospool.cli import main

if __name__ == "__main__":
    main()
