"""Steps that deliver a request through a forwarder with a scripted engine."""

import asyncio
import time

from behave import given, then, when

from features.gateway_support import engine_record, opaque_request, route_rule
from liftrill.gateway import delivery_events as events
from liftrill.gateway.decision_log import DecisionLog
from liftrill.gateway.delivery import Unavailable
from liftrill.gateway.engine_selector import EngineSelector
from liftrill.gateway.engine_table import EngineTable
from liftrill.gateway.event_stream import EventSplitter
from liftrill.gateway.forwarder import Forwarder, ForwardingPorts
from liftrill.gateway.gateway_metrics import GatewayMetrics
from liftrill.gateway.records import WeightTarget
from liftrill.gateway.retry_allowance import RetryAllowance
from liftrill.gateway.transport import AnswerSink, EngineAttempt, EngineTransport
from liftrill.gateway.weight_targets import WeightTargets


class ScriptedAttempt(EngineAttempt):
    """An engine that sends given pieces of a stream and ends it."""

    def __init__(self, pieces):
        self._pieces = list(pieces)
        self._splitter = EventSplitter()

    async def open(self):
        return [events.StreamOpened(200, ())]

    async def read(self):
        await asyncio.sleep(0)
        if self._pieces:
            found = self._splitter.feed(self._pieces.pop(0))
            return [events.EventArrived(event) for event in found]
        if self._splitter.torn:
            return [events.AttemptBroken("torn")]
        return [events.StreamCompleted()]

    def close(self):
        self._pieces.clear()


class ScriptedTransport(EngineTransport):
    def __init__(self, pieces):
        self._pieces = pieces

    def attempt(self, request, start):
        return ScriptedAttempt(self._pieces)


class RecordingSink(AnswerSink):
    """Keeps what a caller would receive."""

    def __init__(self):
        self.data = b""
        self.ending = ""
        self.answer = None

    async def pass_answer(self, answer):
        self.answer = answer

    async def pass_head(self, head):
        self.answer = head

    async def pass_bytes(self, data):
        self.data += data

    async def finish(self):
        self.ending = "complete"

    def break_off(self):
        self.ending = "broken off"

    async def refuse(self, refusal):
        self.ending = refusal.code.name

    async def fail(self, failure):
        self.ending = failure.code.name


def unescape(text):
    return text.encode().decode("unicode_escape").encode()


@given('a stream whose bytes come as "{first}" and "{second}" and "{third}"')
def step_three_pieces(context, first, second, third):
    context.pieces = [unescape(piece) for piece in (first, second, third)]


@given('a stream whose bytes come as "{first}" and "{second}"')
def step_two_pieces(context, first, second):
    context.pieces = [unescape(piece) for piece in (first, second)]


class IdleAttempt(EngineAttempt):
    """An engine that opens a stream and begins nothing."""

    closed_at = None

    async def open(self):
        return [events.StreamOpened(200, ())]

    async def read(self):
        await asyncio.sleep(30)

    def close(self):
        self.closed_at = time.monotonic()


class IdleTransport(EngineTransport):
    def __init__(self):
        self.made = IdleAttempt()

    def attempt(self, request, start):
        return self.made


@given("an engine that begins nothing, whose weights go out of use in {seconds:g} s")
def step_idle_engine(context, seconds):
    context.transport = IdleTransport()
    context.targets = WeightTargets(8.0, 8.0)
    context.started_at = time.monotonic()
    context.targets.name(WeightTarget("model", 2, 1), context.started_at - 8.0 + seconds)
    context.targets.grace_seconds = 9.0


@then("the attempt was closed within {seconds:g} s")
def step_closed(context, seconds):
    closed_at = context.transport.made.closed_at
    assert closed_at is not None and closed_at - context.started_at < seconds


@then("the caller was told that the outcome is unknown")
def step_told_unknown(context):
    assert context.sink.ending == "ENGINE_LOST", context.sink.ending


class VersionedTransport(EngineTransport):
    """Engines on version 1 that begin nothing, and on newer ones that answer.

    Attributes:
        attempts: every attempt with its engine's version, in order.
    """

    def __init__(self, pieces):
        self._pieces = pieces
        self.attempts = []

    def attempt(self, request, start):
        version = start.choice.weight_version
        made = IdleAttempt() if version == 1 else ScriptedAttempt(self._pieces)
        self.attempts.append((version, made))
        return made


@given("a resumable request at an engine on version 1 that opens the stream and begins nothing")
def step_waiting_request(context):
    context.transport = VersionedTransport([b"id: 1\ndata: a\n\n"])
    context.route = route_rule(resumable=True)
    context.engines = EngineTable()
    context.engines.update(engine_record("engine-1", weights={"model": 1}))
    context.happenings = []


