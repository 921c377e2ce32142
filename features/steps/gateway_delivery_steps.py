"""Steps that feed events to a delivery machine."""

import random
import unittest.mock
from dataclasses import replace

from behave import given, then, when

from features.gateway_support import opaque_request, route_rule
from liftrill.gateway import delivery_events as events
from liftrill.gateway.delivery import DeliveryMachine, Phase
from liftrill.gateway.delivery_ports import DeliveryPorts, Unavailable
from liftrill.gateway.event_stream import EventSplitter, StreamEvent
from liftrill.gateway.records import RequestKind
from liftrill.gateway.run_continuation import resolve_close, resolve_event

ENGINES = ("engine-1", "engine-2", "engine-3", "engine-4")
KINDS = {
    "at-most-once request": (RequestKind.AT_MOST_ONCE, False),
    "idempotent request": (RequestKind.IDEMPOTENT, False),
    "stream request": (RequestKind.STREAM, False),
    "resumable stream request": (RequestKind.STREAM, True),
}


class FakePorts(DeliveryPorts):
    """Offers the engines in order, with a limited number of retries."""

    def __init__(self):
        self.ready = True
        self.retries = 10
        self.backup = None
        self.next_backup = None

    def choose(self, request, excluded):
        if not self.ready:
            return Unavailable.NONE_READY
        remaining = [engine for engine in ENGINES if engine not in excluded]
        if not remaining:
            return Unavailable.NONE_LEFT
        return events.EngineChoice(remaining[0], "address", backup=self.backup)

    def choose_again(self, request, interrupted):
        return interrupted if self.ready else None

    def continue_at_backup(self, request, broken):
        backup = broken.backup
        if backup is None:
            return None
        return events.EngineChoice(
            backup.engine_id, backup.address, backup=self.next_backup, continues_at_backup=True
        )

    def has_other_path(self, request, choice):
        return False

    def try_spend_retry(self, request):
        self.retries -= 1
        return self.retries >= 0

    def retry_after_seconds(self, request):
        return 0.5


def begin(context, kind, attempts):
    request_kind, resumable = KINDS[kind]
    route = route_rule(kind=request_kind, resumable=resumable, attempts=int(attempts))
    context.ports = FakePorts()
    context.machine = DeliveryMachine(opaque_request(route=route), context.ports)
    context.instructions = []


def handle(machine, event):
    """Pass an event to a machine as its driver does."""
    event = resolve_event(event, machine.order)
    if isinstance(event, events.AttemptInterrupted) and event.is_rejected:
        event = replace(event, evidence=events.EngineEvidence.RUNNING)
    return event, machine.handle(event)


def feed(context, event):
    handled, context.last = handle(context.machine, event)
    context.instructions.extend(context.last)
    return handled


def find(instructions, kind):
    return [i for i in instructions if isinstance(i, kind)]


@given("an {kind}, with {attempts:d} attempts")
@given("an {kind}, with {attempts:d} attempt")
@given("a {kind}, with {attempts:d} attempts")
@given("a {kind}, with {attempts:d} attempt")
def step_request(context, kind, attempts):
    begin(context, kind, attempts)


@given('its engine sends a backup of the run to "{engine}"')
def step_backup(context, engine):
    context.ports.backup = events.EngineAddress(engine, "backup address")


@then('it continues at "{engine}" with the backup, after event {number:d}')
def step_continues(context, engine, number):
    start = find(context.last, events.StartAttempt)[0]
    assert start.choice.engine_id == engine and start.choice.continues_at_backup, start
    assert start.resume_after == number


@given('the backup\'s engine sends a backup to "{engine}" in turn')
def step_next_backup(context, engine):
    context.ports.next_backup = events.EngineAddress(engine, "next address")


@given("the retry allowance is used up")
def step_no_retries(context):
    context.ports.retries = 0


@given("no engine is ready")
def step_not_ready(context):
    context.ports.ready = False


@when("it starts")
def step_starts(context):
    feed(context, events.Started())


@when("the engine refuses the request as overloaded")
def step_overloaded(context):
    feed(context, events.AttemptRefused(events.RefusalKind.OVERLOADED))


@when("the engine cannot be reached")
def step_unreachable(context):
    feed(context, events.AttemptRefused(events.RefusalKind.UNREACHABLE))


@when("the connection to the engine breaks")
def step_breaks(context):
    feed(context, events.AttemptInterrupted("reset", evidence=events.EngineEvidence.ENDED))


@when('the connection to the engine breaks, whose state is "{evidence}"')
def step_breaks_with(context, evidence):
    feed(context, events.AttemptInterrupted("reset", evidence=events.EngineEvidence(evidence)))


@when('the engine closes the connection in order, and its state is "{evidence}"')
def step_closed(context, evidence):
    closed = events.ConnectionClosed(events.StreamCompleted())
    feed(context, resolve_close(closed, events.EngineEvidence(evidence)))


