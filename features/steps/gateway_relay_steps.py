"""Steps on nodes that follow the mirrors of other nodes instead of the store."""

import asyncio
import os
import time
from types import SimpleNamespace

from behave import given, then, when

from features.gateway_support import route_rule
from features.soak.proxy import FaultProxy, ProxyFault
from liftrill import constants
from liftrill.bench.launcher import free_ports
from liftrill.coordination.change_log import ChangeLog
from liftrill.coordination.membership_messages import Condition, Member
from liftrill.coordination.mirror_freshness import MirrorFreshness
from liftrill.coordination.range_store import (
    RangePage,
    ReadResult,
    RemovedItem,
    StoredItem,
    WatchBatch,
)
from liftrill.coordination.store_mirror import StoreMirror
from liftrill.errors import StoreUnavailableError
from liftrill.gateway.configuration_view import ConfigurationView
from liftrill.gateway.freshness_checker import FreshnessChecker
from liftrill.gateway.reader_selection import ReaderSelection
from liftrill.gateway.records import GatewayConfiguration
from liftrill.gateway.relay_client import (
    ReaderLimits,
    RelayClient,
    RelayListener,
    RelayLostError,
)
from liftrill.gateway.relay_codec import RelayAnswer
from liftrill.gateway.relay_server import RelayServer, RelaySource
from liftrill.gateway.store_follower import FollowerDelegate, StoreFollower
from liftrill.gateway.store_outage import AnswerHistory

LIMITS = ReaderLimits("node", 1.7)
# How long after the end of a read a process has stood still.
STALL_AFTER_READ_S = 0.02


def region_members(count, zones):
    return [
        Member(f"node-{n}", f"10.0.0.{n}:1", "region", f"zone-{n % zones}", 1) for n in range(count)
    ]


def zone_members(count, condition_of=None):
    names = [f"node-{n}" for n in range(count)]
    conditions = condition_of or {}
    members = [
        Member(name, f"10.0.0.{n}:1", "region", "zone", 1, conditions.get(name, Condition.ALIVE))
        for n, name in enumerate(names)
    ]
    return [*members, Member("elsewhere", "10.9.9.9:1", "region", "other", 1)]


@given("a region of {count:d} nodes in {zones:d} zones")
def step_region(context, count, zones):
    context.count = count
    context.members = region_members(count, zones)
    context.selections = {m.node_id: ReaderSelection(m) for m in context.members}
    context.now = 0.0


@given("a zone of {count:d} nodes")
def step_zone(context, count):
    context.count = count
    context.members = zone_members(count)
    context.selections = {
        m.node_id: ReaderSelection(m) for m in context.members if m.zone == "zone"
    }
    context.now = 0.0


def followed(context):
    return {
        name: selection.reader(context.members, context.now, False)
        for name, selection in context.selections.items()
        if name not in getattr(context, "dead", ())
    }


@then("{count:d} of them read the store")
def step_readers(context, count):
    found = [name for name, reader in followed(context).items() if reader is None]
    assert len(found) == count, found


@then("each of the others follows one, no reader more than {most:d} of them")
def step_spread(context, most):
    counts = {}
    for reader in followed(context).values():
        if reader is not None:
            counts[reader.node_id] = counts.get(reader.node_id, 0) + 1
    assert all(count <= most for count in counts.values()), counts


@when("the reader that a node follows fails")
def step_fail(context):
    if not hasattr(context, "name"):
        context.name = next(n for n, reader in followed(context).items() if reader is not None)
    selection = context.selections[context.name]
    context.failed_reader = selection.reader(context.members, context.now, False)
    selection.back_off(context.failed_reader.node_id, context.now)


@then("the node follows the other reader")
def step_other(context):
    reader = context.selections[context.name].reader(context.members, context.now, False)
    assert reader is not None and reader.node_id != context.failed_reader.node_id


@then("the node reads the store itself")
def step_reads_store(context):
    assert context.selections[context.name].reader(context.members, context.now, False) is None


@when("{seconds:d} s pass")
def step_time(context, seconds):
    context.now += seconds


@then("the node follows a reader again")
def step_again(context):
    assert context.selections[context.name].reader(context.members, context.now, False) is not None


@when("the same reader fails a node {count:d} times, each time as soon as it is followed again")
def step_fails_often(context, count):
    name, reader = next((n, r) for n, r in followed(context).items() if r is not None)
    context.selection = ReaderSelection(context.selections[name].own)
    context.failed_reader = reader
    context.now = 0.0
    for _ in range(count):
        while context.selection._is_backed_off(reader.node_id, context.now):
            context.now += 0.1
        context.selection.back_off(reader.node_id, context.now)


