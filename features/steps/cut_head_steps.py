"""Steps on answers of engines that stop before their end, judged by what callers receive."""

import asyncio
import socket
import struct
from collections import Counter
from contextlib import suppress

from behave import given, then, when

from features.standin.connections import connect
from features.standin.cut_answers import CLOSED, KILLED, PLACES, READ_S, RESET, SLOWLY
from features.standin.deployment import HOST, KEY
from features.standin.engine import CHUNKS, LENGTH
from features.standin.engine_process import EngineProcess
from features.standin.raw_callers import HTTP_1_1, STREAMS, RawCaller

EVENTS, EVENT_S = 4, 0.05
BODY_BYTES = 400
SUCCESS = 200
# How many requests may be needed until one reaches the engine whose answer stops.
MAX_TRIES = 60
BETWEEN_TRIES_S = 0.05
AT_ONCE = 6
RESUMED, CONTINUED = "Last-Event-Id", "Kv-From"
# The tokens of a prompt and of an output that is long enough for a copy of its run.
LONG_OUTPUT = "30,2000"
# An engine crashes after this event of a stream, and before the last.
CRASHES_AFTER_EVENT = 2
HALF_CLOSED, OPEN = "half-closed", "open"
SILENCE_S = 2.0
READ_BYTES = 4_096
CALLERS = 20
# A request that is run late would reach the engine within this time.
LATE_RUN_S = 0.5
LINGER_NONE = struct.pack("ii", 1, 0)


class KilledEngine(EngineProcess):
    """An engine that ends in its answer; nothing uses its port again."""

    async def start(self, port=0):
        """Start the process at a port that the kernel chooses, which no other takes before."""
        await super().start(port or "0")


def engines_of(context, route):
    service = "llm" if route in STREAMS else "desk"
    return [e for e in context.deployment.engines.values() if e.service == service]


def prepare(context, route):
    """Return the callers of a route, whose engines answer at once."""
    for engine in context.deployment.engines.values():
        engine.events, engine.event_seconds, engine.body_bytes = EVENTS, 0.0, BODY_BYTES
    context.callers = RawCaller(EVENTS, BODY_BYTES)
    context.cut = []
    return engines_of(context, route)


def cut_at(context):
    """Return the places at which answers stopped, by the id of their request."""
    return {a.attempt_id: a.fault for a in context.deployment.arrivals() if a.fault}


async def call_until(context, route, is_met, at_once=AT_ONCE):
    """Send requests, so many at once, until a condition is met."""
    node = context.deployment.nodes[0]
    for _ in range(MAX_TRIES):
        # Requests at the same time go to several engines.
        asking = (context.callers.ask(node, HTTP_1_1, route) for _ in range(at_once))
        await asyncio.gather(*asking)
        if is_met():
            return
        await asyncio.sleep(BETWEEN_TRIES_S)
    raise AssertionError(f"a condition was not met by {MAX_TRIES} requests")


async def call_until_cut(context, route, engines, fault, at_once=AT_ONCE):
    """Send requests until an answer stopped, and until each of the engines has answered again."""
    before = len(cut_at(context))
    for engine in engines:
        engine.fault, engine.fault_count = fault, len(engines)
    # Where all engines' answers stop, one request meets them at each of its tries.
    first = at_once if len(engines) == 1 else 1
    await call_until(context, route, lambda: len(cut_at(context)) > before, first)
    for engine in engines:
        # An engine that answers none of several requests in a row would be asked no more.
        engine.fault_count = 0
        had = sum(arrival.finished for arrival in engine.arrivals)
        await call_until(
            context,
            route,
            lambda engine=engine, had=had: sum(a.finished for a in engine.arrivals) > had,
            at_once,
        )


@when('the first answers on "{route}" stop at each place, and their connection is {ending}')
def step_first_cut(context, route, ending):
    cut_all(context, route, ending, prepare(context, route)[:1])


@when('all answers on "{route}" stop at each place, and their connection is {ending}')
def step_all_cut(context, route, ending):
    cut_all(context, route, ending, prepare(context, route))


