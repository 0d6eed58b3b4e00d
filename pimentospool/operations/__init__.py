"""Operations, which run at most once: tickets, owners and stored answers."""

from pimentospool.operations._failures import operation_failure
from pimentospool.operations._server import OperationServer
from pimentospool.operations._tickets import TicketSigner

__all__ = ["OperationServer", "TicketSigner", "operation_failure"]
