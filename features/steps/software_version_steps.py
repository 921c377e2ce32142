"""Steps on engines of several software versions, with nodes as separate processes."""

import asyncio
import statistics
import time
from collections import Counter

from behave import given, then, when

from features.standin.deployment import Deployment
from features.standin.earlier_build import extract_tree
from features.standin.stream_callers import ENGINE_LOST, UNAVAILABLE, StreamCallers
from liftrill.gateway.streams.version_record import VERSIONS_KEY

EVENTS, EVENT_S = 24, 0.05
CALL_SPACING_S = 0.02
# An engine that drains takes no requests of nodes that know it, and ends its streams meanwhile.
DRAIN_S = 2.0
MIN_SERVING = 2
REFUSALS = 5
OTHER_KEY = "key-of-tenant-2"
EXTRA_ROUTES = (("again", "/again/", "streaming", "llm"),)
EXTRA_TENANTS = ({"Name": "tenant-2", "ApiKeys": [OTHER_KEY], "Priority": 1},)


@given(
    "a stand-in platform whose model engines have {older:d} of version {old} "
    "and {newer:d} of version {new}"
)
def step_platform(context, older, old, newer, new):
    context.versions = (old, new)
    deployment = Deployment(context.directory)
    context.deployment = context.run(context.stack.enter_async_context(deployment))
    context.run(add_engines(deployment, {old: older, new: newer}))
    deployment.set_weight_version(1)
    deployment.configure(
        1,
        backups=True,
        extra_routes=EXTRA_ROUTES,
        resumable=("resume", "again"),
        extra_tenants=EXTRA_TENANTS,
    )
    context.callers = StreamCallers(deployment)


async def add_engines(deployment, counts, **options):
    for version, count in counts.items():
        for number in range(count):
            await add_engine(deployment, f"{version}-{number + 1}", version, **options)


async def add_engine(deployment, name, version, **options):
    return await deployment.add_engine(
        name,
        "llm",
        weights={"model-1": 1},
        events=EVENTS,
        event_seconds=EVENT_S,
        software_version=version,
        names_version=True,
        **options,
    )


@given("{count:d} nodes before them")
def step_nodes(context, count):
    context.run(add_nodes(context.deployment, count))


async def add_nodes(deployment, count):
    # They tell each other where streams began, from the first one on.
    await deployment.add_nodes(count)
    await asyncio.sleep(1.0)


def of_version(deployment, version):
    return [
        engine
        for engine in deployment.engines.values()
        if engine.software_version == version and not engine.crashed.is_set()
    ]


async def call_spaced(context, count, **options):
    """Start so many streams, one after the other, and return their tasks."""
    tasks = []
    for _ in range(count):
        tasks.append(asyncio.ensure_future(context.callers.stream(**options)))
        await asyncio.sleep(CALL_SPACING_S)
    return tasks


async def crash_some(context, count, crashes, **options):
    tasks = await call_spaced(context, count, **options)
    for version in context.versions:
        for engine in of_version(context.deployment, version)[:crashes]:
            await engine.crash()
    await asyncio.gather(*tasks)


@when("{count:d} callers stream and half of the engines of each version crash under way")
def step_crash(context, count):
    context.run(crash_some(context, count, crashes=2))


@when("{count:d} callers stream on a route that may not be resumed, and an engine of each crashes")
def step_crash_with_copies(context, count):
    context.run(crash_some(context, count, crashes=1, route="stream"))


@when("{count:d} callers stream, and leave and resume at another node {leaves:d} times")
def step_leave(context, count, leaves):
    async def leave():
        await asyncio.gather(*await call_spaced(context, count, leaves=leaves))

    context.run(leave())


@when("{count:d} callers stream at the first node, which is killed once all have an event")
def step_kill(context, count):
    context.run(kill_in_turn(context, count, context.deployment.nodes[:1]))


@when(
    "{count:d} callers stream at the first node, which is killed, "
    "and the second one {seconds:g} s later"
)
def step_kill_two(context, count, seconds):
    context.run(kill_in_turn(context, count, context.deployment.nodes[:2], seconds))


