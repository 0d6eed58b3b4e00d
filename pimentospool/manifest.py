"""Reading, checking and lookups of the manifest."""

from collections import Counter
from collections.abc import Iterable, Iterator
from collections.abc import Set as AbstractSet
from pathlib import Path
from typing import cast

from pimentospool._generated.manifest import (
    Customer,
    DrillWindow,
    Link,
    Manifest,
    Model,
    Region,
    Service,
    ServiceCall,
    Serving,
    Target,
    TargetKind,
    TargetRole,
    Zone,
)
from pimentospool.errors import DocumentError
from pimentospool.ids import (
    CustomerId,
    ModelId,
    RegionId,
    ServiceId,
    TargetId,
    ZoneId,
)
from pimentospool.readers import decode_json, decode_toml
from pimentospool.settings import check_address

__all__ = [
    "Customer",
    "DrillWindow",
    "Link",
    "Manifest",
    "ManifestIndex",
    "Model",
    "Region",
    "Service",
    "ServiceCall",
    "Serving",
    "Target",
    "TargetKind",
    "TargetRole",
    "Zone",
    "check_manifest",
    "parse_manifest",
    "read_manifest",
]

_ITEMS_PER_STEP = 250


def read_manifest(path: Path) -> Manifest:
    """Read and check a manifest from a ``.toml`` or ``.json`` file.

    Raises
    ------
    DocumentErrors
        With all faults found in the file.
    """
    return parse_manifest(path.read_bytes())


def parse_manifest(data: bytes) -> Manifest:
    """Check a manifest given as JSON or TOML and return it.

    Raises
    ------
    DocumentErrors
        With all faults found in the document.
    """
    decode = decode_json if data.lstrip()[:1] == b"{" else decode_toml
    return decode(data, Manifest, check_manifest)


class ManifestIndex:
    """Lookups in a checked manifest.

    Parameters
    ----------
    manifest : Manifest
        A manifest that passed its check.
    """

    def __init__(self, *, manifest: Manifest) -> None:
        self.manifest = manifest
        self.zones = {ZoneId(zone.id): zone for zone in manifest.zones}
        self.regions = {RegionId(region.id): region for region in manifest.regions}
        self.models = {ModelId(model.id): model for model in manifest.models}
        self.services = {ServiceId(svc.id): svc for svc in manifest.services}
        self.targets = {TargetId(target.id): target for target in manifest.targets}
        self.customers = {
            CustomerId(customer.id): customer for customer in manifest.customers
        }
        self._by_key_digest = {
            digest: customer
            for customer in manifest.customers
            for digest in customer.key_digests
        }
        self._links = {frozenset((link.a, link.b)): link for link in manifest.links}

    def region_of(self, target: Target) -> RegionId:
        """Return the region of `target`."""
        return self.zones[target.zone].region

    def customer_of(self, key_digest: str) -> Customer | None:
        """Return the customer whose bearer key has this SHA-256 digest, or None."""
        return self._by_key_digest.get(key_digest)

    def call_of(self, service: ServiceId, path: str, method: str) -> ServiceCall | None:
        """Return a service's call by path and method, or None if it is not declared."""
        declared = self.services.get(service)
        calls = declared.calls if declared else []
        for call in calls:
            if call.path == path and call.method == method:
                return call
        return None

    def link(self, a: RegionId, b: RegionId) -> Link | None:
        """Return the link between two regions, or None if it is not declared."""
        return self._links.get(frozenset((a, b)))

    def delay_ms(self, a: RegionId, b: RegionId) -> float:
        """Return the one-way delay between two regions in milliseconds."""
        if a == b:
            return 0.0
        link = self._links.get(frozenset((a, b)))
        return link.delay_ms if link else Link(a=a, b=b).delay_ms


def check_manifest(manifest: Manifest) -> list[DocumentError]:
    """Return all semantic faults of a manifest that matches its schema.

    The result depends on the document alone, so that every node accepts or refuses
    the same revisions.
    """
    return [fault for step_faults in check_in_steps(manifest) for fault in step_faults]


def check_in_steps(manifest: Manifest) -> Iterator[list[DocumentError]]:
    """Check `manifest` in short steps and yield the faults found in each step."""
    yield _duplicate_ids(manifest)
    yield _duplicate_keys(manifest)
    declared = _DeclaredIds(manifest)
    yield _dangling_references(manifest, declared)
    for start in range(0, len(manifest.targets), _ITEMS_PER_STEP):
        yield _check_targets(manifest, declared, start)
    yield _check_windows(manifest, declared)
    serving = _ServingRegions(manifest)
    for start in range(0, len(manifest.customers), _ITEMS_PER_STEP):
        yield _check_customers(manifest, declared, serving, start)


class _DeclaredIds:
    """Ids that a manifest declares, by kind."""

    def __init__(self, manifest: Manifest) -> None:
        self.regions = {region.id for region in manifest.regions}
        self.zones = {zone.id for zone in manifest.zones}
        self.models = {model.id for model in manifest.models}
        self.services = {service.id for service in manifest.services}


