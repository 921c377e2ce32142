"""Reads the body of a request within the node's memory budget."""

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

# Receive buffer of a caller's connection. Received bytes are read before the body is admitted, so
# this bounds the memory that many callers use in this way; it still fills a usual link.
RECEIVE_BUFFER_BYTES = 65_536
# For how long the rest of a refused body is read and discarded: a connection that is closed with
# unread bytes is reset, and the reset may reach the caller before the answer.
DISCARD_TIMEOUT_S = 1.0
# By then some bodies have been forwarded and released. The range spreads the retries of callers
# that are refused together.
RETRY_AFTER_RANGE_S = (0.5, 1.5)
# Time to send the body for a caller without a deadline.
DEFAULT_READ_TIMEOUT_S = 60.0


class BodyTooLargeError(Exception):
    """A body is larger than the configuration allows."""


class BodyRefusedError(Exception):
    """There is no memory for a body, or it arrived too slowly and was evicted for others."""


def refusal_for_body_error(error: Exception) -> AdmissionRefusal:
    """Return the refusal for a body that was refused or did not arrive in time."""
    if isinstance(error, BodyRefusedError):
        wait_s = random.uniform(*RETRY_AFTER_RANGE_S)
        return AdmissionRefusal(ResultCode.MEMORY_SPENT, wait_s, "no memory for the body")
    return AdmissionRefusal(
        ResultCode.DEADLINE_UNREACHABLE, RETRY_AFTER_RANGE_S[0], "body not received in time"
    )


class BodyReader:
    """Reads one request's body, and holds its memory until closed.

    The size limit in force at the start applies to the whole body, even if a lower one is
    configured meanwhile.

    Attributes:
        reservation: the memory of the body, or None without a budget.
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
            BodyTooLargeError: the body is larger than the limit.
            BodyRefusedError: there is no memory for the body.
            TimeoutError: the body did not arrive in time.
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
        """Read and discard the rest of a refused body."""
        with suppress(TimeoutError, BodyRefusedError):
            async with asyncio.timeout(DISCARD_TIMEOUT_S):
                async for _ in self._content.iter_any():
                    pass

    def close(self) -> None:
        """Release the memory of the body."""
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
        # Unlike joined chunks, the value of a BytesIO is returned without a copy.
        return buffer.getvalue()

    def _reserve(self, size_bytes: int) -> None:
        if self._budget is None or self.reservation is None:
            return
        if not self._budget.try_grow_body(self.reservation, size_bytes, clock.now_s()):
            raise BodyRefusedError

    def _on_evicted(self) -> None:
        self._content.set_exception(BodyRefusedError())
