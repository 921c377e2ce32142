"""Steps on the origins of streams: nodes without a network, whose messages may be lost."""

import asyncio
import random
import re
from collections import Counter
from dataclasses import replace
from types import SimpleNamespace

from behave import given, then, when

from features.gateway_support import engine_record, opaque_request, route_rule
from liftrill import clock
from liftrill.coordination.membership_messages import Member
from liftrill.coordination.mirror_freshness import MirrorFreshness
from liftrill.coordination.range_store import (
    PutItem,
    RangePage,
    ReadResult,
    RemovedItem,
    StoredItem,
    WatchBatch,
)
from liftrill.coordination.store_mirror import StoreMirror
from liftrill.gateway.admission.request_admission import AdmissionRefusal
from liftrill.gateway.admission.retry_allowance import RetryAllowance
from liftrill.gateway.decision_log import DecisionLog
from liftrill.gateway.delivery_events import EngineChoice
from liftrill.gateway.delivery_ports import Unavailable
from liftrill.gateway.engines.engine_selector import EngineSelector
from liftrill.gateway.engines.engine_table import EngineTable
from liftrill.gateway.forwarder import ForwardingPorts
from liftrill.gateway.gateway_metrics import GatewayMetrics
from liftrill.gateway.streams.origin_codec import (
    OriginQuestion,
    datagram_from_origin,
    origin_from_datagram,
)
from liftrill.gateway.streams.origin_exchange import OriginPeers
from liftrill.gateway.streams.origin_ports import OriginStorage, RecordedVersions
from liftrill.gateway.streams.origin_records import ORIGINS_KEY_PREFIX
from liftrill.gateway.streams.origin_service import MAX_RECORD_DELAY_S
from liftrill.gateway.streams.origin_tracker import OriginTracker
from liftrill.gateway.streams.stream_origins import OriginEntry, OriginTable, ServiceVersion
from liftrill.gateway.streams.version_evidence import VersionEvidence
from liftrill.gateway.streams.version_history import (
    MIN_RETURN_WAIT_S,
    RETENTION_S,
    VersionHistory,
)
from liftrill.gateway.streams.version_record import VERSIONS_KEY, VersionRecord
from liftrill.gateway.weight_targets import WeightTargets
from liftrill.messages import peer_pb2 as messages

NETWORK_S = 0.001
VERSIONS = ("v1.1", "v1.2")
ENGINES_PER_VERSION = 2
LEFT_S = 10.0
LONG_UPTIME_S = 60.0


class FakeStorage(OriginStorage, RecordedVersions):
    """What a fleet keeps where it outlives all nodes, as one node sees it."""

    def __init__(self, stored, recorded, has_fleet_record=False):
        self.stored, self.recorded = stored, recorded
        self.is_history_lost = has_fleet_record and not recorded

    @property
    def lacks_history(self):
        return self.is_history_lost

    @property
    def retention_s(self):
        return RETENTION_S

    def copy_age_s(self, now):
        return 0.0

    def note_lifetime(self, lifetime_s):
        pass

    def of_service(self, service):
        return {each.software_version for each in self.recorded if each.service == service}

    def read_at(self, version):
        return 0.0 if version in self.recorded else None

    async def confirm(self, until):
        pass

    def is_trusted_unread(self, until):
        return True

    def save(self, entries):
        self.stored.update((entry.key, entry.origin) for entry in entries)

    async def find(self, key):
        return self.stored.get(key)


