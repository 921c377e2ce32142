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

NODE_ENDS_WITHIN_S = 9.0


def tree(context, commit):
    """Return the tree of a commit; skip the scenario where the checkout lacks its history."""
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


async def take_place(context, root):
    former = context.deployment.nodes[-1]
    await add_node(context, root)
    terminate(former)
    await asyncio.wait_for(former.process.wait(), NODE_ENDS_WITHIN_S)


@when("a node of build {commit} takes the place of the other, and version {version:d} is named")
def step_earlier(context, commit, version):
    root = tree(context, commit)
    if root is not None:
        context.run(take_place(context, root))
        context.deployment.set_weight_version(version)


@when("a node of this build takes the place of the other, and version {version:d} is named")
def step_back(context, version):
    context.run(take_place(context, ROOT))
    context.deployment.set_weight_version(version)


@then("all engines have that version within {seconds:g} s")
def step_have_it(context, seconds):
    newest = json.loads(context.deployment.store.value("op/version/model-1"))["Version"]

    async def have_it():
        engines = [e for e in context.deployment.engines.values() if e.service == "llm"]
        return all(engine.weights["model-1"] == newest for engine in engines)

    context.run(context.deployment.wait_until(have_it, seconds))


@then("all engines have that version within {seconds:g} s, by fences that never go back")
def step_fences(context, seconds):
    step_have_it(context, seconds)
    for engine in context.deployment.engines.values():
        fences = [order["Fence"] for order in engine.orders]
        assert fences == sorted(fences), fences
        holders = [{o["Holder"] for o in orders} for _, orders in by_fence(engine.orders)]
        assert all(len(known) == 1 for known in holders), engine.orders


def by_fence(orders):
    return itertools.groupby(orders, key=lambda order: order["Fence"])


def follows(mirror):
    """Return whether a node with a copy takes changes of a reader that tells no era."""
    follower = StoreFollower(None, "", StubOwner(), ReaderLimits("node", 1.0))
    follower.mirror = mirror
    try:
        follower.relay_updated(RelayUpdate(WatchBatch((), position(0, 90))))
    except RelayLostError:
        return False
    return True


class StubOwner:
    """Hears nothing."""

    def store_connection_changed(self, connected):
        pass


@then("a node that has it follows no reader that tells no era")
def step_follows_none(context):
    assert not follows(context.mirror)


@then("a node that has none yet does")
def step_follows(context):
    assert follows(StoreMirror())


@when("nodes of this build and of {commit} play seed {seed:d} for {seconds:g} s")
def step_play(context, commit, seed, seconds):
    if tree(context, commit) is None:
        return
    (context.directory / f"build-{commit}").rename(context.directory / "checked")
    context.soak = Soak(seed, seconds, context.directory, modes=Modes(builds=True), earlier=commit)
    context.found, context.alive = context.run(context.soak.run())


@then("nodes of both builds were started")
def step_both(context):
    assert set(context.soak.builds) == {"this", "earlier"}, context.soak.builds
