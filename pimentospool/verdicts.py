"""Whether a request may have run at a target."""

from enum import Enum


class Verdict(str, Enum):
    """Execution state of a request, as far as it is known.

    The order is that of knowledge gained: a request starts as ``NOT_RUN``, turns
    into ``MAY_HAVE_RUN`` with the first byte handed to a socket towards a target,
    and into ``RAN`` when the target's answer arrives.
    """

    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"
    RAN = "ran"

    def merge(self, other: "Verdict") -> "Verdict":
        """Return the verdict of a request that made both attempts."""
        return max(self, other, key=_ORDER.index)


_ORDER = [Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN, Verdict.RAN]
