"""Factories of records, requests and quarantines for the gateway's step modules."""

from liftrill.gateway.decision_log import DecisionLog
from liftrill.gateway.delivery_events import EngineChoice
from liftrill.gateway.gateway_metrics import GatewayMetrics
from liftrill.gateway.opaque_request import OpaqueRequest, PromptPart, PromptShape
from liftrill.gateway.quarantine import Quarantine
from liftrill.gateway.quarantine_ports import QuarantinePeers, QuarantineStorage
from liftrill.gateway.records import BackendShare, EngineRecord, RequestKind, RouteRule


def engine_record(
    engine_id, service="service-1", weights=None, draining=False, revision=1, **overrides
):
    return EngineRecord(
        engine_id=engine_id,
        service=service,
        address=overrides.get("address", f"10.0.0.1:{engine_id[-1]}"),
        zone=overrides.get("zone", "zone-1"),
        slots=overrides.get("slots", 8),
        draining=draining,
        weights=weights or {},
        revision=revision,
        software_version=overrides.get("software_version", ""),
    )


def route_rule(kind=RequestKind.STREAM, resumable=False, attempts=2, **overrides):
    return RouteRule(
        name=overrides.get("name", "route-1"),
        host=overrides.get("host", "host-1"),
        path_prefix=overrides.get("path_prefix", "/a/"),
        backends=overrides.get("backends", (BackendShare("service-1", 1.0),)),
        kind=kind,
        timeout_seconds=10.0,
        target_seconds=1.0,
        maximum_attempts=attempts,
        priority=overrides.get("priority", 1),
        public=overrides.get("public", False),
        resumable=resumable,
    )


def opaque_request(route=None, model="model", deadline=100.0, received_at=0.0, **overrides):
    shared = (PromptPart("shared", 100),) if overrides.get("shares_part", True) else ()
    parts = (*shared, PromptPart("own", 10))
    prompt = PromptShape(model, parts, 110, 20) if model else None
    return OpaqueRequest(
        request_id=overrides.get("request_id", "request-1"),
        method="POST",
        target="/a/b?c=d",
        headers=(),
        body=overrides.get("body", b""),
        route=route or route_rule(),
        service="service-1",
        tenant=overrides.get("tenant", ""),
        isolated=overrides.get("isolated", False),
        priority=1,
        prompt=prompt,
        received_at=received_at,
        deadline=deadline,
        last_event_id=overrides.get("last_event_id"),
        resumed_request_id=overrides.get("resumed_request_id", ""),
    )


def choice_of(view, model="model"):
    """Return the choice of an engine in its present state."""
    return EngineChoice(
        view.engine_id,
        view.record.address,
        view.weight_version(model),
        number=view.number,
        software_version=view.record.software_version,
    )


class NullQuarantineStorage(QuarantineStorage):
    """Stores nothing."""

    def save(self, entry, at_once):
        pass

    def delete(self, fingerprint):
        pass


class NullQuarantinePeers(QuarantinePeers):
    """Sends nothing."""

    def send_lost_runs(self, runs):
        pass

    def send_served(self, subject, environment=0):
        pass

    def send_quarantined(self, entry, node=""):
        pass


def new_quarantine(engines, peers=None, storage=None):
    """Return a node's quarantine, which sends and stores nothing by default."""
    return Quarantine(
        engines,
        DecisionLog("node-1"),
        GatewayMetrics(),
        peers or NullQuarantinePeers(),
        storage or NullQuarantineStorage(),
    )
