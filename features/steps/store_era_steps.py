"""Steps on a store that is restored from an older copy."""

import asyncio
import itertools
import time
from collections import Counter

from behave import given, then, when

from features.store_drill import (
    key_delay_s,
    load_delay_s,
    restore,
    rewrite_lost_records,
    run_restore,
    write_lost_records,
)
from liftrill.coordination.range_store import (
    ConditionFailedError,
    HistoryGoneError,
    LeaseGoneError,
    RangePage,
    RemovedItem,
    StoredItem,
    WatchBatch,
)
from liftrill.coordination.store_mirror import StoreMirror
from liftrill.coordination.store_position import OldEraError, StoreEra, lease_id, position
from liftrill.gateway.relay_codec import (
    RelayAnswer,
    RelayDecodeError,
    RelayUpdate,
    decode_message,
    encode_answer,
    encode_batch,
    encode_snapshot,
)
from liftrill.messages import peer_pb2 as messages

LARGE_LEASE = (1 << 63) + 7


@given("a store that reports its era")
def step_era(context):
    context.deployment.store.era = "1"
    # Records written before the store reported its era are part of all copies.
    context.deployment.store.put("op/era", {})


@when(
    "keys, weights and engines change, and the store is unavailable for {away:g} s"
    " and restored from a copy {age:g} s old"
)
def step_restore(context, away, age):
    context.run(run_restore(context, away, age))


@when("operators and engines write the lost records again, then a further key and version")
def step_rewrite(context):
    context.run(rewrite_lost_records(context, 0))


@when("{count:d} other records are written, then the lost records and a further key and version")
def step_rewrite_after_others(context, count):
    context.run(rewrite_lost_records(context, count))


@then("all nodes accept the further key within {seconds:g} s")
def step_key(context, seconds):
    assert context.key_delay_s <= seconds, context.key_delay_s


@then("all engines load the further version within {seconds:g} s")
def step_loaded(context, seconds):
    assert context.load_delay_s <= seconds, context.load_delay_s


@then(
    "no engine that left got a request later than {seconds:g} s after it left,"
    " nor after the restore"
)
def step_left(context, seconds):
    for engine in context.left_engines:
        late = [a.at - context.said_at for a in engine.arrivals if a.at > context.said_at + seconds]
        assert not late, (
            engine.engine_id,
            len(late),
            late[0],
            context.restored_at - context.said_at,
        )


@then("the whole range was read at most {count:d} times in the {seconds:g} s after the restore")
def step_few_reads_after_restore(context, count, seconds):
    since = context.restored_at
    calls = [name for name, at in context.deployment.store.calls if since <= at < since + seconds]
    assert calls.count("kv-range") <= count, Counter(calls)


@when("versions are published while the store is restored from copies twice within {seconds:g} s")
def step_two_restores(context, seconds):
    context.run(publish_during_restores(context, seconds))


async def publish_during_restores(context, seconds):
    deployment = context.deployment
    await asyncio.sleep(0.6)
    write_lost_records(deployment.store)
    deployment.set_weight_version(2)
    await asyncio.sleep(1.0)
    for version in (3, 4):
        await restore(deployment.store, 0.5, 1.8)
        for engine in deployment.engines.values():
            deployment.record(engine)
        deployment.configure(6)
        deployment.set_weight_version(version)
        await asyncio.sleep(seconds / 2 - 0.5)
    context.rewritten_at = time.monotonic()
    context.load_delay_s = await load_delay_s(context, 4)


@then("all engines load the last version, with fences that never decrease and one holder per fence")
def step_fences(context):
    assert context.load_delay_s < 10.0, "not loaded"
    for engine in context.deployment.engines.values():
        fences = [order["Fence"] for order in engine.orders]
        assert fences == sorted(fences), fences
        for _, orders in itertools.groupby(engine.orders, key=lambda order: order["Fence"]):
            assert len({order["Holder"] for order in orders}) == 1, engine.orders


# Positions


def at(reported, revision):
    """Return the position of a revision in an era that the store reports."""
    return position(reported + 1, revision)


@given("a node that knows era {known} of the store")
def step_known_era(context, known):
    context.refused = []
    context.era = StoreEra(
        on_refused_answer=lambda known, reported: context.refused.append(reported)
    )
    context.era.observe("" if known == "none" else known)


@when('an answer reports era "{reported}"')
def step_reports(context, reported):
    context.is_accepted = is_accepted(context, reported)


@when('an answer reports era ""')
def step_reports_none(context):
    context.is_accepted = is_accepted(context, "")


def is_accepted(context, reported):
    try:
        context.era.observe(reported)
    except OldEraError:
        return False
    return True


@then("it is {taken}, and the node knows era {known}")
def step_taken(context, taken, known):
    assert context.is_accepted == (taken == "taken") == (not context.refused), context.refused
    expected = 0 if known == "none" else int(known) + 1
    assert context.era.era == expected, context.era.era


def raises(error, call, *args):
    try:
        call(*args)
    except error:
        return True
    return False


@then("a condition on revision {number:d} of era {era:d} does not hold")
def step_no_condition(context, number, era):
    assert raises(ConditionFailedError, context.era.condition_revision, at(era, number))


