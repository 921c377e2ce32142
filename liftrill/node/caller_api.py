"""HTTP handlers for callers."""

import asyncio
import hashlib
import uuid
from typing import cast

from aiohttp import web

from liftrill import clock, constants
from liftrill.coordination.claims import StoredResult
from liftrill.coordination.configuration import DIGEST_BYTES
from liftrill.errors import (
    CodedError,
    Execution,
    InvalidRequestError,
    RequestError,
    ResultCode,
    UnknownOutcomeError,
)
from liftrill.mechanisms import Mechanism, is_enabled
from liftrill.messages.configuration_pb2 import Tenant, Workload
from liftrill.node.caller_schema import (
    EXECUTION_HEADER,
    REQUEST_ID_HEADER,
    CallerBody,
    CallerHeaders,
    ChatRequest,
    CompletionRequest,
    parse_body,
    parse_headers,
)
from liftrill.node.claim_service import ClaimService
from liftrill.node.context import NodeContext
from liftrill.node.request_runner import CallerGoneError, TokenSink
from liftrill.node.responses import (
    CHAT_FORMAT,
    COMPLETION_FORMAT,
    ResponseFormat,
    ResponseWriter,
    error_event,
    error_response,
    json_response,
)
from liftrill.routing.events import DeliverToken
from liftrill.routing.outcome import Completed, Failed, Outcome, unattempted_refusal
from liftrill.routing.request import RoutedRequest
from liftrill.routing.request_state_machine import RequestStateMachine


class BufferedSink(TokenSink):
    """Collects the tokens of a response without streaming."""

    def __init__(self) -> None:
        self.texts: list[str] = []
        self.first_token_at: float | None = None

    async def deliver(self, tokens: list[DeliverToken]) -> None:
        """Collect the texts of tokens."""
        if self.first_token_at is None:
            self.first_token_at = clock.now_s()
        self.texts.extend(token.text for token in tokens)


class StreamSink(TokenSink):
    """Writes tokens as server-sent events; the response starts with the first token."""

    def __init__(self, request: web.Request, writer: ResponseWriter, request_id: str) -> None:
        self._request = request
        self._writer = writer
        self._request_id = request_id
        self.response: web.StreamResponse | None = None
        self.first_token_at: float | None = None

    async def deliver(self, tokens: list[DeliverToken]) -> None:
        """Write tokens; wait while the connection's buffer is full."""
        if self.first_token_at is None:
            self.first_token_at = clock.now_s()
        chunks = [self._writer.chunk(token.index, token.text) for token in tokens]
        await self.write(b"".join(chunks))

    async def write(self, content: bytes) -> None:
        """Write bytes; start the response if it has not started."""
        try:
            if self.response is None:
                self.response = await self._start_response()
            await self.response.write(content)
        except ConnectionError as error:
            raise CallerGoneError(f"caller of request {self._request_id} disconnected") from error

    async def end(self) -> web.StreamResponse:
        """Finish the response."""
        assert self.response is not None
        try:
            await self.response.write_eof()
        except ConnectionError as error:
            raise CallerGoneError(f"caller of request {self._request_id} disconnected") from error
        return self.response

    async def _start_response(self) -> web.StreamResponse:
        headers = {
            "Content-Type": "text/event-stream",
            "Cache-Control": "no-cache",
            REQUEST_ID_HEADER: self._request_id,
            EXECUTION_HEADER: Execution.RAN.value,
        }
        response = web.StreamResponse(headers=headers)
        await response.prepare(self._request)
        return response


