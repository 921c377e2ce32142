"""Steps about which nodes callers are named."""

from dataclasses import replace

from behave import given, then, when

from features.caller_simulation import SIZES, TICK_S, CallerSimulation
from liftrill.coordination import rendezvous
from liftrill.coordination.membership_messages import Condition, Member
from liftrill.gateway.engines.engine_table import EngineLoad
from liftrill.gateway.gateway import LEADER_CANDIDATES, LEADER_RANK_KEY
from liftrill.gateway.peers.capable_nodes import ranked
from liftrill.gateway.peers.load_codec import ReportAssembler, datagrams_from_report
from liftrill.gateway.peers.load_exchange import (
    DELEGATE_KEY,
    LoadReport,
    LoadScope,
    delegates_by_zone,
)
from liftrill.gateway.peers.load_shedding import LoadShedder
from liftrill.gateway.peers.node_capacity import NodeCapacities, NodeCapacity, NodeLoad
from liftrill.gateway.peers.node_directory import NodeDirectory
from liftrill.gateway.peers.node_selection import SelectAll, WeightedSelection
from liftrill.gateway.reader_selection import READER_KEY, ReaderSelection
from liftrill.gateway.settings import MachineLimits
from liftrill.node.membership_codec import member_from_message, member_message

CALLERS = [f"10.9.0.{number}" for number in range(5, 205)]
SETTLING_S = 5.0


# Replays


def settle(context, **options):
    context.options = options
    context.simulation = CallerSimulation(WeightedSelection(), **options)
    context.simulation.run(SETTLING_S)
    context.simulation.begin()


def compared(context, policy, allows_spillover):
    """Return the same replay, divided in another way."""
    simulation = CallerSimulation(policy, allows_spillover=allows_spillover, **context.options)
    simulation.weights = context.simulation.weights
    simulation.run(SETTLING_S)
    simulation.begin()
    simulation.run(context.simulation.now - context.simulation.measured_since)
    return simulation


@given("callers at {load:g} of what all nodes can bear")
def step_callers(context, load):
    settle(context, load=load)


@given("callers at {load:g} of what all nodes can bear, and {lost:d} in 100 reports lost")
def step_callers_lost(context, load, lost):
    settle(context, load=load, lost=lost / 100)


@given("callers at {load:g} of what all nodes can bear, half of them in one zone")
def step_callers_uneven(context, load):
    settle(context, load=load)
    context.simulation.weights = {"zone-0": 1.5, "zone-1": 0.75, "zone-2": 0.75}


@given(
    "callers at {load:g} of what all nodes can bear, and a node of {cores:g} cores with a slow link"
)
def step_slow_link(context, load, cores):
    settle(context, load=load)
    context.slow = context.simulation.nodes["node-0-2"]
    assert context.slow.cores == cores
    # It says ten times as much, which would be enough.
    context.slow.link = 0.1 * cores / 0.003 * 9_200


@when("callers call for {seconds:g} s")
def step_run(context, seconds):
    context.simulation.run(seconds)


@when("half of the nodes of a zone end")
def step_half_ends(context):
    end(context, context.simulation.zone_nodes("zone-0")[::2])


@when("a node of {cores:g} cores ends")
def step_node_ends(context, cores):
    end(
        context,
        [node for node in context.simulation.zone_nodes("zone-0") if node.cores == cores][:1],
    )


def end(context, nodes):
    context.ended_at = context.simulation.now
    for node in nodes:
        node.gone_at = context.simulation.now


@then("each size of nodes has its part of the work, within {within:d} in 100")
def step_parts(context, within):
    parts = context.simulation.work_per_capacity()
    assert all(abs(part - 1.0) <= within / 100 for part in parts.values()), parts


@then("callers leave at most {most:d} in 100 of their kept connections a second")
def step_moves(context, most):
    assert context.simulation.moved_share_per_s() <= most / 100, (
        context.simulation.moved_share_per_s()
    )


@then("the latest node is late by {latest:g} s at most in the mean, and all nodes by {usual:g} s")
def step_late(context, latest, usual):
    found = context.simulation.mean_lags_s()
    assert found[0] <= latest and found[1] <= usual, found


@then(
    "where all nodes are named alike the latest is late by {latest:g} s at least,"
    " and all by {usual:g} s"
)
def step_late_alike(context, latest, usual):
    found = compared(context, SelectAll(), False).mean_lags_s()
    assert found[0] >= latest and found[1] >= usual, found


@then("that zone's nodes have no more than {most:d} in 100 of the work")
def step_zone_part(context, most):
    zone = sum(node.accepted_cpu_s for node in context.simulation.zone_nodes("zone-0"))
    total = sum(node.accepted_cpu_s for node in context.simulation.nodes.values())
    assert zone <= total * most / 100, zone / total


