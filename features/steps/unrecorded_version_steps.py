"""Steps on versions that are not recorded yet, and taken for unused."""

import asyncio
import heapq
import random
from collections import Counter
from dataclasses import replace
from types import SimpleNamespace

from behave import given, then, when

from features.gateway_support import opaque_request, route_rule
from features.steps.stream_origin_steps import (
    FakeRangeStore,
    FakeStorage,
    add,
    build_version_record,
    connect_record,
    stream_request,
    versioned_record,
)
from liftrill import clock
from liftrill.coordination.membership_messages import Member
from liftrill.coordination.mirror_freshness import MirrorFreshness
from liftrill.coordination.range_store import PutItem, StoredItem, WatchBatch
from liftrill.coordination.store_mirror import StoreMirror
from liftrill.errors import StoreUnavailableError
from liftrill.gateway.admission.request_admission import AdmissionRefusal
from liftrill.gateway.decision_log import DecisionLog
from liftrill.gateway.engines.engine_selector import EngineSelector
from liftrill.gateway.engines.engine_table import EngineTable
from liftrill.gateway.gateway_metrics import GatewayMetrics
from liftrill.gateway.streams.origin_service import MAX_RECORD_DELAY_S
from liftrill.gateway.streams.origin_tracker import OriginTracker
from liftrill.gateway.streams.stream_origins import ServiceVersion
from liftrill.gateway.streams.version_record import END_SUSPECTED_S, VERSIONS_KEY
from liftrill.gateway.weight_targets import WeightTargets
from liftrill.messages import peer_pb2 as messages

TRUSTED_UNREAD_S = 3.0


def recorded(*versions):
    rows = [messages.ServiceVersion(service="service-1", software_version=v) for v in versions]
    return PutItem(VERSIONS_KEY, messages.ServedVersions(versions=rows).SerializeToString())


class Node:
    """A node's engines, record and tracker on a store of its own view."""

    def __init__(
        self, mirror, store, stored, uptime_s=0.0, node="node-0", freshness=None, peers=None
    ):
        self.engines = EngineTable()
        own = Member(node, "10.0.0.1:1", "region-1", "zone-1", 1)
        membership = SimpleNamespace(own=own, members=lambda: [own])
        log = DecisionLog(node)
        freshness = freshness or MirrorFreshness(clock.now_s())
        self.record = build_version_record(
            store, mirror, self.engines, membership, freshness, TRUSTED_UNREAD_S
        )
        self.record._started_at -= uptime_s
        self.record._nodes_changed_at -= uptime_s
        peers = peers or SimpleNamespace(own=own, others=lambda: [], send=lambda *a: None)
        storage = FakeStorage(stored, set())
        self.tracker = OriginTracker(
            self.engines, peers, self.record, storage, log, GatewayMetrics()
        )
        self.tracker.evidence._started_at -= uptime_s
        self.selector = EngineSelector(self.engines, WeightTargets(8.0, 7.0), "zone-1")
        versions = self.selector.software_versions
        versions.may_begin_at = self.tracker.evidence.may_begin_at
        versions.need_version = self.record.need

    def add(self, version, count=2):
        for n in range(count):
            self.engines.update(versioned_record(f"{version}-{n}", version))

    def load(self):
        self.record.load(clock.now_s())
        self.tracker.evidence.refresh(clock.now_s())

    def begin(self, request_id):
        request = stream_request(request_id=request_id)
        choice = self.selector.choose(request, frozenset(), clock.now_s())
        self.tracker.stream_began(request, choice)
        return choice.software_version

    async def resume(self, request_id):
        request = stream_request(
            request_id="resumption", resumed_request_id=request_id, last_event_id=3
        )
        bound = await self.tracker.resolve(request)
        return None if isinstance(bound, AdmissionRefusal) else bound.required_software_version


@given("a record of v1.1 alone in the store, and engines of v1.1 and v1.2")
def step_record(context):
    context.store = FakeRangeStore()
    context.run(context.store.transact((), (recorded("v1.1"),)))
    context.origins = {}


