"""Steps for engines that move between pools."""

from datetime import UTC, datetime, timedelta

from behave import given, then, when

from features.support import start_deployment
from liftrill.bench.deployment import load_deployment
from liftrill.bench.launcher import wait_until
from liftrill.messages.configuration_pb2 import Burst, Pool
from liftrill.planning.burst import BurstController, BurstParameters, ControlView
from liftrill.routing.engine_state import EngineIdentity, EngineListing, EngineTable

STEP_SECONDS = 1.0


class PoolSimulation:
    """Two pools, their engines, and one controller for each pool."""

    def __init__(self, credit, overnight, borrow_limit):
        self.pools = {
            "credit": Pool(
                name="credit",
                model="credit-model",
                weight_version="c1",
                borrow_limit=borrow_limit,
                borrow_from=["overnight"],
            ),
            "overnight": Pool(name="overnight", model="night-model", weight_version="n1"),
        }
        self.bursts = []
        self.table = EngineTable()
        self.now = 0.0
        self.unix_now = 0.0
        self.orders = []
        for pool, count in (("credit", credit), ("overnight", overnight)):
            for number in range(count):
                self.add(f"{pool}-{number}", pool)
        self.controllers = [BurstController(name, BurstParameters()) for name in self.pools]

    def add(self, engine_id, pool):
        self.table.apply_listing(EngineListing(engine_id, engine_id, "z", pool, False))
        weights = self.pools[pool].weight_version
        self.table.get(engine_id).apply_identity(EngineIdentity(1, 0, weights, False))

    def move(self, engine_id, pool, weights):
        engine = self.table.get(engine_id)
        revision = engine.identity.revision + 1
        engine.apply_identity(EngineIdentity(1, revision, weights, False, pool))

    def set_load(self, pool, requests):
        for engine in self.table.in_pools([pool]):
            engine.apply_load(requests, 0, 0, self.now)

    def step(self, take_effect=True):
        view = ControlView(
            self.pools,
            self.bursts,
            {name: self.table.in_pools([name]) for name in self.pools},
            [engine for engine in self.table if engine.pool not in self.pools],
            self.unix_now,
            self.now,
        )
        for controller in self.controllers:
            order = controller.decide(view)
            if order is None:
                continue
            self.orders.append(order)
            if take_effect and self.table.get(order.engine_id).pool == order.expected_pool:
                self.move(order.engine_id, order.pool, order.weight_version)
        self.now += STEP_SECONDS

    def count(self, pool):
        return len(self.table.in_pools([pool]))


@given(
    "pool credit with {own:d} engines may borrow {limit:d} "
    "from pool overnight with {other:d} engines"
)
def step_pools(context, own, limit, other):
    context.simulation = PoolSimulation(own, other, limit)


@given("pool overnight keeps at least {count:d} engines")
def step_minimum(context, count):
    context.simulation.pools["overnight"].minimum_engines = count


@given(
    "a burst of pool credit from {start:d} to {end:d} with a lead of {lead:d} "
    "that asks for {engines:d} engines"
)
def step_burst(context, start, end, lead, engines):
    burst = Burst(
        name="payroll",
        pool="credit",
        starts_at_seconds=start,
        ends_at_seconds=end,
        lead_seconds=lead,
        engines=engines,
    )
    context.simulation.bursts.append(burst)


@given("pool overnight with 2 engines, of which 1 serves a removed pool")
def step_lent_to_removed_pool(context):
    context.simulation = PoolSimulation(0, 2, 0)
    context.simulation.move("overnight-0", "gone", "g1")
    assert context.simulation.count("overnight") == 1


@when("the time is {unix:d}")
def step_time(context, unix):
    context.simulation.unix_now = unix
    context.simulation.set_load("credit", 6)
    context.simulation.set_load("overnight", 6)
    context.simulation.step()


@when("the time is {unix:d} and all orders take effect")
def step_time_effect(context, unix):
    for _ in range(10):
        step_time(context, unix)