@then("that reader is followed again after {seconds:g} s")
def step_followed_after(context, seconds):
    def is_followed(now):
        reader = context.selection.reader(context.members, now, False)
        return reader is not None and reader.node_id == context.failed_reader.node_id

    assert not is_followed(context.now + seconds - 0.1)
    assert is_followed(context.now + seconds + 0.1)


class CountedStore:
    """A store with one configuration, whose watches report no change."""

    def __init__(self):
        self.reads = 0
        self.watches = 0

    async def read_range(self, prefix, after):
        self.reads += 1
        return RangePage((StoredItem("configuration", b"", 5),), 7, False)

    async def watch(self, prefix, after_revision, wait_seconds):
        self.watches += 1
        await asyncio.sleep(wait_seconds)
        return WatchBatch((), after_revision)


class StartingNode(FollowerDelegate):
    """A node that knows a reader only some time after its start."""

    def __init__(self, known_after_s):
        self.view = ConfigurationView(4.5)
        self.prover = FreshnessChecker(None, fake_follower(None), None, self.view, None)
        self.store = CountedStore()
        self.follower = StoreFollower(self.store, "", self, LIMITS, AnswerHistory(2.4))
        self.known_at = time.monotonic() + known_after_s

    def node_id(self):
        return LIMITS.node_id

    def mirror_changed(self, change, known_until):
        self.view.adopt(GatewayConfiguration(5, (route_rule(),), {}))

    def range_read(self, asked_at):
        self.prover.range_read(asked_at)

    def is_assigned_reader(self):
        return False

    def store_connection_changed(self, connected):
        pass

    def relay_answered(self, answer, asked_at):
        pass

    def reader_to_follow(self, store_lost):
        known = time.monotonic() >= self.known_at
        return Member("reader", "127.0.0.1:9", "region", "zone", 1) if known else None

    def is_reader_eligible(self, reader, since):
        return True

    def reader_followed(self, reader, store_lost):
        pass

    def reader_lost(self, reader, reason):
        self.known_at = float("inf")


@given("a store whose calls are counted, and a node that finds a reader {when}")
def step_starting_node(context, when):
    seconds = {"after 0.4 s": 0.4, "never": float("inf")}[when]
    context.node = StartingNode(seconds)


@when("the node runs for {seconds:g} s")
def step_node_runs(context, seconds):
    async def run():
        node = context.node
        # A known reader serves: following it lasts until the task is cancelled.
        node.follower._relay.follow = lambda address, after: asyncio.sleep(60)
        task = asyncio.ensure_future(node.follower.run())
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            await asyncio.sleep(0.05)
            node.follower.reselect_reader()
        task.cancel()

    context.run(run())


@then("the store was read {reads:d} times and watched {watches:d} times")
def step_calls(context, reads, watches):
    store = context.node.store
    assert (store.reads, store.watches) == (reads, watches), (store.reads, store.watches)


@then("the node's configuration is proven")
def step_proven(context):
    assert context.node.view.is_proven(time.monotonic())


@when("a reader dies")
def step_dies(context):
    dead = next(name for name, reader in followed(context).items() if reader is None)
    context.dead = {dead}
    context.members = zone_members(context.count, {dead: Condition.DEAD})


@then("no node follows the dead one")
def step_not_followed(context):
    readers = {reader.node_id for reader in followed(context).values() if reader is not None}
    assert not readers & context.dead


@when("the store does not answer one of them")
def step_store_lost(context):
    context.name = next(iter(context.selections))
    context.selection = context.selections[context.name]


@then("it follows {count:d} other nodes one after the other, and then none")
def step_substitutes(context, count):
    context.followed = []
    for _ in range(count):
        reader = context.selection.reader(context.members, context.now, True)
        context.followed.append(reader)
        context.selection.back_off(reader.node_id, context.now)
    assert len({m.node_id for m in context.followed} - {context.name}) == count
    assert context.selection.reader(context.members, context.now, True) is None


@then("those of its own zone come first")
def step_own_zone_first(context):
    zones = [m.zone for m in context.followed]
    assert zones[:2] == ["zone", "zone"], zones


@then("it follows one of them for {seconds:g} s before it tries the store again")
def step_followed_until(context, seconds):
    reader = context.followed[0]
    assert context.selection.is_eligible(reader, context.members, 0.0, seconds - 0.1)
    assert not context.selection.is_eligible(reader, context.members, 0.0, seconds)


