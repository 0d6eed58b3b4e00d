"""HTTP exchanges with targets and with entry VMs of other regions."""

from pimentospool.targets._exchange import (
    REQUEST_ID_HEADER,
    VERDICT_HEADER,
    Answer,
    AttemptFailure,
    Exchange,
    ExchangeClient,
)

__all__ = [
    "REQUEST_ID_HEADER",
    "VERDICT_HEADER",
    "Answer",
    "AttemptFailure",
    "Exchange",
    "ExchangeClient",
]
