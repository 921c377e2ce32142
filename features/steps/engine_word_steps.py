"""Steps on what is kept of what engines say of themselves in their answers."""

import json
import sys
from pathlib import Path

from behave import given, then, when
from multidict import CIMultiDict

from features.gateway_support import engine_record, opaque_request
from liftrill import clock
from liftrill.coordination.range_store import StoredItem
from liftrill.coordination.store_mirror import MirrorChange
from liftrill.gateway.delivery import Unavailable
from liftrill.gateway.delivery_events import EngineAddress, EngineChoice
from liftrill.gateway.engines.engine_condition import EngineCondition, EngineSignal
from liftrill.gateway.engines.engine_table import EngineNotice, EngineTable
from liftrill.gateway.peers.notice_codec import datagrams_from_update, update_from_message
from liftrill.gateway.records import WeightTarget
from liftrill.gateway.weight_rollout import GiveOrder
from liftrill.node.membership_codec import parse_message

sys.path.append(str(Path(__file__).resolve().parent.parent.parent / "platform"))
from engines import parse_engine_signal

SERVED = 200


# What is remembered


def say(context, engine, **word):
    return context.node.engines.apply_signal(EngineSignal(engine, "request", **word), clock.now_s())


@when("{name} says in an answer that it leaves")
def step_says(context, name):
    context.engine = context.node.engines.get(name).identity
    assert say(context, context.engine, leaving=True)


def without_record(context, gap):
    """Take the record of a away, in an outage or not."""
    change = MirrorChange(written=(), removed=("servers/a",), gap=gap)
    context.node.beliefs.apply(change, clock.now_s() - 10.0 if gap else clock.now_s())


@when("its record is written again")
def step_again(context):
    context.node.write("a", context.bodies["a"])


@when("its record goes and comes back")
def step_goes(context):
    without_record(context, gap=False)
    assert context.node.engines.get("a") is None
    context.node.write("a", context.bodies["a"])


@when("its record goes while the store is away and back")
def step_lapses(context):
    without_record(context, gap=True)
    context.node.beliefs.expire(clock.now_s() + 2.0)
    assert context.node.engines.get("a") is None
    context.node.write("a", context.bodies["a"])


@when("a reader's copy is taken over whole")
def step_snapshot(context):
    without_record(context, gap=True)
    context.node.beliefs.expire(clock.now_s() + 2.0)
    body = json.dumps(context.bodies["a"]).encode()
    item = StoredItem("servers/a", body, context.node.revision + 1)
    change = MirrorChange(written=(item,), removed=(), gap=True)
    context.node.beliefs.apply(change, clock.now_s())


@when("its record is spoiled and good again")
def step_spoiled(context):
    context.node.write("a", b"[]")
    context.node.write("a", context.bodies["a"])


@when("its record comes back with an older revision")
def step_older(context):
    without_record(context, gap=False)
    context.node.write("a", context.bodies["a"], revision=1)


@then("no run goes on at a, nor is a copy kept there")
def step_no_run(context):
    selector, request, now = context.node.selector, opaque_request(), clock.now_s()
    b = context.node.engines.get("b").identity
    broken = EngineChoice("b", b.address, 1, number=b.number, backup=context.engine)
    assert selector.continue_at_backup(request, broken, now) is None
    broken = EngineChoice("a", context.engine.address, 1, number=context.engine.number, backup=b)
    going_on = selector.continue_at_backup(request, broken, now)
    assert going_on.engine_id == "b" and going_on.backup is None, going_on


@when("{name} is seen to have version {version:d} of the weights")
def step_seen_weights(context, name, version):
    context.node.engines.get(name).learn_weights("model", version)


@then("{name} is asked for version {version:d} of the weights")
def step_asked_for(context, name, version):
    others = frozenset(("a", "b")) - {name}
    choice = context.node.selector.choose(opaque_request(), others, 0.0)
    assert (choice.engine_id, choice.weight_version) == (name, version), choice


@when("the former {name} says in a late answer that it leaves")
def step_former(context, name):
    assert not say(context, context.engine, leaving=True)


@when("another engine at the address of {name} says that it leaves")
def step_other(context, name):
    at = context.node.engines.get(name).identity
    say(context, EngineAddress("another", at.address), leaving=True)


@when("the record of a goes, a peer tells that it leaves, and the record is back")
def step_peer_tells(context):
    engine = context.node.engines.get("a").identity
    without_record(context, gap=False)
    assert say(context, engine, leaving=True)
    context.node.write("a", context.bodies["a"])


@when("{count:d} other engines say that they leave, and a says so")
def step_many(context, count):
    for number in range(1, count + 1):
        say(context, EngineAddress(f"other-{number}", "10.0.0.9:1", number), leaving=True)
    say(context, context.node.engines.get("a").identity, leaving=True)


