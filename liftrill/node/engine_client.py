"""HTTP client of the engines: sends attempts, and parses their streams, reports and events."""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import aiohttp
import orjson

from liftrill import clock, constants
from liftrill.cache.event_stream import BlockEvent
from liftrill.errors import LiftrillError
from liftrill.gateway.field_reader import MAX_NUMBER, whole
from liftrill.mechanisms import Mechanism, is_enabled
from liftrill.planning.orders import AssignOrder
from liftrill.response_limits import MAX_EVENT_BYTES
from liftrill.routing import events
from liftrill.routing.engine_state import EngineIdentity, EngineReport, EngineState
from liftrill.routing.request import RoutedRequest
from liftrill.routing.router import PrefixSaveAdvice

EVENT_SEPARATOR = b"\n\n"
DATA_PREFIX = b"data: "
DONE_MARKER = b"[DONE]"
STORED_KIND = "stored"
OK_STATUS = 200
CONFLICT_STATUS = 409
PRECONDITION_FAILED_STATUS = 412
SERVICE_UNAVAILABLE_STATUS = 503
LEAVING_CODES = frozenset({"leaving", "loading"})


@dataclass(frozen=True, slots=True)
class EventBatch:
    """Cache events of one incarnation of an engine."""

    incarnation: int
    events: tuple[BlockEvent, ...]


class AttemptRefusedError(LiftrillError):
    """The engine did not run the attempt.

    Attributes:
        identity: the current identity of the engine, or None if its response has none.
    """

    def __init__(self, kind: events.RefusalKind, identity: EngineIdentity | None = None) -> None:
        self.kind = kind
        self.identity = identity
        super().__init__(f"engine refused the attempt: {kind.value}")


class StaleFenceError(LiftrillError):
    """An engine refused an order because it has received a newer fencing token."""


class AttemptBrokenError(LiftrillError):
    """The connection failed after the attempt was sent, so the engine may have run it."""


class EngineStream:
    """The output stream of one attempt."""

    def __init__(self, response: aiohttp.ClientResponse, attempt_id: str) -> None:
        self._response = response
        self._attempt_id = attempt_id
        self._buffer = b""

    async def read(self) -> list[events.RequestEvent]:
        """Return the events of the next chunk of bytes.

        Raises:
            AttemptBrokenError: the stream was closed early, timed out or cannot be parsed.
        """
        try:
            data = await self._response.content.readany()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise AttemptBrokenError(self._attempt_id) from error
        if not data:
            raise AttemptBrokenError(self._attempt_id)
        *complete, self._buffer = (self._buffer + data).split(EVENT_SEPARATOR)
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise AttemptBrokenError(self._attempt_id)
        try:
            parsed = [_parse_event(event_data) for event_data in complete]
        except (orjson.JSONDecodeError, KeyError, TypeError, IndexError) as error:
            raise AttemptBrokenError(self._attempt_id) from error
        return [event for event in parsed if event is not None]

    def close(self) -> None:
        """Close the connection."""
        self._response.close()

    async def release(self) -> None:
        """Read the rest of the response, so that the connection can be reused."""
        try:
            async with asyncio.timeout(constants.ENGINE_CONNECT_TIMEOUT_SECONDS):
                await self._response.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            self._response.close()


