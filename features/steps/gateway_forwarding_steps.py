"""Steps that deliver a request through a forwarder with a scripted engine."""

import asyncio
import time

from behave import given, then, when

from features.gateway_support import engine_record, opaque_request
from liftrill.gateway import delivery_events as events
from liftrill.gateway.decision_log import DecisionLog
from liftrill.gateway.engine_selector import EngineSelector
from liftrill.gateway.engine_table import EngineTable
from liftrill.gateway.event_stream import EventSplitter
from liftrill.gateway.forwarder import Forwarder, ForwardingPorts
from liftrill.gateway.gateway_metrics import GatewayMetrics
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


@when("a gateway delivers it")
def step_deliver(context):
    engines = EngineTable()
    engines.update(engine_record("engine-1", weights={"model": 1}))
    selector = EngineSelector(engines, WeightTargets(8.0), "zone-1")
    allowance = RetryAllowance(0.2, 20.0, 10.0, 0.0)
    forwarder = Forwarder(
        engines,
        ForwardingPorts(selector, allowance),
        allowance,
        ScriptedTransport(context.pieces),
        DecisionLog("node-1"),
        GatewayMetrics(),
    )
    context.sink = RecordingSink()
    request = opaque_request(deadline=time.monotonic() + 5.0, received_at=time.monotonic())
    context.run(forwarder.deliver(request, context.sink))


@then('the caller has the bytes "{expected}"')
def step_bytes(context, expected):
    assert context.sink.data == unescape(expected), context.sink.data


@then("the answer is complete")
def step_complete(context):
    assert context.sink.ending == "complete", context.sink.ending


@then("the answer is broken off")
def step_broken_off(context):
    assert context.sink.ending == "broken off", context.sink.ending
