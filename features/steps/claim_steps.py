"""Steps for non-repeatable requests."""

import asyncio
import random
import signal
import time
from collections import Counter

import orjson
from behave import given, step, then, when

from features.support import planned_requests, post, send_all
from liftrill.bench.idempotency_key import new_key
from liftrill.bench.launcher import wait_until

KEY_SOURCE = random.Random(11)
GROUP_CHANGE_MARGIN_SECONDS = 4


def plan_non_repeatable(context, count, **changes):
    context.planned = planned_requests(context, count, "depth-label", **changes)
    context.keys = [new_key(KEY_SOURCE) for _ in context.planned]


async def send_to(context, node, planned, keys):
    target = context.cluster.nodes[node]
    calls = [
        context.caller.send(target.name, target.address, request, key)
        for request, key in zip(planned, keys, strict=True)
    ]
    return await asyncio.gather(*calls)


async def wait_for_claims(context):
    """Send new keys until every node grants one: a started node first waits for its peers."""
    for number in range(len(context.cluster.nodes)):

        async def granted(node=number):
            planned = planned_requests(context, 1, "depth-label")
            records = await send_to(context, node, planned, [new_key(KEY_SOURCE)])
            return records[0].complete

        await wait_until(granted, f"claims through node {number}")


@given("the platform is unavailable for {seconds:d} seconds")
def step_given_outage(context, seconds):
    context.run(context.cluster.platform_fault(kind="outage", seconds=seconds))


@when("{count:d} non-repeatable requests are each sent through two nodes at once")
def step_two_nodes(context, count):
    async def send():
        await wait_for_claims(context)
        plan_non_repeatable(context, count)
        record_lists = await asyncio.gather(
            send_to(context, 0, context.planned, context.keys),
            send_to(context, 1, context.planned, context.keys),
        )
        return [record for records in record_lists for record in records]

    context.records = context.run(send())


@when("{count:d} non-repeatable requests are sent")
def step_send_non_repeatable(context, count):
    async def send():
        await wait_for_claims(context)
        plan_non_repeatable(context, count)
        return await send_all(context, context.planned, context.keys)

    context.records = context.run(send())


@when("{count:d} non-repeatable requests with new keys are sent {seconds:d} seconds later")
def step_send_new_keys(context, count, seconds):
    async def send():
        await asyncio.sleep(seconds)
        await wait_for_claims(context)
        plan_non_repeatable(context, count)
        return await send_all(context, context.planned, context.keys)

    context.records = context.run(send())


@when("{count:d} non-repeatable requests are sent to nodes 0 and 1")
def step_send_to_two(context, count):
    plan_non_repeatable(context, count)
    half = count // 2

    async def send():
        first = await send_to(context, 0, context.planned[:half], context.keys[:half])
        second = await send_to(context, 1, context.planned[half:], context.keys[half:])
        return [*first, *second]

    context.records = context.run(send())


@when("{count:d} slow non-repeatable requests are sent to node 0, which is killed during them")
def step_killed_during_requests(context, count):
    async def send():
        await wait_for_claims(context)
        plan_non_repeatable(context, count, output_tokens=100)
        task = asyncio.create_task(send_to(context, 0, context.planned, context.keys))

        async def execution_started():
            return len(executed_keys(context)) > 0

        await wait_until(execution_started, "an execution")
        context.cluster.nodes[0].send_signal(signal.SIGKILL)
        return await task

    context.records = context.run(send())


@step("the same keys are sent again through another node")
def step_same_keys(context):
    records = context.run(send_to(context, 1, context.planned, context.keys))
    context.records = [*context.records, *records]


@when("all nodes are killed and started again")
def step_restart_all(context):
    for node in context.cluster.nodes:
        node.send_signal(signal.SIGKILL)
    for node in context.cluster.nodes:
        node.wait(10)
        node.start()
    for node in context.cluster.nodes:
        context.run(context.cluster.wait_ready(node))


@when("node {number:d} is paused")
def step_pause(context, number):
    context.run(wait_for_claims(context))
    context.cluster.nodes[number].send_signal(signal.SIGSTOP)


@when("node {number:d} is resumed")
def step_resume(context, number):
    context.cluster.nodes[number].send_signal(signal.SIGCONT)


def send_one(context, node, prompt, key):
    body = orjson.dumps({"model": "chart-reader", "prompt": prompt, "max_tokens": 2})
    headers = {"Liftrill-Repeatable": "no", "Idempotency-Key": key}
    return context.run(post(context, "/v1/completions", body, headers, node))


@when("a non-repeatable request is sent to node {node:d}")
def step_send_one(context, node):
    context.keys = [new_key(KEY_SOURCE)]
    if all(n.process.poll() is None for n in context.cluster.nodes):
        context.run(wait_for_claims(context))
        context.keys = [new_key(KEY_SOURCE)]
    context.answer = send_one(context, node, "first", context.keys[0])


@when("the same key is sent with another body to node {node:d}")
def step_other_body(context, node):
    context.answer = send_one(context, node, "second", context.keys[0])


async def confirm_claim_group(context, members):
    operator = context.cluster.operator()
    plan = await operator.call("POST", "/intents", {"claims": {"members": members}})
    generation = None

    async def confirmed():
        nonlocal generation
        answer = await operator.call("POST", f"/plans/{plan['plan_id']}/confirm")
        generation = answer["generation"]
        return True

    await confirmed()

    async def in_force():
        status = await operator.call("GET", "/status")
        return all(g == generation for g in status["members"].values())

    await wait_until(in_force, "the group in force everywhere")


@step("the claim group is changed to nodes 2, 3 and 4")
@step("the change of the claim group is completed")
def step_change_claim_group(context):
    members = [node.name for node in context.cluster.nodes[2:5]]
    context.run(confirm_claim_group(context, members))
    time.sleep(GROUP_CHANGE_MARGIN_SECONDS)


def executed_keys(context):
    rows = context.cluster.executions()
    return Counter(row["idempotency_key"] for row in rows if row["idempotency_key"])


@then("no key was executed twice")
def step_no_key_twice(context):
    executed_twice = {key: count for key, count in executed_keys(context).items() if count > 1}
    assert not executed_twice, executed_twice


@then("every key was executed")
def step_every_key(context):
    assert set(context.keys) <= set(executed_keys(context)), context.records


@then("every response is correct for its key or reports an unknown outcome")
def step_own_or_unknown(context):
    executed = executed_keys(context)
    for record in context.records:
        assert not record.problems, record
        if record.execution == "not-run":
            assert executed[record.idempotency_key] == 0, record
