"""A node's settings: a TOML file, flags that override it, and a schema that checks both."""

import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Annotated, TypeVar

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, ValidationError

from liftrill import constants
from liftrill.errors import SettingsError
from liftrill.routing.policies import POLICIES

Schema = TypeVar("Schema", bound=BaseModel)


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


class NodeSettings(BaseModel):
    """Settings of one node; docs/OPERATING.md describes each key.

    Attributes:
        listen: address for callers and operators.
        peer_listen: address for other nodes (TCP and UDP).
        peers: peer addresses to join through; its own may be among them.
        platform: URL of the platform's key-value service.
        operator_key: bearer token that operators send.
        shared_keys: keys that authenticate nodes to each other; the first one signs and
            all are accepted, so that a key can be rotated.
        cache_secret: key of the cache salts; the same on every node.
        policy: name of the routing policy.
        drain_grace_seconds: how long a planned stop waits for requests in flight.
    """

    model_config = ConfigDict(extra="forbid")

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


def load_settings(
    schema: type[Schema], path: Path | None, overrides: Mapping[str, object]
) -> Schema:
    """Return checked settings from a file and from flags, which go first.

    Args:
        schema: the pydantic model to check against.
        path: a TOML file, or None to use flags alone.
        overrides: values of flags by key; None means that the flag was not given.

    Raises:
        SettingsError: one line that names source, key, value and what was expected.
    """
    values = _read_file(path) if path else {}
    given = {key: value for key, value in overrides.items() if value is not None}
    values.update(given)
    try:
        return schema.model_validate(values)
    except ValidationError as error:
        raise SettingsError(_first_problem(error, path, given)) from error


def _read_file(path: Path) -> dict[str, object]:
    try:
        return tomllib.loads(path.read_text())
    except OSError as error:
        raise SettingsError(f"{path}: cannot be read: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: not valid TOML: {error}") from error


def _first_problem(error: ValidationError, path: Path | None, flags: Mapping[str, object]) -> str:
    problem = error.errors(include_url=False)[0]
    key = ".".join(str(part) for part in problem["loc"]) or "(whole file)"
    top_level_key = str(problem["loc"][0]) if problem["loc"] else ""
    source = f"flag --{top_level_key.replace('_', '-')}" if top_level_key in flags else str(path)
    if problem["type"] == "missing":
        return f"{path or 'flags'}: {key}: missing; expected a value"
    expectation = problem["msg"].removeprefix("Value error, ")
    if problem["type"] == "extra_forbidden":
        expectation = "no such key"
    return f"{source}: {key}: {problem['input']!r}: {expectation}"
