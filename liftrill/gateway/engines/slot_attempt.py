"""Reports when a request that occupies a slot of a brittle engine has ended."""

import asyncio
from collections.abc import Callable

from liftrill.gateway import delivery_events as events
from liftrill.gateway.transport import EngineAttempt


class SlotAttempt(EngineAttempt):
    """An attempt that occupies a slot.

    `on_ended` is called after the attempt was closed, with whether the engine had no room for it.
    """

    def __init__(self, attempt: EngineAttempt, on_ended: Callable[[bool], None]) -> None:
        self._attempt = attempt
        self._on_ended = on_ended
        self._was_rejected = False
        self._is_open = True

    async def open(self) -> list[events.DeliveryEvent]:
        """Send the request; return the events of the response head or the complete response."""
        received = await self._attempt.open()
        kinds = [event.kind for event in received if isinstance(event, events.AttemptRefused)]
        self._was_rejected = events.RefusalKind.OVERLOADED in kinds
        return received

    async def read(self) -> list[events.DeliveryEvent]:
        """Return the events in the next bytes of the stream."""
        return await self._attempt.read()

    def close(self) -> None:
        """End the attempt."""
        self._attempt.close()
        if self._is_open:
            self._is_open = False
            # By then the request is not counted among those at the engine any more.
            asyncio.get_running_loop().call_soon(self._on_ended, self._was_rejected)
