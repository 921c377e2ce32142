"""Steps about too little room: the order of the line, room at engines, and coming back."""

import asyncio
from contextlib import suppress
from dataclasses import replace
from unittest.mock import Mock

from behave import given, then, when
from hypothesis import given as drawn
from hypothesis import settings
from hypothesis import strategies as st

from features.gateway_support import engine_record, new_quarantine, opaque_request, route_rule
from features.room_replay import CallerSink, Replay, run_virtual
from liftrill import clock
from liftrill.gateway import delivery_events as events
from liftrill.gateway.admission.capacity_filter import CapacityFilter
from liftrill.gateway.admission.overload import OverloadGuard
from liftrill.gateway.admission.request_queue import QueueEntry, RequestQueue, RetryStatus
from liftrill.gateway.admission.retry_after import (
    MAX_REFUSED_REQUESTS,
    RefusedRequests,
    RetrySchedule,
)
from liftrill.gateway.admission.retry_allowance import RetryAllowance
from liftrill.gateway.decision_log import DecisionLog
from liftrill.gateway.engines.engine_selector import EngineSelector
from liftrill.gateway.engines.engine_table import EngineLoad, EngineTable, EngineView
from liftrill.gateway.forwarder import Forwarder, ForwardingPorts
from liftrill.gateway.gateway_metrics import GatewayMetrics
from liftrill.gateway.opaque_request import PromptShape
from liftrill.gateway.records import ServiceProfile
from liftrill.gateway.transport import EngineAttempt, EngineTransport
from liftrill.gateway.weight_targets import WeightTargets

SERVICE = "service-1"


def place(urgency=1, tenant="a", tokens=100, latest=2.0, standing=RetryStatus.NEW):
    return QueueEntry(urgency, tenant, tokens, latest, until=10.0, since=0.0, standing=standing)


def places(line, count):
    """Return who gets the next places that come free."""
    found = []
    for _ in range(count):
        waiter = line.capacity_freed()
        found.append(waiter)
        assert line.dispatched(waiter, 0.0) is None
    return found


# The order


@given("a line in which wait, in this order")
def step_line(context):
    context.line, context.names = RequestQueue(), {}
    for row in context.table:
        standing = RetryStatus[row["standing"].upper()]
        urgency, tokens, latest = int(row["urgency"]), int(row["tokens"]), float(row["latest"])
        waiter = context.line.join(place(urgency, row["tenant"], tokens, latest, standing))
        context.names[waiter.number] = row["name"]


@then("places go to {names}")
def step_places_go(context, names):
    found = [context.names[w.number] for w in places(context.line, len(context.names))]
    assert found == names.split(", "), found


@given("a line with {many:d} requests of 1000 tokens of tenant large and {few:d} of tenant small")
def step_two_tenants(context, many, few):
    context.line = RequestQueue()
    for tenant, count in (("large", many), ("small", few)):
        for _ in range(count):
            context.line.join(place(tenant=tenant, tokens=1000))


@then("of the first {count:d} places {few:d} go to small")
def step_small_gets(context, count, few):
    found = [w.entry.tenant for w in places(context.line, count)]
    assert found.count("small") == few, found


@given("a line with {many:d} urgent requests and {few:d} others")
def step_urgent_and_others(context, many, few):
    context.line = RequestQueue()
    for urgency, count in ((0, many), (1, few)):
        for _ in range(count):
            context.line.join(place(urgency))


@then("of the first {count:d} places {few:d} go to the others")
def step_others_get(context, count, few):
    found = [w.entry.urgency for w in places(context.line, count)]
    assert found.count(1) == few, found


PLACES = st.builds(
    place,
    urgency=st.integers(0, 2),
    tenant=st.sampled_from("abc"),
    tokens=st.integers(1, 9_000),
    latest=st.floats(0.1, 2.0),
    standing=st.sampled_from(list(RetryStatus)),
)
STEPS = st.one_of(
    st.tuples(st.just("join"), PLACES),
    st.tuples(st.sampled_from(["free", "ask all", "took", "nothing", "leave"]), st.integers(0, 50)),
)