@then("it is sent to the same engine to resume after event {number:d}")
def step_sent_to_same(context, number):
    start = find(context.last, events.StartAttempt)[0]
    assert start.choice.engine_id == context.machine.attempts[0].engine_id, start
    assert start.resume_after == number and not start.choice.continues_at_backup, start


@when("the engine answers with status {status:d}")
def step_answers(context, status):
    feed(context, events.CompleteResponse(status, (), b"body"))


@when("a stream opens")
def step_opens(context):
    feed(context, events.StreamOpened(200, ()))


@when("events {first:d} to {last:d} arrive")
def step_events(context, first, last):
    for number in range(first, last + 1):
        feed(context, events.EventReceived(StreamEvent(number, b"id: %d\n\n" % number)))


@when("event {number:d} arrives, the first one made under weights {version:d}")
def step_changed_weights(context, number, version):
    data = f"weights: {version}\nid: {number}\n\n".encode()
    for event in EventSplitter(b"weights:").feed(data):
        feed(context, events.EventReceived(event))


def piece(name, weights=""):
    """Return an event of a text: "A3" has id 3, "Ax" has no id; both texts have other bytes."""
    id_line = f"id: {name[1:]}\n" if name[1:].isdigit() else ""
    (event,) = EventSplitter(b"weights:").feed(f"{weights}{id_line}data: {name}\n\n".encode())
    return event


def name_of(event):
    return event.data.rpartition(b"data: ")[2].decode().strip()


def feed_pieces(context, names):
    """Feed pieces, and "end" for a completion, until the attempt is interrupted."""
    for name in names.split():
        arrived = events.EventReceived(piece(name)) if name != "end" else events.StreamCompleted()
        if isinstance(feed(context, arrived), events.AttemptInterrupted):
            return


@when('the pieces "{names}" arrive')
def step_pieces(context, names):
    feed_pieces(context, names)


@then('the caller got "{names}"')
def step_got_pieces(context, names):
    got = [name_of(sent.event) for sent in find(context.instructions, events.SendEvent)]
    assert got == names.split(), got


@then("it is sent to the same engine once more, to resume after event {number:d}")
def step_sent_to_same_again(context, number):
    step_sent_to_same(context, number)
    assert len(context.machine.attempts) == 2


@when("the stream completes")
def step_completes(context):
    feed(context, events.StreamCompleted())


@when("its deadline passes")
def step_deadline(context):
    feed(context, events.DeadlinePassed())


@then("it is sent to another engine")
def step_sent_again(context):
    starts = find(context.last, events.StartAttempt)
    assert len(starts) == 1, context.last
    earlier = [choice.engine_id for choice in context.machine.attempts[:-1]]
    assert starts[0].choice.engine_id not in earlier


@then("it is sent to another engine to resume after event {number:d}")
def step_sent_after(context, number):
    step_sent_again(context)
    assert find(context.last, events.StartAttempt)[0].resume_after == number


@then("it is refused with a retry time")
def step_refused(context):
    refusals = find(context.last, events.RefuseRequest)
    assert refusals and refusals[0].retry_after_seconds > 0, context.last


@then("its outcome is unknown")
def step_unknown(context):
    assert find(context.last, events.FailRequest), context.last


@then("it was sent {count:d} time")
@then("it was sent {count:d} times")
def step_sent_count(context, count):
    assert len(context.machine.attempts) == count, context.machine.attempts


@then("the caller gets the engine's response with status {status:d}")
def step_answer(context, status):
    assert [a.response.status for a in find(context.last, events.SendResponse)] == [status]


@then("the caller got events {first:d} to {last:d} and one response head")
def step_has_events(context, first, last):
    numbers = [i.event.event_id for i in find(context.instructions, events.SendEvent)]
    assert numbers == list(range(first, last + 1)), numbers
    assert len(find(context.instructions, events.SendHead)) == 1


@then("the stream ended complete")
def step_ended_complete(context):
    assert find(context.last, events.FinishStream), context.last


@then("the stream was aborted")
def step_aborted(context):
    assert find(context.last, events.AbortStream), context.last


@then("it is queued for an engine")
def step_queued(context):
    assert find(context.last, events.WaitForEngine), context.last


def random_event(source, machine):
    if machine.phase is Phase.WAITING:
        return source.choice((events.Started(), events.Started(), events.DeadlinePassed()))
    number = source.randrange(1, 6)
    return source.choice(
        (
            events.AttemptRefused(source.choice(list(events.RefusalKind))),
            events.AttemptInterrupted("reset", evidence=source.choice(list(events.EngineEvidence))),
            events.CompleteResponse(source.choice((200, 404, 500)), (), b""),
            events.StreamOpened(200, ()),
            events.EventReceived(StreamEvent(number, b"id: %d\n\n" % number)),
            events.StreamCompleted(),
            resolve_close(
                events.ConnectionClosed(events.StreamCompleted()),
                source.choice(list(events.EngineEvidence)),
            ),
            events.DeadlinePassed(),
        )
    )


