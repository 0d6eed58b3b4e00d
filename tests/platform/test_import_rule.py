"""The platform's names stay in `platform/`, and nothing else depends on it."""

import ast
import re
from pathlib import Path

PACKAGE = Path(__file__).resolve().parents[2] / "pimentospool"
ADAPTER = PACKAGE / "platform"
MAY_IMPORT = {PACKAGE / "commands" / "_node.py"}
SPELLINGS = re.compile(
    r"X-Response-Seal|X-Not-Executed|X-Token-Count|X-Prompt-Prefix|X-Expect-Instance"
    r"|X-Cold-Remaining|kv-watch|kv-range|ListenAddrs|ColdLeftMs|InternalPorts"
    r"|op/config|op/evacuate|MaxAttempts|PIMENTOSPOOL_CONFIG\b",
    re.IGNORECASE,
)
KEEPS_ITS_OWN = {
    # The product's own engines carry the same header as those of the platform.
    PACKAGE / "targets" / "_exchange.py": {"x-not-executed"},
}


def sources():
    for path in PACKAGE.rglob("*.py"):
        if ADAPTER not in path.parents and "standins" not in path.parts:
            yield path


def test_only_the_command_imports_the_adapter():
    for path in sources():
        for node in ast.walk(ast.parse(path.read_text())):
            names = []
            if isinstance(node, ast.ImportFrom):
                names = [node.module or ""]
            elif isinstance(node, ast.Import):
                names = [alias.name for alias in node.names]
            used = any(name.startswith("pimentospool.platform") for name in names)
            assert not used or path in MAY_IMPORT, path


def test_spellings_of_the_platform_stay_in_the_adapter():
    for path in sources():
        found = {match.lower() for match in SPELLINGS.findall(path.read_text())}
        assert found <= KEEPS_ITS_OWN.get(path, set()), path


def test_adapter_holds_no_policy():
    for path in ADAPTER.glob("*.py"):
        assert "pimentospool.policy" not in path.read_text(), path
