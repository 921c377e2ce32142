"""Steps that deliver a request through a forwarder with a scripted engine."""

import asyncio
import math
import time

from behave import given, then, when

from features.gateway_support import engine_record, new_quarantine, opaque_request, route_rule
from liftrill import clock
from liftrill.gateway import delivery_events as events
from liftrill.gateway.admission.retry_allowance import RetryAllowance
from liftrill.gateway.decision_log import DecisionLog
from liftrill.gateway.delivery import Unavailable
from liftrill.gateway.engines.engine_selector import EngineSelector
from liftrill.gateway.engines.engine_table import EngineTable
from liftrill.gateway.event_stream import EventSplitter, StreamEvent
from liftrill.gateway.forwarder import Forwarder, ForwardingPorts
from liftrill.gateway.gateway_metrics import GatewayMetrics
from liftrill.gateway.records import WeightTarget
from liftrill.gateway.stall_detector import StallDetector
from liftrill.gateway.transport import EngineAttempt, EngineTransport, ResponseSink
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
            return [events.EventReceived(event) for event in found]
        if self._splitter.has_partial_event:
            return [events.AttemptInterrupted("torn")]
        return [events.StreamCompleted()]

    def close(self):
        self._pieces.clear()


class LiveEngineTransport(EngineTransport):
    """Engines that never end."""

    async def has_ended(self, address):
        return False


class ScriptedTransport(LiveEngineTransport):
    def __init__(self, pieces):
        self._pieces = pieces

    def attempt(self, request, start):
        return ScriptedAttempt(self._pieces)


class RecordingSink(ResponseSink):
    """Keeps what a caller would receive."""

    def __init__(self):
        self.data = b""
        self.ending = ""
        self.answer = None

    async def send_response(self, answer):
        self.answer = answer

    async def send_head(self, head):
        self.answer = head

    async def send_bytes(self, data):
        self.data += data

    async def finish(self):
        self.ending = "complete"

    def abort_stream(self):
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

    def before_wait(self):
        """Do what a scenario wants done as a read begins."""

    async def open(self):
        return [events.StreamOpened(200, ())]

    async def read(self):
        self.before_wait()
        await asyncio.sleep(30)

    def close(self):
        self.closed_at = time.monotonic()


class IdleTransport(LiveEngineTransport):
    def __init__(self):
        self.made = IdleAttempt()

    def attempt(self, request, start):
        return self.made


@given("an engine that begins nothing, whose weights go out of use in {seconds:g} s")
def step_idle_engine(context, seconds):
    context.transport = IdleTransport()
    context.targets = WeightTargets(8.0, 8.0)
    context.started_at = time.monotonic()
    context.targets.add(WeightTarget("model", 2, 1), context.started_at - 8.0 + seconds)
    context.targets.grace_seconds = 9.0


@then("the attempt was closed within {seconds:g} s")
def step_closed(context, seconds):
    closed_at = context.transport.made.closed_at
    assert closed_at is not None and closed_at - context.started_at < seconds


@then("the caller was told that the outcome is unknown")
def step_told_unknown(context):
    assert context.sink.ending == "ENGINE_LOST", context.sink.ending


def engine_on_version_1():
    engines = EngineTable()
    engines.update(engine_record("engine-1", weights={"model": 1}))
    return engines


class VersionedTransport(LiveEngineTransport):
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


@given("a {kind} request at an engine on version 1 that opens the stream and begins nothing")
def step_waiting_request(context, kind):
    context.transport = VersionedTransport([b"id: 1\ndata: a\n\n"])
    context.route = route_rule(resumable=kind == "resumable")
    context.engines = engine_on_version_1()
    context.happenings = []


@given("version 2 is named {seconds:g} s after it was sent, and an engine has it")
@given(
    "version 2 is named {seconds:g} s after it was sent, "
    "and an engine with {tokens:d} waiting tokens has it"
)
def step_named_while_waiting(context, seconds, tokens=0):
    def name():
        view = context.engines.update(engine_record("engine-2", weights={"model": 2}))
        view.own_load.waiting_tokens = tokens
        context.targets.add(WeightTarget("model", 2, 1), time.monotonic())

    context.happenings.append((seconds, name))


@given(
    "version 2, which was named {earlier:g} s earlier, is heard of {seconds:g} s after it was sent"
)
def step_heard_late(context, earlier, seconds):
    def name():
        context.targets.add(WeightTarget("model", 2, 1), time.monotonic() - earlier)

    context.happenings.append((seconds, name))


