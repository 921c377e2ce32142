"""Asks whether engines have ended whose connections broke."""

import asyncio
from collections.abc import Callable

from liftrill import clock
from liftrill.gateway.engines.engine_table import EngineView
from liftrill.gateway.transport import EngineTransport

# How long what follows a broken attempt waits for the answer: a port in use or free answers
# within a round trip, and a machine that says nothing tells nothing.
MAX_WAIT_S = 0.1


class EngineEndCheck:
    """One question at a time for each engine."""

    def __init__(
        self, transport: EngineTransport, on_ended: Callable[[EngineView, float], None]
    ) -> None:
        self._transport = transport
        self._on_ended = on_ended
        self._running: dict[int, asyncio.Task[None]] = {}

    async def check(self, view: EngineView) -> None:
        """Find out whether an engine has ended; return without an answer if it takes long."""
        task = self._running.get(view.number)
        if task is None:
            task = asyncio.ensure_future(self._check(view))
            self._running[view.number] = task
            task.add_done_callback(lambda _: self._running.pop(view.number, None))
        await asyncio.wait({task}, timeout=MAX_WAIT_S)

    async def _check(self, view: EngineView) -> None:
        if await self._transport.has_ended(view.record.address):
            self._on_ended(view, clock.now_s())
