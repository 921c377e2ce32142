"""Steps on the exchange of loads between nodes."""

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
    context.board = LoadTable(context.engines)
    add_engine(context, name)


@when('engine "{name}" becomes known')
def step_known(context, name):
    add_engine(context, name)


@when('a peer tells of {first:d} requests on "{one}" and {second:d} on "{other}"')
@when('the peer tells of {first:d} requests on "{one}" and {second:d} on "{other}"')
def step_word(context, first, one, second, other):
    context.board.update("peer", {one: load(first), other: load(second)}, 0.0)


@when('a peer of zone "{zone}" tells of {count:d} requests on "{name}"')
def step_zone_word(context, zone, count, name):
    context.board.update("peer", {name: load(count)}, 0.0, zone)


@when('zone "{zone}" is told to have {count:d} requests on "{name}"')
def step_sum(context, zone, count, name):
    context.board.update_zone(zone, {name: load(count)}, 0.0)


@when("{seconds:g} s pass without a word")
def step_pass(context, seconds):
    context.board.expire(seconds)


@then('the peers have {first:d} requests on "{one}" and {second:d} on "{other}"')
def step_both(context, first, one, second, other):
    assert context.engines.get(one).peer_load == load(first), context.engines.get(one)
    assert context.engines.get(other).peer_load == load(second), context.engines.get(other)


@then('the peers have {count:d} requests on "{name}"')
def step_one(context, count, name):
    assert context.engines.get(name).peer_load == load(count), context.engines.get(name)


@when('a peer tells at {now:g} s that "{name}" is given {tokens:d} tokens to read')
def step_reading_told(context, now, name, tokens):
    context.board.add_peer_prefill(context.engines.get(name).number, tokens, now)


@when("a peer's word without that reading comes")
def step_word_without(context):
    context.board.update("peer", {"e1": EngineLoad(1, 0, 6_100)}, 0.2)


@then('{tokens:d} tokens of peers wait at "{name}"')
def step_peers_wait(context, tokens, name):
    assert context.engines.get(name).peer_load.waiting_tokens == tokens


@when('this node sends a prompt of {tokens:d} tokens to "{name}" at {now:g} s, and tells of it')
def step_own_reading(context, tokens, name, now):
    view = context.engines.get(name)
    view.own_load.add(EngineLoad(1, tokens, tokens + 20))
    context.board.add_own_prefill(view, tokens, now)


@then("its word at {now:g} s tells of {count:d} request and {tokens:d} waiting tokens there")
def step_own_word(context, now, count, tokens):
    context.board.expire_prefills(now)
    told = context.board.own_loads()["e1"]
    assert (told.requests, told.waiting_tokens) == (count, tokens), told


class FakeNode:
    """One node's board, as a gateway uses it."""

    def __init__(self, number, zones, engines):
        zone = f"zone-{number % zones}"
        self.own = Member(f"node-{number}", f"10.0.{number}.1:1", "region", zone, 1)
        table = EngineTable()
        for name in engines:
            table.update(engine_record(name)).own_load.add(load(1))
        self.board = LoadTable(table)
        self.directory = PrefixDirectory()

    def take(self, report, members, now):
        self.directory.apply_updates(report.part_locations, now, report.zone == self.own.zone)
        if report.scope is LoadScope.NODE:
            self.board.update(report.node, report.loads, now, report.zone)
            return []
        self.board.update_zone(report.zone, report.loads, now)
        return topology_for(members).relayed_reports(self.own, report, members)


@given("{count:d} nodes in {zones:d} zones, each with one request on each of {engines:d} engines")
def step_nodes(context, count, zones, engines):
    names = [f"e{number}" for number in range(engines)]
    context.nodes = {f"node-{n}": FakeNode(n, zones, names) for n in range(count)}


def send(context, sender, words, now):
    members = [node.own for node in context.nodes.values()]
    for word in words:
        for member in word.members:
            across = context.nodes[sender].own.zone != member.zone
            report = deliver(context, sender, replace(word.report, quota=context.quota), across)
            further = context.nodes[member.node_id].take(report, members, now)
            passed_on = sum(len(word.members) for word in further)
            context.most_passed_on = max(context.most_passed_on, passed_on)
            send(context, member.node_id, further, now)


