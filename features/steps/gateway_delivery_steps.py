"""Steps that feed events to a delivery machine."""

import itertools
import random
import tracemalloc
import unittest.mock
from dataclasses import dataclass, field, replace

from behave import given, then, when

from features.gateway_support import opaque_request, route_rule
from liftrill.gateway import delivery_events as events
from liftrill.gateway.delivery import DeliveryMachine, Phase
from liftrill.gateway.delivery_ports import DeliveryPorts, Unavailable
from liftrill.gateway.event_stream import EventOrder, EventSplitter, StreamEvent
from liftrill.gateway.records import RequestKind
from liftrill.gateway.run_continuation import CloseEvidence, resolve_close, resolve_event

MAX_HISTORY = 30
HISTORIES = {"stream request": 10_000, "resumable stream request": 2_500}
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
        self.begins = True
        self.retries = 10
        self.backup = None
        self.next_backup = None

    def choose(self, request, excluded, may_wait=True):
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

    def may_begin(self):
        return self.begins

    def has_engine(self, request, excluded):
        return self.ready and not excluded.issuperset(ENGINES)

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


@when("the node begins no more requests")
def step_begins_none(context):
    context.ports.begins = False


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
    known = CloseEvidence(events.EngineEvidence(evidence))
    feed(context, resolve_close(closed, known, context.machine.request.may_run_again))


@when(
    "event {number:d} arrives again, and the engine closes the connection,"
    ' and its state is "{evidence}"'
)
def step_repeats_and_closes(context, number, evidence):
    step_events(context, number, number)
    step_closed(context, evidence)


@given("the retry allowance is full")
def step_retries(context):
    assert context.ports.retries > 0


@when(
    "the engine, which runs, closes the connection {delay:d} ms after its last bytes, and {others}"
)
def step_closes(context, delay, others):
    closed = events.ConnectionClosed(events.StreamCompleted(), events.CloseTimes(delay / 1000))
    running = events.EngineEvidence.RUNNING
    is_abrupt = others == "others abruptly"
    known = CloseEvidence(running, close_delay_s=closed.times.delay_s, is_abrupt=is_abrupt)
    feed(context, resolve_close(closed, known, context.machine.request.may_run_again))


@when('the engine, which is "{state}", closes the connection after the last chunk')
def step_closes_after_end(context, state):
    evidence, _, leaving = state.partition(" as it ")
    known = CloseEvidence(events.EngineEvidence(evidence), is_leaving=bool(leaving))
    after_end = events.CloseTimes(is_after_end=True)
    closed = events.ConnectionClosed(events.StreamCompleted(), after_end)
    feed(context, resolve_close(closed, known, context.machine.request.may_run_again))


@then("it is sent to the same engine to resume after event {number:d}")
def step_sent_to_same(context, number):
    start = find(context.last, events.StartAttempt)[0]
    assert start.choice.engine_id == context.machine.attempts[0].engine_id, start
    assert start.resume_after == number and not start.choice.continues_at_backup, start


@when("the engine answers with status {status:d}")
def step_answers(context, status):
    feed(context, events.CompleteResponse(status, (), b"body"))


@when("another incarnation proves to have answered")
def step_other_incarnation(context):
    feed(context, events.AttemptUnconfirmed(True, "other"))


@when("it is not known which incarnation answered")
def step_unknown_incarnation(context):
    feed(context, events.AttemptUnconfirmed(False, "possible"))


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


@when("a piece that the caller has arrives as the first one made under other weights")
def step_repeated_weights(context):
    last = find(context.instructions, events.SendEvent)[-1].event
    feed(context, events.EventReceived(piece(name_of(last), weights="weights: 2\n")))


@then('the caller got "{names}"')
def step_got_pieces(context, names):
    got = [name_of(sent.event) for sent in find(context.instructions, events.SendEvent)]
    assert got == names.split(), got


@then("it is sent to the same engine once more, to resume after event {number:d}")
def step_sent_to_same_again(context, number):
    step_sent_to_same(context, number)
    assert len(context.machine.attempts) == 2


@when("{count:d} pieces of text {text} arrive, {ids} with ids")
def step_many_pieces(context, count, text, ids):
    for number in range(1, count + 1):
        is_numbered = ids == "all" or (ids == "some" and number % 3)
        name = f"{text}{number}" if is_numbered else f"{text}x{number}"
        if isinstance(feed(context, events.EventReceived(piece(name))), events.AttemptInterrupted):
            return


@then("the caller got {count:d} pieces, all of text {text}")
def step_got_many(context, count, text):
    got = [name_of(sent.event) for sent in find(context.instructions, events.SendEvent)]
    assert len(got) == count and {name[0] for name in got} == {text}, (len(got), set(got))