class FakeNode(OriginPeers):
    """A node with its engines and the origins that it knows."""

    def __init__(self, fleet, member):
        self.fleet, self.member = fleet, member
        self.unknown = set()
        self.engines = EngineTable()
        storage = FakeStorage({}, set())
        log = DecisionLog(member.node_id)
        self.streams = OriginTracker(self.engines, self, storage, storage, log, GatewayMetrics())

    @property
    def own(self):
        return self.member

    def others(self):
        hidden = self.unknown | {self.member.node_id}
        return [n.member for n in self.fleet.nodes.values() if n.member.node_id not in hidden]

    def send(self, node, content):
        self.fleet.send(self.member.node_id, node, content)

    def add_engines(self, version):
        for number in range(ENGINES_PER_VERSION):
            self.engines.update(
                engine_record(f"{version}-{number}", weights={"model": 1}, software_version=version)
            )

    def begin(self, request_id, version):
        choice = EngineChoice("engine", "address", software_version=version)
        self.streams.stream_began(stream_request(request_id=request_id), choice)

    async def resume(self, request_id):
        """Return the version at which a stream goes on, or None if it is refused."""
        request = stream_request(
            request_id="resumption", resumed_request_id=request_id, last_event_id=3
        )
        bound = await self.streams.resolve(request)
        return None if isinstance(bound, AdmissionRefusal) else bound.required_software_version


def stream_request(**fields):
    now = clock.now_s()
    return opaque_request(
        route=route_rule(resumable=True), received_at=now, deadline=now + 10.0, **fields
    )


class Fleet:
    """Nodes, and the messages between them."""

    def __init__(self, count, versions, seed=1):
        self.random = random.Random(seed)
        self.loss = 0.0
        self.sent = 0
        # By node and stream: how often the node was asked for it.
        self.questions = Counter()
        self.dead = set()
        members = [
            Member(f"node-{n}", f"10.0.0.{n}:1", "region-1", f"zone-{n % 3}", 1)
            for n in range(count)
        ]
        self.nodes = {member.node_id: FakeNode(self, member) for member in members}
        for node in self.nodes.values():
            for version in VERSIONS[:versions]:
                node.add_engines(version)

    def send(self, sender, receiver, content):
        self.sent += 1
        if isinstance(content, OriginQuestion):
            self.questions[receiver, content.key] += 1
        if self.random.random() < self.loss or {sender, receiver} & self.dead:
            return
        data = datagram_from_origin(sender, content, clock.now_s()).SerializeToString()
        asyncio.get_running_loop().call_later(NETWORK_S, self.deliver, receiver, data)

    def deliver(self, receiver, data):
        if receiver in self.dead:
            return
        message = messages.Datagram.FromString(data)
        content = origin_from_datagram(message, clock.now_s())
        self.nodes[receiver].streams.receive(message.sender, content)

    def draw(self, allowed=lambda node: True):
        return self.random.choice([node for node in self.nodes.values() if allowed(node)])


@given("{count:d} nodes in 3 zones before engines of {versions:d} software versions")
@given("{count:d} nodes in 3 zones before engines of {versions:d} software version")
def step_fleet(context, count, versions):
    context.fleet = Fleet(count, versions)


@given("{loss:g} of their messages are lost")
def step_loss(context, loss):
    context.fleet.loss = loss


@given("each node does not know another one")
def step_unknown(context):
    names = list(context.fleet.nodes)
    for name, node in context.fleet.nodes.items():
        node.unknown = {context.fleet.random.choice([n for n in names if n != name])}


async def begin_and_resume(context, count, lost):
    """Begin streams, lose some nodes each time, and resume the streams elsewhere."""
    fleet, found = context.fleet, []
    for number in range(count):
        fleet.dead = set()
        node, version = fleet.draw(), fleet.random.choice(VERSIONS)
        node.begin(f"stream-{number}", version)
        # What was sent is on its way.
        await asyncio.sleep(2 * NETWORK_S)
        fleet.dead = lost(node)
        other = fleet.draw(lambda each: each.member.node_id not in fleet.dead)
        found.append((version, await other.resume(f"stream-{number}")))
    context.found = found


@when("{count:d} streams begin, each at a node that is killed at once, and are resumed elsewhere")
def step_kill(context, count):
    context.run(begin_and_resume(context, count, lambda node: {node.member.node_id}))


@when("{count:d} streams begin, each in a zone that is cut off at once, and are resumed elsewhere")
def step_cut(context, count):
    def of_zone(node):
        nodes = context.fleet.nodes.values()
        return {n.member.node_id for n in nodes if n.member.zone == node.member.zone}

    context.run(begin_and_resume(context, count, of_zone))


