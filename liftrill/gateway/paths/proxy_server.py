"""Passes requests of peers on to engines that they do not reach themselves."""

import math
from collections.abc import Awaitable, Callable

import aiohttp

from liftrill import clock, constants
from liftrill.gateway import http_client
from liftrill.gateway import http_server as web
from liftrill.gateway.caller_server import CallerServer
from liftrill.gateway.decision_log import DecisionLog
from liftrill.gateway.delivery_events import (
    CompleteResponse,
    ConnectionClosed,
    Framing,
    StreamCompleted,
)
from liftrill.gateway.engines.engine_table import EngineTable, EngineView
from liftrill.gateway.gateway_metrics import GatewayMetrics
from liftrill.gateway.holding.body_reader import (
    RECEIVE_BUFFER_BYTES,
    BodyReader,
    BodyRefusedError,
    BodyTooLargeError,
)
from liftrill.gateway.holding.node_memory import NodeMemory
from liftrill.gateway.http_headers import CONNECTION_HEADERS, kept_headers
from liftrill.gateway.paths.engine_links import EngineLinks
from liftrill.gateway.paths.proxy_protocol import (
    OUTCOME_HEADER,
    PROXY_HEADERS,
    ProxyOutcome,
    is_repeatable,
    requested_engine,
)
from liftrill.gateway.response_reader import ResponseEnd, framing_of
from liftrill.gateway.run_continuation import CloseEvidence, resolve_close
from liftrill.guarded_connection import EVENT_STREAM

NOT_SENT_STATUS = 503
# The headers of a caller's largest request and those that nodes add.
MAX_HEADER_BYTES = 2 * constants.CALLER_HEADER_BYTES
DROPPED_HEADERS = CONNECTION_HEADERS | PROXY_HEADERS


def _ignore_end() -> None:
    """Leave it to the node that sent the request that its engine is free."""


def _ignore_down() -> None:
    """Leave it to the node that sent the request whether its attempt ends."""


def _completion(response: aiohttp.ClientResponse) -> CompleteResponse | StreamCompleted:
    """Return the event of a complete response, whose content was passed on."""
    if response.content_type == EVENT_STREAM:
        return StreamCompleted()
    return CompleteResponse(response.status, (), b"")


