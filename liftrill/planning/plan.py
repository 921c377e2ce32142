"""Plans: the changes that lead from the configuration in force to an intent."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from datetime import UTC, datetime
from enum import Enum
from typing import TypeVar

from google.protobuf.json_format import MessageToDict
from google.protobuf.message import Message

from liftrill.coordination.configuration import content_digest
from liftrill.errors import OperatorError, ResultCode
from liftrill.messages import configuration_pb2 as messages
from liftrill.planning.intent import BurstIntent, Intent, PoolIntent, TenantIntent, WorkloadIntent
from liftrill.planning.sections import (
    ConfigurationView,
    SectionName,
    api_key_digest,
    encode,
    encode_tenants,
    index_by_name,
)

HIDDEN_FIELDS = frozenset({"apiKeyDigests"})
ConfiguredItem = TypeVar(
    "ConfiguredItem", messages.Tenant, messages.Workload, messages.Pool, messages.Burst
)


class ChangeKind(Enum):
    """The kind of change to one item."""

    ADD = "add"
    CHANGE = "change"
    REMOVE = "remove"


@dataclass(frozen=True, slots=True)
class Change:
    """The change of one item."""

    kind: ChangeKind
    section: SectionName
    item: str
    detail: str = ""

    def text(self) -> str:
        """Return the line that operators see."""
        sign = {ChangeKind.ADD: "+", ChangeKind.CHANGE: "~", ChangeKind.REMOVE: "-"}[self.kind]
        line = f"{sign} {self.section.value} {self.item}"
        return f"{line}: {self.detail}" if self.detail else line


@dataclass(frozen=True, slots=True)
class Consequence:
    """An effect on engines that the operator should know before confirming the plan."""

    text: str


@dataclass(frozen=True, slots=True)
class Plan:
    """A change of the configuration that awaits confirmation.

    Attributes:
        base_generation: the generation that the plan was made from; the plan can only be
            confirmed while this generation is in force.
        sections: the content of all sections, by name.
        completes_claim_change: whether the plan removes the previous members of the claim
            group, which is safe only after a majority of them applied the base generation.
    """

    plan_id: str
    base_generation: int
    sections: Mapping[str, bytes]
    changes: tuple[Change, ...]
    consequences: tuple[Consequence, ...]

    completes_claim_change: bool = False

    @property
    def summary(self) -> str:
        """All changes in one line."""
        return "; ".join(change.text() for change in self.changes)


def make_plan(
    plan_id: str, intent: Intent, view: ConfigurationView, engines_by_pool: Mapping[str, int]
) -> Plan:
    """Return the plan that implements an intent.

    Raises:
        OperatorError: the intent is not consistent with itself or the configuration.
    """
    tenants = _merge(view.tenants.tenants, _tenants(intent.tenants), intent.remove.tenants)
    workloads = _merge(
        view.workloads.workloads, _workloads(intent.workloads), intent.remove.workloads
    )
    pools = _merge(view.pools.pools, _pools(intent.pools, view.pools_by_name), intent.remove.pools)
    bursts = _merge(view.bursts.bursts, _bursts(intent.bursts), intent.remove.bursts)
    _check_models(workloads.values(), pools.values())
    _check_pool_names(bursts.values(), pools)
    claims = _claims(intent, view.claims)
    sections = {
        **encode_tenants(tenants.values()),
        SectionName.WORKLOADS.value: encode(messages.WorkloadSection(workloads=workloads.values())),
        SectionName.POOLS.value: encode(messages.PoolSection(pools=pools.values())),
        SectionName.CLAIMS.value: encode(claims),
        SectionName.BURSTS.value: encode(messages.BurstSection(bursts=bursts.values())),
    }
    changes = (
        *_differences(SectionName.TENANTS, view.tenants_by_name, tenants),
        *_differences(SectionName.WORKLOADS, view.workloads_by_name, workloads),
        *_differences(SectionName.POOLS, view.pools_by_name, pools),
        *_differences(SectionName.BURSTS, index_by_name(view.bursts.bursts), bursts),
        *_claim_differences(view.claims, claims),
    )
    return Plan(
        plan_id=plan_id,
        base_generation=view.generation,
        sections=sections,
        changes=changes,
        consequences=(
            *_pool_consequences(view.pools_by_name, pools, engines_by_pool),
            *_burst_consequences(index_by_name(view.bursts.bursts), bursts, pools),
        ),
        completes_claim_change=bool(view.claims.previous_members) and claims != view.claims,
    )


def section_digests(plan: Plan) -> dict[str, bytes]:
    """Return the digest of each section of a plan."""
    return {name: content_digest(content) for name, content in plan.sections.items()}


def _merge(
    current: Iterable[ConfiguredItem], requested: Iterable[ConfiguredItem], removed: list[str]
) -> dict[str, ConfiguredItem]:
    items = index_by_name(current)
    unknown = [name for name in removed if name not in items]
    if unknown:
        raise OperatorError(
            ResultCode.INVALID_INTENT, f"cannot remove {unknown[0]!r}: no such item"
        )
    for name in removed:
        del items[name]
    items.update(index_by_name(requested))
    return dict(sorted(items.items()))


def _check_models(workloads: Iterable[messages.Workload], pools: Iterable[messages.Pool]) -> None:
    served = {pool.model for pool in pools}
    for workload in workloads:
        if workload.model not in served:
            detail = (
                f"workload {workload.name!r} uses model {workload.model!r}, which no pool serves"
            )
            raise OperatorError(ResultCode.INVALID_INTENT, detail)


def _check_pool_names(bursts: Iterable[messages.Burst], pools: Mapping[str, messages.Pool]) -> None:
    references = [(f"pool {p.name!r}", other) for p in pools.values() for other in p.borrow_from]
    references += [(f"burst {burst.name!r}", burst.pool) for burst in bursts]
    for item, pool_name in references:
        if pool_name not in pools:
            detail = f"{item} refers to pool {pool_name!r}, which does not exist"
            raise OperatorError(ResultCode.INVALID_INTENT, detail)


def _bursts(intents: list[BurstIntent]) -> list[messages.Burst]:
    return [
        messages.Burst(
            name=intent.name,
            pool=intent.pool,
            starts_at_seconds=intent.starts_at.timestamp(),
            ends_at_seconds=intent.ends_at.timestamp(),
            lead_seconds=intent.lead_minutes * 60,
            engines=intent.engines,
        )
        for intent in intents
    ]


def _tenants(intents: list[TenantIntent]) -> list[messages.Tenant]:
    return [
        messages.Tenant(
            name=intent.name,
            api_key_digests=[api_key_digest(key) for key in intent.api_keys],
            **intent.model_dump(exclude={"name", "api_keys"}),
        )
        for intent in intents
    ]


def _workloads(intents: list[WorkloadIntent]) -> list[messages.Workload]:
    return [messages.Workload(**intent.model_dump()) for intent in intents]


def _pools(intents: list[PoolIntent], current: Mapping[str, messages.Pool]) -> list[messages.Pool]:
    pools = [messages.Pool(**intent.model_dump()) for intent in intents]
    for pool in pools:
        before = current.get(pool.name)
        if before is None:
            continue
        weights_unchanged = before.weight_version == pool.weight_version
        replaced = before.previous_weight_version if weights_unchanged else before.weight_version
        pool.previous_weight_version = replaced
    return pools


def _claims(intent: Intent, current: messages.ClaimSection) -> messages.ClaimSection:
    """Return the claim group after an intent.

    A change of members takes two plans with the same members: the first adds the new members
    and keeps the old ones as previous members, the second removes the previous members.
    """
    if intent.claims is None:
        return current
    requested = intent.claims.members
    epoch = current.epoch + 1
    if list(current.members) == requested:
        if not current.previous_members:
            return current
        return messages.ClaimSection(epoch=epoch, members=requested)
    if current.previous_members:
        detail = f"claims.members: a change to {', '.join(current.members)} is in progress"
        raise OperatorError(ResultCode.INVALID_INTENT, detail)
    return messages.ClaimSection(epoch=epoch, members=requested, previous_members=current.members)


def _differences(
    section: SectionName, before: Mapping[str, Message], after: Mapping[str, Message]
) -> list[Change]:
    changes: list[Change] = []
    for name in sorted(before.keys() | after.keys()):
        if name not in before:
            changes.append(Change(ChangeKind.ADD, section, name, _fields_text(after[name])))
        elif name not in after:
            changes.append(Change(ChangeKind.REMOVE, section, name))
        elif before[name] != after[name]:
            detail = _field_differences_text(before[name], after[name])
            changes.append(Change(ChangeKind.CHANGE, section, name, detail))
    return changes


def _claim_differences(before: messages.ClaimSection, after: messages.ClaimSection) -> list[Change]:
    if before == after:
        return []
    detail = f"{_claim_group_text(before)} -> {_claim_group_text(after)}"
    return [Change(ChangeKind.CHANGE, SectionName.CLAIMS, "members", detail)]


def _claim_group_text(section: messages.ClaimSection) -> str:
    text = ", ".join(section.members) or "none"
    if section.previous_members:
        text += f" together with {', '.join(section.previous_members)}"
    return text


def _fields_text(item: Message) -> str:
    shown = {k: v for k, v in MessageToDict(item).items() if k not in HIDDEN_FIELDS | {"name"}}
    return ", ".join(f"{key} {value}" for key, value in shown.items())


def _field_differences_text(before: Message, after: Message) -> str:
    old = MessageToDict(before)
    new = MessageToDict(after)
    parts: list[str] = []
    for key in sorted(old.keys() | new.keys()):
        if old.get(key) == new.get(key):
            continue
        shown = "changed" if key in HIDDEN_FIELDS else f"{old.get(key)} -> {new.get(key)}"
        parts.append(f"{key} {shown}")
    return ", ".join(parts)


def _burst_consequences(
    before: Mapping[str, messages.Burst],
    after: Mapping[str, messages.Burst],
    pools: Mapping[str, messages.Pool],
) -> list[Consequence]:
    """Return which engines a new or changed burst will drain, and when."""
    found: list[Consequence] = []
    for name, burst in after.items():
        if before.get(name) == burst:
            continue
        lenders = ", ".join(pools[burst.pool].borrow_from) or "no pool: borrow_from is empty"
        starts_at = datetime.fromtimestamp(burst.starts_at_seconds - burst.lead_seconds, UTC)
        found.append(
            Consequence(
                f"from {starts_at:%Y-%m-%d %H:%M} UTC up to {burst.engines} engines of {lenders} "
                f"are drained and serve {burst.pool} until the end of burst {name}"
            )
        )
    return found


def _pool_consequences(
    before: Mapping[str, messages.Pool],
    after: Mapping[str, messages.Pool],
    engines_by_pool: Mapping[str, int],
) -> tuple[Consequence, ...]:
    found: list[Consequence] = []
    for name, pool in before.items():
        engines = engines_by_pool.get(name, 0)
        if name not in after:
            found.append(Consequence(f"{engines} engines of pool {name} receive no more requests"))
        elif after[name].weight_version != pool.weight_version:
            found.append(
                Consequence(
                    f"{engines} engines of pool {name} are drained, a few at a time, to load "
                    f"{after[name].weight_version}; their cached prefixes are lost"
                )
            )
    return tuple(found)
