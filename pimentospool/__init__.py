"""A multi-region inference gateway without shared state."""

__version__ = "0.1.0"
