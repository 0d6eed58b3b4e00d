"""Metrics of the quotas of tenants."""

from collections.abc import Iterator, Mapping

from prometheus_client import CollectorRegistry, Counter
from prometheus_client.core import CounterMetricFamily, Metric
from prometheus_client.registry import Collector

from pimentospool.ids import TenantId

MAX_TENANT_LABELS = 64
"""Tenants with a label of their own, as for customers; the others share one."""
OTHER_TENANTS = "other"


class _CostCollector(Collector):
    """Publishes the cost that an owner has admitted and refused, by tenant."""

    def __init__(self, counts: Mapping[str, Mapping[TenantId, int]]) -> None:
        self._counts = counts
        self._labels: set[str] = set()

    def describe(self) -> Iterator[Metric]:
        """Return nothing, so that registering doesn't collect."""
        return iter(())

    def collect(self) -> Iterator[Metric]:
        """Return the present counts."""
        family = CounterMetricFamily(
            "pimentospool_quota_cost",
            "Cost of the requests on which this entry VM decided as an owner.",
            labels=["tenant", "result"],
        )
        for result, by_tenant in self._counts.items():
            sums: dict[str, int] = {}
            for tenant, cost in list(by_tenant.items()):
                label = self._label(tenant)
                sums[label] = sums.get(label, 0) + cost
            for label, cost in sums.items():
                family.add_metric([label, result], cost)
        yield family

    def _label(self, tenant: TenantId) -> str:
        if tenant not in self._labels and len(self._labels) >= MAX_TENANT_LABELS:
            return OTHER_TENANTS
        self._labels.add(tenant)
        return tenant


class QuotaMetrics:
    """Counters of queries to owners, and of the cost that this one decided on.

    Parameters
    ----------
    registry : CollectorRegistry or None
        Where the metrics are published; None for nowhere.
    cost_by_result : mapping
        Cost by tenant that was admitted and refused here.
    """

    def __init__(
        self,
        *,
        registry: CollectorRegistry | None,
        cost_by_result: Mapping[str, Mapping[TenantId, int]],
    ) -> None:
        self.asks = Counter(
            "pimentospool_quota_asks",
            "Requests for which an owner was asked.",
            registry=registry,
        )
        self.repeats = Counter(
            "pimentospool_quota_repeats",
            "Queries that were sent again.",
            registry=registry,
        )
        self.fallbacks = Counter(
            "pimentospool_quota_fallbacks",
            "Requests for which no owner replied.",
            registry=registry,
        )
        if registry is not None:
            registry.register(_CostCollector(cost_by_result))