class EngineClient:
    """Calls the engines through one connection pool."""

    def __init__(self, session: aiohttp.ClientSession, cache_secret: bytes) -> None:
        self._session = session
        self._cache_secret = cache_secret
        self._timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=constants.ENGINE_CONNECT_TIMEOUT_SECONDS,
            sock_read=constants.ENGINE_SILENCE_TIMEOUT_SECONDS,
        )

    async def start(
        self, engine: EngineState, request: RoutedRequest, instruction: events.StartAttempt
    ) -> EngineStream:
        """Send an attempt and return its stream.

        Raises:
            AttemptRefusedError: the engine definitely did not run the attempt.
            AttemptBrokenError: the engine may have run the attempt.
        """
        body = self._attempt_body(request, instruction)
        try:
            response = await self._session.post(
                f"http://{engine.address}/v1/completions",
                data=orjson.dumps(body),
                timeout=self._timeout,
                headers={"Content-Type": "application/json"},
            )
        except aiohttp.ClientConnectorError as error:
            raise AttemptRefusedError(events.RefusalKind.UNREACHABLE) from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            if isinstance(error, aiohttp.ConnectionTimeoutError):
                raise AttemptRefusedError(events.RefusalKind.UNREACHABLE) from error
            raise AttemptBrokenError(instruction.attempt_id) from error
        if response.status != OK_STATUS:
            raise await self._refusal_error(response, instruction.attempt_id)
        _apply_load(engine, response.headers)
        return EngineStream(response, instruction.attempt_id)

    async def resume(
        self, engine: EngineState, instruction: events.ResumeAttempt
    ) -> EngineStream | None:
        """Return the stream of a running attempt from an index; None if it cannot be resumed."""
        url = f"http://{engine.address}/v1/attempts/{instruction.attempt_id}"
        query = {"from": str(instruction.from_index)}
        try:
            response = await self._session.get(url, params=query, timeout=self._timeout)
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None
        if response.status != OK_STATUS:
            response.release()
            return None
        return EngineStream(response, instruction.attempt_id)

    async def cancel(self, engine: EngineState, attempt_id: str) -> None:
        """Cancel an attempt on an engine; if the call fails, the engine does unneeded work."""
        url = f"http://{engine.address}/v1/attempts/{attempt_id}"
        timeout = aiohttp.ClientTimeout(total=constants.ENGINE_CONNECT_TIMEOUT_SECONDS)
        try:
            async with self._session.delete(url, timeout=timeout) as response:
                await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return

    async def report(self, engine: EngineState) -> EngineReport | None:
        """Return an engine's report, or None if the engine does not respond."""
        return await self._read_report(engine, {}, constants.ENGINE_CONNECT_TIMEOUT_SECONDS)

    async def watch_report(self, engine: EngineState) -> EngineReport | None:
        """Return an engine's report once its identity changes, or after ENGINE_WATCH_SECONDS."""
        identity = engine.identity
        if identity is None:
            return await self.report(engine)
        query = {
            "incarnation": str(identity.incarnation),
            "revision": str(identity.revision),
            "wait": str(constants.ENGINE_WATCH_SECONDS),
        }
        total_seconds = constants.ENGINE_WATCH_SECONDS + constants.ENGINE_CONNECT_TIMEOUT_SECONDS
        return await self._read_report(engine, query, total_seconds)

    async def _read_report(
        self, engine: EngineState, query: Mapping[str, str], timeout_seconds: float
    ) -> EngineReport | None:
        timeout = aiohttp.ClientTimeout(
            total=timeout_seconds, sock_connect=constants.ENGINE_CONNECT_TIMEOUT_SECONDS
        )
        url = f"http://{engine.address}/v1/status"
        try:
            async with self._session.get(url, params=query, timeout=timeout) as response:
                body = orjson.loads(await response.read())
                return _parse_report(body)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError, KeyError, TypeError):
            return None

    async def cache_events(self, engine: EngineState, after: int) -> EventBatch | None:
        """Return an engine's cache events after a sequence number, or None without a response."""
        timeout = aiohttp.ClientTimeout(total=constants.ENGINE_CONNECT_TIMEOUT_SECONDS)
        url = f"http://{engine.address}/v1/events"
        try:
            async with self._session.get(
                url, params={"after": str(after)}, timeout=timeout
            ) as response:
                return _parse_batch(orjson.loads(await response.read()))
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError, KeyError, TypeError):
            return None

    async def export_prefix(self, engine: EngineState, prefix: PrefixSaveAdvice) -> None:
        """Order an engine to export a prefix to the kept-KV store.

        If the call fails, a later request cannot import the prefix.
        """
        body = {"name": prefix.name.hex(), "blocks": prefix.blocks}
        await self._post(f"http://{engine.address}/v1/exports", body)

    async def assign(self, engine: EngineState, order: AssignOrder, fencing_token: int) -> bool:
        """Send a fenced order; False if the engine did not accept it.

        Raises:
            StaleFenceError: another controller holds a newer lease.
        """
        body = {
            "order_id": order.order_id,
            "authority": order.authority,
            "fence": fencing_token,
            "action": "assign",
            "expected_pool": order.expected_pool,
            "pool": order.pool,
            "model": order.model,
            "weight_version": order.weight_version,
        }
        status = await self._post(f"http://{engine.address}/v1/orders", body)
        if status == CONFLICT_STATUS:
            raise StaleFenceError(
                f"engine {order.engine_id} has received a newer fencing token than {fencing_token}"
            )
        return status == OK_STATUS

    async def _post(self, url: str, body: Mapping[str, object]) -> int | None:
        """Return the HTTP status of a short call, or None without a response."""
        timeout = aiohttp.ClientTimeout(total=constants.ENGINE_CONNECT_TIMEOUT_SECONDS)
        try:
            async with self._session.post(
                url, data=orjson.dumps(body), timeout=timeout
            ) as response:
                await response.read()
                return response.status
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None

    def _attempt_body(
        self, request: RoutedRequest, instruction: events.StartAttempt
    ) -> dict[str, object]:
        scope = request.scope(instruction.adapter, instruction.weight_version)
        send_preconditions = is_enabled(Mechanism.PRECONDITIONS)
        return {
            "model": request.model,
            "prompt": request.prompt.decode() + instruction.delivered_text,
            "max_tokens": request.maximum_tokens - instruction.start_index,
            "stream": True,
            "priority": request.priority,
            "cache_salt": request.salt(scope, self._cache_secret).hex(),
            "request_id": request.request_id,
            "attempt_id": instruction.attempt_id,
            "start_index": instruction.start_index,
            "incarnation": instruction.incarnation if send_preconditions else None,
            "weight_version": instruction.weight_version if send_preconditions else None,
            "idempotency_key": request.idempotency_key,
            "user": request.tenant,
            "import_candidates": [name.hex() for name in instruction.import_candidates],
        }

    async def _refusal_error(
        self, response: aiohttp.ClientResponse, attempt_id: str
    ) -> AttemptRefusedError | AttemptBrokenError:
        """Return the error for a response with a status other than 200."""
        try:
            body = orjson.loads(await response.read())
            code = str(body["error"]["code"])
            executed = bool(body["error"].get("executed", False))
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError, KeyError, TypeError):
            return AttemptBrokenError(attempt_id)
        if executed:
            return AttemptBrokenError(attempt_id)
        if response.status == PRECONDITION_FAILED_STATUS:
            identity = _parse_identity(body)
            return AttemptRefusedError(events.RefusalKind.MISMATCH, identity)
        if response.status != SERVICE_UNAVAILABLE_STATUS:
            return AttemptRefusedError(events.RefusalKind.REJECTED)
        if code in LEAVING_CODES:
            return AttemptRefusedError(events.RefusalKind.LEAVING)
        return AttemptRefusedError(events.RefusalKind.OVERLOADED)


