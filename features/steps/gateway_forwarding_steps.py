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
from liftrill.gateway.delivery_ports import Unavailable
from liftrill.gateway.engines.engine_selector import EngineSelector
from liftrill.gateway.engines.engine_table import EngineNotice, EngineTable
from liftrill.gateway.event_stream import EventSplitter, StreamEvent
from liftrill.gateway.forwarder import Forwarder, ForwardingPorts
from liftrill.gateway.gateway_metrics import GatewayMetrics
from liftrill.gateway.paths.path_attempts import IncarnationCheck
from liftrill.gateway.records import WeightTarget
from liftrill.gateway.stall_detector import StallDetector
from liftrill.gateway.transport import (
    EngineAttempt,
    EngineReply,
    EngineTransport,
    ProbeResult,
    ResponseSink,
)
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
    """A transport to engines that never end."""

    async def probe(self, address, timeout_s):
        return ProbeResult.ACCEPTED


class ScriptedTransport(LiveEngineTransport):
    def __init__(self, pieces):
        self._pieces = pieces

    def attempt(self, request, start):
        return ScriptedAttempt(self._pieces)


class RecordingSink(ResponseSink):
    """Records what a caller would receive."""

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
        """Run the action of a scenario as a read begins."""

    async def open(self):
        return [events.StreamOpened(200, ())]

    async def read(self):
        self.before_wait()
        await asyncio.sleep(30)

    def close(self):
        self.closed_at = time.monotonic()


class IdleTransport(LiveEngineTransport):
    def __init__(self):
        self.last_attempt = IdleAttempt()

    def attempt(self, request, start):
        return self.last_attempt


@given("an engine that begins nothing, on a version that must begin requests within {seconds:g} s")
def step_idle_engine(context, seconds):
    context.transport = IdleTransport()
    context.targets = WeightTargets(8.0, 8.0)
    context.started_at = time.monotonic()
    context.targets.add(WeightTarget("model", 2, 1), context.started_at - 8.0 + seconds)
    context.targets.grace_seconds = 9.0


@then("the attempt was closed within {seconds:g} s")
def step_closed(context, seconds):
    closed_at = context.transport.last_attempt.closed_at
    assert closed_at is not None and closed_at - context.started_at < seconds


@then("the caller was told that the outcome is unknown")
def step_told_unknown(context):
    assert context.sink.ending == "ENGINE_LOST", context.sink.ending


def engine_on_version_1():
    engines = EngineTable()
    engines.update(engine_record("engine-1", weights={"model": 1}))
    return engines


class VersionedTransport(LiveEngineTransport):
    """Engines that begin nothing on version 1, and that answer on newer versions.

    Attributes:
        attempts: every attempt with its engine's version, in order.
    """

    def __init__(self, pieces):
        self._pieces = pieces
        self.attempts = []

    def attempt(self, request, start):
        version = start.choice.weight_version
        attempt = IdleAttempt() if version == 1 else ScriptedAttempt(self._pieces)
        self.attempts.append((version, attempt))
        return attempt


@given("a {kind} request at an engine on version 1 that opens the stream and begins nothing")
def step_waiting_request(context, kind):
    context.transport = VersionedTransport([b"id: 1\ndata: a\n\n"])
    context.route = route_rule(resumable=kind == "resumable")
    context.engines = engine_on_version_1()
    context.scheduled_actions = []


@given("version 2 is published {seconds:g} s after the request was sent, and an engine has it")
@given(
    "version 2 is published {seconds:g} s after the request was sent, "
    "and an engine with {tokens:d} waiting tokens has it"
)
def step_published_while_waiting(context, seconds, tokens=0):
    def publish():
        view = context.engines.update(engine_record("engine-2", weights={"model": 2}))
        view.own_load.waiting_tokens = tokens
        context.targets.add(WeightTarget("model", 2, 1), time.monotonic())

    context.scheduled_actions.append((seconds, publish))


@given(
    "version 2, published {earlier:g} s earlier, "
    "becomes known {seconds:g} s after the request was sent"
)
def step_known_late(context, earlier, seconds):
    def publish():
        context.targets.add(WeightTarget("model", 2, 1), time.monotonic() - earlier)

    context.scheduled_actions.append((seconds, publish))


@given("version 3 is published at the moment at which the wait ends")
def step_published_as_wait_ends(context):
    def publish():
        try:
            context.targets.add(WeightTarget("model", 3, 2), time.monotonic())
        except RuntimeError as error:
            context.error = error

    context.error = None
    # A callback that the read schedules runs right after the expired timer of the wait.
    context.transport.last_attempt.before_wait = lambda: asyncio.get_running_loop().call_soon(
        publish
    )


@then("version 3 was added without an error")
def step_added(context):
    assert context.targets.newest("model") == 3
    assert context.error is None, repr(context.error)


