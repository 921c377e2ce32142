"""Steps on the memory that a gateway process uses for callers that read or send slowly."""

import asyncio
import re
import socket
import time

from behave import given, then, when

from features.standin.deployment import HOST, KEY, prompt_headers
from features.standin.engine import StandInEngine

MEGABYTE = 1_048_576
BODY_BYTES = 4 * MEGABYTE
# A caller's own buffer is small, so that unread bytes stay at the node.
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


def add_node(context, changes):
    async def add():
        node = await context.deployment.add_node("node-1", changes=changes)
        await context.deployment.ready(node)

    context.deployment.configure(5, body_bytes=BODY_BYTES)
    context.run(add())


@given("a node with a memory limit of {megabytes:d} MB")
def step_limited_node(context, megabytes):
    limits = f"{{ MemoryMb = {megabytes} }}"
    add_node(context, {"Contracts": '["pressure"]', "Limits": limits})


@given("a node without a memory limit")
def step_unlimited_node(context):
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
        return writer, asyncio.ensure_future(reader.readuntil(b"\r\n\r\n"))

    async def send_all():
        context.callers = await asyncio.gather(*(send(n + 1) for n in range(count)))
        await asyncio.sleep(1.5)

    context.run(send_all())


@when("{count:d} callers request a stream and read nothing")
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


@when("{count:d} callers each begin a request and send a byte of {what} each 0.1 s")
def step_trickle(context, count, what):
    whole = head("/whole/x", 1, **{"Content-Length": BODY_BYTES})
    first_bytes = whole if what == "the body" else whole[:60]
    rest = b"x" * 100 if what == "the body" else whole[60:]

    async def send_slowly(number):
        reader, writer = await connect(context)
        writer.write(first_bytes.replace(b"%016x" % 1, b"%016x" % number))
        for byte in rest:
            await asyncio.sleep(0.1)
            if writer.transport.is_closing():
                break
            writer.write(bytes([byte]))
        return reader

    async def begin():
        context.slow_requests = [asyncio.ensure_future(send_slowly(n + 1)) for n in range(count)]
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


class UnreadConnection(asyncio.Protocol):
    """An engine that accepts connections, and reads only what its kernel buffers."""

    def connection_made(self, transport):
        transport.pause_reading()


@given("an engine that stops reading in mid-body")
def step_stops_reading(context):
    async def add():
        server = await context.loop.create_server(UnreadConnection, "127.0.0.1", 0)
        context.stack.callback(server.close)
        listening = server.sockets[0]
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, CALLER_BUFFER_BYTES)
        return f"127.0.0.1:{listening.getsockname()[1]}"

    deployment = context.deployment
    deployment.store.remove("servers/desk-0")
    deployment.record(StandInEngine("deaf", "desk", address=context.run(add())))


@when("{count:d} callers send it bodies of 4 MB, and wait {seconds:g} s")
def step_send_bodies(context, count, seconds):
    deployment = context.deployment

    async def call():
        began = time.monotonic()
        more = {"X-Deadline-Ms": str(round(seconds * 1000))}
        status, *_ = await deployment.call(
            deployment.nodes[0], "/whole/x", body=b"x" * BODY_BYTES, **more
        )
        return status, time.monotonic() - began

    async def call_all():
        return await asyncio.gather(*(call() for _ in range(count)))

    answers = context.run(call_all())
    context.answers = [answer for answer in answers if answer[0] != 503]
    print(f"refused {len(answers) - len(context.answers)} of {count}")


@then("each whose body was accepted was told within {seconds:g} s that its outcome is unknown")
def step_unknown(context, seconds):
    # The node closes a connection that is idle for 2 s, which may happen before the deadline.
    assert context.answers and all(
        status in (502, 504) and took < seconds for status, took in context.answers
    ), context.answers


@then("the node holds nothing for callers")
def step_holds_nothing(context):
    async def nothing():
        text = await context.deployment.metrics(context.deployment.nodes[0])
        held = re.findall(r"liftrill_held_bytes{.*} (\S+)", text)
        return len(held) == 3 and set(held) == {"0.0"}

    context.run(context.deployment.wait_until(nothing, 2.0))


@when("they close their connections")
def step_close(context):
    for _, writer in context.callers:
        writer.transport.abort()
    context.closed_at = time.monotonic()


@then("the process has never used more than {megabytes:d} MB")
def step_peak(context, megabytes):
    peak = context.deployment.nodes[0].memory_megabytes("VmHWM")
    print(f"peak {peak:.0f} MB")
    assert peak <= megabytes, peak


@then("some of them are refused as not executed, with a time to retry")
def step_some_refused(context):
    refused = [answer.result() for _, answer in context.callers if answer.done()]
    for _, answer in context.callers:
        answer.cancel()
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


@then("engines have finished {count:d} of the streams within {seconds:g} s")
def step_finished(context, count, seconds):
    async def finished():
        arrivals = context.deployment.arrivals()
        return sum(a.finished and not a.cut for a in arrivals) >= count

    left_s = context.asked_at + seconds - time.monotonic()
    context.run(context.deployment.wait_until(finished, left_s))


@then("engines run none of them {seconds:g} s later")
def step_none_running(context, seconds):
    async def none_running():
        return all(a.finished or a.cut for a in context.deployment.arrivals())

    assert not context.run(none_running()), "no run was in progress"
    context.run(context.deployment.wait_until(none_running, seconds))


@then('the node has logged {count:d} answers ended as "{reason}"')
def step_logged(context, count, reason):
    node = context.deployment.nodes[0]
    lines = [line for line in node.log().splitlines() if '"LET_GO"' in line]
    assert len(lines) == count, lines
    assert all(f'"why":"{reason}"' in line for line in lines), lines[0]

    text = context.run(context.deployment.metrics(context.deployment.nodes[0]))
    assert f'liftrill_slow_callers_total{{reason="{reason}"}} {count}.0' in text, text
