"""Decides whether a request that was read may be served, and with which properties."""

from dataclasses import dataclass

from liftrill.errors import ResultCode
from liftrill.gateway.configuration_view import ConfigurationView
from liftrill.gateway.opaque_request import OpaqueRequest, PromptShape
from liftrill.gateway.records import RouteRule, Tenant
from liftrill.gateway.route_table import WeightedSplit

NOT_PROVEN_RETRY_SECONDS = 0.3
NOT_READY_RETRY_SECONDS = 0.3


@dataclass(frozen=True, slots=True)
class IncomingRequest:
    """A request as read from a caller, before any check.

    Attributes:
        path: the path without the query, which selects the route.
        target: path and query exactly as received.
        key: the caller's API key, or empty.
        deadline_seconds: how long the caller waits, or None if the request has no deadline.
        resumed_request_id: id of the request that began the stream to resume, or empty.
    """

    request_id: str
    method: str
    host: str
    path: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    key: str
    deadline_seconds: float | None
    prompt: PromptShape | None
    last_event_id: int | None
    received_at: float
    resumed_request_id: str = ""


@dataclass(frozen=True, slots=True)
class AdmissionRefusal:
    """The reason why a request is not served.

    Attributes:
        why: details for the log.
    """

    code: ResultCode
    retry_after_seconds: float | None = None
    why: str = ""


class RequestAdmission:
    """Checks the route, API key and currency of requests against the configuration in force."""

    def __init__(self, view: ConfigurationView, split: WeightedSplit) -> None:
        self._view = view
        self._split = split

    def admit(self, incoming: IncomingRequest, now: float) -> OpaqueRequest | AdmissionRefusal:
        """Return the request to deliver, or why it is refused."""
        if self._view.current is None:
            return AdmissionRefusal(ResultCode.NO_CONFIGURATION, NOT_READY_RETRY_SECONDS)
        route = self._view.routes.find(incoming.host, incoming.path)
        if route is None:
            return AdmissionRefusal(ResultCode.UNKNOWN_ROUTE)
        tenant = self._tenant(route, incoming, now)
        if isinstance(tenant, AdmissionRefusal):
            return tenant
        return self._request(route, tenant, incoming)

    def _tenant(
        self, route: RouteRule, incoming: IncomingRequest, now: float
    ) -> Tenant | AdmissionRefusal | None:
        assert self._view.current is not None
        if self._view.current.tenants_by_key is None or route.public:
            return None
        # Without proof that the configuration is current, a key is neither accepted nor rejected.
        if not self._view.is_proven(now):
            return AdmissionRefusal(ResultCode.KEY_NOT_PROVEN, NOT_PROVEN_RETRY_SECONDS)
        tenant = self._view.tenant_of(incoming.key)
        return tenant or AdmissionRefusal(ResultCode.INVALID_API_KEY)

    def _request(
        self, route: RouteRule, tenant: Tenant | None, incoming: IncomingRequest
    ) -> OpaqueRequest:
        wait = route.timeout_seconds
        if incoming.deadline_seconds is not None:
            wait = min(wait, incoming.deadline_seconds)
        own_priority = tenant.priority if tenant is not None else None
        return OpaqueRequest(
            request_id=incoming.request_id,
            method=incoming.method,
            target=incoming.target,
            headers=incoming.headers,
            body=incoming.body,
            route=route,
            service=self._split.next_service(route),
            tenant=tenant.name if tenant else "",
            isolated=tenant.isolated if tenant else False,
            priority=route.priority if own_priority is None else own_priority,
            prompt=incoming.prompt,
            received_at=incoming.received_at,
            deadline=incoming.received_at + wait,
            last_event_id=incoming.last_event_id,
            resumed_request_id=incoming.resumed_request_id,
            cache_scope=tenant.name if tenant and tenant.isolated else self._view.shared_scope,
        )