class FailingAttempt(EngineAttempt):
    """An engine that waits and then fails."""

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
    """Engines of which the first fails its attempt, and all others answer."""

    def __init__(self, pieces, failing, has_ended):
        super().__init__(pieces)
        self._failing = failing
        self._has_ended = has_ended

    async def probe(self, address, timeout_s):
        return ProbeResult.REFUSED if self._has_ended else ProbeResult.ACCEPTED

    def attempt(self, request, start):
        attempt = ScriptedAttempt(self._pieces) if self.attempts else self._failing
        self.attempts.append((start.choice.weight_version, attempt))
        return attempt


FIRST_EVENT = events.EventReceived(StreamEvent(1, b"id: 1\ndata: a\n\n"))
OPENING_AND_FAILURE = {
    "refuses it as overloaded": (
        [],
        events.AttemptRefused(events.RefusalKind.OVERLOADED),
    ),
    "ends in the stream it began": (
        [events.StreamOpened(200, ()), FIRST_EVENT],
        events.AttemptInterrupted("reset"),
    ),
}


@given("a resumable request at one of two engines on version 1, which {what} after {seconds:g} s")
def step_failing_engine(context, what, seconds):
    opening, failure = OPENING_AND_FAILURE[what]
    failing = FailingAttempt(opening, failure, seconds)
    has_ended = isinstance(failure, events.AttemptInterrupted)
    context.transport = FailingTransport([b"id: 2\ndata: b\n\n"], failing, has_ended)
    context.route = route_rule(resumable=True)
    context.engines = engine_on_version_1()
    context.engines.update(engine_record("engine-3", weights={"model": 1}))
    context.scheduled_actions = []


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
        self._attempt = SlowAttempt(pieces, pause_s)

    def attempt(self, request, start):
        assert start.choice.weight_version == 1, start.choice
        return self._attempt


