"""Steps for the router, the prefix directory and home directories."""

import itertools
import random
import time

from behave import given, then, when

from liftrill import constants
from liftrill.bench.deployment import load_deployment
from liftrill.bench.simulation.compare import run_once
from liftrill.bench.simulation.scenario import load_scenario
from liftrill.bench.simulation.simulator import configuration_of
from liftrill.cache.blocks import CacheScope, block_names
from liftrill.cache.directory import PrefixDirectory, markers_of
from liftrill.cache.event_stream import BlockEvent, EventStream
from liftrill.cache.home import AgedHolder, HomeDirectory, PrefixReport
from liftrill.cache.tokenizer import FixedWidthTokenizer
from liftrill.planning.sections import configuration_view
from liftrill.routing.admission import AdmissionController
from liftrill.routing.engine_state import EngineIdentity, EngineListing, EngineTable
from liftrill.routing.policies import POLICIES
from liftrill.routing.request import RoutedRequest
from liftrill.routing.request_state_machine import EngineChoice, Unavailable
from liftrill.routing.router import Router

PREFIX = b"the same folio " * 400


class RouterUnderTest:
    """A router with the engines of one pool."""

    def __init__(self, engines, seed=1):
        deployment = load_deployment("sahil")
        self.directory = PrefixDirectory(10_000, 10_000)
        self.table = EngineTable()
        pool = deployment.pools[0]
        for number in range(engines):
            engine_id = f"engine-{number}"
            self.table.apply_listing(EngineListing(engine_id, engine_id, "z", pool.name, False))
            self.state(number).apply_identity(EngineIdentity(1, 0, pool.weight_version, False))
        policy = POLICIES["liftrill"](self.directory, random.Random(seed))
        self.router = Router(
            self.table, policy, self.directory, AdmissionController(), b"secret", time.monotonic
        )
        self.router.view = configuration_view(configuration_of(deployment))
        self.request_numbers = itertools.count()

    def state(self, number):
        return self.table.get(f"engine-{number}")

    def request(self, tail=b""):
        prompt = PREFIX + tail
        return RoutedRequest(
            f"r{next(self.request_numbers)}",
            "tenant-1",
            "folio-review",
            "chart-reader",
            prompt,
            len(prompt) // 4,
            4,
            1,
            time.monotonic() + 60,
        )


@given("a router with {engines:d} engines")
def step_router(context, engines):
    context.router = RouterUnderTest(engines)


@given("{count:d} routers with {engines:d} engines each")
def step_routers(context, count, engines):
    context.routers = [RouterUnderTest(engines, seed) for seed in range(count)]


@when("engine {number:d} is at its concurrency limit")
def step_at_limit(context, number):
    state = context.router.state(number)
    for _ in range(constants.ENGINE_INITIAL_CONCURRENCY):
        state.record_start(0.0)
        state.record_prefilled(0)


@when("a request that was refused by engine {number:d} is routed")
def step_retry(context, number):
    excluded = frozenset({f"engine-{number}"})
    context.choice = context.router.router.choose(context.router.request(), excluded, None)


@when("a request that started with weights {version} is routed")
def step_started(context, version):
    request = context.router.request()
    context.choice = context.router.router.choose(request, frozenset(), version)


@when("a new request is routed")
def step_new(context):
    context.request = context.router.request()
    context.choice = context.router.router.choose(context.request, frozenset(), None)


@then("it is routed to engine {number:d}")
def step_routed_to(context, number):
    assert isinstance(context.choice, EngineChoice), context.choice
    assert context.choice.engine_id == f"engine-{number}", context.choice


@then("it has to wait")
def step_wait(context):
    assert context.choice is Unavailable.ALL_BUSY, context.choice


@when("it is queued and engine {number:d} gets a free slot")
def step_queued(context, number):
    router = context.router.router
    assert router.enqueue(context.request) is not None
    assert router.grant_dispatches() == []
    context.router.state(number).record_end()
    context.granted = router.grant_dispatches()


@then("it gets its turn and is routed to engine {number:d}")
def step_gets_turn(context, number):
    assert context.granted == [context.request]
    context.choice = context.router.router.choose(context.request, frozenset(), None)
    step_routed_to(context, number)


@when("each routes a request with the same prefix")
def step_each_routes(context):
    context.choices = {
        r.router.choose(r.request(b"tail"), frozenset(), None).engine_id for r in context.routers
    }


@then("all choose the same engine")
def step_same_engine(context):
    assert len(context.choices) == 1, context.choices