@then("at least {share:g} of them go on, all at the version that began them")
def step_go_on(context, share):
    found = context.found
    assert all(resumed in (None, began) for began, resumed in found), found
    went_on = sum(resumed is not None for _, resumed in found)
    assert went_on >= share * len(found), f"{went_on} of {len(found)}"


@when("{count:d} streams begin")
def step_begin(context, count):
    async def begin():
        context.began = {f"stream-{number}": context.fleet.draw() for number in range(count)}
        for request_id, node in context.began.items():
            node.begin(request_id, VERSIONS[0])

    context.run(begin())


@when("{count:d} streams begin, and engines of a second version come")
def step_second_version(context, count):
    async def come():
        for node in context.fleet.nodes.values():
            node.add_engines(VERSIONS[1])
            node.streams.refresh(clock.now_s())
        await asyncio.sleep(2 * NETWORK_S)

    step_begin(context, count)
    context.run(come())


@when("their nodes are killed, and the streams are resumed elsewhere")
def step_resume_all(context):
    async def resume():
        context.found = []
        for request_id, node in context.began.items():
            context.fleet.dead = {node.member.node_id}
            other = context.fleet.draw(lambda each, began=node: each is not began)
            context.found.append((VERSIONS[0], await other.resume(request_id)))

    context.run(resume())


@then("no node was asked twice for a stream")
def step_asked_once(context):
    asked = context.fleet.questions
    assert asked and max(asked.values()) == 1, asked.most_common(3)


@then("no message was sent")
def step_no_message(context):
    assert not context.fleet.sent, context.fleet.sent


@when("two streams begin under one id at engines of both versions, and their nodes are killed")
def step_one_id(context):
    async def begin():
        first, second, context.other = list(context.fleet.nodes.values())[:3]
        first.begin("stream", VERSIONS[0])
        second.begin("stream", VERSIONS[1])
        await asyncio.sleep(2 * NETWORK_S)
        context.fleet.dead = {first.member.node_id, second.member.node_id}

    context.run(begin())


@then("a resumption that names this id is refused")
def step_refused(context):
    assert context.run(context.other.resume("stream")) is None


@given("a node that remembers {count:d} origins of streams")
def step_table(context, count):
    context.origins = OriginTable(max_entries=count)


@when("{count:d} streams begin there within a second")
def step_flood(context, count):
    origin = ServiceVersion("service-1", VERSIONS[0])
    for number in range(count):
        entry = OriginEntry(number, origin, 50.0)
        context.origins.record(entry, number / count)
        context.origins.keep_unsent(("service-1",), entry)


@then("it remembers {count:d}, and none {seconds:g} s later")
def step_bounded(context, count, seconds):
    assert len(context.origins) == count, len(context.origins)
    assert context.origins.get(999, 1.0) is not None and context.origins.get(0, 1.0) is None
    context.origins.expire(seconds)
    assert len(context.origins) == 0 and not list(context.origins.unsent_services())


def new_selector(context):
    context.engines = EngineTable()
    context.selector = EngineSelector(context.engines, WeightTargets(8.0, 7.0), "zone-1")


def versioned_record(name, version, revision=1):
    """Return the record of an engine; those of later versions were born later."""
    record = engine_record(name, weights={"model": 1}, software_version=version, revision=revision)
    return replace(record, born_unix_ms=1_000 * int(version.rpartition(".")[2]))


def add(context, name, version, revision=1):
    record = versioned_record(name, version, revision)
    return context.engines.update(replace(record, address=f"10.0.0.1:{len(name)}{name[-1]}"))


def choose(context, version=None, excluded=frozenset(), now=0.1, **fields):
    request = opaque_request(route=route_rule(resumable=True), **fields)
    if version is not None:
        request.require_software_version(version)
    return context.selector.choose(request, excluded, now)


@given("a record of an engine at version {first}, and of one at {second}")
def step_records(context, first, second):
    new_selector(context)
    add(context, "engine-1", first)
    add(context, "engine-2", second)


@when("the first engine writes a record of version {version} under its id and address")
def step_other_software(context, version):
    context.before = context.engines.get("engine-1")
    add(context, "engine-1", version, revision=2)


