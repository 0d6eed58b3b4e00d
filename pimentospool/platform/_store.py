"""Reads and watches of the platform's store."""

import asyncio
import base64
import binascii
import random
from typing import TypeVar

import aiohttp
import msgspec

from pimentospool.errors import PimentospoolError
from pimentospool.gateway import Address, RoutingState
from pimentospool.ids import TargetId, ZoneId
from pimentospool.log import Event, log_event
from pimentospool.platform._records import (
    CONFIG_KEY,
    EVACUATION_PREFIX,
    SERVER_PREFIX,
    RecordError,
    decode_configuration,
    decode_registration,
)
from pimentospool.sending import TRANSPORT_ERRORS, UnrepeatedError, open_session
from pimentospool.sockets import open_socket

WATCH_SECONDS = 2.5
"""Time for which the store holds a watch; bounds how long a silent connection goes
unnoticed."""
CALL_SECONDS = 1.0
"""Longest wait for an answer beyond the time of a watch."""
GATHER_SECONDS = 0.6
"""Pause after changes, in which those that follow gather. Each call is priced, and
changes have to be in force within three seconds."""
MIN_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 1.0
OUTAGE_SECONDS = 2.5
"""Time without an answer after which entries may have lapsed."""
LAPSE_WINDOW_SECONDS = 1.5
"""Time after an outage in which removed entries are taken as lapsed."""
_ALL = ""
_GONE = 410

T = TypeVar("T")


class StoreError(PimentospoolError):
    """The store did not answer as its protocol says."""


class HistoryLostError(StoreError):
    """The changes after the known revision are no longer available."""


class _Item(msgspec.Struct, rename="pascal"):
    key: str
    revision: int = 0
    value: str = ""
    deleted: bool = False


class _Range(msgspec.Struct, rename="pascal"):
    store_revision: int
    has_more: bool = False
    items: list[_Item] = msgspec.field(name="items", default_factory=list)


class _Changes(msgspec.Struct, rename="pascal"):
    store_revision: int
    events: list[_Item] = msgspec.field(name="events", default_factory=list)


