"""Steps that run the platform's program against the stand-in platform."""

import asyncio
import itertools
import json
import os
import re
import signal
import socket
import time
from contextlib import suppress
from pathlib import Path

from behave import given, then, when

from features.standin import sleeper
from features.standin.connections import connect
from features.standin.deployment import KEY, ROUTES, Deployment, terminate
from features.standin.engine import SIGNATURE, StandInEngine

FORGED = {
    "X-Tenant": "forged",
    "X-Expect-Instance": "forged",
    "X-Request-Priority": "0",
    "X-Cache-Salt": "forged",
    "X-Kv-Fetch": "10.0.0.1:1",
    "X-Hold": "forged",
    "X-Kept": "kept",
}
HOSTILE = (
    b"POST /whole/x HTTP/1.1\r\nHost: service.example\r\nX-Attempt-Id: a1\r\n"
    b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    b"POST /whole/x HTTP/1.1\r\nHost: service.example\r\nX-Attempt-Id: a2\r\n"
    b"Transfer-Encoding: chunked\r\n\r\nzz\r\nbad\r\n",
    b"GET /safe/x HTTP/1.1\r\nHost: service.example\r\nX-Attempt-Id: a3\r\nX-Long: "
    + b"x" * 40_000
    + b"\r\n\r\n",
    b"GET /safe/x HTTP/1.1\r\nHost: service.example\r\nX-Attempt-Id: a4\r\n"
    b"Authorization: Token key-of-tenant-1\r\nX-Deadline-Ms: -5\r\n\r\n",
    b"GET /safe/x HTTP/1.1\r\nHost: service.example\r\nX-Attempt-Id: a5\r\n"
    b"Authorization: Token key-of-tenant-1\r\nX-Deadline-Ms: " + b"9" * 40 + b"\r\n\r\n",
    b"POST /whole/x HTTP/1.1\r\nHost: service.example\r\nX-Attempt-Id: a6\r\n"
    b"Authorization: Token key-of-tenant-1\r\nContent-Length: 99999999\r\n\r\n",
    b"GET http://other.example/safe/x HTTP/1.1\r\nHost: service.example\r\n"
    b"X-Attempt-Id: a7\r\n\r\n",
    b"\x16\x03\x01\x00\x05hello\r\n\r\n",
)


def start(context):
    deployment = Deployment(context.directory, context.bounds)
    context.deployment = context.run(context.stack.enter_async_context(deployment))
    return context.deployment


@given("a stand-in platform with {desks:d} desk engines and {models:d} model engines")
def step_platform(context, desks, models):
    context.bounds = {}
    context.engine_options = {}
    deployment = start(context)

    async def add():
        for number in range(desks):
            await deployment.add_engine(f"desk-{number}", "desk")
        for number in range(models):
            await deployment.add_engine(f"llm-{number}", "llm", weights={"model-1": 1})

    context.run(add())
    deployment.configure(5)


@given("bounds of {seconds:g} s for keys")
def step_bounds(context, seconds):
    context.deployment.bounds["RevokeMs"] = int(seconds * 1000)


@given("the store has no configuration")
def step_no_configuration(context):
    context.deployment.store.remove("op/config")


def add_nodes(context, count, ready=True):
    async def add():
        for number in range(count):
            node = await context.deployment.add_node(f"node-{number + 1}")
            if ready:
                await context.deployment.ready(node)

    context.run(add())


@given("a node")
def step_node(context):
    add_nodes(context, 1)


@given("{count:d} nodes")
def step_nodes(context, count):
    add_nodes(context, count)

    async def all_known():
        first = context.deployment.nodes[0]
        return len((await context.deployment.resolve(first))["Addresses"]) == count

    context.run(context.deployment.wait_until(all_known))


@given("a node that is not ready")
def step_unready_node(context):
    add_nodes(context, 1, ready=False)

    async def listens():
        try:
            await context.deployment.call(context.deployment.nodes[0], "/whole/x")
        except OSError:
            return False
        return True

    context.run(context.deployment.wait_until(listens))


