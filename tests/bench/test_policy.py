"""The policy bench: its engine model, its arrivals and short runs."""

import random
from pathlib import Path

import pytest

from pimentospool.bench import _policy, _policy_simulation, _policy_traffic
from pimentospool.bench._policy_cost import measure_decisions
from pimentospool.bench._policy_engine import Job, ModelledEngine, VirtualTime
from pimentospool.bench._policy_simulation import Fault
from pimentospool.manifest import ManifestIndex, TargetKind, read_manifest

EXAMPLES = Path(__file__).resolve().parents[2] / "examples"


@pytest.fixture(scope="module")
def manifest():
    return read_manifest(EXAMPLES / "tsuzumi/manifest.toml")


@pytest.fixture
def short_run(monkeypatch):
    monkeypatch.setattr(_policy_traffic, "DURATION_SECONDS", 40.0)
    monkeypatch.setattr(_policy_simulation, "DURATION_SECONDS", 40.0)
    monkeypatch.setattr(_policy_simulation, "FAULT_START_SECONDS", 10.0)
    monkeypatch.setattr(_policy_simulation, "FAULT_END_SECONDS", 30.0)
    monkeypatch.setattr(_policy, "WARM_UP_SECONDS", 5.0)


def test_engine_model_grants_slots_by_priority_and_caches_prefixes(manifest):
    time = VirtualTime()
    index = ManifestIndex(manifest=manifest)
    target = next(t for t in manifest.targets if t.kind is TargetKind.ENGINE)
    engine = ModelledEngine(
        target=target,
        region=index.region_of(target),
        time=time,
        rng=random.Random(1),
        event_loss=0.0,
    )
    first_token_at = {}

    def submit(name, priority, blocks):
        job = Job(
            blocks=tuple(blocks),
            prompt_tokens=4000,
            max_tokens=25,
            priority=priority,
            on_first_token=lambda: first_token_at.__setitem__(name, time.now),
            on_end=lambda whole: None,
        )
        engine.submit(job)

    history = [f"h{n}" for n in range(62)]
    for number in range(target.slots):
        submit(number, 10, history if number < 2 else [])
    submit("long", 10, [])
    submit("short", 0, [])
    time.run(60.0)
    assert first_token_at[0] == pytest.approx(1.0)
    assert first_token_at[1] == pytest.approx(1.0 + (4000 - 62 * 64) / 4000)
    assert first_token_at["short"] < first_token_at["long"]
    assert engine.totals.cached_tokens == 62 * 64


def test_arrivals_are_fixed_by_seed_and_peak_at_the_local_hour(manifest):
    index = ManifestIndex(manifest=manifest)
    arrivals = _policy_traffic.make_arrivals(index, 3)
    again = _policy_traffic.make_arrivals(index, 3)
    assert [a.at for a in arrivals] == [a.at for a in again]
    assert arrivals[5].blocks == again[5].blocks
    assert {a.region for a in arrivals} == set(index.regions)
    assert _policy_traffic.daily_rate_share(9.0) == 1.0
    assert _policy_traffic.daily_rate_share(12.0) < 0.5


@pytest.mark.parametrize("fault", list(Fault))
def test_short_run_is_repeatable_and_serves_almost_all_requests(
    manifest, short_run, fault
):
    run = _policy.run_policy_bench(manifest, fault=fault, seed=2)
    again = _policy.run_policy_bench(manifest, fault=fault, seed=2)
    assert run == again
    assert len({(f.requests, f.unservable) for f in run.figures}) <= 2
    for item in run.figures:
        assert item.requests > 200
        assert 0 < item.short_p50_ms <= item.short_p99_ms
        assert item.refused_share < 0.1
    assert {f.policy for f in run.figures} == {_policy.GATEWAY, *_policy.BASELINES}


def test_refused_requests_count_with_their_deadline(manifest, short_run, monkeypatch):
    monkeypatch.setattr(
        _policy_simulation.Simulation,
        "send_to_target",
        lambda self, node, req, target: self.refuse(req, "broken"),
    )
    run = _policy.run_policy_bench(manifest, fault=Fault.NONE, seed=2)
    assert run.figures[0].refused_share == 1.0
    assert run.figures[0].short_p50_ms == 10_000


def test_decision_cost_is_measured():
    cost = measure_decisions(targets=90, regions=3, zones=3, decisions=200, seed=1)
    assert cost.own_targets == 30
    assert cost.mean_us > 0
