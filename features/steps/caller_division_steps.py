"""Steps on the selection of nodes for callers."""

from dataclasses import replace

from behave import given, then, when

from features.caller_simulation import NODE_CORES, TICK_S, CallerSimulation
from liftrill.coordination import rendezvous
from liftrill.coordination.membership_messages import Condition, Member
from liftrill.gateway.engines.engine_table import EngineLoad
from liftrill.gateway.peers.capable_nodes import (
    LEADER_CANDIDATES,
    LEADER_RANK_KEY,
    leader_candidates,
)
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


# Simulations


def settle(context, **options):
    context.options = options
    context.simulation = CallerSimulation(WeightedSelection(), **options)
    context.simulation.run(SETTLING_S)
    context.simulation.start_measuring()


def simulate_alternative(context, policy, allows_spillover):
    """Return the same simulation with another policy, after the same time."""
    simulation = CallerSimulation(policy, allows_spillover=allows_spillover, **context.options)
    simulation.weights = context.simulation.weights
    simulation.run(SETTLING_S)
    simulation.start_measuring()
    simulation.run(context.simulation.now - context.simulation.measured_since)
    return simulation


@given("callers at {load:g} of the capacity of all nodes")
def step_callers(context, load):
    settle(context, load=load)


@given("callers at {load:g} of the capacity of all nodes, with {lost:d} % of the reports lost")
def step_callers_lost(context, load, lost):
    settle(context, load=load, loss_rate=lost / 100)


@given("callers at {load:g} of the capacity of all nodes, half of them in one zone")
def step_callers_uneven(context, load):
    settle(context, load=load)
    context.simulation.weights = {"zone-0": 1.5, "zone-1": 0.75, "zone-2": 0.75}


@given(
    "callers at {load:g} of the capacity of all nodes,"
    " and a node of {cores:g} cores with a slow link"
)
def step_slow_link(context, load, cores):
    settle(context, load=load)
    context.slow_node = context.simulation.nodes["node-0-2"]
    assert context.slow_node.cores == cores
    # The node itself reports ten times this capacity, which would suffice.
    context.slow_node.link_bytes_per_s = 0.1 * cores / 0.003 * 9_200


@when("callers send requests for {seconds:g} s")
def step_run(context, seconds):
    context.simulation.run(seconds)


@when("half of the nodes of a zone stop")
def step_half_stops(context):
    stop(context, context.simulation.zone_nodes("zone-0")[::2])


@when("a node of {cores:g} cores stops")
def step_node_stops(context, cores):
    stop(
        context,
        [node for node in context.simulation.zone_nodes("zone-0") if node.cores == cores][:1],
    )


def stop(context, nodes):
    context.stopped_at = context.simulation.now
    for node in nodes:
        node.stopped_at = context.simulation.now


@then("each size of nodes has its share of the work, within {within:d} %")
def step_work_shares(context, within):
    ratios = context.simulation.work_per_capacity()
    assert all(abs(ratio - 1.0) <= within / 100 for ratio in ratios.values()), ratios


@then("callers move at most {most:d} % of their persistent connections per second")
def step_moves(context, most):
    assert context.simulation.moved_share_per_s() <= most / 100, (
        context.simulation.moved_share_per_s()
    )


@then(
    "the mean lag is at most {largest:g} s for the most delayed node, and {mean:g} s for all nodes"
)
def step_mean_lag(context, largest, mean):
    found = context.simulation.mean_lags_s()
    assert found[0] <= largest and found[1] <= mean, found


@then(
    "without weights the mean lag is at least {largest:g} s for the most delayed node,"
    " and {mean:g} s for all nodes"
)
def step_lag_without_weights(context, largest, mean):
    found = simulate_alternative(context, SelectAll(), False).mean_lags_s()
    assert found[0] >= largest and found[1] >= mean, found


@then("that zone's nodes have at most {most:d} % of the work")
def step_zone_share(context, most):
    zone = sum(node.accepted_cpu_s for node in context.simulation.zone_nodes("zone-0"))
    total = sum(node.accepted_cpu_s for node in context.simulation.nodes.values())
    assert zone <= total * most / 100, zone / total


@then("the mean lag is a fifth less than without spillover between zones")
def step_spillover(context):
    alone = simulate_alternative(context, WeightedSelection(), False).mean_lags_s()[1]
    found = context.simulation.mean_lags_s()[1]
    assert found <= 0.8 * alone, (found, alone)