@given("a stream that began at v1.2 while {cause}")
def step_began(context, cause):
    node = Node(context.store.mirror, context.store, context.origins, uptime_s=100.0)
    node.add("v1.1")
    node.add("v1.2")
    node.load()
    if "drained" in cause:
        for view in list(node.engines):
            view.condition.leaving = view.record.software_version == "v1.1"
    else:
        for n in range(2):
            node.engines.remove(f"v1.1-{n}")
    node.load()
    context.run_began = node.begin("stream")
    assert context.run_began == "v1.2", context.run_began
    # The origin has been written to the store; the record of versions has not, or not again.
    context.origins_in_store = dict(context.origins)
    context.is_restored = "older copy" in cause
    if context.is_restored:
        context.origins.clear()


@when("a node that has just started resumes it, beside engines of both versions")
def step_resume_new(context):
    node = Node(context.store.mirror, context.store, context.origins)
    node.add("v1.1")
    node.add("v1.2")
    node.load()
    if context.is_restored:
        node.tracker.evidence.store_restored(clock.now_s())
    context.resumed = context.run(node.resume("stream"))


@then("it goes on at v1.2 or is refused")
def step_not_mixed(context):
    assert context.resumed in (None, "v1.2"), (
        f"goes on at {context.resumed}; origins in the store: {len(context.origins)}"
    )


@given("a node that has run for {uptime:g} s, whose engines of v1.1 are busy")
def step_busy_node(context, uptime):
    context.node = Node(context.store.mirror, context.store, context.origins, uptime)
    context.node.add("v1.1")
    context.node.add("v1.2")
    context.node.load()
    read_since = context.node.record._read_since
    read_since.update({version: at - uptime for version, at in read_since.items()})
    for n in range(2):
        view = context.node.engines.get(f"v1.1-{n}")
        view.own_load.requests = view.record.slots


@when("the node records v1.2")
def step_records(context):
    now = clock.now_s()
    context.run(context.node.record.write_due(now))
    # No node was suspected meanwhile.
    context.run(context.node.record.write_due(now + END_SUSPECTED_S))
    context.node.load()


@then("no stream begins at v1.2 at once, and one does {seconds:g} s later")
def step_begins_later(context, seconds):
    first = context.node.begin("first")
    context.run(asyncio.sleep(seconds))
    second = context.node.begin("second")
    assert (first, second) == ("v1.1", "v1.2"), (first, second)


@given("{count:d} idle engines of version {version}, at a node that has run for {uptime:g} s")
def step_node(context, count, version, uptime):
    connect_record(context, uptime)
    for n in range(count):
        add(context, f"{version}-{n}", version)
    context.evidence.refresh(context.now)


def of_version(context, version):
    return [v for v in context.engines if v.record.software_version == version]


@given("the engines of v1.1 have free slots, but {why}")
def step_why(context, why):
    for view in of_version(context, "v1.1"):
        view.own_load.requests = 1
        if "tokens" in why:
            view.own_load.waiting_tokens = 10_000_000
        else:
            view.own_load.resident_tokens = 10_000_000
    if "memory" in why:
        profile = context.selector.parts.profile
        context.selector.parts.profile = lambda s: replace(profile(s), cache_tokens=100_000)


@given("the store refuses writes")
def step_refuses(context):
    async def refuse(*args, **kw):
        raise StoreUnavailableError("refused")

    context.store.transact = refuse


@given("{count:d} engines of {version} drain")
def step_drain(context, count, version):
    for view in of_version(context, version)[:count]:
        view.condition.leaving = True


def place(context, seconds, goes_on=False):
    """Place a new stream every 0.1 s, and let the node write every third time."""
    context.placed = []
    for n in range(int(seconds * 10)):
        now = context.now + 0.1 * n
        if n % 3 == 0:
            context.run(context.record.write_due(now))
            context.record.load(now)
            context.evidence.refresh(now)
        request = opaque_request(
            route=route_rule(resumable=True),
            request_id=f"r{n}",
            received_at=now,
            deadline=now + 10.0,
        )
        choice = context.selector.choose(request, frozenset(), now)
        context.placed.append(getattr(choice, "software_version", choice))
        if goes_on and isinstance(context.placed[-1], str):
            load = context.engines.get(choice.engine_id).own_load
            load.requests, load.waiting_tokens = load.requests + 1, load.waiting_tokens + 500