@then("nodes are late by a fifth less in the mean than where zones don't help each other")
def step_helped(context):
    alone = compared(context, WeightedSelection(), False).mean_lags_s()[1]
    found = context.simulation.mean_lags_s()[1]
    assert found <= 0.8 * alone, (found, alone)


@then("nobody is named a node of another zone")
def step_own_zone(context):
    for caller in context.simulation.callers:
        zones = {context.simulation.nodes[name].member.zone for name in caller.names}
        assert zones == {caller.zone}, (caller.address, zones)


@then("no request went to an ended node later than {seconds:g} s after that")
def step_none_lost(context, seconds):
    assert context.simulation.last_failure_at > context.ended_at
    assert context.simulation.last_failure_at <= context.ended_at + seconds, (
        context.simulation.last_failure_at
    )


@then("no node is late by more than {late:g} s in the last second")
def step_in_time(context, late):
    last = [max(lags) for at, lags in context.simulation.lags if at > context.simulation.now - 1.0]
    assert max(last) <= late, max(last)


@then("that node has at most half of the work that others of its size have")
def step_slow_part(context):
    others = [n for n in context.simulation.zone_nodes("zone-0") if n.cores == context.slow.cores]
    usual = sum(n.accepted_cpu_s for n in others if n is not context.slow) / (len(others) - 1)
    assert context.slow.accepted_cpu_s <= usual / 2, (context.slow.accepted_cpu_s, usual)


# One directory


def members(count):
    return [Member(f"n{n:02d}", f"10.1.0.{n}:1", "region", "zone-0", 1) for n in range(count)]


def tell_all(context, now):
    for member in context.members:
        context.capacities.update(member.node_id, context.words[member.node_id], now)


def answers(context, callers=CALLERS, now=None):
    """Return what each caller is named, by the ids of nodes."""
    at = context.now if now is None else now
    named = [context.directory.nodes_for(context.members, "zone-0", c, at) for c in callers]
    return [[member.node_id for member in answer] for answer in named]


def times_named(context, node, **options):
    return sum(node in answer for answer in answers(context, **options))


def begin(context, words):
    context.members = members(len(words))
    context.words = {m.node_id: word for m, word in zip(context.members, words, strict=True)}
    context.capacities = NodeCapacities()
    context.directory = NodeDirectory(context.capacities)
    context.now = 10.0
    for tenths in range(101):
        tell_all(context, tenths / 10)


@given("{count:d} nodes of one zone that tell the same capacity, and use from 0 to 90 in 100 of it")
def step_alike(context, count):
    begin(context, [NodeLoad(0.5, 0.45 * n / count, 0.01) for n in range(count)])


@given("{count:d} nodes of one zone and three sizes")
def step_sizes(context, count):
    assert count == len(SIZES)
    begin(context, [NodeLoad(cores, 0.3 * cores, 0.01) for cores in SIZES])


@then("every caller is named the first {count:d} of them in their order")
def step_all_named(context, count):
    expected = [member.node_id for member in context.members[:count]]
    assert all(answer == expected for answer in answers(context))


@then("so it is where nobody tells anything")
def step_untold(context):
    context.directory = NodeDirectory(NodeCapacities())
    step_all_named(context, 64)


@when("one of them is late by {late:g} s")
def step_one_late(context, late):
    change_one(context, NodeLoad(0.5, 0.2, late))


@when("one of them has {left:d} MB of memory left")
def step_one_short(context, left):
    change_one(context, NodeLoad(0.5, 0.2, 0.01, left * 1_048_576))


def change_one(context, word):
    context.words["n03"] = word
    context.now += 0.5
    tell_all(context, context.now)


@then("it is named to some callers, and to a third of them at most")
def step_named_less(context):
    assert 0 < times_named(context, "n03") <= len(CALLERS) / 3, times_named(context, "n03")


@then("a caller gets the same answer from two nodes, and {seconds:g} s later")
def step_stable(context, seconds):
    first = answers(context)
    for tenths in range(int(seconds * 10) + 1):
        tell_all(context, context.now + tenths / 10)
    other = NodeDirectory(context.capacities)
    later = other.nodes_for(context.members, "zone-0", CALLERS[0], context.now + seconds)
    assert [member.node_id for member in later] == first[0]
    assert answers(context, now=context.now + seconds) == first


@then("every answer has {count:d} nodes, each of them once")
def step_length(context, count):
    assert all(len(answer) == len(set(answer)) == count for answer in answers(context))


@when("the words of a node of {cores:g} cores are lost for {seconds:g} s")
def step_words_lost(context, cores, seconds):
    context.lost = context.members[SIZES.index(cores)].node_id
    others = [m.node_id for m in context.members if m.node_id != context.lost]
    context.now += seconds
    for node_id in others:
        context.capacities.update(node_id, context.words[node_id], context.now)


