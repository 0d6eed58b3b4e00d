"""The manifest: reading, checking and look-ups."""

from collections import Counter
from collections.abc import Iterable
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
from pimentospool.readers import decode_json, decode_toml, raise_document_errors
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


def read_manifest(path: Path) -> Manifest:
    """Read and check a manifest from a ``.toml`` or ``.json`` file.

    Raises
    ------
    DocumentErrors
        With every fault found in the file.
    """
    return parse_manifest(path.read_bytes())


def parse_manifest(data: bytes) -> Manifest:
    """Check a manifest given as JSON or TOML and return it.

    Raises
    ------
    DocumentErrors
        With every fault found in the document.
    """
    decode = decode_json if data.lstrip()[:1] == b"{" else decode_toml
    manifest = decode(data, Manifest)
    raise_document_errors("manifest refused", check_manifest(manifest))
    return manifest


class ManifestIndex:
    """Look-ups over a checked manifest.

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
        """Return the customer whose bearer key has this SHA-256, if any."""
        return self._by_key_digest.get(key_digest)

    def call_of(self, service: ServiceId, path: str, method: str) -> ServiceCall | None:
        """Return a service's call by path and method, if any."""
        known = self.services.get(service)
        calls = known.calls if known else []
        for call in calls:
            if call.path == path and call.method == method:
                return call
        return None

    def link(self, a: RegionId, b: RegionId) -> Link | None:
        """Return the declared link between two regions, if any."""
        return self._links.get(frozenset((a, b)))

    def delay_ms(self, a: RegionId, b: RegionId) -> float:
        """Return the one-way delay between two regions in milliseconds."""
        if a == b:
            return 0.0
        link = self._links.get(frozenset((a, b)))
        return link.delay_ms if link else Link(a=a, b=b).delay_ms

    def serving_regions(self, model: ModelId) -> set[RegionId]:
        """Return the regions that serve `model`."""
        return {item.region for item in self.manifest.serving if item.model == model}

    def service_regions(self, service: ServiceId) -> set[RegionId]:
        """Return the regions with a target for `service`."""
        return {
            self.region_of(target)
            for target in self.manifest.targets
            if service in target.services
        }


def check_manifest(manifest: Manifest) -> list[DocumentError]:
    """Return every fault of meaning; the same on every node for the same document."""
    faults = _duplicate_ids(manifest)
    faults += _dangling_references(manifest)
    faults += _unserved_customers(manifest)
    for number, target in enumerate(manifest.targets):
        faults += check_address(f"targets[{number}].address", target.address)
    for number, window in enumerate(manifest.drill):
        if window.end <= window.start:
            message = "must be later than start"
            faults.append(DocumentError(path=f"drill[{number}].end", message=message))
    return faults


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
    return faults + _duplicate_keys(manifest)


def _duplicate_keys(manifest: Manifest) -> list[DocumentError]:
    counts = Counter(
        digest for customer in manifest.customers for digest in customer.key_digests
    )
    return [
        DocumentError(
            path=f"customers[{number}].key_digests[{position}]",
            message="the same key digest belongs to another customer or stands twice",
        )
        for number, customer in enumerate(manifest.customers)
        for position, digest in enumerate(customer.key_digests)
        if counts[digest] > 1
    ]


def _dangling_references(manifest: Manifest) -> list[DocumentError]:
    regions = {region.id for region in manifest.regions}
    zones = {zone.id for zone in manifest.zones}
    models = {model.id for model in manifest.models}
    services = {service.id for service in manifest.services}
    faults = []
    for number, zone in enumerate(manifest.zones):
        faults += _check_reference(f"zones[{number}].region", zone.region, regions)
    for number, link in enumerate(manifest.links):
        faults += _check_reference(f"links[{number}].a", link.a, regions)
        faults += _check_reference(f"links[{number}].b", link.b, regions)
    for number, item in enumerate(manifest.serving):
        faults += _check_reference(f"serving[{number}].model", item.model, models)
        faults += _check_reference(f"serving[{number}].region", item.region, regions)
    for number, target in enumerate(manifest.targets):
        path = f"targets[{number}]"
        faults += _check_reference(f"{path}.zone", target.zone, zones)
        faults += _check_references(f"{path}.services", target.services, services)
    for number, customer in enumerate(manifest.customers):
        path = f"customers[{number}]"
        faults += _check_references(
            f"{path}.allowed_regions", customer.allowed_regions, regions
        )
        faults += _check_references(f"{path}.models", customer.models, models)
        faults += _check_references(f"{path}.services", customer.services, services)
    for number, window in enumerate(manifest.drill):
        faults += _check_references(f"drill[{number}].regions", window.regions, regions)
    return faults


def _check_reference(
    path: str, value: str, known: AbstractSet[str]
) -> list[DocumentError]:
    if value in known:
        return []
    choices = ", ".join(sorted(known)[:10]) or "none is declared"
    message = f"{value!r} is not declared; declared are: {choices}"
    return [DocumentError(path=path, message=message)]


def _check_references(
    path: str, values: Iterable[str], known: AbstractSet[str]
) -> list[DocumentError]:
    return [
        fault
        for number, value in enumerate(values)
        for fault in _check_reference(f"{path}[{number}]", value, known)
    ]


def _unserved_customers(manifest: Manifest) -> list[DocumentError]:
    zones = {zone.id: zone.region for zone in manifest.zones}
    engine_regions = {
        zones.get(target.zone)
        for target in manifest.targets
        if target.kind is TargetKind.ENGINE
    }
    served: dict[str, set[str]] = {}
    for item in manifest.serving:
        if item.region in engine_regions:
            served.setdefault(item.model, set()).add(item.region)
    offered: dict[str, set[str]] = {}
    for target in manifest.targets:
        region = cast(str, zones.get(target.zone, ""))
        for service in target.services:
            offered.setdefault(service, set()).add(region)
    faults = []
    for number, customer in enumerate(manifest.customers):
        path = f"customers[{number}]"
        allowed = customer.allowed_regions
        faults += _check_served(f"{path}.models", customer.models, served, allowed)
        faults += _check_served(f"{path}.services", customer.services, offered, allowed)
    return faults


def _check_served(
    path: str,
    wanted: Iterable[str],
    offered: dict[str, set[str]],
    allowed: Iterable[str],
) -> list[DocumentError]:
    allowed = set(allowed)
    faults = []
    for number, name in enumerate(wanted):
        regions = offered.get(name, set())
        if regions.isdisjoint(allowed):
            message = (
                f"no allowed region serves {name!r}; it is served in: "
                f"{', '.join(sorted(regions)) or 'none'}"
            )
            faults.append(DocumentError(path=f"{path}[{number}]", message=message))
    return faults
