"""Signed header of a hop between entry VMs."""

from pimentospool._generated.callers import HopHeader
from pimentospool.signing import TextSigner

HOP_HEADER = "X-Hop"
HOP_PREFIX = "/hop"


class HopSigner(TextSigner[HopHeader]):
    """Signs and verifies hop headers with the peers' shared key.

    Parameters
    ----------
    key : str
        Secret that all entry VMs share, from the settings.
    """

    def __init__(self, *, key: str) -> None:
        super().__init__(key=key, purpose="hop", kind=HopHeader)