def next_step(line, asked, kind, what):
    """Carry out a step; return who is newly asked, and whom the step was about."""
    if kind == "join":
        line.join(what)
        return line.start_untried_round(), None
    if kind == "free":
        return line.capacity_freed(), None
    if kind == "ask all":
        return line.start_full_round(0.0), None
    among = list(line._waiters.values()) if kind == "leave" else asked
    if not among:
        return None, None
    waiter = among[what % len(among)]
    if kind == "took":
        return line.dispatched(waiter, 0.0), waiter
    return (line.leave if kind == "leave" else line.found_no_capacity)(waiter), waiter


@then("it is so in {count:d} histories drawn at random")
def step_histories(context, count):
    @settings(max_examples=count, deadline=None, derandomize=True)
    @drawn(st.lists(STEPS, max_size=60))
    def check(steps):
        line, asked = RequestQueue(), []
        for kind, what in steps:
            unasked = [w for w in line._waiters.values() if w.wake_round is None]
            woken, about = next_step(line, asked, kind, what)
            if about in asked:
                asked.remove(about)
            if woken is not None:
                asked.append(woken)
            if kind == "free" and unasked:
                assert woken in unasked, (kind, what)
            # Exactly those are asked that were woken, and each of them is still there.
            assert [w for w in line._waiters.values() if w.wake_round] == sorted(
                asked, key=lambda w: w.number
            )
        served = 0
        while len(line):
            for waiter in asked or [line.start_full_round(0.0)]:
                line.dispatched(waiter, 0.0)
                served += 1
            asked = [w for w in line._waiters.values() if w.wake_round]
        assert line.capacity_freed() is None

    check()


@given("a line with a request of urgency 1 that found nothing")
def step_found_nothing(context):
    context.line = RequestQueue()
    context.waiter = context.line.join(place(1))


@then("one that arrives may try")
def step_may_try(context):
    assert not context.line.must_wait(1) and not context.line.must_wait(2)


@when("a place comes free")
def step_comes_free(context):
    if hasattr(context, "crowd"):
        context.actions.append(context.crowd.free_place)
    else:
        assert context.line.capacity_freed() is context.waiter


@then("one of urgency 1 that arrives must wait, and one of urgency 0 need not")
def step_must_wait(context):
    assert context.line.must_wait(1) and not context.line.must_wait(0)
    assert not context.line.must_wait(1, context.waiter)


@when("the request that was asked finds nothing")
def step_asked_finds_nothing(context):
    assert context.line.found_no_capacity(context.waiter) is None


@given("a line in which {parts:d} requests wait for a part to be read, and {room:d} for room")
def step_part_line(context, parts, room):
    context.line = RequestQueue()
    for _ in range(parts):
        context.line.join(replace(place(), needs_capacity=False))
    for _ in range(room):
        context.line.join(place(2))


@when("the part was read, and all of the {count:d} find it")
def step_part_read(context, count):
    context.asked = [context.line.prefill_completed(0.0)]
    while context.asked[-1] is not None and not context.asked[-1].entry.needs_capacity:
        context.asked.append(context.line.dispatched(context.asked[-1], 0.0))


@then("the {count:d} were asked one after the other, without any other sign")
def step_all_parts_asked(context, count):
    assert sum(not w.entry.needs_capacity for w in context.asked if w) == count


# In the gateway


class EndlessAttempt(EngineAttempt):
    """An engine that takes a request and never answers it, or turns the first one away."""

    def __init__(self, refuses):
        self._refuses = refuses

    async def open(self):
        if self._refuses:
            return [events.AttemptRefused(events.RefusalKind.OVERLOADED)]
        return [events.StreamOpened(200, ())]

    async def read(self):
        await asyncio.sleep(1000.0)

    def close(self):
        pass


