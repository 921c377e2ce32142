"""Steps that cause one failure each and run a checker on the recorded history."""

import asyncio
import random
import signal
import time
from collections import Counter

import orjson
from behave import given, then, when

from features.support import planned_requests, start_cluster
from liftrill.bench.deployment import api_key
from liftrill.bench.faults import checkers
from liftrill.bench.faults.observations import (
    Confirmation,
    GenerationSample,
    LeavingMark,
    NodeStart,
    PlannedStop,
    RunHistory,
)
from liftrill.bench.idempotency_key import new_key
from liftrill.bench.launcher import LaunchError, wait_until
from liftrill.cli.operator_client import OperatorCallError
from liftrill.constants import STORE_WATCHERS_PER_REGION
from liftrill.mechanisms import ENVIRONMENT_NAME
from liftrill.planning.commit import HEAD_KEY

KEY_SOURCE = random.Random(5)
CLAIM_WARM_UP_SECONDS = 4.0
STORE_WATCHERS_NAME = "LIFTRILL_STORE_WATCHERS_PER_REGION"
UNORDERED_WEIGHTS = "2026-12"
CHANGES_PER_ENGINE = 2
LEAVING_LOAD_SECONDS = 4.0
# On a busy machine a batch of requests may last longer than the grace period.
MIN_BATCHES_AFTER_GRACE = 2
# The records of the start have had all their gossip retransmissions by then.
GOSSIP_QUIET_SECONDS = 8.0
RESTART_LIMIT_SECONDS = 12.0


@given("a cluster of {engines:d} engines and {nodes:d} nodes without {mechanism}")
def step_cluster_without(context, engines, nodes, mechanism):
    # Every node watches the store, so that no node depends on the data relayed by another.
    environment = {ENVIRONMENT_NAME: mechanism, STORE_WATCHERS_NAME: "3"}
    start_cluster(context, engines, nodes, environment=environment)
    context.run(context.cluster.configure())


def history_of(context):
    if not hasattr(context, "history"):
        context.history = RunHistory()
    return context.history


async def send_request(context, node, planned, key=""):
    target = context.cluster.nodes[node]
    record = await context.caller.send(target.name, target.address, planned, key)
    history_of(context).calls.append(record)
    return record


async def send_requests(context, planned, keys=None, nodes=(0, 1, 2)):
    keys = keys or [""] * len(planned)
    calls = [
        send_request(context, nodes[index % len(nodes)], request, key)
        for index, (request, key) in enumerate(zip(planned, keys, strict=True))
    ]
    return await asyncio.gather(*calls)


def streaming_requests(context, count, tokens=60):
    return planned_requests(context, count, "folio-review", output_tokens=tokens)


async def wait_for_executions(context, count):
    async def enough_executions():
        return len(context.cluster.executions()) >= count

    await wait_until(enough_executions, f"{count} executions")


@when("the same keys are sent through two nodes at once")
def step_two_nodes(context):
    async def run():
        await asyncio.sleep(CLAIM_WARM_UP_SECONDS)
        planned = planned_requests(context, 8, "depth-label")
        keys = [new_key(KEY_SOURCE) for _ in planned]
        await asyncio.gather(
            send_requests(context, planned, keys, [0]), send_requests(context, planned, keys, [1])
        )

    context.run(run())


@when("the same keys are sent again after all nodes restarted")
def step_keys_after_restart(context):
    async def run():
        await asyncio.sleep(CLAIM_WARM_UP_SECONDS)
        planned = planned_requests(context, 6, "depth-label")
        keys = [new_key(KEY_SOURCE) for _ in planned]
        await send_requests(context, planned, keys)
        for node in context.cluster.nodes:
            node.send_signal(signal.SIGKILL)
            node.wait(10)
            node.start()
        for node in context.cluster.nodes:
            await context.cluster.wait_ready(node)
        await asyncio.sleep(1.0)
        await send_requests(context, planned, keys, [1, 2, 0])

    context.run(run())


@when("an engine is killed with requests in flight")
def step_engine_killed(context):
    async def run():
        await asyncio.sleep(CLAIM_WARM_UP_SECONDS)
        planned = streaming_requests(context, 12)
        keys = [new_key(KEY_SOURCE) if r.number % 2 else "" for r in planned]
        calls = asyncio.create_task(send_requests(context, planned, keys))
        await wait_for_executions(context, 12)
        busiest = max(context.cluster.engines, key=lambda e: e.journal_path.stat().st_size)
        busiest.managed.send_signal(signal.SIGKILL)
        await calls

    context.run(run())