class _ServingRegions:
    """Regions that serve each model and each service of a manifest."""

    def __init__(self, manifest: Manifest) -> None:
        zones = {zone.id: zone.region for zone in manifest.zones}
        engine_regions = {
            zones.get(target.zone)
            for target in manifest.targets
            if target.kind is TargetKind.ENGINE
        }
        self.models: dict[str, set[str]] = {}
        for item in manifest.serving:
            if item.region in engine_regions:
                self.models.setdefault(item.model, set()).add(item.region)
        self.services: dict[str, set[str]] = {}
        for target in manifest.targets:
            region = cast(str, zones.get(target.zone, ""))
            for service in target.services:
                self.services.setdefault(service, set()).add(region)


def _duplicate_ids(manifest: Manifest) -> list[DocumentError]:
    faults = []
    for section in ("regions", "zones", "models", "services", "targets", "customers"):
        items = getattr(manifest, section)
        counts = Counter(item.id for item in items)
        for number, item in enumerate(items):
            if counts[item.id] > 1:
                message = f"duplicate id {item.id!r}; each id must be unique"
                path = f"{section}[{number}].id"
                faults.append(DocumentError(path=path, message=message))
    return faults


def _duplicate_keys(manifest: Manifest) -> list[DocumentError]:
    counts = Counter(
        digest for customer in manifest.customers for digest in customer.key_digests
    )
    return [
        DocumentError(
            path=f"customers[{number}].key_digests[{position}]",
            message="this key digest belongs to another customer or is listed twice",
        )
        for number, customer in enumerate(manifest.customers)
        for position, digest in enumerate(customer.key_digests)
        if counts[digest] > 1
    ]


def _dangling_references(
    manifest: Manifest, declared: _DeclaredIds
) -> list[DocumentError]:
    faults = []
    for number, zone in enumerate(manifest.zones):
        path = f"zones[{number}].region"
        faults += _check_reference(path, zone.region, declared.regions)
    for number, link in enumerate(manifest.links):
        faults += _check_reference(f"links[{number}].a", link.a, declared.regions)
        faults += _check_reference(f"links[{number}].b", link.b, declared.regions)
    for number, item in enumerate(manifest.serving):
        path = f"serving[{number}]"
        faults += _check_reference(f"{path}.model", item.model, declared.models)
        faults += _check_reference(f"{path}.region", item.region, declared.regions)
    return faults


def _check_targets(
    manifest: Manifest, declared: _DeclaredIds, start: int
) -> list[DocumentError]:
    faults = []
    step = manifest.targets[start : start + _ITEMS_PER_STEP]
    for number, target in enumerate(step, start):
        path = f"targets[{number}]"
        faults += _check_reference(f"{path}.zone", target.zone, declared.zones)
        faults += _check_references(
            f"{path}.services", target.services, declared.services
        )
        faults += check_address(f"{path}.address", target.address)
    return faults


def _check_customers(
    manifest: Manifest, declared: _DeclaredIds, serving: _ServingRegions, start: int
) -> list[DocumentError]:
    faults = []
    step = manifest.customers[start : start + _ITEMS_PER_STEP]
    for number, customer in enumerate(step, start):
        path = f"customers[{number}]"
        allowed = customer.allowed_regions
        models, services = customer.models, customer.services
        faults += _check_references(
            f"{path}.allowed_regions", allowed, declared.regions
        )
        faults += _check_references(f"{path}.models", models, declared.models)
        faults += _check_references(f"{path}.services", services, declared.services)
        faults += _check_served_in_allowed(
            f"{path}.models", models, serving.models, allowed
        )
        faults += _check_served_in_allowed(
            f"{path}.services", services, serving.services, allowed
        )
    return faults


def _check_windows(manifest: Manifest, declared: _DeclaredIds) -> list[DocumentError]:
    faults = []
    for number, window in enumerate(manifest.drill):
        path = f"drill[{number}]"
        faults += _check_references(f"{path}.regions", window.regions, declared.regions)
        if window.end <= window.start:
            message = "must be later than start"
            faults.append(DocumentError(path=f"{path}.end", message=message))
    return faults


def _check_reference(
    path: str, value: str, declared: AbstractSet[str]
) -> list[DocumentError]:
    if value in declared:
        return []
    choices = ", ".join(sorted(declared)[:10]) or "none is declared"
    message = f"{value!r} is not declared; declared are: {choices}"
    return [DocumentError(path=path, message=message)]


def _check_references(
    path: str, values: Iterable[str], declared: AbstractSet[str]
) -> list[DocumentError]:
    return [
        fault
        for number, value in enumerate(values)
        for fault in _check_reference(f"{path}[{number}]", value, declared)
    ]


def _check_served_in_allowed(
    path: str,
    names: Iterable[str],
    regions_by_name: dict[str, set[str]],
    allowed: Iterable[str],
) -> list[DocumentError]:
    allowed = set(allowed)
    faults = []
    for number, name in enumerate(names):
        regions = regions_by_name.get(name, set())
        if regions.isdisjoint(allowed):
            message = (
                f"no allowed region serves {name!r}; it is served in: "
                f"{', '.join(sorted(regions)) or 'none'}"
            )
            faults.append(DocumentError(path=f"{path}[{number}]", message=message))
    return faults
