"""Steps on the age of a node's copy of the store, and on the reader that it follows, in-process."""

import asyncio
import math
import re
import time

from behave import given, then, when

from features.following_node import (
    MAX_MIRROR_AGE_S,
    POLL_INTERVAL_S,
    FollowingNode,
    ScriptedStore,
    eventually,
)
from features.gateway_support import engine_record
from features.standin.store import StandInStore
from liftrill import constants
from liftrill.bench.launcher import free_ports
from liftrill.coordination.membership_messages import Member
from liftrill.coordination.mirror_freshness import MirrorFreshness
from liftrill.errors import StoreUnavailableError
from liftrill.gateway.cluster_state import ClusterState
from liftrill.gateway.configuration_view import ConfigurationView
from liftrill.gateway.decision_log import DecisionLog
from liftrill.gateway.engines.engine_table import EngineTable
from liftrill.gateway.http_client import new_store_session
from liftrill.gateway.record_decoder import RecordDecoder
from liftrill.gateway.records import WeightTarget
from liftrill.gateway.relay_client import ReaderLimits, RelayLostError
from liftrill.gateway.relay_codec import RelayAnswer
from liftrill.gateway.store_outage import AnswerHistory
from liftrill.gateway.weight_rollout import AnnounceLoad, WeightRollout
from liftrill.gateway.weight_targets import WeightTargets

MODEL = "model"


# The freshness of a copy


@given("a copy without a proof")
def step_unproven(context):
    context.freshness = MirrorFreshness()


@when("these happen: {events}")
def step_events(context, events):
    for event in events.split(", "):
        numbers = [int(number) for number in re.findall(r"\d+", event)]
        if event.startswith("reading"):
            context.freshness.record_reading(*numbers)
        else:
            context.freshness.record_position(*numbers)


@then("the copy is proven as of {as_of}")
def step_as_of(context, as_of):
    expected = -math.inf if as_of == "nothing" else float(as_of)
    assert context.freshness.as_of == expected, context.freshness.as_of


@then("the copy is {age:g} s old at {now:g}")
def step_copy_age(context, age, now):
    assert context.freshness.age_s(now) == age


# Which readers a node may follow


@given("a node that follows readers whose copies are at most {seconds:g} s old")
def step_limits(context, seconds):
    context.limits = ReaderLimits("node", seconds)


@when("a reader answers with a proof of {proof:g} s, a copy of {copy:g} s and path {path}")
def step_answer(context, proof, copy, path):
    names = () if path == "none" else tuple(path.split(","))
    context.answer = RelayAnswer(1, 5, proof, 10, copy, names)


@then("the reader is {outcome}")
def step_outcome(context, outcome):
    try:
        context.limits.check(context.answer)
        found = "kept"
    except RelayLostError:
        found = "left"
    assert found == outcome, found


# Nodes that follow the store and each other


@given("two nodes that know each other, and a reachable store")
def step_two_nodes(context):
    async def start():
        # One store for each node, so that one of them can fail alone.
        context.stores = [ScriptedStore(), ScriptedStore()]
        for store in context.stores:
            store.put("key", b"value")
        pairs = zip(("first", "second"), context.stores, strict=True)
        context.nodes = [FollowingNode(name, store) for name, store in pairs]
        first, second = context.nodes
        first.peer, second.peer = second.member(), first.member()
        await first.start()
        await second.start()
        await eventually(lambda: all(store.watch_revisions for store in context.stores), 3.0)

    context.run(start())


def prove_now(node, store):
    """Record a proof of a node's copy, so that its age does not limit the test."""
    now = time.monotonic()
    node.view.prove_current(5, now)
    node.follower.store_answered(store.revision, now)


@when("the store answers neither of them for {seconds:g} s")
def step_both_lost(context, seconds):
    async def lose():
        for node, store in zip(context.nodes, context.stores, strict=True):
            prove_now(node, store)
            store.is_unavailable = True
        await asyncio.sleep(seconds)

    context.run(lose())


