"""Steps about changes of weights."""

import asyncio

from behave import then, when

from features.support import planned_requests, send_all
from liftrill.bench.launcher import wait_until


async def weights(context):
    status = await context.cluster.operator().call("GET", "/status")
    return {engine["weight_version"] for engine in status["engines"]}


@when("requests are sent while the operator confirms weights {version}")
def step_confirm_weights(context, version):
    pool = context.cluster.deployment.pools[0]
    row = {"name": pool.name, "model": pool.model, "weight_version": version}

    async def send_until_changed():
        records = []
        await context.cluster.operator(1).confirm_intent({"pools": [row]})
        while await weights(context) != {version}:
            records.extend(await send_all(context, planned_requests(context, 6)))
        return records

    context.records = context.run(asyncio.wait_for(send_until_changed(), 120))


@then("every engine comes to have weights {version}")
def step_all_have(context, version):
    async def changed():
        return await weights(context) == {version}

    context.run(wait_until(changed, f"weights {version}"))


@then("every answer was made with weights {version}")
def step_made_with(context, version):
    for record in context.records:
        assert record.weight_version == version, record
        assert not record.problems, record
