"""aiohttp's response, whose body is read only up to limits."""

import asyncio

import aiohttp
from aiohttp.helpers import set_exception

from liftrill import clock
from liftrill.response_limits import (
    MAX_ROOM_WAIT_S,
    BodyLimits,
    IncompleteBody,
    ResponseTooLargeError,
)

STATUSES_WITHOUT_BODY = (204, 304)


class ResponseCutOffError(ResponseTooLargeError, aiohttp.ClientPayloadError):
    """The connection of a response that exceeds a limit was closed."""


class LimitedResponse(aiohttp.ClientResponse):
    """A response whose body is read only up to limits.

    Attributes:
        body_limits: the limits that all responses of a session share.
        paused_s: for how long its bytes were not read as the bodies of others took the room.
    """

    body_limits = BodyLimits()
    paused_s = 0.0
    _change: asyncio.Event | None = None

    @property
    def is_request_written(self) -> bool:
        """Whether the request was written as a whole; a response may come before that."""
        return self._writer is None

    async def read(self) -> bytes:
        """Return the whole body.

        Raises:
            ResponseCutOffError: the body is too large, or the bodies of all responses are.
        """
        if self._body is None:
            try:
                self._body = await self._read_limited()
            except ResponseTooLargeError as error:
                self.close()
                raise ResponseCutOffError(str(error)) from error
            except BaseException:
                self.close()
                raise
        return await super().read()

    async def _read_limited(self) -> bytes:
        data = await self.content.readany()
        if self.content.at_eof():
            # The usual body arrives in one piece, which the flow control of the reader limits.
            return data
        limits = self.body_limits
        body = limits.begin(self.content_length or 0, self._evict, self._wake)
        try:
            while data:
                if self.content.at_eof():
                    limits.add_last(body, data)
                elif not limits.offer(body, data):
                    await self._wait_for_room(body)
                data = await self.content.readany()
            if body.error is not None:
                # Its end had arrived already, or looks like that of a response without a length.
                raise body.error
            return b"".join(body.pieces)
        finally:
            self.body_limits.end(body)

    async def _wait_for_room(self, body: IncompleteBody) -> None:
        """Read nothing until the bytes that were offered are added, or the body gives way."""
        protocol = self._connection.protocol if self._connection is not None else None
        # A connection that was lost has no transport, and nothing to pause.
        if protocol is not None and protocol.transport is not None:
            protocol.pause_reading()
        began_at = clock.now_s()
        with self._timer:
            while body.waiting:
                await self._wait_for_change()
        self.paused_s += clock.now_s() - began_at
        if protocol is not None and protocol.transport is not None:
            protocol.resume_reading()

    async def _wait_for_change(self) -> None:
        """Wait until this body gets room or gives way; end all waits if none gets room in time."""
        self._change = asyncio.Event()
        admitted_count = self.body_limits.admitted_count
        try:
            async with asyncio.timeout(MAX_ROOM_WAIT_S):
                await self._change.wait()
        except TimeoutError:
            if self.body_limits.admitted_count == admitted_count:
                self.body_limits.stop_waiting()

    def _wake(self) -> None:
        if self._change is not None:
            self._change.set()

    def _evict(self, error: ResponseTooLargeError) -> None:
        set_exception(self.content, ResponseCutOffError(str(error)))
        if self._connection is not None:
            self._connection.close()
        self._wake()


def ends_with_connection(response: aiohttp.ClientResponse) -> bool:
    """Return whether nothing but the end of the connection marks the end of a response's body."""
    codings = ",".join(response.headers.getall("Transfer-Encoding", ())).lower().split(",")
    if codings != [""]:
        return codings[-1].strip() != "chunked"
    has_no_body = response.method == "HEAD" or response.status in STATUSES_WITHOUT_BODY
    return not has_no_body and response.content_length is None


def require_marked_end(response: aiohttp.ClientResponse) -> None:
    """Check that a response's body that was read is known to be whole.

    Raises:
        ClientPayloadError: the body may be a part of one.
    """
    if ends_with_connection(response):
        raise aiohttp.ClientPayloadError("nothing marks the end of the body")


def limited_response(limits: BodyLimits) -> type[LimitedResponse]:
    """Return the response class of a session with its own limits."""
    return type("LimitedResponse", (LimitedResponse,), {"body_limits": limits})
