"""Steps on nodes whose mirror of the store may lack the record of a version."""

import asyncio
from dataclasses import replace

from behave import given, then, when

from features.steps.stream_origin_steps import FakeRangeStore, stream_request
from features.steps.unrecorded_version_steps import Node, recorded
from liftrill import clock
from liftrill.coordination.membership_messages import Condition, Member
from liftrill.coordination.mirror_freshness import MirrorFreshness
from liftrill.coordination.range_store import WatchBatch
from liftrill.coordination.store_mirror import StoreMirror
from liftrill.errors import StoreUnavailableError
from liftrill.gateway.admission.request_admission import AdmissionRefusal
from liftrill.gateway.streams.origin_codec import OriginAnswer, OriginQuestion
from liftrill.gateway.streams.origin_exchange import OriginPeers
from liftrill.gateway.streams.origin_tracker import UNKNOWN_RETRY_S
from liftrill.gateway.streams.stream_origins import ServiceVersion
from liftrill.gateway.streams.version_record import VERSIONS_KEY
from liftrill.messages import peer_pb2 as messages

# How often a reader's mirror is confirmed, and how much later those of its followers are.
CONFIRMED_EVERY_S, FOLLOWS_S = 1.5, 0.4


def copy_of(mirror):
    """Return a mirror that stays as another one is now."""
    copy = StoreMirror(position=1)
    copy.apply_batch(WatchBatch(tuple(mirror.items()), mirror.position))
    return copy


class SilentPeers(OriginPeers):
    """Peers before engines of v1.1 that know no origins, and of which some do not answer."""

    def __init__(self, node, count, answering):
        self._node = node
        self._members = [Member(f"peer-{n}", "", "region-1", "zone-1", 1) for n in range(count)]
        self._answering = {member.node_id for member in self._members[:answering]}

    @property
    def own(self):
        return self._node.record._membership.own

    def others(self):
        return self._members

    def send(self, node, content):
        if isinstance(content, OriginQuestion) and node in self._answering:
            answer = OriginAnswer(content.key, None, (ServiceVersion("service-1", "v1.1"),), False)
            asyncio.get_running_loop().call_soon(self._node.tracker.receive, node, answer)


@given("a node whose mirror {state}")
def step_late_node(context, state):
    context.engines_known = "engines" in state
    freshness = MirrorFreshness(clock.now_s())
    context.late = Node(
        copy_of(context.store.mirror), context.store, context.origins, 100.0, "node-late", freshness
    )
    context.late.add("v1.1")
    context.late.load()


@when("v1.2 is recorded, a stream begins there {seconds:g} s later, and its node is killed")
def step_begins_and_killed(context, seconds):
    context.execute_steps(
        """
        Given a node that has run for 100 s, whose engines of v1.1 are busy
        When the node records v1.2
        """
    )
    recorded_now = messages.ServedVersions.FromString(context.store.mirror.get(VERSIONS_KEY).value)
    assert len(recorded_now.versions) == 2, recorded_now
    context.run(asyncio.sleep(seconds))
    assert context.node.begin("stream") == "v1.2"
    # It ends before it has written the origin.
    context.origins.clear()


@when("the node with the late mirror resumes it")
def step_resume_late(context):
    if context.engines_known:
        context.late.add("v1.2")
        context.late.load()
    context.resumed = context.run(context.late.resume("stream"))


@given("a node before engines of v1.1, whose mirror was complete {age:g} s ago")
def step_one_version(context, age):
    context.store = FakeRangeStore()
    context.run(context.store.transact((), (recorded("v1.1"),)))
    context.freshness = MirrorFreshness(clock.now_s() - age)
    context.node = Node(
        context.store.mirror, context.store, {}, uptime_s=100.0, freshness=context.freshness
    )
    context.node.add("v1.1")
    context.node.load()


@given("the store answers no reads")
def step_no_reads(context):
    async def refuse(key):
        context.store.reads += 1
        raise StoreUnavailableError("refused")

    context.store.read = refuse


@given("{count:d} peers, of which {answering:d} answer that they do not know the streams")
def step_peers(context, count, answering):
    context.node.tracker._exchange._peers = SilentPeers(context.node, count, answering)


