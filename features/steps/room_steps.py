"""Steps on overload: order of the queue, capacity of engines, and retries."""

import asyncio
from contextlib import suppress
from dataclasses import replace
from unittest.mock import Mock

from behave import given, then, when
from hypothesis import given as drawn
from hypothesis import settings
from hypothesis import strategies as st

from features.gateway_support import engine_record, new_quarantine, opaque_request, route_rule
from features.room_replay import CallerSink, Simulation, run_virtual
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
from liftrill.gateway.transport import EngineAttempt, EngineTransport, ProbeResult
from liftrill.gateway.weight_targets import WeightTargets

SERVICE = "service-1"


def place(urgency=1, tenant="a", tokens=100, latest=2.0, retry_status=RetryStatus.NEW):
    return QueueEntry(
        urgency, tenant, tokens, latest, until=10.0, since=0.0, retry_status=retry_status
    )


def dispatched_next(queue, count):
    """Return the requests that are dispatched as capacity becomes free."""
    found = []
    for _ in range(count):
        waiter = queue.capacity_freed()
        found.append(waiter)
        assert queue.dispatched(waiter, 0.0) is None
    return found


# Order of the queue


@given("a queue with, in order of arrival")
def step_queue(context):
    context.queue, context.names = RequestQueue(), {}
    for row in context.table:
        status = RetryStatus[row["retry_status"].upper()]
        urgency, tokens, latest = int(row["urgency"]), int(row["tokens"]), float(row["latest"])
        waiter = context.queue.join(place(urgency, row["tenant"], tokens, latest, status))
        context.names[waiter.number] = row["name"]


@then("they are woken in the order {names}")
def step_woken_in_order(context, names):
    found = [context.names[w.number] for w in dispatched_next(context.queue, len(context.names))]
    assert found == names.split(", "), found


@given("a queue with {many:d} requests of 1000 tokens of tenant large and {few:d} of tenant small")
def step_two_tenants(context, many, few):
    context.queue = RequestQueue()
    for tenant, count in (("large", many), ("small", few)):
        for _ in range(count):
            context.queue.join(place(tenant=tenant, tokens=1000))


@then("{few:d} of the first {count:d} woken requests are of small")
def step_small_gets(context, count, few):
    found = [w.entry.tenant for w in dispatched_next(context.queue, count)]
    assert found.count("small") == few, found


@given("a queue with {many:d} urgent requests and {few:d} others")
def step_urgent_and_others(context, many, few):
    context.queue = RequestQueue()
    for urgency, count in ((0, many), (1, few)):
        for _ in range(count):
            context.queue.join(place(urgency))


@then("{few:d} of the first {count:d} woken requests are of the others")
def step_others_get(context, count, few):
    found = [w.entry.urgency for w in dispatched_next(context.queue, count)]
    assert found.count(1) == few, found


PLACES = st.builds(
    place,
    urgency=st.integers(0, 2),
    tenant=st.sampled_from("abc"),
    tokens=st.integers(1, 9_000),
    latest=st.floats(0.1, 2.0),
    retry_status=st.sampled_from(list(RetryStatus)),
)
STEPS = st.one_of(
    st.tuples(st.just("join"), PLACES),
    st.tuples(st.sampled_from(["free", "ask all", "took", "nothing", "leave"]), st.integers(0, 50)),
)


def next_step(line, asked, kind, what):
    """Carry out a step; return the request that it woke, and the request that it concerned."""
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


@then("this holds in {count:d} random histories")
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


@given("a queue with a request of urgency 1 that found no capacity")
def step_found_nothing(context):
    context.queue = RequestQueue()
    context.waiter = context.queue.join(place(1))


@then("a new request may try")
def step_may_try(context):
    assert not context.queue.must_wait(1) and not context.queue.must_wait(2)


@when("capacity becomes free")
def step_capacity_freed(context):
    if hasattr(context, "full_engine"):
        context.actions.append(context.full_engine.free_capacity)
    else:
        assert context.queue.capacity_freed() is context.waiter


