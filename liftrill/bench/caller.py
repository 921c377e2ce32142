"""Sends requests to nodes as an application does, and records the responses."""

import asyncio
import time
from collections.abc import Callable

import aiohttp
import orjson

from liftrill.bench import history
from liftrill.bench.deployment import api_key
from liftrill.bench.history import CallRecord
from liftrill.bench.workload import PlannedRequest

TIMEOUT_MARGIN_SECONDS = 10.0


class Caller:
    """Sends requests over one client session and checks the responses."""

    def __init__(self, session: aiohttp.ClientSession, weight_versions: list[str]) -> None:
        self._session = session
        self._weight_versions = weight_versions

    async def send(
        self, node_name: str, address: str, planned: PlannedRequest, idempotency_key: str = ""
    ) -> CallRecord:
        """Send a request, read and check the whole response, and return its record."""
        record = CallRecord(
            number=planned.number,
            node=node_name,
            tenant=planned.tenant,
            workload=planned.workload.name,
            idempotency_key=idempotency_key,
            sent_at=time.monotonic(),
        )
        timeout_seconds = planned.workload.deadline_milliseconds / 1000 + TIMEOUT_MARGIN_SECONDS
        try:
            async with self._session.post(
                f"http://{address}/v1/completions",
                data=orjson.dumps(_body(planned)),
                headers=_headers(planned, idempotency_key),
                timeout=aiohttp.ClientTimeout(total=timeout_seconds, sock_connect=2.0),
            ) as response:
                await self._read_response(record, response, planned)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            record.transport_error = repr(error)
        record.ended_at = time.monotonic()
        record.answered_at_unix = time.time()
        self._check(record, planned)
        return record

    async def _read_response(
        self, record: CallRecord, response: aiohttp.ClientResponse, planned: PlannedRequest
    ) -> None:
        record.status = response.status
        record.request_id = response.headers.get("Liftrill-Request-Id", "")
        record.execution = response.headers.get("Liftrill-Execution", "")
        record.retry_after = response.headers.get("Retry-After", "")
        if response.status != 200:
            record.code = int(orjson.loads(await response.read())["error"]["code"])
        elif planned.workload.streamed:
            await self._read_stream(record, response)
        else:
            self._read_unstreamed(record, orjson.loads(await response.read()))

    async def _read_stream(self, record: CallRecord, response: aiohttp.ClientResponse) -> None:
        async for line in response.content:
            if not line.startswith(b"data: "):
                continue
            content = line[6:].strip()
            if content == b"[DONE]":
                record.complete = True
                return
            self._read_chunk(record, orjson.loads(content))
            if record.code:
                return
        record.problems.append(history.STREAM_NOT_TERMINATED)

    def _read_chunk(self, record: CallRecord, chunk: dict[str, object]) -> None:
        error = chunk.get("error")
        if isinstance(error, dict):
            record.code = int(error["code"])
            record.execution = str(error["execution"])
            return
        if record.first_token_at is None:
            record.first_token_at = time.monotonic()
        _record_choice(record, chunk)

    def _read_unstreamed(self, record: CallRecord, body: dict[str, object]) -> None:
        record.first_token_at = time.monotonic()
        record.complete = True
        _record_choice(record, body)

    def _check(self, record: CallRecord, planned: PlannedRequest) -> None:
        if record.status and not record.execution:
            record.problems.append(history.EXECUTION_MISSING)
        if record.complete:
            tokens = planned.workload.output_tokens
            history.check_complete_answer(record, planned.prompt, tokens)
        else:
            history.check_partial_answer(record, planned.prompt, self._weight_versions)


async def send_open_loop(
    planned: list[PlannedRequest],
    send: Callable[[PlannedRequest], "asyncio.Task[CallRecord]"],
) -> list[CallRecord]:
    """Send each request at its scheduled time, without waiting for earlier responses."""
    started_at = time.monotonic()
    tasks: list[asyncio.Task[CallRecord]] = []
    for request in planned:
        delay = started_at + request.send_at - time.monotonic()
        if delay > 0:
            await asyncio.sleep(delay)
        tasks.append(send(request))
    return list(await asyncio.gather(*tasks))


def _body(planned: PlannedRequest) -> dict[str, object]:
    workload = planned.workload
    return {
        "model": workload.model,
        "prompt": planned.prompt,
        "max_tokens": workload.output_tokens,
        "stream": workload.streamed,
    }


def _headers(planned: PlannedRequest, idempotency_key: str) -> dict[str, str]:
    headers = {
        "Authorization": f"Bearer {api_key(planned.tenant)}",
        "Liftrill-Workload": planned.workload.name,
        "Content-Type": "application/json",
    }
    if idempotency_key:
        headers["Idempotency-Key"] = idempotency_key
        headers["Liftrill-Repeatable"] = "no"
    return headers


def _record_choice(record: CallRecord, content: dict[str, object]) -> None:
    choices = content["choices"]
    assert isinstance(choices, list)
    record.text += choices[0]["text"]
    usage = content.get("usage")
    if isinstance(usage, dict):
        record.prompt_tokens = usage["prompt_tokens"]
        record.cached_tokens = usage["prompt_tokens_details"]["cached_tokens"]
        record.completion_tokens = usage["completion_tokens"]
        record.weight_version = str(content["weight_version"])
