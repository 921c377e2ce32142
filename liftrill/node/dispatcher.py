"""Asyncio adapter of the router: requests wait in the queue as tasks."""

import asyncio
import time

from liftrill import clock, constants
from liftrill.errors import LiftrillError, ResultCode
from liftrill.node.metrics import NodeMetrics
from liftrill.routing.request import RoutedRequest
from liftrill.routing.request_state_machine import EngineChoice, RoutingPorts, Unavailable
from liftrill.routing.router import Router


class WaitRefusedError(LiftrillError):
    """A request cannot wait in the queue for an engine.

    Attributes:
        code: QUEUE_FULL or DEADLINE_UNREACHABLE.
        retry_after_seconds: the time after which the queue may accept the request.
    """

    def __init__(self, code: ResultCode, retry_after_seconds: float) -> None:
        self.code = code
        self.retry_after_seconds = retry_after_seconds
        super().__init__(f"request cannot wait in the queue: {code.name.lower()}")


class Dispatcher(RoutingPorts):
    """Chooses engines with the node's router, and suspends queued requests until their dispatch."""

    def __init__(self, router: Router, metrics: NodeMetrics) -> None:
        self.router = router
        self._metrics = metrics
        self._waiters: dict[str, asyncio.Future[None]] = {}

    def choose(
        self, request: RoutedRequest, excluded: frozenset[str], weight_version: str | None
    ) -> EngineChoice | Unavailable:
        """Return the router's choice, and record the duration of the decision."""
        started_at = time.perf_counter()
        choice = self.router.choose(request, excluded, weight_version)
        self._metrics.decision_seconds.observe(time.perf_counter() - started_at)
        return choice

    def try_spend_retry(self, request: RoutedRequest) -> bool:
        """Spend one retry of the workload's budget; False if the budget is exhausted."""
        return self.router.try_spend_retry(request)

    async def wait_for_engine(self, request: RoutedRequest) -> None:
        """Wait in the queue until an engine may be free.

        Raises:
            WaitRefusedError: the queue is full, or the deadline would pass in the queue.
        """
        wait = self.router.expected_wait(request)
        if clock.now_s() + wait > request.deadline:
            raise WaitRefusedError(ResultCode.DEADLINE_UNREACHABLE, wait)
        item = self.router.enqueue(request)
        if item is None:
            retry_after = max(constants.RETRY_AFTER_SECONDS, wait)
            raise WaitRefusedError(ResultCode.QUEUE_FULL, retry_after)
        dispatch_grant: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiters[request.request_id] = dispatch_grant
        self._metrics.queued.inc()
        try:
            # The wake is deferred to the next event loop iteration, so that timers such as
            # deadlines can run even if dispatches are granted repeatedly.
            asyncio.get_running_loop().call_soon(self.wake, request.model)
            await dispatch_grant
        except BaseException:
            self.router.release_dispatch_grant(request)
            raise
        finally:
            self.router.dequeue(item)
            del self._waiters[request.request_id]
            self._metrics.queued.dec()

    def wake(self, model: str | None = None) -> None:
        """Resume the queued requests that the router grants a dispatch, of one model or of all."""
        for request in self.router.grant_dispatches(model):
            dispatch_grant = self._waiters.get(request.request_id)
            if dispatch_grant is None or dispatch_grant.done():
                self.router.release_dispatch_grant(request)
            else:
                dispatch_grant.set_result(None)
