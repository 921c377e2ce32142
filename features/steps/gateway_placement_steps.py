"""Steps on the placement of prompts, and on where their shared parts are saved."""

from dataclasses import replace

from behave import given, then, when

from features.gateway_support import engine_record, opaque_request
from liftrill.gateway.delivery_ports import Unavailable
from liftrill.gateway.engines.engine_condition import EngineSignal
from liftrill.gateway.engines.engine_selector import EngineSelector
from liftrill.gateway.engines.engine_table import EngineLoad, EngineTable, engine_number
from liftrill.gateway.engines.prefix_directory import PartLocation, PartStage, part_number
from liftrill.gateway.opaque_request import PromptPart, PromptShape
from liftrill.gateway.records import PrefixStoreProfile, ServiceProfile, WeightTarget
from liftrill.gateway.weight_targets import WeightTargets


def new_selector(stores, engines):
    table = EngineTable()
    for number in range(engines):
        table.update(engine_record(f"e{number}", weights={"model": 1}))
    selector = EngineSelector(table, WeightTargets(8.0), "zone-1")
    selector.parts.prefix_stores = tuple(
        PrefixStoreProfile(f"10.0.0.{number}:1", f"zone-{number}") for number in range(stores)
    )
    return selector


@given("{stores:d} prefix stores and {engines:d} engines")
def step_selectors(context, stores, engines):
    context.selectors = [new_selector(stores, engines) for _ in range(2)]


@when("prompts with {count:d} shared parts are placed on two nodes")
def step_place(context, count):
    context.choices = []
    for number in range(count):
        parts = (
            PromptPart("template", 50),
            PromptPart(f"part-{number}", 100),
            PromptPart(f"own-{number}", 10),
        )
        request = replace(opaque_request(), prompt=PromptShape("model", parts, 160, 20))
        chosen = [s.choose(request, frozenset(), 0.0) for s in context.selectors]
        context.choices.append(chosen)


@then("both nodes fetch each part from the same store, and save it there")
def step_same_store(context):
    for one, other in context.choices:
        assert one.fetch_from == other.fetch_from == one.save_to == other.save_to != ""


@then("each store has at least {least:d} of them")
def step_spread(context, least):
    stores = [one.fetch_from for one, _ in context.choices]
    counts = [stores.count(store) for store in set(stores)]
    assert len(counts) == 3 and min(counts) >= least, counts


@then("nothing is fetched or saved")
def step_nothing(context):
    assert all(not c.fetch_from and not c.save_to for pair in context.choices for c in pair)


def place(context, tokens):
    parts = (PromptPart("part", 100), PromptPart("own", tokens - 100))
    request = replace(opaque_request(), prompt=PromptShape("model", parts, tokens, 20))
    return context.selectors[0].choose(request, frozenset(), 0.0).engine_id


@given("the engine that holds a part runs {count:d} streams, and the other one none")
def step_running(context, count):
    context.holder = place(context, 160)
    view = context.selectors[0]._engines.get(context.holder)
    view.own_load.add(EngineLoad(requests=count))


@when("a prompt of {tokens:d} tokens with that part is placed")
def step_place_one(context, tokens):
    context.placed = place(context, tokens)


@then("it goes to the engine without streams")
def step_to_other(context):
    assert context.placed != context.holder


@then("it goes to the engine that holds the part")
def step_to_holder(context):
    assert context.placed == context.holder


@given("transferring the memory of a token takes {move:g} microseconds")
def step_move_time(context, move):
    profile = ServiceProfile("service-1", 0, store_transfer_s_per_token=move / 1e6)
    context.selectors[0].parts.services["service-1"] = profile


def saved_request():
    parts = (PromptPart("part", 10_000), PromptPart("own", 10))
    return replace(opaque_request(), prompt=PromptShape("model", parts, 10_010, 20))


@given("a part of 10000 tokens is saved, and {waiting:d} tokens wait at the engine that holds it")
def step_saved_part(context, waiting):
    selector = context.selectors[0]
    choice = selector.choose(saved_request(), frozenset(), 0.0)
    selector.parts.record_prefill(choice, saved_request(), 0.0)
    context.holder = choice.engine_id
    load = EngineLoad(requests=1, waiting_tokens=waiting)
    selector._engines.get(choice.engine_id).own_load.add(load)


@when("a prompt with that part is placed")
def step_place_saved(context):
    context.placed = context.selectors[0].choose(saved_request(), frozenset(), 2.0).engine_id


@then("it goes to the engine that holds it")
def step_at_holder(context):
    assert context.placed == context.holder


@then("it goes to the engine that holds nothing")
def step_at_other(context):
    assert context.placed != context.holder


def request_with_beginning(number):
    parts = (
        PromptPart("beginning", 2_000),
        PromptPart(f"continuation-{number}", 3_000),
        PromptPart(f"own-{number}", 10),
    )
    return replace(opaque_request(), prompt=PromptShape("model", parts, 5_010, 20))


