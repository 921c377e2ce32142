"""The sockets that callers connect to, and their shutdown without interrupting requests."""

import asyncio
import socket
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager, suppress

from liftrill import constants
from liftrill.gateway import http_server as web

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class CallerServer:
    """The listening sockets of one process, and the count of its requests in flight."""

    def __init__(self) -> None:
        self._servers: list[asyncio.Server] = []
        self._handlers: list[web.Server] = []
        self._in_flight = 0
        self._idle = asyncio.Event()
        self._idle.set()

    async def listen(
        self,
        address: str,
        handle: Handler,
        receive_bytes: int = 0,
        max_header_bytes: int = constants.CALLER_HEADER_BYTES,
    ) -> None:
        """Listen at HOST:PORT; if not 0, `receive_bytes` sets the receive buffer of connections."""
        handler = web.Server(
            handle,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=constants.CALLER_IDLE_CONNECTION_SECONDS,
            max_line_size=max_header_bytes,
            max_field_size=max_header_bytes,
            auto_decompress=False,
            lingering_time=0.0,
        )
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        server = await loop.create_server(handler, host, int(port), backlog=512)
        if receive_bytes:
            # Accepted connections inherit the size.
            for listening in server.sockets:
                listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        self._servers.append(server)
        self._handlers.append(handler)

    @contextmanager
    def track_request(self) -> Iterator[None]:
        """Count a request as in flight while the block runs."""
        self._in_flight += 1
        self._idle.clear()
        try:
            yield
        finally:
            self._in_flight -= 1
            if self._in_flight == 0:
                self._idle.set()

    def close_sockets(self) -> None:
        """Close the listening sockets, so that no connection is accepted any more."""
        for server in self._servers:
            server.close()

    async def wait_until_idle(self, timeout_seconds: float) -> None:
        """Wait until no request is in flight, but no longer than a time."""
        with suppress(TimeoutError):
            async with asyncio.timeout(max(0.0, timeout_seconds)):
                await self._idle.wait()

    def close_idle(self) -> None:
        """Close the connections that have no request in flight."""
        for handler in self._handlers:
            handler.pre_shutdown()