@when("its controller decides and all orders take effect")
def step_decides(context):
    step_time_effect(context, 0)


@when("pool credit has a load of {load:d} requests per engine for {seconds:d} seconds")
def step_load(context, load, seconds):
    simulation = context.simulation
    for _ in range(int(seconds / STEP_SECONDS)):
        simulation.set_load("credit", load)
        simulation.set_load("overnight", 6)
        simulation.step()


@when(
    "the load of pool credit alternates between {low:d} and {high:d} requests "
    "every {period:d} seconds for {seconds:d} seconds"
)
def step_alternating_load(context, low, high, period, seconds):
    for second in range(seconds):
        step_load(context, high if second // period % 2 else low, 1)


@then("no order is issued")
def step_no_order(context):
    assert context.simulation.orders == [], context.simulation.orders


@then("pool credit has {credit:d} engines and pool overnight has {overnight:d}")
def step_counts(context, credit, overnight):
    counts = context.simulation.count("credit"), context.simulation.count("overnight")
    assert counts == (credit, overnight), (counts, context.simulation.orders)


@then("pool overnight has {count:d} engines")
def step_overnight(context, count):
    assert context.simulation.count("overnight") == count


@given("a cluster with {own:d} engines of chart-llm and {other:d} engines of spare")
def step_two_pools(context, own, other):
    deployment = load_deployment("sahil")
    pool = deployment.pools[0]
    spare = {"name": "spare", "model": "spare-model", "weight_version": "s1", "engines": other}
    pools = [pool.model_copy(update={"engines": own}), pool.model_copy(update=spare)]
    environment = {"LIFTRILL_BURST_IDLE_SECONDS": "1"}
    changed = deployment.model_copy(update={"pools": pools})
    start_deployment(context, changed, environment=environment)
    context.run(context.cluster.configure())


@when("the operator confirms a burst of chart-llm that is in progress and asks for 1 engine")
def step_confirm_burst(context):
    now = datetime.now(UTC)
    pool = context.cluster.deployment.pools[0]
    intent = {
        "pools": [
            {
                "name": pool.name,
                "model": pool.model,
                "weight_version": pool.weight_version,
                "borrow_from": ["spare"],
            }
        ],
        "bursts": [
            {
                "name": "season",
                "pool": pool.name,
                "starts_at": now.isoformat(),
                "ends_at": (now + timedelta(hours=1)).isoformat(),
                "engines": 1,
            }
        ],
    }

    async def confirm():
        operator = context.cluster.operator()
        context.plan = await operator.call("POST", "/intents", intent)
        await operator.call("POST", f"/plans/{context.plan['plan_id']}/confirm")

    context.run(confirm())


@then("the plan states that engines of spare are drained")
def step_plan_states(context):
    text = " ".join(context.plan["consequences"])
    assert "engines of spare" in text and "drained" in text, context.plan


@then("chart-llm eventually has {own:d} engines and spare {other:d}")
def step_eventual_engines(context, own, other):
    async def moved():
        status = await context.cluster.operator(1).call("GET", "/status")
        serving = [e["pool"] for e in status["engines"] if not e["leaving"]]
        context.moved = [
            e["engine_id"] for e in status["engines"] if not e["engine_id"].startswith(e["pool"])
        ]
        return (serving.count("chart-llm"), serving.count("spare")) == (own, other)

    context.run(wait_until(moved, f"{own} and {other} engines"))


@then("the moved engine ran some of the requests")
def step_ran_some(context):
    assert len(context.moved) == 1, context.moved
    rows = [r for r in context.cluster.executions() if r["engine_id"] == context.moved[0]]
    assert rows, "nothing ran there"


@when("the operator removes the burst")
def step_remove_burst(context):
    operator = context.cluster.operator()
    context.run(operator.confirm_intent({"remove": {"bursts": ["season"]}}))
