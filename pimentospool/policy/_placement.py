"""What each engine of a region should hold, as a function of the manifest alone."""

import hashlib

import msgspec

from pimentospool.ids import ModelId, RegionId, TargetId
from pimentospool.manifest import (
    ManifestIndex,
    Serving,
    Target,
    TargetKind,
    TargetRole,
)


class DesiredModel(msgspec.Struct, kw_only=True, frozen=True):
    """A model that an engine should hold."""

    model: ModelId
    version: str
    adapters: tuple[str, ...]
    weight_mb: float


class DesiredEngine(msgspec.Struct, kw_only=True):
    """Everything that an engine should hold, and its role."""

    models: dict[ModelId, DesiredModel]
    role: TargetRole = TargetRole.ANY


def place_models(
    index: ManifestIndex, region: RegionId
) -> dict[TargetId, DesiredEngine]:
    """Return what every engine of `region` should hold.

    Where the manifest asks for fewer replicas than the region has engines, they are
    chosen by rendezvous hash, so that a target that comes or goes moves no other.
    """
    engines = [
        target
        for target in index.manifest.targets
        if target.kind is TargetKind.ENGINE and index.region_of(target) == region
    ]
    desired = {target.id: DesiredEngine(models={}) for target in engines}
    for item in index.manifest.serving:
        if item.region != region:
            continue
        for target in _chosen(engines, item):
            engine = desired[target.id]
            engine.models[item.model] = _desired_model(index, item)
            if item.role is not TargetRole.ANY:
                engine.role = item.role
    return desired


def _desired_model(index: ManifestIndex, item: Serving) -> DesiredModel:
    model = index.models[item.model]
    return DesiredModel(
        model=item.model,
        version=item.version or model.version,
        adapters=tuple(item.adapters),
        weight_mb=model.weight_mb,
    )


def _chosen(engines: list[Target], item: Serving) -> list[Target]:
    ranked = sorted(engines, key=lambda target: _weight(target, item), reverse=True)
    return ranked[: item.replicas or len(ranked)]


def _weight(target: Target, item: Serving) -> bytes:
    text = f"{item.model}/{target.id}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