class Crowd(EngineTransport):
    """Requests that wait at a node with one engine, whose memory a running request takes.

    Attributes:
        sent: the requests that the engine was sent, by number, with when.
    """

    def __init__(self):
        self.sent, self.tasks, self.sinks, self.refuses = [], [], [], False
        self.table = EngineTable()
        self.view = self.table.update(engine_record("e0", weights={"model": 1}))
        self.view.own_load.add(EngineLoad(1, 0, 1_000))
        selector = EngineSelector(self.table, WeightTargets(8.0, 8.0), "zone-1")
        selector.parts.services[SERVICE] = ServiceProfile(SERVICE, 0, cache_tokens=1_000)
        allowance = RetryAllowance(0.2, 100, 10.0, 0.0)
        ports = ForwardingPorts(selector, allowance)
        log, metrics, quarantine = DecisionLog("n"), GatewayMetrics(), new_quarantine(self.table)
        self.forwarder = Forwarder(self.table, ports, allowance, self, log, metrics, quarantine)

    def attempt(self, request, start):
        refuses, self.refuses = self.refuses, False
        if not refuses:
            self.sent.append((int(request.request_id), clock.now_s()))
        return EndlessAttempt(refuses)

    async def has_ended(self, address):
        return False

    def ask(self, urgency=1):
        number = len(self.tasks)
        now = clock.now_s()
        request = opaque_request(received_at=now, deadline=now + 10.0, request_id=str(number))
        prompt = PromptShape("model", (), 1_000, 0)
        request = replace(request, prompt=prompt, priority=urgency, body=b"%d" % number)
        self.sinks.append(CallerSink())
        self.tasks.append(asyncio.ensure_future(self.forwarder.deliver(request, self.sinks[-1])))

    def free_place(self):
        self.view.own_load.add(EngineLoad(1, 0, 1_000), -1)
        self.forwarder.queues.capacity_freed(SERVICE)

    def free_silently(self):
        self.view.own_load = EngineLoad(-10, 0, -100_000)

    def leave_first(self):
        self.free_place()
        self.tasks[0].cancel()

    def refuse_first(self):
        self.refuses = True
        self.free_place()

    async def play(self, count, actions, lasting):
        for _ in range(count):
            self.ask()
        await asyncio.sleep(0.02)
        for action in actions:
            action()
            await asyncio.sleep(0)
        await asyncio.sleep(lasting)
        self.sent_meanwhile = list(self.sent)
        self.waiting, _ = self.forwarder.queues.depth_and_age_s(clock.now_s())
        self.refused = [sink.refusal for sink in self.sinks if sink.refusal]
        for task in self.tasks:
            task.cancel()
            with suppress(asyncio.CancelledError):
                await task


@given("{count:d} requests that wait for room at a full engine")
def step_crowd(context, count):
    context.actions, context.count, context.left = [], count, 0
    context.crowd = Crowd()


def play(context, lasting):
    run_virtual(context.crowd.play(context.count, context.actions, lasting))
    return context.crowd


@when("a place comes free, and the first {does}")
def step_place_and(context, does):
    crowd = context.crowd
    context.left = does.startswith("leaves")
    context.refuses = "refused" in does
    context.actions += {
        "takes it": [crowd.free_place],
        "leaves as it is woken": [crowd.leave_first],
        "is refused by the engine": [crowd.refuse_first],
    }[does]


@then("{count:d} of them is sent, and the others are refused when their wait is over")
def step_one_sent(context, count):
    crowd = play(context, 0.25)
    assert len(crowd.sent_meanwhile) == count, crowd.sent
    # An engine that refused is left alone for 0.15 s; otherwise the next one is woken at once.
    assert crowd.sent[0][1] <= (0.25 if context.refuses else 0.02), crowd.sent
    assert crowd.waiting == 0
    assert len(crowd.refused) == context.count - count - context.left, crowd.refused


@when("the engine has room, and nobody says so")
def step_silent_room(context):
    context.actions.append(context.crowd.free_silently)


@then("{count:d} of them are sent within {seconds:g} s")
def step_sent_within(context, count, seconds):
    crowd = play(context, seconds)
    assert len(crowd.sent_meanwhile) == count, crowd.sent


@when("a configuration makes all new requests more urgent, and one arrives")
def step_more_urgent(context):
    context.actions.append(lambda: context.crowd.ask(urgency=0))


@then("the one that arrived last is sent")
def step_last_sent(context):
    crowd = play(context, 0.01)
    assert [number for number, _ in crowd.sent_meanwhile] == [context.count], crowd.sent


