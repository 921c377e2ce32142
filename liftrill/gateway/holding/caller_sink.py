"""Writes answers to callers over aiohttp."""

import asyncio
import json
import socket
import struct

from aiohttp.http import HttpVersion11
from aiohttp.http_writer import StreamWriter

from liftrill import clock
from liftrill.errors import ResultCode
from liftrill.gateway import delivery_events as events
from liftrill.gateway import http_server as web
from liftrill.gateway.holding.body_reader import BodyReader
from liftrill.gateway.holding.caller_stream import CallerConnection, CallerStream
from liftrill.gateway.holding.memory_budget import Purpose
from liftrill.gateway.holding.node_memory import NodeMemory
from liftrill.gateway.transport import ResponseSink

JSON = "application/json"
# A caller with more unsent bytes counts as slow. Whole answers and single events are usually
# shorter, and a thousand connections at this mark fit into the reserve of the memory budget.
HIGH_WATER_BYTES = 16_384
# For how long a caller may still read the bytes that were sent before an answer was aborted.
FLUSH_TIMEOUT_S = 0.3
# Values of SO_LINGER: a close resets the connection, or ends it in order. They also hold for the
# close by which the kernel ends the connections of a killed process.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
END_ON_CLOSE = struct.pack("ii", 0, 0)


class AiohttpConnection(CallerConnection):
    """The aiohttp connection of one streamed answer."""

    def __init__(self, writer: StreamWriter, transport: asyncio.Transport) -> None:
        self._writer = writer
        self._transport = transport
        transport.set_write_buffer_limits(high=HIGH_WATER_BYTES)

    @property
    def is_slow(self) -> bool:
        """Whether the unsent bytes are above the high-water mark."""
        return self._writer.protocol.writing_paused

    @property
    def unsent_bytes(self) -> int:
        """The bytes that were written and not sent yet."""
        return self._transport.get_write_buffer_size()

    async def write(self, data: bytes) -> None:
        """Write bytes, without waiting for the caller."""
        await self._writer.write(data, drain=False)

    async def wait_until_writable(self) -> None:
        """Wait until most of the unsent bytes are sent."""
        await self._writer.drain()

    def abort(self) -> None:
        """Close the connection at once, and drop its unsent bytes."""
        self._transport.abort()


class ResetUntilSent:
    """Resets the connection of an HTTP/1.0 caller that ends before its answer was sent.

    Such a caller gets no chunks, and takes an orderly end of the connection for that of the answer.
    """

    def __init__(self, request: web.BaseRequest) -> None:
        self._writer = request.writer
        self._transport = request.transport if request.version < HttpVersion11 else None
        self._set_linger(RESET_ON_CLOSE)

    async def wait_until_sent(self) -> None:
        """Wait until the kernel has the whole answer, and let the connection end in order."""
        if self._transport is None or self._transport.is_closing():
            return
        self._transport.set_write_buffer_limits(high=0)
        await self._writer.drain()
        self._set_linger(END_ON_CLOSE)

    def _set_linger(self, value: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            connection = self._transport.get_extra_info("socket")
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, value)


