"""Steps on rate limits that engines name, in virtual time."""

import sys
from pathlib import Path

from behave import given, then, when
from hypothesis import given as given_drawn
from hypothesis import seed as fixed_seed
from hypothesis import settings
from hypothesis import strategies as drawn

from features.gateway_support import opaque_request
from features.limit_replay import ENGINE, ReplayedFleet
from liftrill.coordination.permits import Permit, PermitDecision, PermitHolder
from liftrill.gateway.delivery_events import EngineAddress, EngineChoice
from liftrill.gateway.delivery_ports import Unavailable
from liftrill.gateway.engines.engine_limits import EngineLimit, NoLimitPeers
from liftrill.gateway.engines.placement import Candidate
from liftrill.gateway.engines.unrecorded_engine_state import UnrecordedEngineState
from liftrill.gateway.peers.notice_codec import datagrams_from_update, update_from_message
from liftrill.node.membership_codec import GossipDecodeError, parse_message

sys.path.append(str(Path(__file__).resolve().parent.parent.parent / "platform"))
from engines import parse_engine_signal

WINDOW_S = 4.0
KNOWN_AFTER_S = 0.5
SETTLED_AFTER_S = 1.0
# Requests that an engine may get at once, and the longest delay of a permit.
BURST, LATENESS_S = 2, 1.0
CALLS_PER_S = 60.0
HISTORIES, HISTORIES_SEED = 60, 7


@given("{nodes:d} nodes and an engine that names a limit of {limit:g} a second")
def step_fleet(context, nodes, limit):
    context.fleet = ReplayedFleet(nodes, limit_at=lambda now: limit)
    context.limit, context.calls_per_s = limit, CALLS_PER_S


@given("callers that send {per_s:d} requests a second")
def step_demand(context, per_s):
    context.calls_per_s = per_s


@given("datagrams of which {share:g} are lost and others are {max_delay_s:g} s late")
def step_network(context, share, max_delay_s):
    context.fleet.lost_share, context.fleet.max_delay_s = share, max_delay_s


@given("the engine names it in {share:g} of its answers")
def step_some_answers(context, share):
    context.fleet.naming_share = share


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


@when("callers call all nodes for {seconds:g} s")
def step_run(context, seconds):
    context.fleet.schedule_calls(context.calls_per_s, seconds)
    context.fleet.run(seconds)


@when("callers call one node for {seconds:g} s")
def step_run_one(context, seconds):
    context.fleet.schedule_calls(context.calls_per_s, seconds, ["node-0"])
    context.fleet.run(seconds)


@when("callers call all nodes for {seconds:g} s while {fault}")
def step_run_with_fault(context, seconds, fault):
    fleet = context.fleet
    fleet.schedule_calls(context.calls_per_s, seconds)
    FAULTS[fault](fleet, seconds)
    fleet.run(seconds)


def issuer_is_killed(fleet, _):
    fleet.after(5.0, lambda: fleet.kill(fleet.issuer()))


def issuer_freezes(fleet, _):
    for at in (3.0, 9.0):
        fleet.after(at, lambda: fleet.freeze(fleet.issuer(), 3.0))


def issuer_restarts(fleet, _):
    for at in (4.0, 6.0, 8.0):
        fleet.after(at, lambda: fleet.restart(fleet.issuer()))


def nodes_restart(fleet, seconds):
    for second in range(2, int(seconds), 2):
        name = f"node-{second // 2 % fleet.size}"
        fleet.after(second, lambda n=name: fleet.restart(n))


