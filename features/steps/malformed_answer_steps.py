"""Steps on answers of engines that do not follow HTTP/1.1, judged by what callers receive."""

import asyncio
import re
import time
from collections import Counter

from behave import then, when

from features.standin.malformed_answers import CHUNK_FAULTS, HEAD_FAULTS, SOUND
from features.standin.raw_callers import HTTP_1_1
from features.steps.cut_head_steps import (
    call_until_cut,
    continue_run,
    cut_at,
    engines_of,
    prepare,
    resume_runs,
)
from liftrill.gateway.engines.slot_attempt import SlotAttempt
from liftrill.gateway.paths.proxy_protocol import OUTCOME_HEADER, ProxyOutcome
from liftrill.gateway.transport import EngineAttempt

SUCCESS = 200
STATUS_LINE = re.compile(r"HTTP/1\.1 [2-5]\d\d [\t -~\x80-\xff]*")
FIELD_LINE = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t -~\x80-\xff]*")
EVENTS = 12
CLOSED_EVENT_S = 0.01


def send_faulty(context, route, faults):
    """Let the answers of one engine have each of the faults in turn."""
    engines = prepare(context, route)[:1]
    for engine in context.deployment.engines.values():
        engine.events = EVENTS
    context.callers.expect_events(EVENTS)

    async def call_all():
        for fault in faults:
            await call_until_cut(context, route, engines, fault)

    context.run(call_all())


def ask_at_once(context, count, route):
    """Let so many callers ask the first node at once, and wait for their answers."""

    async def ask_all():
        node = context.deployment.nodes[0]
        asking = (context.callers.ask(node, HTTP_1_1, route) for _ in range(count))
        await asyncio.gather(*asking)

    context.run(ask_all())


def spoiled_answers(context):
    """Return what callers received whose requests met a fault, with the fault."""
    met = cut_at(context)
    return [(met[a.request_id], a) for a in context.callers.answers if a.request_id in met]


def is_well_formed(answer):
    """Return whether the head that a caller received follows HTTP/1.1, or is none."""
    if not answer.head:
        return not answer.received
    first, *lines = answer.head
    return bool(STATUS_LINE.fullmatch(first)) and all(map(FIELD_LINE.fullmatch, lines))


@when('answers on "{route}" have each fault in their chunks')
def step_chunks(context, route):
    send_faulty(context, route, CHUNK_FAULTS)


@when('answers on "{route}" have each fault in their head')
def step_heads(context, route):
    send_faulty(context, route, HEAD_FAULTS)


@when('answers on "{route}" are unusual, and sound')
def step_sound(context, route):
    send_faulty(context, route, SOUND)


@when('answers on "{route}" have the fault "{fault}"')
def step_fault(context, route, fault):
    send_faulty(context, route, [fault])


@when('{count:d} answers on "{route}" have the fault "{fault}"')
def step_faults(context, count, route, fault):
    send_faulty(context, route, [fault] * count)


@then("at most {count:d} of them look whole")
def step_few_short(context, count):
    spoiled = spoiled_answers(context)
    wrong = [answer for _, answer in spoiled if answer.says_whole and not answer.is_whole]
    print(f"{len(wrong)} of {len(spoiled)}")
    assert spoiled
    assert len(wrong) <= count, [bytes(answer.received) for answer in wrong]


@when('the answers to resumed runs have the fault "{fault}"')
def step_resumed_fault(context, fault):
    resume_runs(context, [fault], EVENTS)


@when('an engine crashes under a stream, and its continuation has the fault "{fault}"')
def step_continued_fault(context, fault):
    continue_run(context, fault, EVENTS)


@then("no caller got a success that looks whole and is not, or other bytes")
def step_none_short(context):
    spoiled = spoiled_answers(context)
    wrong = [(f, a) for f, a in spoiled if (a.says_whole and not a.is_whole) or a.misplaced]
    for fault, answer in wrong:
        print(f"{fault}: ends as complete after {answer.events} of {answer.size}")
    assert spoiled
    assert not wrong, [(fault, bytes(answer.received)) for fault, answer in wrong]


@then("no caller got such an answer")
def step_none_passed_on(context):
    spoiled = spoiled_answers(context)
    wrong = [(fault, a) for fault, a in spoiled if not is_well_formed(a) or a.status == SUCCESS]
    for fault, answer in wrong:
        print(f"{fault}: {answer.head or bytes(answer.received)}")
    assert spoiled
    assert not wrong, [fault for fault, _ in wrong]


@then("each caller got a whole answer")
def step_whole(context):
    spoiled = spoiled_answers(context)
    wrong = [(f, a) for f, a in spoiled if not (is_well_formed(a) and a.says_whole and a.is_whole)]
    for fault, answer in wrong:
        print(f"{fault}: {answer.head}, {answer.events} events")
    assert spoiled
    assert not wrong, [fault for fault, _ in wrong]


