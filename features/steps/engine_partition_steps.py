"""Steps on nodes that are cut off from engines, with nodes as separate processes."""

import asyncio
import itertools
import signal
import time
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass

import aiohttp
from behave import given, then, when

from features.standin import link_addresses
from features.standin.deployment import ROOT, prompt_headers
from features.standin.earlier_build import extract_tree
from features.standin.engine_links import CutKind, NodeLinks

CALL_SPACING_S = 0.02
# Time between the calls on connections that are idle after their first call.
IDLE_STEP_S = 0.1
SERVED, UNAVAILABLE = 200, 503
MODEL_ROUTES = ("stream", "resume")


@dataclass
class Outcome:
    """A call to a node, and whether its whole answer was received."""

    node: str
    at: float
    status: int = 0
    complete: bool = False
    ended_at: float = 0.0

    @property
    def served(self):
        return self.status == SERVED and self.complete


class Callers:
    """Calls all nodes in turn on each route, without retries."""

    def __init__(self, deployment, routes):
        self.deployment = deployment
        self.routes = routes
        self.calls = []
        self.tasks = set()

    async def call_in_turn(self):
        targets = [(node, route) for node in self.deployment.nodes for route in self.routes]
        for node, route in itertools.cycle(targets):
            task = asyncio.ensure_future(self._call(node, route))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(CALL_SPACING_S)

    async def _call(self, node, route):
        headers = prompt_headers("model-1") if route in MODEL_ROUTES else {}
        outcome = Outcome(node.name, time.monotonic())
        self.calls.append(outcome)
        # At the end of a scenario nodes are killed under open calls.
        with suppress(aiohttp.ClientError):
            answer = await self.deployment.call(node, f"/{route}/x", **headers)
            outcome.status, _, _, outcome.complete = answer
        outcome.ended_at = time.monotonic()


@given("{count:d} nodes whose links to engines can be cut")
def step_nodes(context, count):
    context.run(add_nodes(context, count))


@given("{count:d} nodes whose links to engines can be cut, the first {other:d} in another zone")
def step_nodes_in_zones(context, count, other):
    zones = ["zone-2"] * other + ["zone-1"] * (count - other)
    context.run(add_nodes(context, count, zones=zones))


@given("2 nodes whose links to engines can be cut, the second of build {commit}")
def step_nodes_of_two_builds(context, commit):
    earlier = extract_tree(commit, context.directory)
    if earlier is None:
        context.scenario.skip(f"the checkout has no commit {commit}")
        return
    context.run(add_nodes(context, 2, roots=[ROOT, earlier]))


async def add_nodes(context, count, zones=None, roots=None):
    deployment = context.deployment
    context.links = {}
    for number in range(count):
        name = f"node-{number + 1}"
        links = NodeLinks(context.directory / f"{name}.links")
        context.stack.push_async_callback(links.stop)
        await links.start([engine.address for engine in deployment.engines.values()])
        context.links[name] = links
        node = await deployment.add_node(
            name,
            wrapper=[link_addresses.__file__],
            changes={"Zone": f'"{zones[number]}"'} if zones else None,
            root=roots[number] if roots else ROOT,
            environment={link_addresses.LINKS_FILE: str(links.path)},
        )
        await deployment.ready(node)


@given('callers that call all nodes on "{first}" and "{second}" and note what they get')
def step_callers(context, first, second):
    context.callers = Callers(context.deployment, (first, second))
    context.run(start_calling(context))


async def start_calling(context):
    context.calling = asyncio.ensure_future(context.callers.call_in_turn())
    await asyncio.sleep(2.0)


@when("the links of {count:d} nodes to all engines {kind} for {seconds:g} s")
def step_cut(context, count, kind, seconds):
    context.run(cut(context, count, CutKind(kind), seconds))


async def cut(context, count, kind, seconds):
    context.cut_nodes = [node.name for node in context.deployment.nodes[:count]]
    for name in context.cut_nodes:
        context.links[name].cut(kind)
    context.cut_at = time.monotonic()
    await asyncio.sleep(seconds)
    for name in context.cut_nodes:
        context.links[name].restore()
    context.restored_at = time.monotonic()


