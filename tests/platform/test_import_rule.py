"""Only `platform/` spells the platform's names, and only one command imports it."""

import ast
import re
from pathlib import Path

PACKAGE = Path(__file__).resolve().parents[2] / "pimentospool"
ADAPTER = PACKAGE / "platform"
MAY_IMPORT = {PACKAGE / "commands" / "_node.py"}
PLATFORM_NAMES = re.compile(
    r"X-Response-Seal|X-Not-Executed|X-Token-Count|X-Prompt-Prefix|X-Expect-Instance"
    r"|X-Cold-Remaining|kv-watch|kv-range|ListenAddrs|ColdLeftMs|InternalPorts"
    r"|op/config|op/evacuate|MaxAttempts|PIMENTOSPOOL_CONFIG\b",
    re.IGNORECASE,
)
ALLOWED_NAMES = {
    # The project's own model engines use a header of the same name.
    PACKAGE / "targets" / "_exchange.py": {"x-not-executed"},
}


def sources_outside_adapter():
    for path in PACKAGE.rglob("*.py"):
        if ADAPTER not in path.parents and "standins" not in path.parts:
            yield path


def test_only_the_command_imports_the_adapter():
    for path in sources_outside_adapter():
        for node in ast.walk(ast.parse(path.read_text())):
            modules = []
            if isinstance(node, ast.ImportFrom):
                modules = [node.module or ""]
            elif isinstance(node, ast.Import):
                modules = [alias.name for alias in node.names]
            imports_adapter = any(
                module.startswith("pimentospool.platform") for module in modules
            )
            assert not imports_adapter or path in MAY_IMPORT, path


def test_only_the_adapter_spells_names_of_the_platform():
    for path in sources_outside_adapter():
        found = {match.lower() for match in PLATFORM_NAMES.findall(path.read_text())}
        assert found <= ALLOWED_NAMES.get(path, set()), path


def test_adapter_does_not_import_the_policy():
    for path in ADAPTER.glob("*.py"):
        assert "pimentospool.policy" not in path.read_text(), path
