"""Steps on prompt parts that crash engines, with nodes as separate processes."""

import asyncio
import json
import os
import random
import re
import signal
import time
from dataclasses import dataclass, field

from behave import given, then, when

from features.standin.deployment import KEY, Deployment
from features.standin.part_callers import FIRST_PART, PartCallers
from features.steps.build_steps import tree
from features.steps.crash_request_steps import quarantine_keys, restart, run_command
from liftrill.errors import ResultCode
from liftrill.gateway.quarantine_records import QUARANTINE_KEY_PREFIX

# A crashed engine is replaced after this time, when its record is removed as well.
REPLACED_AFTER_S = 2.0
SOUND_BEFORE_S = 2.0
SENDERS, INTERVAL_S = 2, 0.8
# Requests with the part may still reach engines for this long after the first node's decision.
DECISION_KNOWN_S = 1.0
EVENTS, EVENT_S = 12, 0.03
OTHER_KEY = "key-of-tenant-2"
OTHER_TENANT = {"Name": "tenant-2", "ApiKeys": [OTHER_KEY], "Priority": 1}
EXTRA_ROUTE = ("again", "/again/", "streaming", "llm")
CRASH_PARTS = ("dead", "dead2")
# The duration of each scenario, for longer plays by hand.
SECONDS_VARIABLE = "LIFTRILL_CRASH_PART_SECONDS"
SEED_VARIABLE = "LIFTRILL_CRASH_PART_SEED"


@dataclass
class PartTestRun:
    """The engines and the callers of one scenario.

    Attributes:
        options: options of engines added from now on.
        crashes: by part, when an engine crashed on it.
        began_at: when the first request with a part that crashes engines was sent.
    """

    deployment: Deployment
    callers: PartCallers
    random: random.Random
    options: dict
    crashes: dict = field(default_factory=lambda: {part: [] for part in CRASH_PARTS})
    other_crashes: list = field(default_factory=list)
    began_at: float = 0.0
    engines: int = 0
    tasks: list = field(default_factory=list)


@given("{nodes:d} nodes and {engines:d} model engines that crash on a part of prompts")
def step_given(context, nodes, engines):
    seed = int(os.environ.get(SEED_VARIABLE, "1"))
    deployment = Deployment(context.directory)
    context.deployment = context.run(context.stack.enter_async_context(deployment))
    callers = PartCallers(deployment, seed)
    options = {"crashes_on_parts": frozenset(CRASH_PARTS)}
    context.test_run = PartTestRun(deployment, callers, random.Random(seed), options)
    context.engine_count, context.node_count = engines, nodes


@given("{count:d} more nodes of build {commit}")
def step_earlier_build(context, count, commit):
    context.earlier_nodes, context.earlier_root = count, tree(context, commit)


async def add_engine(test_run):
    test_run.engines += 1
    engine = await test_run.deployment.add_engine(
        f"llm-{test_run.engines}",
        "llm",
        weights={"model-1": 1},
        events=EVENTS,
        event_seconds=EVENT_S,
        **test_run.options,
    )
    test_run.tasks.append(asyncio.ensure_future(replace_when_crashed(test_run, engine)))


async def replace_when_crashed(test_run, engine):
    await engine.crashed.wait()
    parts = [arrival.parts for arrival in engine.arrivals if arrival.body == engine.crashed_on]
    crashed_on = [part for part in CRASH_PARTS if parts and part in parts[-1]]
    crashes = test_run.crashes[crashed_on[0]] if crashed_on else test_run.other_crashes
    crashes.append(engine.crashed_at)
    await asyncio.sleep(REPLACED_AFTER_S)
    test_run.deployment.store.remove(f"servers/{engine.engine_id}")
    await add_engine(test_run)


@given("engines that crash {seconds:g} s after the request began")
def step_crash_later(context, seconds):
    context.test_run.options["crashes_after_s"] = seconds


@given("engines that crash just after their first event")
def step_crash_after_event(context):
    context.test_run.options.update(crashes_after_event=True, crashes_after_s=0.02)