@then("it counts as one of {cores:g} cores")
def step_counts_as(context, cores):
    words = context.capacities.node_loads([m.node_id for m in context.members], context.now)
    assert words[context.lost].capacity_cores == cores, words[context.lost]


@when("{count:d} callers of it ask at the same moment")
def step_ask(context, count):
    context.asking = [f"10.9.{n // 200}.{n % 200}" for n in range(count)]


@then("no node is named to more than {within:d} in 100 beyond its part, or to fewer than that")
def step_spread(context, within):
    found = answers(context, callers=context.asking)
    named = [node_id for answer in found for node_id in answer]
    for member, cores in zip(context.members, SIZES, strict=True):
        part = len(named) * cores / sum(SIZES)
        times = named.count(member.node_id)
        assert abs(times - part) <= part * within / 100, (member.node_id, times, part)


@when("a node of {cores:g} cores is heard again after {seconds:g} s")
def step_heard_again(context, cores, seconds):
    context.back = context.members[SIZES.index(cores)].node_id
    context.before = times_named(context, context.back)
    for tenths in range(int(seconds * 10) + 1):
        for member in context.members:
            if member.node_id != context.back:
                word = context.words[member.node_id]
                context.capacities.update(member.node_id, word, context.now + tenths / 10)
    context.now += seconds
    context.capacities.update(context.back, context.words[context.back], context.now)


@then("it is named to fewer than half as many callers as before")
def step_few(context):
    times = times_named(context, context.back)
    assert 0 < times < context.before / 2, (times, context.before)


@then("{seconds:g} s later to as many as before")
def step_full_again(context, seconds):
    for tenths in range(int(seconds * 10) + 1):
        tell_all(context, context.now + tenths / 10)
    assert times_named(context, context.back, now=context.now + seconds) == context.before


# One node


@given("a machine of {cores:g} cores with a link of {link:d} bytes a second")
def step_machine(context, cores, link):
    context.node = NodeCapacity(MachineLimits(cpu_share=cores, link_bytes_per_s=link), TICK_S)
    context.at, context.cpu_s = 100.0, 7.0
    context.node.update(context.at, context.cpu_s, 0)


def beat(context, cores, late_s=0.0):
    context.at += TICK_S + late_s
    context.cpu_s += cores * (TICK_S + late_s)
    context.node.update(context.at, context.cpu_s, 0)


@when(
    "it serves {rate:d} requests of {size:d} bytes a second for {seconds:d} s"
    " with {cpu_ms:d} ms each"
)
def step_serves(context, rate, size, seconds, cpu_ms):
    for _ in range(int(seconds / TICK_S)):
        for _ in range(int(rate * TICK_S)):
            context.node.record_request(size, 0.001)
        beat(context, rate * cpu_ms / 1000)


@then("its capacity is {cores:g} cores, within a fifth")
def step_capacity(context, cores):
    assert abs(context.node.capacity_cores / cores - 1) <= 0.2, context.node.capacity_cores


@then("its own use is all of that")
def step_all_used(context):
    assert context.node.current_load().used_share > 0.99, context.node.current_load()


@when("a beat comes {late:g} s late")
def step_late_beat(context, late):
    beat(context, 0.1, late)


@when("its beats come {late:g} s late for {seconds:g} s while it uses {cores:g} cores")
def step_late_beats(context, late, seconds, cores):
    for _ in range(int(seconds / (TICK_S + late))):
        beat(context, cores, late)


@then("it tells that it is late by {late:g} s")
def step_tells_late(context, late):
    assert abs(context.node.current_load().late_s - late) < 1e-6, context.node.current_load()


@then("{seconds:g} s later by less than {late:g} s")
def step_less_late(context, seconds, late):
    for _ in range(int(seconds / TICK_S)):
        beat(context, 0.1)
    assert context.node.current_load().late_s < late, context.node.current_load()


@then("it tells that it uses all that it has")
def step_tells_full(context):
    assert context.node.current_load().used_share > 0.9, context.node.current_load()


# A busy node


@given(
    "a node whose last {beats:d} beats were late by {late:g} s,"
    " and others that are late by {others:g} s"
)
def step_busy(context, beats, late, others):
    step_machine(context, 0.4, 0)
    context.busy = LoadShedder()
    context.others_late_s = others
    for _ in range(beats):
        busy_beat(context, late)


def busy_beat(context, late_s):
    beat(context, 0.3, late_s)
    node = context.node
    context.busy.update(node.lag_s, node.late_ticks, context.others_late_s)


@when("{seconds:g} s pass in which it is in time")
def step_in_time_again(context, seconds):
    for _ in range(int(seconds / TICK_S)):
        busy_beat(context, 0.0)