@then("the order of a stream of {count:d} events is kept in at most {kilobytes:d} KB")
def step_order_memory(context, count, kilobytes):
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        order = EventOrder()
        for number in range(count):
            order.passes_on(piece(f"A{number}" if number % 3 else "Ax"))
        held = tracemalloc.get_traced_memory()[0] - before
    finally:
        tracemalloc.stop()
    print(f"{held} bytes")
    assert held <= kilobytes * 1024, held


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


# Texts that engines write, as names of pieces: two with the same ids, one whose ids skip.
TEXTS = tuple(
    [f"{letter}{name}" for name in names.split()]
    for letter, names in (
        ("A", "1 x 2 3 y z 4 5 6"),
        ("B", "1 x 2 3 y z 4 5 6"),
        ("C", "2 4 x 6 8 9 10 11 12"),
    )
)


@dataclass
class RandomAnswer:
    """The answer of an engine to one attempt, which may spoil it.

    Attributes:
        before: the pieces that the caller got from earlier attempts.
        received: the pieces that arrived.
        passed: those of them that the caller got.
        complete: whether the caller got a complete end.
    """

    source: random.Random
    text: list
    position: int
    before: list
    received: list = field(default_factory=list)
    passed: list = field(default_factory=list)
    complete: bool = False

    def next_piece(self):
        chance = self.source.random()
        if chance < 0.05:
            self.text = self.source.choice(TEXTS)
        elif chance < 0.1:
            self.position = self.source.randrange(len(self.text))
        elif chance < 0.15:
            self.position += 1
        event = piece(self.text[self.position % len(self.text)])
        self.position += 1
        return event


def random_answer(source, text, last_id, before):
    """Return an answer that begins after an id, anew, or anywhere, mostly with the text before."""
    text = source.choice((text, text, text, *TEXTS))
    starts = [i + 1 for i, name in enumerate(text) if name[1:] == str(last_id)]
    position = source.choice((*starts, *starts, 0, source.randrange(len(text))))
    return RandomAnswer(source, text, position, before)


def random_event(source, machine, answer):
    if machine.phase is Phase.WAITING:
        return source.choice((events.Started(), events.Started(), events.DeadlinePassed()))
    if source.random() < 0.6:
        return events.EventReceived(answer.next_piece())
    return source.choice(
        (
            events.AttemptRefused(source.choice(list(events.RefusalKind))),
            events.AttemptInterrupted("reset", evidence=source.choice(list(events.EngineEvidence))),
            events.AttemptInterrupted("reset", evidence=source.choice(list(events.EngineEvidence))),
            events.CompleteResponse(source.choice((200, 404, 500)), (), b""),
            events.AttemptUnconfirmed(source.random() < 0.5, "reply"),
            events.StreamOpened(200, ()),
            events.StreamOpened(200, ()),
            events.StreamCompleted(),
            resolve_close(
                events.ConnectionClosed(events.StreamCompleted()),
                CloseEvidence(
                    source.choice(list(events.EngineEvidence)),
                    source.random() < 0.5,
                    source.random() < 0.5,
                    source.choice((0.0, 0.1)),
                ),
                machine.request.may_run_again,
            ),
            events.DeadlinePassed(),
        )
    )


def play_history(context, source):
    """Feed random events to the machine; return them with its instructions, and the answers."""
    machine, history, answers = context.machine, [], []
    while machine.phase is not Phase.ENDED and len(history) < MAX_HISTORY:
        event = random_event(source, machine, answers[-1] if answers else None)
        handled, instructions = handle(machine, event)
        history.append((handled, instructions))
        sent = [i.event for i in find(instructions, events.SendEvent)]
        if isinstance(event, events.EventReceived):
            answers[-1].received.append(event.event)
            answers[-1].passed += sent
        if find(instructions, events.FinishStream):
            answers[-1].complete = True
        for start in find(instructions, events.StartAttempt):
            before = answers[-1].before + answers[-1].passed if answers else []
            text = answers[-1].text if answers else TEXTS[0]
            answers.append(random_answer(source, text, start.resume_after, before))
    return history, answers


@given("random histories of requests whose delivery takes each engine for ended")
def step_broken_histories(context):
    ended = unittest.mock.PropertyMock(return_value=True)
    with unittest.mock.patch.object(events.EngineEvidence, "excludes_run", ended):
        step_histories(context)


@given("random histories of requests of each kind")
def step_histories(context):
    source = random.Random(20261202)
    context.histories, context.answers = [], []
    for kind in KINDS:
        # Few histories of streams reach a backup, or go on at another attempt and end complete.
        for _ in range(HISTORIES.get(kind, 500)):
            begin(context, kind, source.randrange(1, 4))
            context.ports.retries = source.randrange(0, 4)
            if source.random() < 0.5:
                context.ports.backup = events.EngineAddress("engine-4", "address")
                context.ports.next_backup = events.EngineAddress("engine-3", "address")
            history, answers = play_history(context, source)
            context.histories.append((context.machine, history))
            context.answers.append(answers)


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