class CallerSink(ResponseSink):
    """Writes the answer to one caller.

    Attributes:
        response: the response that was sent, which the aiohttp handler returns.
        caller: the address to which held bytes are accounted.
        body: the reader that holds the request's body, or None.
    """

    def __init__(
        self,
        request: web.BaseRequest,
        request_id: str,
        id_header: str,
        closes_connection: bool,
        memory: NodeMemory | None = None,
    ) -> None:
        self._request = request
        self._request_id = request_id
        self._id_header = id_header
        self._closes_connection = closes_connection
        self._memory = memory
        self._stream: CallerStream | None = None
        self._reset: ResetUntilSent | None = None
        self.response: web.StreamResponse = web.Response(status=500)
        self.caller = request.remote or ""
        self.body: BodyReader | None = None

    @property
    def caller_wait_s(self) -> float:
        """For how long reading from the engine was paused for the caller."""
        return self._stream.waited_s if self._stream is not None else 0.0

    def body_released(self) -> None:
        """Release the memory of the request's body."""
        if self.body is not None:
            self.body.close()

    async def send_response(self, answer: events.CompleteResponse) -> None:
        """Send a whole answer."""
        response = web.Response(status=answer.status, body=answer.body)
        if self._memory is None or len(answer.body) <= HIGH_WATER_BYTES:
            await self._send(response, _without_length(answer.headers))
            return
        budget = self._memory.budget
        reservation = budget.reserve(Purpose.ANSWER, self.caller, clock.now_s(), self._on_evicted)
        try:
            budget.grow_answer(reservation, len(answer.body))
            await self._send(response, _without_length(answer.headers))
        finally:
            reservation.close()

    async def send_head(self, head: events.SendHead) -> None:
        """Begin a streamed answer."""
        self.response = web.StreamResponse(status=head.status)
        self._set_headers(self.response, _without_length(head.headers))
        if self._request.version < HttpVersion11:
            # Without chunks, a stream ends with its connection.
            self.response.force_close()
        self._reset = ResetUntilSent(self._request)
        writer = await self.response.prepare(self._request)
        transport = self._request.transport
        if self._memory is None or transport is None or not isinstance(writer, StreamWriter):
            return
        connection = AiohttpConnection(writer, transport)
        self._stream = CallerStream(
            connection, self._memory.budget, self.caller, self._record_abort
        )

    async def send_bytes(self, data: bytes) -> None:
        """Send bytes of a streamed answer."""
        if self._stream is not None:
            await self._stream.pass_bytes(data)
        else:
            await self.response.write(data)

    async def finish(self) -> None:
        """End a streamed answer as complete."""
        if self._stream is not None:
            await self._stream.finish()
        await self.response.write_eof()
        if self._reset is not None:
            await self._reset.wait_until_sent()

    def abort_stream(self) -> None:
        """End a streamed answer so that it does not appear to be complete."""
        self.close()
        transport = self._request.transport
        if transport is None:
            return
        transport.close()
        if self._memory is not None and transport.get_write_buffer_size():
            asyncio.get_running_loop().call_later(FLUSH_TIMEOUT_S, transport.abort)

    def close(self) -> None:
        """Drop the bytes that are buffered for the caller."""
        if self._stream is not None:
            self._stream.close()

    async def refuse(self, refusal: events.RefuseRequest) -> None:
        """Answer that the request was not run."""
        await self.send_result(refusal.code, refusal.retry_after_seconds)

    async def fail(self, failure: events.FailRequest) -> None:
        """Answer that the outcome of the request is unknown."""
        await self.send_result(failure.code, None)

    async def send_result(self, code: ResultCode, retry_after_seconds: float | None) -> None:
        """Answer with a result code."""
        body = {"Error": code.value.meaning, "Code": code.number}
        response = web.Response(
            status=code.http_status, body=json.dumps(body).encode(), content_type=JSON
        )
        headers: events.Headers = ()
        if self._request_id:
            headers += ((self._id_header, self._request_id),)
        if retry_after_seconds is not None:
            headers += (("Retry-After", f"{retry_after_seconds:.3f}"),)
        await self._send(response, headers)

    async def _send(self, response: web.Response, headers: events.Headers) -> None:
        self.response = response
        self._set_headers(response, headers)
        reset = ResetUntilSent(self._request)
        await response.prepare(self._request)
        await response.write_eof()
        await reset.wait_until_sent()

    def _set_headers(self, response: web.StreamResponse, headers: events.Headers) -> None:
        for name, value in headers:
            if name.lower() == "content-type":
                response.headers["Content-Type"] = value
            else:
                response.headers.add(name, value)
        if self._closes_connection:
            response.force_close()

    def _on_evicted(self) -> None:
        self._record_abort("memory", 0)
        if self._request.transport is not None:
            self._request.transport.abort()

    def _record_abort(self, reason: str, held_bytes: int) -> None:
        assert self._memory is not None
        self._memory.record_abort(self._request_id, reason, held_bytes)


def _without_length(headers: events.Headers) -> events.Headers:
    return tuple((name, value) for name, value in headers if name.lower() != "content-length")