@when("requests with the same prefix were answered by the first choice")
def step_answered(context):
    under_test = context.router
    for _ in range(3):
        request = under_test.request()
        context.choice = under_test.router.choose(request, frozenset(), None)
        under_test.router.record_completion(request, context.choice.engine_id, 0)


def holder_depths(under_test):
    pool = under_test.router.view.pools.pools[0]
    markers = markers_of(under_test.router.block_names(under_test.request(), pool))
    incarnations = {e.engine_id: e.incarnation for e in under_test.table}
    return under_test.directory.believed_depths(markers, incarnations, time.monotonic())


@then("the directory lists the first choice as a holder of the prefix")
def step_listed_holder(context):
    assert context.choice.engine_id in holder_depths(context.router)


@when("the first choice restarts")
def step_restarts(context):
    state = context.router.table.get(context.choice.engine_id)
    state.apply_identity(EngineIdentity(2, 0, state.weight_version, False))


@then("the directory lists no holder of the prefix")
def step_no_holder(context):
    assert holder_depths(context.router) == {}


@given("a directory that has listed engine 0 as a holder of a prefix for {age:d} seconds")
def step_directory(context, age):
    context.directory = PrefixDirectory(100, 100)
    context.stream = EventStream("engine-0", context.directory)
    context.stream.apply(1, [BlockEvent(1, True, b"other")], 0.0)
    context.directory.observe([b"marker"], 0.0)
    context.directory.observe([b"marker"], 0.0)
    context.directory.record_held("engine-0", 1, [b"marker"], 100.0 - age)
    context.incarnation = 1


@when("the events of engine 0 have a gap")
def step_gap(context):
    assert context.directory.believed_depths([b"marker"], {"engine-0": 1}, 100.0)
    context.stream.apply(1, [BlockEvent(9, True, b"other")], 100.0)
    assert context.stream.gaps == 1


@when("the events of engine 0 come from a new incarnation")
def step_new_incarnation(context):
    context.stream.apply(2, [BlockEvent(1, True, b"other")], 100.0)


@then("the directory does not list engine 0 as a holder")
def step_not_listed(context):
    assert not context.directory.believed_depths([b"marker"], {"engine-0": 1}, 100.0)


@given("a home directory")
def step_home(context):
    context.home = HomeDirectory(10)


@when("node a reports a prefix at {rate:f} requests a second held by engine 1")
def step_report_a(context, rate):
    holder = AgedHolder("engine-1", 1, 0.5)
    context.home.exchange("a", [PrefixReport(b"p", rate, (holder,))], 10.0)


@when("node b reports the same prefix at {rate:f} requests a second")
def step_report_b(context, rate):
    context.answer = context.home.exchange("b", [PrefixReport(b"p", rate, ())], 11.0)[0]


@then("node b is told of {rate:f} requests a second at other nodes and of holder engine 1")
def step_home_answer(context, rate):
    assert context.answer.rate == rate
    assert context.answer.holders == (AgedHolder("engine-1", 1, 1.5),)


@then("the block names of 2 tenants and 2 weight versions all differ")
def step_block_names(context):
    names = []
    for tenant, version in itertools.product(("a", "b"), ("1", "2")):
        salt = CacheScope(tenant, "model", "", version).salt(b"secret")
        names.extend(block_names(PREFIX, salt, FixedWidthTokenizer()))
    assert len(set(names)) == len(names)


@when("engine {number:d} reports that it is leaving")
def step_reports_leaving(context, number):
    state = context.router.state(number)
    state.apply_identity(EngineIdentity(1, 1, state.weight_version, True))


@when("engine {number:d} reports weights {version}")
def step_reports_weights(context, number, version):
    context.router.state(number).apply_identity(EngineIdentity(1, 1, version, False))


@when("{count:d} new requests are routed")
def step_route_many(context, count):
    under_test = context.router
    context.choices = {
        under_test.router.choose(under_test.request(), frozenset(), None).engine_id
        for _ in range(count)
    }


@then("all are routed to engine {number:d}")
def step_all_routed_to(context, number):
    assert context.choices == {f"engine-{number}"}, context.choices


@then("two simulations of {seconds:d} seconds with seed {seed:d} are equal")
def step_deterministic(context, seconds, seed):
    scenario = load_scenario("payroll-burst").model_copy(update={"seconds": float(seconds)})
    first = run_once(scenario, "liftrill", seed)
    second = run_once(scenario, "liftrill", seed)
    assert first == second and first.requests > 0, (first, second)
