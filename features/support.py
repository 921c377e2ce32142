"""Helpers shared by step modules."""

import asyncio
from dataclasses import replace

from liftrill.bench.caller import Caller
from liftrill.bench.deployment import api_key, load_deployment
from liftrill.bench.launcher import Cluster
from liftrill.bench.workload import WorkloadGenerator


def start_cluster(context, engines, nodes, engine_settings=None, **options):
    deployment = load_deployment("sahil").model_copy(update={"nodes": nodes})
    pool = deployment.pools[0]
    engine = pool.engine.model_copy(update=engine_settings or {})
    pools = [pool.model_copy(update={"engines": engines, "engine": engine})]
    deployment = deployment.model_copy(update={"pools": pools})
    start_deployment(context, deployment, **options)


def start_deployment(context, deployment, **options):
    """Start the processes of a deployment without a configuration."""
    cluster = Cluster(deployment, context.directory, **options)
    context.cluster = context.run(context.stack.enter_async_context(cluster))
    context.generator = WorkloadGenerator(deployment, seed=7)
    versions = [*(pool.weight_version for pool in deployment.pools), "2026-12"]
    context.caller = Caller(context.cluster.session, versions)
    context.records = []


def planned_requests(context, count, workload_name=None, **changes):
    """Return `count` planned requests, all of one workload if it is given."""
    found = []
    number = 0
    while len(found) < count:
        planned = context.generator.request(number, 0.0)
        number += 1
        if workload_name in (None, planned.workload.name):
            workload = planned.workload.model_copy(update=changes)
            found.append(replace(planned, number=len(found), workload=workload))
    return found


async def send_all(context, planned, keys=None):
    nodes = context.cluster.nodes
    keys = keys or [""] * len(planned)
    calls = [
        context.caller.send(
            nodes[r.number % len(nodes)].name, nodes[r.number % len(nodes)].address, r, key
        )
        for r, key in zip(planned, keys, strict=True)
    ]
    return await asyncio.gather(*calls)


async def post(context, path, body, headers=None, node=0):
    url = f"http://{context.cluster.nodes[node].address}{path}"
    default = {"Authorization": f"Bearer {api_key('tenant-1')}"}
    async with context.cluster.session.post(
        url, data=body, headers={**default, **(headers or {})}
    ) as response:
        return response.status, dict(response.headers), await response.read()


async def generations(context):
    answers = [
        await context.cluster.operator(i).call("GET", "/status")
        for i in range(len(context.cluster.nodes))
    ]
    return [answer["generation"] for answer in answers]
