"""The sections of the configuration, and a typed view of all of them."""

import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol, TypeVar

import xxhash
from google.protobuf.message import DecodeError, Message

from liftrill import constants
from liftrill.coordination.configuration import Configuration, Head
from liftrill.errors import ConfigurationError
from liftrill.messages import configuration_pb2 as messages

# Short, since it stands in the head once for each shard.
TENANT_SHARD_PREFIX = "t/"
SectionMessage = TypeVar("SectionMessage", bound=Message)


class SectionName(Enum):
    """Names of the kinds of sections.

    Tenants are spread over shards, each a section of its own, so that a change of one
    tenant sends a small part of them to every node.
    """

    TENANTS = "tenants"
    WORKLOADS = "workloads"
    POOLS = "pools"
    CLAIMS = "claims"
    BURSTS = "bursts"


class Named(Protocol):
    """A configured item with a name."""

    name: str


Item = TypeVar("Item", bound=Named)


def api_key_digest(key: str) -> bytes:
    """Return the digest under which an API key is stored."""
    return hashlib.sha256(key.encode()).digest()


def encode(message: Message) -> bytes:
    """Return a section's bytes."""
    return message.SerializeToString(deterministic=True)


def head_from_message(message: messages.Head) -> Head:
    """Return the head that the replica understands."""
    return Head(message.generation, dict(message.section_digests))


def tenant_shard(tenant_name: str) -> str:
    """Return the name of the section that holds a tenant."""
    number = xxhash.xxh32_intdigest(tenant_name.encode()) % constants.TENANT_SHARDS
    return f"{TENANT_SHARD_PREFIX}{number:02d}"


def encode_tenants(tenants: Iterable[messages.Tenant]) -> dict[str, bytes]:
    """Return the bytes of each shard that has tenants, by section name."""
    shards: dict[str, messages.TenantSection] = {}
    for tenant in tenants:
        shards.setdefault(tenant_shard(tenant.name), messages.TenantSection()).tenants.append(
            tenant
        )
    return {name: encode(section) for name, section in shards.items()}


def parse_head(content: bytes) -> messages.Head:
    """Return a head from its bytes.

    Raises:
        ConfigurationError: the bytes are not a head.
    """
    try:
        return messages.Head.FromString(content)
    except DecodeError as error:
        raise ConfigurationError("the head cannot be decoded") from error


@dataclass(frozen=True, slots=True)
class ConfigurationView:
    """The configuration in force, indexed for lookups.

    Attributes:
        generation: 0 means that there is none.
        pools_by_model: pools that serve each model.
    """

    generation: int = 0
    tenants: messages.TenantSection = field(default_factory=messages.TenantSection)
    workloads: messages.WorkloadSection = field(default_factory=messages.WorkloadSection)
    pools: messages.PoolSection = field(default_factory=messages.PoolSection)
    claims: messages.ClaimSection = field(default_factory=messages.ClaimSection)
    bursts: messages.BurstSection = field(default_factory=messages.BurstSection)
    tenants_by_key: Mapping[bytes, messages.Tenant] = field(default_factory=dict)
    tenants_by_name: Mapping[str, messages.Tenant] = field(default_factory=dict)
    workloads_by_name: Mapping[str, messages.Workload] = field(default_factory=dict)
    pools_by_model: Mapping[str, list[messages.Pool]] = field(default_factory=dict)
    pools_by_name: Mapping[str, messages.Pool] = field(default_factory=dict)

    def tenant_for_key(self, api_key: str) -> messages.Tenant | None:
        """Return the tenant that an API key belongs to."""
        return self.tenants_by_key.get(api_key_digest(api_key))

    def default_workload(self, model: str) -> messages.Workload | None:
        """Return the least urgent workload of a model, for requests that name none."""
        candidates = [w for w in self.workloads.workloads if w.model == model]
        return max(candidates, key=lambda workload: workload.priority, default=None)


def configuration_view(configuration: Configuration | None) -> ConfigurationView:
    """Return the typed view of a configuration.

    Raises:
        ConfigurationError: a section cannot be decoded.
    """
    if configuration is None:
        return ConfigurationView()
    tenants = _tenants(configuration)
    workloads = _section(configuration, SectionName.WORKLOADS, messages.WorkloadSection)
    pools = _section(configuration, SectionName.POOLS, messages.PoolSection)
    return ConfigurationView(
        generation=configuration.head.generation,
        tenants=tenants,
        workloads=workloads,
        pools=pools,
        claims=_section(configuration, SectionName.CLAIMS, messages.ClaimSection),
        bursts=_section(configuration, SectionName.BURSTS, messages.BurstSection),
        tenants_by_key={key: t for t in tenants.tenants for key in t.api_key_digests},
        tenants_by_name=index_by_name(tenants.tenants),
        workloads_by_name=index_by_name(workloads.workloads),
        pools_by_model=_group_by_model(pools),
        pools_by_name=index_by_name(pools.pools),
    )


def index_by_name(items: Iterable[Item]) -> dict[str, Item]:
    """Return items by their name."""
    return {item.name: item for item in items}


def _tenants(configuration: Configuration) -> messages.TenantSection:
    merged = messages.TenantSection()
    for name, content in sorted(configuration.sections.items()):
        if name.startswith(TENANT_SHARD_PREFIX):
            merged.MergeFrom(_decode(name, content, messages.TenantSection))
    return merged


def _section(
    configuration: Configuration, name: SectionName, message_type: type[SectionMessage]
) -> SectionMessage:
    return _decode(name.value, configuration.sections.get(name.value, b""), message_type)


def _decode(name: str, content: bytes, message_type: type[SectionMessage]) -> SectionMessage:
    try:
        return message_type.FromString(content)
    except DecodeError as error:
        raise ConfigurationError(f"section {name} cannot be decoded") from error


def _group_by_model(section: messages.PoolSection) -> dict[str, list[messages.Pool]]:
    grouped: dict[str, list[messages.Pool]] = {}
    for pool in section.pools:
        grouped.setdefault(pool.model, []).append(pool)
    return grouped