@given("version 2 is named {seconds:g} s after it was sent, and an engine has it")
def step_named_while_waiting(context, seconds):
    def name():
        context.engines.update(engine_record("engine-2", weights={"model": 2}))
        context.targets.name(WeightTarget("model", 2, 1), time.monotonic())

    context.happenings.append((seconds, name))


@given("a request may begin on a version for {seconds:g} s after a newer one was named")
def step_begin_time(context, seconds):
    context.targets = WeightTargets(seconds, seconds)
    context.started_at = time.monotonic()


@then("the attempt on version 1 was closed between {low:g} s and {high:g} s after it was sent")
def step_closed_between(context, low, high):
    version, made = context.transport.attempts[0]
    assert version == 1, version
    assert made.closed_at is not None
    assert low <= made.closed_at - context.started_at <= high, made.closed_at - context.started_at


@then("the answer came whole from the engine on version 2")
def step_from_other(context):
    assert [version for version, _ in context.transport.attempts] == [1, 2]
    assert context.sink.ending == "complete", context.sink.ending
    assert context.sink.data == b"id: 1\ndata: a\n\n", context.sink.data


@given(
    "an engine whose weights may begin requests for {seconds:g} s, "
    "and {tokens:d} tokens that wait there"
)
def step_queue(context, seconds, tokens):
    context.engines = EngineTable()
    view = context.engines.update(engine_record("engine-1", weights={"model": 1}))
    view.own_load.waiting_tokens = tokens
    targets = WeightTargets(8.0)
    targets.name(WeightTarget("model", 2, 1), 100.0 - 8.0 + seconds)
    context.selector = EngineSelector(context.engines, targets, "zone-1")


@when("{tokens:d} tokens wait there")
def step_shorter_queue(context, tokens):
    context.engines.get("engine-1").own_load.waiting_tokens = tokens


@then("no engine is ready for a request")
def step_none_ready(context):
    found = context.selector.choose(opaque_request(), frozenset(), 100.0)
    assert found is Unavailable.NONE_READY, found


@then("the engine is ready for a request")
def step_one_ready(context):
    found = context.selector.choose(opaque_request(), frozenset(), 100.0)
    assert isinstance(found, events.EngineChoice), found


def engine_on_version_1():
    engines = EngineTable()
    engines.update(engine_record("engine-1", weights={"model": 1}))
    return engines


async def deliver(context, forwarder, request):
    """Deliver a request while what is to happen meanwhile happens."""
    loop = asyncio.get_running_loop()
    for after_s, happen in getattr(context, "happenings", []):
        loop.call_later(after_s, happen)
    await forwarder.deliver(request, context.sink)


@when("a gateway delivers it")
def step_deliver(context):
    engines = getattr(context, "engines", None) or engine_on_version_1()
    targets = getattr(context, "targets", WeightTargets(8.0))
    transport = getattr(context, "transport", None) or ScriptedTransport(context.pieces)
    selector = EngineSelector(engines, targets, "zone-1")
    allowance = RetryAllowance(0.2, 20.0, 10.0, 0.0)
    context.metrics = GatewayMetrics()
    forwarder = Forwarder(
        engines,
        ForwardingPorts(selector, allowance),
        allowance,
        transport,
        DecisionLog("node-1"),
        context.metrics,
    )
    context.sink = getattr(context, "sink", None) or RecordingSink()
    now = time.monotonic()
    route = getattr(context, "route", None)
    request = opaque_request(route=route, deadline=now + 5.0, received_at=now)
    context.run(deliver(context, forwarder, request))


@then('the caller has the bytes "{expected}"')
def step_bytes(context, expected):
    assert context.sink.data == unescape(expected), context.sink.data


@then("the answer is complete")
def step_complete(context):
    assert context.sink.ending == "complete", context.sink.ending


@then("the answer is broken off")
def step_broken_off(context):
    assert context.sink.ending == "broken off", context.sink.ending


class ClosedSink(RecordingSink):
    """A caller whose connection is closed."""

    async def pass_bytes(self, data):
        raise ConnectionResetError("Cannot write to closing transport")


@given("its caller closes the connection before the first event")
def step_closed_sink(context):
    context.sink = ClosedSink()


@then("the request counts as one whose caller is gone")
def step_counts_gone(context):
    text = context.metrics.text().decode()
    assert 'liftrill_requests_total{outcome="caller_gone"} 1.0' in text, text