@then("lease 7 of era 3 is gone, and history after revision 7 of era 3 too")
def step_gone(context):
    assert raises(LeaseGoneError, context.era.current_lease_number, lease_id(4, 7))
    assert raises(HistoryGoneError, context.era.watch_revision, at(3, 7))


@then("revision 7 of era 4 is higher than revision 70000 of era 3")
def step_higher(context):
    assert at(4, 7) > at(3, 70_000)


@then("a condition on revision {number:d} of era {era:d} holds for the store's revision 7")
def step_condition(context, number, era):
    assert context.era.condition_revision(at(era, number)) == 7


@then('an answer that reports era "{reported}" is refused')
def step_refused(context, reported):
    assert not is_accepted(context, reported)


def items(era, text):
    """Return items from a text like "a at 5, b at 9 and c at 12"."""
    rows = [row.split(" at ") for row in text.replace(" and ", ", ").split(", ")]
    return tuple(StoredItem(key, b"", at(era, int(number))) for key, number in rows)


@given("a copy of era {era:d} with the keys {text}")
def step_copy(context, era, text):
    context.mirror = StoreMirror()
    context.mirror.add_page(RangePage(items(era, text), at(era, 12), False))
    context.before = context.mirror.items()


@when("changes of era {era:d} arrive: {text}")
def step_changes(context, era, text):
    written = items(era, text)
    batch = WatchBatch(written, written[-1].revision)
    context.change = context.mirror.apply_batch(batch)


@then("the copy is unchanged")
def step_unchanged(context):
    assert context.mirror.items() == context.before
    assert not context.change.written


@when("a complete read of era {era:d} arrives: {text}")
def step_complete_read(context, era, text):
    read = items(era, text)
    context.change = context.mirror.add_page(RangePage(read, read[-1].revision, False))
    context.after = list(read)


@then("the copy has a and b of era 4, is reported as restored, and lacks c")
def step_restored(context):
    assert context.mirror.items() == context.after
    assert context.change.restored and context.change.removed == ("c",), context.change


@then("the copy has a and b of era 4 alone")
def step_only_items(context):
    assert context.mirror.items() == context.after


@then(
    "changes, snapshots and answers of eras 0, 1 and 8191 are unchanged after encoding and decoding"
)
def step_round_trip(context):
    for era in (0, 1, 8191):
        newest = position(era, 70_000)
        lease = lease_id(era, LARGE_LEASE)
        written = StoredItem("a", b"value", position(era, 9), lease)
        batch = WatchBatch((written, RemovedItem("b", position(era, 10))), newest)
        assert decode_message(encode_batch(batch)) == RelayUpdate(batch)
        early = WatchBatch((written,), 0)
        assert decode_message(encode_batch(early)) == RelayUpdate(early)
        (part,) = encode_snapshot([written], newest)
        assert decode_message(part) == RelayUpdate(WatchBatch((written,), newest), snapshot=True)
        answer = RelayAnswer(1, 5, 0.5, newest, 0.25, ("reader",))
        decoded = decode_message(encode_answer(answer))
        assert (decoded.at, decoded.nonce, decoded.path) == (newest, 1, ("reader",)), decoded


@then("changes, snapshots and answers at revision 2 to the {power:d} are refused as malformed")
def step_out_of_range(context, power):
    items, answer = [messages.RelayItem(key="a", revision=1 << power)], messages.RelayAnswer()
    for message in (
        messages.RelayMessage(items=items, at=1),
        messages.RelayMessage(at=1 << power, snapshot=True),
        messages.RelayMessage(at=1 << power, answer=answer),
    ):
        assert raises(RelayDecodeError, decode_message, message.SerializeToString()), message


@when(
    "the store is restored, and every other answer still reports the previous era for {seconds:g} s"
)
def step_two_eras(context, seconds):
    context.run(restore_with_two_eras(context, seconds))


async def restore_with_two_eras(context, seconds):
    deployment = context.deployment
    store = deployment.store
    await asyncio.sleep(1.0)
    await restore(store, 0.3, 1.0)
    deployment.configure(6, keys=("key-of-tenant-1", "key-3"))
    for engine in deployment.engines.values():
        deployment.record(engine)
    context.rewritten_at = time.monotonic()
    store.alternate_eras(context.rewritten_at + seconds)
    context.key_delay_s = await key_delay_s(context, "key-3")
    # The key may be in the first answer, and the answers of the previous era come after it.
    await asyncio.sleep(seconds - context.key_delay_s)


@then(
    "a key that is written meanwhile is accepted within {seconds:g} s,"
    " and refused answers are counted"
)
def step_accepted_and_counted(context, seconds):
    assert context.key_delay_s <= seconds, context.key_delay_s
    context.run(check_counted(context))


async def check_counted(context):
    node = context.deployment.nodes[0]
    url = f"http://{node.ip}:{node.ports['Metrics']}/metrics"
    async with context.deployment.session.get(url) as answer:
        text = await answer.text()
    (line,) = [r for r in text.splitlines() if r.startswith("liftrill_refused_store_eras_total")]
    assert float(line.split()[1]) > 0, line