@then("a new request of urgency 1 must wait, and one of urgency 0 need not")
def step_must_wait(context):
    assert context.queue.must_wait(1) and not context.queue.must_wait(0)
    assert not context.queue.must_wait(1, context.waiter)


@when("the woken request finds no capacity")
def step_woken_finds_none(context):
    assert context.queue.found_no_capacity(context.waiter) is None


@given(
    "a queue in which {parts:d} requests wait for a part to be read, and {others:d} for capacity"
)
def step_queue_for_part(context, parts, others):
    context.queue = RequestQueue()
    for _ in range(parts):
        context.queue.join(replace(place(), needs_capacity=False))
    for _ in range(others):
        context.queue.join(place(2))


@when("the part is read, and all of the {count:d} find it")
def step_part_read(context, count):
    context.woken = [context.queue.prefill_completed(0.0)]
    while context.woken[-1] is not None and not context.woken[-1].entry.needs_capacity:
        context.woken.append(context.queue.dispatched(context.woken[-1], 0.0))


@then("the {count:d} were woken one after the other, without another event")
def step_all_woken(context, count):
    assert sum(not w.entry.needs_capacity for w in context.woken if w) == count


# In the gateway


class EndlessAttempt(EngineAttempt):
    """An attempt that the engine refuses, or accepts and never answers."""

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


