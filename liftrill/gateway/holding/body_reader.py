"""Reads the body of one request into the node's memory budget."""

import asyncio
import io
import random
from contextlib import suppress

from aiohttp import StreamReader

from liftrill import clock
from liftrill.errors import ResultCode
from liftrill.gateway.admission.request_admission import AdmissionRefusal
from liftrill.gateway.holding.memory_budget import (
    MemoryBudget,
    MemoryReservation,
    Purpose,
)

# What a connection has received is read at once, before it is decided whether its body is taken:
# this bounds what many callers make a node take in so, and still keeps a usual link busy.
RECEIVE_BUFFER_BYTES = 65_536
# For how long a refused caller's body is read and dropped: a connection that is closed with
# bytes unread is reset, and the reset may overtake the answer.
DISCARD_TIMEOUT_S = 1.0
# By then some bodies have been sent on; those who are refused together don't return together.
RETRY_AFTER_RANGE_S = (0.5, 1.5)
# A caller that says no deadline gets this long to send its body.
DEFAULT_READ_TIMEOUT_S = 60.0


class BodyTooLargeError(Exception):
    """A body is larger than the configuration allows."""


class BodyRefusedError(Exception):
    """There is no room for a body, or it came too slowly while there was none for others."""


def refusal_for_body_error(error: Exception) -> AdmissionRefusal:
    """Return what a caller is told whose body was not read."""
    if isinstance(error, BodyRefusedError):
        wait_s = random.uniform(*RETRY_AFTER_RANGE_S)
        return AdmissionRefusal(ResultCode.MEMORY_SPENT, wait_s, "body")
    return AdmissionRefusal(
        ResultCode.DEADLINE_UNREACHABLE, RETRY_AFTER_RANGE_S[0], "body not there"
    )


class BodyReader:
    """One request's body; what it takes is held until it is closed.

    The limit is that of the moment in which the body began: a lower one that comes meanwhile
    does not end what was allowed.

    Attributes:
        hold: the account of the body, or None where there is no budget.
    """

    def __init__(self, content: StreamReader, budget: MemoryBudget | None, caller: str) -> None:
        self._content = content
        self._budget = budget
        self.reservation: MemoryReservation | None = None
        if budget is not None:
            self.reservation = budget.reserve(
                Purpose.BODY_READ, caller, clock.now_s(), self._on_evicted
            )

    async def read(self, declared_bytes: int, limit_bytes: int, timeout_s: float | None) -> bytes:
        """Return the whole body.

        Raises:
            BodyTooLargeError: it is larger than the limit.
            BodyRefusedError: there is no room for it.
            TimeoutError: it was not there in time.
        """
        if declared_bytes > limit_bytes:
            raise BodyTooLargeError
        self._reserve(declared_bytes)
        if self._budget is None or self._content.is_eof():
            body = await self._read_whole(declared_bytes, limit_bytes)
        else:
            async with asyncio.timeout(DEFAULT_READ_TIMEOUT_S if timeout_s is None else timeout_s):
                body = await self._read_whole(declared_bytes, limit_bytes)
        if self.reservation is not None:
            self.reservation.change_purpose(Purpose.BODY_HELD)
        return body

    async def discard_rest(self) -> None:
        """Read what still comes of a refused body, and keep nothing of it."""
        with suppress(TimeoutError, BodyRefusedError):
            async with asyncio.timeout(DISCARD_TIMEOUT_S):
                async for _ in self._content.iter_any():
                    pass

    def close(self) -> None:
        """Hold nothing any more."""
        if self.reservation is not None:
            self.reservation.close()

    async def _read_whole(self, declared_bytes: int, limit_bytes: int) -> bytes:
        buffer = io.BytesIO()
        async for chunk in self._content.iter_any():
            size = buffer.tell() + len(chunk)
            if size > limit_bytes:
                raise BodyTooLargeError
            if size > declared_bytes:
                self._reserve(size)
            buffer.write(chunk)
        # No copy is made of it, unlike of parts that are joined.
        return buffer.getvalue()

    def _reserve(self, size_bytes: int) -> None:
        if self._budget is None or self.reservation is None:
            return
        if not self._budget.try_grow_body(self.reservation, size_bytes, clock.now_s()):
            raise BodyRefusedError

    def _on_evicted(self) -> None:
        self._content.set_exception(BodyRefusedError())
