"""Publishes configuration revisions in a drill, as an operator's pipeline does."""

import hashlib
import time

import msgspec

from pimentospool.drill._evidence import Publication
from pimentospool.ids import CustomerId, RegionId
from pimentospool.manifest import Customer, Manifest
from pimentospool.revisions import INDEX_KEY, pack_manifest
from pimentospool.standins import ConfigurationService

_STALE_REVISION_COUNT = 1


def probe_customer(revision: int) -> CustomerId:
    """Return the id of the customer that `revision` adds."""
    return CustomerId(f"probe-{revision}")


def probe_key(revision: int) -> str:
    """Return the bearer key of a revision's probe customer."""
    return f"{probe_customer(revision)}-key"


class Publisher:
    """Publishes acceptable and unacceptable revisions, and stale indexes.

    Every acceptable revision adds a probe customer. Whether an entry VM accepts the
    key of that customer shows if the revision is really active there.

    Parameters
    ----------
    configuration : ConfigurationService
        Configuration service to publish to.
    manifest : Manifest
        Manifest of the first revision, which is already published.
    revision : int
        Number of the first revision.
    """

    def __init__(
        self, *, configuration: ConfigurationService, manifest: Manifest, revision: int
    ) -> None:
        self.publications: list[Publication] = []
        self.newest = revision
        self._configuration = configuration
        self._manifest = manifest
        self._acceptable = [(revision, manifest)]
        self._last_revision = revision

    async def publish(self) -> None:
        """Publish a revision that entry VMs must accept."""
        revision = self._allocate_revision()
        manifest = self._add_probe_customer(revision)
        self._manifest = manifest
        self._acceptable.append((revision, manifest))
        self._record_publication(revision, acceptable=True)
        await self._configuration.publish_manifest(manifest, revision=revision)
        self.newest = revision

    async def publish_unacceptable(self) -> None:
        """Publish a revision that entry VMs must refuse: it names an unknown region."""
        revision = self._allocate_revision()
        serving = self._manifest.serving
        dangling = msgspec.structs.replace(serving[0], region=RegionId("no-region"))
        manifest = msgspec.structs.replace(self._manifest, serving=[dangling])
        self._record_publication(revision, acceptable=False)
        await self._configuration.publish_manifest(manifest, revision=revision)

    async def publish_stale_index(self) -> None:
        """Publish the index of an older acceptable revision again."""
        older = self._acceptable[
            max(0, len(self._acceptable) - 1 - _STALE_REVISION_COUNT)
        ]
        await self._publish_index(*older)

    async def publish_newest_index(self) -> None:
        """Publish the index of the newest acceptable revision again."""
        await self._publish_index(*self._acceptable[-1])

    async def _publish_index(self, revision: int, manifest: Manifest) -> None:
        packed = pack_manifest(manifest, revision=revision)
        index = msgspec.json.encode(packed.index)
        await self._configuration.publish(INDEX_KEY, index)

    def _allocate_revision(self) -> int:
        self._last_revision += 1
        return self._last_revision

    def _record_publication(self, revision: int, *, acceptable: bool) -> None:
        self.publications.append(
            Publication(
                revision=revision, published_at=time.time(), acceptable=acceptable
            )
        )

    def _add_probe_customer(self, revision: int) -> Manifest:
        digest = hashlib.sha256(probe_key(revision).encode()).hexdigest()
        probe = Customer(
            id=probe_customer(revision),
            key_digests=[digest],
            allowed_regions=[region.id for region in self._manifest.regions],
            models=[model.id for model in self._manifest.models],
        )
        customers = [*self._manifest.customers, probe]
        return msgspec.structs.replace(self._manifest, customers=customers)
