"""Reports what an attempt shows about its path, and confirms which incarnation is at its end."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress

from liftrill import clock, constants
from liftrill.gateway import delivery_events as events
from liftrill.gateway.engines.engine_table import EngineView
from liftrill.gateway.gateway_metrics import GatewayMetrics
from liftrill.gateway.http_client import LATE_FACTOR
from liftrill.gateway.paths.engine_links import EngineLinks
from liftrill.gateway.paths.proxy_table import ProxyTable
from liftrill.gateway.transport import (
    EngineAttempt,
    EngineReply,
    EngineTransport,
    ObservedAttempt,
)

LINK_DOWN = "the link to the engine is down"
# If an attempt learns later than this that it could not connect, this process was too busy to tell
# why, and the link is probed.
MAX_CONNECT_S = LATE_FACTOR * constants.CONNECT_TIMEOUT_SECONDS
# What callers would take for a part of their stream, or for its end.
HELD_EVENTS = (events.EventReceived, events.StreamCompleted, events.ConnectionClosed)
# How long before the head of a response the records may be known completely: one read of the store
# serves all streams that are resumed within this time.
MAX_RECORDS_AGE_S = 0.5
# How long the engine's reply is waited for.
MAX_REPLY_S = 1.0

UnconfirmedEvent = events.AttemptUnconfirmed | events.AttemptInterrupted


async def _always_known(until: float) -> bool:
    """Treat the records of engines as complete."""
    return True


class IncarnationCheck:
    """Checks that a response comes from the incarnation of an engine that this node has recorded.

    An engine that starts again at its address under its id may be of another software version, and
    its record comes later. An answer of the recorded incarnation shows that it also wrote the head
    of each response that came before, as incarnations follow each other. Without a start time, or
    without an answer, the record counts if it was in force until shortly before the head came.

    Attributes:
        knows_records: returns whether this node knows all records written before a time.
    """

    def __init__(self, transport: EngineTransport, metrics: GatewayMetrics) -> None:
        self.knows_records: Callable[[float], Awaitable[bool]] = _always_known
        self._transport = transport
        self._metrics = metrics

    async def check(self, view: EngineView, is_proxied: bool) -> UnconfirmedEvent | None:
        """Return None once a response that has begun is confirmed, or what it counts as."""
        began_at = clock.now_s()
        # This node has no link of its own to the engine of a proxied request.
        reply = EngineReply.NONE if is_proxied else await self._reply(view)
        is_confirmed = await self._is_confirmed(view, reply, began_at)
        self._metrics.incarnation_checks.labels(reply.value, str(is_confirmed).lower()).inc()
        if is_confirmed:
            return None
        if reply in (EngineReply.REFUSED, EngineReply.NONE):
            # The engine has ended, or is out of reach, as one whose connection was lost.
            return events.AttemptInterrupted(f"unconfirmed: {reply.value}")
        return events.AttemptUnconfirmed(reply is EngineReply.OTHER, reply.value)

    async def _reply(self, view: EngineView) -> EngineReply:
        try:
            async with asyncio.timeout(MAX_REPLY_S):
                return await self._transport.identify(view)
        except TimeoutError:
            return EngineReply.NONE

    async def _is_confirmed(self, view: EngineView, reply: EngineReply, began_at: float) -> bool:
        if reply in (EngineReply.SAME, EngineReply.OTHER):
            return reply is EngineReply.SAME
        if reply is EngineReply.REFUSED and not view.condition.leaving:
            return False
        return await self.knows_records(began_at - MAX_RECORDS_AGE_S) and not view.gone


class ConfirmedAttempt(ObservedAttempt):
    """An attempt that passes on nothing of a stream until its engine's incarnation is confirmed.

    The check begins with the head of the response, while the engine works on the first event.
    """

    def __init__(
        self,
        attempt: EngineAttempt,
        check: Callable[[], Awaitable[UnconfirmedEvent | None]],
    ) -> None:
        super().__init__(attempt)
        self._check = check
        self._result: asyncio.Future[UnconfirmedEvent | None] | None = None
        self._is_confirmed = False

    async def open(self) -> list[events.DeliveryEvent]:
        """Send the request; return the events of the response head or the complete response."""
        return await self._confirmed(await super().open())

    async def read(self) -> list[events.DeliveryEvent]:
        """Return the events in the next bytes of the stream, once the check has passed."""
        return await self._confirmed(await super().read())

    def close(self) -> None:
        """End the attempt."""
        if self._result is not None:
            self._result.cancel()
        super().close()

    async def _confirmed(self, received: list[events.DeliveryEvent]) -> list[events.DeliveryEvent]:
        if self._is_confirmed:
            return received
        if any(isinstance(event, events.StreamOpened) for event in received):
            self._result = asyncio.ensure_future(self._check())
        if self._result is None or not any(isinstance(event, HELD_EVENTS) for event in received):
            return received
        unconfirmed = await self._result
        if unconfirmed is not None:
            return [unconfirmed]
        self._is_confirmed = True
        return received


class TrackedAttempt(ObservedAttempt):
    """An attempt over one of the node's own links.

    An attempt ends when its link goes down if its request may then move to another engine or path.
    Others wait for their answer: a connection may work although no new one can be established, and
    an answer may still arrive once the link is restored.
    """

    def __init__(
        self,
        attempt: EngineAttempt,
        engine: events.EngineAddress,
        links: EngineLinks,
        may_move: Callable[[], bool],
    ) -> None:
        super().__init__(attempt)
        self._links = links
        self._may_move = may_move
        self._timer: asyncio.Timeout | None = None
        self._began_at = clock.now_s()
        self._use = links.begin(engine, self._on_down, self._began_at)

    async def open(self) -> list[events.DeliveryEvent]:
        """Send the request; return the events of the response head or the complete response."""
        return await self._observe(super().open())

    async def read(self) -> list[events.DeliveryEvent]:
        """Return the events in the next bytes of the stream."""
        return await self._observe(super().read())

    def close(self) -> None:
        """End the attempt."""
        self._links.end(self._use)
        super().close()

    async def _observe(
        self, pending_read: Awaitable[list[events.DeliveryEvent]]
    ) -> list[events.DeliveryEvent]:
        received: list[events.DeliveryEvent] = [events.AttemptInterrupted(LINK_DOWN)]
        with suppress(TimeoutError):
            async with asyncio.timeout(None) as self._timer:
                received = await pending_read
        self._timer = None
        self._record(received)
        return received

    def _record(self, received: list[events.DeliveryEvent]) -> None:
        now = clock.now_s()
        for event in received:
            if isinstance(event, events.AttemptInterrupted):
                self._links.was_interrupted(self._use)
            elif not isinstance(event, events.AttemptRefused):
                self._links.received(self._use, now)
            elif event.kind is events.RefusalKind.UNREACHABLE:
                if now - self._began_at < MAX_CONNECT_S:
                    self._links.could_not_connect(self._use, now)
                else:
                    self._links.was_interrupted(self._use)
            elif event.kind is not events.RefusalKind.WITHDRAWN:
                self._links.received(self._use, now)

    def _on_down(self) -> None:
        if self._timer is None or self._timer.expired():
            return
        if self._may_move():
            self._timer.reschedule(asyncio.get_running_loop().time())


class ProxiedAttempt(ObservedAttempt):
    """An attempt that a peer passes on.

    It shows whether the peer answers, and whether it reaches the engine.
    """

    def __init__(
        self,
        attempt: EngineAttempt,
        engine: events.EngineAddress,
        proxy: events.ProxyNode,
        proxies: ProxyTable,
    ) -> None:
        super().__init__(attempt)
        self._engine = engine
        self._node = proxy.node_id
        self._proxies = proxies
        self._is_open = True
        proxies.begin(self._node)

    async def open(self) -> list[events.DeliveryEvent]:
        """Send the request; return the events of the response head or the complete response."""
        received = await super().open()
        self._record(received)
        return received

    def close(self) -> None:
        """End the attempt."""
        if self._is_open:
            self._is_open = False
            self._proxies.end(self._node)
        super().close()

    def _record(self, received: list[events.DeliveryEvent]) -> None:
        now = clock.now_s()
        for event in received:
            if isinstance(event, events.AttemptInterrupted):
                continue
            kind = event.kind if isinstance(event, events.AttemptRefused) else None
            if kind is events.RefusalKind.PROXY_UNAVAILABLE:
                self._proxies.peer_lost(self._node, now)
            elif kind is not events.RefusalKind.WITHDRAWN:
                reached = kind is not events.RefusalKind.UNREACHABLE
                self._proxies.record_answer(self._node, self._engine, reached, now)
