"""Steps about peers that have stopped reporting."""

import random

from behave import given, then, when

from liftrill.coordination.membership_messages import Member
from liftrill.gateway.peers.load_exchange import topology_for
from liftrill.gateway.peers.silence_detector import MAX_REPORT_INTERVAL_S, SilenceDetector

MINUTE_S = 60.0


@given(
    "{count:d} nodes of {zones:d} zones that report to each other,"
    " of which {lost:d} in 100 datagrams are lost"
)
def step_nodes(context, count, zones, lost):
    context.peers = [
        Member(f"n{n}", f"10.0.{n}.1:1", "region", f"zone-{n % zones}", 1) for n in range(count)
    ]
    # The first zone's nodes hear each other, and all of a small fleet do.
    topology = topology_for(context.peers)
    interval = max(topology.interval_s(context.peers[0], context.peers), MAX_REPORT_INTERVAL_S)
    source = random.Random(7)
    context.listeners = [m for m in context.peers if m.zone == "zone-0"][1:6]
    context.silences = {m.node_id: SilenceDetector() for m in context.listeners}
    context.left_out = set()
    context.at = 0.0
    while context.at < MINUTE_S:
        for peer in context.peers:
            if peer.zone != "zone-0" and len(context.peers) > 12:
                continue
            for listener, silence in context.silences.items():
                if peer.node_id != listener and source.random() * 100 >= lost:
                    silence.record_report(peer.node_id, context.at)
        context.at += interval
        for silence in context.silences.values():
            named = {m.node_id for m in silence.reporting_members(context.peers, context.at)}
            context.left_out |= {m.node_id for m in context.peers} - named


def hear_all_but(context, absent, until):
    while context.at < until:
        context.at += MAX_REPORT_INTERVAL_S
        for peer in context.peers:
            if peer.node_id not in absent:
                for silence in context.silences.values():
                    silence.record_report(peer.node_id, context.at)


@when("one of them ends without a word")
def step_ends(context):
    context.gone = context.peers[0].node_id
    context.ended_at = context.at


@when("all but one of them are cut off from it")
def step_all_cut(context):
    context.at += 30.0


@when("it is heard again after {seconds:g} s")
def step_heard_again(context, seconds):
    hear_all_but(context, {context.gone}, context.at + seconds)
    hear_all_but(context, set(), context.at + MAX_REPORT_INTERVAL_S)


@then("nobody of its zone names it {late:g} s later")
def step_not_named(context, late):
    hear_all_but(context, {context.gone}, context.ended_at + late)
    at = context.ended_at + late
    for listener, silence in context.silences.items():
        named = {m.node_id for m in silence.reporting_members(context.peers, at)}
        assert context.gone not in named, listener


@then("no other node of that zone was left out in a minute before")
def step_none_left_out(context):
    assert context.left_out == set(), context.left_out


@then("it still names all of them")
def step_names_all(context):
    for silence in context.silences.values():
        assert silence.reporting_members(context.peers, context.at) == context.peers


@then("everybody who hears it names it")
def step_named_again(context):
    for silence in context.silences.values():
        named = {m.node_id for m in silence.reporting_members(context.peers, context.at)}
        assert context.gone in named