@then("no caller is given a node of another zone")
def step_own_zone(context):
    for caller in context.simulation.callers:
        zones = {context.simulation.nodes[name].member.zone for name in caller.node_names}
        assert zones == {caller.zone}, (caller.address, zones)


@then("no request went to a stopped node later than {seconds:g} s after that")
def step_no_late_requests(context, seconds):
    assert context.simulation.last_failure_at > context.stopped_at
    assert context.simulation.last_failure_at <= context.stopped_at + seconds, (
        context.simulation.last_failure_at
    )


@then("no node lags by more than {late:g} s in the last second")
def step_lag_bounded(context, late):
    last = [max(lags) for at, lags in context.simulation.lags if at > context.simulation.now - 1.0]
    assert max(last) <= late, max(last)


@then("that node does at most half of the work of others of its size")
def step_slow_share(context):
    others = [
        n for n in context.simulation.zone_nodes("zone-0") if n.cores == context.slow_node.cores
    ]
    mean_s = sum(n.accepted_cpu_s for n in others if n is not context.slow_node) / (len(others) - 1)
    assert context.slow_node.accepted_cpu_s <= mean_s / 2, (
        context.slow_node.accepted_cpu_s,
        mean_s,
    )


# One directory


def members(count):
    return [Member(f"n{n:02d}", f"10.1.0.{n}:1", "region", "zone-0", 1) for n in range(count)]


def report_all(context, now):
    for member in context.members:
        context.capacities.update(member.node_id, context.loads[member.node_id], now)


def answers(context, callers=CALLERS, now=None):
    """Return the ids of the nodes that each caller is given."""
    at = context.now if now is None else now
    selected = [context.directory.nodes_for(context.members, "zone-0", c, at) for c in callers]
    return [[member.node_id for member in answer] for answer in selected]


def answers_with(context, node, **options):
    return sum(node in answer for answer in answers(context, **options))


def start_directory(context, loads):
    context.members = members(len(loads))
    context.loads = {m.node_id: load for m, load in zip(context.members, loads, strict=True)}
    context.capacities = NodeCapacities()
    context.directory = NodeDirectory(context.capacities)
    context.now = 10.0
    for tenths in range(101):
        report_all(context, tenths / 10)


@given("{count:d} nodes of one zone that report the same capacity, and use from 0 to 90 % of it")
def step_alike(context, count):
    start_directory(context, [NodeLoad(0.5, 0.45 * n / count, 0.01) for n in range(count)])


@given("{count:d} nodes of one zone and three sizes")
def step_sizes(context, count):
    assert count == len(NODE_CORES)
    start_directory(context, [NodeLoad(cores, 0.3 * cores, 0.01) for cores in NODE_CORES])


@then("every caller is given the first {count:d} of them in their order")
def step_first_given(context, count):
    expected = [member.node_id for member in context.members[:count]]
    assert all(answer == expected for answer in answers(context))


@then("the same holds if no node reports its load")
def step_unreported(context):
    context.directory = NodeDirectory(NodeCapacities())
    step_first_given(context, 64)


@when("one of them reports a lag of {late:g} s")
def step_one_late(context, late):
    change_one(context, NodeLoad(0.5, 0.2, late))


@when("one of them reports {left:d} MB of free memory")
def step_one_short(context, left):
    change_one(context, NodeLoad(0.5, 0.2, 0.01, left * 1_048_576))


def change_one(context, load):
    context.loads["n03"] = load
    context.now += 0.5
    report_all(context, context.now)


@then("it is given to some callers, and to at most a third of them")
def step_given_less(context):
    assert 0 < answers_with(context, "n03") <= len(CALLERS) / 3, answers_with(context, "n03")


@then("a caller gets the same answer from two nodes, and {seconds:g} s later")
def step_stable(context, seconds):
    first = answers(context)
    for tenths in range(int(seconds * 10) + 1):
        report_all(context, context.now + tenths / 10)
    other = NodeDirectory(context.capacities)
    later = other.nodes_for(context.members, "zone-0", CALLERS[0], context.now + seconds)
    assert [member.node_id for member in later] == first[0]
    assert answers(context, now=context.now + seconds) == first