@then("a stream that began at {old} goes on at no engine, and one of {new} at either")
def step_goes_on_nowhere(context, old, new):
    assert context.before.gone
    assert choose(context, old) is Unavailable.VERSION_GONE
    found = {choose(context, new, frozenset(e)).engine_id for e in (["engine-1"], ["engine-2"])}
    assert found == {"engine-1", "engine-2"}, found


@then("both versions count as having served for {seconds:g} s")
def step_served(context, seconds):
    now = clock.now_s()
    known = context.engines.software_versions("service-1", now + seconds - 1.0)
    assert known == set(VERSIONS), known
    assert context.engines.software_versions("service-1", now + seconds + 1.0) == {VERSIONS[1]}


@when("both engines renew their records")
def step_renew(context):
    context.counts = context.engines.version_counts()
    for view in list(context.engines):
        context.engines.update(replace(view.record, revision=2))


@then("the versions are not counted again")
def step_not_counted(context):
    assert context.engines.version_counts() is context.counts


@when("the second engine's record names another service")
def step_other_service(context):
    record = context.engines.get("engine-2").record
    context.engines.update(replace(record, service="service-2", revision=3))


@then("the first service has version {first} alone, and the other one {second}")
def step_versions_of_services(context, first, second):
    assert context.engines.recorded_versions("service-1") == {first}
    assert context.engines.recorded_versions("service-2") == {second}


@given("engines of version {new}, and a stream that began at {old}")
def step_other_version(context, new, old):
    new_selector(context)
    add(context, "engine-2", new)
    context.request = opaque_request(
        route=route_rule(resumable=True), deadline=clock.now_s() + LEFT_S
    )
    context.request.require_software_version(old)
    context.later_s = 0.0


@when("the engines of {version} {end}")
def step_version_ends(context, version, end):
    seconds = re.search(r"(\d+) s", end)
    context.later_s = float(seconds[1]) if seconds else 0.0
    if "not come" in end:
        return
    if "no record" in end:
        now = clock.now_s()
        context.engines.removed_versions = VersionHistory(now - LONG_UPTIME_S)
        assert (
            context.selector.software_versions.return_s(context.request, now) == MIN_RETURN_WAIT_S
        )
        return
    view = add(context, "engine-1", version)
    if end == "drain":
        view.condition.leaving = True
        return
    context.engines.remove("engine-1")


@then("the stream's caller is asked to come back after {wait}")
def step_come_back(context, wait):
    now = clock.now_s() + context.later_s
    assert context.selector.choose(context.request, frozenset(), now) is Unavailable.VERSION_GONE
    found_s = context.selector.software_versions.return_s(context.request, now)
    known_s = re.fullmatch(r"([\d.]+) s", wait)
    expected_s = float(known_s[1]) if known_s else LEFT_S - context.later_s
    assert abs(found_s - expected_s) < 0.2, found_s


@when("its caller resumes it while {what}")
def step_resume_while(context, what):
    undecided = SimpleNamespace(
        is_decided=lambda request, now: False,
        remaining_s=lambda request: 0.0,
        is_suspect=lambda request: True,
    )
    allowance = RetryAllowance(0.2, 20.0, 10.0, 0.0)
    quarantine = undecided if "crashes" in what else None
    ports = ForwardingPorts(context.selector, allowance, quarantine=quarantine)
    ports.must_wait = lambda request: "wait for" in what
    context.choice = ports.choose(context.request, frozenset())


@then("it is refused, and need not wait")
def step_refused_now(context):
    assert context.choice is Unavailable.VERSION_GONE, context.choice


@given("{idle:d} idle engines of version {old}, and {others:d} of version {new} with some load")
def step_engines(context, idle, old, others, new):
    new_selector(context)
    for number in range(idle):
        add(context, f"engine-{number}", old)
    for number in range(others):
        view = add(context, f"engine-{idle + number}", new)
        view.own_load.requests, view.own_load.waiting_tokens = 1, 1_000


