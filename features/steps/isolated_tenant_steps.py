"""Steps on the cache salts of tenants that become isolated, with a node as a separate process."""

import itertools

from behave import given, then, when

from features.standin.deployment import KEY

MODEL = "model-1"
SERVED = 200
FIRST, OTHER = "mill", "port"
KEYS = {FIRST: KEY, OTHER: "key-of-port"}
PROBE_KEY = "key-of-probe"


def configure(context, isolated, has_keys=True):
    """Put a configuration in force: the stand-in's first tenant is the one that changes."""
    deployment, version = context.deployment, next(context.versions)
    others = (
        {"Name": OTHER, "ApiKeys": [KEYS[OTHER]], "Priority": 1},
        {"Name": "probe", "ApiKeys": [f"{PROBE_KEY}-{version}"], "Priority": 1},
    )
    fields = {"Name": FIRST, "Isolated": isolated}
    keys = (KEY,) if has_keys else ()
    deployment.configure(version, keys=keys, quota=fields, extra_tenants=others)

    async def is_in_force():
        key = f"{PROBE_KEY}-{version}"
        return (await deployment.call(deployment.nodes[0], "/safe/x", key=key))[0] == SERVED

    context.run(deployment.wait_until(is_in_force))


@given('a node, and the tenants "mill" and "port"')
def step_tenants(context):
    async def add():
        node = await context.deployment.add_node("node-1")
        await context.deployment.ready(node)

    context.run(add())
    context.versions = itertools.count(10)
    context.salts = []
    configure(context, isolated=False)


@when('"mill" and "port" send prompts')
def step_prompts(context):
    context.salts.append([context.run(salt_of(context, name)) for name in (FIRST, OTHER)])


async def salt_of(context, tenant):
    deployment = context.deployment
    call = deployment.call(deployment.nodes[0], "/stream/x", key=KEYS[tenant], model=MODEL)
    assert (await call)[0] == SERVED
    (arrival,) = deployment.engines["llm-0"].arrivals[-1:]
    return arrival.headers["X-Cache-Salt"]


@when('"mill" becomes isolated')
def step_isolated(context):
    configure(context, isolated=True)


@when('"mill" is no longer isolated')
def step_shared(context):
    configure(context, isolated=False)


@when("a configuration changes something else")
def step_other_change(context):
    configure(context, isolated=True)


@when('"mill" loses its keys for a while')
def step_without_keys(context):
    configure(context, isolated=True, has_keys=False)
    before = context.run(salt_of(context, OTHER))
    assert before == context.salts[0][1], (before, context.salts)
    configure(context, isolated=True)


@then('the prompts of "mill" and "port" had one cache salt before, and two others since')
def step_new_salts(context):
    before, since = context.salts
    assert len(set(before)) == 1 and len({*before, *since}) == 3, context.salts


@then('the prompts of "mill" and "port" had the same two cache salts twice')
def step_same_salts(context):
    before, since = context.salts
    assert before == since and len(set(before)) == 2, context.salts


@then('the prompts of "mill" and "port" had one cache salt')
def step_one_salt(context):
    ((first, second),) = context.salts
    assert first == second, context.salts
