"""Checks whether an engine's process has ended after a connection to it was lost."""

import asyncio
from collections.abc import Awaitable, Callable

from liftrill import clock, constants
from liftrill.gateway.delivery_events import EngineAddress, EngineEvidence
from liftrill.gateway.engines.engine_table import EngineView
from liftrill.gateway.transport import EngineTransport, ProbeResult

# Bound of the delay before the next step after an interrupted attempt. A machine that is up answers
# for an open or closed port within a round trip; no answer proves nothing.
MAX_WAIT_S = 0.1
# The same for a stream that goes on depending on the result: two probes and the answers of peers.
MAX_EVIDENCE_WAIT_S = constants.CONNECT_TIMEOUT_SECONDS + 0.2
# A process that ends may reset its connections some milliseconds before its port is closed.
SECOND_PROBE_AFTER_S = 0.05
EVIDENCE_OF_PROBE = {
    ProbeResult.ACCEPTED: EngineEvidence.RUNNING,
    ProbeResult.UNANSWERED: EngineEvidence.UNREACHED,
    ProbeResult.LATE: EngineEvidence.UNKNOWN,
}


# How often an engine is checked whose response ended with its connection, until the result tells
# whether it is running: a packet of a probe may be lost.
MAX_CLOSE_CHECKS = 3
CONCLUSIVE = (EngineEvidence.RUNNING, EngineEvidence.ENDED)


class _RunningCheck:
    """A check that has begun.

    Attributes:
        task: returns the result.
        is_deciding: whether its last probe has begun, so that it cannot show a later end.
    """

    def __init__(self) -> None:
        self.task: asyncio.Task[EngineEvidence] | None = None
        self.is_deciding = False


async def _not_reached(engine: EngineAddress) -> bool:
    """Know of no peer that reaches an engine."""
    return False


class EngineEndCheck:
    """Shares running checks among the requests of an engine.

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
        self._running: dict[tuple[int, bool], _RunningCheck] = {}

    async def check(self, view: EngineView, for_stream: bool = False) -> EngineEvidence:
        """Check whether an engine has ended; return what is known of it before the next step.

        If a stream goes on depending on the result, it is waited for longer, and an engine that
        accepts a connection is probed a second time.
        """
        running = self._running.get((view.number, for_stream)) or self._begin(view, for_stream)
        return await _result(running, MAX_EVIDENCE_WAIT_S if for_stream else MAX_WAIT_S)

    async def check_closed(self, view: EngineView) -> EngineEvidence:
        """Check whether an engine is running after it closed a connection in order.

        The deciding probe begins after this call, so that it shows an end that closed the
        connection.
        """
        evidence = EngineEvidence.UNKNOWN
        for _ in range(MAX_CLOSE_CHECKS):
            running = self._running.get((view.number, True))
            if running is None or running.is_deciding:
                running = self._begin(view, for_stream=True)
            evidence = await _result(running, MAX_EVIDENCE_WAIT_S)
            if evidence in CONCLUSIVE:
                break
        return evidence

    def _begin(self, view: EngineView, for_stream: bool) -> _RunningCheck:
        key, running = (view.number, for_stream), _RunningCheck()
        running.task = asyncio.ensure_future(self._check(view, for_stream, running))
        self._running[key] = running
        running.task.add_done_callback(lambda _: self._forget(key, running))
        return running

    def _forget(self, key: tuple[int, bool], ended: _RunningCheck) -> None:
        if self._running.get(key) is ended:
            del self._running[key]

    async def _check(
        self, view: EngineView, for_stream: bool, running: _RunningCheck
    ) -> EngineEvidence:
        running.is_deciding = not for_stream
        result = await self._probe(view)
        if for_stream and result is ProbeResult.ACCEPTED:
            await asyncio.sleep(SECOND_PROBE_AFTER_S)
            running.is_deciding = True
            result = await self._probe(view)
        # No answer may be due to a partition: it does not show whether anything listens.
        if result is not ProbeResult.REFUSED:
            return EVIDENCE_OF_PROBE[result]
        if await self.is_reached_by_peers(view.identity):
            return EngineEvidence.UNREACHED
        # The exit of a leaving engine is no crash.
        if not view.leaving:
            self._on_ended(view, clock.now_s())
        return EngineEvidence.ENDED

    async def _probe(self, view: EngineView) -> ProbeResult:
        timeout_s = constants.CONNECT_TIMEOUT_SECONDS
        result = await self._transport.probe(view.record.address, timeout_s)
        if self.on_probe is not None:
            self.on_probe(view.identity, result, clock.now_s())
        return result


async def _result(running: _RunningCheck, timeout_s: float) -> EngineEvidence:
    """Return the result of a check, or `UNKNOWN` if there is none in time."""
    assert running.task is not None
    await asyncio.wait({running.task}, timeout=timeout_s)
    return running.task.result() if running.task.done() else EngineEvidence.UNKNOWN
