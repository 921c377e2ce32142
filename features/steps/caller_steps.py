"""Steps for callers of a running node."""

import asyncio
import signal

import aiohttp
import orjson
import psutil
from behave import step, then, when

from features.support import planned_requests, post
from liftrill.bench.deployment import api_key
from liftrill.bench.launcher import wait_until
from liftrill.emulator.engine_model import expected_output

HEADERS = {"Authorization": f"Bearer {api_key('tenant-1')}"}


def url(context, path="/v1/completions"):
    return f"http://{context.cluster.nodes[0].address}{path}"


def stream_body(tokens, prompt="a prompt"):
    body = {"model": "chart-reader", "prompt": prompt, "max_tokens": tokens, "stream": True}
    return orjson.dumps(body)


async def read_stream(response):
    text, done = "", False
    async for line in response.content:
        if line.startswith(b"data: [DONE]"):
            done = True
        elif line.startswith(b"data: "):
            text += orjson.loads(line[6:])["choices"][0]["text"]
    return text, done


async def engine_status(context):
    address = context.cluster.engines[0].managed.address
    async with context.cluster.session.get(f"http://{address}/v1/status") as response:
        return orjson.loads(await response.read())


@when("a caller closes its connection after the first token of a long stream")
def step_disconnects(context):
    async def run():
        body = stream_body(5000)
        async with aiohttp.ClientSession() as session:
            response = await session.post(url(context), data=body, headers=HEADERS)
            await response.content.readline()
            response.close()

    context.run(run())


@then("the engine eventually holds no attempt")
def step_no_attempt(context):
    async def idle():
        status = await engine_status(context)
        return status["running"] == 0 and status["waiting"] == 0

    context.run(wait_until(idle, "an idle engine"))


@then("the node counted a cancelled attempt")
def step_cancelled_counted(context):
    async def metrics():
        async with context.cluster.session.get(url(context, "/metrics")) as response:
            return await response.text()

    assert 'liftrill_attempts_total{result="cancelled"} 1.0' in context.run(metrics())


@when("a caller pauses for {seconds:d} seconds while a stream of {tokens:d} tokens arrives")
def step_slow_reader(context, seconds, tokens):
    async def run():
        node = psutil.Process(context.cluster.nodes[0].process.pid)
        before = node.memory_info().rss
        async with context.cluster.session.post(
            url(context), data=stream_body(tokens), headers=HEADERS
        ) as response:
            await asyncio.sleep(seconds)
            context.memory_growth = node.memory_info().rss - before
            context.streamed = await read_stream(response)
        context.expected = expected_output("2026-11", b"a prompt", tokens)

    context.run(run())


@then("the stream is complete")
def step_stream_complete(context):
    assert context.streamed == (context.expected, True)


@then("the memory of the node grew by less than {megabytes:d} megabytes")
def step_memory_growth(context, megabytes):
    assert context.memory_growth < megabytes * 1e6, context.memory_growth


@then("the response has a Retry-After header")
def step_retry_after(context):
    assert int(context.answer[1]["Retry-After"]) >= 1, context.answer


def chat_body(stream):
    message = {"role": "user", "content": "hello"}
    body = {"model": "chart-reader", "messages": [message], "max_tokens": 3, "stream": stream}
    return orjson.dumps(body)


@then("a complete chat response has a message, a finish reason and usage")
def step_chat(context):
    answer = context.run(post(context, "/v1/chat/completions", chat_body(False)))
    body = orjson.loads(answer[2])
    assert body["object"] == "chat.completion", body
    assert len(body["choices"][0]["message"]["content"]) == 12, body
    assert body["choices"][0]["finish_reason"] == "length", body
    assert body["usage"]["completion_tokens"] == 3, body


@then("a streamed chat response has deltas, a finish reason and the end marker")
def step_chat_stream(context):
    _, _, body = context.run(post(context, "/v1/chat/completions", chat_body(True)))
    lines = [line[6:] for line in body.split(b"\n\n") if line.startswith(b"data: ")]
    assert lines[-1] == b"[DONE]", lines
    chunks = [orjson.loads(line) for line in lines[:-1]]
    assert [c["token_index"] for c in chunks[:-1]] == [0, 1, 2], chunks
    assert all(c["choices"][0]["delta"]["content"] for c in chunks[:-1]), chunks
    assert chunks[-1]["choices"][0]["finish_reason"] == "length", chunks


@then("the models are listed")
def step_models(context):
    async def models():
        async with context.cluster.session.get(url(context, "/v1/models")) as response:
            return orjson.loads(await response.read())

    assert [m["id"] for m in context.run(models())["data"]] == ["chart-reader"]


async def stop_under_load(context, streams, signals):
    node = context.cluster.nodes[0]
    planned = planned_requests(context, streams, "folio-review", output_tokens=300)
    calls = asyncio.gather(
        *(context.caller.send(node.name, node.address, request) for request in planned)
    )

    async def executions_started():
        return len(context.cluster.executions()) >= streams

    await wait_until(executions_started, "executions")
    for _ in range(signals):
        node.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.3)
    return calls


@when("node 0 receives SIGTERM while {streams:d} streams run")
def step_stop(context, streams):
    async def run():
        calls = await stop_under_load(context, streams, 1)
        context.answer = await post(context, "/v1/completions", stream_body(1))
        context.records = await calls

    context.run(run())


@then("a new request to node 0 is refused as not run with code {code:d}")
def step_refused(context, code):
    status, headers, body = context.answer
    assert status == 503 and headers["Liftrill-Execution"] == "not-run", context.answer
    assert orjson.loads(body)["error"]["code"] == code, body


@then("the {streams:d} streams are complete and node 0 exits with {code:d}")
def step_streams_complete(context, streams, code):
    assert all(r.complete and not r.problems for r in context.records), context.records
    assert len(context.records) == streams
    assert context.cluster.nodes[0].wait(30) == code


@when("node 0 receives SIGTERM twice while {streams:d} streams run")
def step_stop_twice(context, streams):
    async def run():
        calls = await stop_under_load(context, streams, 2)
        context.records = await calls

    context.run(run())


@step("node 0 exits with {code:d} and its log reports a second signal")
def step_second_signal(context, code):
    node = context.cluster.nodes[0]
    assert node.wait(30) == code
    assert "second_signal" in node.log_path.read_text()
