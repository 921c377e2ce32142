"""What a request waits with in its line, and whether waiting is of any use."""

from collections.abc import Callable
from dataclasses import dataclass, replace

from liftrill.gateway.admission.request_queue import QueueEntry
from liftrill.gateway.admission.retry_after import RefusedRequests
from liftrill.gateway.admission.service_queues import ServiceQueues
from liftrill.gateway.decision_log import DecisionLog
from liftrill.gateway.opaque_request import OpaqueRequest


@dataclass(frozen=True, slots=True)
class QueueForecast:
    """What engines mean for a request that waits.

    Attributes:
        prompt_read_s: how long one that keeps nothing of its prompt takes to read it.
        is_overloaded: whether the queues of its service stand.
    """

    prompt_read_s: float
    is_overloaded: bool


@dataclass(slots=True)
class QueueAdmission:
    """Gives requests their places in the lines of a node."""

    queues: ServiceQueues
    refused_requests: RefusedRequests
    forecast: Callable[[OpaqueRequest], QueueForecast]
    log: DecisionLog

    def entry(
        self, request: OpaqueRequest, until: float, for_capacity: bool, now: float
    ) -> QueueEntry | None:
        """Return what a request waits with, or None where its turn would come too late."""
        known = self.queues.entry_of(request)
        if known is not None:
            return replace(known, needs_capacity=for_capacity)
        forecast = self.forecast(request)
        latest_start = request.received_at + request.route.target_seconds - forecast.prompt_read_s
        turn_at = now + self.wait_s(request, now)
        is_too_late = turn_at > until or (forecast.is_overloaded and turn_at > latest_start)
        if for_capacity and is_too_late:
            self.log.not_queued(request, turn_at - now, min(until, latest_start) - now)
            return None
        return QueueEntry(
            urgency=request.priority,
            tenant=request.tenant,
            tokens=_tokens(request),
            latest_start=latest_start,
            until=until,
            since=now,
            standing=self.refused_requests.retry_status(request, now),
            needs_capacity=for_capacity,
        )

    def wait_s(self, request: OpaqueRequest, now: float) -> float:
        """Return how long it takes until those that go before a request have places."""
        return self.queues.queue(request.service).wait_s(request.priority, now)


def _tokens(request: OpaqueRequest) -> int:
    prompt = request.prompt
    return prompt.declared_tokens if prompt else 1