class FullEngine(EngineTransport):
    """Requests that wait at a node whose only engine has its memory in use by a running request.

    Attributes:
        sent: number and send time of each request that the engine got.
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

    async def probe(self, address, timeout_s):
        return ProbeResult.ACCEPTED

    def submit(self, urgency=1):
        number = len(self.tasks)
        now = clock.now_s()
        request = opaque_request(received_at=now, deadline=now + 10.0, request_id=str(number))
        prompt = PromptShape("model", (), 1_000, 0)
        request = replace(request, prompt=prompt, priority=urgency, body=b"%d" % number)
        self.sinks.append(CallerSink())
        self.tasks.append(asyncio.ensure_future(self.forwarder.deliver(request, self.sinks[-1])))

    def free_capacity(self):
        self.view.own_load.add(EngineLoad(1, 0, 1_000), -1)
        self.forwarder.queues.capacity_freed(SERVICE)

    def free_without_signal(self):
        self.view.own_load = EngineLoad(-10, 0, -100_000)

    def cancel_first(self):
        self.free_capacity()
        self.tasks[0].cancel()

    def refuse_first(self):
        self.refuses = True
        self.free_capacity()

    async def play(self, count, actions, duration_s):
        for _ in range(count):
            self.submit()
        await asyncio.sleep(0.02)
        for action in actions:
            action()
            await asyncio.sleep(0)
        await asyncio.sleep(duration_s)
        self.sent_meanwhile = list(self.sent)
        self.waiting, _ = self.forwarder.queues.depth_and_age_s(clock.now_s())
        self.refused = [sink.refusal for sink in self.sinks if sink.refusal]
        for task in self.tasks:
            task.cancel()
            with suppress(asyncio.CancelledError):
                await task


@given("{count:d} requests that wait for capacity at a full engine")
def step_full_engine(context, count):
    context.actions, context.count, context.cancelled = [], count, 0
    context.full_engine = FullEngine()


def run_full_engine(context, duration_s):
    run_virtual(context.full_engine.play(context.count, context.actions, duration_s))
    return context.full_engine


@when("capacity becomes free, and the first {action}")
def step_freed_and_action(context, action):
    full_engine = context.full_engine
    context.cancelled = action.startswith("is cancelled")
    context.refuses = "refused" in action
    context.actions += {
        "takes it": [full_engine.free_capacity],
        "is cancelled when woken": [full_engine.cancel_first],
        "is refused by the engine": [full_engine.refuse_first],
    }[action]


@then("{count:d} of them is sent, and the others are refused when their wait ends")
def step_one_sent(context, count):
    full_engine = run_full_engine(context, 0.25)
    assert len(full_engine.sent_meanwhile) == count, full_engine.sent
    # An engine that refused gets nothing for 0.15 s; otherwise the next request is woken at once.
    assert full_engine.sent[0][1] <= (0.25 if context.refuses else 0.02), full_engine.sent
    assert full_engine.waiting == 0
    assert len(full_engine.refused) == context.count - count - context.cancelled, (
        full_engine.refused
    )


@when("the engine gets capacity, without a signal")
def step_freed_without_signal(context):
    context.actions.append(context.full_engine.free_without_signal)


@then("{count:d} of them are sent within {seconds:g} s")
def step_sent_within(context, count, seconds):
    full_engine = run_full_engine(context, seconds)
    assert len(full_engine.sent_meanwhile) == count, full_engine.sent


@when("a configuration makes all new requests more urgent, and one arrives")
def step_more_urgent(context):
    context.actions.append(lambda: context.full_engine.submit(urgency=0))


@then("the one that arrived last is sent")
def step_last_sent(context):
    full_engine = run_full_engine(context, 0.01)
    assert [number for number, _ in full_engine.sent_meanwhile] == [context.count], full_engine.sent


@when("the machine is suspended for {seconds:g} s")
def step_suspended(context, seconds):
    def suspend():
        asyncio.get_running_loop().now += seconds

    context.actions.append(suspend)


@then("all of them are refused, and none waits")
def step_all_refused(context):
    full_engine = run_full_engine(context, 0.01)
    assert full_engine.waiting == 0 and len(full_engine.sinks) == context.count
    assert not full_engine.sent_meanwhile and len(full_engine.refused) == context.count


@given("a queue of {count:d} requests that is drained at {rate:d} a second")
def step_drained_queue(context, rate, count):
    context.full_engine = FullEngine()
    context.full_engine.forwarder._queue_entries.log = Mock()
    queue = context.full_engine.forwarder.queues.queue(SERVICE)
    now = clock.now_s()
    for number in range(2 * rate):
        queue.dispatched(queue.join(place()), now - (2 * rate - number) / rate)
    for _ in range(count):
        queue.join(place())


def try_to_wait(context, urgency, wait_s):
    now = clock.now_s()
    request = replace(opaque_request(received_at=now, deadline=now + 10), priority=urgency)
    return context.full_engine.forwarder.new_queue_entry(request, now + wait_s, for_capacity=True)


@then("one more that may wait for {seconds:g} s is refused at once, and logged")
def step_refused_at_once(context, seconds):
    assert try_to_wait(context, 1, seconds) is None
    context.full_engine.forwarder._queue_entries.log.not_queued.assert_called_once()


@then("one that is more urgent waits")
def step_urgent_waits(context):
    assert try_to_wait(context, 0, 0.5) is not None


# Capacity


@then("with a target of {target:g} s, engine waits of up to {wait:g} s are accepted")
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


@then("in a short burst both accept waits of up to {wait:g} s")
def step_both_bounds(context, wait):
    assert bounds(context, 0.0, 0.0) == [wait, wait]


@when("it has a standing queue")
def step_standing_queue(context):
    for tenth in range(10):
        bounds(context, 1.0, tenth / 10)
    assert context.guard.is_overloaded(SERVICE)


@then("the urgent accept waits of up to {tight:g} s, and others of up to {wide:g} s")
def step_standing_bounds(context, tight, wide):
    assert bounds(context, 1.0, 1.0) == [tight, wide], bounds(context, 1.0, 1.0)


SHARES = {"a fifth": 5, "a tenth": 10}


@given("{share} of the tokens that are sent is urgent")
@when("{share} of the tokens that are sent is urgent")
def step_urgent_share(context, share):
    for number in range(600):
        urgent = number % 3 == 0
        # Two of three requests are less urgent.
        tokens = 2_000 if urgent else 1_000 * (SHARES[share] - 1)
        context.guard.note_sent(context.kinds[0 if urgent else 1], tokens)


@given("an engine of 90000 tokens of which running requests have 85000")
def step_engine_memory(context):
    context.filter, context.guard = CapacityFilter(), OverloadGuard()
    context.view = EngineView(engine_record("e0"), own_load=EngineLoad(9, 0, 85_000))


def fits(context, urgency):
    request = replace(opaque_request(), prompt=PromptShape("model", (), 9_900, 100))
    request = replace(request, priority=urgency)
    args = (context.guard, request, [context.view], {"e0": 0.0}, 90_000, 0.0)
    return bool(context.filter.engines_with_capacity(*args))


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
    context.full_engine = FullEngine()
    selector = context.full_engine.forwarder._ports._selector
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
    context.full_engine.forwarder._ports.record_prefill(choice, request, tokens, seconds)


@then("the estimated read speed stays the same")
def step_not_faster(context):
    assert prefill_s_per_token(context) == context.before_s


@then("the estimated read speed grows")
def step_faster(context):
    assert prefill_s_per_token(context) < context.before_s


def prefill_s_per_token(context):
    # Paces are computed twice a second.
    context.refreshed_at = getattr(context, "refreshed_at", clock.now_s()) + 0.6
    context.speeds.refresh(context.refreshed_at)
    return context.speeds.service_prefill_s_per_token(SERVICE)


# Retries of refused callers


@given("a node that sends {rate:d} requests a second")
def step_sends(context, rate):
    context.schedule = RetrySchedule()
    for number in range(10 * rate):
        context.schedule.note_sent(number / rate)


@when("{count:d} callers with {patience:g} s of patience are refused at once")
def step_refused_together(context, count, patience):
    context.waits = [context.schedule.next_retry_s(0.3, patience, 10.0) for _ in range(count)]


@when(
    "{count:d} callers with {patience:g} s of patience are refused at once,"
    " and there is capacity after {capacity_s:g} s"
)
def step_refused_without_capacity(context, count, patience, capacity_s):
    schedule = RetrySchedule()
    context.waits = [schedule.next_retry_s(capacity_s, patience, 10.0) for _ in range(count)]


@then("their retry times are {least:g} s or more and all different")
def step_apart(context, least):
    assert min(context.waits) >= least, context.waits
    assert len(set(context.waits)) == len(context.waits), context.waits


@then("their retry times are spread over {span:g} s, in order, and none is before {least:g} s")
def step_spread(context, span, least):
    assert context.waits == sorted(context.waits) and context.waits[0] >= least
    assert 0.7 * span <= context.waits[-1] - context.waits[0] <= 1.3 * span, context.waits


@then("no retry time is later than {patience:g} s")
def step_patience(context, patience):
    assert max(context.waits) <= patience, context.waits
    assert len(set(context.waits)) == len(context.waits)


@given("a caller that was told to retry in {seconds:g} s")
def step_refused_before(context, seconds):
    context.refused_requests, context.request = RefusedRequests(), opaque_request(body=b"same")
    context.refused_requests.record_refusal(context.request, seconds, 0.0)


@when("it retries after {at:g} s and is told to retry in {seconds:g} s")
def step_refused_again(context, at, seconds):
    assert context.refused_requests.retry_status(context.request, at) is RetryStatus.CAME_EARLY
    context.refused_requests.record_refusal(context.request, seconds, at)


@then("after {at:g} s its retry status is {status}")
def step_retry_status(context, at, status):
    again = replace(context.request, request_id="another")
    found = context.refused_requests.retry_status(again, at)
    assert found is RetryStatus[status.upper().replace(" ", "_")], found


@when("it is queued from {at:g} s on, and woken twice without capacity")
def step_woken_without_capacity(context, at):
    async def play():
        full_engine = FullEngine()
        full_engine.forwarder._queue_entries.refused_requests = context.refused_requests
        await asyncio.sleep(at)
        request = replace(context.request, received_at=clock.now_s())
        context.statuses = []
        for _ in range(3):
            entry = full_engine.forwarder.new_queue_entry(request, at + 0.1, for_capacity=True)
            context.statuses.append(entry.retry_status)
            waiting = asyncio.ensure_future(full_engine.forwarder.queues.wait(request, entry))
            await asyncio.sleep(0.01)
            full_engine.forwarder.queues.capacity_freed(SERVICE)
            await waiting

    run_virtual(play())


@then("it still goes before new requests")
def step_still_first(context):
    assert context.statuses == [RetryStatus.CAME_BACK] * 3, context.statuses


@when("{count:d} callers are refused")
def step_many_refused(context, count):
    context.refused_requests = RefusedRequests()
    for number in range(count):
        request = opaque_request(body=b"%d" % number)
        context.refused_requests.record_refusal(request, 1.0, number / 1000)


@then("{count:d} of them are remembered")
def step_remembered(context, count):
    assert len(context.refused_requests._due) == count == MAX_REFUSED_REQUESTS


# Simulations


@given("{nodes:d} nodes, {engines:d} engines, and callers with a target of {target:g} s")
def step_simulation(context, nodes, engines, target):
    context.simulation = Simulation(nodes, engines, target)


@when(
    "the load is {load:g} times the read capacity for {duration_s:g} s,"
    " and 0.5 times before and after"
)
def step_load(context, load, duration_s):
    simulation, context.since, context.until = context.simulation, 3.0, 3.0 + duration_s
    simulation.add_calls(0.0, context.since, 0.5)
    simulation.add_calls(context.since, context.until, load)
    simulation.add_calls(context.until, context.until + 6.0, 0.5)
    simulation.run()


@then("the goodput in this time was at least {share:g} of the read capacity")
def step_simulation_good(context, share):
    good = context.simulation.goodput(context.since, context.until)
    assert good >= share, (good, context.simulation.summary())


@then("at least {share:g} of the urgent requests were answered in time")
def step_simulation_urgent(context, share):
    found = context.simulation.in_time(priority=0)
    assert found >= share, found


@then("from {seconds:g} s later on at least {share:g} of the requests were answered in time")
def step_simulation_after(context, seconds, share):
    found = context.simulation.in_time(since=context.until + seconds)
    assert found >= share, found


@then("no urgency and no tenant was served at less than a quarter of the overall rate")
def step_none_starved(context):
    simulation = context.simulation
    for kind in (0, 1):
        assert simulation.served(priority=kind) >= simulation.served() / 4
    for tenant in {call.tenant for call in simulation.calls}:
        assert simulation.served(tenant=tenant) >= simulation.served() / 4


@then("at least {share:g} of all were served")
def step_all_served(context, share):
    assert context.simulation.served() >= share, context.simulation.summary()


@when("one of 8 tenants has {times:g} times its usual load for {duration_s:g} s")
def step_hot_tenant(context, times, duration_s):
    simulation = context.simulation
    simulation.add_calls(0.0, duration_s + 6.0, 0.8)
    simulation.add_calls(3.0, 3.0 + duration_s, (times - 1) * 0.8 / 8, tenant="tenant-0")
    simulation.run()


@then("the others were served at least as often as that one")
def step_others_served(context):
    simulation = context.simulation
    hot = simulation.served(tenant="tenant-0")
    others = [simulation.served(tenant=f"tenant-{number}") for number in range(1, 8)]
    assert sum(others) / 7 >= hot and min(others) >= 0.5, (hot, others)


@when("the load is {load:g} times the read capacity, a third of it from callers that retry at once")
def step_abusive(context, load):
    simulation = context.simulation
    simulation.add_calls(0.0, 9.0, load * 2 / 3)
    simulation.add_calls(0.0, 9.0, load / 3, tenant="abusive")
    simulation.run()


@then("the others were served at {share:g} or more of the overall rate")
def step_others_rate(context, share):
    simulation = context.simulation
    others = [simulation.served(tenant=f"tenant-{number}") for number in range(8)]
    assert sum(others) / 8 >= share * simulation.served(), (others, simulation.served())