class ProxyServer:
    """The server on which peers hand over requests to engines.

    Attributes:
        accepts_requests: whether this node passes on requests now.
        may_send: whether an engine may be sent a request now.
        check_closed: finds out what became of an engine after it closed a response's connection.
        question_path: a path at each engine whose reply shows that the response before it is over.
        id_header: the header that names a request in it and in its answers, or empty.
    """

    def __init__(
        self,
        engines: EngineTable,
        links: EngineLinks,
        memory: NodeMemory | None,
        log: DecisionLog,
        metrics: GatewayMetrics,
        check_closed: Callable[..., Awaitable[CloseEvidence]],
    ) -> None:
        self.accepts_requests: Callable[[], bool] = lambda: True
        self.may_send: Callable[[EngineView], bool] = lambda view: True
        self.check_closed = check_closed
        self.question_path = ""
        self.id_header = ""
        self._engines = engines
        self._links = links
        self._memory = memory
        self._log = log
        self._metrics = metrics
        self._server = CallerServer()
        self._session: aiohttp.ClientSession | None = None

    async def listen(self, address: str) -> None:
        """Listen at HOST:PORT."""
        self._session = http_client.logged_engine_session(self._log, self._metrics)
        receive_bytes = RECEIVE_BUFFER_BYTES if self._memory is not None else 0
        await self._server.listen(address, self._on_request, receive_bytes, MAX_HEADER_BYTES)

    async def wait_until_idle(self, timeout_s: float) -> None:
        """Wait until no request is in flight, but no longer than a time."""
        await self._server.wait_until_idle(timeout_s)

    async def close(self) -> None:
        """Stop listening and close all connections."""
        self._server.close_sockets()
        self._server.close_idle()
        if self._session is not None:
            await self._session.close()

    def discard_idle(self, address: str) -> None:
        """Close the idle connections to an engine."""
        if self._session is not None:
            http_client.discard_idle(self._session, address)

    async def _on_request(self, request: web.BaseRequest) -> web.StreamResponse:
        with self._server.track_request():
            try:
                return await self._handle(request)
            except ConnectionResetError:
                # The peer closed its connection during the response.
                return web.Response(status=NOT_SENT_STATUS)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        view = self._requested_view(request)
        if view is None or not self.accepts_requests():
            return self._not_sent(request, ProxyOutcome.UNAVAILABLE)
        budget = self._memory.budget if self._memory is not None else None
        body = BodyReader(request.content, budget, request.remote or "")
        try:
            size = request.content_length or 0
            content = await body.read(size, max(size, constants.CALLER_BODY_BYTES), None)
            return await self._pass_on(request, view, content)
        except (BodyRefusedError, BodyTooLargeError, TimeoutError):
            return self._not_sent(request, ProxyOutcome.UNAVAILABLE)
        finally:
            body.close()

    def _requested_view(self, request: web.BaseRequest) -> EngineView | None:
        """Return the engine that a request names, or None if this node does not know it."""
        engine = requested_engine(request.headers)
        view = self._engines.get(engine.engine_id) if engine is not None else None
        if engine is None or view is None or view.record.address != engine.address:
            return None
        return view

    def _not_sent(self, request: web.BaseRequest, outcome: ProxyOutcome) -> web.Response:
        self._record_failure(request, outcome.value)
        return web.Response(status=NOT_SENT_STATUS, headers={OUTCOME_HEADER: outcome.value})

    async def _pass_on(
        self, request: web.BaseRequest, view: EngineView, content: bytes
    ) -> web.StreamResponse:
        assert self._session is not None
        url = http_client.engine_url(view.record.address, request.raw_path)
        headers = kept_headers(request.headers, DROPPED_HEADERS)
        request_id = request.headers.get(self.id_header, "")
        send = http_client.Send(lambda: self.may_send(view), request_id)
        use = self._links.begin(view.identity, _ignore_down, clock.now_s())
        try:
            with http_client.sending(send):
                response = await self._session.request(
                    request.method,
                    url,
                    data=http_client.payload(content),
                    headers=headers,
                    allow_redirects=False,
                )
            self._links.received(use, clock.now_s())
            try:
                return await self._return(request, response, view)
            finally:
                # A connection whose response was read completely is reused.
                response.close()
        except http_client.SendWithdrawnError:
            return self._not_sent(request, ProxyOutcome.WITHDRAWN)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            self._links.could_not_connect(use, clock.now_s())
            return self._not_sent(request, ProxyOutcome.ENGINE_UNREACHABLE)
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
            self._links.was_interrupted(use)
            return self._lose(request, error)
        finally:
            self._links.end(use)

    async def _return(
        self, request: web.BaseRequest, response: aiohttp.ClientResponse, view: EngineView
    ) -> web.StreamResponse:
        """Return an engine's response as it comes."""
        returned = web.StreamResponse(status=response.status, reason=response.reason)
        returned.headers.extend(kept_headers(response.headers, DROPPED_HEADERS))
        if response.content_length is not None:
            returned.content_length = response.content_length
        end = ResponseEnd(response)
        if end.is_held:
            # The peer need not hold back the end, too, as nothing can follow a closed connection.
            returned.force_close()
            end.watch_end(_ignore_end, math.inf, self.question_path)
        await returned.prepare(request)
        async for chunk in response.content.iter_any():
            await returned.write(chunk)
        is_marked = framing_of(response) is not Framing.CONNECTION
        if not (is_marked and end.is_confirmed):
            evidence = await self.check_closed(view, end.times)
            closed = ConnectionClosed(_completion(response), end.times)
            resolved = resolve_close(closed, evidence, is_repeatable(request.headers))
            if resolved is not closed.completed:
                # The node that sent the request sends it again if its response may be incomplete.
                raise aiohttp.ClientPayloadError(f"connection closed, engine {evidence.engine}")
        await returned.write_eof()
        self._metrics.proxied_requests.labels("passed").inc()
        return returned

    def _lose(self, request: web.BaseRequest, error: Exception) -> web.StreamResponse:
        """Close the peer's connection: the request was sent, and its response is not complete."""
        self._record_failure(request, type(error).__name__)
        if request.transport is not None:
            request.transport.abort()
        return web.Response(status=NOT_SENT_STATUS)

    def _record_failure(self, request: web.BaseRequest, outcome: str) -> None:
        self._metrics.proxied_requests.labels("failed").inc()
        engine = requested_engine(request.headers)
        self._log.proxied_request_failed(
            engine.engine_id if engine is not None else "", request.remote or "", outcome
        )
