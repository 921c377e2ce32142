"""Steps on requests that a peer passes on, with nodes as separate processes."""

import asyncio
import time
from contextlib import suppress

import aiohttp
from behave import given, then, when

from features.standin.deployment import HOST, KEY, prompt_headers
from features.standin.engine_links import CutKind

SERVED = 200
DEADLINE_MS = 4000
# Time for the first requests of a node that is cut off to find a path.
SETTLE_S = 3.0
READ_PAUSE_S = 0.02
READ_BYTES = 65_536


@given("the first node reaches no engine, and sends its requests by the second")
def step_cut_first(context):
    context.run(cut_first(context))


async def cut_first(context, paths=(("/safe/x", ""), ("/stream/x", "model-1"))):
    """Cut the first node's links, and wait until requests to all paths are served by its peer."""
    deployment = context.deployment
    first = deployment.nodes[0]

    async def both_known():
        return len((await deployment.resolve(first))["Addresses"]) == 2

    await deployment.wait_until(both_known)
    context.links[first.name].cut(CutKind.REFUSE)

    async def all_served():
        answers = [await deployment.call(first, path, model=model) for path, model in paths]
        return all(answer[0] == SERVED for answer in answers)

    await deployment.wait_until(all_served, SETTLE_S)
    assert '"liftrill:proxy_found"' in first.log()


def model_engines(context):
    return [e for e in context.deployment.engines.values() if e.service == "llm"]


def model_engine(context):
    return model_engines(context)[0]


def desk_engine(context):
    return next(e for e in context.deployment.engines.values() if e.service == "desk")


@given("model engines that send {count:d} events, {pause:g} s apart")
def step_events(context, count, pause):
    for engine in model_engines(context):
        engine.events, engine.event_seconds = count, pause


@given("model engines that send {count:d} events of {size:d} bytes, {pause:g} s apart")
def step_large_events(context, count, size, pause):
    step_events(context, count, pause)
    model_engine(context).event_bytes = size


def headers_of(attempt_id, model=""):
    return {
        "Host": HOST,
        "X-Attempt-Id": attempt_id,
        "X-Deadline-Ms": str(DEADLINE_MS),
        "Authorization": f"Token {KEY}",
        **(prompt_headers(model) if model else {}),
    }


def arrivals_of(context, attempt_id):
    return [a for a in context.deployment.arrivals() if a.attempt_id == attempt_id]


@when('a caller of the first node cancels a "{route}" after {seconds:g} s')
def step_cancel(context, route, seconds):
    context.run(cancel(context, route, seconds))


async def cancel(context, route, seconds):
    deployment = context.deployment
    url = f"http://{deployment.nodes[0].address('Front')}/{route}/x"
    arrived = len(deployment.arrivals())

    async def read():
        async with deployment.session.post(
            url, headers=headers_of("cancelled", "model-1"), data=b"body"
        ) as answer:
            await answer.read()

    reading = asyncio.ensure_future(read())
    await asyncio.sleep(seconds)
    await deployment.arrived(more_than=arrived)
    reading.cancel()
    with suppress(asyncio.CancelledError):
        await reading


@then("its engine sees the cancellation within {seconds:g} s")
def step_cancelled(context, seconds):
    async def is_cut():
        return all(arrival.cut for arrival in arrivals_of(context, "cancelled"))

    assert len(arrivals_of(context, "cancelled")) == 1
    context.run(context.deployment.wait_until(is_cut, seconds))


