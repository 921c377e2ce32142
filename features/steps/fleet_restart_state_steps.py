"""Steps on nodes that start after the nodes that knew some state have ended."""

import asyncio
import time

import aiohttp
from behave import given, then, when

from features.standin.deployment import KEY, Deployment
from features.store_drill import SERVED, restore

REVOKED_KEY = "key-2"
# Short, so that a scenario need not wait for long until no node may accept a revoked key.
REVOKE_MS = 2000
CALL_SPACING_S = 0.04
REWRITE_DELAY_S = 0.8
# How long callers go on after the rewrite and the first answer of each node.
CALLED_AFTER_S = 3.0
START_SPACING_S = 0.2
AWAY_S = 0.4
# The copy of the store is older than the revocation by this time.
COPIED_BEFORE_S = 0.1


@given("a store that reports its era, {engines:d} engines and {nodes:d} nodes before them")
def step_platform(context, engines, nodes):
    deployment = Deployment(context.directory, {"RevokeMs": REVOKE_MS})
    context.deployment = context.run(context.stack.enter_async_context(deployment))
    deployment.store.era = "1"

    async def add():
        for number in range(engines):
            await deployment.add_engine(f"desk-{number + 1}", "desk", slots=64)
        deployment.configure(5, keys=(KEY, REVOKED_KEY))
        for number in range(nodes):
            await deployment.add_node(f"node-{number + 1}")
        for node in deployment.nodes:
            await deployment.ready(node)

    context.run(add())


@given("a key that was revoked so long ago that no node may accept it")
def step_revoke(context):
    context.deployment.configure(6, keys=(KEY,))
    context.revoked_at = time.monotonic()
    context.run(asyncio.sleep(REVOKE_MS / 1000 + 0.5))


class KeyCallers:
    """Calls all nodes with two keys until stopped.

    Attributes:
        answers: key, node, time sent and status of each answered call.
    """

    def __init__(self, deployment):
        self.answers = []
        self._deployment = deployment
        self._tasks = [
            asyncio.ensure_future(self._repeat(node, key))
            for node in deployment.nodes
            for key in (KEY, REVOKED_KEY)
        ]

    async def _repeat(self, node, key):
        while True:
            sent_at = time.monotonic()
            try:
                status, *_ = await self._deployment.call(node, f"/whole/{key}", key=key)
            except (aiohttp.ClientError, OSError):
                status = None
            self.answers.append((key, node, sent_at, status))
            await asyncio.sleep(CALL_SPACING_S)

    async def all_answered(self):
        """Return whether each node has answered a call with the key that is not revoked."""
        answered = {node for key, node, _, status in self.answers if key == KEY and status}
        return len(answered) == len(self._deployment.nodes)

    async def stop(self):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


async def kill(nodes):
    for node in nodes:
        node.process.kill()
    for node in nodes:
        await node.process.wait()


async def start(context, nodes):
    """Start nodes as members of a system that has run before."""
    deployment = context.deployment
    for node in nodes:
        others = [other for other in deployment.nodes if other is not node]
        store = deployment.store.address_for(node.ip)
        node.write_settings(store, others, deployment.bounds, first_start=False)
        await node.start()


@when(
    "{which} after the store was restored from a copy with the key, "
    "and operators write theirs again {delay_s:g} s later"
)
def step_restart(context, which, delay_s):
    deployment = context.deployment
    nodes = deployment.nodes
    rewritten = asyncio.Event()

    async def restore_store():
        age_s = time.monotonic() - context.revoked_at + COPIED_BEFORE_S
        await restore(deployment.store, AWAY_S, age_s + AWAY_S)
        for engine in deployment.engines.values():
            deployment.record(engine)
        # Nodes that start slowly must not make the operators late.
        asyncio.get_running_loop().call_later(delay_s, write_again)

    def write_again():
        deployment.configure(6, keys=(KEY,))
        context.rewritten_at = time.monotonic()
        rewritten.set()

    async def play():
        if which == "one node starts":
            await kill(nodes[:1])
            await restore_store()
            await start(context, nodes[:1])
            callers = KeyCallers(deployment)
            await listens(deployment, nodes[0])
        elif which == "all nodes start at once":
            await kill(nodes)
            await restore_store()
            await start(context, nodes)
            callers = KeyCallers(deployment)
            await listens(deployment, nodes[0])
        elif which == "all nodes start one by one":
            await kill(nodes)
            await restore_store()
            callers = KeyCallers(deployment)
            for node in nodes:
                await start(context, [node])
                await asyncio.sleep(START_SPACING_S)
        else:
            assert which == "all nodes start beside a silent store", which
            await kill(nodes)
            deployment.store.fault = "reset"
            await start(context, nodes)
            callers = KeyCallers(deployment)
            await listens(deployment, nodes[0])
            await restore_store()
        await rewritten.wait()
        await deployment.wait_until(callers.all_answered)
        await asyncio.sleep(CALLED_AFTER_S)
        await callers.stop()
        context.answers = callers.answers

    context.run(play())


async def listens(deployment, node):
    """Wait until a node accepts connections."""
    host, port = node.address("Front").split(":")

    async def accepts():
        ended = node.process.returncode
        assert ended is None, f"{node.name} ended with {ended}"
        try:
            _, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return False
        writer.close()
        return True

    await deployment.wait_until(accepts)


@then("no engine got a request with the revoked key")
def step_not_accepted(context):
    statuses = [status for key, _, _, status in context.answers if key == REVOKED_KEY]
    accepted = [
        (node.name, round(sent_at - context.rewritten_at, 2))
        for key, node, sent_at, status in context.answers
        if key == REVOKED_KEY and status == SERVED
    ]
    reached = [a for a in context.deployment.arrivals() if a.target.endswith(f"/{REVOKED_KEY}")]
    print(f"{len(accepted)} accepted of {len(statuses)}: {accepted[:8]}")
    assert len(statuses) > 50 and not accepted and not reached, (accepted, len(reached))


@then("each node serves the other key within {seconds:g} s of the rewrite, or of its first answer")
def step_served(context, seconds):
    delays_s = {}
    for node in context.deployment.nodes:
        own = [row for row in context.answers if row[1] is node and row[0] == KEY]
        answered_at = min(sent_at for _, _, sent_at, status in own if status is not None)
        served_at = min((at for _, _, at, status in own if status == SERVED), default=float("inf"))
        delays_s[node.name] = round(served_at - max(answered_at, context.rewritten_at), 2)
    print(f"first served after {delays_s}")
    assert max(delays_s.values()) <= seconds, delays_s


@when("all nodes are killed and start again at a store that was not restored")
def step_restart_without_restore(context):
    deployment = context.deployment

    async def is_recorded():
        return bool(deployment.logged("era_recorded"))

    async def play():
        await deployment.wait_until(is_recorded)
        await kill(deployment.nodes)
        await start(context, deployment.nodes)
        for node in deployment.nodes:
            await deployment.ready(node)

    context.run(play())


@then("no node takes the store for restored, and one has recorded its era")
def step_not_restored(context):
    assert not context.deployment.logged("store_restored")
    assert len(context.deployment.logged("era_recorded")) == 1