@then("they followed each other, but never for longer than {seconds:g} s")
def step_not_for_long(context, seconds):
    for node in context.nodes:
        durations_s = [period.duration_s() for period in node.follow_periods]
        assert durations_s, f"{node.name} followed no node"
        assert max(durations_s) <= seconds, (node.name, durations_s)


async def lose_second(context):
    """Make the store unavailable to the second node, and wait until it follows the first."""
    first, second = context.nodes
    prove_now(first, context.stores[0])
    context.stores[1].is_unavailable = True
    await eventually(lambda: second.answers, 2.0)


@when("the store no longer answers one of them")
def step_one_lost(context):
    context.run(lose_second(context))


@then("it reports itself and the other one as the path of its copy")
def step_path(context):
    first, second = context.nodes
    assert second.follower.followed is not None, "second follows no node"
    assert second.follower.path == (second.name, first.name), second.follower.path


@when("the store no longer answers one of them, and after {seconds:g} s neither of them")
def step_one_after_the_other(context, seconds):
    async def lose():
        (first, second), (first_store, _) = context.nodes, context.stores
        await lose_second(context)
        await asyncio.sleep(seconds)
        assert second.follower.followed is not None, "second does not follow first"
        # Just after an answer, so that the first follows the second before the second asks again.
        answers_before = second.answers
        await eventually(lambda: second.answers > answers_before, 1.0)
        prove_now(first, first_store)
        first_store.is_unavailable = True
        context.lost_at = time.monotonic()

    context.run(lose())


@then(
    "the first followed the second, which followed the first, "
    "neither for longer than {seconds:g} s after that"
)
def step_neither_for_long(context, seconds):
    first, second = context.nodes
    assert first.follow_periods and second.follow_periods
    lost_at = context.lost_at
    # The second asks the first in this interval, and leaves it at the next answer.
    bounds_s = {first.name: seconds, second.name: seconds + constants.RELAY_QUERY_INTERVAL_SECONDS}
    for node in context.nodes:
        durations_s = [period.duration_s(lost_at) for period in node.follow_periods]
        assert max(durations_s) <= bounds_s[node.name], (node.name, durations_s)


@given("a node that may follow another one if the store is unavailable")
def step_node_with_peer(context):
    async def make():
        context.store = ScriptedStore()
        context.store.put("key", b"value")
        context.node = FollowingNode("node", context.store)
        context.node.peer = Member("peer", f"127.0.0.1:{free_ports(1)[0]}", "region", "zone", 1)

    context.run(make())


@when("its first watch fails, while the range can be read")
def step_watch_fails(context):
    async def fail():
        context.store.watch_errors.append(StoreUnavailableError("cut"))
        await context.node.start()
        await eventually(lambda: context.store.watch_revisions, 3.0)
        # The next read finds this change.
        context.store.put("key", b"other")

    context.run(fail())


@then("the node reads the range a second time within {seconds:g} s")
def step_second_read(context, seconds):
    context.run(eventually(lambda: len(context.store.read_times) == 2, seconds))


@then("it followed no node")
def step_followed_nobody(context):
    assert not context.node.follow_periods, context.node.follow_periods


@then("its next watch starts at the revision of that read")
def step_next_watch(context):
    store = context.store
    context.run(eventually(lambda: len(store.watch_revisions) == 2, 1.0))
    assert store.watch_revisions[1] == store.revision, store.watch_revisions


class ReaderFollower(FollowingNode):
    """A node that follows a reader until it loses it, and then reads the store."""

    def reader_to_follow(self, store_lost):
        return self.peer

    def reader_lost(self, reader, reason):
        super().reader_lost(reader, reason)
        self.peer = None


@given("a reader and its follower, whose watches get no changes")
def step_reader_and_follower(context):
    async def start():
        context.store = ScriptedStore()
        context.store.put("key", b"value")
        context.reader = FollowingNode("reader", context.store)
        context.node = ReaderFollower("follower", context.store)
        await context.reader.start()
        await context.node.start()
        await eventually(lambda: context.store.watch_revisions, 3.0)

    context.run(start())