def fleet_is_partitioned(fleet, _):
    half = [f"node-{number}" for number in range(fleet.size // 2)]
    fleet.after(4.0, lambda: fleet.isolate(half))


def issuer_is_isolated(fleet, _):
    fleet.after(4.0, lambda: fleet.isolate([fleet.issuer()]))


FAULTS = {
    "the issuer of its permits is killed": issuer_is_killed,
    "the issuer of its permits freezes twice": issuer_freezes,
    "the issuer of its permits restarts repeatedly": issuer_restarts,
    "a node restarts every 2 s": nodes_restart,
    "a partition splits the nodes in two halves": fleet_is_partitioned,
    "a partition isolates the issuer": issuer_is_isolated,
}


def arrivals_under_limit(fleet, since=0.0):
    """Return the arrival times of requests from nodes that knew the limit."""
    first = min(sent.at for sent in fleet.sent)
    settled_at = max(first + SETTLED_AFTER_S, since)
    return [
        sent.at
        for sent in fleet.sent
        if sent.at >= settled_at
        and sent.limit_known_at is not None
        and sent.at >= sent.limit_known_at + KNOWN_AFTER_S
    ]


def most_in_window(times):
    return max((sum(t <= at < t + WINDOW_S for at in times) for t in times), default=0)


def allowed(limit):
    return limit * (WINDOW_S + LATENESS_S) + BURST


@then("the engine gets no more from all nodes together than it allows")
def step_within_limit(context):
    most = most_in_window(arrivals_under_limit(context.fleet))
    assert most <= allowed(context.limit), (most, allowed(context.limit))


@then("at least {share:g} of what it allows is used from {since:g} s on")
def step_used(context, share, since):
    fleet = context.fleet
    used = sum(sent.at >= since for sent in fleet.sent)
    least = share * context.limit * (fleet.now - since)
    assert used >= least, (used, least)


@then("in each of these times it gets no more than it named last")
def step_follows_changes(context):
    for index, limit in enumerate(context.limits):
        begin, end = index * context.each_s, (index + 1) * context.each_s
        times = [t for t in arrivals_under_limit(context.fleet, begin + SETTLED_AFTER_S) if t < end]
        # A limit is known once an answer names it, so a slow answer delays it.
        assert most_in_window(times) <= allowed(limit), (limit, most_in_window(times))


@then("it is in full use again within {seconds:g} s after that")
def step_unlimited_again(context, seconds):
    fleet, at = context.fleet, context.ends_at + seconds
    limited = [n.node_id for n in fleet.nodes.values() if n.limits.is_limited(ENGINE)]
    assert not limited, limited
    used = sum(sent.at >= at for sent in fleet.sent)
    assert used >= 0.9 * context.calls_per_s * (fleet.now - at), used


@then("the engine gets no more from all nodes together than the rule allows")
def step_within_rule(context):
    most = most_in_window(arrivals_under_limit(context.fleet))
    bound = 1.5 * context.limit * WINDOW_S + 5
    assert most <= bound, (most, bound)


# One node


def identity_of(context, name):
    return context.node.engines.get(name).identity


def name_limit(context, name, limit, now=0.0):
    context.node.selector.limits.note_answer(identity_of(context, name), limit, None, now)


@when("{name} names a limit of {limit:g} a second in an answer")
def step_names(context, name, limit):
    context.engine = identity_of(context, name)
    name_limit(context, name, limit)


@when("an earlier request gets an answer without a limit")
def step_earlier_answer(context):
    context.node.selector.limits.note_answer(context.engine, None, None, 0.1)


@when("a peer reports late that an earlier limit ended")
def step_end_reported_late(context):
    limits = context.node.selector.limits
    limits.merge(EngineLimit(context.engine, 1.0, serial=3), 0.1)
    limits.merge(EngineLimit(context.engine, 1.0, serial=2, in_force=False), 0.2)


@when("a node joins and learns of a limit of {limit:g} a second from its peers")
def step_joiner_learns(context, limit):
    state = UnrecordedEngineState(limits=(EngineLimit(identity_of(context, "a"), limit),))
    for datagram in datagrams_from_update(state):
        update = update_from_message(parse_message(datagram.SerializeToString()))
        for row in update.limits:
            context.node.selector.limits.merge(row, 0.0)


@then("a gets requests with permits only, and b without")
def step_limited(context):
    limits = context.node.selector.limits
    assert limits.is_limited(identity_of(context, "a")) and not limits.is_limited(
        identity_of(context, "b")
    )


@then("a and b get requests without permits")
def step_not_limited(context):
    limits = context.node.selector.limits
    assert not limits.is_limited(identity_of(context, "a")) and not limits.is_limited(
        identity_of(context, "b")
    )


@when("{count:d} other engines name a limit")
def step_many_limits(context, count):
    for number in range(count):
        engine = EngineAddress(f"other-{number}", "10.0.0.9:1", number + 1)
        context.node.selector.limits.note_answer(engine, 1.0, None, number / 1000)


@then("{count:d} limits are remembered")
def step_limits_bounded(context, count):
    assert len(context.node.selector.limits.in_force()) == count


@when("{seconds:d} s go by for limits")
def step_limits_age(context, seconds):
    context.node.selector.limits.expire((), seconds)


@then("they name a limit of {limit}, and {end} end one")
def step_named(context, limit, end):
    permit = Permit("node-1", 1, 0.0, 0.0, 1.0)
    signal = parse_engine_signal("request", ENGINE, context.status, context.headers, permit)
    if limit == "none":
        assert signal is None or signal.limit_per_s is None, signal
    else:
        assert abs(signal.limit_per_s - float(limit)) <= 1, signal
    is_end = signal is not None and signal.permit is not None and signal.limit_per_s is None
    assert is_end == (end == "do"), signal


class OtherIssuer(NoLimitPeers):
    """Peers of a node where another node issues all permits and answers no request."""

    def __init__(self):
        self.requests = []

    def issuer(self, engine):
        return "another"

    def send(self, node, message):
        self.requests.append(message)


@given("another node issues the permits of a")
def step_other_issuer(context):
    context.node.selector.limits.peers = context.peers = OtherIssuer()


def choose(context, now, excluded=(), **more):
    request = opaque_request(received_at=0.0, **more)
    return context.node.selector.choose(request, frozenset(excluded), now)


@then("a request that b refused finds no engine left to wait for")
def step_retried(context):
    assert choose(context, 0.0, ("b",)) is Unavailable.NONE_READY
    assert not context.peers.requests


@then("a request that prefers a waits {seconds:g} s at most, and is sent to b")
def step_prefers(context, seconds):
    context.node.engines.get("b").own_load.waiting_tokens = 10_000
    assert choose(context, 0.0) is Unavailable.NONE_READY
    assert len(context.peers.requests) == 1
    assert choose(context, 0.0, request_id="request-2").engine_id == "b"
    assert choose(context, seconds).engine_id == "b"


@when("both name a limit of {limit:g} a second, and their first permits are used")
def step_both_limited(context, limit):
    context.limit = limit
    for name in ("a", "b"):
        name_limit(context, name, limit)
    limits = context.node.selector.limits
    for name in ("a", "b"):
        limits.request_permit(identity_of(context, name), "user", 0.0, True, 0.0)
    context.now = 1.0 / limit
    while isinstance(choice := choose_at(context, context.now), EngineChoice):
        assert choice.permit is not None


def choose_at(context, now):
    request = opaque_request(received_at=now, request_id=f"request-{now}")
    return context.node.selector.choose(request, frozenset(), now)


@then("a request is refused at once, with the time until the next permit")
def step_refused_at_once(context):
    assert choose_at(context, context.now) is Unavailable.PAUSED
    left_s = context.node.selector.capacity_wait_s(opaque_request(), context.now)
    assert isinstance(choose_at(context, context.now + left_s + 0.01), EngineChoice)
    assert 0.5 / context.limit < left_s <= 1.0 / context.limit, left_s


@then("a run resumes at a with a permit, and not without one")
def step_resumes_with_permit(context):
    backup = identity_of(context, "a")
    b = identity_of(context, "b")
    interrupted = EngineChoice("b", b.address, 1, number=b.number, backup=backup)
    selector, request = context.node.selector, opaque_request()
    assert selector.continue_at_backup(request, interrupted, 0.1) is None
    resumed = selector.continue_at_backup(request, interrupted, 1.1)
    assert resumed.engine_id == "a" and resumed.permit is not None, resumed
    assert selector.continue_at_backup(request, interrupted, 1.2) is None


@then("b rather than a is chosen as a backup")
def step_backups(context):
    context.node.write("c", {**context.bodies["b"], "Address": "10.0.0.7:7"})
    context.node.engines.get("b").own_load.requests = 5
    selector = context.node.selector
    views = [context.node.engines.get(name) for name in ("a", "b", "c")]
    a, b, c = (Candidate(view, "salt") for view in views)
    assert selector.backups.choose(c, [a, b, c]).engine_id == "b"


@given("a node that asks for a permit at 0 s")
def step_asks(context):
    context.holder = PermitHolder()
    context.holder.ask(1, "user", 0.0)


@when("the answer comes at {seconds:g} s")
def step_answered(context, seconds):
    context.now = seconds
    decision = PermitDecision(1, True, 0.0, run=1, issued_at=500.0)
    context.holder.decided(decision, "issuer", seconds)


@then("the permit is {state} then, and not usable at {seconds:g} s")
def step_usable(context, state, seconds):
    assert context.holder.has_permit(context.now) == (state == "usable")
    assert not context.holder.has_permit(seconds)


def take_permits(context, count, now):
    limits, engine = context.node.selector.limits, context.engine
    taken = []
    while len(taken) < count:
        now += 0.05
        limits.request_permit(engine, "user", 0.0, False, now)
        permit = limits.claim(engine, "user", now)
        taken += [permit] if permit is not None else []
    return taken, now


@when("{count:d} requests get permits, another answer names the limit, then theirs come without it")
def step_late_answers(context, count):
    limits = context.node.selector.limits
    taken, context.now = take_permits(context, count, 0.0)
    (naming,), context.now = take_permits(context, 1, context.now)
    limits.note_answer(context.engine, 20.0, naming, context.now)
    for permit in taken:
        limits.note_answer(context.engine, None, permit, context.now + 0.01)


@when("{count:d} requests get permits, and their answers come without it")
def step_new_answers(context, count):
    taken, now = take_permits(context, count, context.now)
    for permit in taken:
        context.node.selector.limits.note_answer(context.engine, None, permit, now)


@given("a datagram of a peer that reports a limit of {rate} a second")
def step_peer_limit(context, rate):
    update = UnrecordedEngineState(limits=(EngineLimit(ENGINE, float(rate)),))
    (context.datagram,) = datagrams_from_update(update)


@then("the limit is {taken}")
def step_taken(context, taken):
    try:
        limits = update_from_message(context.datagram).limits
    except GossipDecodeError:
        limits = ()
    assert len(limits) == (taken == "taken"), limits


EVENTS = drawn.tuples(
    drawn.floats(0.0, 18.0),
    drawn.sampled_from(("kill", "restart", "freeze", "isolate")),
    drawn.integers(0, 23),
    drawn.floats(0.1, 5.0),
)


def play_history(size, limit, lost_share, max_delay_s, events, seed):
    """Return a fleet after a history; drawn numbers select the nodes by their index."""
    fleet = ReplayedFleet(size, seed, lambda now: limit, lost_share, max_delay_s)
    fleet.schedule_calls(CALLS_PER_S, 24.0)
    for at, kind, number, seconds in events:
        name = f"node-{number % size}"
        actions = {
            "kill": lambda n=name: fleet.kill(n),
            "restart": lambda n=name: fleet.restart(n),
            "freeze": lambda n=name, s=seconds: fleet.freeze(n, s),
            "isolate": lambda k=number: fleet.isolate([f"node-{i}" for i in range(k % size)]),
        }
        fleet.after(at, actions[kind])
    fleet.run(24.0)
    return fleet


@when("histories of nodes that share a limit are drawn at random")
def step_histories(context):
    context.histories = 0

    @fixed_seed(HISTORIES_SEED)
    @settings(max_examples=HISTORIES, deadline=None, database=None)
    @given_drawn(
        drawn.integers(2, 24),
        drawn.sampled_from((0.0, 0.25, 1.0, 3.0, 8.0, 20.0)),
        drawn.floats(0.0, 0.3),
        drawn.floats(0.0, 0.1),
        drawn.lists(EVENTS, max_size=4),
        drawn.integers(0, 1000),
    )
    def check(size, limit, lost_share, max_delay_s, events, seed):
        fleet = play_history(size, limit, lost_share, max_delay_s, events, seed)
        most, bound = most_in_window(arrivals_under_limit(fleet)), 1.5 * limit * WINDOW_S + 5
        assert most <= bound, (most, bound)
        context.histories += 1

    check()


@then("in none of them the engine got more from all nodes together than the rule allows")
def step_no_history(context):
    assert context.histories >= HISTORIES, context.histories
