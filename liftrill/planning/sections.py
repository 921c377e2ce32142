"""The sections of the configuration and a typed, indexed view of them."""

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

# Short, because the head contains it once for each shard.
TENANT_SHARD_PREFIX = "t/"
SectionMessage = TypeVar("SectionMessage", bound=Message)


class SectionName(Enum):
    """The kinds of sections.

    Tenants are distributed over shards, each of which is a section, so that a change to one
    tenant sends only a small part of all tenants to every node.
    """

    TENANTS = "tenants"
    WORKLOADS = "workloads"
    POOLS = "pools"
    CLAIMS = "claims"
    BURSTS = "bursts"


class NamedItem(Protocol):
    """A configured item with a name."""

    name: str


Item = TypeVar("Item", bound=NamedItem)


def api_key_digest(key: str) -> bytes:
    """Return the digest of an API key; only the digest is stored."""
    return hashlib.sha256(key.encode()).digest()


def encode(message: Message) -> bytes:
    """Return the deterministic encoding of a message."""
    return message.SerializeToString(deterministic=True)


def head_from_message(message: messages.Head) -> Head:
    """Return the head in the form that the configuration replica uses."""
    return Head(message.generation, dict(message.section_digests))


def tenant_shard(tenant_name: str) -> str:
    """Return the name of the section that contains a tenant."""
    number = xxhash.xxh32_intdigest(tenant_name.encode()) % constants.TENANT_SHARDS
    return f"{TENANT_SHARD_PREFIX}{number:02d}"


def encode_tenants(tenants: Iterable[messages.Tenant]) -> dict[str, bytes]:
    """Return the encoded shards that have tenants, by section name."""
    shards: dict[str, messages.TenantSection] = {}
    for tenant in tenants:
        shards.setdefault(tenant_shard(tenant.name), messages.TenantSection()).tenants.append(
            tenant
        )
    return {name: encode(section) for name, section in shards.items()}


def parse_head(content: bytes) -> messages.Head:
    """Return the head decoded from bytes.

    Raises:
        ConfigurationError: the bytes are not a head.
    """
    try:
        return messages.Head.FromString(content)
    except DecodeError as error:
        raise ConfigurationError("the head of the configuration cannot be decoded") from error


@dataclass(frozen=True, slots=True)
class ConfigurationView:
    """The configuration in force, indexed for lookups.

    Attributes:
        generation: the generation of the configuration, or 0 if there is none.
        tenants_by_key: the tenant of each API key digest.
        pools_by_model: the pools that serve each model.
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
        """Return the tenant of an API key, or None if the key is not known."""
        return self.tenants_by_key.get(api_key_digest(api_key))

    def default_workload(self, model: str) -> messages.Workload | None:
        """Return the least urgent workload of a model, for requests without a workload."""
        candidates = [w for w in self.workloads.workloads if w.model == model]
        return max(candidates, key=lambda workload: workload.priority, default=None)


def configuration_view(configuration: Configuration | None) -> ConfigurationView:
    """Return the typed view of a configuration.

    Raises:
        ConfigurationError: a section cannot be decoded.
    """
    if configuration is None:
        return ConfigurationView()
    tenants = _decode_tenants(configuration)
    workloads = _decode_section(configuration, SectionName.WORKLOADS, messages.WorkloadSection)
    pools = _decode_section(configuration, SectionName.POOLS, messages.PoolSection)
    return ConfigurationView(
        generation=configuration.head.generation,
        tenants=tenants,
        workloads=workloads,
        pools=pools,
        claims=_decode_section(configuration, SectionName.CLAIMS, messages.ClaimSection),
        bursts=_decode_section(configuration, SectionName.BURSTS, messages.BurstSection),
        tenants_by_key={key: t for t in tenants.tenants for key in t.api_key_digests},
        tenants_by_name=index_by_name(tenants.tenants),
        workloads_by_name=index_by_name(workloads.workloads),
        pools_by_model=_group_by_model(pools),
        pools_by_name=index_by_name(pools.pools),
    )


def index_by_name(items: Iterable[Item]) -> dict[str, Item]:
    """Return a dictionary of items by name."""
    return {item.name: item for item in items}


def _decode_tenants(configuration: Configuration) -> messages.TenantSection:
    merged = messages.TenantSection()
    for name, content in sorted(configuration.sections.items()):
        if name.startswith(TENANT_SHARD_PREFIX):
            merged.MergeFrom(_decode(name, content, messages.TenantSection))
    return merged


def _decode_section(
    configuration: Configuration, name: SectionName, message_type: type[SectionMessage]
) -> SectionMessage:
    return _decode(name.value, configuration.sections.get(name.value, b""), message_type)


def _decode(name: str, content: bytes, message_type: type[SectionMessage]) -> SectionMessage:
    try:
        return message_type.FromString(content)
    except DecodeError as error:
        raise ConfigurationError(
            f"section {name!r} of the configuration cannot be decoded"
        ) from error


def _group_by_model(section: messages.PoolSection) -> dict[str, list[messages.Pool]]:
    grouped: dict[str, list[messages.Pool]] = {}
    for pool in section.pools:
        grouped.setdefault(pool.model, []).append(pool)
    return grouped