@given("version 3 is named in the moment in which its attempt is given up")
def step_named_while_given_up(context):
    def name():
        try:
            context.targets.add(WeightTarget("model", 3, 2), time.monotonic())
        except RuntimeError as error:
            context.error = error

    context.error = None
    # What a read asks the loop to do comes right after the timer of a wait that is over.
    context.transport.made.before_wait = lambda: asyncio.get_running_loop().call_soon(name)


@then("version 3 was taken in without an error")
def step_taken_in(context):
    assert context.targets.newest("model") == 3
    assert context.error is None, repr(context.error)


class FailingAttempt(EngineAttempt):
    """An engine that waits, and then tells of a failure."""

    def __init__(self, opening, failure, pause_s):
        self._opening = list(opening)
        self._failure = failure
        self._pause_s = pause_s

    async def open(self):
        return await self.read()

    async def read(self):
        if self._opening:
            return [self._opening.pop(0)]
        await asyncio.sleep(self._pause_s)
        return [self._failure]

    def close(self):
        self._opening.clear()


class FailingTransport(VersionedTransport):
    """The first attempt fails; engines answer all others."""

    def __init__(self, pieces, failing):
        super().__init__(pieces)
        self._failing = failing

    def attempt(self, request, start):
        made = ScriptedAttempt(self._pieces) if self.attempts else self._failing
        self.attempts.append((start.choice.weight_version, made))
        return made


FIRST_EVENT = events.EventReceived(StreamEvent(1, b"id: 1\ndata: a\n\n"))
OPENING_AND_FAILURE = {
    "turns it away as overloaded": (
        [],
        events.AttemptRefused(events.RefusalKind.OVERLOADED),
    ),
    "breaks the stream it began": (
        [events.StreamOpened(200, ()), FIRST_EVENT],
        events.AttemptInterrupted("reset"),
    ),
}


@given("a resumable request at one of two engines on version 1, which {what} after {seconds:g} s")
def step_failing_engine(context, what, seconds):
    opening, failure = OPENING_AND_FAILURE[what]
    failing = FailingAttempt(opening, failure, seconds)
    context.transport = FailingTransport([b"id: 2\ndata: b\n\n"], failing)
    context.route = route_rule(resumable=True)
    context.engines = engine_on_version_1()
    context.engines.update(engine_record("engine-3", weights={"model": 1}))
    context.happenings = []


@then("it was sent to engines on versions {one:d} and {two:d}")
def step_sent_to_versions(context, one, two):
    versions = [version for version, _ in context.transport.attempts]
    assert versions == [one, two], versions
    assert context.sink.ending == "complete", context.sink.ending


class SlowAttempt(ScriptedAttempt):
    """An engine that pauses after its first event."""

    def __init__(self, pieces, pause_s):
        super().__init__(pieces)
        self._pauses_s = [0.0, pause_s]

    async def read(self):
        await asyncio.sleep(self._pauses_s.pop(0) if self._pauses_s else 0.0)
        return await super().read()


class SlowTransport(LiveEngineTransport):
    def __init__(self, pieces, pause_s):
        self._made = SlowAttempt(pieces, pause_s)

    def attempt(self, request, start):
        assert start.choice.weight_version == 1, start.choice
        return self._made


