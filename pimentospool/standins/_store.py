"""Stand-in for the platform's store: items, ranges and watches by revision.

``GET /kv-range`` lists items by prefix, ``GET /kv-watch`` waits for changes after a
revision, and ``GET /kv-key`` reads one item. Values travel as base64 text. History
can be dropped; calls can be refused or left without a response. The store can be
restored from a copy: what was written since is gone, its revisions are given out again,
and ``Store-Era`` in all responses rises by one.
"""

import asyncio
import base64
from typing import Any

import msgspec
from aiohttp import web

DEFAULT_PAGE_ITEMS = 500
_GONE_STATUS = 410


class StoreCopy(msgspec.Struct, kw_only=True, frozen=True):
    """Items of a store at one revision."""

    revision: int
    items: dict[str, dict[str, Any]]


class StoreStandin:
    """A store that tests write to and nodes read over HTTP.

    Attributes
    ----------
    refusal_status : int
        Status with which calls are refused; 0 if they are served.
    silent : bool
        Whether calls get no response.
    calls : int
        Number of read calls so far, including refused ones.
    page_items : int
        Maximum number of items in one response of a range.
    era : int
        Number of restores so far, plus one.
    """

    def __init__(self) -> None:
        self.refusal_status = 0
        self.silent = False
        self.calls = 0
        self.page_items = DEFAULT_PAGE_ITEMS
        self.era = 1
        self._revision = 1
        self._items: dict[str, dict[str, Any]] = {}
        self._events: list[dict[str, Any]] = []
        self._oldest_watchable_revision = 0
        self._changed = asyncio.Condition()

    def routes(self) -> list[web.AbstractRouteDef]:
        """Return the routes of the stand-in."""
        return [
            web.get("/kv-key", self._handle_get),
            web.get("/kv-range", self._handle_range),
            web.get("/kv-watch", self._handle_watch),
        ]

    async def put(self, key: str, value: object) -> None:
        """Write `value`, as JSON unless it is bytes."""
        data = value if isinstance(value, bytes) else msgspec.json.encode(value)
        await self._apply_change(
            {"Key": key, "Value": base64.b64encode(data).decode(), "Lease": 0}
        )

    async def delete(self, key: str) -> None:
        """Remove the item with `key`."""
        await self._apply_change({"Key": key, "Deleted": True})

    async def drop_history(self) -> None:
        """Discard all changes so far; watches from older revisions get status 410."""
        async with self._changed:
            self._oldest_watchable_revision = self._revision
            self._changed.notify_all()

    def copy(self) -> StoreCopy:
        """Return a copy of all items, for `restore`."""
        return StoreCopy(revision=self._revision, items=dict(self._items))

    async def restore(self, copy: StoreCopy) -> None:
        """Return to the state of `copy`, in the next era."""
        async with self._changed:
            self.era += 1
            self._revision = copy.revision
            self._items = dict(copy.items)
            self._events = [
                event for event in self._events if event["Revision"] <= copy.revision
            ]
            self._changed.notify_all()

    async def _apply_change(self, event: dict[str, Any]) -> None:
        async with self._changed:
            self._revision += 1
            event["Revision"] = self._revision
            self._events.append(event)
            if event.get("Deleted"):
                self._items.pop(event["Key"], None)
            else:
                existing = self._items.get(event["Key"])
                event["Created"] = existing["Created"] if existing else self._revision
                self._items[event["Key"]] = event
            self._changed.notify_all()

    async def _handle_get(self, req: web.Request) -> web.Response:
        await self._count_or_refuse()
        item = self._items.get(req.query["Key"])
        if item is None:
            return web.Response(status=404, headers=self._era_header())
        return self._json({**item, "StoreRevision": self._revision})

    async def _handle_range(self, req: web.Request) -> web.Response:
        await self._count_or_refuse()
        after = req.query.get("after", "")
        keys = sorted(
            key
            for key in self._items
            if key.startswith(req.query["Prefix"]) and key > after
        )
        page = [self._items[key] for key in keys[: self.page_items]]
        return self._json(
            {
                "items": page,
                "HasMore": len(keys) > len(page),
                "StoreRevision": self._revision,
            }
        )

    async def _handle_watch(self, req: web.Request) -> web.Response:
        await self._count_or_refuse()
        after, prefix = int(req.query["after"]), req.query["Prefix"]
        try:
            async with asyncio.timeout(int(req.query["WaitMs"]) / 1000):
                async with self._changed:
                    while self._is_watchable(after) and not self._events_after(
                        after, prefix
                    ):
                        await self._changed.wait()
        except TimeoutError:
            pass
        await self._count_or_refuse(counted=False)
        if not self._is_watchable(after):
            return web.Response(status=_GONE_STATUS, headers=self._era_header())
        return self._json(
            {
                "events": self._events_after(after, prefix),
                "StoreRevision": self._revision,
            }
        )

    def _is_watchable(self, revision: int) -> bool:
        return self._oldest_watchable_revision <= revision <= self._revision

    def _events_after(self, after: int, prefix: str) -> list[dict[str, Any]]:
        return [
            event
            for event in self._events
            if event["Revision"] > after and event["Key"].startswith(prefix)
        ]

    async def _count_or_refuse(self, *, counted: bool = True) -> None:
        """Count a call; hang if `silent`, refuse it if `refusal_status` is set."""
        self.calls += counted
        if self.silent:
            await asyncio.Event().wait()
        if self.refusal_status:
            refusal = web.HTTPServiceUnavailable(headers=self._era_header())
            refusal.set_status(self.refusal_status)
            raise refusal

    def _json(self, value: object) -> web.Response:
        return web.Response(
            body=msgspec.json.encode(value),
            content_type="application/json",
            headers=self._era_header(),
        )

    def _era_header(self) -> dict[str, str]:
        return {"Store-Era": str(self.era)}