@given("of {known:d} peers that it knew {lost:d} have been suspected since, and the others answer")
def step_suspected(context, known, lost):
    left = known - lost
    context.node.tracker._exchange._peers = peers = SilentPeers(context.node, left, left)
    all_peers = SilentPeers(context.node, known, known)
    record = context.node.record
    record._membership.members = lambda: [peers.own, *all_peers.others()]
    record._note_members(clock.now_s() - 10.0)
    suspected = [replace(m, condition=Condition.SUSPECT) for m in all_peers.others()[left:]]
    record._membership.members = lambda: [peers.own, *peers.others(), *suspected]


@given("the node that it follows confirms its mirror {seconds:g} s from now")
def step_confirmed_later(context, seconds):
    async def schedule():
        asyncio.get_running_loop().call_later(seconds, confirm)

    def confirm():
        context.freshness.as_of = clock.now_s() - FOLLOWS_S

    context.run(schedule())


@when("{count:d} streams that nobody knows are resumed there at once")
def step_resume_many(context, count):
    async def resume():
        requests = [
            stream_request(request_id=f"r{n}", resumed_request_id=f"s{n}", last_event_id=3)
            for n in range(count)
        ]
        return await asyncio.gather(*map(context.node.tracker.resolve, requests))

    context.resolved = context.run(resume())


@then("all go on at {version}, and the record was read {count:d} times")
def step_all_go_on(context, version, count):
    require_all_go_on(context, version)
    assert context.store.reads == count, context.store.reads


@then("all go on at {version}, and the record was read at most {count:d} times")
def step_all_go_on_at_most(context, version, count):
    require_all_go_on(context, version)
    assert 0 < context.store.reads <= count, context.store.reads


def require_all_go_on(context, version):
    refused = [each for each in context.resolved if isinstance(each, AdmissionRefusal)]
    assert not refused, (len(refused), refused[0])
    assert {each.required_software_version for each in context.resolved} == {version}


@then("all are refused for a short time, and the record was read at most {count:d} times")
def step_all_refused(context, count):
    assert all(isinstance(each, AdmissionRefusal) for each in context.resolved)
    waits = {each.retry_after_seconds for each in context.resolved}
    assert waits == {UNKNOWN_RETRY_S}, waits
    assert 0 < context.store.reads <= count, context.store.reads


@given("{count:d} nodes that have just started before engines of v1.1, which is recorded")
def step_many_start(context, count):
    context.store = FakeRangeStore()
    context.run(context.store.transact((), (recorded("v1.1"),)))
    context.nodes = []
    for n in range(count):
        freshness = MirrorFreshness(clock.now_s())
        node = Node(context.store.mirror, context.store, {}, node=f"node-{n}", freshness=freshness)
        node.freshness = freshness
        node.add("v1.1")
        node.load()
        context.nodes.append(node)


@when("each node resumes a stream every {spacing:g} s for {seconds:g} s")
def step_each_resumes(context, spacing, seconds):
    async def play(start):
        went_on = []
        for step in range(round(seconds / spacing)):
            now = start + spacing * step
            clock.now_s = lambda now=now: now
            for n, node in enumerate(context.nodes):
                # Readers are confirmed at different times.
                phase_s = CONFIRMED_EVERY_S * n / len(context.nodes)
                count = (spacing * step - FOLLOWS_S - phase_s) // CONFIRMED_EVERY_S
                confirmed_s = phase_s + CONFIRMED_EVERY_S * count
                node.freshness.as_of = max(node.freshness.as_of, start + confirmed_s)
                went_on.append(await node.resume(f"stream-{n}-{step}"))
        return went_on

    real = clock.now_s
    try:
        context.went_on = context.run(play(clock.now_s()))
    finally:
        clock.now_s = real


@then("all go on, and the record was read at most {count:d} times")
def step_reads(context, count):
    print(f"{context.store.reads} reads for {len(context.went_on)} resumptions")
    assert set(context.went_on) == {"v1.1"}, set(context.went_on)
    assert context.store.reads <= count, context.store.reads


@when("the next read of the store fails at once, and later ones succeed")
def step_one_failed_read(context):
    read = context.store.read

    async def fail_once(key):
        context.store.read = read
        raise StoreUnavailableError("connection reset")

    context.store.read = fail_once