@given('a mirror at revision {at:d} from which "{key}" was removed at {removed:d}')
def step_mirror(context, at, key, removed):
    context.mirror = StoreMirror()
    item = StoredItem(key, b"", 5)
    context.mirror.add_page(RangePage((item,), 6, False))
    context.mirror.apply_batch(WatchBatch((RemovedItem(key, removed),), at))


@when('a reader that is behind reports "{key}" as written at {revision:d}')
def step_behind(context, key, revision):
    context.mirror.apply_batch(WatchBatch((StoredItem(key, b"", revision),), revision))


@then('the mirror does not have "{key}"')
def step_not_there(context, key):
    assert context.mirror.get(key) is None


def batch(at):
    return WatchBatch((StoredItem(f"key-{at}", b"", at),), at)


@given("a change log with batches up to revisions 10, 12 and 15 after 8")
def step_log(context):
    context.log = ChangeLog()
    context.log.reset(8)
    for at in (10, 12, 15):
        context.log.append(batch(at))


@then("a copy at 10 lacks the batches up to 12 and 15")
def step_lacks(context):
    assert [b.position for b in context.log.since(10)] == [12, 15]


@then("a copy at 15 lacks none")
def step_lacks_none(context):
    assert context.log.since(15) == ()


@then("a copy at {at:d} cannot be served")
def step_unserved(context, at):
    assert context.log.since(at) is None


@when("it holds no more than 2 changes")
def step_small(context):
    context.log = ChangeLog(capacity=2)
    context.log.reset(8)
    for at in (10, 12, 15):
        context.log.append(batch(at))


@given("a configuration in force at version {version:d}")
def step_in_force(context, version):
    context.view = ConfigurationView(4.5)
    context.view.adopt(GatewayConfiguration(version, (route_rule(),), {}))
    context.prover = FreshnessChecker(None, fake_follower(None), None, context.view, None)


@when("a peer asked at {asked:g} s answers with version {version:d} and a proof {age:g} s old")
def step_peer_proof(context, asked, version, age):
    context.prover.take_reader_proof(RelayAnswer(1, version, age, 10, age, ("reader",)), asked)


@then("the proof is {age:g} s old at {now:g} s")
def step_proof_age(context, age, now):
    assert abs(context.view.proof_age(now) - age) < 1e-6, context.view.proof_age(now)


class Reader(RelaySource):
    """A relay server on loopback, with a mirror that the steps change."""

    path = ("reader",)

    def __init__(self, count, large=0):
        self.mirror = StoreMirror()
        self.freshness = MirrorFreshness()
        self.view = ConfigurationView(4.5)
        self.view.adopt(GatewayConfiguration(5, (), {}))
        self.prove()
        self.followers = 0
        self.server = RelayServer(self, self.view, self.count)
        self.address = f"127.0.0.1:{free_ports(1)[0]}"
        items = [StoredItem(f"key-{n:04}", b"value", n + 1) for n in range(count)]
        if large:
            items[0] = StoredItem("key-0000", os.urandom(large), 1)
        self.server.publish(self.mirror.add_page(RangePage(tuple(items), count, False)))

    def count(self, followers):
        self.followers = followers

    def prove(self):
        self.view.prove_current(5, time.monotonic())
        self.freshness.record_reading(1, time.monotonic())
        self.freshness.record_position(1)

    def learn(self, *changes):
        self.server.publish(self.mirror.apply_batch(WatchBatch(changes, changes[-1].revision)))

    def write(self, count, value=b"new"):
        for _ in range(count):
            revision = self.mirror.position + 1
            self.learn(StoredItem(f"new-{revision}", value, revision))


class Follower(RelayListener):
    """A relay client with a mirror of its own."""

    def __init__(self):
        self.mirror = StoreMirror()
        self.client = RelayClient(self, LIMITS)
        self.answers = []
        self.snapshots = 0
        self.task = None

    def follow(self, address):
        self.mirror.start_reading()
        self.task = asyncio.ensure_future(self.client.follow(address, self.mirror.position))

    def relay_updated(self, update):
        if not update.snapshot:
            self.mirror.apply_batch(update.batch)
            return
        self.snapshots += not update.more
        self.mirror.add_page(RangePage(update.batch.changes, update.batch.position, update.more))

    def reader_timeout_s(self):
        return constants.RELAY_SILENCE_TIMEOUT_SECONDS

    def relay_confirmed(self, answer, asked_at):
        self.answers.append(answer)


async def eventually(condition, seconds=3.0):
    until = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < until, "the condition did not hold in time"
        await asyncio.sleep(0.01)


def new_reader(context, count, large=0):
    async def make():
        context.reader = Reader(count, large)
        await context.reader.server.listen(context.reader.address)

    context.run(make())


