"""Passes a stream on at its caller's speed, while its engine is read at the engine's own."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable
from contextlib import suppress

from liftrill import clock
from liftrill.gateway.holding.answer_buffer import AnswerBuffer
from liftrill.gateway.holding.memory_budget import MemoryBudget, Purpose


class CallerTooSlowError(ConnectionResetError):
    """A caller left its answer unread for so long that the connection was ended."""


class CallerConnection(ABC):
    """One caller's connection."""

    @property
    @abstractmethod
    def is_slow(self) -> bool:
        """Whether it holds more unsent bytes than it should."""

    @property
    @abstractmethod
    def unsent_bytes(self) -> int:
        """What it has taken over and not sent."""

    @abstractmethod
    async def write(self, data: bytes) -> None:
        """Take bytes over, without waiting for the caller."""

    @abstractmethod
    async def wait_until_writable(self) -> None:
        """Wait until the caller has taken most of what is unsent."""

    @abstractmethod
    def abort(self) -> None:
        """End it at once, with what is unsent."""


class CallerStream:
    """The way of one stream to its caller.

    A caller that reads in time gets each event as it comes, without a buffer or a task.

    Attributes:
        waited_s: for how long the run stood still for its caller.
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
        """Pass bytes on, or keep them for later; waits only where too much is kept."""
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
        """Wait until everything was handed to the connection."""
        if self._writer is not None:
            await self._writer
        if self._error is not None:
            raise self._error

    def close(self) -> None:
        """Let go of what is kept."""
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
            # The run that feeds this flow learns of it at its next event.
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
