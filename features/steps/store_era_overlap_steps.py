"""Steps on a store that is restored from an older copy during another failure."""

import asyncio
import signal
import time

from behave import given, then, when

from features.standin import sleeper
from features.store_drill import SERVED, run_restore

# Until after the restore, which comes 0.8 s after the failures begin.
PAUSED_S = 1.2
REFUSED_S = 0.8 + 1.5


async def restart_leader(deployment):
    return await restart(deployment, leads=True)


async def restart_follower(deployment):
    return await restart(deployment, leads=False)


async def restart(deployment, leads):
    leader = (deployment.store.value("liftrill/leader") or b"").decode()
    node = next(node for node in deployment.nodes if (node.name == leader) == leads)
    await node.stop()
    await node.start()
    await deployment.ready(node)
    return node.name, time.monotonic()


async def pause_node(deployment):
    node = deployment.nodes[1]
    node.signal(signal.SIGSTOP)
    await asyncio.sleep(PAUSED_S)
    node.signal(signal.SIGCONT)


async def suspend_last_node(deployment):
    node = deployment.nodes[-1]
    node.signal(signal.SIGSTOP)
    await asyncio.sleep(PAUSED_S)
    node.wake(PAUSED_S)


async def add_node(deployment):
    await deployment.add_node("node-5")


async def refuse_two_nodes(deployment):
    refused = deployment.store.refused_ips
    refused.update(node.ip for node in deployment.nodes[:2])
    await asyncio.sleep(REFUSED_S)
    refused.clear()


TROUBLES = {
    "the leader is killed and starts again": restart_leader,
    "the machine is suspended": suspend_last_node,
    "a node that does not lead is killed and starts again": restart_follower,
    "a node is paused": pause_node,
    "another node starts": add_node,
    "the store answers two nodes 1.5 s later": refuse_two_nodes,
}


@given("{count:d} nodes, the last on a machine that can be suspended")
def step_nodes_and_sleeper(context, count):
    async def add():
        for number in range(1, count + 1):
            wrapper = [sleeper.__file__] if number == count else ()
            node = await context.deployment.add_node(f"node-{number}", wrapper=wrapper)
            await context.deployment.ready(node)

    context.run(add())


@when(
    "keys, weights and engines change, and the store is unavailable for {away:g} s"
    " and restored from a copy {age:g} s old, while {trouble}"
)
def step_restore_during(context, away, age, trouble):
    context.run(run_restore(context, away, age, TROUBLES[trouble]))


@then("no engine that left got a request later than {seconds:g} s after the restore")
def step_left_after_restore(context, seconds):
    for engine in context.left_engines:
        late = [
            a.at - context.restored_at
            for a in engine.arrivals
            if a.at > context.restored_at + seconds
        ]
        assert not late, (engine.engine_id, len(late), late[0])


@then("all of these callers were served, those of the restarted node once it was ready")
def step_served_once_ready(context):
    name, ready_at = context.restarted
    failed = [
        call
        for call in context.callers.calls
        if call.status != SERVED and (call.node != name or call.at > ready_at)
    ]
    assert not failed, (len(failed), failed[0], ready_at)
