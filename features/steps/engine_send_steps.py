"""Steps on events between the choice of an engine and the first byte sent to it."""

import asyncio
import sys
import time
from dataclasses import replace
from pathlib import Path

from behave import given, then, when

from features.gateway_support import engine_record, new_quarantine, opaque_request, route_rule
from features.standin.engine import StandInEngine
from features.steps.gateway_forwarding_steps import RecordingSink
from liftrill import clock
from liftrill.gateway.admission.retry_allowance import RetryAllowance
from liftrill.gateway.decision_log import DecisionLog
from liftrill.gateway.delivery_events import EngineChoice, StartAttempt
from liftrill.gateway.engines.engine_condition import EngineSignal
from liftrill.gateway.engines.engine_selector import EngineSelector
from liftrill.gateway.engines.engine_table import EngineTable, EngineView
from liftrill.gateway.forwarder import Forwarder, ForwardingPorts
from liftrill.gateway.gateway_metrics import GatewayMetrics
from liftrill.gateway.http_client import new_engine_session
from liftrill.gateway.order_client import WeightOrder
from liftrill.gateway.records import RequestKind
from liftrill.gateway.weight_targets import WeightTargets

sys.path.append(str(Path(__file__).resolve().parent.parent.parent / "platform"))
from engines import PlatformEngineTransport, PlatformOrderClient


def delay_connections(session, seconds):
    """Delay every new connection of a session."""
    connector = session.connector
    create = connector._create_connection

    async def create_later(*args):
        protocol = await create(*args)
        await asyncio.sleep(seconds)
        return protocol

    connector._create_connection = create_later


@given("an engine whose connections take {seconds:g} s to come up")
def step_engines(context, seconds):
    context.run(start_engines(context, seconds))


async def start_engines(context, seconds):
    context.engines = {}
    for name in ("e1", "e2"):
        engine = StandInEngine(name, "service-1")
        await engine.start()
        context.stack.push_async_callback(engine.stop)
        context.engines[name] = engine
    session = await context.stack.enter_async_context(new_engine_session())
    delay_connections(session, seconds)
    context.transport = PlatformEngineTransport(session)


@given("a node that has chosen it for a request that may not be repeated")
def step_chosen(context):
    table = context.engine_table = EngineTable()
    for name, engine in context.engines.items():
        table.update(engine_record(name, address=engine.address))
    allowance = RetryAllowance(0.2, 100, 10.0, 0.0)
    context.ports = ForwardingPorts(EngineSelector(table, WeightTargets(8.0), "zone-1"), allowance)
    context.forwarder = Forwarder(
        table,
        context.ports,
        allowance,
        context.transport,
        DecisionLog("node-1"),
        GatewayMetrics(),
        new_quarantine(table),
    )
    context.run(deliver(context))


async def deliver(context):
    now = clock.now_s()
    # The target of 5 s lets the request wait for a second.
    route = replace(route_rule(RequestKind.AT_MOST_ONCE, attempts=1), target_seconds=5.0)
    request = opaque_request(route, model=None, received_at=now, deadline=now + 5.0)
    request = replace(request, headers=(("X-Attempt-Id", request.request_id),))
    context.sink = RecordingSink()
    context.delivery = asyncio.ensure_future(context.forwarder.deliver(request, context.sink))
    await asyncio.sleep(0.05)
    context.chosen = next(view for view in context.engine_table if view.own_load.requests)


@when("it announces that it is leaving while the connection comes up")
def step_leaves(context):
    context.engine_table.apply_signal(
        EngineSignal(context.chosen.identity, "peer", leaving=True), clock.now_s()
    )


@when("it asks for a backoff while the connection comes up")
def step_backs_off(context):
    context.engine_table.apply_signal(
        EngineSignal(context.chosen.identity, "request", backoff_s=3.0), clock.now_s()
    )


@when("its record is removed while the connection comes up")
def step_removed(context):
    context.engine_table.remove(context.chosen.engine_id)


@then("the engine gets nothing, and the request is sent to another engine")
def step_other(context):
    context.run(context.delivery)
    chosen = context.engines.pop(context.chosen.engine_id)
    (other,) = context.engines.values()
    assert not chosen.arrivals and len(other.arrivals) == 1, (chosen.arrivals, other.arrivals)
    assert context.sink.answer.status == 200, context.sink.ending


@when(
    "the node resumes while the connection comes up, and has the store's state {seconds:g} s later"
)
def step_resumes(context, seconds):
    context.current_at = time.monotonic() + seconds
    context.ports.state_is_current = lambda _: time.monotonic() >= context.current_at


@then("the request is sent after that")
def step_after(context):
    context.run(context.delivery)
    arrivals = [arrival for engine in context.engines.values() for arrival in engine.arrivals]
    assert [arrival.at >= context.current_at for arrival in arrivals] == [True], arrivals


# Where the stand-in engine sends its signal, for each kind of answer in the examples.
SIGNAL_PLACES = {
    "whole answer": "whole",
    "head of a stream": "head",
    "refusal": "refusal",
    "report": "report",
    "answer to an order": "order",
}


@given("an engine that announces that it is leaving in the {answer} alone")
def step_announces_leaving(context, answer):
    engine = signalling_engine(context, answer)
    engine.leaving_in = frozenset((context.signals_in,))


@given("an engine that names a limit of {limit} a second in the {answer} alone")
def step_names_limit(context, limit, answer):
    engine = signalling_engine(context, answer)
    engine.limit, engine.limit_in = limit, frozenset((context.signals_in,))


def signalling_engine(context, answer):
    context.run(start_engines(context, 0.0))
    context.signals_in = SIGNAL_PLACES[answer]
    engine = context.engines["e1"]
    engine.weights = {"model": 1}
    engine.fault = "shed" if context.signals_in == "refusal" else ""
    return engine


@when("a node sends it a call that gets this answer")
def step_sends(context):
    context.signals = []
    context.transport.on_engine_signal = context.signals.append
    address = context.engines["e1"].address
    context.view = EngineView(engine_record("e1", weights={"model": 1}, address=address))
    context.run(send(context))


async def send(context):
    view, client = context.view, PlatformOrderClient(context.transport)
    if context.signals_in == "report":
        await client.report(view)
    elif context.signals_in == "order":
        await client.order(view, WeightOrder("model", 2, "node-1", 1, 0))
    else:
        request = opaque_request(model="model" if context.signals_in == "head" else None)
        headers = (("X-Attempt-Id", request.request_id), ("X-Model", "model"))
        is_stream = context.signals_in == "head"
        request = replace(request, headers=headers[: 1 + is_stream])
        choice = EngineChoice("e1", view.record.address, number=view.number)
        attempt = context.transport.attempt(request, StartAttempt(choice, None))
        await attempt.open()
        attempt.close()


@then("the node has read a limit of {limit:g} a second")
def step_read_limit(context, limit):
    (signal,) = context.signals
    assert signal.limit_per_s == limit and signal.engine == context.view.identity, signal


@when("it names a limit while the connection comes up")
def step_limit_while_connecting(context):
    context.ports.limits.note_answer(context.chosen.identity, 1.0, None, clock.now_s())


@then("the node has read that it is leaving")
def step_read_leaving(context):
    (signal,) = context.signals
    assert signal.leaving and signal.engine == context.view.identity, signal