class CallerApi:
    """Serves completions, chat completions, models, health, readiness and metrics."""

    def __init__(self, context: NodeContext, claims: ClaimService) -> None:
        self._context = context
        self._claims = claims

    def routes(self) -> list[web.RouteDef]:
        """Return the HTTP routes."""
        return [
            web.post("/v1/completions", self._completions),
            web.post("/v1/chat/completions", self._chat),
            web.get("/v1/models", self._models),
            web.get("/health", self._health),
            web.get("/ready", self._ready),
            web.get("/metrics", self._metrics),
        ]

    async def _completions(self, request: web.Request) -> web.StreamResponse:
        return await self._serve(request, CompletionRequest, COMPLETION_FORMAT)

    async def _chat(self, request: web.Request) -> web.StreamResponse:
        return await self._serve(request, ChatRequest, CHAT_FORMAT)

    async def _models(self, _: web.Request) -> web.Response:
        models = sorted(self._context.view.pools_by_model)
        data = [{"id": model, "object": "model", "owned_by": "liftrill"} for model in models]
        return json_response({"object": "list", "data": data})

    async def _health(self, _: web.Request) -> web.Response:
        return json_response({"status": "alive"})

    async def _ready(self, _: web.Request) -> web.Response:
        reason = self._context.unready_reason()
        status = 200 if reason is None else 503
        return json_response({"ready": reason is None, "reason": reason}, status)

    async def _metrics(self, _: web.Request) -> web.Response:
        body = self._context.metrics.exposition()
        return web.Response(body=body, headers={"Content-Type": "text/plain; version=0.0.4"})

    async def _serve(
        self, http_request: web.Request, schema: type[CallerBody], response_format: ResponseFormat
    ) -> web.StreamResponse:
        request_id = str(uuid.uuid4())
        with self._context.open_requests.track():
            try:
                return await self._respond(http_request, schema, response_format, request_id)
            except RequestError as error:
                self._count_request(error.execution, error.code)
                return error_response(error, request_id)
            except CallerGoneError:
                self._count_request(Execution.UNKNOWN, ResultCode.CALLER_GONE)
                return error_response(UnknownOutcomeError(ResultCode.CALLER_GONE), request_id)
            except asyncio.CancelledError:
                self._count_request(Execution.UNKNOWN, ResultCode.CALLER_GONE)
                raise

    async def _respond(
        self,
        http_request: web.Request,
        schema: type[CallerBody],
        response_format: ResponseFormat,
        request_id: str,
    ) -> web.StreamResponse:
        headers = parse_headers(http_request.headers)
        body = parse_body(schema, await _read_body(http_request))
        routed = self._route(headers, body, request_id)
        writer = ResponseWriter(response_format, request_id, body.model)
        sink = StreamSink(http_request, writer, request_id) if body.stream else BufferedSink()
        if routed.repeatable or not is_enabled(Mechanism.CLAIMS):
            outcome = await self._run(routed, sink)
        else:
            outcome = await self._run_under_claim(routed, sink)
        return await self._finish_response(outcome, sink, writer, request_id)

    async def _run_under_claim(self, routed: RoutedRequest, sink: "ResponseSink") -> Outcome:
        """Run a request that is not repeatable, under a claim of its idempotency key.

        The key is claimed before admission. So a refusal by admission is correctly reported
        as not run, because no earlier submission of the key can hold a claim.
        """
        digest = hashlib.blake2b(
            b"\x00".join((routed.tenant.encode(), routed.model.encode(), routed.prompt)),
            digest_size=DIGEST_BYTES,
        ).digest()
        claim = await self._claims.claim(routed.idempotency_key, routed.request_id, digest)
        if isinstance(claim, StoredResult):
            return await _deliver_stored_result(claim, sink)
        machine = RequestStateMachine(routed, self._context.dispatcher)
        try:
            outcome = await self._run(routed, sink, machine)
        except (RequestError, asyncio.CancelledError):
            if machine.was_not_run:
                self._claims.withdraw(claim)
            raise
        if isinstance(outcome, Completed):
            self._claims.store_result(claim, _stored_result(machine, outcome))
        elif machine.was_not_run:
            self._claims.withdraw(claim)
        return outcome

    async def _finish_response(
        self, outcome: Outcome, sink: "ResponseSink", writer: ResponseWriter, request_id: str
    ) -> web.StreamResponse:
        """Return or complete the response of a request from its outcome."""
        if isinstance(sink, BufferedSink):
            if isinstance(outcome, Failed):
                raise outcome.error
            return writer.full_response(outcome, "".join(sink.texts))
        if isinstance(outcome, Completed):
            await sink.write(writer.last_chunk(outcome))
        elif sink.response is None or outcome.error.code is ResultCode.CALLER_GONE:
            raise outcome.error
        else:
            self._count_request(outcome.error.execution, outcome.error.code)
            await sink.write(error_event(outcome.error, request_id))
        return await sink.end()

    def _route(self, headers: CallerHeaders, body: CallerBody, request_id: str) -> RoutedRequest:
        """Return the request for routing, with its tenant and workload.

        Raises:
            InvalidRequestError: the API key, the model or the workload is unknown.
            NotRunError: the node has no configuration yet.
        """
        if self._context.view.generation == 0:
            raise unattempted_refusal(
                ResultCode.NO_CONFIGURATION, retry_after_seconds=constants.RETRY_AFTER_SECONDS
            )
        tenant = self._tenant_of(headers)
        workload = self._workload_for(headers, body.model)
        prompt = body.prompt_text().encode()
        milliseconds = headers.deadline_milliseconds or workload.deadline_milliseconds
        return RoutedRequest(
            request_id=request_id,
            tenant=tenant.name,
            workload=workload.name,
            model=body.model,
            prompt=prompt,
            prompt_tokens=self._context.tokenizer.count(prompt),
            maximum_tokens=body.max_tokens,
            priority=workload.priority,
            deadline=clock.now_s() + milliseconds / 1000,
            repeatable=headers.repeatable,
            idempotency_key=headers.idempotency_key,
        )

    def _tenant_of(self, headers: CallerHeaders) -> Tenant:
        tenant = self._context.view.tenant_for_key(headers.api_key)
        if tenant is None:
            raise InvalidRequestError(ResultCode.INVALID_API_KEY)
        return tenant

    def _workload_for(self, headers: CallerHeaders, model: str) -> Workload:
        if model not in self._context.view.pools_by_model:
            raise InvalidRequestError(ResultCode.UNKNOWN_MODEL, f"unknown model {model[:80]!r}")
        if headers.workload:
            workload = self._context.view.workloads_by_name.get(headers.workload)
        else:
            workload = self._context.view.default_workload(model)
        if workload is None or workload.model != model:
            detail = f"no workload {headers.workload[:80]!r} for model {model!r}"
            raise InvalidRequestError(ResultCode.UNKNOWN_WORKLOAD, detail)
        return workload

    def _admit(self, routed: RoutedRequest) -> None:
        if self._context.draining:
            raise unattempted_refusal(
                ResultCode.NODE_DRAINING, retry_after_seconds=constants.RETRY_AFTER_SECONDS
            )
        wait = self._context.admission.admit(
            routed.tenant, routed.workload, routed.prompt_tokens, clock.now_s()
        )
        if wait > 0:
            raise unattempted_refusal(ResultCode.RATE_LIMITED, retry_after_seconds=wait)

    async def _run(
        self,
        routed: RoutedRequest,
        sink: "ResponseSink",
        machine: RequestStateMachine | None = None,
    ) -> Outcome:
        """Admit and run a request; record its metrics."""
        self._admit(routed)
        started_at = clock.now_s()
        machine = machine or RequestStateMachine(routed, self._context.dispatcher)
        outcome = await self._context.runner.run(machine, sink)
        if sink.first_token_at is not None:
            self._context.metrics.first_token_seconds.observe(sink.first_token_at - started_at)
        if isinstance(outcome, Completed):
            self._record_completed(routed, outcome)
        return outcome

    def _record_completed(self, routed: RoutedRequest, completed: Completed) -> None:
        metrics = self._context.metrics
        metrics.requests.labels(execution=Execution.RAN.value, code="0").inc()
        metrics.tokens.inc(completed.completion_tokens)
        metrics.prompt_tokens.inc(completed.prompt_tokens)
        metrics.cached_tokens.inc(completed.cached_tokens)
        self._context.admission.record_success(routed.workload)

    def _count_request(self, execution: Execution, code: ResultCode) -> None:
        labels = {"execution": execution.value, "code": str(code.number)}
        self._context.metrics.requests.labels(**labels).inc()