@when("an engine of v1.1 {ends}")
def step_engine_ends(context, ends):
    context.later_s = float(match[1]) if (match := re.search(r"(\d+) s ago", ends)) else 0.0
    if "drain" in ends:
        context.engines.get("engine-0").condition.leaving = True
    if "ago" in ends:
        context.engines.remove("engine-0")


@then("a new stream that {may} be resumed begins at {version}")
def step_new_begins(context, may, version):
    now = clock.now_s() + context.later_s
    request = opaque_request(route=route_rule(resumable=may == "may"), deadline=now + LEFT_S)
    choice = context.selector.choose(request, frozenset(), now)
    assert choice.software_version == version, choice


@given("a busy engine of version {old} beside {count:d} idle ones of {new}")
def step_busy(context, old, count, new):
    new_selector(context)
    busy = add(context, "engine-0", old)
    busy.own_load.requests, busy.own_load.waiting_tokens = 100, 10_000_000
    for number in range(count):
        add(context, f"engine-{number + 1}", new)


@when("{count:d} requests that only {version} may serve are placed")
def step_place(context, count, version):
    context.choices = [choose(context, version, now=0.1 * n) for n in range(count)]


@then("the service does not count as overloaded, and a new request goes to {version}")
def step_not_overloaded(context, version):
    assert set(context.choices) == {Unavailable.FULL}, context.choices
    assert not context.selector.guard.is_overloaded("service-1")
    assert choose(context, now=5.0).software_version == version


class FakeRangeStore:
    """A store that holds one node's writes, and the mirror that follows it."""

    def __init__(self):
        self.mirror = StoreMirror(position=1)
        self.reads = 0

    async def read(self, key):
        self.reads += 1
        return ReadResult(self.mirror.get(key), self.mirror.position)

    async def transact(self, expected, puts, removed=()):
        revision = self.mirror.position + 1
        items = tuple(StoredItem(put.key, put.value, revision) for put in puts)
        self.mirror.apply_batch(WatchBatch(items, revision))
        return revision


def build_version_record(
    store, mirror, engines, membership=None, freshness=None, trusted_unread_s=0.0
):
    """Return a node's record of versions; without a membership the node is the only member."""
    if membership is None:
        own = Member("node-1", "10.0.0.1:1", "region-1", "zone-1", 1)
        membership = SimpleNamespace(own=own, members=lambda: [own])
    log = DecisionLog(membership.own.node_id)
    freshness = freshness or MirrorFreshness()
    return VersionRecord(store, mirror, freshness, engines, membership, log, trusted_unread_s)


def new_version_record(context, engines):
    record = build_version_record(context.store, context.store.mirror, engines)
    record.load(clock.now_s())
    return record


@given("a stream with a deadline of {seconds:d} s that began at v1.1, beside engines of v1.2")
def step_long_stream(context, seconds):
    context.fleet = Fleet(1, 2)
    context.store = FakeRangeStore()
    (node,) = context.fleet.nodes.values()
    context.engines = node.engines
    context.record = new_version_record(context, node.engines)
    storage = FakeStorage({}, set())
    node.streams = OriginTracker(
        node.engines, node, context.record, storage, DecisionLog("node-1"), GatewayMetrics()
    )
    request = replace(stream_request(), deadline=clock.now_s() + seconds)
    node.streams.stream_began(request, EngineChoice("engine", "address", software_version="v1.1"))
    context.run(context.record.write_due(clock.now_s()))
    context.record.load(clock.now_s())


@when("{seconds:d} s pass after the engines of v1.1 left")
def step_leave_long_ago(context, seconds):
    for number in range(ENGINES_PER_VERSION):
        context.engines.remove(f"v1.1-{number}")
    context.later_s = seconds


@then("a stream of unknown origin may have begun at either version later")
def step_either(context):
    now = clock.now_s() + context.later_s
    context.record.load(now)
    context.run(context.record.write_due(now))
    context.record.load(now)
    for record, started_at in (
        (context.record, now - context.later_s),
        (new_version_record(context, EngineTable()), now),
    ):
        evidence = VersionEvidence(context.engines, record, started_at)
        known = evidence.known(("service-1",), now)
        assert {each.software_version for each in known.served} == set(VERSIONS), known
        assert known.sole is None, known


