"""Steps on the exchange of load reports between nodes."""

from dataclasses import replace

from behave import given, then, when

from features.gateway_support import engine_record
from liftrill.coordination.membership_messages import Member
from liftrill.coordination.quota import QuotaReport
from liftrill.gateway.engines.engine_table import EngineLoad, EngineTable
from liftrill.gateway.engines.prefix_directory import PrefixDirectory, part_number
from liftrill.gateway.peers.load_codec import ReportAssembler, datagrams_from_report
from liftrill.gateway.peers.load_exchange import LoadReport, LoadScope, ZoneTopology, topology_for
from liftrill.gateway.peers.load_table import LoadTable
from liftrill.messages import peer_pb2


def load(requests):
    return EngineLoad(requests, 100 * requests, 200 * requests, 300 * requests)


def add_engine(context, name):
    context.engines.update(engine_record(name))


@given('an engine table with engine "{name}"')
def step_table(context, name):
    context.engines = EngineTable()
    context.load_table = LoadTable(context.engines)
    add_engine(context, name)


@when('engine "{name}" becomes known')
def step_known(context, name):
    add_engine(context, name)


@when('a peer reports {first:d} requests on "{one}" and {second:d} on "{other}"')
@when('the peer reports {first:d} requests on "{one}" and {second:d} on "{other}"')
def step_report(context, first, one, second, other):
    context.load_table.update("peer", {one: load(first), other: load(second)}, 0.0)


@when('a peer of zone "{zone}" reports {count:d} requests on "{name}"')
def step_zone_report(context, zone, count, name):
    context.load_table.update("peer", {name: load(count)}, 0.0, zone)


@when('zone "{zone}" is reported to have {count:d} requests on "{name}"')
def step_sum(context, zone, count, name):
    context.load_table.update_zone(zone, {name: load(count)}, 0.0)


@when("{seconds:g} s pass without a report")
def step_pass(context, seconds):
    context.load_table.expire(seconds)


@then('the peers have {first:d} requests on "{one}" and {second:d} on "{other}"')
def step_both(context, first, one, second, other):
    assert context.engines.get(one).peer_load == load(first), context.engines.get(one)
    assert context.engines.get(other).peer_load == load(second), context.engines.get(other)


@then('the peers have {count:d} requests on "{name}"')
def step_one(context, count, name):
    assert context.engines.get(name).peer_load == load(count), context.engines.get(name)


@when('a peer announces at {now:g} s that a prefill of {tokens:d} tokens starts at "{name}"')
def step_prefill_announced(context, now, name, tokens):
    context.load_table.add_peer_prefill(context.engines.get(name).number, tokens, now)


@when("a peer's report without that prefill arrives")
def step_report_without_prefill(context):
    context.load_table.update("peer", {"e1": EngineLoad(1, 0, 6_100)}, 0.2)


@then('{tokens:d} tokens of peers wait at "{name}"')
def step_peers_wait(context, tokens, name):
    assert context.engines.get(name).peer_load.waiting_tokens == tokens


@when('this node sends a prompt of {tokens:d} tokens to "{name}" at {now:g} s, and announces it')
def step_own_prefill(context, tokens, name, now):
    view = context.engines.get(name)
    view.own_load.add(EngineLoad(1, tokens, tokens + 20))
    context.load_table.add_own_prefill(view, tokens, now)


@then("its report at {now:g} s has {count:d} request and {tokens:d} waiting tokens there")
def step_own_report(context, now, count, tokens):
    context.load_table.expire_prefills(now)
    reported = context.load_table.own_loads()["e1"]
    assert (reported.requests, reported.waiting_tokens) == (count, tokens), reported


class FakeNode:
    """One node's load table and prefix directory, as a gateway uses them."""

    def __init__(self, number, zones, engines):
        zone = f"zone-{number % zones}"
        self.own = Member(f"node-{number}", f"10.0.{number}.1:1", "region", zone, 1)
        table = EngineTable()
        for name in engines:
            table.update(engine_record(name)).own_load.add(load(1))
        self.load_table = LoadTable(table)
        self.directory = PrefixDirectory()

    def apply(self, report, members, now):
        self.directory.apply_updates(report.part_locations, now, report.zone == self.own.zone)
        if report.scope is LoadScope.NODE:
            self.load_table.update(report.node, report.loads, now, report.zone)
            return []
        self.load_table.update_zone(report.zone, report.loads, now)
        return topology_for(members).relayed_reports(self.own, report, members)


@given("{count:d} nodes in {zones:d} zones, each with one request on each of {engines:d} engines")
def step_nodes(context, count, zones, engines):
    names = [f"e{number}" for number in range(engines)]
    context.nodes = {f"node-{n}": FakeNode(n, zones, names) for n in range(count)}


def send(context, sender, messages, now):
    members = [node.own for node in context.nodes.values()]
    for message in messages:
        for member in message.members:
            across = context.nodes[sender].own.zone != member.zone
            report = deliver(context, sender, replace(message.report, quota=context.quota), across)
            relayed = context.nodes[member.node_id].apply(report, members, now)
            receivers = sum(len(message.members) for message in relayed)
            context.most_relayed = max(context.most_relayed, receivers)
            send(context, member.node_id, relayed, now)


def deliver(context, sender, report, across):
    """Return a report as its receiver assembles it from datagrams."""
    assembler, received = ReportAssembler(), None
    for datagram in datagrams_from_report(report, 1):
        data = datagram.SerializeToString()
        context.longest_datagram = max(context.longest_datagram, len(data))
        context.sent[sender] = context.sent.get(sender, 0) + 1
        context.across += across
        received = assembler.add(peer_pb2.Datagram.FromString(data))
    assert received is not None
    return received


