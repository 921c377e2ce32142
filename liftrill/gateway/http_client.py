"""The gateway's clients of engines and of the store.

What their connections do differently from aiohttp's is in `guarded_connection`.
"""

import asyncio
import itertools
import socket
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from contextvars import ContextVar
from dataclasses import dataclass
from typing import Any

import aiohttp
from aiohttp.abc import AbstractStreamWriter
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection
from yarl import URL

from liftrill import clock, constants
from liftrill.errors import LiftrillError
from liftrill.gateway.decision_log import DecisionLog
from liftrill.gateway.gateway_metrics import GatewayMetrics
from liftrill.gateway.holding.memory_budget import LARGE_BODY_BYTES
from liftrill.gateway.transport import EngineReply, EngineTransport, ProbeResult, allow_send
from liftrill.guarded_connection import (
    MAX_IDLE_S,
    GuardedResponseHandler,
    ReportFault,
    ResponseFault,
    guarded_session,
    no_report,
)
from liftrill.response_limits import MAX_STORE_BODY_BYTES, BodyLimits

# A partitioned peer sends nothing: unacknowledged data or keep-alive probes end the connection.
USER_TIMEOUT_MILLISECONDS = 2_000
KEEPALIVE_IDLE_SECONDS = 2
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2
MAX_HEADER_BYTES = 32_768
# A timeout that is noticed later than this many times its duration was caused by this process.
LATE_FACTOR = 1.5


class SendWithdrawnError(LiftrillError):
    """A request that must not be sent any more, though its connection was established."""


@dataclass(frozen=True, slots=True)
class Send:
    """One send of a request to an engine.

    Attributes:
        may_begin: called when the connection is ready, before its first byte is written.
        request_id: what answers repeat to name their request, or empty.
    """

    may_begin: Callable[[], bool] = allow_send
    request_id: str = ""


_ANY_SEND = Send()
# What the current task sends, for which it asks for a connection.
_current_send: ContextVar[Send] = ContextVar("current_send", default=_ANY_SEND)


@contextmanager
def sending(send: Send) -> Iterator[None]:
    """Apply a send to the requests that the current task makes while the block runs."""
    token = _current_send.set(send)
    try:
        yield
    finally:
        _current_send.reset(token)


ReportReplaced = Callable[[str, str], None]


def ignore_replaced(address: str, request_id: str) -> None:
    """Do nothing as a connection is replaced."""


class CheckingConnector(aiohttp.TCPConnector):
    """A connector that returns a connection only if its request may be sent, and sent on it.

    A connection can take a second to establish, or the machine may sleep meanwhile, so that the
    state by which the engine was chosen is outdated.

    Answers name their request, but not which of its sends they answer. An engine may repeat an
    answer in the place of the next one on a connection, so that no connection carries two sends
    of the same request.

    Attributes:
        on_replaced: called with HOST:PORT and the request's id when a connection is closed because
            it has carried the request before.
    """

    on_replaced: ReportReplaced = staticmethod(ignore_replaced)

    async def connect(self, *args: Any, **options: Any) -> Connection:
        """Return a connection for the current send, or raise SendWithdrawnError."""
        send = _current_send.get()
        connection = await self._connect_for(send, *args, **options)
        if send.may_begin():
            return connection
        connection.release()
        raise SendWithdrawnError("the request may no longer be sent")

    async def _connect_for(self, send: Send, *args: Any, **options: Any) -> Connection:
        while True:
            connection = await super().connect(*args, **options)
            handler = connection.protocol
            if not isinstance(handler, GuardedResponseHandler):
                return connection
            if handler.accept_request(send.request_id):
                return connection
            self.on_replaced(handler.address, send.request_id)
            connection.close()

    def discard_idle(self, address: str) -> None:
        """Close the idle connections to HOST:PORT."""
        host, _, port = address.rpartition(":")
        for key, connections in self._conns.items():
            if key.host == host and key.port == int(port):
                # The connector drops closed connections when it looks for an idle one.
                for handler, _ in connections:
                    handler.close()

    def has_open(self, address: str, used_before: float) -> bool:
        """Return whether a connection is open on which HOST:PORT sent bytes before a time."""
        host, _, port = address.rpartition(":")
        idle = (
            handler
            for key, connections in self._conns.items()
            if key.host == host and key.port == int(port)
            for handler, _ in connections
        )
        in_use = (handler for handler in self._acquired if _is_to(handler, host, int(port)))
        handlers = itertools.chain(idle, in_use)
        return any(
            isinstance(each, GuardedResponseHandler)
            and each.is_open
            and each.first_data_at < used_before
            for each in handlers
        )


def _is_to(handler: ResponseHandler, host: str, port: int) -> bool:
    """Return whether an open connection leads to an address."""
    transport = handler.transport
    return transport is not None and transport.get_extra_info("peername") == (host, port)


class LargeBody(aiohttp.BytesPayload):
    """A body that is written in pieces.

    aiohttp joins the first piece with the head. For a body in one piece that would be a copy of
    the whole body, retained until the engine has read it.
    """

    async def write_with_length(
        self, writer: AbstractStreamWriter, content_length: int | None
    ) -> None:
        """Write the body piece by piece, as fast as the engine reads it."""
        whole = memoryview(self._value)
        for start in range(0, len(whole), LARGE_BODY_BYTES):
            await writer.write(whole[start : start + LARGE_BODY_BYTES])