def full_listener(context):
    """Return the address of a listener that accepts no further connection."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    context.stack.callback(listener.close)
    # Linux queues one connection more than the backlog, and drops later ones.
    for _ in range(2):
        client = socket.socket()
        client.setblocking(False)
        with suppress(BlockingIOError):
            client.connect(listener.getsockname())
        context.stack.callback(client.close)
    return f"127.0.0.1:{listener.getsockname()[1]}"


@given('a request at "{path}" is waiting to connect to an engine that accepts no connections')
def step_connecting(context, path):
    deployment = context.deployment
    deployment.record(StandInEngine("deaf", "desk", address=full_listener(context)))

    async def is_connecting():
        call = asyncio.ensure_future(deployment.call(deployment.nodes[0], path))
        # Other engines answer sooner, and the attempt to connect times out after 0.4 s.
        await asyncio.wait([call], timeout=0.3)
        return None if call.done() else call

    context.connecting = context.run(deployment.wait_until(is_connecting))


@given("a node whose monotonic clock stops during a suspension")
def step_suspendable_node(context):
    async def add():
        node = await context.deployment.add_node("node-1", wrapper=[sleeper.__file__])
        await context.deployment.ready(node)

    context.run(add())


@when(
    "the node is {state} for {seconds:g} s, and at {at:g} s all desk engines leave "
    'and {count:d} clients post to "{path}"'
)
def step_paused(context, state, seconds, at, count, path):
    deployment = context.deployment
    node = deployment.nodes[0]
    context.left_engines = [
        engine for engine in deployment.engines.values() if engine.service == "desk"
    ]

    async def pause():
        node.signal(signal.SIGSTOP)
        await asyncio.sleep(at)
        # Requests sent before the pause have arrived by now.
        context.arrived_before = sum(len(engine.arrivals) for engine in context.left_engines)
        for engine in context.left_engines:
            deployment.record(engine, "draining")
        calls = [asyncio.ensure_future(deployment.call(node, path)) for _ in range(count)]
        await asyncio.sleep(seconds - at)
        if state == "suspended":
            node.wake(seconds)
        else:
            node.signal(signal.SIGCONT)
        await asyncio.gather(context.connecting, *calls, return_exceptions=True)

    context.run(pause())


@when(
    "the node is suspended for {seconds:g} s, its key is revoked at {at:g} s, "
    'a client posts to "{path}" with it, and the store stops responding'
)
def step_suspended_revoked(context, seconds, at, path):
    deployment = context.deployment
    node = deployment.nodes[0]

    async def suspend():
        node.signal(signal.SIGSTOP)
        await asyncio.sleep(at)
        deployment.store.silence_connections()
        deployment.store.fault = "silent"
        deployment.configure(9, keys=("another-key",))
        await asyncio.sleep(seconds - at)
        call = asyncio.ensure_future(deployment.call(node, path))
        await asyncio.sleep(0.1)
        node.wake(seconds + 0.1)
        context.answer = await call

    context.run(suspend())


@then("no engine that left got a request")
def step_no_arrivals(context):
    arrived = sum(len(engine.arrivals) for engine in context.left_engines) - context.arrived_before
    assert arrived == 0, arrived


@given("a node whose log output is not read")
def step_unread_log(context):
    reader, writer = os.pipe()
    context.stack.callback(os.close, reader)

    async def add():
        node = await context.deployment.add_node("node-1", stdout=writer)
        os.close(writer)
        await context.deployment.ready(node)

    context.run(add())


def call(context, path, **options):
    node = context.deployment.nodes[0]
    context.answer = context.run(context.deployment.call(node, path, **options))
    return context.answer


@when('a client posts to "{path}" with forged internal headers')
def step_forged(context, path):
    call(context, path, **FORGED)


@when('a client posts to "{path}"')
def step_post(context, path):
    call(context, path)


@when('a client gets "{path}"')
def step_get(context, path):
    call(context, path, method="GET")


@when('a client asks for an answer at "{path}"')
def step_answer(context, path):
    call(context, path, method="GET")


@then("engines ran it {count:d} times")
def step_ran(context, count):
    assert sum(arrival.ran for arrival in context.deployment.arrivals()) == count


@when('a client asks for a stream at "{path}"')
def step_stream(context, path):
    call(context, path, model="model-1")


@when('a client asks for a stream of up to {tokens:d} tokens at "{path}"')
def step_long_stream(context, tokens, path):
    call(context, path, model="model-1", **{"X-Token-Usage": f"30,{tokens}"})


@when('{count:d} clients post to "{path}" one after the other')
def step_many(context, count, path):
    context.answers = []
    for _ in range(count):
        context.answers.append(call(context, path))
        context.run(asyncio.sleep(0.1))


@when('{count:d} clients post to "{path}"')
def step_flood(context, count, path):
    node = context.deployment.nodes[0]

    async def flood():
        await asyncio.gather(*(context.deployment.call(node, path) for _ in range(count)))

    context.run(asyncio.wait_for(flood(), 10.0))


@then("the answer is an engine's, complete and signed")
def step_signed(context):
    status, headers, body, whole = context.answer
    assert (status, whole) == (200, True), context.answer
    assert headers["X-Response-Signature"] == SIGNATURE
    arrival = context.deployment.arrivals()[-1]
    ids = [a.attempt_id for a in context.deployment.arrivals()]
    assert body.decode().removeprefix("answer to ") in ids, (body, arrival)


def last_arrival(context, prefix):
    return [a for a in context.deployment.arrivals() if a.target.startswith(prefix)][-1]


@then('the engine got the target "{target}" unchanged, the tenant and no key')
def step_unchanged(context, target):
    arrival = last_arrival(context, "/whole/")
    assert arrival.target == target, arrival.target
    assert arrival.body == b"body"
    assert arrival.headers["X-Tenant"] == "tenant-1"
    assert "Authorization" not in arrival.headers
    assert 0 < int(arrival.headers["X-Deadline-Ms"]) <= 4000
    assert arrival.headers["Host"] == "service.example"


@then("none of the forged headers reached the engine")
def step_no_forged(context):
    headers = last_arrival(context, "/whole/").headers
    assert "forged" not in headers.values(), headers
    assert "X-Kv-Fetch" not in headers and "X-Request-Priority" not in headers
    assert headers["X-Kept"] == "kept"


@then("the stream has events {first:d} to {last:d} and is complete")
def step_events(context, first, last):
    status, _, body, whole = context.answer
    expected = "".join(f"id: {n}\ndata: token {n}\n\n" for n in range(first, last + 1))
    assert (status, body.decode(), whole) == (200, expected, True), context.answer


@then("the stream is not complete")
def step_incomplete(context):
    assert not context.answer[3], context.answer


@when("hostile requests are sent")
def step_hostile(context):
    address = context.deployment.nodes[0].address("Front")

    async def send(data):
        reader, writer = await connect(address)
        writer.write(data)
        answer = await asyncio.wait_for(reader.read(200), 5.0)
        writer.close()
        return answer

    context.answers = [context.run(send(data)) for data in HOSTILE]


@then("each got a final status or a closed connection, and none reached an engine")
def step_hostile_refused(context):
    for answer in context.answers:
        assert answer == b"" or answer.startswith(b"HTTP/1."), answer
        assert not answer or answer.split()[1] in (b"400", b"413", b"431"), answer
    assert context.deployment.arrivals() == []


def status_of(context, path, key=KEY):
    return call(context, path, key=key)[0]


@then('"{path}" with the known key is answered {status:d}')
def step_status(context, path, status):
    assert status_of(context, path) == status, context.answer


@then('"{path}" with another key is answered {status:d}')
def step_status_other(context, path, status):
    assert status_of(context, path, "another") == status, context.answer


@then('"{path}" with the known key is answered {status:d} with a Retry-After header')
def step_status_retry(context, path, status):
    assert status_of(context, path) == status, context.answer
    assert float(context.answer[1]["Retry-After"]) > 0


def wait_for_status(context, path, status, seconds):
    node = context.deployment.nodes[0]

    async def has_status():
        try:
            context.answer = await context.deployment.call(node, path)
        except OSError:
            return False
        return context.answer[0] == status

    context.run(context.deployment.wait_until(has_status, seconds))


@then('within {seconds:g} s "{path}" with the known key is answered {status:d}')
def step_within(context, seconds, path, status):
    wait_for_status(context, path, status, seconds)


@then(
    'within {seconds:g} s "{path}" with the known key is answered {status:d} '
    "with a Retry-After header"
)
def step_within_retry(context, seconds, path, status):
    wait_for_status(context, path, status, seconds)
    assert float(context.answer[1]["Retry-After"]) > 0


@given("engines that back up requests to each other")
def step_backups(context):
    context.deployment.configure(6, backups=True)


@then("it was resumed at the engine that had the backup")
def step_resumed(context):
    first, second = sorted(
        (a for a in context.deployment.arrivals() if a.target.startswith("/stream/")),
        key=lambda arrival: "Kv-From" in arrival.headers,
    )
    backup = first.headers["X-Kv-Backup"]
    assert second.headers["Kv-From"] == f"{backup}/{first.attempt_id}", second.headers
    headers = {name.lower(): value for name, value in second.headers.items()}
    assert headers["last-event-id"] == "2", headers


def engines_of(context, service):
    return [e for e in context.deployment.engines.values() if e.service == service]


@given("the model engines make an event every {seconds:g} s")
def step_event_pace(context, seconds):
    for engine in engines_of(context, "llm"):
        engine.event_seconds = seconds


@given('the next request to any {kind} engine meets the fault "{fault}"')
def step_fault(context, kind, fault):
    service = {"desk": "desk", "model": "llm"}[kind]
    # Only the first engine that gets a request uses the fault.
    uses = itertools.count()
    for engine in engines_of(context, service):
        engine.fault = fault
        engine.fault_count = 1
        engine._take_fault = lambda uses=uses, fault=fault: "" if next(uses) else fault


@when("every engine closes the next requests without an answer")
def step_close(context):
    context.arrivals_before = len(context.deployment.arrivals())
    for engine in context.deployment.engines.values():
        engine.fault = "close"
        engine.fault_count = 10


@then("that request reached engines {count:d} time")
def step_reached(context, count):
    assert len(context.deployment.arrivals()) - context.arrivals_before == count


@then("the answer has status {status:d}")
def step_answer_status(context, status):
    assert context.answer[0] == status, context.answer


@then("it ran at most once")
def step_once(context):
    assert sum(a.ran for a in context.deployment.arrivals()) <= 1


@then("every client got the answer to its own request")
def step_own_answers(context):
    ids = [a.attempt_id for a in context.deployment.arrivals()]
    bodies = [body.decode().removeprefix("answer to ") for status, _, body, _ in context.answers]
    assert bodies == sorted(ids), (bodies, ids)


@given("model engines take {seconds:g} s for a stream")
def step_slow_streams(context, seconds):
    for engine in engines_of(context, "llm"):
        engine.event_seconds = seconds / engine.events


@when("a client disconnects during a stream")
def step_disconnect(context):
    node = context.deployment.nodes[0]

    async def disconnect():
        task = asyncio.ensure_future(context.deployment.call(node, "/stream/x", model="model-1"))
        await asyncio.sleep(0.5)
        await context.deployment.arrived()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    context.run(disconnect())


@then("the engine's work is cancelled within {seconds:g} s")
def step_cancelled(context, seconds):
    async def was_cancelled():
        return any(a.cut for a in context.deployment.arrivals())

    context.run(context.deployment.wait_until(was_cancelled, seconds))


@when("the first desk engine is replaced by an engine of another service at its address")
def step_replace(context):
    deployment = context.deployment
    call(context, "/whole/x")

    async def replace():
        old = deployment.engines.pop("desk-0")
        port = int(old.address.rpartition(":")[2])
        await old.stop()
        other = await deployment.add_engine_at("other-0", "other", port)
        deployment.record(other)

    context.run(replace())


@then('{count:d} requests to "{path}" are served and none ran on the other service')
def step_none_on_other(context, count, path):
    statuses = [status_of(context, path) for _ in range(count)]
    assert statuses == [200] * count, statuses
    assert not any(a.ran for a in context.deployment.engines["other-0"].arrivals)


@when("the configuration loses a route while the store drops its history")
def step_lose_route(context):
    deployment = context.deployment
    body = configuration_without(6, "whole")
    deployment.store.put("op/config", body)
    deployment.store.forget_history()


def configuration_without(version, route):
    from features.standin.deployment import configuration

    body = configuration(version)
    body["Routes"] = [r for r in body["Routes"] if r["Name"] != route]
    assert len(body["Routes"]) == len(ROUTES) - 1
    return body


@when("the key is revoked")
def step_revoke_key(context):
    context.deployment.configure(7, keys=("another-key",))


@when("the key is restored")
def step_restore_key(context):
    context.deployment.configure(9)


@when("the store stops responding")
def step_silent(context):
    context.deployment.store.fault = "silent"


@when("the store answers again")
def step_answers_again(context):
    context.deployment.store.fault = ""


@when("the first node is asked to stop during a stream")
def step_stop(context):
    deployment = context.deployment
    node = deployment.nodes[0]

    async def stop():
        arrived = len(deployment.arrivals())
        context.task = asyncio.ensure_future(deployment.call(node, "/stream/x", model="model-1"))
        await asyncio.sleep(0.3)
        await deployment.arrived(more_than=arrived)
        terminate(node)

    context.run(stop())


@then("within {seconds:g} s the second node lists only itself")
def step_lists_itself(context, seconds):
    second = context.deployment.nodes[1]

    async def lists_itself():
        answer = await context.deployment.resolve(second)
        return answer["Addresses"] == [second.address("Front")]

    context.run(context.deployment.wait_until(lists_itself, seconds))


@then("the first node is not ready")
def step_not_ready_now(context):
    url = f"http://{context.deployment.nodes[0].address('Readiness')}/liftrill/readyz"

    async def status():
        async with context.deployment.session.get(url) as answer:
            return answer.status

    assert context.run(status()) == 503
    context.answer = context.run(context.task)


@then("the first node exits with code {code:d} within {seconds:g} s")
def step_exits(context, code, seconds):
    process = context.deployment.nodes[0].process
    assert context.run(asyncio.wait_for(process.wait(), seconds)) == code


@when("its settings file is broken and it is asked to reload")
def step_reload(context):
    node = context.deployment.nodes[0]
    node.settings_path.write_text("not = [toml")
    node.signal(signal.SIGHUP)


@then('its log has "{text}"')
def step_log(context, text):
    async def has():
        return text in context.deployment.nodes[0].log()

    context.run(context.deployment.wait_until(has, 3.0))


@given("engines take {seconds:g} s to load")
def step_load_seconds(context, seconds):
    for engine in engines_of(context, "llm"):
        engine.load_seconds = seconds


@when("version {version:d} of the weights is published")
def step_publish_weights(context, version):
    context.deployment.set_weight_version(version)


@then("within {seconds:g} s every model engine has version {version:d}")
def step_have_version(context, seconds, version):
    async def have():
        return all(e.weights["model-1"] == version for e in engines_of(context, "llm"))

    context.run(context.deployment.wait_until(have, seconds))


@then("each model engine got {count:d} load order, all from one leader")
def step_ordered(context, count):
    orders = [engine.orders for engine in engines_of(context, "llm")]
    assert [len(found) for found in orders] == [count] * len(orders), orders
    assert len({order["Holder"] for found in orders for order in found}) == 1


@when(
    "version {version:d} of the weights is published and the leader is killed after its first order"
)
def step_kill_leader(context, version):
    deployment = context.deployment
    deployment.set_weight_version(version)

    async def first_order():
        return next((o for e in engines_of(context, "llm") for o in e.orders), None)

    order = context.run(deployment.wait_until(first_order))
    context.first_fence = order["Fence"]
    context.first_holder = order["Holder"]
    context.ordered_at = context.loop.time()
    node = next(n for n in deployment.nodes if n.name == order["Holder"])
    context.run(node.stop())
    # The other order of the killed leader is undone, so that an engine is left to order.
    engine = engines_of(context, "llm")[-1]
    engine.weights["model-1"] = 1
    engine.load_seconds = 0.2
    context.run(_reset_version(context, engine))


async def _reset_version(context, engine):
    async def has_loaded():
        return not engine.loading

    await context.deployment.wait_until(has_loaded)
    engine.weights["model-1"] = 1
    context.orders_before = len(engine.orders)
    context.reset_engine = engine
    context.deployment.record(engine)


@then("orders of the second leader came {seconds:g} s after the first's, with a higher fence")
def step_second_leader(context, seconds):
    later = [o for o in context.reset_engine.orders if o["Holder"] != context.first_holder]
    assert later and later[0]["Fence"] > context.first_fence, context.reset_engine.orders
    # The second leader's order has just been carried out.
    assert context.loop.time() - context.ordered_at >= seconds


@when("all gateways are killed and started again")
def step_restart_all(context):
    async def restart():
        for node in context.deployment.nodes:
            await node.stop()
        for node in context.deployment.nodes:
            others = [n for n in context.deployment.nodes if n is not node]
            node.write_settings(
                context.deployment.store.address, others, context.deployment.bounds, False
            )
            await node.start()

    context.run(restart())


@when('a node is started with "{key}" set to "{value}"')
def step_wrong_setting(context, key, value):
    context.deployment.bounds[key] = f'"{value}"'

    async def begin():
        node = await context.deployment.add_node("node-1")
        return await asyncio.wait_for(node.process.wait(), 10.0)

    context.code = context.run(begin())


@then(
    'it ends with code {code:d} and one line naming the file, "{key}", "{value}" '
    "and what was expected"
)
def step_one_line(context, code, key, value):
    lines = context.deployment.nodes[0].log().splitlines()
    assert context.code == code, lines
    assert len(lines) == 1, lines
    for text in (".toml", key, value, "expected"):
        assert text in lines[0], lines


@then("the metrics count {count:d} served request")
def step_metrics(context, count):
    url = f"http://{context.deployment.nodes[0].address('Metrics')}/metrics"

    async def text():
        async with context.deployment.session.get(url) as answer:
            return await answer.text()

    found = context.run(text())
    assert f'liftrill_requests_total{{outcome="served"}} {count}.0' in found, found


def raw_request(number):
    return (
        f"POST /whole/x HTTP/1.1\r\nHost: service.example\r\nX-Attempt-Id: kept{number}\r\n"
        f"Authorization: Token {KEY}\r\nX-Deadline-Ms: 4000\r\nContent-Length: 2\r\n\r\nab"
    ).encode()


@given("a connection to the node that was used before")
def step_kept_connection(context):
    address = context.deployment.nodes[0].address("Front")

    async def use():
        context.reader, context.writer = await connect(address)
        context.writer.write(raw_request(1))
        return await asyncio.wait_for(context.reader.readuntil(b"answer to kept1"), 5.0)

    assert b" 200 " in context.run(use())


@when("the node is asked to stop during a stream and {seconds:g} s pass")
def step_stop_and_wait(context, seconds):
    step_stop(context)
    context.run(asyncio.sleep(seconds))


@then("a request on that connection is answered 503 with a Retry-After header and ran on no engine")
def step_late_refused(context):
    async def ask():
        context.writer.write(raw_request(2))
        return await asyncio.wait_for(context.reader.readuntil(b"\r\n\r\n"), 5.0)

    head = context.run(ask())
    assert b" 503 " in head and b"Retry-After" in head, head
    assert "kept2" not in [a.attempt_id for a in context.deployment.arrivals()]
    context.answer = context.run(context.task)


@when(
    "the tenant may use {rate:d} tokens a second, and a request without a prompt counts {plain:d}"
)
def step_quota(context, rate, plain):
    deployment = context.deployment
    context.version = getattr(context, "version", 10) + 1
    limits = {"RatePerS": rate, "Burst": rate, "Unit": "token", "PlainTokens": plain}
    deployment.configure(context.version, quota=limits)

    async def in_force():
        texts = [await metrics_text(context, node) for node in deployment.nodes]
        wanted = f"liftrill_configuration_version {context.version:.1f}"
        return all(wanted in text for text in texts)

    context.run(deployment.wait_until(in_force))


async def metrics_text(context, node):
    url = f"http://{node.address('Metrics')}/metrics"
    async with context.deployment.session.get(url) as answer:
        return await answer.text()


@when("{seconds:g} s passes")
def step_passes(context, seconds):
    context.run(asyncio.sleep(seconds))


@when('both nodes are asked for {count:d} requests each to "{path}" at once')
def step_ask_both(context, count, path):
    deployment = context.deployment

    async def ask():
        calls = [deployment.call(node, path) for node in deployment.nodes for _ in range(count)]
        return await asyncio.gather(*calls)

    context.answers = context.run(ask())


@then(
    "between {least:d} and {most:d} of them are served, and the others are answered"
    " {status:d} with code {code:d}"
)
def step_limited(context, least, most, status, code):
    served = [answer for answer in context.answers if answer[0] == 200]
    context.refused = [answer for answer in context.answers if answer[0] != 200]
    assert least <= len(served) <= most, len(served)
    for answer in context.refused:
        assert answer[0] == status and json.loads(answer[2])["Code"] == code, answer


@then("most of these have different Retry-After values, all of at most {longest:g} s")
def step_retry_after_values(context, longest):
    waits = [float(answer[1]["Retry-After"]) for answer in context.refused]
    assert all(0.0 < wait <= longest for wait in waits), waits
    shorter = [wait for wait in waits if wait < longest]
    assert len(set(shorter)) >= 0.8 * len(shorter) > 0, waits


@then('a node\'s log reports that "{tenant}" is limited, and its metrics count the refusals')
def step_limit_reported(context, tenant):
    nodes = context.deployment.nodes
    logged = [line for node in nodes for line in node.log().splitlines() if "quota_limited" in line]
    assert any(json.loads(line)["tenant"] == tenant for line in logged), logged
    counted = 0.0
    for node in nodes:
        text = context.run(metrics_text(context, node))
        found = re.search(r'liftrill_quota_refusals_total{tenant="tenant-1"} ([0-9.]+)', text)
        counted += float(found.group(1)) if found else 0.0
    assert counted == len(context.refused), (counted, len(context.refused))


LOADED = "uvloop"
MAX_LOAD_S = 8.0


@given("a node that has loaded its event loop, and not started it")
def step_loading_node(context):
    node = context.run(context.deployment.add_node("node-1"))
    maps = Path(f"/proc/{node.process.pid}/maps")
    until = time.monotonic() + MAX_LOAD_S
    while LOADED not in maps.read_text():
        assert time.monotonic() < until, "the event loop was not loaded"
        time.sleep(0.001)


@when("it gets SIGHUP")
def step_hang_up(context):
    context.deployment.nodes[0].signal(signal.SIGHUP)


@then("the node becomes ready")
def step_becomes_ready(context):
    context.run(context.deployment.ready(context.deployment.nodes[0]))
