"""Steps for tenant limits that all nodes enforce together."""

import random

from behave import given, then, when
from hypothesis import HealthCheck, settings
from hypothesis import given as given_values
from hypothesis import strategies as st

from features.quota_network import TENANT, QuotaNetwork
from liftrill.coordination.quota import FleetSize, QuotaLimit, QuotaTolerance, SharedBuckets

BASE_LOAD_END_S, RUN_END_S = 6.0, 16.0
FAULT_AT_S = 9.0
POLICIES = {
    "each admit the whole limit": "independent",
    "each admit an equal share of the limit": "shares",
}


@given("a fleet of {nodes:d} nodes and a tenant with {rate:d} units a second")
def step_fleet(context, nodes, rate):
    context.make_network = lambda policy="shared": QuotaNetwork(nodes, rate, policy=policy)
    context.network = context.make_network()


@given("nodes that {policy}")
def step_policy(context, policy):
    context.network = context.make_network(POLICIES[policy])


def schedule_fault(network, fault):
    """Schedule a fault; return the arguments of send_load that go with it."""
    third = set(range(network.count // 3))
    fifth = list(range(network.count // 5))
    if fault == "all callers come to one node":
        return {"nodes": [2]}
    if fault == "all requests are short":
        return {"long_share": 0.0}
    if fault.startswith("a third"):
        network.partition_connected = fault.endswith("together")
        network.clock.call_at(FAULT_AT_S, lambda: network.partitioned.update(third))
        # These nodes refuse all requests once the proof that their API keys are current expires.
        network.clock.call_at(FAULT_AT_S + 4.5, lambda: network.stopped.update(third))
    elif fault == "all nodes restart":
        network.clock.call_at(FAULT_AT_S, lambda: network.restart(range(network.count), 1.2))
    elif fault == "a fifth of the nodes restarts":
        network.clock.call_at(FAULT_AT_S, lambda: network.restart(fifth, 1.2))
    elif fault.startswith("a fifth of the nodes freezes"):
        network.clock.call_at(FAULT_AT_S, lambda: network.freeze(fifth, 4.0))
    elif fault == "each spending notice arrives twice":
        network.duplicate_notices = True
    elif fault == "one datagram in twenty is lost":
        network.loss_share = 0.05
    else:
        assert fault == "no fault occurs", fault
    return {}


@when("the tenant requests {base:g} times its rate, and then {peak:g} times, while {fault}")
def step_load(context, base, peak, fault):
    network = context.network
    load_options = schedule_fault(network, fault)
    rate = network.limit.rate_per_s
    network.send_load(0.0, BASE_LOAD_END_S, base * rate, **load_options)
    network.send_load(BASE_LOAD_END_S, RUN_END_S, peak * rate, **load_options)
    network.run(RUN_END_S)


@when(
    "the tenant requests {factor:g} times its rate, and after 6 s its limit is lowered to a tenth"
)
def step_lowered(context, factor):
    network = context.network
    rate = network.limit.rate_per_s
    network.send_load(0.0, 2 * RUN_END_S, factor * rate)
    network.clock.call_at(BASE_LOAD_END_S, lambda: network.set_limit(rate / 10))
    network.run(2 * RUN_END_S)


@when("the tenant requests {factor:g} times its rate, and its limit is doubled for a second")
def step_doubled(context, factor):
    network = context.network
    rate = network.limit.rate_per_s
    network.send_load(0.0, RUN_END_S, factor * rate)
    network.clock.call_at(BASE_LOAD_END_S, lambda: network.set_limit(2 * rate))
    network.clock.call_at(BASE_LOAD_END_S + 1.0, lambda: network.set_limit(rate))
    network.run(RUN_END_S)
    # One second at twice the limit admits this many units more.
    context.additional_units = rate


@then("no window of 8 s exceeds the tolerance")
def step_within(context):
    network = context.network
    allowed = network.allowed() + getattr(context, "additional_units", 0.0)
    assert 0 < network.most_in_a_window() <= allowed, (network.most_in_a_window(), allowed)


@then("no window of 8 s that starts 3 s later or more exceeds the tolerance")
def step_within_later(context):
    network = context.network
    most = network.most_in_a_window(since=BASE_LOAD_END_S + 3.0)
    assert 0 < most <= network.allowed(), (most, network.allowed())


@then("some window of 8 s exceeds the tolerance")
def step_exceeds(context):
    assert context.network.most_in_a_window() > context.network.allowed()


@then("it was served at least {share:g} of what a single token bucket admits")
def step_served(context, share):
    assert context.network.served_share() >= share, context.network.served_share()


@then("it was served at most {share:g} of what a single token bucket admits")
def step_served_at_most(context, share):
    assert context.network.served_share() <= share, context.network.served_share()


# Random sequences

LOAD_INTERVALS = st.tuples(
    st.floats(0.0, 16.0), st.floats(1.0, 8.0), st.floats(0.2, 4.5), st.booleans()
)
FAULTS = st.tuples(
    st.sampled_from(["cut", "restart", "restart all", "freeze", "lower", "raise"]),
    st.floats(1.0, 16.0),
    st.sets(st.integers(0, 6), min_size=1, max_size=2),
)


def play(load_intervals, faults, seed):
    network = QuotaNetwork(7, 318_000, seed)
    rate = network.limit.rate_per_s
    for since, duration, factor, one_node in load_intervals:
        network.send_load(since, since + duration, factor * rate, nodes=[3] if one_node else None)
    for kind, at, numbers in faults:
        network.clock.call_at(at, lambda k=kind, n=numbers: apply_fault(network, k, n, rate))
    network.run(26.0)
    return network


def apply_fault(network, kind, numbers, rate):
    if kind == "cut":
        network.partitioned = set(numbers)
        call_later(network, 2.0, network.partitioned.clear)
    elif kind == "restart":
        network.restart(numbers, 1.2)
    elif kind == "restart all":
        network.restart(range(network.count), 1.2)
    elif kind == "freeze":
        network.freeze(numbers, 3.0)
    else:
        network.set_limit(rate * (0.5 if kind == "lower" else 1.0))


def call_later(network, seconds, callback):
    network.clock.call_later(seconds, callback)


@then("in {count:d} random sequences no window of 8 s exceeds the tolerance")
def step_random_sequences(context, count):
    @settings(
        max_examples=count,
        deadline=None,
        derandomize=True,
        suppress_health_check=[HealthCheck.too_slow],
    )
    @given_values(
        st.lists(LOAD_INTERVALS, min_size=1, max_size=3),
        st.lists(FAULTS, max_size=3),
        st.integers(0, 1000),
    )
    def check(calls, troubles, seed):
        network = play(calls, troubles, seed)
        network.limit = QuotaLimit(318_000, 318_000)
        assert network.most_in_a_window() <= network.allowed(), network.most_in_a_window()

    check()


# One node


@when("{count:d} requests of {units:d} units arrive at one node at once")
def step_at_once(context, count, units):
    node = context.network.nodes[0]
    verdicts = [node.try_take(TENANT, float(units), 1.0) for _ in range(count)]
    context.delays = [v.wait_s for v in verdicts if v.wait_s > 0.0]


@given("{units:d} units were charged unconditionally")
def step_charged(context, units):
    # Charged at the node that gets the requests, as if the other nodes had reported it.
    context.network.nodes[0].take_unconditionally(TENANT, float(units), 0.0)


@then("the refused callers get different retry delays between 0 and 30 s")
def step_retry_delays(context):
    assert len(context.delays) >= 30, context.delays
    assert all(0.0 < delay <= 30.0 for delay in context.delays)
    below = [delay for delay in context.delays if delay < 30.0]
    assert len(set(below)) == len(below) > 5, context.delays


@then("the retry delays grow with the number of earlier refusals")
def step_delays_grow(context):
    fifths = [context.delays[i::1][:5] for i in range(0, len(context.delays) - 5, 5)]
    means = [sum(part) / len(part) for part in fifths]
    assert means == sorted(means), means


@when("one node admits a request of {units:d} units and repeats it once")
def step_repeat(context, units):
    node = context.network.nodes[0]
    assert node.try_take(TENANT, float(units), 0.0).wait_s == 0.0
    node.take_unconditionally(TENANT, float(units), 0.0)
    context.units = float(units)


@when("both are refunded")
def step_refunded(context):
    for _ in range(2):
        context.network.nodes[0].refund(TENANT, context.units, 0.0)


@then("{units:d} units remain at that node")
def step_remaining(context, units):
    left = context.network.nodes[0].try_take(TENANT, 0.0, 0.0).left
    assert left == units, left


@when(
    "{count:d} requests of {units:d} units arrive at one node at once"
    " from callers that wait for {patience:g} s"
)
def step_at_once_patience(context, count, units, patience):
    node = context.network.nodes[0]
    verdicts = [node.try_take(TENANT, float(units), 1.0, patience) for _ in range(count)]
    context.delays = [v.wait_s for v in verdicts if v.wait_s > 0.0]


@then("the refused callers get different retry delays between 0 and {patience:g} s")
def step_retry_delays_within(context, patience):
    assert len(context.delays) >= 30, context.delays
    assert all(0.0 < delay <= patience for delay in context.delays), context.delays
    assert len(set(context.delays)) == len(context.delays), context.delays


# Refunds


@given("engines shed {share:g} of the admitted requests after {seconds:g} s")
def step_shed(context, share, seconds):
    context.network.shed_share, context.network.shed_after_s = share, seconds


class SharingNode:
    """One of two nodes with one tenant's bucket, and the last spending notice it sent."""

    def __init__(self):
        self.buckets = SharedBuckets(FleetSize(2), QuotaTolerance(), True, random.Random(1))
        self.buckets.configure({TENANT: QuotaLimit(1.0, 100_000.0)}, 0.0)
        self.notice = None

    def spend(self, units):
        self.notice = self.buckets.try_take(TENANT, float(units), 0.0).notice

    def left(self, now=0.0):
        return round(self.buckets.try_take(TENANT, 0.0, now).left)


@given("two nodes that share a limit of 100000 units")
def step_two_nodes(context):
    context.first, context.second = SharingNode(), SharingNode()


@when("the first node spends {units:d} units and the second node {result}")
def step_first_spends(context, units, result):
    context.first.spend(units)
    if result == "receives the notice":
        context.second.buckets.hear_spending("first", context.first.notice, 0.0)
    context.refund = context.first.buckets.refund(TENANT, float(units), 0.0)


@when("the second node receives the notice of another {units:d} units spent by a third node")
def step_third_spends(context, units):
    third = SharingNode()
    third.spend(units)
    context.second.buckets.hear_spending("third", third.notice, 0.0)


@when("the second node receives the refund {times:d} times")
def step_receives_refund(context, times):
    for _ in range(times):
        context.second.buckets.hear_spending("first", context.refund, 0.0)


@when("the second node receives the refund {seconds:g} s later")
def step_receives_refund_late(context, seconds):
    context.second.buckets.hear_spending("first", context.refund, seconds)


@then("the second node has {units:d} units left")
def step_second_left(context, units):
    assert context.second.left() == units, context.second.left()


@then("the second node has {units:d} units left, plus its refill of 2.5 s")
def step_second_left_with_refill(context, units):
    assert units <= context.second.left(2.5) <= units + 3, context.second.left(2.5)


@when("the first node spends {units:d} units without a notice")
def step_no_notice(context, units):
    context.units = float(units)
    context.first.spend(units)
    assert context.first.notice is None
    assert context.first.buckets.own_report(0.0).spent == {TENANT: context.units}


@when("the units are refunded")
def step_units_refunded(context):
    context.refund = context.first.buckets.refund(TENANT, context.units, 0.1)


@then("its next report contains no spending")
def step_nothing_reported(context):
    assert context.refund is None
    assert context.first.buckets.own_report(0.1).spent == {}
