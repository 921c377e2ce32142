"""Steps for changes of weights."""

import asyncio

from behave import then, when

from features.support import planned_requests, send_all
from liftrill.bench.launcher import wait_until


async def weight_versions(context):
    status = await context.cluster.operator().call("GET", "/status")
    return {engine["weight_version"] for engine in status["engines"]}


@when("requests are sent while the operator confirms weights {version}")
def step_confirm_weights(context, version):
    pool = context.cluster.deployment.pools[0]
    pool_intent = {"name": pool.name, "model": pool.model, "weight_version": version}

    async def send_until_changed():
        records = []
        await context.cluster.operator(1).confirm_intent({"pools": [pool_intent]})
        while await weight_versions(context) != {version}:
            records.extend(await send_all(context, planned_requests(context, 6)))
        return records

    context.records = context.run(asyncio.wait_for(send_until_changed(), 120))


@then("every engine eventually has weights {version}")
def step_all_changed(context, version):
    async def changed():
        return await weight_versions(context) == {version}

    context.run(wait_until(changed, f"weights {version}"))


@then("every response was generated with weights {version}")
def step_generated_with(context, version):
    for record in context.records:
        assert record.weight_version == version, record
        assert not record.problems, record
