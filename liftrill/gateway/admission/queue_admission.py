"""Decides whether a request joins its queue."""

from collections.abc import Callable
from dataclasses import dataclass, replace

from liftrill.gateway.admission.request_queue import QueueEntry, RetryStatus
from liftrill.gateway.admission.retry_after import RefusedRequests
from liftrill.gateway.admission.service_queues import ServiceQueues
from liftrill.gateway.decision_log import DecisionLog
from liftrill.gateway.opaque_request import OpaqueRequest


@dataclass(frozen=True, slots=True)
class QueueForecast:
    """Forecast for a request that would wait.

    Attributes:
        prompt_prefill_s: time that an engine without cached parts needs to prefill the prompt.
        is_overloaded: whether the service is overloaded.
    """

    prompt_prefill_s: float
    is_overloaded: bool


@dataclass(slots=True)
class QueueAdmission:
    """Creates the queue entries of requests for which waiting may help."""

    queues: ServiceQueues
    refused_requests: RefusedRequests
    forecast: Callable[[OpaqueRequest], QueueForecast]
    log: DecisionLog

    def entry(
        self, request: OpaqueRequest, until: float, for_capacity: bool, now: float
    ) -> QueueEntry | None:
        """Return the queue entry of a request, or None if it would be dispatched too late."""
        known_entry = self.queues.entry_of(request)
        if known_entry is not None:
            return replace(known_entry, needs_capacity=for_capacity)
        forecast = self.forecast(request)
        latest_start = (
            request.received_at + request.route.target_seconds - forecast.prompt_prefill_s
        )
        dispatch_at = now + self.wait_s(request, now)
        is_too_late = dispatch_at > until or (forecast.is_overloaded and dispatch_at > latest_start)
        if for_capacity and is_too_late:
            self.log.not_queued(request, dispatch_at - now, min(until, latest_start) - now)
            return None
        return QueueEntry(
            urgency=request.priority,
            tenant=request.tenant,
            tokens=_tokens(request),
            latest_start=latest_start,
            until=until,
            since=now,
            retry_status=self._retry_status(request, now),
            needs_capacity=for_capacity,
            required_software_version=request.required_software_version,
        )

    def _retry_status(self, request: OpaqueRequest, now: float) -> RetryStatus:
        """Return the retry status; a resumed stream ranks like a retry at the requested time."""
        if request.required_software_version is not None:
            return RetryStatus.CAME_BACK
        return self.refused_requests.retry_status(request, now)

    def wait_s(self, request: OpaqueRequest, now: float) -> float:
        """Return the expected time until all requests ahead of a request are dispatched."""
        return self.queues.queue(request.service).wait_s(request.priority, now)


def _tokens(request: OpaqueRequest) -> int:
    prompt = request.prompt
    return prompt.declared_tokens if prompt else 1
