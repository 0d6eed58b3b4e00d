"""`pimentospool pack`."""

from pathlib import Path

import msgspec
from click.testing import CliRunner

from pimentospool._generated.platform import RevisionIndex
from pimentospool.cli import main
from pimentospool.manifest import read_manifest
from pimentospool.revisions import INDEX_KEY, part_key, unpack_manifest

ROOT = Path(__file__).resolve().parents[2]


def example_manifest():
    paths = sorted(ROOT.glob("**/examples/magnolia/manifest.toml"))
    return paths[0]


def test_packed_files_unpack_to_the_manifest(tmp_path):
    path = example_manifest()
    args = ["pack", str(path), "--revision", "7", "--output", str(tmp_path)]
    assert CliRunner().invoke(main, args).exit_code == 0
    index = msgspec.json.decode((tmp_path / INDEX_KEY).read_bytes(), type=RevisionIndex)
    assert index.revision == 7
    parts = {
        ref.digest: (tmp_path / part_key(ref.digest)).read_bytes()
        for ref in index.parts
    }
    assert unpack_manifest(index, parts) == read_manifest(path)


def test_refused_manifest_writes_nothing(tmp_path):
    bad = tmp_path / "bad.toml"
    bad.write_text("deployment = 1\n")
    output = tmp_path / "out"
    args = ["pack", str(bad), "--revision", "1", "--output", str(output)]
    assert CliRunner().invoke(main, args).exit_code == 2
    assert not output.exists()