@when("a change is written, and the follower learns that the reader's copy is too old")
def step_reader_copy_ages(context):
    async def age():
        reader, node = context.reader.follower, context.node.follower
        context.store.put("key", b"changed")
        # One answer is accepted, and the copies are too old at the next.
        accepted_age_s = MAX_MIRROR_AGE_S - constants.RELAY_QUERY_INTERVAL_SECONDS + 0.03
        await eventually(lambda: reader.freshness.age_s(time.monotonic()) >= accepted_age_s, 3.0)
        context.node.peer = context.reader.member()
        node.reselect_reader()
        await eventually(lambda: context.node.follow_periods, 1.0)
        await eventually(lambda: node.followed is None, 1.0)
        assert context.node.answers, "the follower left the reader at its first answer"

    context.run(age())


@then("the follower has the change before its own copy is {seconds:g} s old")
def step_has_change(context, seconds):
    follower = context.node.follower
    left_s = seconds - follower.freshness.age_s(time.monotonic())
    context.run(eventually(lambda: follower.mirror.get("key").value == b"changed", left_s))


# When the grace of a version starts


class WeightDecoder(RecordDecoder):
    """Decodes each item with a key that starts with "version" as a version of one model.

    Other keys are ids of engines.
    """

    configuration_key = "configuration"

    def parse(self, item):
        if not item.key.startswith("version"):
            return None
        return WeightTarget(MODEL, int(item.value), item.revision)

    def engine_of(self, key):
        return None if key.startswith("version") else key


def new_cluster_state(grace_s, min_expiry_s=2.4):
    targets = WeightTargets(grace_s)
    view = ConfigurationView(4.5)
    log = DecisionLog("node")
    answers = AnswerHistory(min_expiry_s)
    return ClusterState(WeightDecoder(), view, EngineTable(), targets, None, None, log, answers)


@given(
    "a node with {grace:g} s of grace,"
    " and a version that is published while its watch gets no changes"
)
def step_published_in_gap(context, grace):
    async def publish():
        context.store = ScriptedStore()
        context.store.put("version", b"1")
        context.cluster_state = new_cluster_state(grace)
        context.node = FollowingNode("node", context.store, context.cluster_state)
        await context.node.start()
        await eventually(lambda: context.store.watch_revisions, 3.0)
        context.published_at = time.monotonic()
        context.store.put("version", b"2")

    context.run(publish())


async def deliver_version(context):
    context.store.delivers_changes.set()
    await eventually(lambda: context.cluster_state.targets.newest(MODEL) == 2, 2.0)
    context.store.delivers_changes.clear()


@when("the watch fails because its history is gone, and the range is read")
def step_history_gone(context):
    async def read():
        await asyncio.sleep(0.5)
        context.store.forget_history()
        await deliver_version(context)

    context.run(read())


@when("the watch delivers it {seconds:g} s later")
def step_late_watch(context, seconds):
    async def bring():
        await asyncio.sleep(seconds)
        await deliver_version(context)

    context.run(bring())


def grace_start(context):
    (version,) = context.cluster_state.targets.newer_versions(MODEL, 1)
    return version.published_at


@then("the grace of the version starts before its publication")
def step_starts_before(context):
    late_s = grace_start(context) - context.published_at
    assert late_s <= 0, f"the grace starts {late_s:.2f} s after the publication"


@then("it starts no earlier than the last proof of the copy")
def step_not_before_proof(context):
    # The read at the start is the only proof. It was requested just before this time.
    proven_at = context.store.read_times[0]
    early_s = proven_at - grace_start(context)
    assert early_s < POLL_INTERVAL_S, f"the grace starts {early_s:.2f} s before the proof"


@given("a grace of {grace:g} s for replaced weights")
def step_grace(context, grace):
    context.targets = WeightTargets(grace)


@then("the grace of a version found at {now:g} by a copy proven as of {proven} starts at {start:g}")
def step_earliest(context, now, proven, start):
    known_until = -math.inf if proven == "never" else float(proven)
    found = context.targets.earliest_publication(known_until, now)
    assert found == start, found


