"""Measures the memory of each kind of node state, with tracemalloc."""

import random
import tracemalloc
import uuid
from collections.abc import Callable
from dataclasses import dataclass

from liftrill.bench.deployment import api_key
from liftrill.bench.idempotency_key import new_key
from liftrill.cache.directory import PrefixDirectory
from liftrill.cache.home import AgedHolder, HomeDirectory, PrefixReport
from liftrill.coordination.claims import ClaimMember, ClaimParameters, ClaimProposal
from liftrill.coordination.configuration import Configuration, Head, content_digest
from liftrill.coordination.membership import Membership, MembershipParameters
from liftrill.coordination.membership_messages import Member
from liftrill.messages.configuration_pb2 import Tenant
from liftrill.planning.sections import api_key_digest, configuration_view, encode_tenants
from liftrill.routing.engine_records import EngineObservation, EngineRecords
from liftrill.routing.engine_state import EngineIdentity, EngineListing, EngineTable

ITEMS = 5_000
HOLDERS = 2
NOW = 1_000.0


@dataclass(frozen=True, slots=True)
class MemoryCost:
    """Mean memory of one item of a kind of state, in bytes."""

    item: str
    bytes_each: float


def measure_memory() -> list[MemoryCost]:
    """Return the memory per item for each kind of state, averaged over `ITEMS` items."""
    factories: dict[str, Callable[[], object]] = {
        "shared marker with two holders": _directory,
        "marker seen once": _candidates,
        "prefix at its home": _home,
        "engine with records": _engines,
        "member": _members,
        "tenant in force": _tenants,
        "claim": _claims,
    }
    return [MemoryCost(item, _bytes_each(factory)) for item, factory in factories.items()]


def _bytes_each(factory: Callable[[], object]) -> float:
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    state = factory()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del state
    return (after - before) / ITEMS


def _block_name(number: int) -> bytes:
    return number.to_bytes(16, "big")


def _directory() -> PrefixDirectory:
    directory = PrefixDirectory(ITEMS, ITEMS)
    names = [_block_name(number) for number in range(ITEMS)]
    for name in names:
        directory.mark_shared([name], NOW)
    for holder in range(HOLDERS):
        for name in names:
            directory.record_held(f"engine-{holder}", 1, [name], NOW + holder)
    return directory


def _candidates() -> PrefixDirectory:
    directory = PrefixDirectory(ITEMS, ITEMS)
    for number in range(ITEMS):
        directory.observe([_block_name(number)], NOW)
    return directory


def _home() -> HomeDirectory:
    home = HomeDirectory(ITEMS)
    for number in range(ITEMS):
        holders = tuple(AgedHolder(f"engine-{n}", 1, 0.5) for n in range(HOLDERS))
        report = PrefixReport(_block_name(number), 1.0, holders)
        home.exchange("node-1", [report], NOW)
        home.exchange("node-2", [report], NOW)
    return home


def _engines() -> EngineRecords:
    table = EngineTable()
    records = EngineRecords(table, 2)
    for number in range(ITEMS):
        engine_id = f"engine-{number}"
        listing = EngineListing(engine_id, f"10.0.0.1:{number}", "zone", "pool", False, 1)
        records.offer_listings([listing])
        identity = EngineIdentity(number, 1, "2026-11", False)
        records.offer_observation(EngineObservation(engine_id, identity))
    return records


def _members() -> Membership:
    own = Member("own", "own", "region", "zone", 1)
    membership = Membership(own, [], MembershipParameters(), random.Random(1))
    members = [
        Member(f"node-{n}", f"10.0.0.1:{n}", "region", f"zone-{n % 22}", n) for n in range(ITEMS)
    ]
    membership.merge(members, NOW)
    return membership


def _tenants() -> object:
    sections = encode_tenants(
        Tenant(
            name=f"tenant-{number}",
            api_key_digests=[api_key_digest(api_key(str(number)))],
            weight=1.0,
            requests_per_second=10.0,
            request_burst=20.0,
        )
        for number in range(ITEMS)
    )
    digests = {name: content_digest(content) for name, content in sections.items()}
    configuration = Configuration(Head(1, digests), sections)
    return configuration, configuration_view(configuration)


def _claims() -> ClaimMember:
    random_source = random.Random(1)
    member = ClaimMember(ClaimParameters(600.0, 1.0, ITEMS, 1_000), NOW)
    for number in range(ITEMS):
        key = uuid.UUID(new_key(random_source, NOW + 100.0)).bytes
        member.propose(ClaimProposal(key, f"attempt-{number}", _block_name(number), 0), NOW + 100.0)
    return member
