"""HTTP emulator of the platform, with a small subset of Consul's HTTP API.

Supported: `GET /v1/kv/KEY` with blocking queries (`index`, `wait`), `PUT /v1/kv/KEY` with
`cas` or `acquire`, `PUT /v1/session/create`, `PUT /v1/session/renew/ID`,
`PUT /v1/agent/service/register`, `PUT /v1/agent/service/deregister/ID` and
`GET /v1/catalog/services-list` (all services at once, with the `Leaving` meta field; also
with `index` and `wait`). `GET /v1/weights/VERSION` is the weight store, which serves one
engine at a time.
"""

import asyncio
import base64
import time
from collections import Counter
from dataclasses import dataclass
from typing import Literal

import orjson
from aiohttp import web
from pydantic import BaseModel, ConfigDict, Field

from liftrill.coordination.key_value_store import MachineEntry, StoredEntry
from liftrill.coordination.token_bucket import TokenBucket
from liftrill.emulator.platform_model import PlatformModel

MAXIMUM_BODY_BYTES = 1024 * 1024
MACHINE_LIST_POLL_SECONDS = 0.05


class PlatformFault(BaseModel):
    """Body of `POST /admin/fault`.

    Attributes:
        kind: outage (refuse all calls for `seconds`), slow (delay all calls by
            `delay_seconds`), lose_answers (apply the next `count` writes, but close their
            connection without a response), save (copy all entries), restore (replace the
            entries by the copy), machine_list_lag (serve the machine list as it was
            `delay_seconds` ago), none (end outage, slow and lose_answers).
    """

    model_config = ConfigDict(extra="forbid")

    kind: Literal["none", "outage", "slow", "lose_answers", "save", "restore", "machine_list_lag"]
    seconds: float = Field(default=5.0, ge=0)
    delay_seconds: float = Field(default=0.0, ge=0)
    count: int = Field(default=1, ge=0)


@dataclass(frozen=True, slots=True)
class _MachineListVersion:
    """The machine list since a point in time, and its index."""

    at: float
    index: int
    machines: tuple[MachineEntry, ...]