@then("the record of versions is written without v1.1 {seconds:d} s later")
def step_forgotten(context, seconds):
    now = clock.now_s() + context.later_s + seconds
    context.run(context.record.write_due(now))
    context.record.load(now)
    item = context.store.mirror.get(VERSIONS_KEY)
    assert b"v1.1" not in item.value and b"v1.2" in item.value, item


@given("a mirror of a store that holds an origin and another item")
def step_mirror(context):
    items = tuple(
        StoredItem(key, b"", at)
        for at, key in ((2, f"{ORIGINS_KEY_PREFIX}a/1/1"), (3, "op/config"))
    )
    context.mirror = StoreMirror(excluded_prefix=ORIGINS_KEY_PREFIX)
    change = context.mirror.add_page(RangePage(items, 3, more=False))
    assert [item.key for item in change.written] == ["op/config"], change


@when("another origin is written and the first one is removed")
def step_origin_written(context):
    written = StoredItem(f"{ORIGINS_KEY_PREFIX}a/1/2", b"", 4)
    removed = RemovedItem(f"{ORIGINS_KEY_PREFIX}a/1/1", 5)
    context.change = context.mirror.apply_batch(WatchBatch((written, removed), 5))


@then("the mirror has the other item alone, follows the store, and reports no change")
def step_mirrored(context):
    assert [item.key for item in context.mirror.items()] == ["op/config"]
    assert context.mirror.position == 5
    assert not context.change.written and not context.change.removed, context.change


@given("{count:d} engines of version {version}, recorded in the store, which are {state}")
def step_recorded(context, count, version, state):
    new_selector(context)
    context.store = FakeRangeStore()
    recorded = messages.ServedVersions(
        versions=[messages.ServiceVersion(service="service-1", software_version=version)]
    )
    item = PutItem(VERSIONS_KEY, recorded.SerializeToString())
    context.run(context.store.transact((), (item,)))
    for number in range(0 if state == "ended" else count):
        view = add(context, f"{version}-{number}", version)
        view.condition.leaving = state == "leaving"
        view.own_load.requests = view.record.slots if state == "busy" else 0


def connect_record(context, uptime, started_s=0.0):
    """Let new streams begin where the record of a node allows it, `uptime` seconds from now.

    The node's evidence starts `started_s` seconds from now.
    """
    context.now = clock.now_s() + uptime
    context.record = new_version_record(context, context.engines)
    context.evidence = VersionEvidence(context.engines, context.record, clock.now_s() + started_s)
    versions = context.selector.software_versions
    versions.may_begin_at = context.evidence.may_begin_at
    versions.need_version = context.record.need


@when("{count:d} idle engines of version {version} come to a node that has run for {uptime:g} s")
def step_come(context, count, version, uptime):
    connect_record(context, uptime, started_s=uptime)
    for number in range(count):
        add(context, f"{version}-{number}", version)
    context.evidence.refresh(context.now)


@when("engines of {version} come back")
def step_come_back(context, version):
    add(context, f"{version}-0", version)
    context.evidence.refresh(context.now)


@when("the node has written what it is to record for {seconds:g} s")
def step_written(context, seconds):
    for number in range(round(seconds / MAX_RECORD_DELAY_S)):
        context.now += MAX_RECORD_DELAY_S * bool(number)
        context.run(context.record.write_due(context.now))
        context.record.load(context.now)


@then("new streams begin at {version}")
def step_streams_begin_at(context, version):
    choice = choose(context, now=context.now)
    versions = context.selector.software_versions
    views = [view for view in context.engines if not view.leaving]
    serving = Counter(view.record.software_version for view in views)
    found = versions.may_begin_at("service-1", serving, context.now)
    assert found == (set(VERSIONS) if version == "any" else {version}), found
    assert choice.software_version in found, choice


@then("a stream of unknown origin may have begun at either version")
def step_began_at_either(context):
    known = context.evidence.known(["service-1"], context.now)
    assert {each.software_version for each in known.served} == set(VERSIONS), known
    assert known.sole is None
