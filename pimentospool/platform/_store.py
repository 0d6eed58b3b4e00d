"""Client that reads and watches the platform's store."""

import base64
import binascii
from typing import TypeVar

import aiohttp
import msgspec

from pimentospool.gateway import (
    Address,
    Configuration,
    ConfigurationPublished,
    DatedFact,
    EvacuationChanged,
    Fact,
    FactBatch,
    FactPosition,
    FactSnapshot,
    HistoryLostError,
    Registration,
    SourceError,
    SourceRestoredError,
    TargetDeregistered,
    TargetRegistered,
    TargetUnreadable,
)
from pimentospool.ids import TargetId, ZoneId
from pimentospool.log import Event, log_event
from pimentospool.platform._headers import STORE_ERA_HEADER
from pimentospool.platform._numbers import parse_count
from pimentospool.platform._records import (
    CONFIG_KEY,
    EVACUATION_PREFIX,
    SERVER_PREFIX,
    RecordError,
    decode_configuration,
    decode_registration,
)
from pimentospool.sending import (
    TRANSPORT_ERRORS,
    WrappedTransportError,
    open_session,
    read_body,
)
from pimentospool.sockets import open_socket
from pimentospool.tasks import timeout_after_read

RESPONSE_TIMEOUT_SECONDS = 1.0
"""Longest wait for a response, in addition to the time that a watch is held open."""
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
"""Size above which a response is not read; a page of items is about a megabyte."""
MAX_COPY_ATTEMPTS = 3
"""Attempts to read all pages of one era before the failure is reported."""
_ALL_KEYS_PREFIX = ""
_HTTP_GONE = 410
_HTTP_NOT_FOUND = 404
_MILLISECONDS_PER_SECOND = 1000

T = TypeVar("T")


class _Item(msgspec.Struct, rename="pascal"):
    key: str
    revision: int = 0
    value: str = ""
    deleted: bool = False


class _RangePage(msgspec.Struct, rename="pascal"):
    store_revision: int
    has_more: bool = False
    items: list[_Item] = msgspec.field(name="items", default_factory=list)


class _WatchResult(msgspec.Struct, rename="pascal"):
    store_revision: int
    events: list[_Item] = msgspec.field(name="events", default_factory=list)


