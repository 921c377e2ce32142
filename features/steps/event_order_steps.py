"""Steps on the order of a stream's events, with nodes as separate processes."""

import re

import aiohttp
from behave import given, then, when

from features.steps.lost_connection_steps import start_deployment

NAME = re.compile(rb"data: (\S+)\n\n")
# Only runs of so many output tokens are copied to another engine.
PROMPT_AND_OUTPUT_TOKENS = "30,1024"


@given("{engines:d} model engines that hold copies of each other's runs, and a node")
def step_deployment(context, engines):
    engine_ids = [f"llm-{number + 1}" for number in range(engines)]
    start_deployment(context, engine_ids, 1)


@when('a stream on "{route}" is answered with "{runs}"')
def step_stream(context, route, runs):
    scripts = [run.strip() for run in runs.split("/")]
    for engine in context.deployment.engines.values():
        engine.scripts = scripts
    context.got, context.complete = context.run(read_stream(context.deployment, route))
    assert not scripts, f"not asked for: {scripts}"


async def read_stream(deployment, route):
    """Return the bytes of a stream, and whether it ended as complete."""
    got = b""
    opened = deployment.open_call(
        deployment.nodes[0],
        f"/{route}/x",
        model="model-1",
        **{"X-Token-Usage": PROMPT_AND_OUTPUT_TOKENS},
    )
    async with opened as answer:
        assert answer.status == 200, answer.status
        try:
            while data := await answer.content.readany():
                got += data
        except aiohttp.ClientError:
            return got, False
    return got, True


@then('its caller gets "{names}", and the stream {end}')
def step_got(context, names, end):
    got = " ".join(name.decode() for name in NAME.findall(context.got))
    seen = got, "is complete" if context.complete else "breaks off"
    assert seen == (names, end), seen


@then("the node counts and logs {count:d} answer as rejected")
@then("the node counts and logs {count:d} answers as rejected")
def step_rejected(context, count):
    deployment = context.deployment
    page = context.run(deployment.metrics(deployment.nodes[0]))
    counted = re.search(r"^liftrill_rejected_responses_total (\S+)", page, re.MULTILINE)
    assert counted and float(counted[1]) == count, counted
    outcomes = [row["outcome"] for row in deployment.logged("attempt_failed")]
    spoiled = [each for each in outcomes if "does not continue the stream" in each]
    assert len(spoiled) == count, outcomes
