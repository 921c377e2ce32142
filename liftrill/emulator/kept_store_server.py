"""HTTP stand-in of the kept-KV store: named prefixes in limited memory.

A prefix is stored under the name of its last block. Names come from keyed hashes over
tenant and weight version, and the store checks the weight version again on reading.
"""

import time
from collections import OrderedDict
from dataclasses import dataclass

import orjson
from aiohttp import web


@dataclass(frozen=True, slots=True)
class KeptPrefix:
    """A stored prefix."""

    blocks: int
    weight_version: str
    stored_at: float


class KeptStoreServer:
    """Holds prefixes up to a number of blocks, least recently used first out."""

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
                web.get("/v1/prefixes/{name}", self._get),
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

    async def _get(self, request: web.Request) -> web.Response:
        name = request.match_info["name"]
        prefix = self._prefixes.get(name)
        if prefix is None:
            return web.Response(status=404)
        if request.query.get("weight_version", prefix.weight_version) != prefix.weight_version:
            return web.Response(status=412)
        self._prefixes.move_to_end(name)
        body = orjson.dumps({"blocks": prefix.blocks, "weight_version": prefix.weight_version})
        return web.Response(body=body, content_type="application/json")

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