async def kill_in_turn(context, count, nodes, spacing_s=0.0):
    """Kill nodes one after the other, once all streams at the first have an event."""
    streams = [context.callers.stream(node=nodes[0], persistent=True) for _ in range(count)]
    tasks = [asyncio.ensure_future(stream) for stream in streams]

    async def all_began():
        streams = context.callers.streams
        return len(streams) == count and all(each.first_attempt_id for each in streams)

    await context.deployment.wait_until(all_began)
    for number, node in enumerate(nodes):
        await asyncio.sleep(spacing_s * bool(number))
        await node.stop()
    await asyncio.gather(*tasks)


@when("callers stream, leave and resume while engines of {new} replace those of {old}")
def step_upgrade(context, old, new):
    async def upgrade():
        calling = asyncio.ensure_future(call_without_end(context))
        for engine in of_version(context.deployment, old):
            left = [e for e in of_version(context.deployment, old) if not e.drains]
            if len(left) == MIN_SERVING:
                context.scarce_at = time.monotonic()
            await replace(context, engine, new)
        calling.cancel()
        await asyncio.gather(*context.tasks)

    context.run(upgrade())


async def call_without_end(context):
    context.tasks = []
    while True:
        context.tasks.append(asyncio.ensure_future(context.callers.stream(leaves=2)))
        await asyncio.sleep(CALL_SPACING_S)


async def replace(context, engine, version):
    """Start an engine of another version, and drain and end an earlier one."""
    deployment = context.deployment
    await add_engine(deployment, f"{version}-for-{engine.engine_id}", version)
    engine.drains = True
    deployment.record(engine, "draining")
    await asyncio.sleep(DRAIN_S)
    deployment.store.remove(f"servers/{engine.engine_id}")
    await engine.stop()
    await asyncio.sleep(0.3)