@then("every answer has {count:d} nodes, each of them once")
def step_length(context, count):
    assert all(len(answer) == len(set(answer)) == count for answer in answers(context))


@when("the reports of a node of {cores:g} cores are lost for {seconds:g} s")
def step_reports_lost(context, cores, seconds):
    context.silent_node = context.members[NODE_CORES.index(cores)].node_id
    others = [m.node_id for m in context.members if m.node_id != context.silent_node]
    context.now += seconds
    for node_id in others:
        context.capacities.update(node_id, context.loads[node_id], context.now)


@then("its capacity counts as {cores:g} cores")
def step_counts_as(context, cores):
    loads = context.capacities.node_loads([m.node_id for m in context.members], context.now)
    assert loads[context.silent_node].capacity_cores == cores, loads[context.silent_node]


@when("{count:d} callers of it ask at the same time")
def step_query(context, count):
    context.querying = [f"10.9.{n // 200}.{n % 200}" for n in range(count)]


@then("each node is given to its share of the callers, within {within:d} %")
def step_spread(context, within):
    found = answers(context, callers=context.querying)
    selected = [node_id for answer in found for node_id in answer]
    for member, cores in zip(context.members, NODE_CORES, strict=True):
        share = len(selected) * cores / sum(NODE_CORES)
        count = selected.count(member.node_id)
        assert abs(count - share) <= share * within / 100, (member.node_id, count, share)


@when("a node of {cores:g} cores reports again after {seconds:g} s")
def step_reports_again(context, cores, seconds):
    context.returned_node = context.members[NODE_CORES.index(cores)].node_id
    context.before = answers_with(context, context.returned_node)
    for tenths in range(int(seconds * 10) + 1):
        for member in context.members:
            if member.node_id != context.returned_node:
                load = context.loads[member.node_id]
                context.capacities.update(member.node_id, load, context.now + tenths / 10)
    context.now += seconds
    context.capacities.update(
        context.returned_node, context.loads[context.returned_node], context.now
    )


@then("it is given to fewer than half as many callers as before")
def step_few(context):
    count = answers_with(context, context.returned_node)
    assert 0 < count < context.before / 2, (count, context.before)


@then("{seconds:g} s later it is given to as many as before")
def step_full_again(context, seconds):
    for tenths in range(int(seconds * 10) + 1):
        report_all(context, context.now + tenths / 10)
    assert answers_with(context, context.returned_node, now=context.now + seconds) == context.before


# One node


@given("a machine of {cores:g} cores with a link of {link:d} bytes a second")
def step_machine(context, cores, link):
    context.node = NodeCapacity(MachineLimits(cpu_share=cores, link_bytes_per_s=link), TICK_S)
    context.at, context.cpu_s = 100.0, 7.0
    context.node.update(context.at, context.cpu_s, 0)


def tick(context, cores, late_s=0.0):
    context.at += TICK_S + late_s
    context.cpu_s += cores * (TICK_S + late_s)
    context.node.update(context.at, context.cpu_s, 0)


@when(
    "it serves {rate:d} requests of {size:d} bytes per second for {seconds:d} s,"
    " with {cpu_ms:d} ms of processor time each"
)
def step_serves(context, rate, size, seconds, cpu_ms):
    for _ in range(int(seconds / TICK_S)):
        for _ in range(int(rate * TICK_S)):
            context.node.record_request(size, 0.001)
        tick(context, rate * cpu_ms / 1000)


@then("its capacity is {cores:g} cores, within a fifth")
def step_capacity(context, cores):
    assert abs(context.node.capacity_cores / cores - 1) <= 0.2, context.node.capacity_cores


@then("all of it is in use")
def step_all_used(context):
    assert context.node.current_load().used_share > 0.99, context.node.current_load()


@when("a tick comes {late:g} s late")
def step_late_tick(context, late):
    tick(context, 0.1, late)


@when("its ticks come {late:g} s late for {seconds:g} s while it uses {cores:g} cores")
def step_late_ticks(context, late, seconds, cores):
    for _ in range(int(seconds / (TICK_S + late))):
        tick(context, cores, late)


@then("it reports a lag of {late:g} s")
def step_reports_lag(context, late):
    assert abs(context.node.current_load().late_s - late) < 1e-6, context.node.current_load()