@given("a reader with {count:d} items, one of them of {large:d} bytes")
def step_large_reader(context, count, large):
    new_reader(context, count, large)


@given("a reader with {count:d} items")
def step_reader(context, count):
    new_reader(context, count)


@when("a follower follows it")
def step_follow(context):
    async def follow():
        context.follower = Follower()
        address = f"127.0.0.1:{free_ports(1)[0]}"
        context.proxy = FaultProxy(address, context.reader.address)
        await context.proxy.start()
        context.follower.follow(context.proxy.address)
        await eventually(lambda: context.follower.answers)

    context.run(follow())


def has_same_items(context):
    return set(context.follower.mirror.items()) == set(context.reader.mirror.items())


@then("the follower has the {count:d} items")
def step_has(context, count):
    assert has_same_items(context) and len(context.follower.mirror.items()) == count


@when("the reader learns of a written and of a removed item")
def step_learns(context):
    async def learn():
        at = context.reader.mirror.position
        written = StoredItem("key-0001", b"other", at + 1)
        context.reader.learn(written, RemovedItem("key-0002", at + 2))

    context.run(learn())


@then("the follower has them too, with the same revision")
def step_has_too(context):
    context.run(eventually(lambda: has_same_items(context)))
    assert context.follower.mirror.get("key-0002") is None
    assert context.follower.mirror.position == context.reader.mirror.position


@when("the follower loses the connection, and the reader learns of {count:d} more items")
def step_loses(context, count):
    async def lose():
        context.follower.task.cancel()
        await asyncio.wait({context.follower.task})
        context.reader.write(count)

    context.run(lose())


@when("the follower follows it again")
def step_follow_again(context):
    async def follow():
        context.follower.answers.clear()
        context.follower.follow(context.reader.address)
        await eventually(lambda: context.follower.answers)

    context.run(follow())


@then("the follower has all of the reader's items without reading them all again")
def step_resumed(context):
    assert has_same_items(context)
    assert context.follower.snapshots == 1, context.follower.snapshots


class StaleView:
    """A view whose proof is old."""

    version = 5

    def proof_age(self, now):
        return 9.0


def fall_silent(context):
    context.proxy.fault = ProxyFault.SILENCE


def lose_proof(context):
    context.reader.server._view = StaleView()


def send_invalid_message(context):
    context.reader.server._send_all(b"\xff\xff\xff")


def close(context):
    context.reader.server.close()


FAILURES = {
    "falls silent": fall_silent,
    "has no fresh proof": lose_proof,
    "sends an invalid message": send_invalid_message,
    "closes": close,
}


@when("the reader becomes unreliable: it {fails}")
def step_reader_fails(context, fails):
    async def fail():
        FAILURES[fails](context)

    context.run(fail())


@then("the follower gives it up within {seconds:g} s")
def step_gives_up(context, seconds):
    async def wait():
        await asyncio.wait({context.follower.task}, timeout=seconds)
        assert context.follower.task.done()
        assert isinstance(context.follower.task.exception(), RelayLostError)

    context.run(wait())


@when("a follower follows it and stops reading")
def step_follow_without_reading(context):
    async def follow():
        host, _, port = context.reader.address.rpartition(":")
        context.stalled = await asyncio.open_connection(host, int(port), limit=1024)
        reader, writer = context.stalled
        writer.write(
            b"GET /?after=0 HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\n"
            b"Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
            b"Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n"
        )
        await reader.readuntil(b"\r\n\r\n")
        reader._transport.pause_reading()
        await eventually(lambda: context.reader.followers == 1)

    context.run(follow())


@when("the reader learns of {count:d} items of {size:d} bytes each")
def step_many(context, count, size):
    async def learn():
        context.most_queued_bytes = 0
        for _ in range(count):
            context.reader.write(1, os.urandom(size))
            queued_bytes = sum(s.queued_bytes for s in context.reader.server._subscribers)
            context.most_queued_bytes = max(context.most_queued_bytes, queued_bytes)
            await asyncio.sleep(0)

    context.run(learn())


@then("the reader has no followers, and queued less than {size:d} MB for any")
def step_disconnected(context, size):
    context.run(eventually(lambda: context.reader.followers == 0))
    assert context.most_queued_bytes < size * 1_000_000, context.most_queued_bytes


def new_prover(context, store, follower):
    context.store = store
    context.view = ConfigurationView(4.5)
    context.view.adopt(GatewayConfiguration(7, (), {}))
    state = SimpleNamespace(
        decoder=SimpleNamespace(configuration_key="config"), configuration_revision=5
    )
    context.prover = FreshnessChecker(store, follower, state, context.view, None)