def play(context, seconds, start_crashing, beside=None):
    """Start the platform, and send both kinds of requests for a time, beside another task."""
    test_run = context.test_run
    seconds = float(os.environ.get(SECONDS_VARIABLE, seconds))

    async def run():
        await start_platform(context)
        test_run.callers.start_sound()
        await asyncio.sleep(SOUND_BEFORE_S)
        test_run.began_at = time.monotonic()
        start_crashing(test_run.callers)
        task = asyncio.ensure_future(beside(test_run)) if beside else None
        await asyncio.sleep(seconds)
        if task is not None:
            await task
        await test_run.callers.stop()

    context.run(run())


async def start_platform(context):
    test_run = context.test_run
    deployment = test_run.deployment
    for _ in range(context.engine_count):
        await add_engine(test_run)
    deployment.set_weight_version(1)
    deployment.configure(
        1,
        extra_routes=(EXTRA_ROUTE,),
        extra_tenants=(OTHER_TENANT,),
        backups=getattr(context, "backups", False),
    )
    for number in range(context.node_count):
        await deployment.add_node(f"node-{number + 1}")
    for number in range(getattr(context, "earlier_nodes", 0)):
        await deployment.add_node(f"earlier-{number + 1}", root=context.earlier_root)
    for node in deployment.nodes:
        await deployment.ready(node)

    async def all_known():
        found = await deployment.resolve(deployment.nodes[-1])
        return bool(found["Addresses"])

    await deployment.wait_until(all_known)
    await asyncio.sleep(1.0)


def sender(parts, interval_s=INTERVAL_S, **options):
    """Return a function that starts the senders of requests with such parts."""

    def start(callers):
        for _ in range(SENDERS):
            callers.start_crashing(CRASH_PARTS[0], parts, interval_s, **options)

    return start


THIRD_OF_FOUR = (FIRST_PART, "b1", "dead")
POSITIONS = {
    "third of four": THIRD_OF_FOUR,
    "second of four": (FIRST_PART, "dead", "b1"),
    "first of three": ("dead", "b1"),
}


@when("requests with the part {position} are sent for {seconds:g} s, beside sound ones")
def step_position(context, position, seconds):
    play(context, seconds, sender(POSITIONS[position]))


@when("each request with the part is sent {sends:d} times for {seconds:g} s, beside sound ones")
def step_repeated(context, sends, seconds):
    play(context, seconds, sender(THIRD_OF_FOUR, sends=sends))


@when("requests with one of two such parts are sent for {seconds:g} s, beside sound ones")
def step_two_parts(context, seconds):
    def start(callers):
        for part in CRASH_PARTS:
            callers.start_crashing(part, (FIRST_PART, "b1", part), INTERVAL_S)

    play(context, seconds, start)


@when("requests with the part are sent on two routes for {seconds:g} s, beside sound ones")
def step_two_routes(context, seconds):
    play(context, seconds, sender(THIRD_OF_FOUR, routes=("stream", "again")))


@when("two tenants send requests with the part for {seconds:g} s, beside sound ones")
def step_two_tenants(context, seconds):
    play(context, seconds, sender(THIRD_OF_FOUR, keys=(KEY, OTHER_KEY)))


@when("requests with the part are sent as resumable streams for {seconds:g} s, beside sound ones")
def step_resumable(context, seconds):
    play(context, seconds, sender(THIRD_OF_FOUR, routes=("resume",)))


@when(
    "requests with the part are sent while engines hold copies for {seconds:g} s, beside sound ones"
)
def step_copies(context, seconds):
    context.backups = True
    play(context, seconds, sender(THIRD_OF_FOUR))


@when("a request with the part is sent every {interval_s:g} s for {seconds:g} s, beside sound ones")
def step_rare(context, interval_s, seconds):
    play(context, seconds, sender(THIRD_OF_FOUR, interval_s=interval_s * SENDERS))


@when("{rate:d} requests with the part a second are sent for {seconds:g} s, beside sound ones")
def step_frequent(context, rate, seconds):
    play(context, seconds, sender(THIRD_OF_FOUR, interval_s=SENDERS / rate))


@when("requests with the part are sent for {seconds:g} s, beside sound ones, while {trouble}")
def step_trouble(context, seconds, trouble):
    play(context, seconds, sender(THIRD_OF_FOUR), TROUBLES[trouble])


