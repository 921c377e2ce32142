"""Steps on the state that nodes keep from signals in the answers of engines."""

import json
import sys
from pathlib import Path

from behave import given, then, when
from multidict import CIMultiDict

from features.gateway_support import engine_record, opaque_request
from liftrill import clock
from liftrill.coordination.range_store import StoredItem
from liftrill.coordination.store_mirror import MirrorChange
from liftrill.gateway.delivery_events import EngineAddress, EngineChoice
from liftrill.gateway.delivery_ports import Unavailable
from liftrill.gateway.engines.engine_condition import EngineCondition, EngineSignal
from liftrill.gateway.engines.engine_table import EngineNotice, EngineTable
from liftrill.gateway.peers.notice_codec import datagrams_from_update, update_from_message
from liftrill.gateway.records import WeightTarget
from liftrill.gateway.weight_rollout import GiveOrder
from liftrill.node.membership_codec import parse_message

sys.path.append(str(Path(__file__).resolve().parent.parent.parent / "platform"))
from engines import parse_engine_signal

SERVED = 200


# State that outlives records


def announce(context, engine, **signal):
    return context.node.engines.apply_signal(
        EngineSignal(engine, "request", **signal), clock.now_s()
    )


@when("{name} announces in an answer that it is leaving")
def step_announces(context, name):
    context.engine = context.node.engines.get(name).identity
    assert announce(context, context.engine, leaving=True)


def remove_record(context, gap):
    """Remove the record of engine a, in a gap of the store's watch or not."""
    change = MirrorChange(written=(), removed=("servers/a",), gap=gap)
    context.node.cluster_state.apply(change, clock.now_s() - 10.0 if gap else clock.now_s())


@when("its record is written again")
def step_rewritten(context):
    context.node.write("a", context.bodies["a"])


@when("its record is removed and written again")
def step_removed_and_rewritten(context):
    remove_record(context, gap=False)
    assert context.node.engines.get("a") is None
    context.node.write("a", context.bodies["a"])


@when("its record is removed during a store outage and written again")
def step_removed_in_outage(context):
    remove_record(context, gap=True)
    context.node.cluster_state.expire(clock.now_s() + 2.0)
    assert context.node.engines.get("a") is None
    context.node.write("a", context.bodies["a"])


@when("the snapshot of a store reader is applied")
def step_snapshot(context):
    remove_record(context, gap=True)
    context.node.cluster_state.expire(clock.now_s() + 2.0)
    body = json.dumps(context.bodies["a"]).encode()
    item = StoredItem("servers/a", body, context.node.revision + 1)
    change = MirrorChange(written=(item,), removed=(), gap=True)
    context.node.cluster_state.apply(change, clock.now_s())


@when("its record becomes invalid and valid again")
def step_invalid_for_a_time(context):
    context.node.write("a", b"[]")
    context.node.write("a", context.bodies["a"])


@when("its record is removed and written again with an older revision")
def step_older_revision(context):
    remove_record(context, gap=False)
    context.node.write("a", context.bodies["a"], revision=1)


@then("a is neither resumed at nor chosen as a backup")
def step_not_resumed(context):
    selector, request, now = context.node.selector, opaque_request(), clock.now_s()
    b = context.node.engines.get("b").identity
    interrupted = EngineChoice("b", b.address, 1, number=b.number, backup=context.engine)
    assert selector.continue_at_backup(request, interrupted, now) is None
    interrupted = EngineChoice(
        "a", context.engine.address, 1, number=context.engine.number, backup=b
    )
    resumed = selector.continue_at_backup(request, interrupted, now)
    assert resumed.engine_id == "b" and resumed.backup is None, resumed


@when("{name} is observed to have version {version:d} of the weights")
def step_seen_weights(context, name, version):
    context.node.engines.get(name).learn_weights("model", version)


@then("{name} is asked for version {version:d} of the weights")
def step_asked_for(context, name, version):
    others = frozenset(("a", "b")) - {name}
    choice = context.node.selector.choose(opaque_request(), others, 0.0)
    assert (choice.engine_id, choice.weight_version) == (name, version), choice


