"""Steps on limits that engines name, in virtual time."""

from behave import given, then, when

from features.limit_replay import ENGINE, ReplayedFleet

WINDOW_S = 4.0
KNOWN_AFTER_S = 0.5
SETTLED_AFTER_S = 1.0
# Requests that an engine may get at once, and what permits may be late.
BURST, LATENESS_S = 2, 1.0
CALLS_PER_S = 60.0


@given("{nodes:d} nodes and an engine that names a limit of {limit:g} a second")
def step_fleet(context, nodes, limit):
    context.fleet = ReplayedFleet(nodes, limit_at=lambda now: limit)
    context.limit, context.calls_per_s = limit, CALLS_PER_S


@given("callers that ask {per_s:d} times a second")
def step_demand(context, per_s):
    context.calls_per_s = per_s


@given("datagrams of which {share:g} are lost and others are {late_s:g} s late")
def step_network(context, share, late_s):
    context.fleet.lost_share, context.fleet.late_s = share, late_s


@given("the engine names it in {share:g} of its answers")
def step_some_answers(context, share):
    context.fleet.names_share = share


@given("the engine names in turn {limits} for {each_s:g} s each")
def step_limits(context, limits, each_s):
    numbers = [float(number) for number in limits.split(", ")]
    context.limits, context.each_s = numbers, each_s
    context.fleet.limit_at = lambda now: numbers[min(int(now / each_s), len(numbers) - 1)]


@given("the engine names its limit until {at:g} s, and no longer")
def step_limit_ends(context, at):
    limit = context.limit
    context.ends_at = at
    context.fleet.limit_at = lambda now: limit if now < at else None


@when("callers ask all nodes for {seconds:g} s")
def step_run(context, seconds):
    context.fleet.call(context.calls_per_s, seconds)
    context.fleet.run(seconds)


@when("callers ask one node for {seconds:g} s")
def step_run_one(context, seconds):
    context.fleet.call(context.calls_per_s, seconds, ["node-0"])
    context.fleet.run(seconds)


@when("callers ask all nodes for {seconds:g} s while {trouble}")
def step_trouble(context, seconds, trouble):
    fleet = context.fleet
    fleet.call(context.calls_per_s, seconds)
    TROUBLES[trouble](fleet, seconds)
    fleet.run(seconds)


def issuer_dies(fleet, _):
    fleet.after(5.0, lambda: fleet.kill(fleet.issuer()))


def issuer_freezes(fleet, _):
    for at in (3.0, 9.0):
        fleet.after(at, lambda: fleet.freeze(fleet.issuer(), 3.0))


def issuer_starts_again(fleet, _):
    for at in (4.0, 6.0, 8.0):
        fleet.after(at, lambda: fleet.restart(fleet.issuer()))


def nodes_start_again(fleet, seconds):
    for second in range(2, int(seconds), 2):
        name = f"node-{second // 2 % fleet.size}"
        fleet.after(second, lambda n=name: fleet.restart(n))


def fleet_is_cut(fleet, _):
    half = [f"node-{number}" for number in range(fleet.size // 2)]
    fleet.after(4.0, lambda: fleet.divide(half))


def node_is_cut_off(fleet, _):
    fleet.after(4.0, lambda: fleet.divide([fleet.issuer()]))


TROUBLES = {
    "the issuer of its permits ends": issuer_dies,
    "the issuer of its permits freezes twice": issuer_freezes,
    "the issuer of its permits starts again and again": issuer_starts_again,
    "a node starts again every 2 s": nodes_start_again,
    "the nodes are cut in two halves": fleet_is_cut,
    "the issuer is cut off from the others": node_is_cut_off,
}


def counted(fleet, since=0.0):
    """Return when requests arrived from nodes that knew of the limit."""
    first = min(sent.at for sent in fleet.sent)
    settled_at = max(first + SETTLED_AFTER_S, since)
    return [
        sent.at
        for sent in fleet.sent
        if sent.at >= settled_at
        and sent.told_at is not None
        and sent.at >= sent.told_at + KNOWN_AFTER_S
    ]


def most_in_window(times):
    return max((sum(t <= at < t + WINDOW_S for at in times) for t in times), default=0)


def allowed(limit):
    return limit * (WINDOW_S + LATENESS_S) + BURST


@then("the engine gets no more from all nodes together than it allows")
def step_kept(context):
    most = most_in_window(counted(context.fleet))
    assert most <= allowed(context.limit), (most, allowed(context.limit))


@then("at least {share:g} of what it allows is used from {since:g} s on")
def step_used(context, share, since):
    fleet = context.fleet
    used = sum(sent.at >= since for sent in fleet.sent)
    least = share * context.limit * (fleet.now - since)
    assert used >= least, (used, least)


@then("in each of these times it gets no more than it named last")
def step_follows(context):
    for index, limit in enumerate(context.limits):
        begin, end = index * context.each_s, (index + 1) * context.each_s
        times = [t for t in counted(context.fleet, begin + SETTLED_AFTER_S) if t < end]
        # The number is known as an answer names it: one that is slow brings it late.
        assert most_in_window(times) <= allowed(limit), (limit, most_in_window(times))


@then("it is in full use again within {seconds:g} s after that")
def step_free(context, seconds):
    fleet, at = context.fleet, context.ends_at + seconds
    limited = [n.own for n in fleet.nodes.values() if n.limits.is_limited(ENGINE)]
    assert not limited, limited
    used = sum(sent.at >= at for sent in fleet.sent)
    assert used >= 0.9 * context.calls_per_s * (fleet.now - at), used


@then("the engine gets no more from all nodes together than the rule allows")
def step_rule(context):
    most = most_in_window(counted(context.fleet))
    bound = 1.5 * context.limit * WINDOW_S + 5
    assert most <= bound, (most, bound)
