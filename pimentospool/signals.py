"""Signals through which extensions observe the gateway."""

from collections.abc import Callable
from typing import Generic, ParamSpec

P = ParamSpec("P")


class Signal(Generic[P]):
    """A named event to which receivers connect.

    Parameters
    ----------
    name : str
        Name shown in errors and logs.
    """

    def __init__(self, *, name: str) -> None:
        self.name = name
        self._receivers: list[Callable[P, None]] = []

    def connect(self, receiver: Callable[P, None]) -> None:
        """Add a receiver; receivers are called in the order of connection."""
        self._receivers.append(receiver)

    def disconnect(self, receiver: Callable[P, None]) -> None:
        """Remove a connected receiver."""
        self._receivers.remove(receiver)

    def send(self, *args: P.args, **kwargs: P.kwargs) -> None:
        """Call every receiver with the given arguments."""
        for receiver in self._receivers:
            receiver(*args, **kwargs)