def cut_all(context, route, ending, engines):
    """Let answers of engines stop at each place in turn."""

    async def call_all():
        for place in PLACES:
            await call_until_cut(context, route, engines, f"{place}, {ending}")

    context.run(call_all())


@when('the first answers on "{route}" stop slowly at each place, and their connection is closed')
def step_slowly(context, route):
    engines = prepare(context, route)[:1]

    async def call_all():
        for place in PLACES:
            await call_until_cut(context, route, engines, f"{SLOWLY}{place}, {CLOSED}")

    context.run(call_all())


@when('engines on "{route}" are killed at each place of their answer')
def step_killed(context, route):
    prepare(context, route)
    deployment = context.deployment
    service = "llm" if route in STREAMS else "desk"

    async def call_all():
        for number, place in enumerate(PLACES):
            engine = await deployment.add_engine(
                f"{service}-cut-{number}",
                service,
                kind=KilledEngine,
                weights={"model-1": 1} if service == "llm" else {},
                events=EVENTS,
                event_seconds=0.0,
                body_bytes=BODY_BYTES,
                fault=f"{place}, {KILLED}",
            )
            # A node that starts waits a second for others before it watches the store.
            await call_until(context, route, lambda engine=engine: engine.arrivals, at_once=1)
            await engine.ended()
            deployment.store.remove(f"servers/{engine.engine_id}")
            # The fault is that of the process, which names no place in its reports.
            engine.arrivals[0].fault = engine.fault

    context.run(call_all())


@when("the answers to resumed runs stop at each place, and their connection is {ending}")
def step_resumed(context, ending):
    resume_runs(context, [f"{place}, {ending}" for place in PLACES], EVENTS)


def resume_runs(context, faults, events):
    """Let engines lose the connections of streams, and their resumed runs have faults."""
    engines = prepare(context, "resume")
    context.callers.expect_events(events)
    for engine in engines:
        engine.loses, engine.loses_every = "resets the connection", 1
        engine.drops_lost, engine.fault_needs = True, RESUMED
        engine.events, engine.event_seconds = events, EVENT_S

    async def call_all():
        for fault in faults:
            # Each of these streams spends an allowance of its node.
            await call_until_cut(context, "resume", engines, fault, at_once=2)

    context.run(call_all())


@given("engines that hold copies of runs")
def step_copies(context):
    context.deployment.set_weight_version(1)
    context.deployment.configure(6, backups=True)


@when('an engine crashes under a stream, and the answer to its continuation stops "{fault}"')
def step_continued(context, fault):
    continue_run(context, fault, EVENTS)


def continue_run(context, fault, events):
    """Let the engine of a stream crash, and the answer to its continuation have a fault."""
    engines = prepare(context, "stream")
    context.callers.expect_events(events)
    for engine in engines:
        engine.fault, engine.fault_needs, engine.event_seconds = fault, CONTINUED, EVENT_S
        engine.events = events

    async def continue_one():
        node = context.deployment.nodes[0]
        long = {"X-Token-Usage": LONG_OUTPUT}
        asking = asyncio.ensure_future(context.callers.ask(node, HTTP_1_1, "stream", **long))
        await asyncio.sleep(0)
        (answer,) = context.callers.answers

        async def has_begun():
            return answer.events >= CRASHES_AFTER_EVENT

        await context.deployment.wait_until(has_begun)
        assert not asking.done(), (answer.status, answer.events)
        (engine,) = [engine for engine in engines if engine.arrivals]
        await engine.crash()
        await asking

    context.run(continue_one())


@then("no caller got a success that looks whole and is not")
def step_none_false(context):
    cut = cut_at(context)
    answers = [each for each in context.callers.answers if each.request_id in cut]
    wrong = [each for each in answers if (each.says_whole and not each.is_whole) or each.misplaced]
    whole = sum(each.says_whole for each in answers)
    kept = sum(a.on_kept for a in context.deployment.arrivals() if a.fault)
    print(f"{len(wrong)} false of {len(answers)}, {whole} whole, {kept} on kept connections")
    places = {fault.rpartition(", ")[0].removeprefix(SLOWLY) for fault in cut.values()}
    assert places == set(PLACES), set(PLACES) - places
    seen = [(cut[each.request_id], bytes(each.received)) for each in wrong]
    assert not wrong, f"{len(wrong)} of {len(answers)}: {seen}"