@when("a part of sound prompts begins to crash engines, and its callers go on for {seconds:g} s")
def step_turns(context, seconds):
    test_run = context.test_run
    test_run.options["crashes_on_parts"] = frozenset()

    async def run():
        await start_platform(context)
        test_run.callers.start_sound()
        test_run.callers.start_crashing("dead", THIRD_OF_FOUR, INTERVAL_S)
        await asyncio.sleep(SOUND_BEFORE_S)
        test_run.began_at = time.monotonic()
        test_run.options["crashes_on_parts"] = frozenset(CRASH_PARTS)
        for engine in test_run.deployment.engines.values():
            engine.crashes_on_parts = frozenset(CRASH_PARTS)
        await asyncio.sleep(seconds)
        await test_run.callers.stop()

    context.run(run())


async def crash_others(test_run):
    for _ in range(8):
        await asyncio.sleep(1.0)
        engines = test_run.deployment.engines.values()
        running = [engine for engine in engines if not engine.crashed.is_set()]
        await test_run.random.choice(running).crash()


async def restart_one_by_one(test_run):
    await asyncio.sleep(1.5)
    for node in list(test_run.deployment.nodes):
        await restart(test_run, [node])


async def restart_all(test_run):
    await asyncio.sleep(6.0)
    await restart(test_run, test_run.deployment.nodes)


async def silence_store(test_run):
    test_run.deployment.store.fault = "down"
    await asyncio.sleep(4.0)
    test_run.deployment.store.fault = ""


async def suspend_two(test_run):
    suspended = test_run.deployment.nodes[:2]
    test_run.callers.nodes = test_run.deployment.nodes[2:]
    for node in suspended:
        node.signal(signal.SIGSTOP)
    await asyncio.sleep(4.0)
    for node in suspended:
        node.signal(signal.SIGCONT)
    test_run.callers.nodes = test_run.deployment.nodes


TROUBLES = {
    "another engine crashes every second": crash_others,
    "the nodes restart one by one": restart_one_by_one,
    "all nodes restart after 6 s": restart_all,
    "the store is silent for 4 s": silence_store,
    "two nodes are suspended for 4 s": suspend_two,
}


