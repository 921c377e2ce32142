"""Steps that pass events to a request machine."""

from behave import given, step, then, when
from hypothesis import HealthCheck, seed, settings, strategies
from hypothesis import given as given_values

from liftrill.errors import Execution, ResultCode
from liftrill.routing import events
from liftrill.routing.outcome import Completed, Failed
from liftrill.routing.request import RoutedRequest
from liftrill.routing.request_state_machine import (
    EngineChoice,
    RequestStateMachine,
    RoutingPorts,
    Unavailable,
)

ENGINES = ("engine-0", "engine-1", "engine-2")


class FakePorts(RoutingPorts):
    """Offer three engines in a fixed order."""

    def __init__(self):
        self.all_busy = False
        self.retry_budget = 10

    def choose(self, request, excluded, weight_version):
        if self.all_busy:
            return Unavailable.ALL_BUSY
        free = [e for e in ENGINES if e not in excluded]
        return EngineChoice(free[0], 1, "w1", "") if free else Unavailable.NONE_ELIGIBLE

    def try_spend_retry(self, request):
        self.retry_budget -= 1
        return self.retry_budget >= 0


def new_request(tokens, repeatable=True):
    return RoutedRequest(
        "request", "tenant", "workload", "model", b"prompt", 2, tokens, 1, 100.0, repeatable
    )


def create_machine(context, tokens, repeatable):
    context.ports = FakePorts()
    context.machine = RequestStateMachine(new_request(tokens, repeatable), context.ports)
    context.instructions = []
    context.delivered = []


@given("a request of {tokens:d} tokens")
def step_request(context, tokens):
    create_machine(context, tokens, True)


@given("a non-repeatable request of {tokens:d} tokens")
def step_non_repeatable(context, tokens):
    create_machine(context, tokens, False)


@given("no retry budget")
def step_no_budget(context):
    context.ports.retry_budget = 0


@given("all engines are busy")
def step_busy(context):
    context.ports.all_busy = True


def attempt_id(context):
    return f"request-{len(context.machine.chosen) - 1}"


def handle_event(context, event):
    context.instructions = context.machine.handle(event)
    tokens = [i for i in context.instructions if isinstance(i, events.DeliverToken)]
    context.delivered.extend(tokens)


@when("it is started")
def step_started(context):
    handle_event(context, events.DispatchPermitted())


@when("tokens {first:d} to {last:d} arrive")
def step_tokens(context, first, last):
    for index in range(first, last + 1):
        token = events.TokenReceived("request", attempt_id(context), index, f"t{index}")
        handle_event(context, token)


@when("token {index:d} arrives")
def step_token(context, index):
    step_tokens(context, index, index)


@when("a token of another request arrives")
def step_foreign_token(context):
    handle_event(context, events.TokenReceived("other", attempt_id(context), 0, "zz"))


@when("the connection breaks")
def step_connection_breaks(context):
    handle_event(context, events.AttemptBroken(attempt_id(context)))


@when("the resume is refused")
def step_resume_refused(context):
    handle_event(context, events.ResumeRefused(attempt_id(context)))


@when("the engine refuses it as {kind}")
def step_refused(context, kind):
    refused = events.AttemptRefused(attempt_id(context), events.RefusalKind(kind))
    handle_event(context, refused)


@when("every engine refuses it")
def step_all_refuse(context):
    while context.machine.phase.name != "ENDED":
        step_refused(context, "overloaded")


@when("the attempt finishes with {tokens:d} tokens")
def step_finishes(context, tokens):
    finished = events.AttemptFinished("request", attempt_id(context), "length", 2, 0, tokens)
    handle_event(context, finished)


@when("the deadline passes")
def step_deadline(context):
    handle_event(context, events.DeadlinePassed())


def single_instruction(context, kind):
    matching = [i for i in context.instructions if isinstance(i, kind)]
    assert len(matching) == 1, context.instructions
    return matching[0]