@when("a new stream is placed every 0.1 s for {seconds:g} s")
def step_placed(context, seconds):
    place(context, seconds)


@when("a new stream is placed every 0.1 s for {seconds:g} s, and goes on")
def step_placed_held(context, seconds):
    place(context, seconds, goes_on=True)


@then("at least {count:d} of the streams begin at {version}")
def step_at_least(context, count, version):
    assert context.placed.count(version) >= count, Counter(map(str, context.placed))


@then("a stream begins within {seconds:g} s")
def step_within(context, seconds):
    first = next((n for n, c in enumerate(context.placed) if isinstance(c, str)), None)
    assert first is not None and first * 0.1 <= seconds, (first, set(context.placed))


@then("the service does not count as overloaded")
def step_guard(context):
    assert not context.selector.guard.is_overloaded("service-1"), set(context.placed)


@then("no stream begins at v1.1 after {seconds:g} s")
def step_none_v11(context, seconds):
    assert "v1.1" not in context.placed[int(seconds * 10) :], context.placed


@when("nothing happens")
def step_nothing(context):
    pass


@when("one idle engine of v1.2 starts again")
def step_restarts(context):
    context.engines.remove("v1.2-0")
    add(context, "v1.2-0", "v1.2")


@when("the node writes what it is to record for {seconds:g} s")
def step_writes(context, seconds):
    for n in range(int(seconds / MAX_RECORD_DELAY_S)):
        now = context.now + n * MAX_RECORD_DELAY_S
        context.run(context.record.write_due(now))
        context.record.load(now)
        context.evidence.refresh(now)
    context.now = now


@then("the node takes v1.1 for the version that began all streams")
def step_sole(context):
    known = context.evidence.known(["service-1"], context.now)
    assert known.sole == ServiceVersion("service-1", "v1.1"), known


class SharedStore:
    """A store with revisions, whose mirrors follow late."""

    def __init__(self):
        self.revision, self.items, self.writers, self.refused = 1, {}, [], 0

    def of_node(self, node):
        async def transact(expected, puts, removed=()):
            self.writers.append(node)
            for each in expected:
                found = self.items.get(each.key)
                if (found.revision if found else 0) != each.revision:
                    self.refused += 1
                    raise StoreUnavailableError("conflict")
            self.revision += 1
            for put in puts:
                self.items[put.key] = StoredItem(put.key, put.value, self.revision)
            return self.revision

        return SimpleNamespace(transact=transact)


@given("{count:d} nodes that have run for {uptime:g} s before engines of v1.1, which is recorded")
def step_many(context, count, uptime):
    context.shared = SharedStore()
    context.run(context.shared.of_node("").transact((), (recorded("v1.1"),)))
    context.shared.writers.clear()
    members = [
        Member(f"node-{n}", f"10.0.0.{n}:1", "region-1", f"zone-{n % 3}", 1) for n in range(count)
    ]
    context.many_engines = EngineTable()
    context.many = []
    for own in members:
        mirror = StoreMirror(position=1)
        membership = SimpleNamespace(own=own, members=lambda: members)
        store = context.shared.of_node(own.node_id)
        record = build_version_record(store, mirror, context.many_engines, membership)
        context.many.append((record, mirror))
    context.clock_s = clock.now_s() + uptime
    come(context, "v1.1")
    simulate(context, 2.0)
    context.shared.writers.clear()


def come(context, version):
    for n in range(4):
        context.many_engines.update(versioned_record(f"{version}-{n}", version))