@given(
    "a stream whose second event comes {seconds:g} s after the first, from an engine on version 1"
)
def step_slow_stream(context, seconds):
    pieces = [b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n"]
    context.transport = SlowTransport(pieces, seconds)
    context.engines = engine_on_version_1()
    context.scheduled_actions = []


class ReportingTransport(LiveEngineTransport):
    """Engines that answer attempts and reports as a scenario says.

    Attributes:
        pieces: what the first and the second engine send.
        asked: the engines that were asked for a report.
        sent: the engines that were sent a request, in order.
        on_report: called as an engine is asked for a report.
    """

    def __init__(self, first, second):
        self.pieces = (first, second)
        self.asked = []
        self.sent = []
        self.reply = EngineReply.SAME
        self.reply_after_s = 0.0
        self.on_report = lambda: None

    def attempt(self, request, start):
        self.sent.append(start.choice)
        is_first = start.choice.engine_id == self.sent[0].engine_id
        return ScriptedAttempt(self.pieces[0 if is_first else 1])

    async def identify(self, view):
        self.asked.append(view)
        await asyncio.sleep(self.reply_after_s)
        is_first = view.engine_id == self.sent[0].engine_id
        if is_first:
            self.on_report()
        return self.reply if is_first else EngineReply.SAME


OF_FIRST, OF_SECOND = b"id: 2\ndata: first\n\n", b"id: 2\ndata: second\n\n"


@given("a resumed stream whose engine sends {what}, and a second engine of its version")
def step_resumed(context, what):
    context.transport = ReportingTransport([OF_FIRST] * (what == "an event"), [OF_SECOND])
    context.route = route_rule(resumable=True)
    context.engines = EngineTable()
    for number in (1, 2):
        context.engines.update(
            engine_record(f"engine-{number}", weights={"model": 1}, software_version="v1.1")
        )
    context.required_version = "v1.1"


@given(
    'the first engine\'s address replies "{reply}" to a report, '
    "and the records of engines are {how}"
)
def step_replies(context, reply, how):
    transport, engines = context.transport, context.engines
    transport.reply = EngineReply(reply)
    if how == "replaced as it begins":
        transport.on_report = lambda: engines.update(
            engine_record(transport.sent[0].engine_id, software_version="v1.2", revision=2)
        )

    async def knows_records(until):
        return how in ("known", "replaced as it begins")

    context.knows_records = knows_records


@then("its response by a peer is {confirmed}, and no engine was asked for a report")
def step_by_peer(context, confirmed):
    check = IncarnationCheck(context.transport, GatewayMetrics())
    check.knows_records = context.knows_records
    result = context.run(check.check(context.engines.get("engine-1"), True))
    assert (result is None) is (confirmed == "confirmed"), result
    step_not_asked(context)


@given("the first engine leaves as the stream begins")
def step_leaves(context):
    def leave():
        context.transport.asked[0].condition.leaving = True

    context.transport.on_report = leave


@given("each address is slow to reply to a report")
def step_slow_reports(context):
    context.transport = ReportingTransport(context.pieces, context.pieces)
    context.transport.reply_after_s = 30.0


@then("the caller has only what the {which} engine sent")
def step_only_of(context, which):
    expected = OF_FIRST if which == "first" else OF_SECOND
    assert context.sink.data == expected, context.sink.data
    assert context.sink.ending == "complete", context.sink.ending


@then("the first engine is {use}")
def step_first_in_use(context, use):
    assert context.transport.asked[0].gone is (use == "gone"), context.transport.asked[0]


@then("no engine was asked for a report")
def step_not_asked(context):
    assert not context.transport.asked, context.transport.asked


@given("a broken run on version 1, and an engine that has its backup")
def step_broken_run(context):
    context.engines = engine_on_version_1()
    view = context.engines.update(engine_record("engine-2", weights={"model": 1}))
    context.targets = WeightTargets(8.0, 8.0)
    context.selector = EngineSelector(context.engines, context.targets, "zone-1")
    backup = events.EngineAddress(view.engine_id, view.record.address)
    number = context.engines.get("engine-1").number
    context.broken = events.EngineChoice(
        "engine-1", "address", 1, "salt", backup=backup, number=number
    )


@when("version 2 is published")
def step_publish_2(context):
    context.targets.add(WeightTarget("model", 2, 1), 100.0)


def continuation(context):
    return context.selector.continue_at_backup(opaque_request(), context.broken, 101.0)


@when("it continues there")
def step_continues(context):
    context.continued = continuation(context)
    assert context.continued.engine_id == "engine-2", context.continued
    assert context.continued.continues_at_backup, context.continued


@when("its engine is announced to load version {version:d}")
def step_announced(context, version):
    context.engines.apply_notice(EngineNotice("engine-1", "model", version, True, 1), 200.0)


@when("its engine is known to have version {version:d}")
def step_known_weights(context, version):
    context.engines.apply_notice(EngineNotice("engine-1", "model", version, False, 1), 0.0)


@then("it does not continue there")
def step_not_continued(context):
    assert continuation(context) is None, continuation(context)


@then("its start has no limit")
def step_unlimited(context):
    assert context.selector.begin_by(context.continued, opaque_request()) == math.inf


@then("a new request sent there may begin for {seconds:g} s")
def step_begins_limited(context, seconds):
    choice = events.EngineChoice("engine-2", "address", 1, "salt")
    assert context.selector.begin_by(choice, opaque_request()) == 100.0 + seconds


@given("a request may begin on a version for {seconds:g} s after a newer one was published")
def step_begin_time(context, seconds):
    context.targets = WeightTargets(seconds, seconds)
    context.started_at = time.monotonic()


@given(
    "a request may be sent to a version for {sent:g} s after a newer one was published, "
    "and begin within {begin:g} s"
)
def step_send_time(context, sent, begin):
    context.targets = WeightTargets(sent, begin)


@then("the attempt on version 1 was closed between {low:g} s and {high:g} s after it was sent")
def step_closed_between(context, low, high):
    version, attempt = context.transport.attempts[0]
    assert version == 1, version
    assert attempt.closed_at is not None
    assert low <= attempt.closed_at - context.started_at <= high, (
        attempt.closed_at - context.started_at
    )


@then("the complete answer came from the engine on version 2")
def step_answer_on_version_2(context):
    assert [version for version, _ in context.transport.attempts] == [1, 2]
    assert context.sink.ending == "complete", context.sink.ending
    assert context.sink.data == b"id: 1\ndata: a\n\n", context.sink.data


@given("its node's state is current again after {seconds:g} s")
def step_current_later(context, seconds):
    current_at = time.monotonic() + seconds
    context.state_is_current = lambda now: now >= current_at
    context.transport = RecordingTransport(context.pieces)
    context.current_at = current_at


class RecordingTransport(ScriptedTransport):
    """Engines that answer; records when each attempt was made."""

    def __init__(self, pieces):
        super().__init__(pieces)
        self.sent_at = []

    def attempt(self, request, start):
        self.sent_at.append(time.monotonic())
        return super().attempt(request, start)


@then("it was sent no earlier than after {seconds:g} s")
def step_sent_later(context, seconds):
    (sent_at,) = context.transport.sent_at
    assert sent_at >= context.current_at, (sent_at, context.current_at)


class StoppingAttempt(ScriptedAttempt):
    """An attempt whose connection becomes ready as its node begins no more requests."""

    def __init__(self, pieces, transport):
        super().__init__(pieces)
        self._transport = transport

    async def open(self):
        if self._transport.refusals_left:
            self._transport.refusals_left -= 1
            return [events.AttemptRefused(events.RefusalKind.OVERLOADED)]
        self._transport.begins_requests = False
        if not self.may_send():
            return [events.AttemptRefused(events.RefusalKind.WITHDRAWN)]
        self._transport.sent += 1
        return await super().open()


class StoppingTransport(ScriptedTransport):
    """Engines that refuse some attempts; the connection of the next one is ready too late."""

    def __init__(self, pieces, refusals):
        super().__init__(pieces)
        self.refusals_left = refusals
        self.begins_requests = True
        self.sent = 0

    def attempt(self, request, start):
        return StoppingAttempt(self._pieces, self)


@given("two engines of which {count:d} refuses it, and a node that begins no more requests then")
def step_stopping(context, count):
    context.engines = EngineTable()
    for number in (1, 2):
        context.engines.update(engine_record(f"engine-{number}", weights={"model": 1}))
    context.transport = StoppingTransport(context.pieces, count)
    context.may_begin_at = lambda now: context.transport.begins_requests


@then("it was sent to no engine that could run it, and was refused as the node stops")
def step_not_sent(context):
    assert context.transport.sent == 0, "the request was sent"
    assert context.sink.ending == "NODE_DRAINING", context.sink.ending


@given("its node's state is out of date")
def step_out_of_date(context):
    context.ports = ForwardingPorts(context.selector, RetryAllowance(0.2, 20.0, 10.0, 0.0))
    context.ports.state_is_current = lambda now: False


@then("it continues there only once the state is current")
def step_continues_when_current(context):
    assert context.ports.continue_at_backup(opaque_request(), context.broken) is None
    context.ports.state_is_current = lambda now: True
    assert context.ports.continue_at_backup(opaque_request(), context.broken) is not None


@given(
    "a process that ticks every {interval:g} s until {stop:g} s, "
    "stalls and ticks again at {again:g} s"
)
def step_stall(context, interval, stop, again):
    context.stall_detector = StallDetector(max_catch_up_s=2.0)
    ticks = [n * interval for n in range(round(stop / interval) + 1)]
    assert not any(context.stall_detector.tick(now) for now in ticks)
    assert context.stall_detector.tick(again)


@then("at {now:g} s, with updates until {known:g} s, its state is out of date")
def step_not_caught_up(context, now, known):
    assert not context.stall_detector.has_caught_up(now, known)


@then("at {now:g} s, with updates until {known:g} s, its state is current")
@then("at {now:g} s, with updates until {known:g} s, its state is used again")
def step_caught_up(context, now, known):
    assert context.stall_detector.has_caught_up(now, known)


@given(
    "an engine whose version may begin requests for {seconds:g} s more, "
    "with {tokens:d} waiting tokens"
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
    choice = context.selector.choose(opaque_request(), frozenset(), 100.0)
    assert choice is Unavailable.NONE_READY, choice


@then("the engine is ready for a request")
def step_one_ready(context):
    choice = context.selector.choose(opaque_request(), frozenset(), 100.0)
    assert isinstance(choice, events.EngineChoice), choice


async def deliver(context, forwarder, request):
    """Deliver a request while the scheduled actions of the scenario run."""
    loop = asyncio.get_running_loop()
    for after_s, action in getattr(context, "scheduled_actions", []):
        loop.call_later(after_s, action)
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
    ports.state_is_current = getattr(context, "state_is_current", ports.state_is_current)
    ports.may_begin_at = getattr(context, "may_begin_at", ports.may_begin_at)
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
    if hasattr(context, "required_version"):
        request.require_software_version(context.required_version)
    if hasattr(context, "knows_records"):
        forwarder.incarnation_check.knows_records = context.knows_records
    context.run(deliver(context, forwarder, request))


@then('the caller has the bytes "{expected}"')
def step_bytes(context, expected):
    assert context.sink.data == unescape(expected), context.sink.data


@then("the answer is complete")
def step_complete(context):
    assert context.sink.ending == "complete", context.sink.ending


@then("the speed of {count:d} events is recorded for its engine")
def step_event_speed(context, count):
    (view,) = context.delivering_engines
    work = view.speed.event.own_work(clock.now_s())
    # The longest pause is excluded.
    assert 0.9 * count < work.units <= count, work


@then("the answer is aborted")
def step_aborted(context):
    assert context.sink.ending == "broken off", context.sink.ending


class ClosedSink(RecordingSink):
    """A caller whose connection is closed."""

    async def send_bytes(self, data):
        raise ConnectionResetError("Cannot write to closing transport")


@given("its caller closes the connection before the first event")
def step_closed_sink(context):
    context.sink = ClosedSink()


@then('the request is counted with the outcome "caller_gone"')
def step_counts_gone(context):
    text = context.metrics.text().decode()
    assert 'liftrill_requests_total{outcome="caller_gone"} 1.0' in text, text
