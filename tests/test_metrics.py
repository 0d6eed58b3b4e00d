"""Metrics: values, bounded labels, and the catalogue in docs/metrics.md."""

import random
import re
from pathlib import Path

import pytest
from prometheus_client.parser import text_string_to_metric_families

from pimentospool import latencies
from pimentospool import metrics as metrics_module
from pimentospool.configuration_service import PlatformClient
from pimentospool.control import ControlPlane
from pimentospool.control_metrics import add_control_gauges
from pimentospool.errors import Reason
from pimentospool.ids import CustomerId, RegionId, RequestId
from pimentospool.metrics import EntryMetrics
from pimentospool.outcomes import RequestOutcome
from pimentospool.requests import RequestKind
from pimentospool.settings import read_settings
from pimentospool.verdicts import Verdict
from pimentospool.views import View

ROOT = Path(__file__).resolve().parent.parent
CATALOGUE = ROOT / "docs" / "metrics.md"
SETTINGS = ROOT / "examples" / "magnolia" / "entries" / "gulf-1.toml"


def make_outcome(**changes):
    fields = {
        "request_id": RequestId("r"),
        "customer": CustomerId("stores"),
        "kind": RequestKind.MODEL,
        "verdict": Verdict.RAN,
        "is_hop": False,
        "attempts": 1,
        "total_seconds": 0.2,
    }
    return RequestOutcome(**{**fields, **changes})


def samples(metrics):
    text = metrics.render().body.decode()
    return {
        (sample.name, frozenset(sample.labels.items())): sample.value
        for family in text_string_to_metric_families(text)
        for sample in family.samples
    }


def value(metrics, name, **labels):
    found = [
        amount
        for (known, pairs), amount in samples(metrics).items()
        if known == name and set(labels.items()) <= pairs
    ]
    assert len(found) == 1, (name, labels, found)
    return found[0]


def test_quantiles_and_counts_of_requests():
    metrics = EntryMetrics(region=RegionId("gulf"), clock=lambda: 0.0)
    for number in range(1, 101):
        metrics.record(make_outcome(total_seconds=number / 100))
    name = "pimentospool_request_seconds"
    assert value(metrics, name, quantile="0.5") == pytest.approx(0.5, rel=0.02)
    assert value(metrics, name, quantile="0.99") == pytest.approx(0.99, rel=0.02)
    assert value(metrics, f"{name}_count", customer="stores") == 100


def test_quantiles_cover_recent_windows_only():
    now = [0.0]
    metrics = EntryMetrics(region=RegionId("gulf"), clock=lambda: now[0])
    metrics.record(make_outcome(total_seconds=10.0))
    now[0] = 2 * latencies.WINDOW_SECONDS
    metrics.record(make_outcome(total_seconds=0.1))
    name = "pimentospool_request_seconds"
    assert value(metrics, name, quantile="0.99") == pytest.approx(0.1, rel=0.02)


def test_refusals_and_requests_sent_to_other_regions():
    metrics = EntryMetrics(region=RegionId("gulf"))
    metrics.record(make_outcome(sent_to_region=RegionId("delta"), attempts=3))
    metrics.record(make_outcome(reason=Reason.NO_TARGET, verdict=Verdict.NOT_RUN))
    assert value(metrics, "pimentospool_requests_sent_away_total", region="delta") == 1
    assert value(metrics, "pimentospool_request_retries_total") == 2
    refused = value(metrics, "pimentospool_request_refusals_total", reason="no-target")
    assert refused == 1


def count_customer_labels(metrics):
    return len(
        {
            dict(pairs)["customer"]
            for name, pairs in samples(metrics)
            if name == "pimentospool_request_seconds_count"
        }
    )


def test_customer_labels_stay_bounded_with_4000_customers(monkeypatch):
    metrics = EntryMetrics(region=RegionId("gulf"))
    for number in range(4000):
        metrics.record(make_outcome(customer=CustomerId(f"c{number}")))
    assert count_customer_labels(metrics) == metrics_module.MAX_CUSTOMER_LABELS + 1
    name = "pimentospool_request_seconds_count"
    others = value(metrics, name, customer=metrics_module.OTHER_CUSTOMERS)
    assert others == 4000 - metrics_module.MAX_CUSTOMER_LABELS


def test_catalogue_names_every_metric_of_a_running_entry(entry_metrics):
    rows = re.findall(
        r"^\| `(pimentospool_\w+)` \| (\w+) ", CATALOGUE.read_text(), re.M
    )
    published = {
        (family.name, family.type) for family in entry_metrics.registry.collect()
    }
    assert published == set(rows)


@pytest.fixture
def entry_metrics():
    metrics = EntryMetrics(region=RegionId("gulf"))
    metrics_module.add_process_gauges(
        metrics,
        metrics_module.ProcessGaugeReaders(
            revision=lambda: 1,
            revision_age_seconds=lambda: 2.0,
            in_progress=lambda: 0,
            leaving=lambda: False,
        ),
    )
    cfg = read_settings(SETTINGS)
    control = ControlPlane(
        cfg=cfg,
        view=View(),
        platform=PlatformClient(cfg=cfg.platform),
        generation=1,
        rng=random.Random(1),
    )
    add_control_gauges(metrics, control)
    return metrics