@when(
    "the links of {count:d} nodes to all engines {kind} for {seconds:g} s, three times,"
    " {gap:g} s apart"
)
def step_cut_again(context, count, kind, seconds, gap):
    async def cut_three_times():
        context.cuts = []
        for number in range(3):
            if number:
                await asyncio.sleep(gap)
            await cut(context, count, CutKind(kind), seconds)
            context.cuts.append((context.cut_at, context.restored_at))

    context.run(cut_three_times())


@when("the links of the first node to all engines are cut")
def step_cut_first(context):
    context.links[context.deployment.nodes[0].name].cut(CutKind.REFUSE)


@then("its callers are refused within {seconds:g} s, and the second node serves all of its own")
def step_refused_at_first(context, seconds):
    async def call(node):
        began_at = time.monotonic()
        answer = await context.deployment.call(node, "/whole/x")
        return answer[0], time.monotonic() - began_at

    first, second = context.deployment.nodes
    refused = [context.run(call(first)) for _ in range(5)]
    assert all(status == UNAVAILABLE and took <= seconds for status, took in refused), refused
    served = [context.run(call(second)) for _ in range(5)]
    assert all(status == SERVED for status, _ in served), served


@when("the callers go on for {seconds:g} s")
def step_go_on(context, seconds):
    context.run(end_calls(context, seconds))


async def end_calls(context, seconds):
    await asyncio.sleep(seconds)
    context.calling.cancel()
    await asyncio.gather(*context.callers.tasks)


def served_share(calls):
    assert calls, "no calls"
    return sum(call.served for call in calls) / len(calls)


def check_shares(context, since, until, share):
    calls = [call for call in context.callers.calls if since <= call.at < until]
    at_cut = [call for call in calls if call.node in context.cut_nodes]
    at_others = [call for call in calls if call.node not in context.cut_nodes]
    served_at_cut, served_at_others = served_share(at_cut), served_share(at_others)
    failures = Counter(call.status for call in at_cut if not call.served)
    assert served_at_others >= share, f"the others served {served_at_others:.2f}"
    assert served_at_cut >= share * served_at_others, (
        f"cut nodes served {served_at_cut:.2f} of {len(at_cut)}, the others"
        f" {served_at_others:.2f} of {len(at_others)}; statuses of the failures: {failures}"
    )


@then(
    "from {seconds:g} s after the cut began the cut nodes served at least {share:g}"
    " of what the others served"
)
def step_served_during(context, seconds, share):
    check_shares(context, context.cut_at + seconds, context.restored_at, share)


@then(
    "from {seconds:g} s after each cut began the cut nodes served at least {share:g}"
    " of what the others served"
)
def step_served_during_each(context, seconds, share):
    for cut_at, restored_at in context.cuts:
        check_shares(context, cut_at + seconds, restored_at, share)


@then(
    "from {seconds:g} s after its end the cut nodes served at least {share:g}"
    " of what the others served"
)
def step_served_after(context, seconds, share):
    check_shares(context, context.restored_at + seconds, time.monotonic(), share)


@then("no request ran twice")
def step_no_second_run(context):
    non_idempotent = ("/whole/", "/stream/")
    runs = Counter(
        arrival.attempt_id
        for arrival in context.deployment.arrivals()
        if arrival.ran and arrival.target.startswith(non_idempotent)
    )
    twice = [attempt_id for attempt_id, count in runs.items() if count > 1]
    assert not twice, f"{len(twice)} of {len(runs)} ran more than once: {twice[:5]}"


@then("no node has logged that an engine ended")
def step_no_end_logged(context):
    ended = context.deployment.logged("engine_ended")
    assert not ended, f"{len(ended)} lines, the first: {ended[0]}"


@when("a model engine crashes while it runs requests")
def step_crash(context):
    models = [e for e in context.deployment.engines.values() if e.service == "llm"]
    engine = max(models, key=lambda each: len(each.arrivals))
    engine.event_seconds = 0.3
    context.run(asyncio.sleep(0.5))
    # Otherwise the links would accept connections in the engine's place.
    for links in context.links.values():
        links.cut(CutKind.RESET, {engine.address})
    context.run(engine.crash())
    context.crashed = engine


