"""The settings of a node and their validation."""

from typing import Annotated

from pydantic import AfterValidator, Field

from liftrill import constants
from liftrill.routing.policies import POLICIES
from liftrill.settings_file import StrictModel


def _check_endpoint(value: str) -> str:
    host, separator, port = value.rpartition(":")
    if not separator or not host or not port.isdigit() or int(port) > 65_535:
        raise ValueError("expected HOST:PORT")
    return value


def _check_policy(value: str) -> str:
    if value not in POLICIES:
        raise ValueError(f"expected one of {', '.join(sorted(POLICIES))}")
    return value


def _check_url(value: str) -> str:
    if not value.startswith(("http://", "https://")):
        raise ValueError("expected a URL that starts with http:// or https://")
    return value.rstrip("/")


Endpoint = Annotated[str, AfterValidator(_check_endpoint)]
Url = Annotated[str, AfterValidator(_check_url)]


class NodeSettings(StrictModel):
    """Settings of a node; docs/OPERATIONS.md describes each key.

    Attributes:
        listen: address for callers and operators.
        peer_listen: address for other nodes (TCP and UDP).
        peers: seed addresses for joining; may include the node's own address.
        platform: URL of the platform's key-value service.
        operator_key: bearer token that operators send.
        shared_keys: keys that authenticate nodes to each other; the first key signs and
            all keys are accepted, so that a key can be rotated.
        cache_secret: secret key of the cache salts; must be the same on all nodes.
        policy: name of the routing policy.
        drain_grace_seconds: the time that a graceful shutdown waits for requests in flight.
    """

    node_id: str = Field(min_length=1, max_length=64)
    region: str = "default"
    zone: str = Field(min_length=1)
    listen: Endpoint
    peer_listen: Endpoint
    peers: list[Endpoint] = Field(default_factory=list)
    platform: Url
    operator_key: str = Field(min_length=8)
    shared_keys: list[str] = Field(min_length=1)
    cache_secret: str = Field(min_length=16)
    policy: Annotated[str, AfterValidator(_check_policy)] = "liftrill"
    drain_grace_seconds: float = Field(default=constants.DRAIN_GRACE_SECONDS, gt=0, le=3600)