@given(
    "a stream whose second event comes {seconds:g} s after the first, from an engine on version 1"
)
def step_slow_stream(context, seconds):
    pieces = [b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n"]
    context.transport = SlowTransport(pieces, seconds)
    context.engines = engine_on_version_1()
    context.happenings = []


@given("a run on version 1 that broke, and an engine that has its copy")
def step_broken_run(context):
    context.engines = engine_on_version_1()
    view = context.engines.update(engine_record("engine-2", weights={"model": 1}))
    context.targets = WeightTargets(8.0, 8.0)
    context.selector = EngineSelector(context.engines, context.targets, "zone-1")
    backup = events.EngineAddress(view.engine_id, view.record.address)
    context.broken = events.EngineChoice("engine-1", "address", 1, "salt", backup=backup)


@when("version 2 is named")
def step_name_2(context):
    context.targets.add(WeightTarget("model", 2, 1), 100.0)


@then("it goes on there, and nothing bounds when it does")
def step_goes_on_unbounded(context):
    choice = context.selector.continue_at_backup(opaque_request(), context.broken, 101.0)
    assert choice.engine_id == "engine-2" and choice.continues_at_backup, choice
    assert context.selector.begin_by(choice, opaque_request()) == math.inf


@then("a request that was sent there to begin may do so for {seconds:g} s")
def step_begins_bounded(context, seconds):
    choice = events.EngineChoice("engine-2", "address", 1, "salt")
    assert context.selector.begin_by(choice, opaque_request()) == 100.0 + seconds


@given("a request may begin on a version for {seconds:g} s after a newer one was named")
def step_begin_time(context, seconds):
    context.targets = WeightTargets(seconds, seconds)
    context.started_at = time.monotonic()


@given(
    "a request may be sent to a version for {sent:g} s after a newer one was named, "
    "and begin in {begin:g} s"
)
def step_send_time(context, sent, begin):
    context.targets = WeightTargets(sent, begin)


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


@given("its node's beliefs hold again after {seconds:g} s")
def step_beliefs_later(context, seconds):
    holds_at = time.monotonic() + seconds
    context.beliefs_hold = lambda now: now >= holds_at
    context.transport = RecordingTransport(context.pieces)
    context.holds_at = holds_at


class RecordingTransport(ScriptedTransport):
    """Engines that answer; notes when each attempt was made."""

    def __init__(self, pieces):
        super().__init__(pieces)
        self.sent_at = []

    def attempt(self, request, start):
        self.sent_at.append(time.monotonic())
        return super().attempt(request, start)


@then("it was sent after {seconds:g} s at the earliest")
def step_sent_later(context, seconds):
    (sent_at,) = context.transport.sent_at
    assert sent_at >= context.holds_at, (sent_at, context.holds_at)


@given("its node's beliefs do not hold")
def step_beliefs_never(context):
    context.ports = ForwardingPorts(context.selector, RetryAllowance(0.2, 20.0, 10.0, 0.0))
    context.ports.state_is_current = lambda now: False


@then("it goes on nowhere")
def step_goes_on_nowhere(context):
    assert context.ports.continue_at_backup(opaque_request(), context.broken) is None
    context.ports.state_is_current = lambda now: True
    assert context.ports.continue_at_backup(opaque_request(), context.broken) is not None


@given(
    "a process that beats every {interval:g} s until {stop:g} s, "
    "stands still and beats again at {again:g} s"
)
def step_beats(context, interval, stop, again):
    context.standstill = StallDetector(max_catch_up_s=2.0)
    beats = [n * interval for n in range(round(stop / interval) + 1)]
    assert not any(context.standstill.tick(now) for now in beats)
    assert context.standstill.tick(again)


@then("at {now:g} s, with all known until {known:g} s, what it believes is from before")
def step_from_before(context, now, known):
    assert not context.standstill.has_caught_up(now, known)


@then("at {now:g} s, with all known until {known:g} s, it is not")
@then("at {now:g} s, with all known until {known:g} s, it is used again")
def step_used_again(context, now, known):
    assert context.standstill.has_caught_up(now, known)


@given(
    "an engine whose weights may begin requests for {seconds:g} s, "
    "and {tokens:d} tokens that wait there"
)
def step_queue(context, seconds, tokens):
    context.engines = EngineTable()
    view = context.engines.update(engine_record("engine-1", weights={"model": 1}))
    view.own_load.waiting_tokens = tokens
    targets = WeightTargets(8.0)
    targets.add(WeightTarget("model", 2, 1), 100.0 - 8.0 + seconds)
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
    context.delivering_engines = engines
    allowance = RetryAllowance(0.2, 20.0, 10.0, 0.0)
    context.metrics = GatewayMetrics()
    ports = ForwardingPorts(selector, allowance)
    ports.state_is_current = getattr(context, "beliefs_hold", ports.state_is_current)
    forwarder = Forwarder(
        engines,
        ports,
        allowance,
        transport,
        DecisionLog("node-1"),
        context.metrics,
        new_quarantine(engines),
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


@then("it is known how fast {count:d} events of its engine came")
def step_pace_known(context, count):
    (view,) = context.delivering_engines
    work = view.speed.event.own_work(clock.now_s())
    # The longest pause is left out of them.
    assert 0.9 * count < work.units <= count, work


@then("the answer is broken off")
def step_broken_off(context):
    assert context.sink.ending == "broken off", context.sink.ending


class ClosedSink(RecordingSink):
    """A caller whose connection is closed."""

    async def send_bytes(self, data):
        raise ConnectionResetError("Cannot write to closing transport")


@given("its caller closes the connection before the first event")
def step_closed_sink(context):
    context.sink = ClosedSink()


@then("the request counts as one whose caller is gone")
def step_counts_gone(context):
    text = context.metrics.text().decode()
    assert 'liftrill_requests_total{outcome="caller_gone"} 1.0' in text, text
