"""Steps on engines that are replaced at their addresses while a close of theirs is looked at."""

import asyncio
from dataclasses import replace

from behave import given, then, when

from features.gateway_support import engine_record, new_quarantine
from features.steps.response_end_steps import RepliesInTurn
from liftrill import clock
from liftrill.gateway import delivery_events as events
from liftrill.gateway.admission.retry_allowance import RetryAllowance
from liftrill.gateway.decision_log import DecisionLog
from liftrill.gateway.engines.engine_end_check import EngineEndCheck
from liftrill.gateway.engines.engine_selector import EngineSelector
from liftrill.gateway.engines.engine_table import EngineTable
from liftrill.gateway.forwarder import Forwarder, ForwardingPorts
from liftrill.gateway.gateway_metrics import GatewayMetrics
from liftrill.gateway.weight_targets import WeightTargets

BORN_UNIX_MS = 1_000
ENGINE = "engine-1"
CHANGES_AFTER_S = 0.01


def recorded(born_unix_ms=BORN_UNIX_MS, **fields):
    return replace(engine_record(ENGINE, **fields), born_unix_ms=born_unix_ms)


def new_forwarder(table, transport):
    allowance = RetryAllowance(0.2, 100, 10.0, 0.0)
    ports = ForwardingPorts(EngineSelector(table, WeightTargets(8.0), "zone-1"), allowance)
    log, metrics = DecisionLog("node-1"), GatewayMetrics()
    return Forwarder(table, ports, allowance, transport, log, metrics, new_quarantine(table))


@given("a recorded engine, whose address is answered by another incarnation after {seconds:g} s")
def step_engine(context, seconds):
    context.engine_table = EngineTable()
    context.view = context.engine_table.update(recorded())
    context.transport = RepliesInTurn(f"other after {seconds} s")


def change(context, meanwhile):
    """Let the node learn of a change of the engine."""
    other = events.AttemptUnconfirmed(True, "other")
    refused = events.AttemptRefused(events.RefusalKind.WRONG_INSTANCE)
    forwarder = new_forwarder(context.engine_table, context.transport)
    changes = {
        "nothing changes": lambda: None,
        "the record of the next incarnation is read": lambda: context.engine_table.update(
            recorded(BORN_UNIX_MS + 1, revision=2)
        ),
        "another stream finds the next incarnation": lambda: forwarder.record_attempt_event(
            context.view, other, clock.now_s()
        ),
        "a request is misdirected to the next incarnation": lambda: forwarder.record_attempt_event(
            context.view, refused, clock.now_s()
        ),
        "its record says that it drains": lambda: context.engine_table.update(
            recorded(draining=True, revision=2)
        ),
        "its record is removed": lambda: context.engine_table.remove(ENGINE),
    }
    changes[meanwhile]()


@when("the engine closes a response right after its last bytes, and meanwhile {meanwhile}")
def step_closed(context, meanwhile):
    async def check():
        end_check = EngineEndCheck(context.transport, lambda view, now: None)
        times = events.CloseTimes(0.0, clock.now_s())
        checking = asyncio.ensure_future(end_check.check_closed(context.view, times))
        await asyncio.sleep(CHANGES_AFTER_S)
        change(context, meanwhile)
        return await checking

    context.evidence = context.run(check())


@then("the response counts as {result}, also with a last chunk")
def step_result(context, result):
    evidence = context.evidence
    print(evidence)
    assert evidence.engine is events.EngineEvidence.ENDED
    assert [evidence.confirms(is_marked) for is_marked in (False, True)] == [
        result == "complete"
    ] * 2