@when("the machine sleeps for {seconds:g} s")
def step_sleeps(context, seconds):
    def sleep():
        asyncio.get_running_loop().now += seconds

    context.actions.append(sleep)


@then("all of them are refused, and nobody waits")
def step_all_refused(context):
    crowd = play(context, 0.01)
    assert crowd.waiting == 0 and len(crowd.sinks) == context.count
    assert not crowd.sent_meanwhile and len(crowd.refused) == context.count


@given("a line that {rate:d} places a second come free for, and {count:d} requests that wait")
def step_drained_line(context, rate, count):
    context.crowd = Crowd()
    context.crowd.forwarder._queue_entries.log = Mock()
    line = context.crowd.forwarder.queues.queue(SERVICE)
    now = clock.now_s()
    for number in range(2 * rate):
        line.dispatched(line.join(place()), now - (2 * rate - number) / rate)
    for _ in range(count):
        line.join(place())


def try_to_wait(context, urgency, wait_s):
    now = clock.now_s()
    request = replace(opaque_request(received_at=now, deadline=now + 10), priority=urgency)
    return context.crowd.forwarder.new_queue_entry(request, now + wait_s, for_capacity=True)


@then("one more that may wait for {seconds:g} s is refused at once, with a line in the log")
def step_refused_at_once(context, seconds):
    assert try_to_wait(context, 1, seconds) is None
    context.crowd.forwarder._queue_entries.log.not_queued.assert_called_once()


@then("one that is more urgent waits")
def step_urgent_waits(context):
    assert try_to_wait(context, 0, 0.5) is not None


# Room


@then("with a target of {target:g} s a wait of up to {wait:g} s is sent into")
def step_bound(context, target, wait):
    request = opaque_request(replace(route_rule(), target_seconds=target))
    assert abs(OverloadGuard().max_wait_s(request, 0.0, 0.0) - wait) < 1e-9


@given("a service whose urgent requests have a target of {tight:g} s, and others of {wide:g} s")
def step_two_targets(context, tight, wide):
    context.guard, context.kinds = OverloadGuard(), []
    for urgency, target_s in ((0, tight), (1, wide)):
        route = replace(route_rule(), target_seconds=target_s)
        context.kinds.append(replace(opaque_request(route, received_at=0.0), priority=urgency))
    bounds(context, 0.0, 0.0)


def bounds(context, min_wait_s, now):
    kinds = [replace(kind, received_at=now) for kind in context.kinds]
    return [round(context.guard.max_wait_s(kind, min_wait_s, now), 3) for kind in kinds]


@then("in a short burst both may be sent into waits of up to {wait:g} s")
def step_both_bounds(context, wait):
    assert bounds(context, 0.0, 0.0) == [wait, wait]


@when("its queue stands")
def step_queue_stands(context):
    for tenth in range(10):
        bounds(context, 1.0, tenth / 10)
    assert context.guard.is_overloaded(SERVICE)


@then("the urgent may be sent into waits of up to {tight:g} s, and others of up to {wide:g} s")
def step_standing_bounds(context, tight, wide):
    assert bounds(context, 1.0, 1.0) == [tight, wide], bounds(context, 1.0, 1.0)


SHARES = {"a fifth": 5, "a tenth": 10}


@given("of the tokens that are sent {share} is urgent")
@when("{share} of the tokens that are sent is urgent")
def step_urgent_share(context, share):
    for number in range(600):
        urgent = number % 3 == 0
        # Two of three requests are others.
        tokens = 2_000 if urgent else 1_000 * (SHARES[share] - 1)
        context.guard.note_sent(context.kinds[0 if urgent else 1], tokens)


@given("an engine of 90000 tokens of which running requests have 85000")
def step_engine_memory(context):
    context.room, context.guard = CapacityFilter(), OverloadGuard()
    context.view = EngineView(engine_record("e0"), own_load=EngineLoad(9, 0, 85_000))


def fits(context, urgency):
    request = replace(opaque_request(), prompt=PromptShape("model", (), 9_900, 100))
    request = replace(request, priority=urgency)
    args = (context.guard, request, [context.view], {"e0": 0.0}, 90_000, 0.0)
    return bool(context.room.engines_with_capacity(*args))