@then("{count:d} are remembered")
def step_bounded(context, count):
    assert len(context.node.engines.conditions) == count


@when("{seconds:d} s go by")
def step_pass(context, seconds):
    engines = context.node.engines
    in_records = (view.condition for view in engines)
    engines.conditions.expire(in_records, clock.now_s() + seconds)


@then("the word of a alone is remembered")
def step_one(context):
    engines = context.node.engines
    assert len(engines.conditions) == 1
    assert engines.conditions.of(engines.get("a").identity).leaving


@given("an engine whose answers have {headers}")
def step_headers(context, headers):
    context.status, context.headers = SERVED, CIMultiDict()
    for header in headers.split(", ") if "Wed" not in headers else [headers[:3], headers[5:]]:
        name, separator, value = header.partition(":")
        if separator:
            context.headers.add(name, value.strip())
        else:
            context.status = int(name)


@then("it is not said to leave, and wants {seconds:g} s of rest")
def step_no_word(context, seconds):
    word = parse_engine_signal(
        "request", EngineAddress("a", "10.0.0.1:1", 1), context.status, context.headers
    )
    assert (word is None) == (seconds == 0), word
    assert word is None or (not word.leaving and word.backoff_s == seconds), word


# Rest


def ask_for_rest(context, name, backoff_s, at_s=0.0):
    at = context.node.engines.get(name).identity
    context.node.engines.apply_signal(EngineSignal(at, "request", 503, backoff_s=backoff_s), at_s)


def used_after(context, seconds):
    """Return the engines that requests go to after a time."""
    request, found = opaque_request(received_at=seconds), set()
    while True:
        choice = context.node.selector.choose(request, frozenset(found), seconds)
        if not isinstance(choice, EngineChoice):
            return found
        found.add(choice.engine_id)


@when("{name} asks for {seconds:g} s of rest, and for {shorter:g} s a second later")
def step_rest_twice(context, name, seconds, shorter):
    ask_for_rest(context, name, seconds)
    ask_for_rest(context, name, shorter, at_s=1.0)


@when("{name} asks for {seconds:g} s of rest, and its record goes and comes back")
def step_rest_record(context, name, seconds):
    ask_for_rest(context, name, seconds)
    step_goes(context)


@when("{name} asks for {seconds:g} s of rest, and is said to have loaded its weights")
def step_rest_notice(context, name, seconds):
    ask_for_rest(context, name, seconds)
    for sequence, loading in enumerate((True, False), 1):
        notice = EngineNotice(name, "model", 1, loading, sequence)
        context.node.engines.apply_notice(notice, 1.0)


@when("{name} asks for {seconds:g} s of rest, and is seen to have newer weights")
def step_rest_weights(context, name, seconds):
    ask_for_rest(context, name, seconds)
    context.node.engines.get(name).learn_weights("model", 2)


@when("{name} asks for {seconds:g} s of rest, and an answer comes to what it had before")
def step_rest_answer(context, name, seconds):
    ask_for_rest(context, name, seconds)
    context.node.engines.get(name).condition.note_answered(-1.0)


@when("{name} asks for {seconds:g} s of rest, and gets a request after {later:g} s")
def step_rest_trial(context, name, seconds, later):
    ask_for_rest(context, name, seconds)
    context.node.engines.get(name).condition.note_sent(later)


@when("it has answered a request that was sent after {seconds:g} s")
def step_trial_answered(context, seconds):
    context.node.engines.get("a").condition.note_answered(seconds)


@when("a asks for {first:g} s of rest, and b for {second:g} s of rest")
def step_both_rest(context, first, second):
    ask_for_rest(context, "a", first)
    ask_for_rest(context, "b", second)


@when(
    "version {version:d} of the weights is named, and a asks for {first:g} s of rest,"
    " and b for {second:g} s of rest"
)
def step_named(context, version, first, second):
    context.node.targets.add(WeightTarget("model", version, 9), 0.0, age_known=True, now=0.0)
    step_both_rest(context, first, second)


@then("b alone is in use {when} {first:g} s, and a and b after {second:g} s")
def step_used(context, when, first, second):
    assert used_after(context, first) == {"b"}, used_after(context, first)
    assert used_after(context, second) == {"a", "b"}, used_after(context, second)


@then("a and b are in use after {seconds:g} s, whatever it gets")
def step_used_freely(context, seconds):
    context.node.engines.get("a").condition.note_sent(seconds)
    assert used_after(context, seconds) == {"a", "b"}


def choice_after(context, seconds):
    request = opaque_request(received_at=seconds)
    return context.node.selector.choose(request, frozenset(), seconds)


