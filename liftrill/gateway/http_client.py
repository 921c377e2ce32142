"""aiohttp's client, restricted to at most one send for each call.

By itself, aiohttp sends requests with idempotent methods again when a kept-alive connection turns
out to be closed, takes bytes that arrive on an idle connection for the next response, and takes a
body without a length for complete even if the connection was reset. It reads responses of any
length. Each of these would break a guarantee of the gateway, so they are disabled here.
"""

import asyncio
import functools
import itertools
import math
import socket
from collections.abc import Callable
from contextvars import ContextVar
from typing import Any

import aiohttp
from aiohttp import ClientPayloadError
from aiohttp.abc import AbstractStreamWriter
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection
from aiohttp.helpers import set_exception

from liftrill import clock, constants
from liftrill.errors import LiftrillError
from liftrill.gateway.holding.memory_budget import LARGE_BODY_BYTES
from liftrill.gateway.transport import EngineTransport, ProbeResult, allow_send
from liftrill.limited_response import ResponseCutOffError, limited_response
from liftrill.response_limits import MAX_STORE_BODY_BYTES, BodyLimits, FramingLimit

# A partitioned peer sends nothing: unacknowledged data or keep-alive probes end the connection.
USER_TIMEOUT_MILLISECONDS = 2_000
KEEPALIVE_IDLE_SECONDS = 2
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2
MAX_HEADER_BYTES = 32_768
FIRST_FINAL_STATUS = 200
# An idle connection is reused only within this share of the peer's announced keep-alive timeout.
IDLE_TIMEOUT_SHARE = 0.8
MAX_IDLE_S = 30.0
MAX_TIMEOUT_DIGITS = 9
# A timeout that is noticed later than this many times its duration was caused by this process.
LATE_FACTOR = 1.5


class GuardedResponseHandler(ResponseHandler):
    """A client connection that closes on unsolicited or endless bytes and detects resets."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop=loop)
        self._response_count = 0
        self._framing = FramingLimit()
        self._idle_limit_s = constants.ENGINE_IDLE_CONNECTION_SECONDS
        self._last_data_at = clock.now_s()
        self._closed_at = math.inf

    @property
    def close_delay_s(self) -> float:
        """The time between the last received bytes and the end of the connection."""
        return self._closed_at - self._last_data_at

    @property
    def is_open(self) -> bool:
        """Whether the connection is open; one that is not read does not show its end."""
        transport = self.transport
        return transport is not None and not transport.is_closing() and not self._reading_paused

    def set_response_params(self, **parameters: Any) -> None:
        """Prepare for the response to a request that is about to be sent."""
        self._response_count = 0
        self._framing = FramingLimit()
        super().set_response_params(**parameters)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Count the final responses that were parsed."""
        message, _ = data
        if message.code >= FIRST_FINAL_STATUS:
            self._response_count += 1
            self._idle_limit_s = idle_limit_s(message.headers.get("Keep-Alive", ""))
        else:
            self._framing.add_interim_response()
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Process received bytes (asyncio callback); close if no response is due."""
        self._last_data_at = clock.now_s()
        # Heads are parsed one by one: an error in what follows must not discard a response.
        while data and not self._response_count:
            length = self._framing.head_length(data)
            if not self._parse(data[:length]) or length == len(data):
                return
            data = data[length:]
        if data and self._is_idle():
            self._abort()
        else:
            # Without data, aiohttp goes on with what it held back while the reader was slow.
            self._parse(data)

    def is_connected(self) -> bool:
        """Return whether another request may be sent, because the peer is not about to close."""
        idle_s = clock.now_s() - self._last_data_at
        if self._response_count and idle_s > self._idle_limit_s:
            return False
        return super().is_connected()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Handle the end of the connection (asyncio callback)."""
        self._closed_at = clock.now_s()
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            set_exception(
                payload, ClientPayloadError("connection reset before the body ended"), exc
            )
        super().connection_lost(exc)

    def _parse(self, data: bytes) -> bool:
        """Parse received bytes; return whether the connection is still open."""
        super().data_received(data)
        transport, payload = self.transport, self._payload
        if transport is None or transport.is_closing():
            # aiohttp raises an error in a body only to the reader of the next response.
            self._fail_body(ClientPayloadError("invalid framing"))
            return False
        exceeded = self._framing.add(len(data), payload.total_bytes if payload is not None else 0)
        if exceeded is None:
            return True
        error = ResponseCutOffError(str(exceeded))
        self.set_exception(error)
        self._fail_body(error)
        self._abort()
        return False

    def _fail_body(self, error: ClientPayloadError) -> None:
        """Raise an error to the reader of an incomplete body."""
        payload = self._payload
        if self._exception is not None and payload is not None and not payload.is_eof():
            set_exception(payload, error)

    def _abort(self) -> None:
        self._should_close = True
        if self.transport is not None:
            self.transport.abort()

    def _is_idle(self) -> bool:
        payload_over = self._payload is None or self._payload.is_eof()
        return self._response_count > 0 and payload_over


