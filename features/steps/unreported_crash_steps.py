"""Steps on prompts that arrive at a node just after the end of an engine, in virtual time."""

import asyncio
from dataclasses import replace

from behave import given, then, when

from features.gateway_support import choice_of, engine_record, new_quarantine, route_rule
from features.room_replay import CallerSink, run_virtual
from features.steps.quarantined_part_steps import prompt_request
from liftrill import clock, constants
from liftrill.coordination.lost_runs import LostRun
from liftrill.errors import ResultCode
from liftrill.gateway import delivery_events as events
from liftrill.gateway.admission.retry_allowance import RetryAllowance
from liftrill.gateway.decision_log import DecisionLog
from liftrill.gateway.engines.engine_selector import EngineSelector
from liftrill.gateway.engines.engine_table import EngineTable
from liftrill.gateway.forwarder import Forwarder, ForwardingPorts
from liftrill.gateway.gateway_metrics import GatewayMetrics
from liftrill.gateway.observed_runs import environment_number
from liftrill.gateway.opaque_request import part_digest
from liftrill.gateway.records import RequestKind
from liftrill.gateway.transport import EngineAttempt, EngineTransport, ProbeResult
from liftrill.gateway.weight_targets import WeightTargets

STARTED_AT, FIRST_END_AGO_S, RAN_S = 1.0, 0.7, 0.05
ANSWER_S = 0.03
PATIENCE_S, DEADLINE_S = 0.16, 5.0
# Rounding of virtual time, and the turns of the loop before a request is sent.
TOLERANCE_S = 0.001


class FixedAnswer(EngineAttempt):
    """An attempt that is answered with a fixed event."""

    def __init__(self, answer):
        self._answer = answer

    async def open(self):
        await asyncio.sleep(ANSWER_S)
        return [self._answer]

    async def read(self):
        raise AssertionError("the answer was complete")

    def close(self):
        pass


class Engines(EngineTransport):
    """Engines that answer all requests with success, but the first with a given event.

    Attributes:
        sent: the time and the engine of each attempt.
    """

    def __init__(self):
        self.sent, self.first_answer = [], None

    def attempt(self, request, start):
        self.sent.append((clock.now_s(), start.choice.engine_id))
        success = events.CompleteResponse(200, (), b"")
        answer, self.first_answer = self.first_answer or success, None
        return FixedAnswer(answer)

    async def probe(self, address, timeout_s):
        return ProbeResult.ACCEPTED