@when("they exchange load reports {rounds:d} times")
def step_rounds(context, rounds):
    members = [node.own for node in context.nodes.values()]
    topology = topology_for(members)
    for number in range(rounds):
        context.sent, context.across, context.longest_datagram = {}, 0, 0
        context.most_relayed = 0
        context.quota = getattr(context, "quota", None)
        for name, node in context.nodes.items():
            now = number * 0.1
            send(
                context,
                name,
                topology.own_reports(
                    node.own, node.load_table, node.directory.updates(now), members
                ),
                now,
            )


@then("every node counts {count:d} requests on each engine")
def step_whole(context, count):
    for name, node in context.nodes.items():
        counted = [view.requests for view in node.load_table.engines]
        assert counted == [count] * len(counted), (name, counted)


@given("one of them has saved a shared part in the prefix store")
def step_saved(context):
    context.part = part_number("salt", "part")
    first = next(iter(context.nodes.values()))
    first.directory.record_prefill(context.part, 7, 0.0, saved=True, announce=True)


@then("every node knows that the part is saved, and forgets it after {seconds:g} s")
def step_saved_known(context, seconds):
    for name, node in context.nodes.items():
        assert node.directory.is_saved(context.part, 0.2), name
        assert node.directory.holder(context.part, 0.2) == 7, name
        assert not node.directory.is_saved(context.part, seconds + 0.2), name


@given(
    "one of them has saved {count:d} shared parts in the prefix store,"
    " and {tenants:d} tenants use quota there"
)
def step_saved_many(context, count, tenants):
    first = next(iter(context.nodes.values()))
    context.parts = [part_number("salt", f"part-{number}") for number in range(count)]
    for part in context.parts:
        first.directory.record_prefill(part, 7, 0.0, saved=True, announce=True)
    spent = {f"tenant-{number:08d}": 9_200.0 * number for number in range(1, tenants + 1)}
    context.quota = QuotaReport(1, spent)


@then("every node knows of {count:d} saved parts")
def step_knows_parts(context, count):
    for name, node in context.nodes.items():
        known = sum(node.directory.is_saved(part, 0.2) for part in context.parts)
        assert known == count, (name, known)


@then("no node relays one report to more than {most:d} others")
def step_relayed(context, most):
    assert 0 < context.most_relayed <= most, context.most_relayed


@then("no datagram has more than {most:d} bytes")
def step_longest_datagram(context, most):
    assert 0 < context.longest_datagram <= most, context.longest_datagram


@given("a report on {engines:d} engines in several datagrams")
def step_long_report(context, engines):
    loads = {f"engine-{number:05d}": load(number + 1) for number in range(engines)}
    context.report = LoadReport(LoadScope.NODE, "node-1", "zone-1", loads, (), QuotaReport(1, {}))
    context.assembler = ReportAssembler()


@when("one of its datagrams is lost")
def step_datagram_lost(context):
    datagrams = datagrams_from_report(context.report, 1)
    assert len(datagrams) > 2
    context.received = [context.assembler.add(d) for d in datagrams[1:]]


@then("the others result in no report")
def step_no_report(context):
    assert context.received == [None] * len(context.received), context.received


@then("the next report is received whole, whatever the order of its datagrams")
def step_next_received(context):
    datagrams = datagrams_from_report(context.report, 2)
    received = [context.assembler.add(d) for d in reversed(datagrams)]
    assert received[:-1] == [None] * (len(received) - 1)
    assert received[-1].loads == context.report.loads


@then("no node reports it any more after {seconds:g} s")
def step_not_reported(context, seconds):
    for name, node in context.nodes.items():
        assert node.directory.updates(seconds + 0.2).zone == (), name


@then("no node sent more than {most:d} datagrams in a round")
def step_most(context, most):
    assert max(context.sent.values()) <= most, max(context.sent.values())


@then("at most {most:d} datagrams crossed between zones in a round")
def step_across(context, most):
    assert context.across <= most, context.across


@then(
    "the interval between a node's reports is {short:g} s in a zone of {few:d}"
    " and {long:g} s in one of {many:d}"
)
def step_interval(context, short, few, long, many):
    def members(count):
        return [Member(f"n{i}", f"10.0.{i}.1:1", "region", "zone", 1) for i in range(count)]

    assert ZoneTopology().interval_s(members(few)[0], members(few)) == short
    assert abs(ZoneTopology().interval_s(members(many)[0], members(many)) - long) < 1e-9


@given("an engine whose record is missing after an outage of the store")
def step_vanished(context):
    context.known_engines = EngineTable()
    context.known_engines.update(engine_record("engine-1"))
    context.known_engines.mark_vanished(["engine-1"], 10.0)


@then("it is used {early:g} s later, and not {late:g} s later")
def step_used_until(context, early, late):
    assert context.known_engines.expire_vanished(10.0 + early) == []
    assert context.known_engines.get("engine-1") is not None
    assert context.known_engines.expire_vanished(10.0 + late) == ["engine-1"]


@when("its record comes back within {seconds:g} s")
def step_back(context, seconds):
    context.known_engines = EngineTable()
    context.known_engines.update(engine_record("engine-1"))
    context.known_engines.mark_vanished(["engine-1"], 10.0)
    context.known_engines.expire_vanished(10.0 + seconds)
    context.known_engines.update(engine_record("engine-1"))


@then("it is still known {seconds:g} s later")
def step_still_known(context, seconds):
    assert context.known_engines.expire_vanished(10.0 + seconds) == []
    assert context.known_engines.get("engine-1") is not None