class PlatformServer:
    """Serves one platform model; all handlers run on one event loop."""

    def __init__(
        self,
        requests_per_second: float,
        machine_list_lag_seconds: float,
        weight_load_seconds: float,
    ) -> None:
        self._model = PlatformModel()
        self._rate_limit = TokenBucket(requests_per_second, requests_per_second)
        self._entry_changed = asyncio.Condition()
        self._weight_load_seconds = weight_load_seconds
        self._weight_store = asyncio.Lock()
        self._machine_list_lag_seconds = machine_list_lag_seconds
        self._machine_history: list[_MachineListVersion] = []
        self._outage_until = 0.0
        self._delay_seconds = 0.0
        self._answers_to_lose = 0
        self._saved_entries: dict[str, StoredEntry] = {}
        self._call_count = 0
        self._refused_count = 0
        self._blocked_reads: Counter[str] = Counter()

    def application(self) -> web.Application:
        """Return the aiohttp application."""
        application = web.Application(client_max_size=MAXIMUM_BODY_BYTES, middlewares=[self._limit])
        application.add_routes(
            [
                web.get("/v1/kv/{key:.+}", self._get),
                web.put("/v1/kv/{key:.+}", self._put),
                web.put("/v1/session/create", self._create_session),
                web.put("/v1/session/renew/{session}", self._renew_session),
                web.put("/v1/agent/service/register", self._register),
                web.put("/v1/agent/service/deregister/{machine}", self._deregister),
                web.get("/v1/catalog/services-list", self._machine_list),
                web.get("/v1/weights/{version}", self._weights),
                web.post("/admin/fault", self._apply_fault),
                web.get("/admin/counters", self._counters),
            ]
        )
        return application

    @web.middleware
    async def _limit(self, request: web.Request, handler: object) -> web.StreamResponse:
        """Apply outage, delay and rate limit to all calls except those under /admin/."""
        assert callable(handler)
        if request.path.startswith("/admin/"):
            return await handler(request)  # type: ignore[no-any-return]
        self._call_count += 1
        now = time.monotonic()
        if now < self._outage_until:
            return web.Response(status=503, text="outage")
        if self._delay_seconds:
            await asyncio.sleep(self._delay_seconds)
        if self._rate_limit.try_take(1.0, now) > 0:
            self._refused_count += 1
            return web.Response(status=429, text="rate limited")
        return await handler(request)  # type: ignore[no-any-return]

    async def _get(self, request: web.Request) -> web.Response:
        key = request.match_info["key"]
        after_revision = int(request.query.get("index", "0"))
        wait_seconds = float(request.query.get("wait", "0s").rstrip("s"))
        entry = await self._wait_for_change(key, after_revision, wait_seconds)
        if entry is None:
            return web.Response(status=404)
        body = orjson.dumps([_entry_body(entry)])
        return web.Response(body=body, content_type="application/json")

    async def _wait_for_change(
        self, key: str, after_revision: int, wait_seconds: float
    ) -> StoredEntry | None:
        deadline = time.monotonic() + wait_seconds
        async with self._entry_changed:
            while True:
                entry = self._model.get(key, time.monotonic())
                remaining = deadline - time.monotonic()
                if remaining <= 0 or (entry is not None and entry.revision != after_revision):
                    return entry
                self._blocked_reads[key] += 1
                try:
                    async with asyncio.timeout(remaining):
                        await self._entry_changed.wait()
                except TimeoutError:
                    return self._model.get(key, time.monotonic())
                finally:
                    self._blocked_reads[key] -= 1

    async def _put(self, request: web.Request) -> web.Response:
        key = request.match_info["key"]
        value = await request.read()
        if "cas" in request.query:
            done = self._model.compare_and_swap(key, value, int(request.query["cas"]))
        else:
            session = request.query.get("acquire", "")
            done = self._model.acquire(key, value, session, time.monotonic())
        if done:
            await self._notify_entry_change()
        return self._write_answer(request, b"true" if done else b"false")

    async def _create_session(self, request: web.Request) -> web.Response:
        body = orjson.loads(await request.read())
        seconds = float(str(body.get("TTL", "10s")).rstrip("s"))
        session = self._model.create_session(seconds, time.monotonic())
        return self._write_answer(request, orjson.dumps({"ID": session}))

    async def _renew_session(self, request: web.Request) -> web.Response:
        renewed = self._model.renew_session(request.match_info["session"], time.monotonic())
        return web.Response(status=200 if renewed else 404)

    async def _register(self, request: web.Request) -> web.Response:
        body = orjson.loads(await request.read())
        machine = MachineEntry(
            machine_id=body["ID"],
            service=body["Name"],
            address=body["Address"],
            zone=body["Meta"]["Zone"],
            leaving=body["Meta"].get("Leaving") == "true",
        )
        self._model.register_machine(machine)
        self._record_machine_list()
        return web.Response()

    async def _deregister(self, request: web.Request) -> web.Response:
        self._model.remove_machine(request.match_info["machine"])
        self._record_machine_list()
        return web.Response()

    async def _machine_list(self, request: web.Request) -> web.Response:
        version = await self._wait_for_machine_list(request)
        rows = [
            {
                "ID": machine.machine_id,
                "Name": machine.service,
                "Address": machine.address,
                "Meta": {"Zone": machine.zone, "Leaving": str(machine.leaving).lower()},
            }
            for machine in version.machines
        ]
        headers = {"X-Consul-Index": str(version.index)}
        return web.Response(
            body=orjson.dumps(rows), headers=headers, content_type="application/json"
        )

    async def _weights(self, _: web.Request) -> web.Response:
        """Send weights to one engine at a time, since all engines share the store's bandwidth."""
        async with self._weight_store:
            await asyncio.sleep(self._weight_load_seconds)
        return web.Response()

    async def _wait_for_machine_list(self, request: web.Request) -> _MachineListVersion:
        """Return the stale machine list; with `wait`, long-poll until its index changes."""
        known = int(request.query.get("index", "-1"))
        wait_seconds = float(request.query.get("wait", "0s").rstrip("s"))
        deadline = time.monotonic() + wait_seconds
        version = self._stale_machine_list()
        while version.index == known and time.monotonic() < min(deadline, self._long_poll_end()):
            await asyncio.sleep(MACHINE_LIST_POLL_SECONDS)
            version = self._stale_machine_list()
        return version

    def _long_poll_end(self) -> float:
        """Return the time at which long polls must end: 0 during an outage, otherwise infinity."""
        in_outage = time.monotonic() < self._outage_until
        return 0.0 if in_outage else float("inf")

    async def _apply_fault(self, request: web.Request) -> web.Response:
        fault = PlatformFault.model_validate_json(await request.read())
        if fault.kind == "none":
            self._outage_until = self._delay_seconds = 0.0
            self._answers_to_lose = 0
        elif fault.kind == "outage":
            self._outage_until = time.monotonic() + fault.seconds
            await self._notify_entry_change()
        elif fault.kind == "slow":
            self._delay_seconds = fault.delay_seconds
        elif fault.kind == "lose_answers":
            self._answers_to_lose = fault.count
        elif fault.kind == "save":
            self._saved_entries = self._model.snapshot()
        elif fault.kind == "restore":
            self._model.restore(self._saved_entries)
            await self._notify_entry_change()
        else:
            self._machine_list_lag_seconds = fault.delay_seconds
        return web.Response()

    async def _counters(self, _: web.Request) -> web.Response:
        counters = {
            "calls": self._call_count,
            "refused": self._refused_count,
            "blocked_reads": self._blocked_reads,
        }
        return web.Response(body=orjson.dumps(counters), content_type="application/json")

    async def _notify_entry_change(self) -> None:
        async with self._entry_changed:
            self._entry_changed.notify_all()

    def _write_answer(self, request: web.Request, body: bytes) -> web.Response:
        """Respond to an applied write, or close its connection while answers are to be lost."""
        if self._answers_to_lose > 0:
            self._answers_to_lose -= 1
            if request.transport is not None:
                request.transport.close()
        return web.Response(body=body, content_type="application/json")

    def _record_machine_list(self) -> None:
        now = time.monotonic()
        index = self._machine_history[-1].index + 1 if self._machine_history else 1
        version = _MachineListVersion(now, index, tuple(self._model.machines()))
        self._machine_history.append(version)
        visible_at = now - self._machine_list_lag_seconds
        while len(self._machine_history) > 1 and self._machine_history[1].at <= visible_at:
            self._machine_history.pop(0)

    def _stale_machine_list(self) -> _MachineListVersion:
        visible_at = time.monotonic() - self._machine_list_lag_seconds
        visible = [version for version in self._machine_history if version.at <= visible_at]
        return visible[-1] if visible else _MachineListVersion(0.0, 0, ())


def _entry_body(entry: StoredEntry) -> dict[str, object]:
    return {
        "Key": entry.key,
        "Value": base64.b64encode(entry.value).decode(),
        "ModifyIndex": entry.revision,
        "Session": entry.session,
    }