def engine_url(address: str, target: str) -> URL:
    """Return the URL of a request target at HOST:PORT, which is sent as it is.

    A parsed target would lose a `#` with what follows it, and a `?` that nothing follows.
    """
    return URL.build(scheme="http", authority=address, path=target, encoded=True)


def payload(body: bytes) -> bytes | LargeBody | None:
    """Return the payload to write for a body, or None for an empty one."""
    return LargeBody(body) if len(body) >= LARGE_BODY_BYTES else body or None


def _open_socket(address: Any) -> socket.socket:
    family, kind, protocol, _, _ = address
    opened = socket.socket(family, kind, protocol)
    opened.setblocking(False)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MILLISECONDS)
    return opened


def new_engine_session(
    report: ReportFault = no_report,
    limit_per_host: int = 0,
    report_replaced: ReportReplaced = ignore_replaced,
) -> aiohttp.ClientSession:
    """Return a session that sends each request once and does not alter responses."""
    return _new_session(
        BodyLimits(),
        report,
        holds_ends=True,
        report_replaced=report_replaced,
        limit_per_host=limit_per_host,
        keepalive_timeout=MAX_IDLE_S,
    )


def new_store_session(report: ReportFault = no_report) -> aiohttp.ClientSession:
    """Return a session that uses a new connection for each call.

    An established connection may stop delivering data while new ones work. A call on a kept-alive
    connection would notice only at its timeout, and the next call could use another such one.
    """
    limits = BodyLimits(MAX_STORE_BODY_BYTES, MAX_STORE_BODY_BYTES)
    return _new_session(limits, report, force_close=True)


def fault_reporter(log: DecisionLog, metrics: GatewayMetrics) -> ReportFault:
    """Return a function that logs and counts the faults of responses."""

    def report(fault: ResponseFault) -> None:
        metrics.response_faults.inc()
        log.response_fault(fault)

    return report


def logged_engine_session(log: DecisionLog, metrics: GatewayMetrics) -> aiohttp.ClientSession:
    """Return an engine session that logs malformed responses and replaced connections."""
    report = fault_reporter(log, metrics)
    return new_engine_session(report, report_replaced=log.connection_replaced)


def _new_session(
    body_limits: BodyLimits,
    report: ReportFault,
    holds_ends: bool = False,
    report_replaced: ReportReplaced = ignore_replaced,
    **options: Any,
) -> aiohttp.ClientSession:
    connector = CheckingConnector(
        limit=0,
        use_dns_cache=False,
        happy_eyeballs_delay=None,
        socket_factory=_open_socket,
        **options,
    )
    connector.on_replaced = report_replaced
    return guarded_session(
        connector,
        body_limits,
        report,
        holds_ends,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=constants.CONNECT_TIMEOUT_SECONDS),
        max_line_size=MAX_HEADER_BYTES,
        max_field_size=MAX_HEADER_BYTES,
    )


def discard_idle(session: aiohttp.ClientSession, address: str) -> None:
    """Close the idle connections of an engine session to HOST:PORT."""
    if isinstance(session.connector, CheckingConnector):
        session.connector.discard_idle(address)


def reply_of_error(error: Exception) -> EngineReply:
    """Return what the error of a call shows of its address."""
    is_refused = isinstance(error, aiohttp.ClientConnectorError) and isinstance(
        error.os_error, ConnectionRefusedError
    )
    return EngineReply.REFUSED if is_refused else EngineReply.NONE


def call_timeout(total_s: float | None) -> aiohttp.ClientTimeout:
    """Return the timeout of a call, with that of its connection."""
    return aiohttp.ClientTimeout(total=total_s, sock_connect=constants.CONNECT_TIMEOUT_SECONDS)


async def probe(address: str, timeout_s: float) -> ProbeResult:
    """Open a connection to HOST:PORT, close it, and return whether it was accepted."""
    host, _, port = address.rpartition(":")
    started_at = clock.now_s()
    try:
        async with asyncio.timeout(timeout_s):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return ProbeResult.REFUSED
    except (OSError, TimeoutError, ValueError):
        is_late = clock.now_s() - started_at > LATE_FACTOR * timeout_s
        return ProbeResult.LATE if is_late else ProbeResult.UNANSWERED
    writer.close()
    return ProbeResult.ACCEPTED


class HttpEngineTransport(EngineTransport):
    """The connections of an engine session; subclasses send the requests."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def probe(self, address: str, timeout_s: float) -> ProbeResult:
        """Open a connection to an address, close it, and return whether it was accepted."""
        return await probe(address, timeout_s)

    def has_open_connection(self, address: str, used_before: float) -> bool:
        """Return whether a connection is open on which an address sent bytes before a time."""
        connector = self._session.connector
        if not isinstance(connector, CheckingConnector):
            return False
        return connector.has_open(address, used_before)

    def reject_answer_to_request(self, response: aiohttp.ClientResponse, address: str) -> None:
        """Raise ClientPayloadError if the reply to a call that has no id names a request.

        The answer to a request was repeated, and the reply is still to come on the connection.
        """
        if response.headers.get(self.id_header):
            response.close()
            # The connection is idle already if the whole answer has arrived.
            self.discard_idle(address)
            raise aiohttp.ClientPayloadError("the answer to a request came as the reply to a call")

    def discard_idle(self, address: str) -> None:
        """Close the idle connections to an address."""
        discard_idle(self._session, address)