@then("it {closes} connections and {refuses} requests")
def step_sheds(context, closes, refuses):
    assert context.busy.closes_connections is {"closes": True, "keeps": False}[closes], context.busy
    assert context.busy.refuses_requests is {"refuses": True, "takes": False}[refuses], context.busy


@then("those that it refused come back within {shortest:g} to {longest:g} s")
def step_come_back(context, shortest, longest):
    times = [context.busy.retry_after_s(draw / 10) for draw in range(11)]
    assert min(times) >= shortest and max(times) <= longest, times
    assert len(set(times)) == len(times), times


# Work that isn't requests


@given(
    "{zones:d} zones with {one:d} nodes of {size:d}, {two:d} of {middle:d}"
    " and {three:d} of {small:d} millicores each"
)
def step_fleet(context, zones, one, size, two, middle, three, small):
    sizes = [size] * one + [middle] * two + [small] * three
    context.fleet = [
        Member(f"m{z}-{n}", f"10.1.{z}.{n}:1", "region", f"zone-{z}", 1, Condition.ALIVE, cores)
        for z in range(zones)
        for n, cores in enumerate(sizes)
    ]
    context.before = workers(context.fleet)


def workers(fleet):
    """Return the delegates, the readers and those who contend for the lead."""
    delegates = list(delegates_by_zone(fleet).values())
    zones = {member.zone: member for member in fleet}
    readers = [r for own in zones.values() for r in ReaderSelection(own).readers(fleet).values()]
    return [delegates, readers, ranked(LEADER_RANK_KEY, fleet)[:LEADER_CANDIDATES]]


@then("delegates, readers of the store and those who contend for the lead have {least:d} at least")
def step_able(context, least):
    for chosen in context.before:
        assert chosen and all(m.capacity_millicores >= least for m in chosen), chosen


@then("nodes that know the members in another order choose the same ones")
def step_same_choice(context):
    again = workers(list(reversed(context.fleet)))
    assert [set(chosen) for chosen in again] == [set(chosen) for chosen in context.before]


@when("all nodes of {one:d} and {two:d} millicores end")
def step_able_end(context, one, two):
    context.fleet = [m for m in context.fleet if m.capacity_millicores not in (one, two)]


@then("there are as many delegates, readers and candidates as before")
def step_as_many(context):
    now = workers(context.fleet)
    assert [len(chosen) for chosen in now] == [len(chosen) for chosen in context.before]


@then(
    "delegates, readers of the store and those who contend for the lead"
    " are the first of all by rank"
)
def step_plain_rank(context):
    by_id = {member.node_id: member for member in context.fleet}
    zones = sorted({member.zone for member in context.fleet})
    local = {z: [m.node_id for m in context.fleet if m.zone == z] for z in zones}
    delegates = {rendezvous.first(DELEGATE_KEY + z.encode(), local[z]) for z in zones}
    readers = {name for z in zones for name in rendezvous.rank(READER_KEY, local[z])[:2]}
    leaders = set(rendezvous.rank(LEADER_RANK_KEY, by_id)[:LEADER_CANDIDATES])
    found = [{m.node_id for m in chosen} for chosen in context.before]
    assert found == [delegates, readers, leaders], found


@given("a member of {cores:d} millicores")
def step_member(context, cores):
    context.member = Member("m", "10.1.0.1:1", "region", "zone", 7, Condition.SUSPECT, cores)


@then("its record arrives with that, and that of an older version with 0")
def step_record(context):
    record = member_message(context.member)
    assert member_from_message(record) == context.member
    record.ClearField("capacity_millicores")
    assert member_from_message(record) == replace(context.member, capacity_millicores=0)


# On the wire


@given("a report on {count:d} engines of a node with {cores:g} cores of which {used:g} are in use")
def step_report(context, count, cores, used):
    loads = {f"engine-{number:05d}": EngineLoad(1, 2, 3) for number in range(count)}
    context.word = NodeLoad(cores, used, 0.125, 40 * 1_048_576)
    context.report = LoadReport(LoadScope.NODE, "node-1", "zone-1", loads, node_load=context.word)


@then("the report that arrives tells the same of the node")
def step_arrives(context):
    assembler = ReportAssembler()
    datagrams = datagrams_from_report(context.report, 1)
    assert len(datagrams) > 1
    found = [assembler.add(datagram) for datagram in reversed(datagrams)]
    assert found[-1].node_load == context.word, found[-1]


@then("a report of an older version tells nothing of it")
def step_older(context):
    for datagram in (datagrams := datagrams_from_report(context.report, 2)):
        datagram.ClearField("node_load")
    assembler = ReportAssembler()
    assert [assembler.add(datagram) for datagram in datagrams][-1].node_load is None