class StoreFeed:
    """Keeps `RoutingState` up to date with the store.

    Parameters
    ----------
    address : Address
        The store.
    knowledge : RoutingState
        What to keep up to date.
    """

    def __init__(self, *, address: Address, knowledge: RoutingState) -> None:
        self._url = f"http://{address}"
        self._knowledge = knowledge
        self._session: aiohttp.ClientSession | None = None
        self._revision: int | None = None
        self._zones: set[ZoneId] = set()
        self._answered_at = asyncio.get_running_loop().time()
        self.failing = False
        self._lapse_until = 0.0
        self.calls = 0
        self.skipped = 0

    async def run(self) -> None:
        """Follow the store until cancelled."""
        delay = MIN_RETRY_SECONDS
        try:
            while True:
                try:
                    if self._revision is None:
                        await self._read_all()
                    elif await self._watch():
                        await asyncio.sleep(GATHER_SECONDS)
                    delay = MIN_RETRY_SECONDS
                except HistoryLostError:
                    log_event(Event.STORE_HISTORY_LOST, revision=self._revision)
                    self._revision = None
                except StoreError as exc:
                    self._failed(exc)
                    await asyncio.sleep(delay * random.uniform(0.5, 1.0))
                    delay = min(MAX_RETRY_SECONDS, delay * 2)
        finally:
            if self._session is not None:
                await self._session.close()

    async def _read_all(self) -> None:
        operator, revision = await self._read_range("op/")
        servers, server_revision = await self._read_range(SERVER_PREFIX)
        self._zones = set()
        for item in operator:
            self._apply(item)
        self._knowledge.replace_evacuated(self._zones)
        present = {item.key for item in servers}
        for target in self._knowledge.known_targets():
            if SERVER_PREFIX + target not in present:
                self._remove(target)
        for item in servers:
            self._apply(item)
        self._revision = min(revision, server_revision)

    async def _read_range(self, prefix: str) -> tuple[list[_Item], int]:
        items: list[_Item] = []
        revision: int | None = None
        after = ""
        while True:
            query = {"Prefix": prefix}
            if after:
                query["after"] = after
            page = await self._get("/kv-range", query, _Range)
            items += page.items
            # Pages are no snapshot: changes since the first one are watched again.
            revision = page.store_revision if revision is None else revision
            if not page.has_more or not page.items:
                return items, revision
            after = page.items[-1].key

    async def _watch(self) -> bool:
        """Take the changes after the known revision; return whether there are any."""
        query = {
            "Prefix": _ALL,
            "after": str(self._revision),
            "WaitMs": str(int(WATCH_SECONDS * 1000)),
        }
        changes = await self._get("/kv-watch", query, _Changes, wait=WATCH_SECONDS)
        for item in changes.events:
            self._apply(item)
        self._knowledge.replace_evacuated(self._zones)
        self._revision = max(self._revision or 0, changes.store_revision)
        return bool(changes.events)

    def _apply(self, item: _Item) -> None:
        key = item.key
        try:
            if key.startswith(SERVER_PREFIX):
                self._apply_server(TargetId(key.removeprefix(SERVER_PREFIX)), item)
            elif key.startswith(EVACUATION_PREFIX):
                zone = ZoneId(key.removeprefix(EVACUATION_PREFIX))
                if item.deleted:
                    self._zones.discard(zone)
                else:
                    self._zones.add(zone)
            elif key == CONFIG_KEY and not item.deleted:
                self._knowledge.adopt(decode_configuration(_decode_value(item)))
        except RecordError as exc:
            self.skipped += 1
            log_event(
                Event.STORE_ENTRY_SKIPPED,
                key=key,
                revision=item.revision,
                reason=str(exc),
                skipped=self.skipped,
            )

    def _apply_server(self, target: TargetId, item: _Item) -> None:
        if item.deleted:
            self._remove(target)
        else:
            registration = decode_registration(target, _decode_value(item))
            self._knowledge.register(registration)

    def _remove(self, target: TargetId) -> None:
        now = asyncio.get_running_loop().time()
        self._knowledge.deregister(target, expired=now < self._lapse_until)

    async def _get(
        self, path: str, query: dict[str, str], kind: type[T], *, wait: float = 0.0
    ) -> T:
        if self._session is None:
            self._session = _open_session()
        self.calls += 1
        try:
            async with (
                asyncio.timeout(wait + CALL_SECONDS),
                self._session.get(self._url + path, params=query) as resp,
            ):
                if resp.status == _GONE:
                    self._answered()
                    raise HistoryLostError(f"{path} answered {resp.status}")
                if resp.status != 200:
                    raise StoreError(f"{path} answered {resp.status}")
                data = await resp.read()
            answer = msgspec.json.decode(data, type=kind)
        except (*TRANSPORT_ERRORS, UnrepeatedError, msgspec.MsgspecError) as exc:
            # Connections on which an answer was lost bring nothing more.
            session, self._session = self._session, None
            await session.close()
            raise StoreError(f"{path}: {exc!r}") from exc
        self._answered()
        return answer

    def _failed(self, exc: StoreError) -> None:
        if not self.failing:
            self.failing = True
            self._knowledge.outdated = True
            log_event(Event.STORE_UNREACHABLE, reason=str(exc), revision=self._revision)

    def _answered(self) -> None:
        now = asyncio.get_running_loop().time()
        if self.failing:
            self.failing = False
            self._knowledge.outdated = False
            silent = now - self._answered_at
            if silent > OUTAGE_SECONDS:
                self._lapse_until = now + LAPSE_WINDOW_SECONDS
            log_event(Event.STORE_BACK, silent_seconds=round(silent, 3))
        self._answered_at = now


def _decode_value(item: _Item) -> bytes:
    try:
        return base64.b64decode(item.value, validate=True)
    except (binascii.Error, ValueError) as exc:
        raise RecordError(f"not base64: {exc}") from exc


def _open_session() -> aiohttp.ClientSession:
    return open_session(
        connector=aiohttp.TCPConnector(
            limit=2, socket_factory=lambda info: open_socket(), keepalive_timeout=60.0
        ),
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=1.0),
        auto_decompress=False,
    )
