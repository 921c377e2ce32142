"""HTTP emulator of a model engine, around `EngineModel`."""

import asyncio
import time
from collections import deque
from dataclasses import dataclass, replace
from pathlib import Path

import aiohttp
import orjson
from aiohttp import web
from pydantic import ValidationError

from liftrill.emulator.engine_faults import EngineFault
from liftrill.emulator.engine_journal import EngineJournal
from liftrill.emulator.engine_messages import (
    Assignment,
    CacheEvent,
    EngineOutput,
    EngineParameters,
    Generation,
    GenerationFinished,
    RefusalReason,
    TokenProduced,
)
from liftrill.emulator.engine_model import EngineModel
from liftrill.emulator.engine_schema import CompletionBody, ExportBody, OrderBody

REFUSAL_STATUS = {
    RefusalReason.INCARNATION_MISMATCH: 412,
    RefusalReason.WEIGHT_VERSION_MISMATCH: 412,
    RefusalReason.SALT_MISSING: 400,
    RefusalReason.PROMPT_TOO_LONG: 400,
    RefusalReason.DUPLICATE_ATTEMPT: 409,
    RefusalReason.STALE_FENCE: 409,
    RefusalReason.WRONG_POOL: 422,
    RefusalReason.MODEL_MISMATCH: 412,
}
# The results of an attempt whose weights were compared, or would be if it named any.
ATTEMPT_MET_WEIGHTS = (None, RefusalReason.WEIGHT_VERSION_MISMATCH)
UNAVAILABLE_STATUS = 503
MAXIMUM_BODY_BYTES = 16 * 1024 * 1024
IDLE_TICK_SECONDS = 0.5
MAX_RECENT_EVENTS = 20_000
MAX_WAIT_SECONDS = 60.0
UNTIL_WEIGHTS_FETCHED = float("inf")


@dataclass(frozen=True, slots=True)
class ReportedIdentity:
    """What an engine reports about itself."""

    incarnation: int
    revision: int
    weight_version: str
    leaving: bool

    @property
    def key(self) -> tuple[int, int]:
        """The incarnation and the revision, which a reader names to wait for a change."""
        return (self.incarnation, self.revision)