def _apply_load(engine: EngineState, headers: Mapping[str, str]) -> None:
    """Apply the load from the response headers of an engine, if they are present and valid."""
    try:
        engine.apply_load(
            int(headers["X-Engine-Running"]),
            int(headers["X-Engine-Waiting"]),
            int(headers["X-Engine-Waiting-Prompt-Tokens"]),
            clock.now_s(),
        )
    except (KeyError, ValueError):
        return


def _parse_event(event_data: bytes) -> events.RequestEvent | None:
    content = event_data.removeprefix(DATA_PREFIX)
    if content == DONE_MARKER or not content:
        return None
    chunk: dict[str, Any] = orjson.loads(content)
    choice = chunk["choices"][0]
    if choice["finish_reason"] is None:
        return events.TokenReceived(
            chunk["id"], chunk["attempt_id"], chunk["index"], choice["text"]
        )
    usage = chunk["usage"]
    return events.AttemptFinished(
        request_id=chunk["id"],
        attempt_id=chunk["attempt_id"],
        finish_reason=choice["finish_reason"],
        prompt_tokens=usage["prompt_tokens"],
        cached_tokens=usage["prompt_tokens_details"]["cached_tokens"],
        completion_tokens=usage["completion_tokens"],
    )


def _parse_batch(body: Mapping[str, Any]) -> EventBatch:
    block_events = tuple(
        BlockEvent(whole(sequence, 0), kind == STORED_KIND, bytes.fromhex(name))
        for sequence, kind, name in body["events"]
    )
    return EventBatch(whole(body["incarnation"], 0, MAX_NUMBER), block_events)


def _parse_identity(body: Mapping[str, Any]) -> EngineIdentity | None:
    try:
        return EngineIdentity(
            incarnation=whole(body["incarnation"], 0, MAX_NUMBER),
            revision=whole(body["revision"], 0, MAX_NUMBER),
            weight_version=str(body["weight_version"]),
            leaving=bool(body.get("leaving", False)),
            pool=str(body.get("pool", "")),
        )
    except (KeyError, TypeError, ValueError):
        return None


def _parse_report(body: Mapping[str, Any]) -> EngineReport | None:
    identity = _parse_identity(body)
    if identity is None:
        return None
    return EngineReport(
        str(body["engine_id"]),
        identity,
        whole(body["running"], 0),
        whole(body["waiting"], 0),
        whole(body["waiting_prompt_tokens"], 0),
    )
