"""Whether a request may have run at a target."""

from enum import Enum


class Verdict(str, Enum):
    """Execution state of a request, as far as it is known.

    The states are in the order in which a request reaches them: it starts as
    ``NOT_RUN``, becomes ``MAY_HAVE_RUN`` when the first byte is handed to a socket
    towards a target, and ``RAN`` when the target's response arrives.
    """

    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"
    RAN = "ran"

    def merge(self, other: "Verdict") -> "Verdict":
        """Return the verdict of a request with both attempts: the later state."""
        return max(self, other, key=_ORDER.index)


_ORDER = [Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN, Verdict.RAN]
