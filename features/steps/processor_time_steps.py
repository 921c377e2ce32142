"""Steps on the batching of periodic work and of messages to peers."""

import asyncio
import itertools
from collections import Counter
from dataclasses import replace
from types import SimpleNamespace
from unittest import mock

from behave import given, then, when

from features.gateway_support import engine_record
from features.steps.stream_origin_steps import FakeRangeStore, build_version_record
from liftrill import clock
from liftrill.coordination import rendezvous
from liftrill.coordination.membership_messages import Condition, Member
from liftrill.coordination.spending_notices import SpendingNotice
from liftrill.gateway import ticks
from liftrill.gateway.delivery_events import EngineAddress
from liftrill.gateway.engines.engine_table import EngineTable
from liftrill.gateway.peers.engine_gossip import JOINER_WEIGHT_SENDERS, EngineGossip
from liftrill.gateway.peers.peer_link import PeerCallbacks, PeerLink, new_membership
from liftrill.messages import peer_pb2 as messages


@given("loops that pause for {pauses} s")
def step_loops(context, pauses):
    context.pauses = [float(word) for word in pauses.replace(" and", ",").split(",") if word]


@when("they run for {seconds:g} s")
def step_run_loops(context, seconds):
    context.wake_times = [[] for _ in context.pauses]
    context.seconds = seconds

    async def loop_with_pause(pause_s, wake_times):
        loop = asyncio.get_running_loop()
        while True:
            await ticks.pause(pause_s)
            wake_times.append(round(loop.time(), 2))

    async def run():
        pairs = zip(context.pauses, context.wake_times, strict=True)
        tasks = [asyncio.ensure_future(loop_with_pause(pause_s, times)) for pause_s, times in pairs]
        await asyncio.sleep(seconds)
        for task in tasks:
            task.cancel()

    asyncio.run(run())


@then("they woke at no more than {count:d} different times")
def step_wake_count(context, count):
    # Loops of one tick wake within milliseconds; rounding may give them different times.
    times = sorted(itertools.chain.from_iterable(context.wake_times))
    distinct = [after for before, after in itertools.pairwise(times) if after - before > 0.03]
    assert 1 + len(distinct) <= count, times


@then("none of them ran less often than its pause and half a tick allow")
def step_run_counts(context):
    for pause_s, times in zip(context.pauses, context.wake_times, strict=True):
        least = int(context.seconds / (pause_s + ticks.TICK_S / 2)) - 1
        assert len(times) >= least, (pause_s, times)


class RecordingTransport:
    def __init__(self):
        self.sent = []

    def is_closing(self):
        return False

    def sendto(self, data, address):
        self.sent.append((address, data))


class Node:
    """A peer link whose callbacks are counted by name."""

    def __init__(self, peers):
        own = Member("node-0", "10.0.0.1:7340", "region-1", "zone-1", 1)
        others = [replace(own, node_id=f"node-{n}", address=f"10.0.0.{n}:7341") for n in peers]
        self.membership = new_membership(own, [])
        self.membership.merge(others, 0.0)
        self.received = Counter()
        names = PeerCallbacks.__dataclass_fields__
        self.link = PeerLink(
            self.membership, PeerCallbacks(**{name: self.counter(name) for name in names})
        )
        self.transport = RecordingTransport()
        self.link.connection_made(self.transport)

    def counter(self, name):
        return lambda *_: self.received.update([name])


@given("a node with {count:d} peers")
def step_node(context, count):
    context.node = Node(range(1, count + 1))


@when("it broadcasts {notices:d} spending notices and {prompts:d} long prompts in one iteration")
def step_broadcast(context, notices, prompts):
    async def broadcast():
        for number in range(prompts):
            context.node.link.broadcast_prefill(number, 2_000)
        for number in range(notices):
            context.node.link.broadcast_spending(
                SpendingNotice(f"tenant-{number}", 3.0, number + 1)
            )
        assert not context.node.transport.sent
        await asyncio.sleep(0)

    asyncio.run(broadcast())


@then("each peer gets {count:d} datagrams")
def step_datagrams(context, count):
    counts = Counter(address for address, _ in context.node.transport.sent)
    assert set(counts.values()) == {count}, counts
    assert len(counts) == 5, counts


def datagrams_to_first(context):
    """Return the datagrams sent to the first peer that got one."""
    first, _ = context.node.transport.sent[0]
    return [data for address, data in context.node.transport.sent if address == first]


@then("each peer receives {notices:d} spending notices and {prompts:d} long prompts")
def step_received(context, notices, prompts):
    peer = Node([])
    for data in datagrams_to_first(context):
        peer.link.datagram_received(data, ("10.0.0.1", 7340))
    expected = Counter(spending=notices, prefill_started=prompts)
    assert peer.received == expected, peer.received


