"""Steps that run many nodes of one zone against the stand-in platform."""

import asyncio
import signal

from behave import given, then, when

READER_METRIC = "liftrill_reads_store 1.0"


async def metrics(deployment, node):
    url = f"http://{node.address('Metrics')}/metrics"
    async with deployment.session.get(url) as answer:
        return await answer.text()


async def readers(deployment, nodes):
    texts = await asyncio.gather(*(metrics(deployment, node) for node in nodes))
    return [node for node, text in zip(nodes, texts, strict=True) if READER_METRIC in text]


@given("two of the nodes read the store and the others follow them")
def step_settled(context):
    deployment = context.deployment

    async def settled():
        return len(await readers(deployment, deployment.nodes)) == 2

    context.run(deployment.wait_until(settled))
    context.readers = context.run(readers(deployment, deployment.nodes))
    context.stopped = []


@when("nothing changes for {seconds:g} s")
def step_no_changes(context, seconds):
    store = context.deployment.store
    before = len(store.calls)
    context.run(asyncio.sleep(seconds))
    context.calls = [call for call, _ in store.calls[before:]]


@then("the store got at most {reads:d} key reads and {most:d} other calls meanwhile")
def step_few_calls(context, reads, most):
    # Each of the two readers reads a key every 0.9 s (0.45 of DrainMs) to prove its copy
    # current; the leader also renews its lease.
    key_reads = [call for call in context.calls if call == "kv-key"]
    others = [call for call in context.calls if call not in ("kv-key", "kv-keep")]
    assert 1 <= len(key_reads) <= reads, context.calls
    assert len(others) <= most, context.calls


@when("the operator revokes the known key")
def step_revoke(context):
    context.deployment.configure(9, keys=("another-key",))


def wait_for_status(context, nodes, status, seconds):
    deployment = context.deployment

    async def all_answer():
        calls = (deployment.call(node, "/whole/x") for node in nodes)
        answers = await asyncio.gather(*calls)
        return all(answer[0] == status for answer in answers)

    context.run(deployment.wait_until(all_answer, seconds))


@then("within {seconds:g} s every node answers the known key with {status:d}")
def step_every(context, seconds, status):
    wait_for_status(context, context.deployment.nodes, status, seconds)


@then("within {seconds:g} s every running node answers the known key with {status:d}")
def step_every_running(context, seconds, status):
    running = [node for node in context.deployment.nodes if node not in context.stopped]
    wait_for_status(context, running, status, seconds)


@then("within {seconds:g} s every follower answers the known key with {status:d}")
def step_every_follower(context, seconds, status):
    nodes = [node for node in context.deployment.nodes if node not in context.readers]
    wait_for_status(context, nodes, status, seconds)


@when("a reader is paused")
def step_pause(context):
    node = context.readers[0]
    node.signal(signal.SIGSTOP)
    context.stopped.append(node)


@when("a reader is asked to stop")
def step_stop(context):
    node = context.readers[0]
    node.signal(signal.SIGTERM)
    context.stopped.append(node)


@when("the store refuses both readers")
def step_refuse(context):
    context.deployment.store.refused_ips = {node.ip for node in context.readers}


@when("the store refuses one of the readers")
def step_refuse_one(context):
    context.deployment.store.refused_ips = {context.readers[0].ip}


@when("the store stops responding to all nodes")
def step_silent(context):
    context.deployment.store.fault = "silent"


@then("within {seconds:g} s no running node follows it")
def step_no_followers(context, seconds):
    deployment = context.deployment
    stopped = context.stopped[0]

    async def has_no_followers():
        text = await metrics(deployment, stopped)
        return "liftrill_relay_followers 0.0" in text

    context.run(deployment.wait_until(has_no_followers, seconds))