def shows_end(event):
    """Return whether an attempt shows that its engine does not work on an earlier run."""
    if isinstance(event, events.AttemptUnconfirmed):
        return event.is_other
    return isinstance(event, events.AttemptRefused) and event.kind in LEFT_AFTER


def leaves_running_engine(machine, history):
    """Return whether a run goes on elsewhere though its engine may still work on it."""
    attempts = iter(machine.attempts)
    current, running, head_sent = None, None, False
    for event, instructions in history:
        if isinstance(event, events.AttemptInterrupted) and head_sent:
            running = None if event.evidence.excludes_run else current.engine_id
        elif shows_end(event):
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


def pass_on_lower_id(order, event):
    """Pass on an event whose id went back, as if it were the first of its attempt."""
    order._previous_id = None
    return PASSES_ON(order, event)


PASSES_ON = EventOrder.passes_on
VARIANTS = {
    "events whose id went back": ("EventOrder.passes_on", pass_on_lower_id),
    "repeated pieces without an id": ("EventOrder._repeats_unnumbered", lambda *_: False),
    "what follows repeated ids of another text": ("hash", lambda _: 0),
}


@given("random histories of requests whose delivery passes on {what}")
def step_disordered_histories(context, what):
    name, variant = VARIANTS[what]
    module = "liftrill.gateway.event_stream"
    with unittest.mock.patch(f"{module}.{name}", variant, create=True):
        step_histories(context)


def last_id_of(pieces):
    return max((event.event_id for event in pieces if event.event_id is not None), default=None)


def unnumbered_after(pieces, first_id):
    """Return the pieces without an id by the id that they follow; the first follow `first_id`."""
    found, after = {}, first_id
    for event in pieces:
        if event.event_id is None:
            found.setdefault(after, []).append(name_of(event))
        else:
            after = event.event_id
    return found


def is_disordered(before, received, complete):
    """Return whether the bytes of an attempt show that it isn't the run of the pieces before."""
    ids = [event.event_id for event in received if event.event_id is not None]
    if any(after <= earlier for earlier, after in itertools.pairwise(ids)):
        return True
    names = {event.event_id: name_of(event) for event in before if event.event_id is not None}
    if any(names.get(e.event_id, name_of(e)) != name_of(e) for e in received if e.event_id):
        return True
    last = last_id_of(before)
    new = [event.event_id for event in new_pieces(before, received)]
    if last is not None and any(each is not None and each <= last for each in new):
        return True
    if complete and ids and last is not None and ids[-1] < last:
        return True
    known, repeated = unnumbered_after(before, None), unnumbered_after(received, last)
    common = [(known[after], repeated[after]) for after in known if after in repeated]
    if any(a != b for pair in common for a, b in zip(*pair, strict=False)):
        return True
    is_past = complete or (ids and (last is None or ids[-1] > last))
    return bool(is_past and len(repeated.get(last, ())) in range(1, len(known.get(last, ()))))


def new_pieces(before, received):
    """Return the pieces of an attempt that its caller lacks, by their places alone."""
    last = after = last_id_of(before)
    repeats = len(unnumbered_after(before, None).get(last, ()))
    new = []
    for event in received:
        after = after if event.event_id is None else event.event_id
        if new or (event.event_id is not None and (last is None or after > last)):
            new.append(event)
        elif event.event_id is None and after == last:
            if repeats == 0:
                new.append(event)
            repeats = max(0, repeats - 1)
    return new


def fault_of_answer(answer):
    """Return what is wrong with what a caller got of an attempt, or None."""
    number = 0
    for count in range(1, len(answer.received) + 1):
        received = answer.received[:count]
        if is_disordered(answer.before, received, complete=False):
            has_more = len(answer.passed) > number
            return "passed on after disorder" if has_more or answer.complete else None
        new = new_pieces(answer.before, received)
        if new != answer.passed[: len(new)]:
            return "a piece is missing or comes twice"
        number = len(new)
    if len(answer.passed) != number:
        return "a piece comes twice"
    if answer.complete and is_disordered(answer.before, answer.received, complete=True):
        return "complete after disorder"
    return None


def faults_of_answers(context):
    return [
        fault for answers in context.answers for fault in map(fault_of_answer, answers) if fault
    ]


@then("each caller gets the pieces of one run in order, as far as bytes tell")
def step_in_order(context):
    answers = [answer for each in context.answers for answer in each]
    repeating = [a for a in answers if a.before and a.received and a.complete]
    print(f"{len(answers)} attempts, {len(repeating)} of them later ones with a complete end")
    assert len(repeating) > 50, len(repeating)
    faults = faults_of_answers(context)
    assert not faults, (len(faults), faults[:3])


@then("some callers get pieces out of order or of two runs")
def step_some_disordered(context):
    faults = faults_of_answers(context)
    print(f"{len(faults)} answers")
    assert faults


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