def fake_follower(followed):
    """Return a follower whose mirror has reached the revision of the stores of these steps."""
    return SimpleNamespace(
        followed=followed,
        mirror=SimpleNamespace(position=9),
        store_failed=lambda: None,
        store_answered=lambda revision, asked_at: None,
    )


class SlowStore:
    """A store that answers with one configuration item after a delay, and counts reads."""

    def __init__(self, delay):
        self.delay = delay
        self.reads = 0

    async def read(self, key):
        self.reads += 1
        await asyncio.sleep(self.delay)
        return ReadResult(StoredItem(key, b"", 5), 9)


@given(
    "a follower whose proof expired while it was suspended, and a store that answers in {delay:g} s"
)
def step_suspended(context, delay):
    follower = fake_follower(object())
    new_prover(context, SlowStore(delay), follower)


@when("requests with API keys arrive")
def step_requests(context):
    async def request():
        loop = asyncio.ensure_future(context.prover.run())
        await asyncio.sleep(0.02)
        assert context.store.reads == 0
        await asyncio.gather(*(context.prover.wait_for_proof(0.08) for _ in range(5)))
        context.proven = context.view.is_proven(time.monotonic())
        loop.cancel()

    context.run(request())


@then("they are served: {answer}")
def step_served(context, answer):
    assert context.proven == (answer == "yes")


@then("the store was read {count:d} time")
def step_store_reads(context, count):
    assert context.store.reads == count, context.store.reads


class FailingStore:
    """A store that fails until it has recovered."""

    def __init__(self, delay):
        self.delay = delay
        self.reads = 0
        self.recovered = False

    async def read(self, key):
        self.reads += 1
        await asyncio.sleep(self.delay)
        if not self.recovered:
            raise StoreUnavailableError("no answer")
        return ReadResult(StoredItem(key, b"", 5), 9)


@given("a node whose proof has expired, and a store that fails after {delay:g} s")
def step_failing_store(context, delay):
    follower = fake_follower(None)
    new_prover(context, FailingStore(delay), follower)


async def request_proofs(prover, seconds):
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        await prover.wait_for_proof(0.08)


@when("requests with API keys arrive for {seconds:g} s")
def step_requests_for(context, seconds):
    async def request():
        loop = asyncio.ensure_future(context.prover.run())
        await request_proofs(context.prover, seconds)
        loop.cancel()

    context.run(request())


@then("the store was read at most {count:d} times")
def step_store_reads_at_most(context, count):
    assert 1 <= context.store.reads <= count, context.store.reads


@when("the failing store recovers")
def step_store_recovers(context):
    context.store.recovered = True


@then("the node has a proof within {seconds:g} s")
def step_has_proof(context, seconds):
    async def request():
        loop = asyncio.ensure_future(context.prover.run())
        await eventually(lambda: context.view.is_proven(time.monotonic()), seconds)
        loop.cancel()

    context.run(request())


class RecordedReads:
    """A store that answers after a delay, or fails, and records when answered reads were sent."""

    def __init__(self, delay):
        self.delay = delay
        self.fails = False
        self.begun = 0
        self.answered = []

    async def read(self, key):
        sent_at = time.monotonic()
        self.begun += 1
        await asyncio.sleep(self.delay)
        if self.fails:
            raise StoreUnavailableError("no answer")
        self.answered.append(sent_at)
        return ReadResult(StoredItem(key, b"", 5), 9)


@given("a node that reads the store, which answers in {delay:g} s")
def step_recorded_reads(context, delay):
    new_prover(context, RecordedReads(delay), fake_follower(None))


@when("its process has stood still, as a read of the store {before}")
def step_stood_still(context, before):
    async def play():
        store = context.store
        context.proving = asyncio.ensure_future(context.prover.run())
        await asyncio.sleep(0.0)
        store.fails = before == "has just ended without answer"
        context.prover.request_proof()
        await eventually(lambda: store.begun == 1, 1.0)
        if before != "is under way":
            # The node has handled the answer, or the lack of one.
            await asyncio.sleep(store.delay + STALL_AFTER_READ_S)
        store.fails = False
        context.stalled_at = time.monotonic()
        context.prover.read_after_stall()

    context.run(play())


@then("a read that was sent after that is answered within {seconds:g} s")
def step_read_after(context, seconds):
    async def wait():
        answered = context.store.answered
        await eventually(lambda: answered and answered[-1] >= context.stalled_at, seconds)
        context.proving.cancel()

    context.run(wait())
