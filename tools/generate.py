"""Generates typed structs from the JSON Schemas; ``--check`` only compares them."""

import argparse
import json
import sys
import tempfile
import warnings
from pathlib import Path
from typing import Any

from datamodel_code_generator import (
    DataModelType,
    InputFileType,
    PythonVersion,
    generate,
)

ROOT = Path(__file__).resolve().parent.parent / "pimentospool"
SCHEMAS = ROOT / "schema"
OUTPUT = ROOT / "_generated"


def require_defaulted(node: Any) -> Any:
    """Mark every property with a default as required.

    The generator then emits a plain field with that default instead of a union with a
    type for absent values.
    """
    if isinstance(node, list):
        return [require_defaulted(item) for item in node]
    if not isinstance(node, dict):
        return node
    node = {name: require_defaulted(value) for name, value in node.items()}
    properties = node.get("properties", {})
    defaulted = [
        name
        for name, value in properties.items()
        if isinstance(value, dict) and "default" in value
    ]
    if defaulted:
        node["required"] = [*node.get("required", []), *defaulted]
    return node


def _base_class(schema: dict[str, Any]) -> str:
    if schema.get("x-encoding") == "array":
        return "pimentospool.documents.Message"
    if schema.get("additionalProperties") is False:
        return "pimentospool.documents.Document"
    return "msgspec.Struct"


def generate_module(schema: Path, output: Path) -> None:
    """Write the structs of one schema to `output`."""
    document = json.loads(schema.read_text())
    generate(
        json.dumps(require_defaulted(document)),
        input_file_type=InputFileType.JsonSchema,
        input_filename=schema.name,
        output=output,
        output_model_type=DataModelType.MsgspecStruct,
        target_python_version=PythonVersion.PY_311,
        disable_timestamp=True,
        field_constraints=True,
        use_annotated=True,
        use_schema_description=True,
        use_standard_collections=True,
        use_union_operator=True,
        use_title_as_name=True,
        set_default_enum_member=True,
        capitalise_enum_members=True,
        keyword_only=True,
        apply_default_values_for_required_fields=True,
        base_class=_base_class(document),
        use_default_kwarg=True,
        use_double_quotes=True,
    )


def main() -> int:
    """Generate every module, or print which modules are out of date."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true")
    warnings.simplefilter("ignore", FutureWarning)
    check = parser.parse_args().check
    outdated = []
    for schema in sorted(SCHEMAS.glob("*.json")):
        module = OUTPUT / f"{schema.stem}.py"
        with tempfile.TemporaryDirectory() as folder:
            generated = Path(folder) / module.name
            generate_module(schema, generated)
            new_text = generated.read_text()
        if not check:
            module.write_text(new_text)
        elif not module.exists() or module.read_text() != new_text:
            outdated.append(module.name)
    if outdated:
        print("out of date, run make generate:", ", ".join(outdated))
    return 1 if outdated else 0


if __name__ == "__main__":
    sys.exit(main())
