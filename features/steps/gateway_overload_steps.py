"""Steps on overload: a simulation of engines that prefill one prompt at a time."""

import heapq
import itertools
import math
import random
from dataclasses import replace

from behave import given, then, when

from features.gateway_support import engine_record, opaque_request, route_rule
from liftrill.gateway.delivery_ports import Unavailable
from liftrill.gateway.delivery_times import StreamTimes
from liftrill.gateway.engines.engine_selector import EngineSelector
from liftrill.gateway.engines.engine_table import EngineLoad, EngineTable
from liftrill.gateway.engines.speed_estimator import SpeedEstimator
from liftrill.gateway.opaque_request import PromptPart, PromptShape
from liftrill.gateway.records import ServiceProfile
from liftrill.gateway.weight_targets import WeightTargets

TARGET_S = 0.6
CANCEL_AFTER_S = 4.0
MAX_HOLD_S = 0.12
HOLD_STEP_S = 0.03
BEGIN_S = 10.0
AFTER_S = 10.0
RETRY_AFTER_S = (0.5, 1.5)
LARGE_TOKENS = 5_000
SMALL_TOKENS = 500
# Every fourth request is small and urgent, with a tenth of the tokens of the others.
SMALL_EVERY = 4


class UnlimitedGuard:
    """An overload guard that allows any wait."""

    def max_wait_s(self, request, min_wait_s, now):
        return math.inf

    def is_overloaded(self, service):
        return False


class Simulation:
    """Callers that retry once, and engines that prefill prompts in the order of arrival."""

    def __init__(self, engines, tokens_per_s):
        self.rate = tokens_per_s
        self.table = EngineTable()
        for number in range(engines):
            self.table.update(engine_record(f"e{number}", weights={"model": 1}))
        self.selector = EngineSelector(self.table, WeightTargets(8.0), "zone-1")
        self.free_at = {f"e{number}": 0.0 for number in range(engines)}
        self.random = random.Random(7)
        self.queue = []
        self.order = itertools.count()
        self.in_time = []
        self.refused = 0
        self.arrivals = []
        self.urgent = set()

    def at(self, time, action):
        heapq.heappush(self.queue, (time, next(self.order), action))

    def run(self, load, overload_s):
        self.overload = (BEGIN_S, BEGIN_S + overload_s)
        now = 0.0
        end = self.overload[1] + AFTER_S
        mean_tokens = (LARGE_TOKENS * (SMALL_EVERY - 1) + SMALL_TOKENS) / SMALL_EVERY
        capacity = len(self.free_at) * self.rate / mean_tokens
        for number in itertools.count():
            times = load if self.overload[0] <= now < self.overload[1] else 0.5
            now += self.random.expovariate(capacity * times)
            if now >= end:
                break
            self.arrivals.append((now, number))
            self.at(now, lambda n=number, t=now: self.ask(n, t, t, first=True))
        while self.queue:
            time, _, action = heapq.heappop(self.queue)
            self.now = time
            action()

    def request(self, number, asked_at):
        small = number % SMALL_EVERY == 0
        if small:
            self.urgent.add(number)
        tokens = SMALL_TOKENS if small else LARGE_TOKENS
        parts = (PromptPart(f"own-{number}", tokens),)
        route = replace(route_rule(), target_seconds=TARGET_S)
        request = opaque_request(route, received_at=asked_at, request_id=f"r{number}")
        prompt = PromptShape("model", parts, tokens, 10)
        return replace(request, prompt=prompt, priority=0 if small else 1)

    def ask(self, number, arrived_at, asked_at, first):
        request = self.request(number, asked_at)
        choice = self.selector.choose(request, frozenset(), self.now)
        if isinstance(choice, Unavailable):
            self.wait(number, arrived_at, asked_at, first)
            return
        tokens = request.prompt.prompt_tokens
        view = self.table.get(choice.engine_id)
        load = EngineLoad(1, tokens, 0)
        view.own_load.add(load)
        tokens_ahead = view.waiting_tokens
        starts_at = max(self.now, self.free_at[choice.engine_id])
        if starts_at - asked_at > CANCEL_AFTER_S:
            cancel_at = asked_at + CANCEL_AFTER_S
            self.at(cancel_at, lambda: view.own_load.add(load, -1))
            return
        done_at = starts_at + tokens / self.rate
        self.free_at[choice.engine_id] = done_at
        sent_at = self.now
        self.at(done_at, lambda: self.answered(number, asked_at, sent_at, view, load, tokens_ahead))

    def wait(self, number, arrived_at, asked_at, first):
        if self.now < asked_at + MAX_HOLD_S:
            self.at(self.now + HOLD_STEP_S, lambda: self.ask(number, arrived_at, asked_at, first))
            return
        self.refused += 1
        if first:
            retry_at = self.now + self.random.uniform(*RETRY_AFTER_S)
            self.at(retry_at, lambda: self.ask(number, arrived_at, retry_at, first=False))

    def answered(self, number, asked_at, sent_at, view, load, tokens_ahead):
        view.own_load.add(load, -1)
        self.selector.speeds.record_prefill(
            view.engine_id, tokens_ahead, self.now - sent_at, self.now
        )
        if self.now - asked_at <= TARGET_S:
            self.in_time.append((self.now, number))

    def answered_share(self):
        begin, end = self.overload
        tokens = sum(self.tokens(n) for time, n in self.in_time if begin <= time < end)
        return tokens / ((end - begin) * self.rate * len(self.free_at))

    def tokens(self, number):
        return SMALL_TOKENS if number % SMALL_EVERY == 0 else LARGE_TOKENS

    def share_in_time(self, numbers):
        answered = {number for _, number in self.in_time}
        return len(answered & set(numbers)) / len(set(numbers))