@then("a peer of an older version receives {notices:d} spending notices")
def step_older(context, notices):
    # An older version handles the start of a prefill and ignores the rest of that datagram.
    datagrams = [messages.Datagram.FromString(data) for data in datagrams_to_first(context)]
    counted = [m for m in datagrams if m.HasField("spends") and not m.HasField("reading_begun")]
    assert len(counted) == notices, datagrams


@then("its list of members is unchanged until one of them is dead")
def step_members_cached(context):
    membership = context.node.membership
    before = membership.members()
    assert membership.members() is before
    assert len(before) == 6, before
    dead = replace(before[-1], condition=Condition.DEAD)
    membership.merge([dead], 1.0)
    assert dead.node_id not in {m.node_id for m in membership.members()}
    assert len(before) == 6, "a returned member list was modified"


@given(
    "a node with {peers:d} peers that join in one iteration, and {engines:d} engines with weights"
)
def step_joining_peers(context, peers, engines):
    context.node = Node(range(1, peers + 1))
    context.engines = EngineTable()
    for number in range(engines):
        context.engines.update(engine_record(f"e{number}", weights={"model": 1}, revision=1))


@when("it sends them the state of the engines")
def step_send_state(context):
    node = context.node
    limits = SimpleNamespace(in_force=tuple)
    gossip = EngineGossip(
        context.engines, limits, None, node.membership, node.link, log=None, metrics=None
    )

    async def join():
        for member in node.membership.alive_others():
            gossip.send_state_to_joiner(member)
        await asyncio.sleep(0)

    collect, weight = context.engines.unrecorded_state, rendezvous.weight
    with (
        mock.patch.object(EngineTable, "unrecorded_state", side_effect=collect) as collected,
        mock.patch.object(rendezvous, "weight", side_effect=weight) as hashed,
    ):
        asyncio.run(join())
    context.collected, context.hashed = collected.call_count, hashed.call_count


@then("it collected that state twice and hashed fewer than {count:d} node names")
def step_little_work(context, count):
    assert context.collected == 2, context.collected
    assert context.hashed < count, context.hashed


@then("all weights went to the peers for which it ranks among the first {count:d}")
def step_weights_sent(context, count):
    assert count == JOINER_WEIGHT_SENDERS
    node = context.node
    names = [member.node_id for member in node.membership.members()]
    own = node.membership.own.node_id
    expected = {
        f"10.0.0.{member.node_id.removeprefix('node-')}"
        for member in node.membership.alive_others()
        if own
        in rendezvous.rank(
            member.node_id.encode(), [name for name in names if name != member.node_id]
        )[:count]
    }
    assert expected
    sent = [
        (address[0], {(w.engine_id, w.version) for w in message.seen_weights})
        for address, data in node.transport.sent
        if (message := messages.Datagram.FromString(data)).seen_weights
    ]
    assert {host for host, _ in sent} == expected, sent
    engines = {(view.engine_id, 1) for view in context.engines}
    for host in expected:
        received = set().union(*(weights for to, weights in sent if to == host))
        assert received == engines, (host, received)


@given("a node with {engines:d} engines")
def step_engines(context, engines):
    context.engines = EngineTable()
    for number in range(engines):
        context.engines.update(engine_record(f"e{number}", revision=1))


@then("listing them creates no identities")
def step_identities_kept(context):
    before = [view.identity for view in context.engines]
    after = [view.identity for view in context.engines]
    assert all(a is b for a, b in zip(before, after, strict=True))


@then("an engine whose record has another address has another identity")
def step_identity_changes(context):
    view = context.engines.get("e1")
    before = view.identity
    assert before == EngineAddress("e1", view.record.address, view.number)
    context.engines.update(engine_record("e1", address="10.0.0.9:1", revision=2))
    view = context.engines.get("e1")
    assert view.identity == EngineAddress("e1", "10.0.0.9:1", view.number)
    assert view.identity != before


class ListedEngines(EngineTable):
    """Engines that count how often they are listed."""

    listed = 0

    def __iter__(self):
        self.listed += 1
        return super().__iter__()


@given("a node with {engines:d} engines, whose only version is recorded")
def step_recorded_engines(context, engines):
    context.engines = ListedEngines()
    for number in range(engines):
        context.engines.update(engine_record(f"e{number}", software_version="v1.1"))
    store = FakeRangeStore()
    membership = new_membership(Member("node-1", "10.0.0.1:1", "region-1", "zone-1", 1), [])
    context.record = build_version_record(store, store.mirror, context.engines, membership)
    context.record.load(clock.now_s())
    asyncio.run(context.record.write_due(clock.now_s()))
    context.record.load(clock.now_s())
    assert context.record.of_service("service-1") == {"v1.1"}


@when("it checks whether to record versions")
def step_check_record(context):
    context.engines.listed = 0
    asyncio.run(context.record.write_due(clock.now_s()))


@then("it does not look at each engine")
def step_not_listed(context):
    assert context.engines.listed == 0, context.engines.listed