class SendWithdrawnError(LiftrillError):
    """A request that must not be sent any more, though its connection was established."""


# Called when the connection for a request is ready, before its first byte is written.
may_send: ContextVar[Callable[[], bool]] = ContextVar("may_send", default=allow_send)


class CheckingConnector(aiohttp.TCPConnector):
    """A connector that returns a connection only if its request may still be sent.

    A connection can take a second to establish, or the machine may sleep meanwhile, so that the
    state by which the engine was chosen is outdated.
    """

    async def connect(self, *args: Any, **options: Any) -> Connection:
        """Return a connection for a request, or raise SendWithdrawnError."""
        connection = await super().connect(*args, **options)
        if may_send.get()():
            return connection
        connection.release()
        raise SendWithdrawnError("the request may no longer be sent")

    def discard_idle(self, address: str) -> None:
        """Close the idle connections to HOST:PORT."""
        host, _, port = address.rpartition(":")
        for key, connections in self._conns.items():
            if key.host == host and key.port == int(port):
                # The connector drops closed connections when it looks for an idle one.
                for handler, _ in connections:
                    handler.close()

    def has_open(self, address: str) -> bool:
        """Return whether a connection to HOST:PORT is open, in use or idle."""
        host, _, port = address.rpartition(":")
        idle = (
            handler
            for key, connections in self._conns.items()
            if key.host == host and key.port == int(port)
            for handler, _ in connections
        )
        in_use = (handler for handler in self._acquired if _is_to(handler, host, int(port)))
        handlers = itertools.chain(idle, in_use)
        return any(isinstance(h, GuardedResponseHandler) and h.is_open for h in handlers)


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


def payload(body: bytes) -> bytes | LargeBody | None:
    """Return the payload to write for a body, or None for an empty one."""
    return LargeBody(body) if len(body) >= LARGE_BODY_BYTES else body or None


def idle_limit_s(keep_alive: str) -> float:
    """Return for how long a connection may be reused, given a response's Keep-Alive header."""
    for parameter in keep_alive.split(","):
        name, _, value = parameter.partition("=")
        value = value.strip()
        if name.strip().lower() == "timeout" and value.isascii() and value.isdigit():
            return min(IDLE_TIMEOUT_SHARE * int(value[:MAX_TIMEOUT_DIGITS]), MAX_IDLE_S)
    return constants.ENGINE_IDLE_CONNECTION_SECONDS


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


def new_engine_session(limit_per_host: int = 0) -> aiohttp.ClientSession:
    """Return a session that sends each request once and does not alter responses."""
    return _new_session(BodyLimits(), limit_per_host=limit_per_host, keepalive_timeout=MAX_IDLE_S)


def new_store_session() -> aiohttp.ClientSession:
    """Return a session that uses a new connection for each call.

    An established connection may stop delivering data while new ones work. A call on a kept-alive
    connection would notice only at its timeout, and the next call could use another such one.
    """
    limits = BodyLimits(MAX_STORE_BODY_BYTES, MAX_STORE_BODY_BYTES)
    return _new_session(limits, force_close=True)


def _new_session(body_limits: BodyLimits, **options: Any) -> aiohttp.ClientSession:
    connector = CheckingConnector(
        limit=0,
        use_dns_cache=False,
        happy_eyeballs_delay=None,
        socket_factory=_open_socket,
        **options,
    )
    # aiohttp has no public way to choose the protocol class, or to forbid the second send on a
    # kept-alive connection; a feature checks that both overrides still work.
    connector._factory = functools.partial(  # type: ignore[assignment]
        GuardedResponseHandler, loop=asyncio.get_running_loop()
    )
    session = aiohttp.ClientSession(
        connector=connector,
        response_class=limited_response(body_limits),
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=constants.CONNECT_TIMEOUT_SECONDS),
        max_line_size=MAX_HEADER_BYTES,
        max_field_size=MAX_HEADER_BYTES,
    )
    session._retry_connection = False
    return session


def _is_to(handler: ResponseHandler, host: str, port: int) -> bool:
    """Return whether an open connection leads to an address."""
    transport = handler.transport
    return transport is not None and transport.get_extra_info("peername") == (host, port)


def discard_idle(session: aiohttp.ClientSession, address: str) -> None:
    """Close the idle connections of an engine session to HOST:PORT."""
    if isinstance(session.connector, CheckingConnector):
        session.connector.discard_idle(address)


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

    def has_open_connection(self, address: str) -> bool:
        """Return whether a connection to an address is open, in use or idle."""
        connector = self._session.connector
        return isinstance(connector, CheckingConnector) and connector.has_open(address)

    def discard_idle(self, address: str) -> None:
        """Close the idle connections to an address."""
        discard_idle(self._session, address)
