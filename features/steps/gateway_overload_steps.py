"""Steps on overload: engines that read prompts one after the other, in virtual time."""

import heapq
import itertools
import math
import random
from dataclasses import replace

from behave import given, then, when

from features.gateway_support import engine_record, opaque_request, route_rule
from liftrill.gateway.delivery import StreamTimes, Unavailable
from liftrill.gateway.engines.engine_selector import EngineSelector
from liftrill.gateway.engines.engine_table import EngineLoad, EngineTable
from liftrill.gateway.engines.speed_estimator import SpeedEstimator
from liftrill.gateway.opaque_request import PromptPart, PromptShape
from liftrill.gateway.records import ServiceProfile
from liftrill.gateway.weight_targets import WeightTargets

TARGET_S = 0.6
LEAVES_AFTER_S = 4.0
HOLD_S = 0.12
HOLD_STEP_S = 0.03
BEGIN_S = 10.0
AFTER_S = 10.0
COMES_BACK_S = (0.5, 1.5)
LARGE_TOKENS = 5_000
SMALL_TOKENS = 500
# One urgent request of ten tenths of what the others ask is small.
SMALL_EVERY = 4


class Unbounded:
    """Lets any wait pass."""

    def max_wait_s(self, request, min_wait_s, now):
        return math.inf

    def is_overloaded(self, service):
        return False


class Simulation:
    """Callers that come back once, and engines that read prompts in the order of arrival."""

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

    def ask(self, number, came_at, asked_at, first):
        request = self.request(number, asked_at)
        choice = self.selector.choose(request, frozenset(), self.now)
        if isinstance(choice, Unavailable):
            self.wait(number, came_at, asked_at, first)
            return
        tokens = request.prompt.prompt_tokens
        view = self.table.get(choice.engine_id)
        load = EngineLoad(1, tokens, 0)
        view.own_load.add(load)
        ahead = view.waiting_tokens
        begins = max(self.now, self.free_at[choice.engine_id])
        if begins - asked_at > LEAVES_AFTER_S:
            leaves_at = asked_at + LEAVES_AFTER_S
            self.at(leaves_at, lambda: view.own_load.add(load, -1))
            return
        done = begins + tokens / self.rate
        self.free_at[choice.engine_id] = done
        sent_at = self.now
        self.at(done, lambda: self.answered(number, asked_at, sent_at, view, load, ahead))

    def wait(self, number, came_at, asked_at, first):
        if self.now < asked_at + HOLD_S:
            self.at(self.now + HOLD_STEP_S, lambda: self.ask(number, came_at, asked_at, first))
            return
        self.refused += 1
        if first:
            back = self.now + self.random.uniform(*COMES_BACK_S)
            self.at(back, lambda: self.ask(number, came_at, back, first=False))

    def answered(self, number, asked_at, sent_at, view, load, ahead):
        view.own_load.add(load, -1)
        self.selector.speeds.record_prefill(view.engine_id, ahead, self.now - sent_at, self.now)
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


@given("{engines:d} engines that read {rate:d} tokens a second each")
def step_engines(context, engines, rate):
    context.simulation = Simulation(engines, rate)


@given("nothing bounds what waits at them")
def step_unbounded(context):
    context.simulation.selector.guard = Unbounded()


@when(
    "{load:g} times what they can read is asked for during {seconds:g} s, "
    "and 0.5 times before and after"
)
def step_run(context, load, seconds):
    context.simulation.run(load, seconds)


@then("at least {share:g} of what they could read in those seconds was answered in time")
def step_goodput(context, share):
    found = context.simulation.answered_share()
    assert found >= share, found


@then("less than {share:g} of what they could read in those seconds was answered in time")
def step_collapse(context, share):
    found = context.simulation.answered_share()
    assert found < share, found


@then(
    "of what came {seconds:g} s after the overload or later at least {share:g} was answered in time"
)
def step_recovered(context, seconds, share):
    simulation = context.simulation
    since = simulation.overload[1] + seconds
    later = [number for time, number in simulation.arrivals if time >= since]
    found = simulation.share_in_time(later)
    assert found >= share, found


@then("nothing was refused")
def step_none_refused(context):
    assert context.simulation.refused == 0, context.simulation.refused


@then("of the urgent requests at least {share:g} were answered in time")
def step_urgent(context, share):
    found = context.simulation.share_in_time(context.simulation.urgent)
    assert found >= share, found


@given("nothing is known of how fast engines read")
def step_unknown_rate(context):
    table = EngineTable()
    context.reader = table.update(engine_record("e0"))
    context.speeds = SpeedEstimator(table)
    context.now = 0.0


@when("{count:d} prompts of {tokens:d} tokens are each read within {seconds:g} s")
def step_read_many(context, count, tokens, seconds):
    for _ in range(count):
        step_read_one(context, tokens, seconds)


@when("a prompt of {tokens:d} tokens is read within {seconds:g} s")
def step_read_one(context, tokens, seconds):
    context.now += seconds
    context.speeds.record_prefill(context.reader.engine_id, tokens, seconds, context.now)


@then("engines are taken to read between {least:d} and {most:d} tokens a second")
def step_rate(context, least, most):
    found = 1.0 / context.speeds.prefill_s_per_token(context.reader)
    assert least <= found <= most, found


@given("2 engines of which one has its memory taken")
def step_memory(context):
    context.simulation = Simulation(2, 50_000)
    profile = ServiceProfile("service-1", 0, cache_tokens=10_000)
    context.simulation.selector.parts.services["service-1"] = profile
    take_memory(context, "e0")


def take_memory(context, name):
    context.simulation.table.get(name).own_load.add(EngineLoad(3, 0, 11_990))


def place(context):
    request = context.simulation.request(1, 0.0)
    return context.simulation.selector.choose(request, frozenset(), 0.0)


@then("a prompt goes to the other engine")
def step_other_engine(context):
    assert place(context).engine_id == "e1"


@when("the memory of both is taken")
def step_both_taken(context):
    take_memory(context, "e1")


@then("the prompt waits for room")
def step_waits(context):
    assert place(context) is Unavailable.FULL


@given(
    "2 engines with {slots:d} slots of which the home of a part has {count:d} requests"
    " that last {seconds:g} s"
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
    context.home = place(context).engine_id
    context.simulation.table.get(context.home).own_load.add(EngineLoad(count))


@then("a prompt with that part goes to the other engine")
def step_goes_to_other(context):
    assert place(context).engine_id != context.home


@when("that one has {count:d} requests too")
def step_other_full(context, count):
    other = next(v for v in context.simulation.table if v.engine_id != context.home)
    other.own_load.add(EngineLoad(count))


@then("a prompt with that part goes to its home again")
def step_goes_home(context):
    assert place(context).engine_id == context.home


@then(
    "a request would wait between {least:g} and {most:g} s for a slot there,"
    " and not at all at the other"
)
def step_slot_wait(context, least, most):
    slot_times = context.simulation.selector.slot_times
    waits = {
        view.engine_id: slot_times.wait_s("service-1", view.requests, view.record.slots)
        for view in context.simulation.table
    }
    assert least <= waits.pop(context.home) <= most, waits
    assert list(waits.values()) == [0.0], waits


@given("the times of a stream without an event, and of one whose first event came at {second:g} s")
def step_stream_times(context, second):
    context.without, context.times = StreamTimes(), StreamTimes()
    context.times.record_event(1, second)


@then("at {now:g} s the first tells nothing, and the second {held:g} s")
def step_held(context, now, held):
    assert context.without.since_first_event_s(now) is None
    assert context.times.since_first_event_s(now) == held
