"""Reports what an attempt by a peer shows about the peer and its link to the engine."""

from liftrill import clock
from liftrill.gateway import delivery_events as events
from liftrill.gateway.paths.proxy_table import ProxyTable
from liftrill.gateway.transport import EngineAttempt, ObservedAttempt


class ProxiedAttempt(ObservedAttempt):
    """An attempt that a peer passes on."""

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