@then("a request of 10000 tokens fits, of whatever urgency")
def step_fits(context):
    assert fits(context, 2)


@when("a more urgent request was seen")
def step_urgent_seen(context):
    fits(context, 0)


@then("a request of 10000 tokens does not fit, but the more urgent one does")
def step_does_not_fit(context):
    assert not fits(context, 2) and fits(context, 0)


@given("a service with requests of two urgencies")
def step_two_urgencies(context):
    context.crowd = Crowd()
    selector = context.crowd.forwarder._ports._selector
    for urgency in (0, 1):
        selector.guard.is_more_urgent(replace(opaque_request(), priority=urgency))
    context.speeds = selector.speeds
    context.before_s = selector.speeds.service_prefill_s_per_token(SERVICE)


@when("an urgent one is answered {seconds:g} s after {tokens:d} tokens were waiting")
def step_urgent_answered(context, seconds, tokens):
    answered(context, 0, seconds, tokens)


@when("one of the others is answered {seconds:g} s after {tokens:d} tokens were waiting")
def step_other_answered(context, seconds, tokens):
    answered(context, 1, seconds, tokens)


def answered(context, urgency, seconds, tokens):
    request = replace(opaque_request(), priority=urgency)
    choice = events.EngineChoice("e0", "10.0.0.1:0")
    context.crowd.forwarder._ports.record_prefill(choice, request, tokens, seconds)


@then("engines are not taken to read faster")
def step_not_faster(context):
    assert reading_s(context) == context.before_s


@then("engines are taken to read faster")
def step_faster(context):
    assert reading_s(context) < context.before_s


def reading_s(context):
    # Paces are worked out twice a second.
    context.worked_out_at = getattr(context, "worked_out_at", clock.now_s()) + 0.6
    context.speeds.refresh(context.worked_out_at)
    return context.speeds.service_prefill_s_per_token(SERVICE)


# Coming back


@given("a node that sends {rate:d} requests a second")
def step_sends(context, rate):
    context.times = RetrySchedule()
    for number in range(10 * rate):
        context.times.note_sent(number / rate)


@when("{count:d} callers with {patience:g} s of patience are refused at once")
def step_refused_together(context, count, patience):
    context.waits = [context.times.next_retry_s(0.3, patience, 10.0) for _ in range(count)]


@when(
    "{count:d} callers with {patience:g} s of patience are refused at once,"
    " and there is room after {room:g} s"
)
def step_refused_without_room(context, count, patience, room):
    times = RetrySchedule()
    context.waits = [times.next_retry_s(room, patience, 10.0) for _ in range(count)]


@then("they are told times of {least:g} s or more that are all different")
def step_apart(context, least):
    assert min(context.waits) >= least, context.waits
    assert len(set(context.waits)) == len(context.waits), context.waits


@then("they are told to come back over {span:g} s, in order, and none before {least:g} s")
def step_spread(context, span, least):
    assert context.waits == sorted(context.waits) and context.waits[0] >= least
    assert 0.7 * span <= context.waits[-1] - context.waits[0] <= 1.3 * span, context.waits


@then("none is told to come back later than {patience:g} s")
def step_patience(context, patience):
    assert max(context.waits) <= patience, context.waits
    assert len(set(context.waits)) == len(context.waits)


@given("a caller that was told to come back in {seconds:g} s")
def step_told(context, seconds):
    context.returning, context.request = RefusedRequests(), opaque_request(body=b"same")
    context.returning.record_refusal(context.request, seconds, 0.0)


@when("it comes after {at:g} s and is told to come back in {seconds:g} s")
def step_told_again(context, at, seconds):
    assert context.returning.retry_status(context.request, at) is RetryStatus.CAME_EARLY
    context.returning.record_refusal(context.request, seconds, at)


@then("after {at:g} s it counts as {standing}")
def step_standing(context, at, standing):
    again = replace(context.request, request_id="another")
    found = context.returning.retry_status(again, at)
    assert found is RetryStatus[standing.upper().replace(" ", "_")], found


