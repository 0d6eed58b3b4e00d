"""Signed text form of operation tickets."""

from pimentospool.policy import OperationRef
from pimentospool.signing import TextSigner


class TicketSigner(TextSigner[OperationRef]):
    """Signs and verifies operation ids with the peers' shared key.

    Parameters
    ----------
    key : str
        Shared secret from the settings.
    """

    def __init__(self, *, key: str) -> None:
        super().__init__(key=key, purpose="ticket", kind=OperationRef)