async def send_under_fault(context, planned, kind, **fault):
    """Send requests and start a fault on every engine once half of them are running."""
    calls = asyncio.create_task(send_requests(context, planned))
    await wait_for_executions(context, len(planned) // 2)
    for engine in context.cluster.engines:
        await context.cluster.engine_fault(engine, kind=kind, **fault)
    await calls


@when("the streams of all engines are cut")
def step_streams_cut(context):
    context.run(send_under_fault(context, streaming_requests(context, 12), "cut_streams"))


@when("engines send chunks of other requests")
def step_foreign_chunks(context):
    async def run():
        for engine in context.cluster.engines:
            await context.cluster.engine_fault(engine, kind="foreign_answers", seconds=60)
        await send_requests(context, streaming_requests(context, 9, tokens=8))

    context.run(run())


@when("engines repeat chunks")
def step_repeated_chunks(context):
    async def run():
        for engine in context.cluster.engines:
            await context.cluster.engine_fault(engine, kind="repeated_chunks", seconds=60)
        await send_requests(context, streaming_requests(context, 9, tokens=8))

    context.run(run())


async def nodes_know_ordered_weights(context):
    """Return whether every node takes every engine for one with the ordered weights."""
    ordered = context.cluster.deployment.pools[0].weight_version
    for index in range(len(context.cluster.nodes)):
        engines = (await context.cluster.operator(index).call("GET", "/status"))["engines"]
        if any(row["weight_version"] != ordered or row["leaving"] for row in engines):
            return False
    return True


async def reported_revision(context, engine):
    url = f"http://{engine.managed.address}/v1/status"
    async with context.cluster.session.get(url) as response:
        return orjson.loads(await response.read())["revision"]


def send_short_streams(context):
    return send_requests(context, streaming_requests(context, 9, tokens=4))


async def change_weights(context, engine):
    """Change an engine's weights, and send requests until the engine reports the change.

    It does so when a request has arrived whose node did not know of the change.
    """
    await wait_until(lambda: nodes_know_ordered_weights(context), "the ordered weights")
    revision = await reported_revision(context, engine)
    calls = asyncio.create_task(send_short_streams(context))
    await context.cluster.engine_fault(
        engine, kind="unreported_load", seconds=0.0, weight_version=UNORDERED_WEIGHTS
    )
    await send_short_streams(context)
    await calls

    async def is_reported():
        if await reported_revision(context, engine) > revision:
            return True
        await send_short_streams(context)
        return False

    await wait_until(is_reported, f"a request at {engine.engine_id}, whose weights changed")


@when("engines change their weights without an order")
def step_weights_unasked(context):
    async def run():
        for engine in context.cluster.engines * CHANGES_PER_ENGINE:
            await change_weights(context, engine)

    context.run(run())


@when("engines crash between routing and arrival")
def step_crash_race(context):
    async def run():
        for _ in range(6):
            calls = asyncio.create_task(
                send_requests(context, streaming_requests(context, 9, tokens=4))
            )
            for engine in context.cluster.engines:
                await context.cluster.engine_fault(engine, kind="crash")
            await calls

    context.run(run())


@when("two tenants send the same prompts")
def step_same_prompts(context):
    async def run():
        for _ in range(3):
            await send_requests(context, planned_requests(context, 24, "buoy-alert"))

    context.run(run())


async def sample_generations(context):
    history = history_of(context)
    for index, node in enumerate(context.cluster.nodes):
        status = await context.cluster.operator(index).call("GET", "/status")
        row = GenerationSample(time.time(), node.name, 0, int(status["generation"]))
        history.samples.append(row)


async def confirm_tenant(context, node, tenant):
    operator = context.cluster.operator(node)
    intent = {"tenants": [{"name": tenant, "api_keys": [api_key(tenant)]}]}
    plan = await operator.call("POST", "/intents", intent)
    generation, code = 0, 0
    try:
        answer = await operator.call("POST", f"/plans/{plan['plan_id']}/confirm")
        generation = answer["generation"]
    except OperatorCallError as error:
        code = error.code
    row = Confirmation(time.time(), plan["base_generation"], generation, code, tenant)
    history_of(context).confirmations.append(row)
    return generation


async def record_configuration(context):
    history = history_of(context)
    for index, node in enumerate(context.cluster.nodes):
        operator = context.cluster.operator(index)
        history.final_generations[node.name] = (await operator.call("GET", "/status"))["generation"]
        rows = (await operator.call("GET", "/history"))["confirmations"]
        history.confirmation_summaries[node.name] = [row["summary"] for row in rows]


async def wait_for_generation(context, generation):
    async def reached_everywhere():
        await sample_generations(context)
        return all(s.generation >= generation for s in context.history.samples[-3:])

    await wait_until(reached_everywhere, f"generation {generation}")


async def wait_for_head_watches(context):
    """Wait until all nodes that watch the store do so, so that each reads a restored head."""
    watchers = int(context.cluster.environment.get(STORE_WATCHERS_NAME, STORE_WATCHERS_PER_REGION))
    url = f"http://{context.cluster.platform.address}/admin/counters"

    async def all_watch():
        async with context.cluster.session.get(url) as response:
            return orjson.loads(await response.read())["blocked_reads"].get(HEAD_KEY, 0) >= watchers

    await wait_until(all_watch, f"{watchers} watches of the head")


def record_logged_generations(context):
    """Record each generation that a node has put in force, also if only for milliseconds."""
    for node in context.cluster.nodes:
        lines = node.log_path.read_bytes().splitlines()
        rows = [orjson.loads(line) for line in lines if b"liftrill:configuration_in_force" in line]
        history_of(context).samples.extend(
            GenerationSample(row["timestamp"], f"log of {node.name}", 0, row["generation"])
            for row in rows
        )


@when("the store is restored from an old copy")
def step_store_restored(context):
    async def run():
        await context.cluster.platform_fault(kind="save")
        generation = await confirm_tenant(context, 0, "tenant-9")
        await wait_for_generation(context, generation)
        await wait_for_head_watches(context)
        await context.cluster.platform_fault(kind="restore")
        for _ in range(20):
            await sample_generations(context)
            await asyncio.sleep(0.1)
        record_logged_generations(context)
        await record_configuration(context)

    context.run(run())


@when("two operators confirm at once and responses are lost")
def step_operator_race(context):
    async def run():
        for number in range(4):
            await context.cluster.platform_fault(kind="lose_answers", count=2)
            generations = await asyncio.gather(
                confirm_tenant(context, 0, f"left-{number}"),
                confirm_tenant(context, 1, f"right-{number}"),
            )
            await context.cluster.platform_fault(kind="none")
            await wait_for_generation(context, max(generations))
        await record_configuration(context)

    context.run(run())


@when("a node is stopped under load")
def step_node_stopped(context):
    async def run():
        planned = streaming_requests(context, 9)
        calls = asyncio.create_task(send_requests(context, planned))
        await wait_for_executions(context, 9)
        node = context.cluster.nodes[0]
        node.send_signal(signal.SIGTERM)
        exit_code = await asyncio.to_thread(node.wait, 40)
        history_of(context).planned_stops.append(PlannedStop(node.name, exit_code))
        for record in await calls:
            record.cut_by_planned_stop = bool(record.transport_error)

    context.run(run())


async def send_while_leaving(context, engine, marked_at):
    history_of(context).leaving_marks.append(LeavingMark(engine.engine_id, marked_at))
    until = time.time() + LEAVING_LOAD_SECONDS
    batches_after_grace = 0
    while time.time() < until or batches_after_grace < MIN_BATCHES_AFTER_GRACE:
        batches_after_grace += time.time() > marked_at + checkers.LEAVING_GRACE_SECONDS
        await send_requests(context, planned_requests(context, 12, "depth-label"))


@when("an engine reports that it is leaving")
def step_engine_leaves(context):
    async def run():
        engine = context.cluster.engines[0]
        # An engine that refuses requests itself would hide requests that nodes still send to it.
        await context.cluster.engine_fault(engine, kind="accept_while_leaving")
        await send_while_leaving(context, engine, time.time())

    context.run(run())


@when("the machine list marks an engine as leaving")
def step_list_leaves(context):
    async def run():
        engine = context.cluster.engines[0]
        await context.cluster.register_engine(engine, leaving=True)
        await asyncio.sleep(context.cluster.machine_list_lag_seconds)
        await send_while_leaving(context, engine, time.time())

    context.run(run())


@when("a node restarts while the platform is unavailable")
def step_restart_in_outage(context):
    async def run():
        await asyncio.sleep(GOSSIP_QUIET_SECONDS)
        await context.cluster.platform_fault(kind="outage", seconds=600)
        node = context.cluster.nodes[0]
        node.send_signal(signal.SIGKILL)
        node.wait(10)
        started_at = time.monotonic()
        node.start()
        try:
            await wait_until(
                lambda: node_answers(context, node), "an answer", RESTART_LIMIT_SECONDS
            )
            elapsed = time.monotonic() - started_at
        except LaunchError:
            elapsed = None
        history_of(context).node_starts.append(NodeStart(node.name, elapsed))

    context.run(run())


async def node_answers(context, node):
    body = orjson.dumps({"model": "chart-reader", "prompt": "x", "max_tokens": 1})
    headers = {"Authorization": f"Bearer {api_key('tenant-1')}"}
    url = f"http://{node.address}/v1/completions"
    async with context.cluster.session.post(url, data=body, headers=headers) as response:
        return response.status == 200


def verdict_of(context, promise):
    history = history_of(context)
    history.executions = context.cluster.executions()
    history.reuses = context.cluster.reuses()
    found = [v for v in checkers.check_all(history) if v.promise == promise]
    assert len(found) == 1, promise
    return found[0]


@then('the checker of "{promise}" finds no violation')
def step_no_violation(context, promise):
    verdict = verdict_of(context, promise)
    assert verdict.checked > 0 or promise == "not run means not run", verdict
    assert not verdict.violations, verdict


@then('the checker of "{promise}" finds a violation')
def step_violation(context, promise):
    verdict = verdict_of(context, promise)
    history = history_of(context)
    executions = Counter((row["engine_id"], int(row["at"])) for row in history.executions)
    assert verdict.violations, (verdict, history.leaving_marks, executions)
