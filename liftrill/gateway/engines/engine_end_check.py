"""Checks whether an engine's process has ended after a connection to it was lost."""

import asyncio
from collections.abc import Awaitable, Callable

from liftrill import clock, constants
from liftrill.gateway.delivery_events import EngineAddress
from liftrill.gateway.engines.engine_table import EngineView
from liftrill.gateway.transport import EngineTransport, ProbeResult

# Bound of the delay before the next step after an interrupted attempt. A machine that is up answers
# for an open or closed port within a round trip; no answer proves nothing.
MAX_WAIT_S = 0.1


async def _not_reached(engine: EngineAddress) -> bool:
    """Know of no peer that reaches an engine."""
    return False


class EngineEndCheck:
    """Runs at most one check at a time for each engine.

    A refused connection may also be due to a partition between this node and the engine, so peers
    are asked whether they reach it.

    Attributes:
        is_reached_by_peers: returns whether a peer reaches an engine.
        on_probe: called with the result of each probe.
    """

    def __init__(
        self, transport: EngineTransport, on_ended: Callable[[EngineView, float], None]
    ) -> None:
        self.is_reached_by_peers: Callable[[EngineAddress], Awaitable[bool]] = _not_reached
        self.on_probe: Callable[[EngineAddress, ProbeResult, float], None] | None = None
        self._transport = transport
        self._on_ended = on_ended
        self._running: dict[int, asyncio.Task[None]] = {}

    async def check(self, view: EngineView) -> None:
        """Check whether an engine has ended, waiting at most MAX_WAIT_S for the result."""
        task = self._running.get(view.number)
        if task is None:
            task = asyncio.ensure_future(self._check(view))
            self._running[view.number] = task
            task.add_done_callback(lambda _: self._running.pop(view.number, None))
        await asyncio.wait({task}, timeout=MAX_WAIT_S)

    async def _check(self, view: EngineView) -> None:
        timeout_s = constants.CONNECT_TIMEOUT_SECONDS
        result = await self._transport.probe(view.record.address, timeout_s)
        if self.on_probe is not None:
            self.on_probe(view.identity, result, clock.now_s())
        # No answer may be due to a partition: it does not show whether anything listens.
        if result is not ProbeResult.REFUSED:
            return
        if not await self.is_reached_by_peers(view.identity):
            self._on_ended(view, clock.now_s())
