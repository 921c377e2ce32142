"""Steps on a node's memory budget, streams to slow callers, and the attribution of pauses."""

import asyncio
import time

from aiohttp import StreamReader
from aiohttp.base_protocol import BaseProtocol
from behave import given, then, when
from hypothesis import given as drawn
from hypothesis import settings
from hypothesis import strategies as st

from features.gateway_support import engine_record, new_quarantine, opaque_request, route_rule
from features.steps.gateway_forwarding_steps import LiveEngineTransport, RecordingSink
from liftrill.coordination.circuit import CircuitBreaker
from liftrill.errors import ResultCode
from liftrill.gateway import delivery_events as events
from liftrill.gateway.admission.retry_allowance import RetryAllowance
from liftrill.gateway.decision_log import DecisionLog
from liftrill.gateway.engines.engine_selector import EngineSelector
from liftrill.gateway.engines.engine_table import EngineLoad, EngineTable
from liftrill.gateway.event_stream import StreamEvent
from liftrill.gateway.forwarder import Forwarder, ForwardingPorts
from liftrill.gateway.gateway_metrics import GatewayMetrics
from liftrill.gateway.holding.body_reader import (
    BodyReader,
    BodyTooLargeError,
    refusal_for_body_error,
)
from liftrill.gateway.holding.caller_stream import (
    CallerConnection,
    CallerStream,
    CallerTooSlowError,
)
from liftrill.gateway.holding.memory_budget import MemoryBudget, Purpose
from liftrill.gateway.peers.load_codec import datagrams_from_report, report_from_message
from liftrill.gateway.peers.load_exchange import LoadReport, LoadScope
from liftrill.gateway.peers.load_table import LoadTable
from liftrill.gateway.transport import EngineAttempt
from liftrill.gateway.weight_targets import WeightTargets
from liftrill.messages.peer_pb2 import Datagram

KB = 1024
MB = 1024 * KB
# The high-water mark of the fake connection, like that of the real one.
HIGH_WATER_BYTES = 16 * KB
EVENT_BYTES = 1 * KB


# Memory budget


def new_budget(context, limit, own):
    context.budget = MemoryBudget(limit * MB, own * MB)
    context.pressure_changes = []
    context.budget.on_pressure_change = lambda state: context.pressure_changes.append(
        state.is_nearly_full
    )
    context.now = 100.0
    context.holds, context.evicted = [], []


def reserve(context, purpose, caller):
    number = len(context.holds)
    hold = context.budget.reserve(
        purpose, caller, context.now, lambda: context.evicted.append((caller, number))
    )
    context.holds.append(hold)
    return hold


def try_body(context, size):
    hold = reserve(context, Purpose.BODY_READ, "")
    return context.budget.try_grow_body(hold, int(size), context.now)


@given("a budget of {limit:d} MB, of which the process uses {own:d} MB")
def step_budget(context, limit, own):
    new_budget(context, limit, own)


@when("a body of {size:g} MB is declared")
@then("a body of {size:g} MB is accepted")
def step_declared(context, size):
    assert try_body(context, size * MB)


@when("{later:g} s later a body of {size:g} MB is declared")
def step_declared_later(context, later, size):
    context.now += later
    assert try_body(context, size * MB)


@when("a body of {size:d} KB is declared")
@then("a body of {size:d} KB is accepted")
def step_small_taken(context, size):
    assert try_body(context, size * KB)


@then("a body of {size:g} MB is refused")
def step_refused(context, size):
    held = context.budget.held_bytes
    assert not try_body(context, size * MB)
    assert context.budget.held_bytes == held


@then("a chunked body is accepted up to {accepted:d} KB, and refused from {refused:d} KB on")
def step_chunks(context, accepted, refused):
    hold = reserve(context, Purpose.BODY_READ, "")
    for size in range(64, accepted + 1, 64):
        assert context.budget.try_grow_body(hold, size * KB, context.now), size
    assert not context.budget.try_grow_body(hold, refused * KB, context.now)


@then("the first body was evicted, and the second was not")
def step_first_evicted(context):
    assert [number for _, number in context.evicted] == [0], context.evicted


@then("{size:d} MB may be held, and not {more:d} MB")
def step_may_hold(context, size, more):
    assert context.budget.has_room_for(size * MB) and not context.budget.has_room_for(more * MB)


@when('"{caller}" leaves {size:d} MB of an answer unread')
def step_unread(context, caller, size):
    context.budget.grow_answer(reserve(context, Purpose.ANSWER, caller), size * MB)


