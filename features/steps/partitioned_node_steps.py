"""Steps on nodes that are stopped or cut off while engines of another version come."""

import asyncio
import signal
import time
from statistics import median

from behave import given, then, when

from features.standin import cut_node
from features.standin.cut_node import NodeCut
from features.standin.engine_process import EngineProcess
from features.standin.stream_callers import OK
from features.steps.fleet_restart_steps import (
    DEADLINE_MS,
    add_engines,
    begin_streams,
    describe,
    end_engines,
    engine_options,
)

# The servers of a node that its peers connect to; the last is that for proxied requests.
PEER_PORTS = (("Peer", 0), ("Control", 0), ("Peer", 1))
# How long after the cut the engines come, and until their version is recorded and in use.
COME_AFTER_S, USED_AFTER_S = 0.1, 1.1
# Within this time the streams begin, and run on after that.
BEGIN_S, KILLED_AFTER_S = 0.6, 0.2
RESUMED_S = 8.0


def peer_addresses(node):
    return {f"{node.ip}:{node.ports[name] + offset}" for name, offset in PEER_PORTS}


def store_address(context, node):
    return context.deployment.store.address_for(node.ip)


@given("{count:d} nodes before them whose links can be cut, which have been ready for {ready:g} s")
def step_nodes(context, count, ready):
    async def add():
        deployment = context.deployment
        context.cuts = {}
        for number in range(count):
            name = f"node-{number + 1}"
            cut = context.cuts[name] = NodeCut(context.directory, name)
            context.stack.push_async_callback(cut.links.stop)
            await deployment.add_node(
                name, wrapper=[cut_node.__file__], environment=cut.environment
            )
        for node in deployment.nodes:
            links = context.cuts[node.name].links
            await links.add(store_address(context, node))
            for other in deployment.nodes:
                for address in peer_addresses(other) if other is not node else ():
                    await links.add(address)
            await deployment.ready(node)
        await deployment.know_each_other()
        await asyncio.sleep(ready)

    context.run(add())


def put_out_of_touch(context, node, kind):
    """Stop a node, cut its links, or silence the store."""
    if kind == "as all nodes cut off from the store":
        context.deployment.store.fault = "silent"
        return
    own, others = context.cuts[node.name], context.deployment.nodes
    if kind == "stopped":
        node.signal(signal.SIGSTOP)
        return
    assert kind.startswith("cut off from"), kind
    cut = {store_address(context, node)} if "the store" in kind else set()
    if "its peers" in kind:
        own.cut_datagrams()
        cut = cut.union(*(peer_addresses(other) for other in others if other is not node))
        for other in others:
            if other is not node:
                context.cuts[other.name].cut_connections(peer_addresses(node))
    own.cut_connections(cut)


def put_in_touch(context, node, kind):
    context.deployment.store.fault = ""
    if kind == "stopped":
        node.signal(signal.SIGCONT)
    for cut in context.cuts.values():
        cut.restore()


@when(
    "the first node is {kind} for {seconds:g} s after {streams:d} streams have begun at the others,"
    " and {count:d} engines are replaced by ones of {version} at their addresses"
)
def step_replaced(context, kind, seconds, streams, count, version):
    async def play():
        deployment = context.deployment
        first, *others = deployment.nodes
        context.begun = await begin_streams(context, streams, BEGIN_S, others, KILLED_AFTER_S)
        for task in context.begun:
            task.cancel()
        await asyncio.gather(*context.begun, return_exceptions=True)
        began_at = time.monotonic()
        put_out_of_touch(context, first, kind)
        context.in_touch = asyncio.ensure_future(end_after(context, first, kind, seconds))
        context.in_touch_due_at = began_at + seconds
        await asyncio.sleep(COME_AFTER_S)
        for engine in list(deployment.engines.values())[:count]:
            await engine.crash()
            options = engine_options(version)
            if not engine.born_unix_ms:
                options["born_unix_ms"] = 0
            successor = EngineProcess(engine.engine_id, engine.service, **options)
            await successor.start(int(engine.address.rpartition(":")[2]))
            deployment.engines[engine.engine_id] = successor
            context.stack.push_async_callback(engine.stop)
            deployment.record(successor)
        print(f"engines are replaced {time.monotonic() - began_at:.2f} s after")

    context.run(play())


async def end_after(context, node, kind, seconds):
    await asyncio.sleep(seconds)
    put_in_touch(context, node, kind)


@when(
    "the first node is {kind} for {seconds:g} s, {count:d} engines of {version} come, "
    "and {streams:d} streams begin at the others"
)
def step_out_of_touch(context, kind, seconds, count, version, streams):
    async def play():
        first, *others = context.deployment.nodes
        began_at = time.monotonic()
        put_out_of_touch(context, first, kind)

        context.in_touch = asyncio.ensure_future(end_after(context, first, kind, seconds))
        context.in_touch_due_at = began_at + seconds
        await asyncio.sleep(COME_AFTER_S)
        await add_engines(context.deployment, version, count, "late-")
        await asyncio.sleep(began_at + USED_AFTER_S - time.monotonic())
        context.begun = await begin_streams(context, streams, BEGIN_S, others, KILLED_AFTER_S)
        print(f"streams have begun {time.monotonic() - began_at:.2f} s after the node left touch")

    context.run(play())


@when("callers resume these at the first node {later:g} s after that has ended, once {ended}")
def step_resume(context, ended, later):
    async def play():
        callers, first = context.callers, context.deployment.nodes[0]
        if ended == "the engines of v1.2 have ended":
            await end_engines(context, "v1.2", "killed")
        else:
            assert ended == "their callers have left", ended
        for task in context.begun:
            task.cancel()
        await asyncio.gather(*context.begun, return_exceptions=True)
        if later >= 0:
            await context.in_touch
        late_s = context.in_touch_due_at + later - time.monotonic()
        print(f"resumed in {late_s:.2f} s")
        await asyncio.sleep(max(0.0, late_s))
        callers.nodes = lambda: [first]
        until = time.monotonic() + RESUMED_S
        streams = [stream for stream in callers.streams if not stream.complete]
        await asyncio.gather(
            *(callers.resume(stream, until, deadline_ms=DEADLINE_MS) for stream in streams)
        )
        await context.in_touch

    context.run(play())
    describe(context)


@then("at most {count:d} resumptions were refused")
def step_refused(context, count):
    resumptions = [each for stream in context.callers.streams for each in stream.resumptions]
    refused = [each for each in resumptions if each.status != OK]
    took = sorted(each.first_event_s for each in resumptions if each.first_event_s is not None)
    print(f"{len(refused)} of {len(resumptions)} refused; first event, median {median(took):.3f} s")
    assert len(refused) <= count, f"{len(refused)} of {len(resumptions)}"
