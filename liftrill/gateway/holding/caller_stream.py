"""Passes a streamed answer on at its caller's speed, while it is read at its engine's speed."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable
from contextlib import suppress

from liftrill import clock
from liftrill.gateway.holding.answer_buffer import AnswerBuffer
from liftrill.gateway.holding.memory_budget import MemoryBudget, Purpose


class CallerTooSlowError(ConnectionResetError):
    """The caller's connection was aborted because the caller read its answer too slowly."""


class CallerConnection(ABC):
    """The connection of one caller."""

    @property
    @abstractmethod
    def is_slow(self) -> bool:
        """Whether the unsent bytes are above the high-water mark."""

    @property
    @abstractmethod
    def unsent_bytes(self) -> int:
        """The bytes that were written and not sent yet."""

    @abstractmethod
    async def write(self, data: bytes) -> None:
        """Write bytes, without waiting for the caller."""

    @abstractmethod
    async def wait_until_writable(self) -> None:
        """Wait until most of the unsent bytes are sent."""

    @abstractmethod
    def abort(self) -> None:
        """Close the connection at once, and drop its unsent bytes."""


class CallerStream:
    """Passes one streamed answer to its caller, buffering it while the caller is slow.

    A caller that reads in time gets each event as it arrives, without a buffer or a task.

    Attributes:
        waited_s: for how long reading from the engine was paused for the caller.
    """

    def __init__(
        self,
        connection: CallerConnection,
        budget: MemoryBudget,
        caller: str,
        on_aborted: Callable[[str, int], None],
    ) -> None:
        self.waited_s = 0.0
        self._connection = connection
        self._budget = budget
        self._caller = caller
        self._on_aborted = on_aborted
        self._buffer: AnswerBuffer | None = None
        self._writer: asyncio.Task[None] | None = None
        self._progress = asyncio.Event()
        self._error: ConnectionResetError | None = None

    async def pass_bytes(self, data: bytes) -> None:
        """Write or buffer bytes; wait only while the buffer is full."""
        if self._error is not None:
            raise self._error
        if self._buffer is None:
            if not self._connection.is_slow:
                await self._connection.write(data)
                return
            self._buffer = self._start_buffering()
        buffer = self._buffer
        buffer.add(data, self._connection.unsent_bytes, clock.now_s())
        if buffer.is_full:
            await self._wait_until_not_full(buffer)

    async def finish(self) -> None:
        """Wait until all bytes were written to the connection."""
        if self._writer is not None:
            await self._writer
        if self._error is not None:
            raise self._error

    def close(self) -> None:
        """Drop the buffered bytes."""
        if self._writer is not None:
            self._writer.cancel()
            self._writer = None
        if self._buffer is not None:
            self._buffer.close()
            self._buffer = None

    def _start_buffering(self) -> AnswerBuffer:
        now = clock.now_s()
        reservation = self._budget.reserve(Purpose.ANSWER, self._caller, now, self._on_evicted)
        self._writer = asyncio.ensure_future(self._write_buffered())
        return AnswerBuffer(self._budget, reservation)

    async def _wait_until_not_full(self, buffer: AnswerBuffer) -> None:
        started_at = clock.now_s()
        try:
            while buffer.is_full and self._error is None:
                remaining_s = buffer.remaining_s(clock.now_s())
                if remaining_s <= 0.0:
                    self._abort("unread")
                    break
                self._progress.clear()
                with suppress(TimeoutError):
                    async with asyncio.timeout(remaining_s):
                        await self._progress.wait()
        finally:
            self.waited_s += clock.now_s() - started_at
        if self._error is not None:
            raise self._error

    async def _write_buffered(self) -> None:
        try:
            while True:
                await self._connection.wait_until_writable()
                buffer = self._buffer
                if buffer is None:
                    return
                if not buffer:
                    # The caller has caught up.
                    self._buffer = self._writer = None
                    buffer.close()
                    return
                unsent_bytes = self._connection.unsent_bytes
                await self._connection.write(buffer.take(unsent_bytes, clock.now_s()))
                self._progress.set()
        except ConnectionError as error:
            # Raised to the sender with its next event.
            self._error = self._error or ConnectionResetError(str(error))
            self._progress.set()

    def _on_evicted(self) -> None:
        self._abort("memory")

    def _abort(self, reason: str) -> None:
        self._error = CallerTooSlowError(reason)
        if self._buffer is not None:
            self._on_aborted(reason, len(self._buffer))
            self._buffer.close()
        self._connection.abort()
        self._progress.set()