class LateReports:
    """One node in virtual time, and what happens to it.

    Attributes:
        actions: what happens, with the time since the action before.
    """

    def __init__(self):
        self.actions, self.sink, self.engines = [], CallerSink(), Engines()
        self.arrived_at, self.lost, self.route = None, None, self.route_with(PATIENCE_S)
        self.table = EngineTable()
        for number in range(6):
            self.table.update(engine_record(f"e{number}", weights={"model": 1}))
        self.selector = EngineSelector(self.table, WeightTargets(8.0, 8.0), "zone-1")
        self.quarantine = new_quarantine(self.table)
        self.selector.ended_lately = self.quarantine.ended_lately
        allowance = RetryAllowance(0.2, 100, 10.0, 0.0)
        self.ports = ForwardingPorts(self.selector, allowance, quarantine=self.quarantine)
        self.forwarder = Forwarder(
            self.table,
            self.ports,
            allowance,
            self.engines,
            DecisionLog("node-1"),
            GatewayMetrics(),
            self.quarantine,
        )
        self.report_end("e0", "dead", STARTED_AT - FIRST_END_AGO_S)

    def route_with(self, patience_s, kind=RequestKind.AT_MOST_ONCE):
        target_s = patience_s / constants.ENGINE_WAIT_TARGET_SHARE
        return replace(route_rule(kind=kind), target_seconds=target_s)

    def report_end(self, engine, part, ended_at):
        """Let another node report that an engine ended during the prompt of another request."""
        prompt, view = prompt_request(f"A:{part}"), self.table.get(engine)
        digests, environment = tuple(prompt.part_ids), environment_number(choice_of(view))
        run = LostRun(
            prompt.fingerprint,
            view.number,
            True,
            ended_at - RAN_S,
            ended_at,
            digests,
            environment=environment,
        )
        self.quarantine.apply_lost_runs("node-2", [run], ended_at)

    def request(self, part):
        now = clock.now_s()
        prompt = prompt_request(f"A:{part}")
        return replace(prompt, route=self.route, received_at=now, deadline=now + DEADLINE_S)

    def shared_engine(self):
        """Return the engine that prompts with the part would be sent to."""
        choice = self.ports.choose(self.request("dead"), frozenset())
        return self.table.get(choice.engine_id)

    def set_link(self, view, result):
        self.selector.paths.links.record_probe(view.identity, result, clock.now_s())

    def lose_link(self):
        self.lost = self.shared_engine()
        self.set_link(self.lost, ProbeResult.REFUSED)

    def lose_and_restore_link(self):
        self.lose_link()
        self.set_link(self.lost, ProbeResult.ACCEPTED)

    def lose_link_with_report(self):
        self.lose_link()
        self.report_end(self.lost.engine_id, "new", clock.now_s())

    def lose_other_prompt(self):
        self.report_end("e0", "dead", clock.now_s() - FIRST_END_AGO_S)
        self.lost = self.shared_engine()
        self.report_end(self.lost.engine_id, "rare", clock.now_s())

    def find_end(self):
        self.lost = self.shared_engine()
        self.quarantine.engine_ended(self.lost, clock.now_s())

    def be_told_of_end(self):
        self.lost = self.shared_engine()
        self.report_end(self.lost.engine_id, "unrelated", clock.now_s())

    def lose_leaving_engine(self):
        self.lost = self.shared_engine()
        self.lost.condition.leaving = True
        self.set_link(self.lost, ProbeResult.REFUSED)

    def lose_engine_of_other_service(self):
        view = self.table.update(engine_record("e9", service="service-2"))
        self.set_link(view, ProbeResult.REFUSED)

    def arrive(self, part):
        self.arrived_at = clock.now_s()
        request = self.request(part)
        self.delivery = asyncio.ensure_future(self.forwarder.deliver(request, self.sink))

    def report_lost_engine(self):
        engine = self.lost.engine_id if self.lost else self.engines.sent[0][1]
        self.report_end(engine, "dead", clock.now_s())

    def report_service(self):
        environment = environment_number(choice_of(self.lost))
        self.quarantine.apply_served(part_digest("", "dead"), clock.now_s(), environment)

    def play(self):
        run_virtual(self._play())

    async def _play(self):
        await asyncio.sleep(STARTED_AT)
        for after_s, action in self.actions:
            await asyncio.sleep(after_s)
            action()
        await self.delivery


SIGNS = {
    "its link to an engine went down": LateReports.lose_link,
    "a link went down under a new part": LateReports.lose_link_with_report,
    "a link went down and up again": LateReports.lose_and_restore_link,
    'an engine has ended under the part "rare"': LateReports.lose_other_prompt,
    "an engine has ended": LateReports.find_end,
    "another node found an engine ended": LateReports.be_told_of_end,
    "a leaving engine has ended": LateReports.lose_leaving_engine,
    "another service's engine has ended": LateReports.lose_engine_of_other_service,
    "nothing has changed": lambda late: None,
}


@given('a node that knows of an engine that ended under a prompt with the part "dead"')
def step_node(context):
    context.late = LateReports()


@given("requests that may wait for an engine for {seconds:g} s")
def step_patience(context, seconds):
    context.late.route = context.late.route_with(seconds)


@given("engines that refuse connections")
def step_refuse(context):
    context.late.engines.first_answer = events.AttemptRefused(events.RefusalKind.UNREACHABLE)


def add_action(context, after_s, action, *args):
    context.late.actions.append((after_s, lambda: action(context.late, *args)))


@given('a prompt with the part "{part}" that may be repeated, which its first engine fails')
def step_failing(context, part):
    late = context.late
    late.route = late.route_with(PATIENCE_S, RequestKind.IDEMPOTENT)
    late.engines.first_answer = events.CompleteResponse(500, (), b"")
    add_action(context, 0.0, LateReports.arrive, part)


