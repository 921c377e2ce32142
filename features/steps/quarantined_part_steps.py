"""Steps on the quarantine of prompt parts at nodes that report lost runs to each other."""

import itertools
import time
from dataclasses import replace

from behave import given, then, when

from features.gateway_support import choice_of, opaque_request
from features.steps.gateway_quarantine_steps import RAN_S
from liftrill import clock
from liftrill.coordination.lost_runs import LostRun
from liftrill.gateway.delivery_ports import Unavailable
from liftrill.gateway.engines.engine_selector import EngineSelector
from liftrill.gateway.opaque_request import PromptPart, PromptShape, part_digest
from liftrill.gateway.quarantine_codec import datagrams_from_runs, runs_from_message
from liftrill.gateway.quarantine_list import QuarantineEntry
from liftrill.gateway.weight_targets import WeightTargets

ISOLATED_TENANTS = "IJ"
_numbers = itertools.count(1)


def prompt_request(described):
    """Return a request with a body of its own, such as "A:first,second" of tenant A."""
    tenant, _, names = described.partition(":")
    number = next(_numbers)
    parts = tuple(PromptPart(name, 10) for name in (*names.split(","), f"own {number}"))
    request = opaque_request(
        body=str(number).encode(), tenant=tenant, isolated=tenant in ISOLATED_TENANTS
    )
    object.__setattr__(request, "prompt", PromptShape("model", parts, 100, 10))
    return request


@when('node {node:d} loses prompt "{prompt}" as engine {engine:d} ends')
def step_lose(context, node, prompt, engine):
    context.fleet.lose(str(node), prompt_request(prompt), str(engine))


def lose_twice(context, one, first, first_engine, other, second, second_engine):
    context.fleet.lose(one, first, first_engine)
    context.fleet.pass_time(1.0)
    context.fleet.lose(other, second, second_engine)


@when(
    'node {one} loses prompt "{first}" as engine {first_engine} ends, '
    'and node {other} "{second}" as engine {second_engine}'
)
def step_lose_two(context, one, first, first_engine, other, second, second_engine):
    requests = prompt_request(first), prompt_request(second)
    lose_twice(context, one, requests[0], first_engine, other, requests[1], second_engine)


@when(
    'node {one} loses the same prompt "{prompt}" as engine {first_engine} ends, '
    "and node {other} as engine {second_engine} ends"
)
def step_lose_same(context, one, prompt, first_engine, other, second_engine):
    request = prompt_request(prompt)
    lose_twice(context, one, request, first_engine, other, request, second_engine)
    context.fleet.pass_time(0.2)


def serve(context, node, prompt):
    fleet, request = context.fleet, prompt_request(prompt)
    fleet.nodes[node].parts_served(request, choice_of(fleet.view(node, "6")), fleet.now)
    fleet.pass_time(0.2)


@when('node {node} sees prompt "{prompt}" served')
def step_served(context, node, prompt):
    serve(context, node, prompt)


@when('node {node} sees prompt "{prompt}" served under other weights')
def step_served_elsewhere(context, node, prompt):
    context.fleet.view(node, "6").learn_weights("model", 2)
    serve(context, node, prompt)


@when('node {node} sees prompt "{prompt}" served by another software version')
def step_served_by_version(context, node, prompt):
    set_version(context.fleet, "6")
    serve(context, node, prompt)


@given("engine {engine} has another software version")
def step_version(context, engine):
    set_version(context.fleet, engine)


def set_version(fleet, engine):
    for node in fleet.nodes:
        view = fleet.view(node, engine)
        view.record = replace(view.record, software_version="v2")


@then('after {seconds:g} s all nodes refuse "{prompt}"')
def step_refuse(context, seconds, prompt):
    context.fleet.pass_time(seconds)
    context.fleet.pass_time(0.2)
    for node, quarantine in context.fleet.nodes.items():
        assert quarantine.check(prompt_request(prompt)) is not None, node


@then('after {seconds:g} s no node refuses "{prompt}"')
def step_refuse_not_later(context, seconds, prompt):
    context.fleet.pass_time(seconds)
    context.fleet.pass_time(0.2)
    step_refuse_not(context, prompt)


@then('no node refuses "{prompt}"')
def step_refuse_not(context, prompt):
    for node, quarantine in context.fleet.nodes.items():
        assert quarantine.check(prompt_request(prompt)) is None, node


@given('the quarantine of the part "{part}" ended 1 s ago at all nodes')
def step_part_over(context, part):
    digest = part_digest("", part)
    entry = QuarantineEntry(digest, time.time() - 1.0, engines=("1",), part=part)
    for quarantine in context.fleet.nodes.values():
        quarantine.apply_record(entry, context.fleet.now)


@then('no node suspects the prompt "{prompt}"')
def step_no_suspect(context, prompt):
    for node, quarantine in context.fleet.nodes.items():
        assert not quarantine.is_suspect(prompt_request(prompt)), node


@then('all nodes suspect the same part of prompts "{first}" and "{second}"')
def step_same_suspect(context, first, second):
    suspects = {
        quarantine.suspect(prompt_request(prompt))
        for quarantine in context.fleet.nodes.values()
        for prompt in (first, second)
    }
    assert suspects == {part_digest("", "dead")}, suspects


@then("a lost run with {count:d} parts is received whole in datagrams of less than 1,200 bytes")
def step_datagrams(context, count):
    now = clock.now_s()
    digests = tuple(part_digest("", str(number)) for number in range(count))
    run = LostRun(bytes(16), 2**64 - 1, True, now - RAN_S, now, digests, 2**64 - 1, 2**64 - 1)
    datagrams = datagrams_from_runs("a-node-with-a-long-name", [run, run], now)
    assert all(len(datagram.SerializeToString()) < 1_200 for datagram in datagrams)
    received = [run for datagram in datagrams for run in runs_from_message(datagram, now)]
    assert {part for piece in received for part in piece.parts} == set(digests)
    assert all(piece.tenant == run.tenant for piece in received)


@when(
    'two prompts "{prompt}" are lost together as engine {first} ends, '
    "and again as engine {second} ends"
)
def step_lose_together(context, prompt, first, second):
    requests = prompt_request(prompt), prompt_request(prompt)
    for engine in (first, second):
        context.fleet.lose("1", requests[0], engine, ends=False)
        context.fleet.lose("2", requests[1], engine)
        context.fleet.nodes["1"].engine_ended(context.fleet.view("1", engine), context.fleet.now)
        context.fleet.pass_time(1.0)


@then("node {node} avoids engine {engine} for {seconds:g} s, and chooses it again after that")
def step_avoided(context, node, engine, seconds):
    fleet = context.fleet
    for view in fleet.engines[node]:
        view.learn_weights("model", 1)
    selector = EngineSelector(fleet.engines[node], WeightTargets(8.0), "zone-1")
    selector.ended_lately = fleet.nodes[node].ended_lately
    others = frozenset("123456") - {engine}

    def chosen():
        return selector.choose(prompt_request("B:other"), others, fleet.now)

    assert chosen() is Unavailable.NONE_READY, chosen()
    fleet.pass_time(seconds - 0.1)
    assert chosen() is Unavailable.NONE_READY, chosen()
    fleet.pass_time(0.2)
    assert chosen().engine_id == engine, chosen()