@then("no answer was evicted")
def step_none_evicted(context):
    assert not context.evicted, context.evicted


@then('the first answer of "{caller}" was evicted, and no other')
def step_one_evicted(context, caller):
    assert context.evicted == [(caller, 1)], context.evicted


@when("all bodies are released")
def step_all_released(context):
    for hold in context.holds:
        hold.close()


@then('it was reported that the budget is "nearly full, not nearly full"')
def step_pressure_reported(context):
    assert context.pressure_changes == [True, False], context.pressure_changes
    assert context.budget.held_bytes == 0


ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(["body", "answer", "grow", "hand over", "close"]),
        st.integers(0, 7),
        st.integers(0, 3 * MB),
    ),
    max_size=60,
)


@then("in {count:d} random histories the sums match the reservations")
def step_histories(context, count):
    @settings(max_examples=count, deadline=None, derandomize=True)
    @drawn(ACTIONS)
    def check(actions):
        new_budget(context, 16, 6)
        for now, (action, number, size) in enumerate(actions):
            context.now = float(now)
            act(context, action, number, size)
            check_sums(context.budget, context.holds)
        for hold in context.holds:
            hold.close()
            hold.close()
            hold.resize(5)
        assert context.budget.held_bytes == 0
        assert all(context.budget.held_for(purpose) == 0 for purpose in Purpose)

    check()


def act(context, action, number, size):
    budget = context.budget
    if action in ("body", "answer"):
        is_body = action == "body"
        hold = reserve(context, Purpose.BODY_READ if is_body else Purpose.ANSWER, str(number % 3))
        grow(budget, hold, size, context.now)
    elif number < len(context.holds):
        hold = context.holds[number]
        if action == "grow":
            grow(budget, hold, size, context.now)
        elif action == "close":
            hold.close()
        elif hold.purpose is Purpose.BODY_READ:
            hold.change_purpose(Purpose.BODY_HELD)


def grow(budget, hold, size, now):
    if hold.purpose is Purpose.ANSWER:
        budget.grow_answer(hold, size)
    else:
        budget.try_grow_body(hold, size, now)


def check_sums(budget, holds):
    for purpose in Purpose:
        held = sum(hold.held_bytes for hold in holds if hold.purpose is purpose)
        assert budget.held_for(purpose) == held >= 0
    assert budget.held_bytes == sum(hold.held_bytes for hold in holds)
    assert budget.held_for(Purpose.ANSWER) <= budget.capacity_bytes


# Streams to callers


class FakeConnection(CallerConnection):
    """The connection of a caller that reads some bytes per interval, and may disconnect."""

    def __init__(self, read_bytes, interval_s, disconnects_after_s=None):
        self.received = b""
        self.aborted = False
        self._unsent = b""
        self._is_slow = False
        self._changed = asyncio.Event()
        self._read_bytes, self._interval_s = read_bytes, interval_s
        self._keeps_up = interval_s == 0.0
        loop = asyncio.get_running_loop()
        if read_bytes and not self._keeps_up:
            self._timer = loop.call_later(interval_s, self._read)
        if disconnects_after_s is not None:
            loop.call_later(disconnects_after_s, self.abort)

    @property
    def is_slow(self):
        return self._is_slow

    @property
    def unsent_bytes(self):
        return len(self._unsent)

    async def write(self, data):
        if self.aborted:
            raise ConnectionResetError("disconnected")
        if self._keeps_up:
            self.received += data
            return
        self._unsent += data
        self._is_slow = len(self._unsent) > HIGH_WATER_BYTES

    async def wait_until_writable(self):
        while self._is_slow and not self.aborted:
            self._changed.clear()
            await self._changed.wait()
        if self.aborted:
            raise ConnectionResetError("disconnected")

    async def wait_until_sent(self):
        while self._unsent:
            self._changed.clear()
            await self._changed.wait()

    def abort(self):
        self.aborted = True
        self._changed.set()

    def _read(self):
        self.received += self._unsent[: self._read_bytes]
        self._unsent = self._unsent[self._read_bytes :]
        if len(self._unsent) <= HIGH_WATER_BYTES // 4:
            self._is_slow = False
        self._changed.set()
        asyncio.get_running_loop().call_later(self._interval_s, self._read)


@given("a caller that keeps up")
def step_keeps_up(context):
    context.reads = (0, 0.0)


@given("a caller that reads nothing")
def step_reads_nothing(context):
    context.reads = (0, 1.0)


@given("a caller that reads nothing and disconnects after {seconds:g} s")
def step_disconnects(context, seconds):
    context.reads = (0, 1.0, seconds)