@when('a prompt with the part "{part}" arrives')
def step_arrives_now(context, part):
    add_action(context, 0.0, LateReports.arrive, part)


@when('{seconds:g} s later a prompt with the part "{part}" arrives')
def step_arrives(context, seconds, part):
    add_action(context, seconds, LateReports.arrive, part)


@when(
    "{seconds:g} s later another node reports that the engine ended "
    'under a prompt with the part "dead"'
)
def step_report(context, seconds):
    # An engine that refuses the connection takes its time to do so.
    refused_s = ANSWER_S if context.late.engines.first_answer else 0.0
    add_action(context, seconds + refused_s, LateReports.report_lost_engine)


@when('{seconds:g} s later another node reports that an engine served the part "dead"')
def step_report_service(context, seconds):
    add_action(context, seconds, LateReports.report_service)


@when("a link to an engine goes down every {seconds:g} s")
def step_links_down(context, seconds):
    def lose_links(late):
        loop = asyncio.get_running_loop()
        for number, view in enumerate(list(late.table)[1:5]):
            loop.call_later(number * seconds, late.set_link, view, ProbeResult.REFUSED)

    add_action(context, 0.0, lose_links)


@when('engines ended under the part "dead" and without it')
def step_unrelated_end(context):
    def end(late):
        unrelated, lost = [view for view in late.table if view.engine_id != "e0"][:2]
        late.quarantine.engine_ended(unrelated, clock.now_s())
        late.report_end(lost.engine_id, "dead", clock.now_s())

    add_action(context, 0.0, end)


@when('engines ended three times under prompts with "dead" and "other"')
def step_companion(context):
    def end_three(late):
        for ends_ago, engine in ((2, "e1"), (1, "e2"), (0, "e3")):
            late.report_end(engine, "dead,other", clock.now_s() - ends_ago * FIRST_END_AGO_S)

    add_action(context, 0.0, end_three)


@when("its link to another engine goes down before the failure")
def step_other_link(context):
    def lose_other(late):
        sent_to = late.engines.sent[0][1]
        other = next(view for view in late.table if view.engine_id not in ("e0", sent_to))
        late.set_link(other, ProbeResult.REFUSED)

    add_action(context, ANSWER_S / 2, lose_other)


@when("the node sees that {sign}")
def step_sign(context, sign):
    add_action(context, 0.0, SIGNS[sign])


@then("the prompt is sent to no engine, and refused because its part crashes engines")
def step_sent_to_none(context):
    step_refused(context, 0)


@then("the prompt is sent to no engine, and refused as not run")
def step_not_run(context):
    context.late.play()
    assert not context.late.engines.sent, context.late.engines.sent
    assert context.late.sink.refusal is not None


@then("the prompt is sent to {count:d} engine, and refused because its part crashes engines")
def step_refused(context, count):
    late = context.late
    late.play()
    assert len(late.engines.sent) == count, late.engines.sent
    assert late.sink.refusal is not None, late.sink
    assert late.sink.refusal.code is ResultCode.REQUEST_QUARANTINED, late.sink.refusal


@then("the prompt is sent within {seconds:g} s of its arrival")
def step_sent_within(context, seconds):
    late = context.late
    late.play()
    assert late.sink.refusal is None, late.sink.refusal
    ((sent_at, _),) = late.engines.sent
    assert sent_at - late.arrived_at <= seconds + TOLERANCE_S, sent_at - late.arrived_at


@then("the prompt is sent to {count:d} engines")
def step_sent_to(context, count):
    context.late.play()
    assert len(context.late.engines.sent) == count, context.late.engines.sent


@then('a stream with the part "{part}" at another engine goes on there')
def step_goes_on(context, part):
    async def choose_again(late):
        late.route = late.route_with(PATIENCE_S, RequestKind.STREAM)
        await asyncio.sleep(STARTED_AT)
        for _, action in late.actions:
            action()
        running = next(view for view in late.table if view not in (late.lost, late.table.get("e0")))
        choice = late.ports.choose_again(late.request(part), choice_of(running))
        assert choice is not None and choice.engine_id == running.engine_id, choice

    run_virtual(choose_again(context.late))
