"""Steps on nodes of two builds side by side."""

import asyncio
import itertools
import json

from behave import given, then, when

from features.soak.run import Modes, Soak
from features.standin.deployment import ROOT, terminate
from features.standin.earlier_build import extract_tree
from liftrill.coordination.range_store import WatchBatch
from liftrill.coordination.store_mirror import StoreMirror
from liftrill.coordination.store_position import position
from liftrill.gateway.relay_client import ReaderLimits, RelayLostError
from liftrill.gateway.relay_codec import RelayUpdate
from liftrill.gateway.store_follower import StoreFollower
from liftrill.gateway.store_outage import AnswerHistory

NODE_EXIT_TIMEOUT_S = 9.0


def tree(context, commit):
    """Return the source tree of a commit; skip the scenario if the checkout lacks the commit."""
    found = extract_tree(commit, context.directory)
    if found is None:
        context.scenario.skip(f"the checkout has no commit {commit}")
    return found


async def add_node(context, root):
    deployment = context.deployment
    node = await deployment.add_node(f"node-{len(deployment.nodes) + 1}", root=root)
    await deployment.ready(node)
    return node


@given("a node of this build")
def step_this_build(context):
    context.run(add_node(context, ROOT))


async def replace_node(context, root):
    replaced = context.deployment.nodes[-1]
    await add_node(context, root)
    terminate(replaced)
    await asyncio.wait_for(replaced.process.wait(), NODE_EXIT_TIMEOUT_S)


@when("a node of build {commit} replaces the other, and version {version:d} is published")
def step_earlier(context, commit, version):
    root = tree(context, commit)
    if root is not None:
        context.run(replace_node(context, root))
        context.deployment.set_weight_version(version)


@when("a node of this build replaces the other, and version {version:d} is published")
def step_back(context, version):
    context.run(replace_node(context, ROOT))
    context.deployment.set_weight_version(version)


@then("all engines have that version within {seconds:g} s")
def step_have_version(context, seconds):
    newest = json.loads(context.deployment.store.value("op/version/model-1"))["Version"]

    async def have_version():
        engines = [e for e in context.deployment.engines.values() if e.service == "llm"]
        return all(engine.weights["model-1"] == newest for engine in engines)

    context.run(context.deployment.wait_until(have_version, seconds))


@then("all engines have that version within {seconds:g} s, with fences that never decrease")
def step_fences(context, seconds):
    step_have_version(context, seconds)
    for engine in context.deployment.engines.values():
        fences = [order["Fence"] for order in engine.orders]
        assert fences == sorted(fences), fences
        holders = [{o["Holder"] for o in orders} for _, orders in by_fence(engine.orders)]
        assert all(len(known) == 1 for known in holders), engine.orders


def by_fence(orders):
    return itertools.groupby(orders, key=lambda order: order["Fence"])


def accepts_no_era(mirror):
    """Return whether a node with a copy accepts changes of a reader that reports no era."""
    follower = StoreFollower(None, "", StubOwner(), ReaderLimits("node", 1.0), AnswerHistory(2.4))
    follower.mirror = mirror
    try:
        follower.relay_updated(RelayUpdate(WatchBatch((), position(0, 90))))
    except RelayLostError:
        return False
    return True


class StubOwner:
    """Ignores the notices of a follower."""

    def store_connection_changed(self, connected):
        pass


@then("a node that has it follows no reader that reports no era")
def step_follows_none(context):
    assert not accepts_no_era(context.mirror)


@then("a node that has none yet does")
def step_follows(context):
    assert accepts_no_era(StoreMirror())


@when("nodes of this build and of {commit} run seed {seed:d} for {seconds:g} s")
def step_soak(context, commit, seed, seconds):
    if tree(context, commit) is None:
        return
    (context.directory / f"build-{commit}").rename(context.directory / "checked")
    context.soak = Soak(seed, seconds, context.directory, modes=Modes(builds=True), earlier=commit)
    context.found, context.alive = context.run(context.soak.run())


@then("nodes of both builds were started")
def step_both(context):
    assert set(context.soak.builds) == {"this", "earlier"}, context.soak.builds
