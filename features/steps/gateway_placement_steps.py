"""Steps on where the shared parts of prompts are kept."""

from dataclasses import replace

from behave import given, then, when

from features.gateway_support import engine_record, opaque_request
from liftrill.gateway.engine_selector import EngineSelector
from liftrill.gateway.engine_table import EngineLoad, EngineTable
from liftrill.gateway.opaque_request import PromptPart, PromptShape
from liftrill.gateway.records import KeptStoreProfile
from liftrill.gateway.weight_targets import WeightTargets


def new_selector(stores, engines):
    table = EngineTable()
    for number in range(engines):
        table.update(engine_record(f"e{number}", weights={"model": 1}))
    selector = EngineSelector(table, WeightTargets(8.0), "zone-1")
    selector.kept_stores = tuple(
        KeptStoreProfile(f"10.0.0.{number}:1", f"zone-{number}") for number in range(stores)
    )
    return selector


@given("{stores:d} kept stores and {engines:d} engines")
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
def step_alike(context):
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
def step_away(context):
    assert context.placed != context.holder


@then("it goes to the engine that holds the part")
def step_to_holder(context):
    assert context.placed == context.holder


@given("moving the memory of a token takes {move:g} microseconds")
def step_move_time(context, move):
    context.selectors[0].move_s_per_token["service-1"] = move / 1e6


def kept_request():
    parts = (PromptPart("part", 10_000), PromptPart("own", 10))
    return replace(opaque_request(), prompt=PromptShape("model", parts, 10_010, 20))


@given("a part of 10000 tokens is kept, and {waiting:d} tokens wait at the engine that holds it")
def step_kept_part(context, waiting):
    selector = context.selectors[0]
    choice = selector.choose(kept_request(), frozenset(), 0.0)
    selector.record_read(choice, kept_request(), 0.0)
    context.holder = choice.engine_id
    load = EngineLoad(requests=1, waiting_tokens=waiting)
    selector._engines.get(choice.engine_id).own_load.add(load)


@when("a prompt with that part is placed")
def step_place_kept(context):
    context.placed = context.selectors[0].choose(kept_request(), frozenset(), 0.1).engine_id


@then("it goes to the engine that holds it")
def step_at_holder(context):
    assert context.placed == context.holder


@then("it goes to the engine that holds nothing")
def step_at_other(context):
    assert context.placed != context.holder