@given(
    "a node that starts with a bound of {bound:g} s for replaced weights, "
    "and {count:d} engines with an older version"
)
def step_engines_behind(context, bound, count):
    context.cluster_state = new_cluster_state(bound - constants.WEIGHT_GRACE_MARGIN_SECONDS)
    for number in range(count):
        record = engine_record(f"engine-{number}", weights={MODEL: 1})
        context.cluster_state.engines.update(record)


@when("its first read finds the version")
def step_first_read(context):
    async def read():
        store = ScriptedStore()
        store.put("version", b"2")
        node = FollowingNode("node", store, context.cluster_state)
        await node.start()
        await eventually(lambda: context.cluster_state.store_read, 1.0)

    context.run(read())


@then("{count:d} of the engines are ordered to load it at once")
def step_ordered_at_once(context, count):
    rollout = WeightRollout(context.cluster_state.targets)
    due = rollout.due(context.cluster_state.engines, time.monotonic())
    ordered = [order for order in due if isinstance(order, AnnounceLoad)]
    assert len(ordered) == count, len(ordered)


# Records that are missing after a gap


@given("a node that uses an engine, whose record can expire if the store is down for {seconds:g} s")
def step_engine_in_use(context, seconds):
    async def start():
        context.store = ScriptedStore()
        context.store.put("engine-1", b"")
        context.cluster_state = new_cluster_state(8.0, seconds)
        context.cluster_state.engines.update(engine_record("engine-1"))
        context.node = FollowingNode("node", context.store, context.cluster_state)
        await context.node.start()
        await eventually(lambda: context.store.watch_revisions, 3.0)

    context.run(start())


@when("its watch gets no changes for {seconds:g} s, in which {what} and the record is removed")
def step_gap(context, seconds, what):
    async def pass_time():
        until = time.monotonic() + seconds
        context.store.is_unavailable = what == "the store is down"
        context.store.remove("engine-1")
        # The mirror does not reach this position before the range is read.
        position = context.store.revision
        while time.monotonic() < until:
            if what == "the store answers other calls":
                context.node.follower.store_answered(position, time.monotonic())
            await asyncio.sleep(0.1)
        context.store.is_unavailable = False

    context.run(pass_time())


@when("it reads the range")
def step_range_read(context):
    async def read():
        context.node.follower.reread()
        await eventually(lambda: not context.node.follower.mirror.get("engine-1"), 1.0)

    context.run(read())


@then("it {uses} the engine until its record is written again")
def step_engine_use(context, uses):
    assert len(context.cluster_state.engines) == (uses == "uses"), uses


@given("records of live engines that expire in an outage of {seconds:g} s or more")
def step_answer_history(context, seconds):
    context.answers = AnswerHistory(seconds)


@when("the store answers calls {calls}")
def step_answered(context, calls):
    for call in re.findall(r"(\d+)-(\d+)", calls):
        context.answers.record_answer(*map(float, call))


@then("at {now:g}, a record {can} have expired since {since:g}")
def step_may_have_expired(context, now, can, since):
    assert context.answers.may_have_expired(since, now) == (can == "can")


# Connections to the store


async def call_concurrently(context, count):
    url = f"http://{context.store.address}/liftrill/kv-range?PathPrefix="

    async def call():
        async with context.session.get(url) as answer:
            await answer.read()
            return answer.status

    statuses = await asyncio.gather(*(call() for _ in range(count)))
    assert statuses == [200] * count, statuses


@given("a store that has answered {count:d} concurrent calls")
def step_answered_calls(context, count):
    async def start():
        context.store = StandInStore()
        await context.store.start()
        context.stack.push_async_callback(context.store.stop)
        context.session = await context.stack.enter_async_context(new_store_session())
        await call_concurrently(context, count)

    context.run(start())


@when("its open connections stop responding")
def step_stop_responding(context):
    context.store.silence_connections()


@then("{count:d} further calls to it are answered within {seconds:g} s")
def step_further_calls(context, count, seconds):
    context.run(asyncio.wait_for(call_concurrently(context, count), seconds))
