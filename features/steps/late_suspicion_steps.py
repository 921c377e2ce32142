"""Steps on nodes that learn late that another one has ended."""

import random

from behave import given, then, when

from features.steps.coordination_steps import MemberNetwork
from features.steps.stream_origin_steps import FakeRangeStore
from features.steps.unrecorded_version_steps import MAX_RECORD_DELAY_S, Node, recorded
from liftrill import clock
from liftrill.coordination.membership_messages import Member
from liftrill.gateway.peers import peer_link
from liftrill.gateway.peers.capable_nodes import ranked
from liftrill.gateway.streams.version_record import RANK_KEY

PLAYS = 20
# How long the nodes have known each other, and this node no change of them.
SETTLED_S, UNCHANGED_S = 15.0, 50.0


def gateway_parameters():
    """Return the parameters of the membership protocol among gateways."""
    return peer_link.new_membership(Member("x", "x:1", "r", "z", 1), [])._parameters


@given("{count:d} nodes with the membership of gateways, of which one ends as v1.2 comes")
def step_fleet(context, count):
    context.count = count


def play(context, seed, came_back_s):
    """Return the version at which a stream of the ended node goes on, or None if it is refused."""
    rng = random.Random(seed)
    network = MemberNetwork(context.count, gateway_parameters())
    network.clock.run(SETTLED_S + rng.random())
    writer = int(ranked(RANK_KEY, network.members[0].members())[0].node_id[1:])
    ended = rng.choice([n for n in range(context.count) if n != writer])
    store = FakeRangeStore()
    context.run(store.transact((), (recorded("v1.1"),)))
    node = Node(store.mirror, store, {}, uptime_s=100.0)
    node.record._membership = network.members[writer]
    node.add("v1.1", 4)
    node.load()
    began_at, real = clock.now_s(), clock.now_s
    came_at = network.clock.now()
    node.record.load(began_at)
    node.record._note_members(began_at - UNCHANGED_S)
    node.record._nodes_changed_at = began_at - UNCHANGED_S
    network.crashed.add(ended)
    node.add("v1.2", 4)
    try:
        for turn in range(int(came_back_s / MAX_RECORD_DELAY_S)):
            network.clock.run(came_at + turn * MAX_RECORD_DELAY_S)
            now = began_at + turn * MAX_RECORD_DELAY_S
            clock.now_s = lambda now=now: now
            node.record._freshness.as_of = now
            context.run(node.record.write_due(now))
            node.load()
        return context.run(node.resume("stream"))
    finally:
        clock.now_s = real


@when("the node that writes first maintains the record, and a caller comes back after {back:g} s")
def step_play(context, back):
    context.went_on = [play(context, seed, back) for seed in range(PLAYS)]


@then("at least {least:d} of the plays go on at {version}")
def step_go_on(context, least, version):
    count = context.went_on.count(version)
    print(f"{count} of {PLAYS} go on")
    assert count >= least, context.went_on