@given("{engines:d} engines that prefill {rate:d} tokens a second each")
def step_engines(context, engines, rate):
    context.simulation = Simulation(engines, rate)


@given("the waiting requests at them are not limited")
def step_unlimited(context):
    context.simulation.selector.guard = UnlimitedGuard()


@when(
    "the offered load is {load:g} times their capacity for {seconds:g} s, "
    "and 0.5 times before and after"
)
def step_run(context, load, seconds):
    context.simulation.run(load, seconds)


@then("at least {share:g} of their capacity in that time was answered within the target")
def step_goodput(context, share):
    found = context.simulation.answered_share()
    assert found >= share, found


@then("less than {share:g} of their capacity in that time was answered within the target")
def step_collapse(context, share):
    found = context.simulation.answered_share()
    assert found < share, found


@then(
    "of the requests from {seconds:g} s after the overload on,"
    " at least {share:g} were answered within the target"
)
def step_recovered(context, seconds, share):
    simulation = context.simulation
    since = simulation.overload[1] + seconds
    later = [number for time, number in simulation.arrivals if time >= since]
    found = simulation.share_in_time(later)
    assert found >= share, found


@then("nothing was refused")
def step_no_refusal(context):
    assert context.simulation.refused == 0, context.simulation.refused


@then("of the urgent requests at least {share:g} were answered within the target")
def step_urgent(context, share):
    found = context.simulation.share_in_time(context.simulation.urgent)
    assert found >= share, found


@given("the prefill rate of engines is unknown")
def step_rate_unknown(context):
    table = EngineTable()
    context.engine = table.update(engine_record("e0"))
    context.speeds = SpeedEstimator(table)
    context.now = 0.0


@when("{count:d} prompts of {tokens:d} tokens are each prefilled within {seconds:g} s")
def step_prefill_many(context, count, tokens, seconds):
    for _ in range(count):
        step_prefill_one(context, tokens, seconds)


@when("a prompt of {tokens:d} tokens is prefilled within {seconds:g} s")
def step_prefill_one(context, tokens, seconds):
    context.now += seconds
    context.speeds.record_prefill(context.engine.engine_id, tokens, seconds, context.now)


@then("the estimated prefill rate is between {least:d} and {most:d} tokens a second")
def step_rate(context, least, most):
    found = 1.0 / context.speeds.prefill_s_per_token(context.engine)
    assert least <= found <= most, found


@given("2 engines of which one has its memory full")
def step_memory(context):
    context.simulation = Simulation(2, 50_000)
    profile = ServiceProfile("service-1", 0, cache_tokens=10_000)
    context.simulation.selector.parts.services["service-1"] = profile
    fill_memory(context, "e0")


def fill_memory(context, name):
    context.simulation.table.get(name).own_load.add(EngineLoad(3, 0, 11_990))


def place(context):
    request = context.simulation.request(1, 0.0)
    return context.simulation.selector.choose(request, frozenset(), 0.0)


@then("a prompt goes to the other engine")
def step_other_engine(context):
    assert place(context).engine_id == "e1"


@when("the memory of both is full")
def step_both_full(context):
    fill_memory(context, "e1")


@then("the prompt finds no engine with free memory")
def step_no_memory(context):
    assert place(context) is Unavailable.FULL


@given(
    "2 engines with {slots:d} slots, and {count:d} requests that last {seconds:g} s"
    " at the one that holds a part"
)
def step_slots(context, slots, count, seconds):
    context.simulation = Simulation(2, 50_000)
    selector = context.simulation.selector
    for _ in range(100):
        selector.slot_times.record("service-1", seconds)
    for name in ("e0", "e1"):
        context.simulation.table.update(
            engine_record(name, weights={"model": 1}, slots=slots, revision=2)
        )
    context.holder = place(context).engine_id
    context.simulation.table.get(context.holder).own_load.add(EngineLoad(count))


@then("a prompt with that part goes to the other engine")
def step_goes_to_other(context):
    assert place(context).engine_id != context.holder


@when("the other engine has {count:d} requests too")
def step_other_full(context, count):
    other = next(v for v in context.simulation.table if v.engine_id != context.holder)
    other.own_load.add(EngineLoad(count))


@then("a prompt with that part goes to the engine that holds it again")
def step_goes_to_holder(context):
    assert place(context).engine_id == context.holder


@then(
    "a request would wait between {least:g} and {most:g} s for a slot there, and 0 s at the other"
)
def step_slot_wait(context, least, most):
    slot_times = context.simulation.selector.slot_times
    waits = {
        view.engine_id: slot_times.wait_s("service-1", view.requests, view.record.slots)
        for view in context.simulation.table
    }
    assert least <= waits.pop(context.holder) <= most, waits
    assert list(waits.values()) == [0.0], waits


@given("the times of a stream without an event, and of one whose first event came at {second:g} s")
def step_stream_times(context, second):
    context.without, context.times = StreamTimes(), StreamTimes()
    context.times.record_event(1, second)


@then("at {now:g} s the first has no slot time, and the second one of {held:g} s")
def step_held(context, now, held):
    assert context.without.since_first_event_s(now) is None
    assert context.times.since_first_event_s(now) == held
