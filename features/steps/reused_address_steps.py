"""Steps on engines whose addresses accept connections after they have ended."""

import asyncio
import time
from collections import Counter

from behave import given, then, when

from features.gateway_support import choice_of, engine_record, new_quarantine, opaque_request
from features.soak.fleet import now_unix_ms
from features.standin.engine import StandInEngine
from features.standin.engine_links import CutKind
from features.standin.stream_callers import OK
from features.steps.lost_connection_steps import begin_streams
from features.steps.truncated_answer_steps import ENDS_AFTER_S, end_engine, is_whole
from liftrill import clock
from liftrill.gateway.delivery_times import AttemptTimes
from liftrill.gateway.engines.engine_end_check import EngineEndCheck
from liftrill.gateway.engines.engine_table import EngineTable, EngineView
from liftrill.gateway.transport import EngineReply, EngineTransport, ProbeResult

# How long after the start of an engine's next incarnation its record changes.
RECORDED_AFTER_S = 2.0
HOUSEKEEPING_S = 0.1
# How long before a crash the run began that is lost with it, and when the check is over.
BEGAN_BEFORE_S, CHECKED_WITHIN_S = 0.05, 1.2


async def replace_engine(context):
    """Start the next incarnation of the engine that ended, on its socket."""
    ended = context.ended
    engine = StandInEngine(
        ended.engine_id,
        ended.service,
        weights=ended.weights,
        names_version=True,
        slots=ended.slots,
        events=ended.events,
        event_seconds=ended.event_seconds,
        framing=ended.framing,
        born_unix_ms=now_unix_ms(),
    )
    await ended.hand_over(engine)
    context.stack.push_async_callback(engine.stop)
    return engine


@when(
    '{count:d} streams on "{route}" begin within {seconds:g} s,'
    " and another engine answers on the socket of one that is {how}"
)
def step_replaced(context, count, route, seconds, how):
    async def play():
        tasks = await begin_streams(context, count, route, seconds)
        await asyncio.sleep(ENDS_AFTER_S)
        await end_engine(context, how)
        engine = await replace_engine(context)
        await asyncio.sleep(RECORDED_AFTER_S)
        context.deployment.record(engine)
        await asyncio.gather(*tasks)

    context.run(play())


@when(
    '{count:d} streams on "{route}" with {left:g} s left begin within {seconds:g} s,'
    " and an engine is {how}"
)
def step_silent(context, count, route, left, seconds, how):
    async def play():
        deadline = {"X-Deadline-Ms": str(round(left * 1000))}
        tasks = await begin_streams(context, count, route, seconds, **deadline)
        await asyncio.sleep(ENDS_AFTER_S)
        await end_engine(context, how)
        await asyncio.gather(*tasks)

    context.run(play())


@then('each interrupted stream was lost by an engine that is "{evidence}"')
def step_evidence(context, evidence):
    rows = context.deployment.logged("stream_interrupted")
    found = Counter(row["evidence"] for row in rows)
    waited_ms = max((row["waited_ms"] for row in rows), default=0)
    print(f"{len(rows)} interrupted streams: {dict(found)}, found within {waited_ms} ms")
    assert found.keys() == {evidence}, rows[:3]


@then("all those streams are whole")
def step_all_whole(context):
    streams = context.callers.streams
    broken = [stream for stream in streams if not is_whole(stream)]
    lost = len(context.ended.running)
    print(f"{len(broken)} of {len(streams)} streams broken off, {lost} were at the engine")
    assert lost and not broken, broken[:2]


SILENCE = "silence"


class ScriptedAddress(EngineTransport):
    """An address that answers as scripted; the last answer of each kind is repeated.

    "other@0.7" is a reply after 0.7 s.
    """

    def __init__(self, probes, replies):
        self._probes, self._replies = probes.split(), replies.split()
        self.open_connections = 0

    def attempt(self, request, start):
        raise NotImplementedError

    async def probe(self, address, timeout_s):
        return ProbeResult(_next(self._probes))

    async def identify(self, view):
        reply, _, delay_s = _next(self._replies).partition("@")
        if reply == SILENCE:
            await asyncio.Event().wait()
        await asyncio.sleep(float(delay_s or 0.0))
        return EngineReply(reply)

    def has_open_connection(self, address, used_before):
        return self.open_connections > 0


def _next(answers):
    return answers.pop(0) if len(answers) > 1 else answers[0]


@given('an engine whose address answers probes with "{probes}", and questions with "{replies}"')
def step_scripted(context, probes, replies):
    context.ends, context.lost, context.is_direct = [], 0, True
    context.address = ScriptedAddress(probes, replies)
    context.end_check = EngineEndCheck(
        context.address, lambda view, now: context.ends.append("refused")
    )
    context.end_check.on_replaced = lambda *_: context.ends.append("replaced")


@given("{lost:d} of its streams are lost {path}, while {kept:d} that it wrote to before are open")
def step_others_lost(context, lost, path, kept):
    context.lost, context.is_direct = lost, path == "directly"
    context.address.open_connections = kept


@when("a {run} is lost there")
def step_lost(context, run):
    view = EngineView(engine_record("llm-1"))

    async def check():
        for _ in range(1 + context.lost):
            context.end_check.record_response_end(view, clock.now_s())
        return await context.end_check.check(view, run == "stream", context.is_direct)

    began_at = time.monotonic()
    context.evidence = context.run(check())
    context.found_s = time.monotonic() - began_at


@then('its engine is "{evidence}", found within {seconds:g} s, and its end is reported as "{end}"')
def step_found(context, evidence, seconds, end):
    assert context.evidence.value == evidence, context.evidence
    assert context.found_s <= seconds, context.found_s
    assert context.ends == ([] if end == "none" else [end]), context.ends


@given("the first node reaches no engine, and sends its streams by the second")
def step_cut_first(context):
    first = context.deployment.nodes[0]

    async def is_served():
        answer = await context.deployment.call(first, "/stream/x", model="model-1")
        return answer[0] == OK

    async def cut():
        await context.deployment.know_each_other()
        context.links[first.name].cut(CutKind.REFUSE)
        await context.deployment.wait_until(is_served)

    context.run(cut())


@then("a peer passed on streams of that engine")
def step_passed_on(context):
    lost = {arrival.attempt_id for arrival in context.ended.running}
    first = context.deployment.nodes[0].name
    passed_on = {
        attempt.request_id
        for stream in context.callers.streams
        for attempt in stream.attempts
        if attempt.node == first
    }
    print(f"{len(lost & passed_on)} of {len(lost)} streams were passed on by a peer")
    assert lost & passed_on


@when("a {run} that had just begun ends with its engine")
def step_count(context, run):
    engines = EngineTable()
    view = engines.update(engine_record("llm-1"))
    context.quarantine = new_quarantine(engines)
    context.end_check.on_replaced = context.quarantine.incarnation_ended
    context.request = opaque_request()

    async def check():
        now = clock.now_s()
        times = AttemptTimes(now - BEGAN_BEFORE_S)
        context.quarantine.run_lost(context.request, choice_of(view), times, now)
        await context.end_check.check(view, run == "stream")
        # The check of a whole answer goes on after the next attempt has begun.
        while clock.now_s() < now + CHECKED_WITHIN_S:
            await asyncio.sleep(HOUSEKEEPING_S)
            context.quarantine.expire(clock.now_s())

    context.run(check())


@then("the request is suspected of the crash")
def step_suspected(context):
    assert context.quarantine.is_suspect(context.request)