@when('an engine closes a "{route}" after 2 events, and ends after the head of its report')
def step_ends_in_report(context, route):
    engine = prepare(context, route)[0]
    engine.dies_in_report, engine.fault = True, "unframed_after_event"
    engine.event_seconds = EVENT_S
    context.run(call_until(context, route, engine.crashed.is_set))
    assert engine.reports


@then("no caller got a success that looks whole and is not, of {count:d}")
def step_none_false_of(context, count):
    cut = cut_at(context)
    answers = [each for each in context.callers.answers if each.request_id in cut]
    wrong = [each for each in answers if each.says_whole and not each.is_whole]
    print(f"{len(wrong)} false of {len(answers)}: {[each.events for each in answers]} events")
    assert len(answers) == count
    assert not wrong, [bytes(each.received) for each in wrong]


@then("some requests were tried twice")
def step_tried_twice(context):
    tries = Counter(a.attempt_id for a in context.deployment.arrivals() if a.fault)
    print(f"{sum(count > 1 for count in tries.values())} of {len(tries)} tried twice")
    assert max(tries.values()) > 1


@then('the callers of "{route}" got what the engine after it answered, or an error')
def step_outcomes(context, route):
    cut = cut_at(context)
    answers = [each for each in context.callers.answers if each.request_id in cut]
    others = [each for each in context.callers.answers if each.request_id not in cut]
    assert all(each.says_whole and each.is_whole for each in others), others
    repeats = route in ("safe", "resume")
    lost = [(cut[a.request_id], bytes(a.received)) for a in answers if not a.says_whole]
    assert lost if not repeats else not lost, f"{len(lost)} of {len(answers)}: {lost}"


@when("callers send a request up to each byte, and close, reset or half-close their connection")
def step_requests(context):
    lines = (
        "POST /whole/x HTTP/1.1",
        f"Host: {HOST}",
        "X-Attempt-Id: {}",
        "X-Deadline-Ms: 4000",
        f"Authorization: Token {KEY}",
    )
    framings = {
        LENGTH: "Content-Length: 4\r\n\r\nbody",
        CHUNKS: "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
    }
    address = context.deployment.nodes[0].address("Front")
    context.whole_ids, context.cut_ids = set(), set()
    running = asyncio.Semaphore(CALLERS)

    async def send(data, ending):
        async with running:
            reader, writer = await connect(address)
            writer.write(data)
            await writer.drain()
            if ending == RESET:
                await asyncio.sleep(READ_S)
                connection = writer.get_extra_info("socket")
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
            elif ending == HALF_CLOSED:
                writer.write_eof()
            if ending in (HALF_CLOSED, OPEN):
                with suppress(TimeoutError, OSError):
                    async with asyncio.timeout(SILENCE_S):
                        await reader.read(READ_BYTES)
            writer.close()

    async def send_all():
        calls, number = [], 0
        for text in framings.values():
            request = "\r\n".join(lines) + "\r\n" + text
            size = len(request.format("0" * 16).encode())
            for end in range(1, size + 1):
                for ending in (CLOSED, RESET, HALF_CLOSED) if end < size else (OPEN,):
                    number += 1
                    request_id = f"{number:016x}"
                    (context.cut_ids if end < size else context.whole_ids).add(request_id)
                    data = request.format(request_id).encode()[:end]
                    calls.append(send(data, ending))
        await asyncio.gather(*calls)
        await asyncio.sleep(LATE_RUN_S)

    context.run(send_all())


@then("only the whole request was run")
def step_not_run(context):
    run = {arrival.attempt_id for arrival in context.deployment.arrivals()}
    print(f"{len(run & context.cut_ids)} of {len(context.cut_ids)} were run")
    assert not run & context.cut_ids
    assert run == context.whole_ids, (context.whole_ids, run)