@when("the previous incarnation of {name} announces in a late answer that it is leaving")
def step_previous_announces(context, name):
    assert not announce(context, context.engine, leaving=True)


@when("another engine at the address of {name} announces that it is leaving")
def step_other_announces(context, name):
    at = context.node.engines.get(name).identity
    announce(context, EngineAddress("another", at.address), leaving=True)


@when(
    "the record of a is removed, a peer reports that a is leaving, and the record is written again"
)
def step_peer_reports(context):
    engine = context.node.engines.get("a").identity
    remove_record(context, gap=False)
    assert announce(context, engine, leaving=True)
    context.node.write("a", context.bodies["a"])


@when("{count:d} other engines announce that they are leaving, and so does a")
def step_many_announce(context, count):
    for number in range(1, count + 1):
        announce(context, EngineAddress(f"other-{number}", "10.0.0.9:1", number), leaving=True)
    announce(context, context.node.engines.get("a").identity, leaving=True)


@then("{count:d} are remembered")
def step_bounded(context, count):
    assert len(context.node.engines.conditions) == count


@when("{seconds:d} s go by")
def step_time_passes(context, seconds):
    engines = context.node.engines
    in_records = (view.condition for view in engines)
    engines.conditions.expire(in_records, clock.now_s() + seconds)


@then("the signal of a alone is remembered")
def step_one_remembered(context):
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


@then("it is not taken for leaving, and asks for {seconds:g} s of backoff")
def step_no_signal(context, seconds):
    signal = parse_engine_signal(
        "request", EngineAddress("a", "10.0.0.1:1", 1), context.status, context.headers
    )
    assert (signal is None) == (seconds == 0), signal
    assert signal is None or (not signal.leaving and signal.backoff_s == seconds), signal


# Backoff


def ask_for_backoff(context, name, backoff_s, at_s=0.0):
    at = context.node.engines.get(name).identity
    context.node.engines.apply_signal(EngineSignal(at, "request", 503, backoff_s=backoff_s), at_s)


def engines_in_use_after(context, seconds):
    """Return the engines that a request may be sent to after a time."""
    request, found = opaque_request(received_at=seconds), set()
    while True:
        choice = context.node.selector.choose(request, frozenset(found), seconds)
        if not isinstance(choice, EngineChoice):
            return found
        found.add(choice.engine_id)


@when("{name} asks for {seconds:g} s of backoff, and for {shorter:g} s a second later")
def step_backoff_twice(context, name, seconds, shorter):
    ask_for_backoff(context, name, seconds)
    ask_for_backoff(context, name, shorter, at_s=1.0)


@when("{name} asks for {seconds:g} s of backoff, and its record is removed and written again")
def step_backoff_record(context, name, seconds):
    ask_for_backoff(context, name, seconds)
    step_removed_and_rewritten(context)


@when("{name} asks for {seconds:g} s of backoff, and is reported to have loaded its weights")
def step_backoff_notice(context, name, seconds):
    ask_for_backoff(context, name, seconds)
    for sequence, loading in enumerate((True, False), 1):
        notice = EngineNotice(name, "model", 1, loading, sequence)
        context.node.engines.apply_notice(notice, 1.0)


@when("{name} asks for {seconds:g} s of backoff, and is observed to have newer weights")
def step_backoff_weights(context, name, seconds):
    ask_for_backoff(context, name, seconds)
    context.node.engines.get(name).learn_weights("model", 2)


@when("{name} asks for {seconds:g} s of backoff, and answers a request sent before")
def step_backoff_answer(context, name, seconds):
    ask_for_backoff(context, name, seconds)
    context.node.engines.get(name).condition.note_answered(-1.0)


@when("{name} asks for {seconds:g} s of backoff, and gets a request after {later:g} s")
def step_backoff_trial(context, name, seconds, later):
    ask_for_backoff(context, name, seconds)
    context.node.engines.get(name).condition.note_sent(later)


@when("it has answered a request that was sent after {seconds:g} s")
def step_trial_answered(context, seconds):
    context.node.engines.get("a").condition.note_answered(seconds)


@when("a asks for {first:g} s of backoff, and b for {second:g} s of backoff")
def step_both_back_off(context, first, second):
    ask_for_backoff(context, "a", first)
    ask_for_backoff(context, "b", second)