@given("random histories of requests whose delivery takes each engine for ended")
def step_broken_histories(context):
    ended = unittest.mock.PropertyMock(return_value=True)
    with unittest.mock.patch.object(events.EngineEvidence, "excludes_run", ended):
        step_histories(context)


@given("random histories of requests of each kind")
def step_histories(context):
    source = random.Random(20261202)
    context.histories = []
    for kind in KINDS:
        # Few histories of streams reach a backup.
        for _ in range(5_000 if kind == "stream request" else 500):
            begin(context, kind, source.randrange(1, 4))
            context.ports.retries = source.randrange(0, 4)
            if source.random() < 0.5:
                context.ports.backup = events.EngineAddress("engine-4", "address")
                context.ports.next_backup = events.EngineAddress("engine-3", "address")
            history = []
            while context.machine.phase is not Phase.ENDED and len(history) < 30:
                event = random_event(source, context.machine)
                history.append(handle(context.machine, event))
            context.histories.append((context.machine, history))


def may_have_run(history):
    """Yield, by event, whether an earlier attempt may have run and the resulting instructions."""
    open_attempts = 0
    for event, instructions in history:
        if isinstance(event, events.AttemptRefused):
            open_attempts -= 1
        yield open_attempts > 0, instructions
        open_attempts += len(find(instructions, events.StartAttempt))


@then("none is retried after it may have run, unless that is allowed")
def step_never_retried(context):
    for machine, history in context.histories:
        for may_have_started, instructions in may_have_run(history):
            starts = find(instructions, events.StartAttempt)
            # A continuation at a backup belongs to the same run; the next step checks these.
            retries = [start for start in starts if not start.choice.continues_at_backup]
            assert not (retries and may_have_started and not machine.request.may_run_again), history


@then("each continues at a backup three times at most, and only as a stream that has begun")
def step_backup_limit(context):
    found = 0
    for machine, history in context.histories:
        continued = [c for c in machine.attempts if c.continues_at_backup]
        found += len(continued)
        assert len(continued) <= 3 and not (continued and machine.request.may_run_again), history
        for number, (_, instructions) in enumerate(history):
            starts = find(instructions, events.StartAttempt)
            if any(start.choice.continues_at_backup for start in starts):
                before = [i for _, done in history[:number] for i in done]
                assert find(before, events.SendHead) and find(before, events.SendEvent), history
    assert found > 5, found


def leaves_running_engine(machine, history):
    """Return whether a run goes on elsewhere though its engine may still work on it."""
    attempts = iter(machine.attempts)
    current, running, head_sent = None, None, False
    for event, instructions in history:
        if isinstance(event, events.AttemptInterrupted) and head_sent:
            running = None if event.evidence.excludes_run else current.engine_id
        elif isinstance(event, events.AttemptRefused) and event.kind in LEFT_AFTER:
            running = None
        head_sent = head_sent or bool(find(instructions, events.SendHead))
        for _ in find(instructions, events.StartAttempt):
            current = next(attempts)
            if running not in (None, current.engine_id):
                return True
    return False


@then("none goes on at another engine while the engine before may work on it")
def step_none_leaves(context):
    for machine, history in context.histories:
        assert not leaves_running_engine(machine, history), history


@then("some go on at another engine while the engine before may work on it")
def step_some_leave(context):
    assert any(leaves_running_engine(machine, history) for machine, history in context.histories)


@then("none is refused while an attempt may have run")
def step_never_refused(context):
    for _, history in context.histories:
        for may_have_started, instructions in may_have_run(history):
            assert not (may_have_started and find(instructions, events.RefuseRequest)), history


# Refusals after which an engine does not work on an earlier run that this node could still stop.
LEFT_AFTER = (events.RefusalKind.UNREACHABLE, events.RefusalKind.WRONG_INSTANCE)
# Refusals of attempts of which no byte reached an engine.
NOT_SENT = (
    events.RefusalKind.UNREACHABLE,
    events.RefusalKind.WITHDRAWN,
    events.RefusalKind.PROXY_UNAVAILABLE,
)


@then("none is sent to more engines than its route allows")
def step_attempt_bound(context):
    for machine, history in context.histories:
        unreached = sum(
            isinstance(e, events.AttemptRefused) and e.kind in NOT_SENT for e, _ in history
        )
        continuations = sum(choice.continues_at_backup for choice in machine.attempts)
        sent = len(machine.attempts) - unreached - continuations
        assert sent <= machine.request.route.maximum_attempts, history


@when("an engine becomes ready {whether}")
def step_becomes_ready(context, whether):
    context.ports.ready = whether == "unnoticed"


@when("its wait ends")
def step_wait_ends(context):
    context.last = context.machine.handle(events.WaitExpired())


@then("it is sent to an engine")
def step_is_sent(context):
    assert find(context.last, events.StartAttempt), context.last


@then("it is refused as not run")
def step_is_refused(context):
    assert find(context.last, events.RefuseRequest), context.last