@when("{count:d} prompts with one beginning and different continuations are placed on two nodes")
def step_place_common_beginning(context, count):
    now = getattr(context, "placed_at", 0.0)
    requests = [request_with_beginning(number) for number in range(count)]
    context.placed_pairs = [
        [selector.choose(request, frozenset(), now) for selector in context.selectors]
        for request in requests
    ]


@then("all go to one engine")
def step_one_engine(context):
    assert len({choice.engine_id for row in context.placed_pairs for choice in row}) == 1


@when("the beginning has been read and saved")
def step_beginning_saved(context):
    request = request_with_beginning(0)
    for selector in context.selectors:
        choice = selector.choose(request, frozenset(), 0.0)
        selector.parts.record_prefill(choice, request, 0.0)
    context.placed_at = 1.0


@then("they go to at least {least:d} engines")
def step_many_engines(context, least):
    engines = {row[0].engine_id for row in context.placed_pairs}
    assert len(engines) >= least, engines


@then("each node sends a continuation to the same engine")
def step_same_on_nodes(context):
    for first, second in context.placed_pairs:
        assert first.engine_id == second.engine_id


@when("one node has had a prompt read, and reports it to the other one")
def step_reported(context):
    first, second = context.selectors
    choice = first.choose(request_with_beginning(0), frozenset(), 0.0)
    first.parts.record_prefill(choice, request_with_beginning(0), 0.0)
    second.parts.directory.apply_updates(
        first.parts.directory.updates(0.1).own, 0.1, of_own_zone=True
    )
    context.choice_of_other = second.choose(request_with_beginning(0), frozenset(), 1.0)


@then("the other node has both shared parts fetched, and saves nothing")
def step_fetched(context):
    assert context.choice_of_other.fetch_from and not context.choice_of_other.save_to
    assert context.choice_of_other.expected_prefill_tokens == 10, context.choice_of_other


@when("one node sends a prompt, and another with the same beginning arrives {delay:g} s later")
def step_sends(context, delay):
    selector = context.selectors[0]
    context.first = selector.choose(request_with_beginning(0), frozenset(), 0.0)
    selector.parts.record_sent(context.first, request_with_beginning(0), 0.0)
    context.later = replace(request_with_beginning(1), received_at=delay)
    context.arrived_at = delay


def place_later(context, now):
    return context.selectors[0].choose(context.later, frozenset(), now)


@then("the later one waits")
def step_later_waits(context):
    assert place_later(context, context.arrived_at) is Unavailable.NONE_READY


@when("the part has been read")
def step_part_read(context):
    context.selectors[0].parts.record_prefill(
        context.first, request_with_beginning(0), context.arrived_at
    )


@then("the later one is sent, with the beginning fetched")
def step_later_sent(context):
    choice = place_later(context, context.arrived_at)
    assert choice.expected_prefill_tokens == 3_010, choice


@when("reading the part takes too long instead")
def step_reading_long(context):
    context.selectors = [new_selector(1, 6)]
    context.first = context.selectors[0].choose(request_with_beginning(0), frozenset(), 0.0)
    context.selectors[0].parts.record_sent(context.first, request_with_beginning(0), 0.0)


@then("the later one is sent to the engine that reads it")
def step_later_same(context):
    assert place_later(context, context.arrived_at) is Unavailable.NONE_READY
    assert place_later(context, context.arrived_at + 0.25).engine_id == context.first.engine_id


@when("one node has had a prompt read, and its engine is busy")
def step_read_and_busy(context):
    selector = context.selectors[0]
    context.first = selector.choose(request_with_beginning(0), frozenset(), 0.0)
    selector.parts.record_prefill(context.first, request_with_beginning(0), 0.0)
    busy = selector._engines.get(context.first.engine_id)
    busy.own_load.add(EngineLoad(requests=9, waiting_tokens=90_000))


@then("{delay:g} s later the prompt goes to another engine, which fetches from {source}")
def step_fetches_from(context, delay, source):
    choice = context.selectors[0].choose(request_with_beginning(0), frozenset(), delay)
    assert choice.engine_id != context.first.engine_id
    held = choice.fetch_from == context.first.address
    assert held == (source == "the busy one") and choice.fetch_from, choice


@when("the engine that read the prompt has other weights")
def step_other_weights(context):
    context.selectors[0]._engines.get(context.first.engine_id).learn_weights("model", 2)


@when("the engine that read the prompt has said that it leaves")
def step_said_leaving(context):
    engines = context.selectors[0]._engines
    engine = engines.get(context.first.engine_id).identity
    assert engines.apply_signal(EngineSignal(engine, "request", leaving=True), 0.2)


@when("the engine that read the prompt has a record that leaves")
def step_record_leaving(context):
    engines = context.selectors[0]._engines
    record = engines.get(context.first.engine_id).record
    engines.update(replace(record, draining=True, revision=record.revision + 1))


@then("{delay:g} s later the prompt is fetched from no engine")
def step_not_fetched(context, delay):
    choice = context.selectors[0].choose(request_with_beginning(0), frozenset(), delay)
    assert choice.fetch_from == "10.0.0.0:1", choice


