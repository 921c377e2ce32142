"""Steps on what a gateway's process holds for callers that read or send slowly."""

import asyncio
import re
import time
from pathlib import Path

from behave import given, then, when

from features.standin.deployment import HOST, KEY, prompt_headers

MEGABYTE = 1_048_576
BODY_BYTES = 4 * MEGABYTE
# A caller's own buffer is small, so that what it does not read stays at the node.
CALLER_BUFFER_BYTES = 4_096


def head(path, number, **more):
    headers = {
        "Host": HOST,
        "X-Attempt-Id": f"{number:016x}",
        "X-Deadline-Ms": "4500",
        "Authorization": f"Token {KEY}",
        **more,
    }
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"POST {path} HTTP/1.1\r\n{lines}\r\n".encode()


async def connect(context):
    host, port = context.deployment.nodes[0].address("Front").split(":")
    reader, writer = await asyncio.open_connection(host, int(port), limit=CALLER_BUFFER_BYTES)
    context.stack.callback(writer.transport.abort)
    return reader, writer


def memory_megabytes(context, field):
    status = Path(f"/proc/{context.deployment.nodes[0].process.pid}/status").read_text()
    return int(re.search(rf"{field}:\s+(\d+)", status)[1]) / 1024


def add_node(context, changes):
    async def add():
        node = await context.deployment.add_node("node-1", changes=changes)
        await context.deployment.ready(node)

    context.deployment.configure(5, body_bytes=BODY_BYTES)
    context.run(add())


@given("a node of {megabytes:d} MB whose callers may read slowly")
def step_bounded_node(context, megabytes):
    limits = f"{{ MemoryMb = {megabytes} }}"
    add_node(context, {"Contracts": '["pressure"]', "Limits": limits})


@given("a node without bounds")
def step_unbounded_node(context):
    add_node(context, {})


@given("engines that send {events:d} events of {size:d} KB")
def step_long_events(context, events, size):
    for engine in context.deployment.engines.values():
        engine.events, engine.event_bytes, engine.event_seconds = events, size * 1024, 0.0


@when("{count:d} callers send {sent:d} MB of a body of 4 MB and no more")
def step_half_bodies(context, count, sent):
    async def send(number):
        reader, writer = await connect(context)
        writer.write(head("/whole/x", number, **{"Content-Length": BODY_BYTES}))
        writer.write(b"x" * (sent * MEGABYTE))
        return reader, writer

    async def send_all():
        context.callers = await asyncio.gather(*(send(n + 1) for n in range(count)))
        await asyncio.sleep(1.5)

    context.run(send_all())


@when("{count:d} callers ask for a stream and read nothing")
def step_read_nothing(context, count):
    async def ask(number):
        reader, writer = await connect(context)
        more = {**prompt_headers("model-1"), "Content-Length": "0"}
        writer.write(head("/stream/x", number, **more))
        return reader, writer

    async def ask_all():
        context.callers = []
        for number in range(count):
            context.callers.append(await ask(number + 1))
        await asyncio.sleep(1.0)

    context.asked_at = time.monotonic()
    context.run(ask_all())


@when("{count:d} callers begin a request each, in {what}, and send a byte of it each 0.1 s")
def step_trickle(context, count, what):
    whole = head("/whole/x", 1, **{"Content-Length": BODY_BYTES})
    begun = whole if what == "the body" else whole[:60]
    rest = b"x" * 100 if what == "the body" else whole[60:]

    async def trickle(number):
        reader, writer = await connect(context)
        writer.write(begun.replace(b"%016x" % 1, b"%016x" % number))
        for byte in rest:
            await asyncio.sleep(0.1)
            if writer.transport.is_closing():
                break
            writer.write(bytes([byte]))
        return reader

    async def begin():
        context.trickling = [asyncio.ensure_future(trickle(n + 1)) for n in range(count)]
        await asyncio.sleep(2.5)

    context.run(begin())


@then("another caller's body of {size:d} KB is served within {seconds:g} s")
def step_large_served(context, size, seconds):
    began = time.monotonic()
    body = b"x" * (size * 1024)
    call = context.deployment.call(context.deployment.nodes[0], "/whole/y", body=body)
    status, _, _, whole = context.run(call)
    assert status == 200 and whole, status
    assert time.monotonic() - began < seconds, time.monotonic() - began
    assert context.deployment.arrivals()[-1].body == body


@when("they close their connections")
def step_close(context):
    for _, writer in context.callers:
        writer.transport.abort()
    context.closed_at = time.monotonic()


@then("the process has never taken more than {megabytes:d} MB")
def step_peak(context, megabytes):
    peak = memory_megabytes(context, "VmHWM")
    print(f"peak {peak:.0f} MB")
    assert peak <= megabytes, peak


@then("some of them are refused as not run, with a time to come back")
def step_some_refused(context):
    async def first_line(reader):
        try:
            async with asyncio.timeout(0.2):
                return await reader.readuntil(b"\r\n\r\n")
        except TimeoutError:
            return b""

    async def heads():
        return await asyncio.gather(*(first_line(reader) for reader, _ in context.callers))

    refused = [text for text in context.run(heads()) if text]
    print(f"refused {len(refused)} of {len(context.callers)}")
    assert refused
    assert all(b" 503 " in text and b"Retry-After" in text for text in refused), refused[0]


@then("another caller is served within {seconds:g} s")
def step_other_served(context, seconds):
    began = time.monotonic()
    node = context.deployment.nodes[0]
    status, headers, _, whole = context.run(context.deployment.call(node, "/whole/y"))
    assert status == 200 and whole and "X-Response-Signature" in headers, status
    assert time.monotonic() - began < seconds, time.monotonic() - began


@then("engines have finished {count:d} of the streams by themselves within {seconds:g} s")
def step_finished(context, count, seconds):
    async def finished():
        arrivals = context.deployment.arrivals()
        return sum(a.finished and not a.cut for a in arrivals) >= count

    left_s = context.asked_at + seconds - time.monotonic()
    context.run(context.deployment.wait_until(finished, left_s))


@then("engines work on none of them {seconds:g} s later")
def step_all_cut(context, seconds):
    async def none_left():
        return all(a.finished or a.cut for a in context.deployment.arrivals())

    assert not context.run(none_left()), "none was under way"
    context.run(context.deployment.wait_until(none_left, seconds))


@then('the node has told of {count:d} answers ended as "{reason}"')
def step_told(context, count, reason):
    node = context.deployment.nodes[0]
    told = [line for line in node.log().splitlines() if '"LET_GO"' in line]
    assert len(told) == count, told
    assert all(f'"why":"{reason}"' in line for line in told), told[0]

    async def counters():
        async with context.deployment.session.get(f"http://{node.address('Metrics')}/metrics") as a:
            return await a.text()

    text = context.run(counters())
    assert f'liftrill_slow_callers_total{{reason="{reason}"}} {count}.0' in text, text
