"""Count of the connections to targets and entry VMs, over all pools of a process."""

from collections.abc import Callable


class OpenConnections:
    """Counts the connections of all pools against their limit.

    Parameters
    ----------
    limit : float
        Connections that may be open at once.
    close_idle : callable
        Closes the connection that was idle for longest; returns whether there is one.
    """

    def __init__(
        self, *, limit: float, close_idle: Callable[[], bool] = lambda: False
    ) -> None:
        self.limit = limit
        self.count = 0
        self._close_idle = close_idle

    def reserve(self) -> bool:
        """Count one more connection; return False, and count nothing, without room."""
        if self.count >= self.limit and not self._close_idle():
            return False
        self.count += 1
        return True

    def release(self) -> None:
        """Count one connection less."""
        self.count -= 1