def simulate(context, seconds, late_s=0.02):
    """Run all nodes' loops in simulated time: each wakes by its phase, and at once on a need."""
    rng = random.Random(1)
    start = context.clock_s
    events = [(start + rng.uniform(0, MAX_RECORD_DELAY_S), n) for n in range(len(context.many))]
    events += [
        (start + rng.uniform(0, 0.05), n)
        for n, (record, _) in enumerate(context.many)
        if record._write_requested.is_set()
    ]
    heapq.heapify(events)
    real = clock.now_s
    woken = {}
    published = {}
    try:
        while events:
            now, n = heapq.heappop(events)
            if now > start + seconds:
                break
            clock.now_s = lambda now=now: now
            record, mirror = context.many[n]
            for item in list(context.shared.items.values()):
                at = published.setdefault(item.revision, now if item.revision > 2 else start)
                if (
                    now >= at + (late_s if item.revision > 2 else 0)
                    and item.revision > mirror.position
                ):
                    mirror.apply_batch(WatchBatch((item,), item.revision))
            record.load(now)
            count = len(context.shared.writers)
            context.run(record.write_due(now))
            if len(context.shared.writers) > count:
                published.setdefault(context.shared.revision, now)
            if now >= woken.get(n, 0.0):
                woken[n] = now + MAX_RECORD_DELAY_S
                heapq.heappush(events, (woken[n], n))
    finally:
        clock.now_s = real
    context.clock_s = start + seconds


@given("all of them needed v1.2 once")
def step_needed(context):
    come(context, "v1.2")
    for record, _ in context.many:
        record.need("service-1")
    simulate(context, 5.0)
    context.earlier = len(context.shared.writers)
    context.shared.writers.clear()


@given("nothing happened before")
def step_nothing_before(context):
    pass


@given("engines of v1.2 come at once")
def step_come_v12(context):
    come(context, "v1.2")


@when("engines of v1.3 come, and the nodes write in turn, following the store {late:g} s late")
def step_v13(context, late):
    come(context, "v1.3")
    simulate(context, 5.0 + END_SUSPECTED_S, late)


@when("all need v1.2, and the nodes write in turn, following the store {late:g} s late")
def step_all_need(context, late):
    for record, _ in context.many:
        record.need("service-1")
    simulate(context, 5.0, late)


@then("at most {count:d} nodes have written")
def step_written(context, count):
    stuck = sum(bool(record._needed) for record, _ in context.many)
    found = len(context.shared.writers)
    print(f"{found} writes, {context.shared.refused} refused in all, {stuck} nodes still need")
    assert 0 < found <= count, f"{found} writes; {stuck} of {len(context.many)} nodes still need"


def maintain(context, seconds):
    """Let the node write what is due, each 0.3 s of the time from `context.at`."""
    for _ in range(int(seconds / MAX_RECORD_DELAY_S)):
        context.run(context.node.record.write_due(context.at))
        context.node.record.load(context.at)
        context.node.tracker.evidence.refresh(context.at)
        context.at += MAX_RECORD_DELAY_S


@when("streams begin at v1.2 while the store takes no writes, and its engines end")
def step_began_unwritten(context):
    store = context.store
    context.transact = store.transact

    async def refuse(*args, **kw):
        raise StoreUnavailableError("refused")

    store.transact = refuse
    node = context.node = Node(store.mirror, store, context.origins, uptime_s=100.0)
    context.at = clock.now_s()
    node.add("v1.1", 1)
    node.load()
    node.add("v1.2", 3)
    maintain(context, 3.0)
    request = stream_request(request_id="stream")
    choice = node.selector.choose(request, frozenset(), context.at)
    assert choice.software_version == "v1.2", choice
    node.tracker.stream_began(request, choice)
    for n in range(3):
        node.engines.remove(f"v1.2-{n}")


@when("the store takes writes for {seconds:g} s, and all nodes are killed")
def step_writes_again(context, seconds):
    context.store.transact = context.transact
    maintain(context, seconds)
    print(context.store.mirror.get(VERSIONS_KEY).value, context.origins)


@when("a node that has just started resumes it, beside engines of v1.1 alone")
def step_resume_beside(context):
    node = Node(context.store.mirror, context.store, context.origins)
    node.add("v1.1", 1)
    node.load()
    context.resumed = context.run(node.resume("stream"))
