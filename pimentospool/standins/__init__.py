"""Stand-ins for the systems around the gateway, for tests, benchmarks and demos."""

from pimentospool.standins._configuration import ConfigurationService
from pimentospool.standins._deployment import StandinDeployment
from pimentospool.standins._directory import Directory, VmListService
from pimentospool.standins._endless_answer_target import EndlessAnswerTarget
from pimentospool.standins._engine import EngineProfile, ModelEngine, token_text
from pimentospool.standins._executions import Execution
from pimentospool.standins._platform_caller import (
    CallEnd,
    PlatformCall,
    PlatformCaller,
)
from pimentospool.standins._platform_documents import (
    CONFIGURATION_KEY,
    GRACE_SECONDS,
    HOST,
    RETRY_BUDGET_EXTRA,
    RETRY_BUDGET_RATIO,
    RETRY_BUDGET_WINDOW_SECONDS,
    ZONES,
    NodePorts,
    free_node_ports,
    platform_configuration,
    platform_route,
    platform_settings,
    platform_tenant,
    target_entry,
    target_key,
)
from pimentospool.standins._server import StandinServer, serve_standin
from pimentospool.standins._service import PlainService, ServiceAnswer
from pimentospool.standins._signing_target import (
    Fault,
    ReceivedRequest,
    SigningTarget,
)
from pimentospool.standins._store import StoreStandin

__all__ = [
    "CONFIGURATION_KEY",
    "GRACE_SECONDS",
    "HOST",
    "RETRY_BUDGET_EXTRA",
    "RETRY_BUDGET_RATIO",
    "RETRY_BUDGET_WINDOW_SECONDS",
    "ZONES",
    "CallEnd",
    "ConfigurationService",
    "Directory",
    "EndlessAnswerTarget",
    "EngineProfile",
    "Execution",
    "Fault",
    "ModelEngine",
    "NodePorts",
    "PlainService",
    "PlatformCall",
    "PlatformCaller",
    "ReceivedRequest",
    "ServiceAnswer",
    "SigningTarget",
    "StandinDeployment",
    "StandinServer",
    "StoreStandin",
    "VmListService",
    "free_node_ports",
    "platform_configuration",
    "platform_route",
    "platform_settings",
    "platform_tenant",
    "serve_standin",
    "target_entry",
    "target_key",
    "token_text",
]
