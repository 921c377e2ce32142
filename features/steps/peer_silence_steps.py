"""Steps on peers that have stopped reporting."""

import random

from behave import given, then, when

from liftrill.coordination.membership_messages import Member
from liftrill.gateway.peers.load_exchange import topology_for
from liftrill.gateway.peers.silence_detector import MAX_REPORT_INTERVAL_S, SilenceDetector

MINUTE_S = 60.0


@given(
    "{count:d} nodes of {zones:d} zones that report to each other,"
    " with {lost:d} % of the datagrams lost"
)
def step_nodes(context, count, zones, lost):
    context.peers = [
        Member(f"n{n}", f"10.0.{n}.1:1", "region", f"zone-{n % zones}", 1) for n in range(count)
    ]
    # Nodes report to their own zone, in a small fleet to all nodes.
    topology = topology_for(context.peers)
    interval = max(topology.interval_s(context.peers[0], context.peers), MAX_REPORT_INTERVAL_S)
    rng = random.Random(7)
    context.listeners = [m for m in context.peers if m.zone == "zone-0"][1:6]
    context.detectors = {m.node_id: SilenceDetector() for m in context.listeners}
    context.omitted = set()
    context.at = 0.0
    while context.at < MINUTE_S:
        for peer in context.peers:
            if peer.zone != "zone-0" and len(context.peers) > 12:
                continue
            for listener, detector in context.detectors.items():
                if peer.node_id != listener and rng.random() * 100 >= lost:
                    detector.record_report(peer.node_id, context.at)
        context.at += interval
        for detector in context.detectors.values():
            listed = {m.node_id for m in detector.reporting_members(context.peers, context.at)}
            context.omitted |= {m.node_id for m in context.peers} - listed


def report_all_but(context, absent, until):
    while context.at < until:
        context.at += MAX_REPORT_INTERVAL_S
        for peer in context.peers:
            if peer.node_id not in absent:
                for detector in context.detectors.values():
                    detector.record_report(peer.node_id, context.at)


@when("one of them stops without notice")
def step_stops(context):
    context.stopped = context.peers[0].node_id
    context.stopped_at = context.at


@when("one of them stops receiving reports from all others")
def step_all_cut(context):
    context.at += 30.0


@when("it reports again after {seconds:g} s")
def step_reports_again(context, seconds):
    report_all_but(context, {context.stopped}, context.at + seconds)
    report_all_but(context, set(), context.at + MAX_REPORT_INTERVAL_S)


@then("no node of its zone lists it {late:g} s later")
def step_not_listed(context, late):
    report_all_but(context, {context.stopped}, context.stopped_at + late)
    at = context.stopped_at + late
    for listener, detector in context.detectors.items():
        listed = {m.node_id for m in detector.reporting_members(context.peers, at)}
        assert context.stopped not in listed, listener


@then("no other node of that zone was omitted in the minute before")
def step_none_omitted(context):
    assert context.omitted == set(), context.omitted


@then("it still lists all of them")
def step_lists_all(context):
    for detector in context.detectors.values():
        assert detector.reporting_members(context.peers, context.at) == context.peers


@then("every node that gets its reports lists it")
def step_listed_again(context):
    for detector in context.detectors.values():
        listed = {m.node_id for m in detector.reporting_members(context.peers, context.at)}
        assert context.stopped in listed