@when(
    "version {version:d} of the weights becomes the target, and a asks for {first:g} s of backoff,"
    " and b for {second:g} s of backoff"
)
def step_target_and_backoffs(context, version, first, second):
    context.node.targets.add(WeightTarget("model", version, 9), 0.0, age_known=True, now=0.0)
    step_both_back_off(context, first, second)


@then("b alone is in use {when} {first:g} s, and a and b after {second:g} s")
def step_in_use_after(context, when, first, second):
    assert engines_in_use_after(context, first) == {"b"}, engines_in_use_after(context, first)
    assert engines_in_use_after(context, second) == {"a", "b"}, engines_in_use_after(
        context, second
    )


@then("a and b are in use after {seconds:g} s, whatever it gets")
def step_in_use_without_limit(context, seconds):
    context.node.engines.get("a").condition.note_sent(seconds)
    assert engines_in_use_after(context, seconds) == {"a", "b"}


def choice_after(context, seconds):
    request = opaque_request(received_at=seconds)
    return context.node.selector.choose(request, frozenset(), seconds)


@then("a request is refused after {seconds:g} s, with {left:g} s until the first backoff ends")
def step_refused(context, seconds, left):
    assert choice_after(context, seconds) is Unavailable.PAUSED
    backoff_s = context.node.selector.capacity_wait_s(opaque_request(), seconds)
    assert abs(backoff_s - left) < 0.001, backoff_s


@when("both are reported to load weights for {seconds:g} s")
def step_both_load(context, seconds):
    for name in ("a", "b"):
        context.node.engines.apply_notice(EngineNotice(name, "model", 2, True, 1), seconds)


@then("a request that has waited for {seconds:g} s finds none ready")
def step_none_ready(context, seconds):
    choice = context.node.selector.choose(opaque_request(), frozenset(), seconds)
    assert choice is Unavailable.NONE_READY, choice


@then("a request waits after {seconds:g} s")
def step_waits(context, seconds):
    assert choice_after(context, seconds) is Unavailable.NONE_READY


@when("the rollout learns of version 2 of the weights")
def step_version_named(context):
    context.node.targets.add(WeightTarget("model", 2, 9), 0.0, age_known=True, now=0.0)


@when("a announces that it is leaving before its load is announced, and b after it")
def step_leaves_around_load(context):
    announce(context, context.node.engines.get("a").identity, leaving=True)
    announced = due_at(context, 0.1)
    assert [each.engine_id for each in announced] == ["b"], announced
    announce(context, context.node.engines.get("b").identity, leaving=True)


def due_at(context, now):
    return context.node.rollout.due(list(context.node.engines.in_use()), now)


@then("neither is ordered to load or asked for its version")
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


@given("{count:d} nodes that an engine asked for a backoff at the same moment")
def step_backing_off(context, count):
    context.conditions = [EngineCondition() for _ in range(count)]
    for condition in context.conditions:
        condition.begin_backoff(3.0, 0.0)


@when("{count:d} requests wait at each of them until the backoff ends")
def step_all_resume(context, count):
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


# State sent to nodes that join


def known_engines():
    engines = EngineTable()
    for name in ("a", "b", "c"):
        engines.update(engine_record(name, weights={"model": 1}, revision=5))
    return engines


@given(
    "a node that knows that a is leaving, uses no record of b, and observed weights version 2 at c"
)
def step_sender(context):
    context.sender = known_engines()
    context.sender.update(engine_record("a", weights={"model": 1}, revision=6, draining=True))
    context.sender.withdraw("b", 5)
    context.sender.get("c").learn_weights("model", 2)


@when("a node that has read older records joins and gets this state")
def step_joiner(context):
    context.joiner = known_engines()
    send_state_to_joiner(context)


@when("a node that has read no records joins, gets this state, and then reads older records")
def step_new_joiner(context):
    context.joiner = EngineTable()
    send_state_to_joiner(context)
    for name in ("a", "b", "c"):
        context.joiner.update(engine_record(name, weights={"model": 1}, revision=5))


def send_state_to_joiner(context):
    for datagram in datagrams_from_update(context.sender.unrecorded_state()):
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