class StoreClient:
    """Reads the store; implements `FactSource`.

    Parameters
    ----------
    address : Address
        Address of the store.
    """

    def __init__(self, *, address: Address) -> None:
        self._url = f"http://{address}"
        self._session: aiohttp.ClientSession | None = None
        self.request_count = 0
        self.skipped_entries = 0

    async def read_all(self, *, era: int) -> FactSnapshot:
        """Return all facts, read from one era."""
        for _ in range(MAX_COPY_ATTEMPTS):
            items, position = await self._read_pages(era)
            if items is not None:
                return self._to_snapshot(items, position)
            era = position.era
        raise SourceError("the store was restored while it was read")

    async def watch(self, after: FactPosition, *, hold_seconds: float) -> FactBatch:
        """Return the facts after a position, once there are any."""
        query = {
            "Prefix": _ALL_KEYS_PREFIX,
            "after": str(after.revision),
            "WaitMs": str(int(hold_seconds * _MILLISECONDS_PER_SECOND)),
        }
        result, era = await self._get(
            "/kv-watch", query, _WatchResult, era=after.era, hold_seconds=hold_seconds
        )
        if era > after.era:
            raise SourceRestoredError(f"the store is in era {era}")
        assert result is not None
        facts = []
        for item in result.events:
            fact = self._to_fact(item)
            if fact is not None:
                facts.append(DatedFact(item.revision, fact))
        revision = max(after.revision, result.store_revision)
        return FactBatch(FactPosition(era, revision), facts)

    async def read_configuration(self) -> Configuration | None:
        """Return the published configuration."""
        item, _ = await self._get("/kv-key", {"Key": CONFIG_KEY}, _Item, era=0)
        fact = None if item is None else self._to_fact(item)
        return fact.configuration if isinstance(fact, ConfigurationPublished) else None

    async def close(self) -> None:
        """Close all connections."""
        session, self._session = self._session, None
        if session is not None:
            await session.close()

    async def _read_pages(self, era: int) -> tuple[list[_Item] | None, FactPosition]:
        """Return all items, or None if a page is of a later era than the first one."""
        items: list[_Item] = []
        position: FactPosition | None = None
        query = {"Prefix": _ALL_KEYS_PREFIX}
        while True:
            page, page_era = await self._get(
                "/kv-range", query, _RangePage, era=position.era if position else era
            )
            assert page is not None
            if position is None:
                # The pages are not a snapshot: the watch starts at the revision of the
                # first page, so that it reports what changed between the pages.
                position = FactPosition(page_era, page.store_revision)
            elif page_era > position.era:
                return None, FactPosition(page_era, 0)
            items += page.items
            if not page.has_more or not page.items:
                return items, position
            query["after"] = page.items[-1].key

    def _to_snapshot(self, items: list[_Item], position: FactPosition) -> FactSnapshot:
        configuration: Configuration | None = None
        registrations: list[Registration] = []
        unreadable: set[TargetId] = set()
        evacuated: set[ZoneId] = set()
        for item in items:
            match self._to_fact(item):
                case TargetRegistered(registration=registration):
                    registrations.append(registration)
                case TargetUnreadable(target=target):
                    unreadable.add(target)
                case EvacuationChanged(zone=zone):
                    evacuated.add(zone)
                case ConfigurationPublished(configuration=published):
                    configuration = published
        return FactSnapshot(
            position=position,
            configuration=configuration,
            registrations=registrations,
            evacuated=frozenset(evacuated),
            unreadable=frozenset(unreadable),
        )

    def _to_fact(self, item: _Item) -> Fact | None:
        """Return the fact that an item states, None for one that says nothing.

        An entry of a target that can't be decoded says that it names no target to use.
        """
        key = item.key
        try:
            if key.startswith(SERVER_PREFIX):
                target = TargetId(key.removeprefix(SERVER_PREFIX))
                if item.deleted:
                    return TargetDeregistered(target)
                return TargetRegistered(
                    decode_registration(target, _decode_value(item))
                )
            if key.startswith(EVACUATION_PREFIX):
                zone = ZoneId(key.removeprefix(EVACUATION_PREFIX))
                return EvacuationChanged(zone, evacuated=not item.deleted)
            if key == CONFIG_KEY and not item.deleted:
                return ConfigurationPublished(decode_configuration(_decode_value(item)))
        except RecordError as exc:
            self.skipped_entries += 1
            log_event(
                Event.STORE_ENTRY_SKIPPED,
                key=key,
                revision=item.revision,
                reason=str(exc),
                skipped=self.skipped_entries,
            )
            if key.startswith(SERVER_PREFIX):
                return TargetUnreadable(TargetId(key.removeprefix(SERVER_PREFIX)))
        return None

    async def _get(
        self,
        path: str,
        query: dict[str, str],
        response_type: type[T],
        *,
        era: int,
        hold_seconds: float = 0.0,
    ) -> tuple[T | None, int]:
        """Return the body of a response, None if there is no such item, and its era.

        A response of an era before `era` was on its way while the store was restored.
        """
        if self._session is None:
            self._session = _open_session()
        self.request_count += 1
        try:
            async with (
                timeout_after_read(hold_seconds + RESPONSE_TIMEOUT_SECONDS),
                self._session.get(self._url + path, params=query) as resp,
            ):
                response_era = parse_count(resp.headers.get(STORE_ERA_HEADER, "")) or 0
                if response_era < era:
                    raise SourceError(f"{path} responded from era {response_era}")
                if resp.status == _HTTP_GONE:
                    raise HistoryLostError(f"{path} responded with status 410")
                if resp.status == _HTTP_NOT_FOUND:
                    return None, response_era
                if resp.status != 200:
                    raise SourceError(f"{path} responded with status {resp.status}")
                data = await read_body(resp, MAX_RESPONSE_BYTES)
            return msgspec.json.decode(data, type=response_type), response_era
        except (
            *TRANSPORT_ERRORS,
            WrappedTransportError,
            msgspec.MsgspecError,
            RecursionError,
        ) as exc:
            # A connection that lost a response delivers nothing more: replace them all.
            session, self._session = self._session, None
            await session.close()
            raise SourceError(f"{path}: {exc!r}") from exc


def _decode_value(item: _Item) -> bytes:
    try:
        return base64.b64decode(item.value, validate=True)
    except (binascii.Error, ValueError) as exc:
        raise RecordError(f"value is not valid base64: {exc}") from exc


def _open_session() -> aiohttp.ClientSession:
    return open_session(
        connector=aiohttp.TCPConnector(
            limit=2, socket_factory=lambda info: open_socket(), keepalive_timeout=60.0
        ),
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=1.0),
        auto_decompress=False,
    )