@when("it waits in line from {at:g} s on, and is asked twice in vain")
def step_asked_in_vain(context, at):
    async def play():
        crowd = Crowd()
        crowd.forwarder._queue_entries.refused_requests = context.returning
        await asyncio.sleep(at)
        request = replace(context.request, received_at=clock.now_s())
        context.standings = []
        for _ in range(3):
            held = crowd.forwarder.new_queue_entry(request, at + 0.1, for_capacity=True)
            context.standings.append(held.standing)
            waiting = asyncio.ensure_future(crowd.forwarder.queues.wait(request, held))
            await asyncio.sleep(0.01)
            crowd.forwarder.queues.capacity_freed(SERVICE)
            await waiting

    run_virtual(play())


@then("it still goes before new ones")
def step_still_first(context):
    assert context.standings == [RetryStatus.CAME_BACK] * 3, context.standings


@when("{count:d} callers are refused")
def step_many_refused(context, count):
    context.returning = RefusedRequests()
    for number in range(count):
        request = opaque_request(body=b"%d" % number)
        context.returning.record_refusal(request, 1.0, number / 1000)


@then("{count:d} of them are remembered")
def step_remembered(context, count):
    assert len(context.returning._due) == count == MAX_REFUSED_REQUESTS


# Replays


@given("{nodes:d} nodes before {engines:d} engines, and callers with a target of {target:g} s")
def step_replay(context, nodes, engines, target):
    context.replay = Replay(nodes, engines, target)


@when(
    "{load:g} times what engines can read is asked for during {lasting:g} s,"
    " and 0.5 times around it"
)
def step_load(context, load, lasting):
    replay, context.since, context.until = context.replay, 3.0, 3.0 + lasting
    replay.ask(0.0, context.since, 0.5)
    replay.ask(context.since, context.until, load)
    replay.ask(context.until, context.until + 6.0, 0.5)
    replay.run()


@then("{share:g} of it at least was answered in time meanwhile")
def step_replay_good(context, share):
    good = context.replay.goodput(context.since, context.until)
    assert good >= share, (good, context.replay.summary())


@then("of the urgent requests {share:g} were answered in time at least")
def step_replay_urgent(context, share):
    found = context.replay.in_time(priority=0)
    assert found >= share, found


@then("of what came {seconds:g} s later {share:g} were answered in time at least")
def step_replay_after(context, seconds, share):
    found = context.replay.in_time(since=context.until + seconds)
    assert found >= share, found


@then("no kind and no tenant was served at under a quarter of the rate of all")
def step_none_starved(context):
    replay = context.replay
    for kind in (0, 1):
        assert replay.served(priority=kind) >= replay.served() / 4
    for tenant in {call.tenant for call in replay.calls}:
        assert replay.served(tenant=tenant) >= replay.served() / 4


@then("{share:g} of all were served at least")
def step_all_served(context, share):
    assert context.replay.served() >= share, context.replay.summary()


@when("one of 8 tenants asks for {times:g} times its usual during {lasting:g} s")
def step_hot(context, times, lasting):
    replay = context.replay
    replay.ask(0.0, lasting + 6.0, 0.8)
    replay.ask(3.0, 3.0 + lasting, (times - 1) * 0.8 / 8, tenant="tenant-0")
    replay.run()


@then("the others were served at least as often as that one")
def step_others_served(context):
    replay = context.replay
    hot = replay.served(tenant="tenant-0")
    others = [replay.served(tenant=f"tenant-{number}") for number in range(1, 8)]
    assert sum(others) / 7 >= hot and min(others) >= 0.5, (hot, others)


@when(
    "{load:g} times what engines can read is asked for, a third of it by callers who repeat at once"
)
def step_abusive(context, load):
    replay = context.replay
    replay.ask(0.0, 9.0, load * 2 / 3)
    replay.ask(0.0, 9.0, load / 3, tenant="abusive")
    replay.run()


@then("the others were served at {share:g} of the rate of all at least")
def step_others_rate(context, share):
    replay = context.replay
    others = [replay.served(tenant=f"tenant-{number}") for number in range(8)]
    assert sum(others) / 8 >= share * replay.served(), (others, replay.served())