@given("a caller that reads {size:d} KB each {interval:g} s")
def step_reads_slowly(context, size, interval):
    context.reads = (size * KB, interval)


async def stream(context, connection, count):
    """Pass the events of a stream; record when the engine finished; return the error."""
    caller_stream = CallerStream(connection, context.budget, "caller", lambda *_: None)
    started_at = time.monotonic()
    error = None
    try:
        for number in range(count):
            await caller_stream.pass_bytes(f"{number:08d}".encode() * (EVENT_BYTES // 8))
            context.most_held = max(context.most_held, context.budget.held_bytes)
            context.buffers_used += caller_stream._buffer is not None
        context.engine_finished_s = time.monotonic() - started_at
        await caller_stream.finish()
        await connection.wait_until_sent()
    except ConnectionResetError as found:
        error = found
    finally:
        caller_stream.close()
    context.took_s = time.monotonic() - started_at
    context.caller_stream = caller_stream
    return error


def pass_stream(context, count):
    async def run():
        context.connection = FakeConnection(*context.reads)
        context.error = await stream(context, context.connection, count)

    if not hasattr(context, "budget"):
        new_budget(context, 16, 6)
    context.most_held = context.buffers_used = 0
    context.count = count
    context.run(run())


@when("a stream of {count:d} events passes")
def step_events(context, count):
    pass_stream(context, count)


@when("a stream of {size:d} KB in events passes")
def step_stream(context, size):
    pass_stream(context, size)


@then("the caller has all events in order")
def step_in_order(context):
    assert context.error is None, context.error
    expected = b"".join(f"{n:08d}".encode() * (EVENT_BYTES // 8) for n in range(context.count))
    assert context.connection.received == expected


@then("no buffer was used, and the run waited 0 s")
def step_no_buffer(context):
    assert context.buffers_used == 0 and context.caller_stream.waited_s == 0.0


@then("the engine finished within {seconds:g} s")
def step_engine_finished(context, seconds):
    assert context.engine_finished_s < seconds < context.took_s, context.engine_finished_s


@then("nothing is held")
def step_nothing_held(context):
    assert context.budget.held_bytes == 0, context.budget.held_bytes


@then("never more than {size:d} KB were held")
def step_most_held(context, size):
    assert 0 < context.most_held <= size * KB, context.most_held


@then("the run waited at least {seconds:g} s")
def step_waited(context, seconds):
    assert context.caller_stream.waited_s >= seconds, context.caller_stream.waited_s


@then("the caller was disconnected after {low:g} to {high:g} s as too slow")
def step_let_go(context, low, high):
    assert isinstance(context.error, CallerTooSlowError), context.error
    assert context.connection.aborted
    assert low <= context.took_s <= high, context.took_s


@then("the disconnect was noticed within {seconds:g} s")
def step_disconnect_noticed(context, seconds):
    assert isinstance(context.error, ConnectionResetError), context.error
    assert not isinstance(context.error, CallerTooSlowError)
    assert context.took_s <= seconds, context.took_s


@given(
    "{count:d} callers that read nothing and a budget of {limit:d} MB, "
    "of which the process uses {own:d} MB"
)
def step_many_callers(context, count, limit, own):
    new_budget(context, limit, own)
    context.callers = count
    context.most_held = context.buffers_used = 0


@when("each is sent a stream of {size:d} KB in events")
def step_send_all(context, size):
    async def run():
        connections = [FakeConnection(0, 1.0) for _ in range(context.callers)]
        return await asyncio.gather(*(stream(context, c, size) for c in connections))

    context.errors = context.run(run())


@then("all streams were aborted, and never more than {size:d} KB were held")
def step_all_aborted(context, size):
    assert all(isinstance(error, CallerTooSlowError) for error in context.errors)
    assert 0 < context.most_held <= size * KB, context.most_held
    assert context.budget.held_bytes == 0


# Attribution of pauses and failures


class SlowSink(RecordingSink):
    """A caller that reads each event slowly, or never reads the end."""

    def __init__(self, wait_s, reads_end=True):
        super().__init__()
        self.waited_s = 0.0
        self.aborted_at = None
        self._wait_s, self._reads_end = wait_s, reads_end

    @property
    def caller_wait_s(self):
        return self.waited_s

    async def send_bytes(self, data):
        await asyncio.sleep(self._wait_s)
        self.waited_s += self._wait_s

    async def finish(self):
        if not self._reads_end:
            await asyncio.sleep(30)

    def abort_stream(self):
        self.aborted_at = time.monotonic()
        super().abort_stream()


class TwoEvents(EngineAttempt):
    """An attempt that sends two events at once, and then the given ending."""

    def __init__(self, ending):
        self._steps = [
            [events.EventReceived(StreamEvent(1, b"id: 1\n\n"))],
            [events.EventReceived(StreamEvent(2, b"id: 2\n\n"))],
            [ending],
        ]
        self.closed_at = None

    async def open(self):
        return [events.StreamOpened(200, ())]

    async def read(self):
        return self._steps.pop(0)

    def close(self):
        self.closed_at = self.closed_at or time.monotonic()


class CountingBreaker(CircuitBreaker):
    failures = 0

    def record_failure(self, now):
        self.failures += 1


class OneAttempt(LiveEngineTransport):
    def __init__(self, attempt):
        self._attempt = attempt

    def attempt(self, request, start):
        return self._attempt


@given("a run whose caller needs {wait:g} s for each event")
def step_slow_sink(context, wait):
    context.sink, context.deadline_s = SlowSink(wait), 5.0


@given("a run whose caller never reads the end of its answer, with a deadline in {seconds:g} s")
def step_end_never_read(context, seconds):
    context.sink, context.deadline_s = SlowSink(0.0, reads_end=False), seconds


@when("its stream completes")
def step_completes(context):
    deliver(context, events.StreamCompleted())


@when("its engine sends an event again")
def step_sends_again(context):
    deliver(context, events.EventReceived(StreamEvent(2, b"id: 2\n\n")))


@when("its engine interrupts the stream")
def step_interrupts(context):
    deliver(context, events.AttemptInterrupted("cut"))


def new_forwarder(context, transport):
    engines = EngineTable()
    context.view = engines.update(engine_record("engine-1", weights={"model": 1}))
    engines.update(engine_record("engine-2", weights={"model": 1}))
    allowance = RetryAllowance(0.2, 20.0, 10.0, 0.0)
    ports = ForwardingPorts(EngineSelector(engines, WeightTargets(8.0), "zone-1"), allowance)
    return Forwarder(
        engines,
        ports,
        allowance,
        transport,
        DecisionLog("node-1"),
        GatewayMetrics(),
        new_quarantine(engines),
    )


def deliver(context, ending):
    context.attempt = TwoEvents(ending)
    forwarder = new_forwarder(context, OneAttempt(context.attempt))
    context.breaker = CountingBreaker(3, 2.0)
    for view in forwarder._engines.of_service("service-1"):
        view.breaker = context.breaker
    context.held = []
    forwarder.record_slot_time = lambda run_state, held_s: context.held.append((run_state, held_s))
    now = time.monotonic()
    context.started_at = now
    request = opaque_request(deadline=now + context.deadline_s, received_at=now)
    context.run(forwarder.deliver(request, context.sink))


@then("its longest pause and the time of its slot are under {seconds:g} s")
def step_no_pause(context, seconds):
    ((run_state, held_s),) = context.held
    assert held_s < seconds and run_state.times.longest_pause_s < seconds, (held_s, run_state.times)


@then("the engine's breaker has counted {count:d} failure")
@then("the engine's breaker has counted {count:d} failures")
def step_failures(context, count):
    assert context.breaker.failures == count, context.breaker.failures


@then("the answer was aborted within {seconds:g} s, and its engine's slot was free before that")
def step_aborted(context, seconds):
    assert context.sink.ending == "broken off"
    assert context.sink.aborted_at - context.started_at < seconds
    assert context.attempt.closed_at - context.started_at < 0.1
    assert context.view.own_load.requests == 0


# Bodies


class BodySink(RecordingSink):
    """Records whether the body was still held at the first event."""

    def __init__(self):
        super().__init__()
        self.released = False
        self.held_at_first = None

    def body_released(self):
        self.released = True

    async def send_bytes(self, data):
        if self.held_at_first is None:
            self.held_at_first = not self.released


class BodiesSink(RecordingSink):
    """Records the kilobytes of bodies at an engine while its answer passes."""

    def __init__(self, view):
        super().__init__()
        self._view = view
        self.seen = None

    async def send_bytes(self, data):
        self.seen = self._view.body_kilobytes


@given("an engine with {kilobytes:d} KB of bodies reported by a peer")
def step_peer_bodies(context, kilobytes):
    context.forwarder = new_forwarder(context, OneAttempt(TwoEvents(events.StreamCompleted())))
    loads = LoadTable(context.forwarder._engines)
    report = LoadReport(
        LoadScope.NODE, "peer", "zone-1", {"engine-1": EngineLoad(0, 0, 0, kilobytes)}
    )
    (datagram,) = datagrams_from_report(report, 1)
    parsed = Datagram.FromString(datagram.SerializeToString())
    loads.update("peer", report_from_message(parsed).loads, 0.0)


@when("a request with a body of {size:d} KB is sent to it")
def step_sent_to_it(context, size):
    now = time.monotonic()
    context.forwarder._engines.get("engine-2").condition.leaving = True
    request = opaque_request(deadline=now + 5.0, received_at=now, body=b"x" * (size * KB))
    context.sink = BodiesSink(context.view)
    context.run(context.forwarder.deliver(request, context.sink))


@then("it holds {held:d} KB, and once that request is answered {left:d} KB")
def step_engine_holds(context, held, left):
    assert context.sink.seen == held, context.sink.seen
    assert context.view.body_kilobytes == left, context.view.body_kilobytes


class SuccessiveAttempts(LiveEngineTransport):
    """Engines that end each attempt with the next of the given endings."""

    def __init__(self, endings):
        self.bodies = []
        self._endings = endings

    def attempt(self, request, start):
        self.bodies.append(request.body)
        return TwoEvents(self._endings.pop(0))


@given("a {kind} request with a body of {size:d} KB")
def step_body_request(context, kind, size):
    context.body = b"x" * (size * KB)
    now = time.monotonic()
    route = route_rule(resumable=kind == "resumable")
    context.request = opaque_request(route, deadline=now + 5.0, received_at=now, body=context.body)


@when("its engine interrupts the stream after the first event")
def step_interrupts_after_event(context):
    context.sink = BodySink()
    context.transport = SuccessiveAttempts(
        [events.AttemptInterrupted("cut"), events.StreamCompleted()]
    )
    forwarder = new_forwarder(context, context.transport)
    context.run(forwarder.deliver(context.request, context.sink))


@then("the body was held at the first event: {held}")
def step_held_at_first(context, held):
    is_held = held == "yes"
    assert context.sink.held_at_first is is_held
    assert context.request.body == (context.body if is_held else b"")


@then("it was sent {times:d} times, each time in full")
def step_sent_in_full(context, times):
    assert context.transport.bodies == [context.body] * times, len(context.transport.bodies)


class OpenProtocol(BaseProtocol):
    """A connection that stays open and accepts any number of bytes."""

    connected = True

    def pause_reading(self):
        pass


def new_body(context, budget):
    content = StreamReader(OpenProtocol(context.loop), 2**16, loop=context.loop)
    return content, BodyReader(content, budget, "caller")


@given("a body of {size:d} KB that is being received, with a limit of {limit:d} KB")
def step_receiving(context, size, limit):
    new_budget(context, 16, 6)
    context.size, context.limit = size * KB, limit * KB
    context.content, context.reader = new_body(context, context.budget)


def read(context, next_action, within_s):
    async def run():
        reading = asyncio.ensure_future(context.reader.read(context.size, context.limit, within_s))
        await asyncio.sleep(0.01)
        context.content.feed_data(b"x" * (context.size // 2))
        await asyncio.sleep(0.01)
        next_action()
        return await reading

    return context.run(run())


@when("the limit becomes {limit:d} KB and the rest arrives")
def step_lowered(context, limit):
    def lower_and_send():
        context.limit = limit * KB
        context.content.feed_data(b"y" * (context.size // 2))
        context.content.feed_eof()

    context.body = read(context, lower_and_send, 5.0)


@then("the body was read in full")
def step_read_in_full(context):
    half = context.size // 2
    assert context.body == b"x" * half + b"y" * half


@then("another body of {size:d} KB is too large")
def step_too_large(context, size):
    _, reader = new_body(context, context.budget)
    try:
        context.run(reader.read(size * KB, context.limit, 5.0))
    except BodyTooLargeError:
        return
    raise AssertionError(f"a body of {size} KB was read")


@when("nothing more arrives for the {seconds:g} s that its caller waits")
def step_stops_arriving(context, seconds):
    try:
        read(context, lambda: None, seconds)
    except TimeoutError as error:
        context.refusal = refusal_for_body_error(error)
    finally:
        context.reader.close()


@then("it was refused as not executed, and nothing is held")
def step_refused_late(context):
    assert context.refusal.code is ResultCode.DEADLINE_UNREACHABLE
    assert context.refusal.retry_after_seconds is not None
    assert context.budget.held_bytes == 0
