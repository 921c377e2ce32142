"""HTTP emulator of the kept-KV store, which keeps the KV cache of prefixes outside of engines.

A prefix is stored under the name of its last block. Names are keyed hashes that cover tenant and
weight version; the store also checks the weight version on lookup.
"""

import time
from collections import OrderedDict
from dataclasses import dataclass

import orjson
from aiohttp import web


@dataclass(frozen=True, slots=True)
class KeptPrefix:
    """The size, weight version and storage time of a stored prefix."""

    blocks: int
    weight_version: str
    stored_at: float


class KeptStoreServer:
    """Stores prefixes up to a capacity in blocks, with LRU eviction."""

    def __init__(self, capacity_blocks: int) -> None:
        self._capacity_blocks = capacity_blocks
        self._prefixes: OrderedDict[str, KeptPrefix] = OrderedDict()
        self._used_blocks = 0

    def application(self) -> web.Application:
        """Return the aiohttp application."""
        application = web.Application()
        application.add_routes(
            [
                web.put("/v1/prefixes/{name}", self._put),
                web.post("/v1/lookups", self._look_up),
                web.delete("/v1/prefixes/{name}", self._delete),
                web.get("/v1/status", self._status),
            ]
        )
        return application

    async def _put(self, request: web.Request) -> web.Response:
        name = request.match_info["name"]
        body = orjson.loads(await request.read())
        self._remove(name)
        prefix = KeptPrefix(int(body["blocks"]), str(body["weight_version"]), time.monotonic())
        self._prefixes[name] = prefix
        self._used_blocks += prefix.blocks
        self._evict()
        return web.Response(status=204)

    async def _look_up(self, request: web.Request) -> web.Response:
        """Return the size in blocks of the longest named prefix stored for a weight version."""
        body = orjson.loads(await request.read())
        blocks = 0
        for name in reversed(body["names"]):
            prefix = self._prefixes.get(name)
            if prefix is not None and prefix.weight_version == body["weight_version"]:
                self._prefixes.move_to_end(name)
                blocks = prefix.blocks
                break
        answer = orjson.dumps({"blocks": blocks})
        return web.Response(body=answer, content_type="application/json")

    async def _delete(self, request: web.Request) -> web.Response:
        removed = self._remove(request.match_info["name"])
        return web.Response(status=204 if removed else 404)

    async def _status(self, _: web.Request) -> web.Response:
        body = {"prefixes": len(self._prefixes), "used_blocks": self._used_blocks}
        return web.Response(body=orjson.dumps(body), content_type="application/json")

    def _remove(self, name: str) -> bool:
        prefix = self._prefixes.pop(name, None)
        if prefix is None:
            return False
        self._used_blocks -= prefix.blocks
        return True

    def _evict(self) -> None:
        while self._used_blocks > self._capacity_blocks and self._prefixes:
            self._remove(next(iter(self._prefixes)))