@then("a request is refused after {seconds:g} s, with {left:g} s until the first rest is over")
def step_refused(context, seconds, left):
    assert choice_after(context, seconds) is Unavailable.PAUSED
    backoff_s = context.node.selector.capacity_wait_s(opaque_request(), seconds)
    assert abs(backoff_s - left) < 0.001, backoff_s


@when("both are said to load weights for {seconds:g} s")
def step_both_load(context, seconds):
    for name in ("a", "b"):
        context.node.engines.apply_notice(EngineNotice(name, "model", 2, True, 1), seconds)


@then("a request that has waited for {seconds:g} s finds none ready")
def step_waited_in_vain(context, seconds):
    choice = context.node.selector.choose(opaque_request(), frozenset(), seconds)
    assert choice is Unavailable.NONE_READY, choice


@then("a request waits after {seconds:g} s")
def step_waits(context, seconds):
    assert choice_after(context, seconds) is Unavailable.NONE_READY


@when("the rollout hears of version 2 of the weights")
def step_version_named(context):
    context.node.targets.add(WeightTarget("model", 2, 9), 0.0, age_known=True, now=0.0)


@when("a says that it leaves before its load is announced, and b after it")
def step_leaves_around_load(context):
    say(context, context.node.engines.get("a").identity, leaving=True)
    announced = due_at(context, 0.1)
    assert [each.engine_id for each in announced] == ["b"], announced
    say(context, context.node.engines.get("b").identity, leaving=True)


def due_at(context, now):
    return context.node.rollout.due(list(context.node.engines.in_use()), now)


@then("neither is ordered to load, nor asked whether it has")
def step_not_ordered(context):
    due = [each for tick in range(2, 100) for each in due_at(context, tick / 10)]
    assert not due, due


@then("both are ordered to load, a after {first:g} s and b after {second:g} s")
def step_ordered(context, first, second):
    ordered = {}
    for tick in range(1, 100):
        engines = list(context.node.engines.in_use())
        for instruction in context.node.rollout.due(engines, tick / 10):
            if isinstance(instruction, GiveOrder):
                ordered[instruction.engine_id] = tick / 10
    assert first < ordered["a"] < first + 1, ordered
    assert second < ordered["b"] < second + 1, ordered


@given("{count:d} nodes that an engine asked for rest at the same moment")
def step_standings(context, count):
    context.conditions = [EngineCondition() for _ in range(count)]
    for condition in context.conditions:
        condition.begin_backoff(3.0, 0.0)


@when("{count:d} requests wait at each of them until the rest is over")
def step_all_return(context, count):
    context.sent = 0
    for tick in range(count):
        now = 3.0 + 0.2 * tick / count
        for condition in context.conditions:
            if not condition.is_backing_off(now):
                condition.note_sent(now)
                context.sent += 1


@then("the engine gets {count:d} requests in the first 0.2 s after it")
def step_few_at_once(context, count):
    assert context.sent == count, context.sent


# What nodes that join are told


def known_engines():
    engines = EngineTable()
    for name in ("a", "b", "c"):
        engines.update(engine_record(name, weights={"model": 1}, revision=5))
    return engines


@given(
    "a node that knows that a leaves, uses no record of b, and saw version 2 of the weights at c"
)
def step_teller(context):
    context.teller = known_engines()
    context.teller.update(engine_record("a", weights={"model": 1}, revision=6, draining=True))
    context.teller.withdraw("b", 5)
    context.teller.get("c").learn_weights("model", 2)


@when("a node that has read older records joins, and is told")
def step_joiner(context):
    context.joiner = known_engines()
    tell_joiner(context)


@when("a node that has read nothing joins, is told, and reads older records then")
def step_new_joiner(context):
    context.joiner = EngineTable()
    tell_joiner(context)
    for name in ("a", "b", "c"):
        context.joiner.update(engine_record(name, weights={"model": 1}, revision=5))


def tell_joiner(context):
    for datagram in datagrams_from_update(context.teller.unrecorded_state()):
        update = update_from_message(parse_message(datagram.SerializeToString()))
        for engine in update.leaving:
            context.joiner.apply_signal(EngineSignal(engine, "peer", leaving=True), 0.0)
        context.joiner.merge_unrecorded_state(update, 0.0)


@then("it uses c alone, with version 2 of the weights")
def step_uses_c(context):
    used = [view for view in context.joiner.in_use() if not view.leaving]
    assert [view.engine_id for view in used] == ["c"], used
    assert used[0].weight_version("model") == 2


@then("b too once its record is written again")
def step_uses_b(context):
    context.joiner.update(engine_record("b", weights={"model": 1}, revision=7))
    used = {view.engine_id for view in context.joiner.in_use() if not view.leaving}
    assert used == {"b", "c"}, used
