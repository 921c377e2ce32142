"""Steps about limits on tenants that all nodes keep together."""

import random

from behave import given, then, when
from hypothesis import HealthCheck, settings
from hypothesis import given as drawn
from hypothesis import strategies as st

from features.quota_network import TENANT, QuotaNetwork
from liftrill.coordination.quota import FleetSize, QuotaLimit, QuotaTolerance, SharedBuckets

USUAL_UNTIL, END = 6.0, 16.0
TROUBLE_AT = 9.0
WAYS = {"each allow the whole limit": "alone", "each allow a share of it": "shares"}


@given("a fleet of {nodes:d} nodes and a tenant with {rate:d} units a second")
def step_fleet(context, nodes, rate):
    context.make_network = lambda policy="shared": QuotaNetwork(nodes, rate, policy=policy)
    context.network = context.make_network()


@given("nodes that {way}")
def step_way(context, way):
    context.network = context.make_network(WAYS[way])


def make_trouble(network, trouble):
    """Arrange for a trouble; return where and how callers ask meanwhile."""
    third = set(range(network.count // 3))
    fifth = list(range(network.count // 5))
    if trouble == "all callers come to one node":
        return {"nodes": [2]}
    if trouble == "all requests are short":
        return {"long_share": 0.0}
    if trouble.startswith("a third"):
        network.cut_together = trouble.endswith("together")
        network.clock.call_at(TROUBLE_AT, lambda: network.cut.update(third))
        # Without a proof that their keys are current they serve nobody from then on.
        network.clock.call_at(TROUBLE_AT + 4.5, lambda: network.down.update(third))
    elif trouble == "all nodes restart":
        network.clock.call_at(TROUBLE_AT, lambda: network.restart(range(network.count), 1.2))
    elif trouble == "a fifth of the nodes restarts":
        network.clock.call_at(TROUBLE_AT, lambda: network.restart(fifth, 1.2))
    elif trouble.startswith("a fifth of the nodes stands still"):
        network.clock.call_at(TROUBLE_AT, lambda: network.freeze(fifth, 4.0))
    elif trouble == "what is told at once comes twice":
        network.twice = True
    elif trouble == "one datagram in twenty is lost":
        network.loss = 0.05
    else:
        assert trouble == "nothing happens", trouble
    return {}


@when("the tenant asks for {usual:g} times its rate, and then for {hot:g} times, while {trouble}")
def step_asks(context, usual, hot, trouble):
    network = context.network
    how = make_trouble(network, trouble)
    rate = network.limit.rate_per_s
    network.call(0.0, USUAL_UNTIL, usual * rate, **how)
    network.call(USUAL_UNTIL, END, hot * rate, **how)
    network.run(END)


@when("the tenant asks for {times:g} times its rate, and after 6 s its limit is lowered to a tenth")
def step_lowered(context, times):
    network = context.network
    rate = network.limit.rate_per_s
    network.call(0.0, 2 * END, times * rate)
    network.clock.call_at(USUAL_UNTIL, lambda: network.set_limit(rate / 10))
    network.run(2 * END)


@when("the tenant asks for {times:g} times its rate, and its limit is doubled for a second")
def step_doubled(context, times):
    network = context.network
    rate = network.limit.rate_per_s
    network.call(0.0, END, times * rate)
    network.clock.call_at(USUAL_UNTIL, lambda: network.set_limit(2 * rate))
    network.clock.call_at(USUAL_UNTIL + 1.0, lambda: network.set_limit(rate))
    network.run(END)
    # The second with twice the limit allows that much more.
    context.more_allowed = rate


@then("no window of 8 s has more than the rule allows")
def step_within(context):
    network = context.network
    allowed = network.allowed() + getattr(context, "more_allowed", 0.0)
    assert 0 < network.most_in_a_window() <= allowed, (network.most_in_a_window(), allowed)


@then("no window of 8 s from then on has more than the rule allows")
def step_within_later(context):
    network = context.network
    most = network.most_in_a_window(since=USUAL_UNTIL + 3.0)
    assert 0 < most <= network.allowed(), (most, network.allowed())


@then("some window of 8 s has more than the rule allows")
def step_beyond(context):
    assert context.network.most_in_a_window() > context.network.allowed()


@then("it was served at least {share:g} of what one exact bucket would allow")
def step_served(context, share):
    assert context.network.served_share() >= share, context.network.served_share()


@then("it was served at most {share:g} of what one exact bucket would allow")
def step_served_at_most(context, share):
    assert context.network.served_share() <= share, context.network.served_share()


# Histories drawn at random

INTERVALS = st.tuples(st.floats(0.0, 16.0), st.floats(1.0, 8.0), st.floats(0.2, 4.5), st.booleans())
TROUBLES = st.tuples(
    st.sampled_from(["cut", "restart", "restart all", "freeze", "lower", "raise"]),
    st.floats(1.0, 16.0),
    st.sets(st.integers(0, 6), min_size=1, max_size=2),
)


def play(calls, troubles, seed):
    network = QuotaNetwork(7, 318_000, seed)
    rate = network.limit.rate_per_s
    for since, lasting, times, at_one in calls:
        network.call(since, since + lasting, times * rate, nodes=[3] if at_one else None)
    for kind, at, numbers in troubles:
        network.clock.call_at(at, lambda k=kind, n=numbers: strike(network, k, n, rate))
    network.run(26.0)
    return network


def strike(network, kind, numbers, rate):
    if kind == "cut":
        network.cut = set(numbers)
        later(network, 2.0, network.cut.clear)
    elif kind == "restart":
        network.restart(numbers, 1.2)
    elif kind == "restart all":
        network.restart(range(network.count), 1.2)
    elif kind == "freeze":
        network.freeze(numbers, 3.0)
    else:
        network.set_limit(rate * (0.5 if kind == "lower" else 1.0))


def later(network, seconds, what):
    network.clock.call_later(seconds, what)


@then("in {count:d} histories drawn at random no window of 8 s has more than the rule allows")
def step_histories(context, count):
    @settings(
        max_examples=count,
        deadline=None,
        derandomize=True,
        suppress_health_check=[HealthCheck.too_slow],
    )
    @drawn(
        st.lists(INTERVALS, min_size=1, max_size=3),
        st.lists(TROUBLES, max_size=3),
        st.integers(0, 1000),
    )
    def check(calls, troubles, seed):
        network = play(calls, troubles, seed)
        network.limit = QuotaLimit(318_000, 318_000)
        assert network.most_in_a_window() <= network.allowed(), network.most_in_a_window()

    check()


# One node


@when("one node is asked for {count:d} requests of {units:d} units at once")
def step_at_once(context, count, units):
    node = context.network.nodes[0]
    verdicts = [node.try_take(TENANT, float(units), 1.0) for _ in range(count)]
    context.waits = [v.wait_s for v in verdicts if v.wait_s > 0.0]


@given("it owes {units:d} units")
def step_owes(context, units):
    # The node that is asked knows of it, as the others would.
    context.network.nodes[0].take_unconditionally(TENANT, float(units), 0.0)


@then("the refused ones are told times between 0 and 30 s that are all different")
def step_times(context):
    assert len(context.waits) >= 30, context.waits
    assert all(0.0 < wait <= 30.0 for wait in context.waits)
    below = [wait for wait in context.waits if wait < 30.0]
    assert len(set(below)) == len(below) > 5, context.waits


@then("they rise with the number of those refused before")
def step_rise(context):
    fifths = [context.waits[i::1][:5] for i in range(0, len(context.waits) - 5, 5)]
    means = [sum(part) / len(part) for part in fifths]
    assert means == sorted(means), means


@when("one node is asked for {units:d} units and repeats them once")
def step_repeat(context, units):
    node = context.network.nodes[0]
    assert node.try_take(TENANT, float(units), 0.0).wait_s == 0.0
    node.take_unconditionally(TENANT, float(units), 0.0)
    context.units = float(units)


@when("both are given back")
def step_given_back(context):
    for _ in range(2):
        context.network.nodes[0].refund(TENANT, context.units, 0.0)


@then("{units:d} units are left there")
def step_left(context, units):
    left = context.network.nodes[0].try_take(TENANT, 0.0, 0.0).left
    assert left == units, left


@when(
    "one node is asked for {count:d} requests of {units:d} units at once"
    " by callers who wait {patience:g} s"
)
def step_at_once_patience(context, count, units, patience):
    node = context.network.nodes[0]
    verdicts = [node.try_take(TENANT, float(units), 1.0, patience) for _ in range(count)]
    context.waits = [v.wait_s for v in verdicts if v.wait_s > 0.0]


@then("the refused ones are told times between 0 and {patience:g} s that are all different")
def step_times_within(context, patience):
    assert len(context.waits) >= 30, context.waits
    assert all(0.0 < wait <= patience for wait in context.waits), context.waits
    assert len(set(context.waits)) == len(context.waits), context.waits


# Refunds


@given("engines shed {share:g} of what is let through, {seconds:g} s after it came")
def step_shed(context, share, seconds):
    context.network.shed_share, context.network.shed_after_s = share, seconds


class SharingNode:
    """One of two nodes with one tenant's bucket, and the notice that it told last."""

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


@when("the first spends {units:d} units and the second {hears}")
def step_first_spends(context, units, hears):
    context.first.spend(units)
    if hears == "hears of it":
        context.second.buckets.hear_spending("first", context.first.notice, 0.0)
    context.refund = context.first.buckets.refund(TENANT, float(units), 0.0)


@when("the second hears of another {units:d} units that a third node spends")
def step_third_spends(context, units):
    third = SharingNode()
    third.spend(units)
    context.second.buckets.hear_spending("third", third.notice, 0.0)


@when("the second hears the refund {times:d} times")
def step_hears_refund(context, times):
    for _ in range(times):
        context.second.buckets.hear_spending("first", context.refund, 0.0)


@when("the second hears the refund {seconds:g} s later")
def step_hears_refund_late(context, seconds):
    context.second.buckets.hear_spending("first", context.refund, seconds)


@then("the second has {units:d} units left")
def step_second_left(context, units):
    assert context.second.left() == units, context.second.left()


@then("the second has {units:d} units left at most, but for what came meanwhile")
def step_second_left_at_most(context, units):
    assert units <= context.second.left(2.5) <= units + 3, context.second.left(2.5)


@when("the first spends {units:d} units, which it reports later")
def step_reports_later(context, units):
    context.units = float(units)
    context.first.spend(units)
    assert context.first.notice is None
    assert context.first.buckets.own_report(0.0).spent == {TENANT: context.units}


@when("they are given back")
def step_they_are_given_back(context):
    context.refund = context.first.buckets.refund(TENANT, context.units, 0.1)


@then("its report tells of nothing")
def step_reports_nothing(context):
    assert context.refund is None
    assert context.first.buckets.own_report(0.1).spent == {}
