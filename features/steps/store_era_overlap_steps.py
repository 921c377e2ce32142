"""Steps on a store that comes back from an older copy while something else goes wrong."""

import asyncio
import signal
import time

from behave import given, then, when

from features.standin import sleeper
from features.store_drill import SERVED, run_restore

# Until after the return, which comes 0.8 s after the troubles begin.
STOOD_STILL_S = 1.2
ANSWERED_LATER_S = 0.8 + 1.5


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


async def stand_still(deployment):
    node = deployment.nodes[1]
    node.signal(signal.SIGSTOP)
    await asyncio.sleep(STOOD_STILL_S)
    node.signal(signal.SIGCONT)


async def sleep_through(deployment):
    node = deployment.nodes[-1]
    node.signal(signal.SIGSTOP)
    await asyncio.sleep(STOOD_STILL_S)
    node.wake(STOOD_STILL_S)


async def add_node(deployment):
    await deployment.add_node("node-5")


async def answer_two_later(deployment):
    refused = deployment.store.refused_callers
    refused.update(node.ip for node in deployment.nodes[:2])
    await asyncio.sleep(ANSWERED_LATER_S)
    refused.clear()


TROUBLES = {
    "the leader is killed and starts again": restart_leader,
    "the machine sleeps": sleep_through,
    "a node that does not lead is killed and starts again": restart_follower,
    "a node stands still": stand_still,
    "another node starts": add_node,
    "the store answers two nodes 1.5 s later": answer_two_later,
}


@given("{count:d} nodes, the last on a machine that may sleep")
def step_nodes_and_sleeper(context, count):
    async def add():
        for number in range(1, count + 1):
            wrapper = [sleeper.__file__] if number == count else ()
            node = await context.deployment.add_node(f"node-{number}", wrapper=wrapper)
            await context.deployment.ready(node)

    context.run(add())


@when(
    "keys, weights and engines change, and the store is away for {away:g} s"
    " and back from a copy {age:g} s old, while {trouble}"
)
def step_drill_beside(context, away, age, trouble):
    context.run(run_restore(context, away, age, TROUBLES[trouble]))


@then("no engine that had left got a request later than {seconds:g} s after the store was back")
def step_left_after_return(context, seconds):
    for engine in context.left:
        late = [a.at - context.back_at for a in engine.arrivals if a.at > context.back_at + seconds]
        assert not late, (engine.engine_id, len(late), late[0])


@then("all of these callers were served, those of a node that started once it was ready")
def step_served_once_ready(context):
    name, ready_at = context.started
    failed = [
        call
        for call in context.callers.calls
        if call.status != SERVED and (call.node != name or call.at > ready_at)
    ]
    assert not failed, (len(failed), failed[0], ready_at)