def deliver(context, sender, report, across):
    """Return what a report is after its way through datagrams."""
    assembler, found = ReportAssembler(), None
    for datagram in datagrams_from_report(report, 1):
        data = datagram.SerializeToString()
        context.longest = max(context.longest, len(data))
        context.sent[sender] = context.sent.get(sender, 0) + 1
        context.across += across
        found = assembler.add(peer_pb2.Datagram.FromString(data))
    assert found is not None
    return found


@when("they tell each other of their load {rounds:d} times")
def step_rounds(context, rounds):
    members = [node.own for node in context.nodes.values()]
    topology = topology_for(members)
    for number in range(rounds):
        context.sent, context.across, context.longest = {}, 0, 0
        context.most_passed_on = 0
        context.quota = getattr(context, "quota", None)
        for name, node in context.nodes.items():
            now = number * 0.1
            send(
                context,
                name,
                topology.own_reports(node.own, node.board, node.directory.updates(now), members),
                now,
            )


@then("every node counts {count:d} requests on each engine")
def step_whole(context, count):
    for name, node in context.nodes.items():
        counted = [view.requests for view in node.board.engines]
        assert counted == [count] * len(counted), (name, counted)


@given("one of them has sent a shared part to the kept store")
def step_saved(context):
    context.part = part_number("salt", "part")
    first = next(iter(context.nodes.values()))
    first.directory.record_prefill(context.part, 7, 0.0, saved=True, announce=True)


@then("every node knows that the part is kept, and forgets it after {seconds:g} s")
def step_kept(context, seconds):
    for name, node in context.nodes.items():
        assert node.directory.is_saved(context.part, 0.2), name
        assert node.directory.holder(context.part, 0.2) == 7, name
        assert not node.directory.is_saved(context.part, seconds + 0.2), name


@given(
    "one of them has sent {count:d} shared parts to the kept store,"
    " and {tenants:d} tenants spend there"
)
def step_saved_many(context, count, tenants):
    first = next(iter(context.nodes.values()))
    context.parts = [part_number("salt", f"part-{number}") for number in range(count)]
    for part in context.parts:
        first.directory.record_prefill(part, 7, 0.0, saved=True, announce=True)
    spent = {f"tenant-{number:08d}": 9_200.0 * number for number in range(1, tenants + 1)}
    context.quota = QuotaReport(1, spent)


@then("every node knows of {count:d} kept parts")
def step_knows_parts(context, count):
    for name, node in context.nodes.items():
        known = sum(node.directory.is_saved(part, 0.2) for part in context.parts)
        assert known == count, (name, known)


@then("no node passes one report on to more than {most:d} others")
def step_passed_on(context, most):
    assert 0 < context.most_passed_on <= most, context.most_passed_on


@then("no datagram has more than {most:d} bytes")
def step_longest(context, most):
    assert 0 < context.longest <= most, context.longest


@given("a report on {engines:d} engines in several datagrams")
def step_long_report(context, engines):
    loads = {f"engine-{number:05d}": load(number + 1) for number in range(engines)}
    context.report = LoadReport(LoadScope.NODE, "node-1", "zone-1", loads, (), QuotaReport(1, {}))
    context.assembler = ReportAssembler()


@when("one of them is lost")
def step_piece_lost(context):
    datagrams = datagrams_from_report(context.report, 1)
    assert len(datagrams) > 2
    context.taken = [context.assembler.add(d) for d in datagrams[1:]]


@then("nothing is taken from the others")
def step_nothing_taken(context):
    assert context.taken == [None] * len(context.taken), context.taken


@then("the whole of the next report is taken, whatever the order of its datagrams")
def step_next_taken(context):
    datagrams = datagrams_from_report(context.report, 2)
    taken = [context.assembler.add(d) for d in reversed(datagrams)]
    assert taken[:-1] == [None] * (len(taken) - 1)
    assert taken[-1].loads == context.report.loads


@then("nobody tells of it any more after {seconds:g} s")
def step_no_news(context, seconds):
    for name, node in context.nodes.items():
        assert node.directory.updates(seconds + 0.2).zone == (), name


@then("no node sent more than {most:d} datagrams in a round")
def step_most(context, most):
    assert max(context.sent.values()) <= most, max(context.sent.values())


@then("at most {most:d} datagrams crossed between zones in a round")
def step_across(context, most):
    assert context.across <= most, context.across


@then(
    "the interval of a node's words is {short:g} s in a zone of {few:d}"
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
def step_still_used(context, seconds):
    assert context.known_engines.expire_vanished(10.0 + seconds) == []
    assert context.known_engines.get("engine-1") is not None
