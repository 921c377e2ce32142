"""Lets requests wait in line for engines: the lines of all services, on asyncio."""

import asyncio
from dataclasses import dataclass, field

from liftrill import clock
from liftrill.gateway.admission.line import Place, Waiter, WaitingLine
from liftrill.gateway.opaque_request import OpaqueRequest

# What engines refused for, and what other nodes no longer have there, passes without a signal:
# all that wait are asked again this often.
ASK_AGAIN_S = 0.06


@dataclass(slots=True)
class _Waiting:
    """A request in its line, and what wakes it."""

    line: WaitingLine
    waiter: Waiter
    woken: asyncio.Event = field(default_factory=asyncio.Event)


class EngineLines:
    """One line for each service; requests are known by their identity in this process."""

    def __init__(self) -> None:
        self._lines: dict[str, WaitingLine] = {}
        self._by_request: dict[int, _Waiting] = {}
        self._by_waiter: dict[Waiter, _Waiting] = {}

    def line(self, service: str) -> WaitingLine:
        """Return the line of a service."""
        return self._lines.setdefault(service, WaitingLine())

    def depth_and_age_s(self, now: float) -> tuple[int, float]:
        """Return how many requests wait, and for how long the first one has."""
        since = [s for line in self._lines.values() if (s := line.oldest_since()) is not None]
        return len(self._by_request), now - min(since, default=now)

    def must_wait(self, request: OpaqueRequest) -> bool:
        """Return whether a place that may be free is someone else's."""
        line = self._lines.get(request.service)
        if not line:
            return False
        waiting = self._by_request.get(id(request))
        return line.must_wait(request.priority, waiting.waiter if waiting else None)

    def came_free(self, service: str) -> None:
        """Wake whoever is next, now that a place came free at an engine of a service."""
        line = self._lines.get(service)
        if line:
            self._wake(line.came_free())

    def was_read(self, service: str) -> None:
        """Wake those that may go on, now that an engine of a service has read a prompt."""
        line = self._lines.get(service)
        if line:
            self._wake(line.was_read(clock.now_s()))

    def changed(self) -> None:
        """Ask all that wait, in their order: what they wait for may be there."""
        now = clock.now_s()
        for line in self._lines.values():
            if line:
                self._wake(line.ask_all(now))

    def place_of(self, request: OpaqueRequest) -> Place | None:
        """Return what a request waits with, or None where it does not."""
        waiting = self._by_request.get(id(request))
        return waiting.waiter.place if waiting else None

    async def wait(self, request: OpaqueRequest, place: Place) -> None:
        """Wait until a request is to try, or its time to wait is over."""
        waiting = self._by_request.get(id(request))
        if waiting is None:
            waiting = self._join(request, place)
        else:
            waiting.waiter.place = place
            self._wake(waiting.line.found_nothing(waiting.waiter))
        while waiting.waiter.asked_in is None and (left := place.until - clock.now_s()) > 0:
            await self._sleep(waiting, min(left, ASK_AGAIN_S))

    def took(self, request: OpaqueRequest) -> None:
        """Note that a request was sent to an engine."""
        waiting = self._forget(request)
        if waiting is not None:
            self._wake(waiting.line.took(waiting.waiter, clock.now_s()))

    def leave(self, request: OpaqueRequest) -> None:
        """Note that a request waits no more, whatever became of it."""
        waiting = self._forget(request)
        if waiting is not None:
            self._wake(waiting.line.leave(waiting.waiter))

    def _join(self, request: OpaqueRequest, place: Place) -> _Waiting:
        line = self.line(request.service)
        waiting = _Waiting(line, line.join(place))
        self._by_request[id(request)] = waiting
        self._by_waiter[waiting.waiter] = waiting
        self._wake(line.ask_untried())
        return waiting

    async def _sleep(self, waiting: _Waiting, seconds: float) -> None:
        waiting.woken.clear()
        try:
            async with asyncio.timeout(seconds):
                await waiting.woken.wait()
        except TimeoutError:
            now = clock.now_s()
            if waiting.line.asked_all_s(now) >= ASK_AGAIN_S:
                self._wake(waiting.line.ask_all(now))

    def _forget(self, request: OpaqueRequest) -> _Waiting | None:
        waiting = self._by_request.pop(id(request), None)
        if waiting is not None:
            del self._by_waiter[waiting.waiter]
        return waiting

    def _wake(self, waiter: Waiter | None) -> None:
        if waiter is not None:
            self._by_waiter[waiter].woken.set()