@then("the attempt is resumed from index {index:d}")
def step_resumed(context, index):
    assert single_instruction(context, events.ResumeAttempt).from_index == index


@then("a new attempt starts at index {index:d} with the same weights on another engine")
def step_new_attempt(context, index):
    start = single_instruction(context, events.StartAttempt)
    first, second = context.machine.chosen[-2:]
    assert start.start_index == index, start
    assert first.engine_id != second.engine_id
    assert first.weight_version == second.weight_version


@then("the attempt is cancelled")
def step_cancelled(context):
    single_instruction(context, events.CancelAttempt)


@then("it waits for an engine")
def step_waits(context):
    single_instruction(context, events.WaitForEngine)


@then("it completed with tokens {first:d} to {last:d} in order")
def step_completed(context, first, last):
    assert [t.index for t in context.delivered] == list(range(first, last + 1))
    assert context.machine.phase.name == "ENDED"


@step("it ended as {execution} with code {code:d}")
def step_ended(context, execution, code):
    error = single_instruction(context, events.EndRequest).outcome.error
    assert error.execution.value == execution, error
    assert error.code.number == code, error


@then("{count:d} chunk was dropped as {reason}")
def step_dropped(context, count, reason):
    assert context.machine.dropped[events.ChunkDropReason(reason)] == count


EVENT_KINDS = strategies.sampled_from(
    ["start", "token", "repeat", "gap", "foreign", "finish", "break", "refuse", "lost", "deadline"]
)


def event_of_kind(machine, kind):
    current = f"request-{max(0, len(machine.chosen) - 1)}"
    index = machine.next_index
    events_by_kind = {
        "start": events.DispatchPermitted(),
        "token": events.TokenReceived("request", current, index, "t"),
        "repeat": events.TokenReceived("request", current, max(0, index - 1), "t"),
        "gap": events.TokenReceived("request", current, index + 1, "t"),
        "foreign": events.TokenReceived("other", current, index, "t"),
        "finish": events.AttemptFinished("request", current, "length", 2, 0, index),
        "break": events.AttemptBroken(current),
        "refuse": events.AttemptRefused(current, events.RefusalKind.OVERLOADED),
        "lost": events.ResumeRefused(current),
        "deadline": events.DeadlinePassed(),
    }
    return events_by_kind[kind]


def is_possible(machine, kind):
    """Return whether an adapter can send an event: no refusal follows a token of the attempt."""
    if kind == "start":
        return True
    if not machine.chosen or machine.phase.name == "WAITING":
        return kind == "deadline"
    if kind == "refuse":
        return machine.phase.name == "RUNNING" and machine.next_index == machine.attempt_start_index
    return True


def check_event_sequence(kinds, repeatable):
    machine = RequestStateMachine(new_request(4, repeatable), FakePorts())
    possibly_run = set()
    outcome = None
    for kind in kinds:
        if not is_possible(machine, kind):
            continue
        event = event_of_kind(machine, kind)
        if kind == "refuse":
            possibly_run.discard(event.attempt_id)
        for instruction in machine.handle(event):
            if isinstance(instruction, events.StartAttempt):
                assert repeatable or not possibly_run, "sent again after it may have run"
                possibly_run.add(instruction.attempt_id)
            elif isinstance(instruction, events.EndRequest):
                assert outcome is None, "ended twice"
                outcome = instruction.outcome
    if isinstance(outcome, Failed) and outcome.error.execution is Execution.NOT_RUN:
        assert not possibly_run, "reported as not run although an attempt may have run"
        assert outcome.error.code is not ResultCode.ENGINE_LOST
    if isinstance(outcome, Completed):
        assert outcome.completion_tokens == machine.next_index


@then("{count:d} random event sequences of a request violate no rule")
def step_random_sequences(context, count):
    @seed(1)
    @settings(
        max_examples=count,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @given_values(strategies.lists(EVENT_KINDS, max_size=30), strategies.booleans())
    def check(kinds, repeatable):
        check_event_sequence(["start", *kinds], repeatable)

    check()