@then("{seconds:g} s later it reports a lag of less than {late:g} s")
def step_less_late(context, seconds, late):
    for _ in range(int(seconds / TICK_S)):
        tick(context, 0.1)
    assert context.node.current_load().late_s < late, context.node.current_load()


@then("it reports that all of its capacity is in use")
def step_reports_saturation(context):
    assert context.node.current_load().used_share > 0.9, context.node.current_load()


# Load shedding


@given(
    "a node whose last {ticks:d} ticks were late by {late:g} s,"
    " and others with a lag of {others:g} s"
)
def step_busy(context, ticks, late, others):
    step_machine(context, 0.4, 0)
    context.shedder = LoadShedder()
    context.others_late_s = others
    for _ in range(ticks):
        lagging_tick(context, late)


def lagging_tick(context, late_s):
    tick(context, 0.3, late_s)
    node = context.node
    context.shedder.update(node.lag_s, node.late_ticks, context.others_late_s)


@when("it is on time for {seconds:g} s")
def step_on_time(context, seconds):
    for _ in range(int(seconds / TICK_S)):
        lagging_tick(context, 0.0)


@then("it {closes} connections and {refuses} requests")
def step_sheds(context, closes, refuses):
    assert context.shedder.closes_connections is {"closes": True, "keeps": False}[closes], (
        context.shedder
    )
    assert context.shedder.refuses_requests is {"refuses": True, "takes": False}[refuses], (
        context.shedder
    )


@then("refused callers are told to retry after {shortest:g} to {longest:g} s")
def step_retry_range(context, shortest, longest):
    times = [context.shedder.retry_after_s(draw / 10) for draw in range(11)]
    assert min(times) >= shortest and max(times) <= longest, times
    assert len(set(times)) == len(times), times


# Work besides requests


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
    context.before = special_nodes(context.fleet)


def special_nodes(fleet):
    """Return the delegates, the store readers and the leader candidates."""
    delegates = list(delegates_by_zone(fleet).values())
    zones = {member.zone: member for member in fleet}
    readers = [r for own in zones.values() for r in ReaderSelection(own).readers(fleet).values()]
    return [delegates, readers, leader_candidates(fleet)]


@then("delegates, store readers and leader candidates have at least {least:d} millicores")
def step_enough_capacity(context, least):
    for chosen in context.before:
        assert chosen and all(m.capacity_millicores >= least for m in chosen), chosen


@then("nodes that know the members in another order select the same ones")
def step_same_choice(context):
    again = special_nodes(list(reversed(context.fleet)))
    assert [set(chosen) for chosen in again] == [set(chosen) for chosen in context.before]


@when("all nodes of {one:d} and {two:d} millicores stop")
def step_large_nodes_stop(context, one, two):
    context.fleet = [m for m in context.fleet if m.capacity_millicores not in (one, two)]


@then("there are as many delegates, readers and candidates as before")
def step_as_many(context):
    now = special_nodes(context.fleet)
    assert [len(chosen) for chosen in now] == [len(chosen) for chosen in context.before]


@then("delegates, store readers and leader candidates are the first of all by rank")
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


@then("its decoded record has that capacity, and a record of an older version has 0")
def step_record(context):
    record = member_message(context.member)
    assert member_from_message(record) == context.member
    record.ClearField("capacity_millicores")
    assert member_from_message(record) == replace(context.member, capacity_millicores=0)


# On the wire


@given("a report on {count:d} engines of a node with {cores:g} cores of which {used:g} are in use")
def step_report(context, count, cores, used):
    loads = {f"engine-{number:05d}": EngineLoad(1, 2, 3) for number in range(count)}
    context.load = NodeLoad(cores, used, 0.125, 40 * 1_048_576)
    context.report = LoadReport(LoadScope.NODE, "node-1", "zone-1", loads, node_load=context.load)


@then("the decoded report has the same load of the node")
def step_decoded(context):
    assembler = ReportAssembler()
    datagrams = datagrams_from_report(context.report, 1)
    assert len(datagrams) > 1
    found = [assembler.add(datagram) for datagram in reversed(datagrams)]
    assert found[-1].node_load == context.load, found[-1]


@then("a report of an older version has no load of the node")
def step_older(context):
    for datagram in (datagrams := datagrams_from_report(context.report, 2)):
        datagram.ClearField("node_load")
    assembler = ReportAssembler()
    assert [assembler.add(datagram) for datagram in datagrams][-1].node_load is None
