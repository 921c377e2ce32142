"""Reports when a request that occupies a slot of a brittle engine has ended."""

import asyncio
from collections.abc import Callable

from liftrill.gateway import delivery_events as events
from liftrill.gateway.transport import EngineAttempt, ObservedAttempt


class SlotAttempt(ObservedAttempt):
    """An attempt that occupies a slot.

    `on_ended` is called after the attempt was closed, or the end of its stream has arrived, with
    whether the engine had no room for it.
    """

    def __init__(self, attempt: EngineAttempt, on_ended: Callable[[bool], None]) -> None:
        super().__init__(attempt)
        self._on_ended = on_ended
        self._was_rejected = False
        self._is_open = True

    async def open(self) -> list[events.DeliveryEvent]:
        """Send the request; return the events of the response head or the complete response."""
        received = await super().open()
        kinds = [event.kind for event in received if isinstance(event, events.AttemptRefused)]
        self._was_rejected = events.RefusalKind.OVERLOADED in kinds
        return received

    def watch_end(self, on_end_held: Callable[[], None]) -> None:
        """Call a function once the end of a stream has arrived, which frees the slot."""

        def stream_ended() -> None:
            on_end_held()
            self._free_slot()

        super().watch_end(stream_ended)

    def close(self) -> None:
        """End the attempt."""
        super().close()
        self._free_slot()

    def _free_slot(self) -> None:
        if self._is_open:
            self._is_open = False
            # By then the request is not counted among those at the engine any more.
            asyncio.get_running_loop().call_soon(self._on_ended, self._was_rejected)