@given("one engine has new weights, and {tokens:d} prompt tokens wait there")
def step_new_weights(context, tokens):
    context.selector = context.selectors[0]
    context.selector._targets.add(WeightTarget("model", 2, 1), 0.0)
    context.updated_engine = context.selector._engines.get("e0")
    context.updated_engine.learn_weights("model", 2)
    context.updated_engine.own_load.waiting_tokens = tokens


@when("{tokens:d} prompt tokens wait there")
def step_more_wait(context, tokens):
    context.updated_engine.own_load.waiting_tokens = tokens


@then("{delay:g} s after the new weights were published a prompt goes to the {which} weights")
def step_which_weights(context, delay, which):
    request = replace(opaque_request(), received_at=delay)
    choice = context.selector.choose(request, frozenset(), delay)
    assert choice.weight_version == (2 if which == "new" else 1), choice


@given(
    "the beginning of a prompt is saved, and {waiting:d} tokens wait at the engine"
    " that is to read the rest"
)
def step_rest_unread(context, waiting):
    selector = context.selectors[0]
    salt = selector.choose(request_with_beginning(0), frozenset(), 0.0).cache_salt
    beginning = part_number(salt, "beginning")
    selector.parts.directory.record_prefill(beginning, 0, 0.0, saved=True, announce=True)
    context.first = selector.choose(request_with_beginning(0), frozenset(), 2.0)
    view = selector._engines.get(context.first.engine_id)
    view.own_load.add(EngineLoad(requests=1, waiting_tokens=waiting))


@when("the prompt is placed")
def step_rest_placed(context):
    context.placed = context.selectors[0].choose(request_with_beginning(0), frozenset(), 2.0)


@then("it goes to an engine where nothing waits")
def step_no_queue(context):
    assert context.placed.engine_id != context.first.engine_id


@when("another node has begun to read the rest at the first engine")
def step_rest_begun(context):
    rest = part_number(context.first.cache_salt, "continuation-0")
    update = PartLocation(rest, engine_number(context.first.engine_id), PartStage.BEING_PREFILLED)
    context.selectors[0].parts.directory.apply_updates([update], 1.9, of_own_zone=True)


@then("it goes to the engine that reads the rest")
def step_to_reader(context):
    assert context.placed.engine_id == context.first.engine_id


@when("another prompt with the same beginning is read {seconds:g} s later")
def step_saved_again(context, seconds):
    selector = context.selectors[0]
    choice = selector.choose(request_with_beginning(1), frozenset(), seconds)
    assert choice.save_to
    selector.parts.record_prefill(choice, request_with_beginning(1), seconds)


@then("{seconds:g} s after the first the beginning counts as saved for a third prompt")
def step_still_saved(context, seconds):
    choice = context.selectors[0].choose(request_with_beginning(2), frozenset(), seconds)
    assert choice.expected_prefill_tokens == 3_010, choice


@then("a prompt with the same beginning {seconds:g} s later is fetched from the store")
def step_from_store(context, seconds):
    choice = context.selectors[0].choose(request_with_beginning(1), frozenset(), seconds)
    assert choice.fetch_from == "10.0.0.0:1", choice


@given(
    "a token takes {us:g} us on a store's link, and {count:d} prompts of {tokens:d} tokens"
    " arrive each second for {seconds:d} s"
)
def step_store_load(context, us, count, tokens, seconds):
    selector = context.selectors[0]
    profile = ServiceProfile("service-1", 0, store_transfer_s_per_token=us / 1e6)
    selector.parts.services["service-1"] = profile
    for number in range(count * seconds):
        parts = (PromptPart(f"part-{number}", tokens - 10), PromptPart("own", 10))
        request = replace(opaque_request(), prompt=PromptShape("model", parts, tokens, 20))
        now = number / count
        choice = selector.choose(request, frozenset(), now)
        selector.parts.record_sent(choice, request, now)


@then("a prompt of {shared:d} shared and {own:d} own tokens is saved: {saved}")
def step_is_saved(context, shared, own, saved):
    parts = (PromptPart("some", shared), PromptPart("own", own))
    shape = PromptShape("model", parts, shared + own, 20)
    request = replace(opaque_request(), prompt=shape)
    choice = context.selectors[0].choose(request, frozenset(), 10.0)
    assert bool(choice.save_to) == (saved == "yes"), choice


@given(
    "engines with memory for {capacity:d} tokens, and {nodes:d} nodes that each send {rate:d}"
    " tokens a second"
)
def step_traffic(context, capacity, nodes, rate):
    selector = context.selectors[0]
    selector.parts.services["service-1"] = ServiceProfile("service-1", 0, cache_tokens=capacity)
    selector.parts.nodes = nodes
    parts = (PromptPart("part", 100), PromptPart("own", 100))
    request = replace(opaque_request(), prompt=PromptShape("model", parts, rate - 20, 20))
    choice = selector.choose(request, frozenset(), 0.0)
    for second in range(60):
        selector.parts.record_sent(choice, request, float(second))


@then("engines are estimated to hold a part for {seconds:g} s")
def step_held_for(context, seconds):
    held_s = context.selectors[0].parts.directory.held_s
    assert abs(held_s - seconds) < 0.1 * seconds, held_s
