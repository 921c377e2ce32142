"""The request queues of all services, on asyncio."""

import asyncio
from dataclasses import dataclass, field

from liftrill import clock
from liftrill.gateway.admission.request_queue import QueueEntry, RequestQueue, Waiter
from liftrill.gateway.opaque_request import OpaqueRequest

# Some capacity changes give no signal, such as a refusal that no longer holds or the end of
# requests of other nodes. All waiting requests are woken at this interval to find them.
WAKE_ALL_INTERVAL_S = 0.06


@dataclass(slots=True)
class _Waiting:
    """A request in its queue, and the event that wakes it."""

    queue: RequestQueue
    waiter: Waiter
    woken: asyncio.Event = field(default_factory=asyncio.Event)


class ServiceQueues:
    """One queue per service; requests are identified by their object identity."""

    def __init__(self) -> None:
        self._queues: dict[str, RequestQueue] = {}
        self._by_request: dict[int, _Waiting] = {}
        self._by_waiter: dict[Waiter, _Waiting] = {}

    def queue(self, service: str) -> RequestQueue:
        """Return the queue of a service."""
        return self._queues.setdefault(service, RequestQueue())

    def depth_and_age_s(self, now: float) -> tuple[int, float]:
        """Return the number of waiting requests and the waiting time of the oldest one."""
        since = [s for queue in self._queues.values() if (s := queue.oldest_since()) is not None]
        return len(self._by_request), now - min(since, default=now)

    def must_wait(self, request: OpaqueRequest) -> bool:
        """Return whether free capacity is reserved for another request."""
        queue = self._queues.get(request.service)
        if not queue:
            return False
        waiting = self._by_request.get(id(request))
        return queue.must_wait(request.priority, waiting.waiter if waiting else None)

    def awaited_software_versions(self, service: str) -> frozenset[str]:
        """Return the software versions that waiting requests of a service need."""
        queue = self._queues.get(service)
        return queue.awaited_software_versions() if queue else frozenset()

    def capacity_freed(self, service: str) -> None:
        """Wake the next request after capacity became free at an engine of a service."""
        queue = self._queues.get(service)
        if queue:
            self._wake(queue.capacity_freed())

    def prefill_completed(self, service: str) -> None:
        """Wake the next request after an engine of a service has prefilled a prompt."""
        queue = self._queues.get(service)
        if queue:
            self._wake(queue.prefill_completed(clock.now_s()))

    def wake_all(self) -> None:
        """Start a round over all waiting requests, as what they wait for may have changed."""
        now = clock.now_s()
        for queue in self._queues.values():
            if queue:
                self._wake(queue.start_full_round(now))

    def entry_of(self, request: OpaqueRequest) -> QueueEntry | None:
        """Return the queue entry of a request, or None if it does not wait."""
        waiting = self._by_request.get(id(request))
        return waiting.waiter.entry if waiting else None

    async def wait(self, request: OpaqueRequest, entry: QueueEntry) -> None:
        """Wait until a request is woken to try, or its waiting time is over."""
        waiting = self._by_request.get(id(request))
        if waiting is None:
            waiting = self._join(request, entry)
        else:
            waiting.waiter.entry = entry
            self._wake(waiting.queue.found_no_capacity(waiting.waiter))
        while waiting.waiter.wake_round is None and (left := entry.until - clock.now_s()) > 0:
            await self._sleep(waiting, min(left, WAKE_ALL_INTERVAL_S))

    def dispatched(self, request: OpaqueRequest) -> None:
        """Remove a request that was sent to an engine."""
        waiting = self._forget(request)
        if waiting is not None:
            self._wake(waiting.queue.dispatched(waiting.waiter, clock.now_s()))

    def leave(self, request: OpaqueRequest) -> None:
        """Remove a request that no longer waits."""
        waiting = self._forget(request)
        if waiting is not None:
            self._wake(waiting.queue.leave(waiting.waiter))

    def _join(self, request: OpaqueRequest, entry: QueueEntry) -> _Waiting:
        queue = self.queue(request.service)
        waiting = _Waiting(queue, queue.join(entry))
        self._by_request[id(request)] = waiting
        self._by_waiter[waiting.waiter] = waiting
        self._wake(queue.start_untried_round())
        return waiting

    async def _sleep(self, waiting: _Waiting, seconds: float) -> None:
        waiting.woken.clear()
        try:
            async with asyncio.timeout(seconds):
                await waiting.woken.wait()
        except TimeoutError:
            now = clock.now_s()
            if waiting.queue.since_full_round_s(now) >= WAKE_ALL_INTERVAL_S:
                self._wake(waiting.queue.start_full_round(now))

    def _forget(self, request: OpaqueRequest) -> _Waiting | None:
        waiting = self._by_request.pop(id(request), None)
        if waiting is not None:
            del self._by_waiter[waiting.waiter]
        return waiting

    def _wake(self, waiter: Waiter | None) -> None:
        if waiter is not None:
            self._by_waiter[waiter].woken.set()
