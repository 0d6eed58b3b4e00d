"""Publishes configurations in a drill, as an operator's pipeline does."""

import hashlib
import time

import msgspec

from pimentospool.drill._evidence import Publication
from pimentospool.ids import CustomerId, RegionId
from pimentospool.manifest import Customer, Manifest
from pimentospool.revisions import INDEX_KEY, pack_manifest
from pimentospool.standins import ConfigurationService

_STALE_BY = 1


def probe_customer(revision: int) -> CustomerId:
    """Return the customer that only revisions from `revision` on hold."""
    return CustomerId(f"probe-{revision}")


def probe_key(revision: int) -> str:
    """Return the bearer key of a revision's probe customer."""
    return f"{probe_customer(revision)}-key"


class Publisher:
    """Publishes revisions, good and bad, and makes the service stale.

    Every revision adds a customer of its own, so that an entry VM's behaviour shows
    which revision it follows.

    Parameters
    ----------
    configuration : ConfigurationService
        Service to publish to.
    manifest : Manifest
        Manifest of the first revision, which is published already.
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
        self._accepted = [(revision, manifest)]
        self._used = revision

    async def publish(self) -> None:
        """Publish an acceptable revision."""
        revision = self._next()
        manifest = self._with_probe(revision)
        self._manifest = manifest
        self._accepted.append((revision, manifest))
        self._note(revision, acceptable=True)
        await self._configuration.publish_manifest(manifest, revision=revision)
        self.newest = revision

    async def publish_unacceptable(self) -> None:
        """Publish a revision that names a region that does not exist."""
        revision = self._next()
        serving = self._manifest.serving
        dangling = msgspec.structs.replace(serving[0], region=RegionId("no-region"))
        manifest = msgspec.structs.replace(self._manifest, serving=[dangling])
        self._note(revision, acceptable=False)
        await self._configuration.publish_manifest(manifest, revision=revision)

    async def go_stale(self) -> None:
        """Let the service show an older revision than before."""
        older = self._accepted[max(0, len(self._accepted) - 1 - _STALE_BY)]
        await self._show(*older)

    async def recover(self) -> None:
        """Let the service show the newest accepted revision again."""
        await self._show(*self._accepted[-1])

    async def _show(self, revision: int, manifest: Manifest) -> None:
        packed = pack_manifest(manifest, revision=revision)
        data = msgspec.json.encode(packed.index)
        await self._configuration.publish(INDEX_KEY, data)

    def _next(self) -> int:
        self._used += 1
        return self._used

    def _note(self, revision: int, *, acceptable: bool) -> None:
        self.publications.append(
            Publication(revision=revision, at=time.time(), acceptable=acceptable)
        )

    def _with_probe(self, revision: int) -> Manifest:
        digest = hashlib.sha256(probe_key(revision).encode()).hexdigest()
        probe = Customer(
            id=probe_customer(revision),
            key_digests=[digest],
            allowed_regions=[region.id for region in self._manifest.regions],
            models=[model.id for model in self._manifest.models],
        )
        customers = [*self._manifest.customers, probe]
        return msgspec.structs.replace(self._manifest, customers=customers)