@when("{count:d} callers stream, leave and resume, and all engines of {version} crash under way")
def step_crash_version(context, count, version):
    async def crash():
        tasks = await call_spaced(context, count // 2, leaves=2, persistent=True)
        for engine in of_version(context.deployment, version):
            await engine.crash()
            context.deployment.store.remove(f"servers/{engine.engine_id}")
        context.crashed_at = time.monotonic()
        tasks += await call_spaced(context, count - count // 2, leaves=2, persistent=True)
        await asyncio.gather(*tasks)

    context.run(crash())


@when(
    "{count:d} callers stream, {engines:d} engines of {version} start, "
    "and the callers leave and resume {leaves:d} times"
)
def step_second_version(context, count, engines, version, leaves):
    async def start():
        context.tasks = await call_spaced(context, count, leaves=leaves)
        await add_engines(context.deployment, {version: engines})
        await known_everywhere(context.deployment, version, engines)

    context.run(start())


async def known_everywhere(deployment, version, count):
    """Wait until all nodes know the engines of a version, and the store has recorded it."""
    counted = f'liftrill_engine_versions{{service="llm",version="{version}"}} {count}.0'

    async def is_known():
        pages = [await deployment.metrics(node) for node in deployment.nodes]
        recorded = deployment.store.value(VERSIONS_KEY) or b""
        return version.encode() in recorded and all(counted in p.splitlines() for p in pages)

    await deployment.wait_until(is_known)


@when("{count:d} new callers stream meanwhile")
def step_new_callers(context, count):
    async def stream():
        known = len(context.callers.streams)
        context.tasks += await call_spaced(context, count)
        await asyncio.gather(*context.tasks)
        context.new_streams = context.callers.streams[known:]

    context.run(stream())


@when("the store falls silent")
def step_silent(context):
    context.deployment.store.fault = "silent"


@when('a caller resumes a stream that "{named}" began')
@when('a caller resumes a stream that "" began')
def step_resume_other(context, named=""):
    context.answers, context.times_s = context.run(resume_other(context, named))


async def resume_other(context, named):
    callers, deployment = context.callers, context.deployment
    stream = await callers.stream()
    began_by = stream.first_attempt_id
    headers = {"Last-Event-Id": "3", "X-Attempt-Id": "resumption"}
    options = {}
    if named == "a request of another tenant":
        options["key"] = OTHER_KEY
    named_ids = {
        "nobody": "0123456789abcdef",
        "the resumption itself": "resumption",
        "a request with an id of 6,000 bytes": "a" * 6_000,
        "a request of another tenant": began_by,
        "a request on another route": began_by,
    }
    if named:
        headers["Resumes"] = named_ids[named]
    route = "again" if named == "a request on another route" else "resume"
    answers, times_s = [], []
    for _ in range(REFUSALS):
        at = time.monotonic()
        answers.append(
            await deployment.call(
                deployment.nodes[0], f"/{route}/x", model="model-1", **options, **headers
            )
        )
        times_s.append(time.monotonic() - at)
    return answers, times_s


@then("it is refused with {status:d}, a time to come back and result {code:d}")
def step_refused(context, status, code):
    for found_status, headers, body, _ in context.answers:
        assert found_status == status and float(headers["Retry-After"]) > 0, headers
        assert str(code) in body.decode(), body


@then("the median of {count:d} such refusals takes at most {limit_ms:d} ms")
def step_median(context, count, limit_ms):
    assert len(context.times_s) == count, context.times_s
    assert statistics.median(context.times_s) * 1000 <= limit_ms, context.times_s


@when(
    "{count:d} callers stream at the first node, leave, and resume at a node that has just started"
)
def step_resume_at_new_node(context, count):
    async def resume():
        deployment = context.deployment
        node = await deployment.add_node("node-new")
        first = deployment.nodes[0]
        callers = context.callers
        callers.nodes = lambda: [node]
        await deployment.ready(node)
        await asyncio.gather(*(callers.stream(leaves=1, node=first) for _ in range(count)))

    context.run(resume())


@given("2 nodes before them, the second of build {commit}")
def step_nodes_of_two_builds(context, commit):
    earlier = extract_tree(commit, context.directory)
    if earlier is None:
        context.scenario.skip(f"the checkout has no commit {commit}")
        return

    async def add():
        await context.deployment.add_node("node-1")
        await context.deployment.add_node("node-2", root=earlier)
        for node in context.deployment.nodes:
            await context.deployment.ready(node)
        await context.deployment.know_each_other()
        await asyncio.sleep(1.0)

    context.run(add())


@when("{count:d} callers stream at the second node, leave, and resume at the first")
def step_resume_from_earlier_build(context, count):
    async def resume():
        first, second = context.deployment.nodes
        context.callers.nodes = lambda: [first]
        streams = (context.callers.stream(leaves=1, node=second) for _ in range(count))
        await asyncio.gather(*streams)

    context.run(resume())


@then("no stream holds events of two versions")
def step_no_mixed(context):
    mixed = context.callers.mixed()
    resumed = sum(bool(stream.resumptions) for stream in context.callers.streams)
    total = len(context.callers.streams)
    assert not mixed, f"{len(mixed)} of {total} streams are mixed, {resumed} were resumed"


@then("at least {share:g} of the streams are complete")
def step_complete(context, share):
    streams = context.callers.streams
    complete = sum(stream.complete for stream in streams)
    assert complete >= share * len(streams), f"{complete} of {len(streams)}"


@then("streams were resumed at least {share:g} as often as new ones began")
def step_resumed(context, share):
    resumed_share, count = context.callers.resumed_share()
    begun_share = context.callers.begun_share()
    assert count, "no stream was resumed"
    figures = (resumed_share, begun_share, count)
    assert resumed_share >= share * begun_share, (*figures, *how_resumptions_ended(context))


def how_resumptions_ended(context):
    """Return what callers of resumed streams got, and why the nodes decided so."""
    resumed = [each for stream in context.callers.streams for each in stream.resumptions]
    got = Counter((e.node, e.status, e.connected, e.retry_after_s, e.events > 0) for e in resumed)
    decided = Counter(
        (row["node"], row["source"], tuple(row["known_versions"]))
        for row in context.deployment.logged("stream_resumed")
    )
    ids = {each.request_id for each in resumed}
    outcomes = Counter(
        (row["node"], row["outcome"], row.get("code"))
        for row in context.deployment.logged("request")
        if row["request"] in ids
    )
    return got, decided, outcomes


@then(
    "while two engines of {version} served, "
    "streams were resumed at least {share:g} as often as begun"
)
def step_resumed_while_two(context, version, share):
    resumed_share, count = context.callers.resumed_share(until=context.scarce_at)
    assert count, "no stream was resumed"
    assert resumed_share >= share * context.callers.begun_share(), (resumed_share, count)


@then("each resumption that could not go on was refused with a time to come back")
def step_refused_truly(context):
    check_refused(failed_resumptions(context))


@then(
    "each resumption that could not go on was refused with a time to come back, "
    "or lost with its engine"
)
def step_refused_or_lost(context):
    lost = lost_with_engines(context)
    check_refused(
        each
        for each in failed_resumptions(context)
        if each.status != ENGINE_LOST or each.request_id not in lost
    )


def check_refused(resumptions):
    resumptions = list(resumptions)
    assert resumptions, "every stream could go on"
    others = [e for e in resumptions if e.status != UNAVAILABLE or not e.retry_after_s > 0]
    assert not others, f"{len(others)} of {len(resumptions)}, the first ones: {others[:3]}"


def failed_resumptions(context):
    resumed = [each for stream in context.callers.streams for each in stream.resumptions]
    return [each for each in resumed if not each.events]


def lost_with_engines(context):
    """Return the ids of requests that nodes sent to an engine which crashed before it answered.

    These may have run, so that they must not be refused as if they had not.
    """
    crashed = {e.engine_id for e in context.deployment.engines.values() if e.crashed.is_set()}
    return {
        row["request"]
        for row in context.deployment.logged("attempt_failed")
        if row["engine"] in crashed and row["outcome"].startswith("broken")
    }


@then(
    "in the first {seconds:g} s after the crash, at least {share:g} of the refusals "
    "without an attempt took nodes at most {limit_ms:d} ms"
)
def step_refused_early(context, seconds, share, limit_ms):
    since = context.crashed_at
    first = [e for e in failed_resumptions(context) if since < e.at < since + seconds]
    times_ms = unsent_refusals_ms(context, {each.request_id for each in first})
    in_time = sum(time_ms <= limit_ms for time_ms in times_ms)
    assert times_ms and in_time >= share * len(times_ms), times_ms


def unsent_refusals_ms(context, request_ids):
    """Return how long nodes took to refuse requests that they sent to no engine, by their logs.

    The time for which a node asks others for the origin of a stream does not count.
    """
    logged = context.deployment.logged
    asked_ms = {row["request"]: row["asked_ms"] for row in logged("stream_resumed")}
    return [
        row["milliseconds"] - asked_ms.get(row["request"], 0.0)
        for row in logged("request")
        if row["request"] in request_ids and row["outcome"] == "not_run" and not row["attempts"]
    ]


@then("from {seconds:g} s after the crash the median refusal took at most {limit_ms:d} ms")
def step_refused_at_once(context, seconds, limit_ms):
    since = context.crashed_at + seconds
    times_s = [each.answered_s for each in failed_resumptions(context) if each.at > since]
    assert statistics.median(times_s) * 1000 <= limit_ms, times_s


@then("at least {share:g} of the new streams began")
def step_new_began(context, share):
    first = [stream.attempts[0] for stream in context.callers.streams]
    new = [each for each in first if each.at > context.crashed_at]
    assert new and sum(each.events > 0 for each in new) >= share * len(new), len(new)


@then("no stream of the new callers began at {version}")
def step_none_began_at(context, version):
    began = [stream for stream in context.new_streams if version in stream.versions]
    assert not began, f"{len(began)} of {len(context.new_streams)}"