class EngineServer:
    """Serves one engine model; all handlers run on one event loop."""

    def __init__(
        self,
        engine_id: str,
        assignment: Assignment,
        parameters: EngineParameters,
        seed: int,
        journal_path: Path | None,
        weight_store: str,
        kept_store: str,
    ) -> None:
        self.engine_id = engine_id
        self._kept_store = kept_store
        self._weight_store = weight_store
        self._weight_fetches: set[asyncio.Task[None]] = set()
        self._model = EngineModel(parameters, assignment, _new_incarnation(), seed)
        self._readers: dict[str, asyncio.Queue[EngineOutput | None]] = {}
        self._work_available = asyncio.Event()
        self._identity_changed = asyncio.Condition()
        self._frozen_until = 0.0
        self._foreign_answers_until = 0.0
        self._repeated_chunks_until = 0.0
        self._stale_identity: ReportedIdentity | None = None
        self._recent_events: deque[CacheEvent] = deque(maxlen=MAX_RECENT_EVENTS)
        self._journal = EngineJournal(engine_id, journal_path)
        self._driver: asyncio.Task[None] | None = None

    def application(self) -> web.Application:
        """Return the aiohttp application."""
        application = web.Application(client_max_size=MAXIMUM_BODY_BYTES)
        application.add_routes(
            [
                web.post("/v1/completions", self._complete),
                web.get("/v1/attempts/{attempt_id}", self._resume),
                web.delete("/v1/attempts/{attempt_id}", self._cancel),
                web.post("/v1/exports", self._export),
                web.post("/v1/orders", self._order),
                web.get("/v1/status", self._status),
                web.get("/v1/events", self._events),
                web.post("/admin/fault", self._apply_fault),
            ]
        )
        application.on_startup.append(self._start)
        application.on_cleanup.append(self._stop)
        return application

    async def _start(self, _: web.Application) -> None:
        self._session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=1.0))
        self._driver = asyncio.create_task(self._drive())

    async def _stop(self, _: web.Application) -> None:
        if self._driver is not None:
            self._driver.cancel()
        await self._session.close()
        self._journal.close()

    async def _drive(self) -> None:
        """Advance the model whenever a step or a load is due, and deliver its outputs."""
        notified = self._reported_identity()
        while True:
            now = time.monotonic()
            if now < self._frozen_until:
                await asyncio.sleep(self._frozen_until - now)
                continue
            for output in self._model.advance(now):
                self._deliver(output)
            while self._reported_identity() != notified:
                notified = self._reported_identity()
                await self._notify_identity_change()
            await self._wait_for_work(self._model.next_time())

    async def _wait_for_work(self, due: float | None) -> None:
        self._work_available.clear()
        delay = IDLE_TICK_SECONDS if due is None else max(0.0, due - time.monotonic())
        try:
            async with asyncio.timeout(min(delay, IDLE_TICK_SECONDS)):
                await self._work_available.wait()
        except TimeoutError:
            return

    def _deliver(self, output: EngineOutput) -> None:
        self._record_reuse(output)
        reader = self._readers.get(output.attempt_id)
        if reader is not None:
            reader.put_nowait(output)

    # Handlers

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        try:
            body = CompletionBody.model_validate_json(await request.read())
            kept_blocks = await self._importable_blocks(body)
            generation_request = body.to_request(kept_blocks)
        except (ValidationError, ValueError) as error:
            return _json_response({"error": {"code": "invalid", "message": str(error)}}, 400)
        reason = self._model.submit(generation_request, time.monotonic())
        if reason in ATTEMPT_MET_WEIGHTS:
            self._end_stale_reports()
        if reason is not None:
            return self._refusal_response(reason)
        self._journal.record_execution(body, self._model.incarnation, self._model.weight_version)
        reader = self._open_reader(body.attempt_id)
        self._work_available.set()
        generation = self._model.attempt(body.attempt_id)
        assert generation is not None
        return await self._stream(request, generation, reader, body.start_index)

    async def _importable_blocks(self, body: CompletionBody) -> int:
        """Return how many blocks of a prefix can be imported from the kept-KV store.

        The store is queried only on a cache miss; a lookup costs far less than a prefill.
        """
        names = body.import_candidates
        if not names or not self._kept_store or bytes.fromhex(names[-1]) in self._model.cache:
            return 0
        content = {"names": names, "weight_version": self._model.weight_version}
        url = f"http://{self._kept_store}/v1/lookups"
        try:
            async with self._session.post(url, data=orjson.dumps(content)) as response:
                return int(orjson.loads(await response.read())["blocks"])
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError, KeyError):
            return 0

    async def _export(self, request: web.Request) -> web.Response:
        body = ExportBody.model_validate_json(await request.read())
        held = bytes.fromhex(body.name) in self._model.cache
        if not held or not self._kept_store:
            return _json_response({"exported": False}, 409)
        content = {"blocks": body.blocks, "weight_version": self._model.weight_version}
        url = f"http://{self._kept_store}/v1/prefixes/{body.name}"
        async with self._session.put(url, data=orjson.dumps(content)) as response:
            await response.read()
        return _json_response({"exported": True})

    async def _resume(self, request: web.Request) -> web.StreamResponse:
        attempt_id = request.match_info["attempt_id"]
        from_index = int(request.query.get("from", "0"))
        generation = self._model.attach(attempt_id)
        if generation is None:
            return _json_response({"error": {"code": "unknown_attempt"}}, 404)
        reader = self._open_reader(attempt_id)
        start_index = generation.request.start_index
        for position in range(from_index - start_index, len(generation.texts)):
            text = generation.texts[position]
            reader.put_nowait(TokenProduced(attempt_id, start_index + position, text))
        if generation.finished is not None:
            reader.put_nowait(generation.finished)
        return await self._stream(request, generation, reader, from_index)

    async def _cancel(self, request: web.Request) -> web.Response:
        attempt_id = request.match_info["attempt_id"]
        cancelled = self._model.cancel(attempt_id)
        self._close_reader(attempt_id)
        return _json_response({"cancelled": cancelled})

    async def _order(self, request: web.Request) -> web.Response:
        try:
            order = OrderBody.model_validate_json(await request.read())
        except ValidationError as error:
            return _json_response({"error": {"code": "invalid", "message": str(error)}}, 400)
        if order.action == "leave":
            reason = self._model.apply_leave_order(order.authority, order.fence)
        else:
            reason = self._model.apply_assign_order(
                Assignment(order.pool, order.model, order.weight_version),
                order.authority,
                order.fence,
                order.expected_pool,
                UNTIL_WEIGHTS_FETCHED,
            )
            self._start_weight_fetch(order.weight_version)
        self._work_available.set()
        await self._notify_identity_change()
        return self._refusal_response(reason) if reason else _json_response({"accepted": True})

    def _start_weight_fetch(self, version: str) -> None:
        """Start fetching weights if an order requires them and no fetch is running."""
        if self._model.loading_until == UNTIL_WEIGHTS_FETCHED and not self._weight_fetches:
            task = asyncio.create_task(self._fetch_until_successful(version))
            self._weight_fetches.add(task)
            task.add_done_callback(self._weight_fetches.discard)

    async def _fetch_until_successful(self, version: str) -> None:
        """Fetch weights from the platform's rate-limited store, retrying until it succeeds."""
        fetched = not self._weight_store
        while not fetched:
            url = f"http://{self._weight_store}/v1/weights/{version}"
            timeout = aiohttp.ClientTimeout(total=MAX_WAIT_SECONDS)
            try:
                async with self._session.get(url, timeout=timeout) as response:
                    fetched = response.status == 200
            except (aiohttp.ClientError, TimeoutError, OSError):
                fetched = False
            if not fetched:
                await asyncio.sleep(IDLE_TICK_SECONDS)
        self._model.mark_weights_fetched(time.monotonic())
        self._work_available.set()

    async def _status(self, request: web.Request) -> web.Response:
        """Return the status; with `wait`, long-poll until the given identity is outdated."""
        if "wait" in request.query:
            await self._wait_for_identity_change(request)
        report = self._model.report(time.monotonic())
        identity = self._reported_identity()
        return _json_response(
            {
                "engine_id": self.engine_id,
                "model": self._model.assignment.model,
                "pool": self._model.assignment.pool,
                "incarnation": identity.incarnation,
                "revision": identity.revision,
                "weight_version": identity.weight_version,
                "leaving": identity.leaving,
                "running": report.running,
                "waiting": report.waiting,
                "waiting_prompt_tokens": report.waiting_prompt_tokens,
                "memory_blocks": report.memory_blocks,
                "cached_blocks": report.cached_blocks,
            }
        )

    async def _wait_for_identity_change(self, request: web.Request) -> None:
        known = (int(request.query["incarnation"]), int(request.query["revision"]))
        deadline = time.monotonic() + min(float(request.query["wait"]), MAX_WAIT_SECONDS)
        async with self._identity_changed:
            while known == self._reported_identity().key:
                remaining = deadline - time.monotonic()
                if remaining <= 0:
                    return
                try:
                    async with asyncio.timeout(remaining):
                        await self._identity_changed.wait()
                except TimeoutError:
                    return

    def _reported_identity(self) -> ReportedIdentity:
        return self._stale_identity or ReportedIdentity(
            self._model.incarnation,
            self._model.revision,
            self._model.weight_version,
            self._model.leaving or self._model.loading_until is not None,
        )

    def _end_stale_reports(self) -> None:
        """Report the loaded weights if the stale report names others."""
        stale = self._stale_identity
        if stale is not None and stale.weight_version != self._model.weight_version:
            self._stale_identity = None
            self._work_available.set()

    async def _notify_identity_change(self) -> None:
        async with self._identity_changed:
            self._identity_changed.notify_all()

    async def _events(self, request: web.Request) -> web.Response:
        self._recent_events.extend(self._model.take_events(time.monotonic()))
        after = int(request.query.get("after", "0"))
        rows = [
            [e.sequence, e.kind.value, e.block_name.hex()]
            for e in self._recent_events
            if e.sequence > after
        ]
        return _json_response({"incarnation": self._model.incarnation, "events": rows})

    async def _apply_fault(self, request: web.Request) -> web.Response:
        fault = EngineFault.model_validate_json(await request.read())
        now = time.monotonic()
        if fault.kind == "none":
            self._stale_identity = None
            self._frozen_until = self._foreign_answers_until = self._repeated_chunks_until = 0.0
            self._model.set_leaving(False)
        elif fault.kind == "crash":
            self._model.crash(_new_incarnation())
            self._stale_identity = None
            self._recent_events.clear()
            self._cut_streams()
        elif fault.kind == "freeze":
            self._frozen_until = now + fault.seconds
        elif fault.kind == "cut_streams":
            self._cut_streams()
        elif fault.kind == "foreign_answers":
            self._foreign_answers_until = now + fault.seconds
        elif fault.kind == "repeated_chunks":
            self._repeated_chunks_until = now + fault.seconds
        elif fault.kind == "event_loss":
            self._model.cache.event_loss_share = fault.share
        elif fault.kind in ("leave", "accept_while_leaving"):
            self._model.set_leaving(True)
            self._model.accepts_while_leaving = fault.kind == "accept_while_leaving"
        else:
            self._load_unordered(fault, now)
        self._work_available.set()
        await self._notify_identity_change()
        return _json_response({"applied": fault.kind})

    def _load_unordered(self, fault: EngineFault, now: float) -> None:
        if fault.kind == "unreported_load":
            self._stale_identity = self._reported_identity()
        changed = replace(self._model.assignment, weight_version=fault.weight_version)
        self._model.load(changed, now + fault.seconds)

    # Streams

    def _open_reader(self, attempt_id: str) -> asyncio.Queue[EngineOutput | None]:
        self._close_reader(attempt_id)
        reader: asyncio.Queue[EngineOutput | None] = asyncio.Queue()
        self._readers[attempt_id] = reader
        return reader

    def _close_reader(self, attempt_id: str) -> None:
        reader = self._readers.pop(attempt_id, None)
        if reader is not None:
            reader.put_nowait(None)

    def _cut_streams(self) -> None:
        for attempt_id in list(self._readers):
            self._close_reader(attempt_id)

    async def _stream(
        self,
        request: web.Request,
        generation: Generation,
        reader: asyncio.Queue[EngineOutput | None],
        next_index: int,
    ) -> web.StreamResponse:
        attempt_id = generation.request.attempt_id
        response = web.StreamResponse(headers=self._stream_headers(generation))
        try:
            await response.prepare(request)
            if time.monotonic() < self._foreign_answers_until:
                await response.write(_foreign_chunk())
            await self._write_outputs(response, generation, reader, next_index)
        except (ConnectionError, asyncio.CancelledError):
            self._model.detach(attempt_id, time.monotonic())
            raise
        finally:
            if self._readers.get(attempt_id) is reader:
                del self._readers[attempt_id]
        return response

    async def _write_outputs(
        self,
        response: web.StreamResponse,
        generation: Generation,
        reader: asyncio.Queue[EngineOutput | None],
        next_index: int,
    ) -> None:
        while True:
            output = await reader.get()
            if output is None:
                raise ConnectionResetError("stream cut")
            if isinstance(output, TokenProduced) and output.index < next_index:
                continue
            chunk = self._encode_chunk(generation, output)
            repeats = 2 if time.monotonic() < self._repeated_chunks_until else 1
            await response.write(chunk * repeats)
            if isinstance(output, GenerationFinished):
                await response.write(b"data: [DONE]\n\n")
                return

    def _stream_headers(self, generation: Generation) -> dict[str, str]:
        report = self._model.report(time.monotonic())
        return {
            "X-Engine-Running": str(report.running),
            "X-Engine-Waiting": str(report.waiting),
            "X-Engine-Waiting-Prompt-Tokens": str(report.waiting_prompt_tokens),
            "Content-Type": "text/event-stream",
            "X-Engine-Incarnation": str(self._model.incarnation),
            "X-Weight-Version": self._model.weight_version,
            "Engine-Attempt-Id": generation.request.attempt_id,
        }

    def _encode_chunk(self, generation: Generation, output: EngineOutput) -> bytes:
        chunk: dict[str, object] = {
            "id": generation.request.request_id,
            "attempt_id": output.attempt_id,
        }
        if isinstance(output, TokenProduced):
            chunk["index"] = output.index
            chunk["choices"] = [{"index": 0, "text": output.text, "finish_reason": None}]
        else:
            usage = output.usage
            chunk["choices"] = [{"index": 0, "text": "", "finish_reason": output.finish_reason}]
            chunk["usage"] = {
                "prompt_tokens": usage.prompt_tokens,
                "completion_tokens": usage.completion_tokens,
                "prompt_tokens_details": {"cached_tokens": usage.cached_tokens},
            }
        return b"data: " + orjson.dumps(chunk) + b"\n\n"

    def _refusal_response(self, reason: RefusalReason) -> web.Response:
        body = {
            "error": {"code": reason.value, "executed": False},
            "incarnation": self._model.incarnation,
            "revision": self._model.revision,
            "weight_version": self._model.weight_version,
            "pool": self._model.assignment.pool,
        }
        return _json_response(body, REFUSAL_STATUS.get(reason, UNAVAILABLE_STATUS))

    def _record_reuse(self, output: EngineOutput) -> None:
        """Record the origins of the cached blocks that an attempt reused, with its first token."""
        generation = self._model.attempt(output.attempt_id)
        if generation is None or not isinstance(output, TokenProduced):
            return
        if output.index == generation.request.start_index and generation.reused_origins:
            self._journal.record_reuse(generation, self._model.weight_version)


def _new_incarnation() -> int:
    """Return an incarnation number that is greater than those of earlier starts."""
    return time.time_ns() // 1_000


def _foreign_chunk() -> bytes:
    chunk = {
        "id": "request-of-someone-else",
        "attempt_id": "attempt-of-someone-else",
        "index": 0,
        "choices": [{"index": 0, "text": "zzzz", "finish_reason": None}],
    }
    return b"data: " + orjson.dumps(chunk) + b"\n\n"


def _json_response(content: dict[str, object], status: int = 200) -> web.Response:
    return web.Response(body=orjson.dumps(content), status=status, content_type="application/json")