@when('a caller of the first node sends {size:d} bytes to "{route}"')
def step_large_body(context, size, route):
    context.deployment.configure(6, body_bytes=4 * size)
    context.body = bytes(range(256)) * (size // 256)
    first = context.deployment.nodes[0]

    async def is_accepted():
        headers = {"X-Attempt-Id": "large"}
        answer = await context.deployment.call(first, f"/{route}/x", body=context.body, **headers)
        return answer[0] == SERVED

    context.run(context.deployment.wait_until(is_accepted))


@then("its engine received exactly these, with the caller's id and the time that was left")
def step_received(context):
    (arrival,) = arrivals_of(context, "large")
    assert arrival.body == context.body
    assert 0 < int(arrival.headers["X-Deadline-Ms"]) <= DEADLINE_MS
    assert not [name for name in arrival.headers if name.lower().startswith("liftrill")]


@when('a caller of the first node reads a "{route}" slowly')
def step_read_slowly(context, route):
    context.run(read_slowly(context, route))


async def read_slowly(context, route):
    url = f"http://{context.deployment.nodes[0].address('Front')}/{route}/x"
    pieces = []
    async with context.deployment.session.post(
        url, headers=headers_of("slow", "model-1"), data=b"body"
    ) as answer:
        while piece := await answer.content.read(READ_BYTES):
            pieces.append(piece)
            await asyncio.sleep(READ_PAUSE_S)
    context.received = b"".join(pieces)


@then("it received all {count:d} events in order")
def step_all_events(context, count):
    lines = context.received.decode().splitlines()
    ids = [int(line.removeprefix("id: ")) for line in lines if line.startswith("id: ")]
    assert ids == list(range(1, count + 1)), ids


@when('the second node is killed {seconds:g} s after a caller of the first node began a "{route}"')
def step_kill_proxy(context, seconds, route):
    context.run(lose_proxy(context, seconds, route, context.deployment.nodes[1].stop))


@when(
    "the second node loses its links {seconds:g} s after a caller of the first node"
    ' began a "{route}"'
)
def step_cut_proxy(context, seconds, route):
    async def cut():
        context.links[context.deployment.nodes[1].name].cut(CutKind.RESET)

    context.run(lose_proxy(context, seconds, route, cut))


async def lose_proxy(context, seconds, route, lose):
    first = context.deployment.nodes[0]
    url = f"http://{first.address('Front')}/{route}/x"
    begun = []

    async def has_begun():
        return bool(begun)

    async def call():
        async with context.deployment.session.post(
            url, headers=headers_of("killed", "model-1"), data=b"body"
        ) as answer:
            begun.append(answer.status)
            try:
                await answer.read()
            except aiohttp.ClientPayloadError:
                return answer.status, False
            return answer.status, True

    calling = asyncio.ensure_future(call())
    await asyncio.sleep(seconds)
    await context.deployment.wait_until(has_begun)
    await lose()
    context.answer = await calling


@then("the answer was cut and the request ran once")
def step_cut_answer(context):
    assert context.answer == (SERVED, False), context.answer
    assert len(arrivals_of(context, "killed")) == 1


@when("a caller of the first node sends a request with the headers of a proxied one")
def step_forged(context):
    engine = model_engine(context)
    forged = {"Liftrill-Engine": engine.engine_id, "Liftrill-Engine-Address": engine.address}
    first = context.deployment.nodes[0]
    context.answer = context.run(
        context.deployment.call(first, "/safe/x", **forged, **{"X-Attempt-Id": "forged"})
    )


@then("it was served by the engine of its route")
def step_served_by_route(context):
    assert context.answer[0] == SERVED, context.answer
    assert [a.attempt_id for a in desk_engine(context).arrivals].count("forged") == 1


def named_engine(context, target):
    desk, model = desk_engine(context), model_engine(context)
    return {
        "an unknown engine": {
            "Liftrill-Engine": "unknown",
            "Liftrill-Engine-Address": desk.address,
        },
        "a known engine elsewhere": {
            "Liftrill-Engine": desk.engine_id,
            "Liftrill-Engine-Address": model.address,
        },
        "no engine": {},
        "the desk engine": {
            "Liftrill-Engine": desk.engine_id,
            "Liftrill-Engine-Address": desk.address,
        },
    }[target]


@when("a proxied request for {target} is sent to the second node")
def step_send_to_proxy(context, target):
    context.run(send_to_proxy(context, target))


async def send_to_proxy(context, target):
    second = context.deployment.nodes[1]
    url = f"http://{second.ip}:{second.ports['Peer'] + 1}/safe/x"
    headers = {**headers_of("direct"), **named_engine(context, target)}
    async with context.deployment.session.post(url, headers=headers, data=b"body") as answer:
        context.answer = answer.status, answer.headers.get("Liftrill-Proxy-Outcome")


@when("the desk engine is leaving, and a proxied request for it is sent to the second node")
def step_leaving(context):
    engine = desk_engine(context)
    context.deployment.record(engine, "draining")
    until = time.monotonic() + 1.0

    async def is_refused():
        await send_to_proxy(context, "the desk engine")
        return context.answer[1] == "withdrawn" or time.monotonic() > until

    context.run(context.deployment.wait_until(is_refused))
    engine.arrivals.clear()
    context.run(send_to_proxy(context, "the desk engine"))


@then("it is refused as {outcome}, and nothing was sent")
def step_refused(context, outcome):
    assert context.answer == (503, outcome), context.answer
    assert not arrivals_of(context, "direct")


@when(
    'a caller of the first node asks for a "{route}" that its engine closes after {count:d} events'
)
def step_closes(context, route, count):
    engine, deployment = model_engine(context), context.deployment
    engine.fault = "unframed_after_event"
    call = deployment.call(deployment.nodes[0], f"/{route}/x", model="model-1")
    context.answer = context.run(call)
    assert len([a for a in engine.arrivals if a.fault]) == 1


@then("it gets {count:d} events, and a complete end")
def step_events_and_end(context, count):
    status, _, body, is_whole = context.answer
    assert (status, body.count(b"\n\n"), is_whole) == (SERVED, count, True), context.answer
