"""Steps about what nodes do seldom or together."""

import asyncio
import itertools
from collections import Counter
from dataclasses import replace

from behave import given, then, when

from liftrill.coordination.membership_messages import Condition, Member
from liftrill.coordination.spending_notices import SpendingNotice
from liftrill.gateway import ticks
from liftrill.gateway.peers.peer_link import PeerCallbacks, PeerLink, new_membership
from liftrill.messages import peer_pb2 as messages


@given("loops that pause for {pauses} s")
def step_loops(context, pauses):
    context.pauses = [float(word) for word in pauses.replace(" and", ",").split(",") if word]


@when("they run for {seconds:g} s")
def step_run_loops(context, seconds):
    context.woken = [[] for _ in context.pauses]
    context.seconds = seconds

    async def turn(pause_s, woken):
        loop = asyncio.get_running_loop()
        while True:
            await ticks.pause(pause_s)
            woken.append(round(loop.time(), 2))

    async def run():
        pairs = zip(context.pauses, context.woken, strict=True)
        tasks = [asyncio.ensure_future(turn(pause_s, woken)) for pause_s, woken in pairs]
        await asyncio.sleep(seconds)
        for task in tasks:
            task.cancel()

    asyncio.run(run())


@then("they woke at no more than {count:d} moments")
def step_moments(context, count):
    # Loops that wake at one tick do so within milliseconds, which rounding may divide.
    moments = sorted(itertools.chain.from_iterable(context.woken))
    later = [after for before, after in itertools.pairwise(moments) if after - before > 0.03]
    assert 1 + len(later) <= count, moments


@then("none of them turned less often than its pause and half a tick allow")
def step_turns(context):
    for pause_s, woken in zip(context.pauses, context.woken, strict=True):
        least = int(context.seconds / (pause_s + ticks.TICK_S / 2)) - 1
        assert len(woken) >= least, (pause_s, woken)


class RecordingTransport:
    def __init__(self):
        self.sent = []

    def is_closing(self):
        return False

    def sendto(self, data, address):
        self.sent.append((address, data))


class Node:
    """A link whose callbacks count what it is told."""

    def __init__(self, peers):
        own = Member("node-0", "10.0.0.1:7340", "region-1", "zone-1", 1)
        others = [replace(own, node_id=f"node-{n}", address=f"10.0.0.{n}:7341") for n in peers]
        self.membership = new_membership(own, [])
        self.membership.merge(others, 0.0)
        self.told = Counter()
        names = PeerCallbacks.__dataclass_fields__
        self.link = PeerLink(
            self.membership, PeerCallbacks(**{name: self.counter(name) for name in names})
        )
        self.transport = RecordingTransport()
        self.link.connection_made(self.transport)

    def counter(self, name):
        return lambda *_: self.told.update([name])


@given("a node with {count:d} peers")
def step_node(context, count):
    context.node = Node(range(1, count + 1))


@when("it tells of {spendings:d} spendings and of {readings:d} long prompts in one turn")
def step_tell(context, spendings, readings):
    async def turn():
        for number in range(readings):
            context.node.link.broadcast_prefill(number, 2_000)
        for number in range(spendings):
            context.node.link.broadcast_spending(
                SpendingNotice(f"tenant-{number}", 3.0, number + 1)
            )
        assert not context.node.transport.sent
        await asyncio.sleep(0)

    asyncio.run(turn())


@then("each peer gets {count:d} datagrams")
def step_datagrams(context, count):
    got = Counter(address for address, _ in context.node.transport.sent)
    assert set(got.values()) == {count}, got
    assert len(got) == 5, got


def received(context):
    """Return what one peer was sent."""
    first, _ = context.node.transport.sent[0]
    return [data for address, data in context.node.transport.sent if address == first]


@then("each peer learns of {spendings:d} spendings and of {readings:d} long prompts")
def step_learns(context, spendings, readings):
    peer = Node([])
    for data in received(context):
        peer.link.datagram_received(data, ("10.0.0.1", 7340))
    expected = Counter(spending=spendings, prefill_started=readings)
    assert peer.told == expected, peer.told


@then("a peer of an older version learns of {spendings:d} spendings")
def step_older(context, spendings):
    # It looks for a reading first, and then for nothing else.
    told = [messages.Datagram.FromString(data) for data in received(context)]
    counted = [m for m in told if m.HasField("spends") and not m.HasField("reading_begun")]
    assert len(counted) == spendings, told


@then("its list of members stays the same until one of them is dead")
def step_list(context):
    membership = context.node.membership
    before = membership.members()
    assert membership.members() is before
    assert len(before) == 6, before
    gone = replace(before[-1], condition=Condition.DEAD)
    membership.merge([gone], 1.0)
    assert gone.node_id not in {m.node_id for m in membership.members()}
    assert len(before) == 6, "a list that was handed out has changed"
