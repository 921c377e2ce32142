"""The operator's configuration, as it lies in the platform's store."""

from stand_ins.deployment import HOST

MODEL = "model-1"


def route(name: str, kind: str, service: str, **changes: object) -> dict:
    """Return a route whose path prefix is its name."""
    return {
        "Name": name,
        "Host": HOST,
        "PathPrefix": f"/{name}/",
        "RouteType": kind,
        "TimeoutMs": 4000,
        "TargetLatencyMs": 400,
        "Priority": 1,
        "Service": service,
        "MaxAttempts": 2,
        "Public": False,
        "Sticky": kind == "streaming",
        "Resumable": False,
        **changes,
    }


def plain_service(name: str) -> dict:
    """Return a plain service."""
    return {
        "Name": name,
        "HealthPath": "/healthz",
        "MaxConnections": 100,
        "Protocol": "h1",
        "Tls": False,
    }


def model_service(name: str, backups: bool = False) -> dict:
    """Return a service of model engines."""
    return {
        **plain_service(name),
        "MaxConnections": 360,
        "Engine": {
            "Slots": 64,
            "KvCapacity": 110556,
            "KvTokenBytes": 163840,
            "LinkMbps": 1100000.0,
            "Backups": backups,
            "Stride": 4,
            "MaxInflight": 12,
            "Models": [{"Name": MODEL}],
        },
    }


def tenant(name: str, key: str, isolated: bool = False) -> dict:
    """Return a tenant with one key."""
    return {"Name": name, "ApiKeys": [key], "Priority": 1, "Isolated": isolated}


def configuration(version: int, routes: list, services: list, tenants: list) -> dict:
    """Return a whole configuration."""
    return {
        "Version": version,
        "Routes": routes,
        "Services": services,
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": tenants,
    }