ResponseSink = BufferedSink | StreamSink


async def _deliver_stored_result(result: StoredResult, sink: ResponseSink) -> Completed:
    """Deliver the stored response of an earlier submission of the key."""
    await sink.deliver([DeliverToken(0, result.text)])
    return Completed(
        engine_id="",
        weight_version=result.weight_version,
        finish_reason=result.finish_reason,
        prompt_tokens=result.prompt_tokens,
        cached_tokens=0,
        completion_tokens=result.completion_tokens,
    )


def _stored_result(machine: RequestStateMachine, completed: Completed) -> StoredResult:
    return StoredResult(
        text=machine.delivered_text,
        finish_reason=completed.finish_reason,
        prompt_tokens=completed.prompt_tokens,
        completion_tokens=completed.completion_tokens,
        weight_version=completed.weight_version,
    )


async def _read_body(request: web.Request) -> bytes:
    try:
        return await request.read()
    except web.HTTPRequestEntityTooLarge as error:
        raise InvalidRequestError(ResultCode.BODY_TOO_LARGE) from error


@web.middleware
async def error_middleware(request: web.Request, handler: object) -> web.StreamResponse:
    """Respond with a result code to coded errors, unknown paths and unexpected exceptions."""
    assert callable(handler)
    try:
        return cast(web.StreamResponse, await handler(request))
    except CodedError as error:
        return error_response(error)
    except web.HTTPException as error:
        if error.status in (404, 405):
            return error_response(InvalidRequestError(ResultCode.UNKNOWN_PATH, request.path[:80]))
        raise
    except Exception as error:
        if request.transport is None:
            raise
        detail = f"{type(error).__name__}"
        return error_response(UnknownOutcomeError(ResultCode.INTERNAL_ERROR, detail))