@then("a node has logged that this engine ended")
def step_end_logged(context):
    ended = context.deployment.logged("engine_ended")
    assert any(row["engine"] == context.crashed.engine_id for row in ended), ended


@when(
    "the links of {count:d} nodes to all engines hang for {seconds:g} s, and all nodes are asked"
    " for addresses after {asked:g} s"
)
def step_ask_while_cut(context, count, seconds, asked):
    context.run(ask_while_cut(context, count, seconds, asked))


async def addresses(context):
    nodes = context.deployment.nodes
    answers = await asyncio.gather(*(context.deployment.resolve(node) for node in nodes))
    return [set(answer["Addresses"]) for answer in answers]


async def ask_while_cut(context, count, seconds, asked):
    cutting = asyncio.ensure_future(cut(context, count, CutKind.HANG, seconds))
    await asyncio.sleep(asked)
    context.addresses = await addresses(context)
    await cutting


@then("all nodes returned the {count:d} others alone")
def step_others_alone(context, count):
    nodes = context.deployment.nodes
    others = {node.address("Front") for node in nodes if node.name not in context.cut_nodes}
    assert len(others) == count
    assert all(answer == others for answer in context.addresses), context.addresses


@then("within {seconds:g} s after the cut all nodes return {count:d} addresses")
def step_all_named(context, seconds, count):
    async def all_named():
        return all(len(answer) == count for answer in await addresses(context))

    context.run(context.deployment.wait_until(all_named, seconds))


@when("the links of the leader to all engines hang, and {seconds:g} s later new weights are named")
def step_cut_leader(context, seconds):
    context.run(cut_leader(context, seconds))


async def cut_leader(context, seconds):
    deployment = context.deployment

    async def find_leader():
        leading = [node for node in deployment.nodes if '"liftrill:leading"' in node.log()]
        return leading[-1] if leading else None

    leader = await deployment.wait_until(find_leader)
    context.links[leader.name].cut(CutKind.HANG)
    await asyncio.sleep(seconds)
    deployment.set_weight_version(2)


@then("within {seconds:g} s all model engines have the new weights")
def step_new_weights(context, seconds):
    engines = [e for e in context.deployment.engines.values() if e.service == "llm"]

    async def all_loaded():
        return all(engine.weights["model-1"] == 2 for engine in engines)

    context.run(context.deployment.wait_until(all_loaded, seconds))


@when("a stream of {seconds:g} s of the first node runs through the second, which is stopped")
def step_stop_proxy(context, seconds):
    context.run(stop_proxy(context, seconds))


async def stop_proxy(context, seconds):
    deployment = context.deployment
    first, second = deployment.nodes
    (engine,) = [e for e in deployment.engines.values() if e.service == "llm"]
    engine.event_seconds = seconds / engine.events
    headers = prompt_headers("model-1") | {"X-Deadline-Ms": "9000"}
    context.stream = asyncio.ensure_future(deployment.call(first, "/stream/x", **headers))
    sessions = [
        await context.stack.enter_async_context(aiohttp.ClientSession())
        for _ in range(round(seconds / IDLE_STEP_S))
    ]
    await asyncio.gather(*(call_once(deployment, session, second) for session in sessions))
    second.signal(signal.SIGTERM)
    calls = [
        asyncio.ensure_future(call_once(deployment, session, second, IDLE_STEP_S * number))
        for number, session in enumerate(sessions)
    ]
    await second.process.wait()
    exited_at = time.monotonic()
    called = await asyncio.gather(*calls)
    context.unanswered_s = [exited_at - at for at, answered in called if not answered]


async def call_once(deployment, session, node, after_s=0.0):
    """Call a node after a time; return when it was called, and whether it answered."""
    await asyncio.sleep(after_s)
    called_at = time.monotonic()
    try:
        await deployment.call(node, "/whole/x", session=session)
    except aiohttp.ClientError:
        return called_at, False
    return called_at, True


@then("all calls on open connections are answered until {seconds:g} s before the exit")
def step_answered_until_exit(context, seconds):
    early = [f"{before_s:.2f}" for before_s in context.unanswered_s if before_s > seconds]
    assert not early, f"unanswered calls, s before the exit: {early}"
    status, _, _, complete = context.run(context.stream)
    assert (status, complete) == (SERVED, True), (status, complete)