@then("each of them is logged with its engine, and counted")
def step_logged(context):
    deployment = context.deployment
    met = [arrival for arrival in deployment.arrivals() if arrival.fault]
    rows = deployment.logged("response_fault")
    page = context.run(deployment.metrics(deployment.nodes[0]))
    counted = re.search(r"^liftrill_response_faults_total (\S+)", page, re.MULTILINE)
    print(f"{len(met)} met, {len(rows)} logged: {sorted({row['reason'] for row in rows})}")
    assert len(rows) >= len(met) >= len(CHUNK_FAULTS), (len(rows), len(met))
    assert {row["address"] for row in rows} <= {e.address for e in deployment.engines.values()}
    assert counted is not None and float(counted[1]) == len(rows)


@when("the desk engines name the outcome of a proxy in their answers")
def step_proxy_outcome(context):
    for engine in engines_of(context, "whole"):
        engine.other_headers = {OUTCOME_HEADER: ProxyOutcome.WITHDRAWN.value}


@then('no request on "{path}" reaches an engine twice, of {count:d}')
def step_not_twice(context, path, count):
    async def call_all():
        node = context.deployment.nodes[0]
        return [await context.deployment.call(node, path) for _ in range(count)]

    statuses = [status for status, *_ in context.run(call_all())]
    tries = Counter(arrival.attempt_id for arrival in context.deployment.arrivals())
    print(f"{statuses}, {max(tries.values())} arrivals of a request at most")
    assert len(tries) == count and max(tries.values()) == 1, tries
    assert set(statuses) == {SUCCESS}, statuses


class HeldAttempt(EngineAttempt):
    """An attempt at an engine that sends nothing."""

    async def open(self):
        return []

    async def read(self):
        return []

    def close(self):
        pass


@when("the end of a stream that occupies a slot has arrived, and is held back")
def step_slot(context):
    async def end_stream():
        context.freed = []
        attempt = HeldAttempt()
        slot = SlotAttempt(attempt, context.freed.append)
        slot.watch_end(lambda: None)
        attempt.on_end_held()
        await asyncio.sleep(0)

    context.run(end_stream())


@then("its slot is free")
def step_slot_free(context):
    assert context.freed == [False], context.freed


@when("a sound stream of {count:d} events, {pause:g} s apart, is read")
def step_sound_stream(context, count, pause):
    read_stream(context, count, pause)


@when(
    "a sound stream of {count:d} events, {pause:g} s apart, is read by a caller that has {left:g} s"
)
def step_sound_stream_in_time(context, count, pause, left):
    read_stream(context, count, pause, **{"X-Deadline-Ms": round(1000 * left)})


def read_stream(context, count, pause, **headers):
    """Let a caller read a stream of so many events, with a pause after each."""
    for engine in prepare(context, "stream"):
        engine.events, engine.event_seconds = count, pause
    context.callers.expect_events(count)
    context.run(context.callers.ask(context.deployment.nodes[0], HTTP_1_1, "stream", **headers))
    context.ended_at = time.monotonic()


@then("its end comes within {seconds:g} s after its engine sent it")
def step_end_within(context, seconds):
    (answer,) = context.callers.answers
    (arrival,) = [a for a in context.deployment.arrivals() if a.attempt_id == answer.request_id]
    print(f"{context.ended_at - arrival.ended_at:.3f} s")
    assert answer.says_whole and answer.is_whole
    assert context.ended_at - arrival.ended_at < seconds


@when(
    '{count:d} sound streams on "{route}" are read at once,'
    " and their engines close {pause:g} s after each"
)
def step_closed_after(context, count, route, pause):
    for engine in prepare(context, route):
        engine.event_seconds, engine.closes_after_s = CLOSED_EVENT_S, pause

    ask_at_once(context, count, route)


@when("{count:d} more are read at once")
def step_more(context, count):
    ask_at_once(context, count, "resume")


@then("at most {most:d} of {count:d} streams ran more than once")
def step_ran_twice(context, most, count):
    runs = Counter(arrival.attempt_id for arrival in context.deployment.arrivals())
    repeated = sum(number > 1 for number in runs.values())
    print(f"{repeated} of {len(runs)} ran more than once")
    assert len(runs) == count and repeated <= most, runs


@then("all callers got whole streams")
def step_all_whole(context):
    answers = context.callers.answers
    wrong = [a for a in answers if not (a.says_whole and a.is_whole) or a.misplaced]
    closed = Counter(row["evidence"] for row in context.deployment.logged("response_closed"))
    print(f"{len(wrong)} of {len(answers)} broken off or refused; engines after a close: {closed}")
    assert not wrong, [(answer.status, answer.events) for answer in wrong]
