"""Reports what an attempt at an engine shows about its path: the node's own link, or a peer."""

import asyncio
from collections.abc import Awaitable
from contextlib import suppress

from liftrill import clock, constants
from liftrill.gateway import delivery_events as events
from liftrill.gateway.http_client import LATE_FACTOR
from liftrill.gateway.paths.engine_links import EngineLinks
from liftrill.gateway.paths.proxy_table import ProxyTable
from liftrill.gateway.transport import EngineAttempt, ObservedAttempt

LINK_DOWN = "the link to the engine is down"
# If an attempt learns later than this that it could not connect, this process was too busy to tell
# why, and the link is probed.
MAX_CONNECT_S = LATE_FACTOR * constants.CONNECT_TIMEOUT_SECONDS


class TrackedAttempt(ObservedAttempt):
    """An attempt over one of the node's own links.

    An interruptible attempt ends as soon as its link goes down, so that its request can take
    another path. Others wait for their answer, which may still arrive once the link is restored.
    """

    def __init__(
        self,
        attempt: EngineAttempt,
        engine: events.EngineAddress,
        links: EngineLinks,
        interruptible: bool,
    ) -> None:
        super().__init__(attempt)
        self._links = links
        self._interruptible = interruptible
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
        if self._interruptible and self._timer is not None and not self._timer.expired():
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
