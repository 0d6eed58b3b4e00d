"""Reading and validating scenarios, and planning their faults from a seed."""

import random
from pathlib import Path

import pytest

from pimentospool._generated.scenario import FaultKind
from pimentospool.drill import ScenarioPlanner, parse_scenario, read_scenario
from pimentospool.errors import DocumentErrors
from pimentospool.manifest import read_manifest

EXAMPLES = Path(__file__).resolve().parents[2] / "examples"
SHIPPED_SCENARIOS = sorted((EXAMPLES / "scenarios").glob("*.toml"))
SCENARIO_HEAD = 'name = "x"\ntitle = "X"\nseconds = 5.0\n[[faults]]\n'


def plan(path, deployment, seed):
    manifest = read_manifest(EXAMPLES / deployment / "manifest.toml")
    entries = {
        region.id: [f"{region.id}-1", f"{region.id}-2"] for region in manifest.regions
    }
    planner = ScenarioPlanner(
        manifest=manifest, entries=entries, rng=random.Random(seed)
    )
    return planner.plan(read_scenario(path))


@pytest.mark.parametrize("deployment", ["magnolia", "tsuzumi"])
@pytest.mark.parametrize("path", SHIPPED_SCENARIOS, ids=lambda path: path.stem)
def test_plans_of_shipped_scenarios_are_the_same_for_a_seed(path, deployment):
    planned = plan(path, deployment, 1)
    assert planned == plan(path, deployment, 1)
    assert [fault.start for fault in planned] == sorted(f.start for f in planned)
    for fault in planned:
        assert fault.other_region != fault.region


def test_shipped_scenarios_cover_every_fault_kind():
    kinds = {
        fault.kind for path in SHIPPED_SCENARIOS for fault in read_scenario(path).faults
    }
    assert kinds == set(FaultKind)


def test_plans_differ_between_seeds():
    plans = [plan(SHIPPED_SCENARIOS[1], "magnolia", seed) for seed in range(5)]
    assert any(other != plans[0] for other in plans)


@pytest.mark.parametrize(
    ("fault", "path"),
    [
        ('kind = "link-cut"\nstart = 1.0', "faults[0].end"),
        ('kind = "link-cut"\nstart = 1.0\nend = 6.0', "faults[0].end"),
        ('kind = "caches-cold"\nstart = 1.0\nend = 2.0', "faults[0].end"),
        ('kind = "caches-cold"\nstart = 9.0', "faults[0].start"),
        ('kind = "nothing"\nstart = 1.0', "faults[0].kind"),
        ('kind = "caches-cold"\nstart = 1.0\nwhere = 1', "faults[0]"),
    ],
)
def test_errors_in_scenarios_name_their_path(fault, path):
    with pytest.raises(DocumentErrors) as raised:
        parse_scenario((SCENARIO_HEAD + fault).encode())
    assert [error.path for error in raised.value.exceptions] == [path]
