"""Complete deployment of stand-ins in one process, on free loopback ports."""

import msgspec

from pimentospool._generated.engine import LoadedModel
from pimentospool._generated.platform import VmKind, VmRecord, VmState
from pimentospool._generated.settings import (
    CallerSettings,
    EntrySettings,
    LogSettings,
    PeerSettings,
    PlatformSettings,
    Settings,
    TargetSettings,
    TlsSettings,
    TraceSettings,
)
from pimentospool.addresses import free_addresses
from pimentospool.ids import EntryId, TargetId
from pimentospool.manifest import Manifest, ManifestIndex, Target, TargetKind
from pimentospool.standins._configuration import ConfigurationService
from pimentospool.standins._directory import Directory, VmListService
from pimentospool.standins._engine import EngineProfile, ModelEngine
from pimentospool.standins._server import Standin, StandinServer, serve_standin
from pimentospool.standins._service import PlainService

PEER_KEY = "key-of-a-local-deployment"
_INITIAL_REVISION = 1


class StandinDeployment:
    """Stand-ins for the platform and the targets of a manifest, on loopback.

    Parameters
    ----------
    manifest : Manifest
        Deployment to simulate; the addresses of targets are replaced by free ones.
    speed : float
        Factor by which the engines' speeds are multiplied.
    vm_lag_seconds : float
        Time after which changes are visible in the VM list.
    service_seconds : float
        Duration of a call to a plain service.
    """

    def __init__(
        self,
        *,
        manifest: Manifest,
        speed: float = 1.0,
        vm_lag_seconds: float = 1.0,
        service_seconds: float = 0.005,
    ) -> None:
        self.manifest = manifest
        self.configuration = ConfigurationService()
        self.vm_list = VmListService(lag_seconds=vm_lag_seconds)
        self.directory = Directory(addresses=[])
        self.engines: dict[TargetId, ModelEngine] = {}
        self.services: dict[TargetId, PlainService] = {}
        self.servers: dict[str, StandinServer] = {}
        self._speed = speed
        self._service_seconds = service_seconds

    async def start(self, *, publish: bool = True) -> None:
        """Start every stand-in.

        Parameters
        ----------
        publish : bool
            Whether to publish the manifest, as revision 1.
        """
        index = ManifestIndex(manifest=self.manifest)
        targets = []
        for target in self.manifest.targets:
            server = await self._serve(target.id, self._make_target(index, target))
            targets.append(msgspec.structs.replace(target, address=server.address))
        self.manifest = msgspec.structs.replace(self.manifest, targets=targets)
        await self._serve("configuration", self.configuration)
        await self._serve("vm-list", self.vm_list)
        await self._serve("directory", self.directory)
        if publish:
            await self.configuration.publish_manifest(
                self.manifest, revision=_INITIAL_REVISION
            )

    async def close(self) -> None:
        """Stop every stand-in."""
        for server in self.servers.values():
            await server.close()

    def entry_settings(self, entries_per_zone: dict[str, int]) -> list[Settings]:
        """Return the settings of entry VMs, given their number in each zone.

        The VM list and the directory contain these entry VMs at once.
        """
        zones = {zone.id: zone for zone in self.manifest.zones}
        total = sum(entries_per_zone.values())
        addresses = iter(free_addresses(3 * total))
        entries = [
            EntrySettings(
                id=EntryId(f"{zone}-entry-{number + 1}"),
                region=zones[zone].region,  # type: ignore[index]
                zone=zones[zone].id,  # type: ignore[index]
                caller_address=next(addresses),
                peer_address=next(addresses),
                admin_address=next(addresses),
            )
            for zone, count in entries_per_zone.items()
            for number in range(count)
        ]
        self.vm_list.seed([_vm_record(entry) for entry in entries])
        self.directory.addresses = [entry.caller_address for entry in entries]
        seeds = [entry.peer_address for entry in entries]
        return [self._settings(entry, seeds) for entry in entries]

    def _settings(self, entry: EntrySettings, seeds: list[str]) -> Settings:
        platform = PlatformSettings(
            configuration_address=self.servers["configuration"].address,
            vm_list_address=self.servers["vm-list"].address,
            directory_address=self.servers["directory"].address,
            vm_list_interval_seconds=0.5,
        )
        others = [seed for seed in seeds if seed != entry.peer_address]
        return Settings(
            deployment=self.manifest.deployment,
            entry=entry,
            platform=platform,
            peers=PeerSettings(key=PEER_KEY, seeds=others),
            tls=TlsSettings(),
            callers=CallerSettings(),
            targets=TargetSettings(),
            traces=TraceSettings(),
            logs=LogSettings(),
        )

    async def _serve(self, name: str, standin: Standin) -> StandinServer:
        server = await serve_standin(standin, "127.0.0.1:0")
        self.servers[name] = server
        return server

    def _make_target(self, index: ManifestIndex, target: Target) -> Standin:
        if target.kind is TargetKind.SERVICE:
            service = PlainService(service_seconds=self._service_seconds)
            self.services[target.id] = service
            return service
        profile = EngineProfile(
            slots=target.slots,
            prefill_tokens_per_second=target.prefill_tokens_per_second,
            decode_tokens_per_second=target.decode_tokens_per_second,
            speed=self._speed,
        )
        engine = ModelEngine(profile=profile, models=self._models_of(index, target))
        self.engines[target.id] = engine
        return engine

    def _models_of(self, index: ManifestIndex, target: Target) -> list[LoadedModel]:
        region = index.region_of(target)
        return [
            LoadedModel(
                model=item.model,
                version=item.version or index.models[item.model].version,
                adapters=list(item.adapters),
            )
            for item in self.manifest.serving
            if item.region == region
        ]


def _vm_record(entry: EntrySettings) -> VmRecord:
    return VmRecord(
        id=entry.id,
        kind=VmKind.ENTRY,
        state=VmState.LIVE,
        region=entry.region,
        zone=entry.zone,
        caller_address=entry.caller_address,
        peer_address=entry.peer_address,
    )