@when(
    "a third of the engines crashes every {shortest:g} to {longest:g} s for {seconds:g} s, "
    "beside popular, rare and new parts"
)
def step_random_crashes(context, shortest, longest, seconds):
    test_run = context.test_run

    async def crash_third():
        while True:
            await asyncio.sleep(test_run.random.uniform(shortest, longest))
            engines = test_run.deployment.engines.values()
            running = [engine for engine in engines if not engine.crashed.is_set()]
            for engine in test_run.random.sample(running, max(1, len(running) // 3)):
                await engine.crash()

    async def run():
        await start_platform(context)
        test_run.callers.start_varied()
        task = asyncio.ensure_future(crash_third())
        await asyncio.sleep(float(os.environ.get(SECONDS_VARIABLE, seconds)))
        task.cancel()
        await test_run.callers.stop()

    context.run(run())


@then("no request was refused for its parts")
def step_none_refused(context):
    test_run = context.test_run
    print(describe(test_run))
    assert len(test_run.other_crashes) > 5, describe(test_run)
    assert not test_run.callers.refused_sound(), describe(test_run)


@then("the command lists the part with its id, its tenant and the engines that it crashed")
def step_listed(context):
    (key,) = quarantine_keys(context.test_run)
    code, output = run_command(context, "show", context.deployment.store.address)
    crashed = {e.engine_id for e in context.deployment.engines.values() if e.crashed.is_set()}
    assert code == 0 and output.startswith(key.removeprefix(QUARANTINE_KEY_PREFIX)), output
    assert "part dead" in output and "tenant tenant-1" in output, output
    assert set(re.findall(r"llm-\d+", output)) <= crashed, (output, crashed)


@when("the command releases the part")
def step_release(context):
    (key,) = quarantine_keys(context.test_run)
    fingerprint = key.removeprefix(QUARANTINE_KEY_PREFIX)
    code, output = run_command(context, "release", context.deployment.store.address, fingerprint)
    assert code == 0, output


@then("the next request with it reaches an engine")
def step_reaches(context):
    test_run = context.test_run
    before = len(part_arrivals(test_run, "dead"))

    async def has_reached():
        await test_run.callers.call("dead", THIRD_OF_FOUR)
        return len(part_arrivals(test_run, "dead")) > before

    context.run(test_run.deployment.wait_until(has_reached, 3.0))


def part_arrivals(test_run, part):
    return [a for a in test_run.deployment.arrivals() if part in a.parts]


def decided_at(test_run):
    """Return when the first node put a part into quarantine, on this process's steady clock."""
    offset = time.time() - time.monotonic()
    lines = test_run.deployment.logged("request_quarantined")
    return min((line["timestamp"] - offset for line in lines), default=None)


def describe(test_run):
    """Return the figures of a play as one line."""
    decided = decided_at(test_run)
    crashes = {part: len(times) for part, times in test_run.crashes.items() if times}
    late = [
        part_arrival.at - decided
        for part in CRASH_PARTS
        for part_arrival in part_arrivals(test_run, part)
        if decided is not None and part_arrival.at > decided
    ]
    share_before, _ = test_run.callers.share_begun(0.0, test_run.began_at)
    share_after, sent = test_run.callers.share_begun(test_run.began_at, float("inf"))
    figures = {
        "crashes": crashes,
        "crashes_at_s": {
            part: [round(at - test_run.began_at, 2) for at in times]
            for part, times in test_run.crashes.items()
            if times
        },
        "decided_s": decided and round(decided - test_run.began_at, 2),
        "other": len(test_run.other_crashes),
        "sent_after_decision_s": [round(age, 2) for age in late],
        "begun_before": round(share_before, 4),
        "begun_after": round(share_after, 4),
        "sound": sent,
        "sound_refused": len(test_run.callers.refused_sound()),
        "load": round(os.getloadavg()[0], 1),
    }
    return json.dumps(figures)


@then("at most {count:d} engines have crashed on each part")
def step_crashes(context, count):
    test_run = context.test_run
    print(describe(test_run))
    crashes = [len(times) for times in test_run.crashes.values() if times]
    assert crashes and max(crashes) <= count, describe(test_run)


@then("at most {count:d} engines have crashed on it after the first second")
def step_crashes_later(context, count):
    test_run = context.test_run
    print(describe(test_run))
    crashes = test_run.crashes[CRASH_PARTS[0]]
    later = [at for at in crashes if at > test_run.began_at + 1.0]
    assert crashes and len(later) <= count, describe(test_run)


@then("none was sent later than {seconds:g} s after the decision")
def step_none_late(context, seconds):
    test_run = context.test_run
    decided = decided_at(test_run)
    assert decided is not None, describe(test_run)
    arrivals = [a for part in CRASH_PARTS for a in part_arrivals(test_run, part)]
    late = [a for a in arrivals if a.at > decided + seconds]
    assert not late, describe(test_run)


@then("no sound request was refused for its parts, and {share:g} of them began as before")
def step_sound(context, share):
    test_run = context.test_run
    callers = test_run.callers
    before, _ = callers.share_begun(0.0, test_run.began_at)
    after, sent = callers.share_begun(test_run.began_at, float("inf"))
    assert not callers.refused_sound(), describe(test_run)
    assert sent > 100 and after >= share * before, describe(test_run)


def is_earlier(name):
    return name.startswith("earlier")


@then("the nodes of this build sent none later than {seconds:g} s after the decision")
def step_new_sent_none(context, seconds):
    test_run = context.test_run
    print(describe(test_run))
    decided = decided_at(test_run)
    assert decided is not None, describe(test_run)
    since = decided + seconds
    reached = [
        answer
        for answer in test_run.callers.answers
        if answer.part and answer.sent_at > since and not is_earlier(answer.node)
    ]
    refused = ResultCode.REQUEST_QUARANTINED.number
    assert reached and all(answer.code == refused for answer in reached), reached


@then("no sound request was refused for its parts, and the earlier nodes run")
def step_earlier_run(context):
    test_run = context.test_run
    assert not test_run.callers.refused_sound(), describe(test_run)
    earlier = [node for node in test_run.deployment.nodes if is_earlier(node.name)]
    assert earlier and all(node.process.returncode is None for node in earlier)
    assert not any("Traceback" in node.log() for node in earlier)
