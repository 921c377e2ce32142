"""Steps on what readers of answers believe if an answer stops before its end."""

import asyncio
import base64
import functools
import hashlib
import json
import sys
from contextlib import suppress
from pathlib import Path

from behave import given, then

from features.gateway_support import engine_record
from features.standin.cut_answers import (
    CLOSED,
    HEAD_ALONE,
    PLACES,
    READ_S,
    RESET,
    cut_answer,
    end_cut,
)
from liftrill.cli.operator_client import OperatorCallError, OperatorClient
from liftrill.coordination.range_store import Expectation, StoredItem, WatchBatch
from liftrill.errors import StoreAnswerLostError, StoreUnavailableError
from liftrill.gateway.engines.engine_table import EngineView
from liftrill.gateway.http_client import new_engine_session, new_store_session
from liftrill.gateway.order_client import OrderAnswer, WeightOrder
from liftrill.gateway.relay_client import ReaderLimits, RelayClient, RelayListener, RelayLostError
from liftrill.gateway.relay_codec import encode_batch
from liftrill.gateway.transport import EngineReply
from liftrill.guarded_connection import new_session
from liftrill.messages import peer_pb2 as messages
from liftrill.messages.configuration_pb2 import Head
from liftrill.node.engine_client import AttemptBrokenError, EngineClient, StaleFenceError
from liftrill.node.metrics import NodeMetrics
from liftrill.node.peer_client import PeerClient, PeerError
from liftrill.node.platform_client import PlatformClient
from liftrill.planning.orders import AssignOrder
from liftrill.routing import events
from liftrill.routing.engine_state import EngineIdentity, EngineState
from liftrill.routing.request import RoutedRequest

sys.path.append(str(Path(__file__).resolve().parent.parent.parent / "platform"))

from engines import PlatformEngineTransport, PlatformOrderClient
from store import PlatformStore

WHOLE = "whole"
ORDER = WeightOrder("model", 2, "node-1", 1, 0)
OWN_ORDER = AssignOrder("order-1", "e1", "pool-1", "pool-1", "pool-1", "model", "w1")
REPORT = json.dumps({"Models": [{"Name": "model", "Version": 1}], "Utilization": 0, "SeqNo": 3})
ROW = {"TlsKey": "key", "Value": base64.b64encode(b"value").decode(), "Revision": 5, "At": 6}
OWN_ROW = {
    "Key": "key",
    "Value": base64.b64encode(b"value").decode(),
    "ModifyIndex": 5,
    "Session": "s1",
}
MACHINE = {"ID": "m1", "Name": "llm", "Address": "a:1", "Meta": {"Zone": "zone-1"}}
IDENTITY = {"incarnation": 3, "revision": 4, "weight_version": "w1"}
OWN_REPORT = {"engine_id": "e1", **IDENTITY, "running": 1, "waiting": 2, "waiting_prompt_tokens": 3}
CHUNK = {
    "id": "request-1",
    "attempt_id": "attempt-1",
    "choices": [{"finish_reason": "stop", "text": ""}],
    "usage": {
        "prompt_tokens": 3,
        "prompt_tokens_details": {"cached_tokens": 0},
        "completion_tokens": 0,
    },
}
MAX_READS = 5
RELAY_TIMEOUT_S = 1.0
WEB_SOCKET_KEY = "258EAFA5-E914-47DA-95CA-C5AB0DC85B11"


async def with_transport(address, call):
    async with new_engine_session() as session:
        transport = PlatformEngineTransport(session)
        return await call(transport, EngineView(engine_record("e1", address=address)))


def order(transport, view):
    return PlatformOrderClient(transport).order(view, ORDER)


def report(transport, view):
    return PlatformOrderClient(transport).report(view)


async def identify(transport, view):
    reply = await transport.identify(view)
    return None if reply is EngineReply.NONE else reply


async def with_store(address, call):
    async with new_store_session() as session:
        return await call(PlatformStore(session, address, lambda name: None))


async def with_own(address, call):
    async with new_session() as session:
        return await call(session, address)


def own_engine(address):
    identity = EngineIdentity(1, 1, "w1", False)
    return EngineState("e1", address, "zone-1", "pool-1", identity)


def on_engine(call):
    def bound(session, address):
        return call(EngineClient(session, b"secret"), own_engine(address))

    return functools.partial(with_own, call=bound)


def on_platform(call):
    def bound(session, address):
        return call(PlatformClient(session, f"http://{address}"))

    return functools.partial(with_own, call=bound)


def on_peer(call):
    def bound(session, address):
        return call(PeerClient(session, ["key"], NodeMetrics()), address)

    return functools.partial(with_own, call=bound)


def on_operator(call):
    def bound(session, address):
        return call(OperatorClient(session, address, "key", "operator"))

    return functools.partial(with_own, call=bound)


def on_store(call):
    return functools.partial(with_store, call=call)


def on_transport(call):
    return functools.partial(with_transport, call=call)


async def read_stream(stream):
    """Return the events of a stream up to its last one, or None if it was not opened."""
    if stream is None:
        raise AttemptBrokenError("attempt-1")
    try:
        for _ in range(MAX_READS):
            found = await stream.read()
            if any(isinstance(event, events.AttemptFinished) for event in found):
                return found
        raise AttemptBrokenError("attempt-1")
    finally:
        stream.close()


async def own_attempt(client, engine):
    request = RoutedRequest("request-1", "t", "w", "model", b"prompt", 1, 4, 0, 9.0)
    start = events.StartAttempt("attempt-1", "e1", 1, "w1", "", "", 0, 1, ())
    return await read_stream(await client.start(engine, request, start))


async def own_resume(client, engine):
    return await read_stream(
        await client.resume(engine, events.ResumeAttempt("attempt-1", "e1", 0))
    )


async def own_order(client, engine):
    # An order that was not accepted is sent again.
    return await client.assign(engine, OWN_ORDER, 1) or None


def text(message):
    return message.SerializeToString().decode("latin-1")


# By reader: the status and the body of a whole answer, and the call that reads it.
READERS = {
    "order taken": (202, "{}", on_transport(order)),
    "order refused": (409, "{}", on_transport(order)),
    "report": (200, REPORT, on_transport(report)),
    "is answering": (200, REPORT, on_transport(identify)),
    "store read": (200, json.dumps(ROW), on_store(lambda s: s.read("key"))),
    "store absent key": (404, '{"At": 6}', on_store(lambda s: s.read("key"))),
    "store range": (200, '{"items": [], "At": 6}', on_store(lambda s: s.read_range("p/", ""))),
    "store watch": (200, '{"Events": [], "At": 6}', on_store(lambda s: s.watch("p/", 1, 0.1))),
    "store transact": (
        200,
        '{"Revision": 7}',
        on_store(lambda s: s.transact((Expectation("key", 0),), ())),
    ),
    "store grant": (200, '{"Lease": 7}', on_store(lambda s: s.grant_lease(2.0))),
    "store renew": (200, '{"TtlMs": 7}', on_store(lambda s: s.renew_lease(1))),
    "store revoke": (200, "{}", on_store(lambda s: s.revoke_lease(1))),
    "own report": (200, json.dumps(OWN_REPORT), on_engine(lambda c, e: c.report(e))),
    "own watch report": (200, json.dumps(OWN_REPORT), on_engine(lambda c, e: c.watch_report(e))),
    "own cache events": (
        200,
        '{"incarnation": 3, "events": []}',
        on_engine(lambda c, e: c.cache_events(e, 0)),
    ),
    "own order taken": (200, '{"accepted": true}', on_engine(own_order)),
    "own order fenced": (409, '{"error": "fence"}', on_engine(own_order)),
    "own attempt": (200, f"data: {json.dumps(CHUNK)}\n\n", on_engine(own_attempt)),
    "own resume": (200, f"data: {json.dumps(CHUNK)}\n\n", on_engine(own_resume)),
    "own get": (200, json.dumps([OWN_ROW]), on_platform(lambda c: c.get("key"))),
    "own watch": (200, json.dumps([OWN_ROW]), on_platform(lambda c: c.watch("key", 1, 0.1))),
    "own machines": (200, json.dumps([MACHINE]), on_platform(lambda c: c.watch_machines(1, 0.1))),
    "own swap": (200, "true", on_platform(lambda c: c.compare_and_swap("key", b"v", 1))),
    "own session": (200, '{"ID": "s1"}', on_platform(lambda c: c.create_session(2.0))),
    "own renewal": (200, "[]", on_platform(lambda c: c.renew_session("s1"))),
    "own acquire": (200, "false", on_platform(lambda c: c.acquire("key", b"v", "s1"))),
    "own snapshot": (
        200,
        text(messages.Snapshot(members=[messages.MemberRecord(node_id="node-1")])),
        on_peer(lambda c, a: c.snapshot(a)),
    ),
    "own head": (200, text(Head(generation=3)), on_peer(lambda c, a: c.head(a))),
    "own status": (
        200,
        text(messages.NodeStatus(node_id="node-1")),
        on_peer(lambda c, a: c.status(a)),
    ),
    "own claim": (
        200,
        text(messages.ClaimReply(verdict=1)),
        on_peer(lambda c, a: c.propose_claim(a, messages.ClaimRequest())),
    ),
    "own prefixes": (
        200,
        text(messages.PrefixExchange(node_id="node-1")),
        on_peer(lambda c, a: c.exchange_prefixes(a, messages.PrefixExchange())),
    ),
    "own section": (200, "section of text", on_peer(lambda c, a: c.section(a, b"digest"))),
    "operator status": (200, '{"ready": 1}', on_operator(lambda c: c.call("GET", "/status"))),
}
STREAM_READERS = frozenset(("own attempt", "own resume"))
ERRORS = {
    StoreUnavailableError: "unavailable",
    StoreAnswerLostError: "answer lost",
    AttemptBrokenError: "broken",
    PeerError: "no peer",
    OperatorCallError: "no answer",
    StaleFenceError: "refused",
}


async def outcome_of(call, address):
    """Return what a reader takes an answer for."""
    try:
        result = await call(address)
    except tuple(ERRORS) as error:
        return ERRORS[type(error)]
    except Exception as error:
        return f"failed: {type(error).__name__}"
    if result is OrderAnswer.UNANSWERED:
        return "unanswered"
    return "none" if result is None else f"taken: {result}"


@given('a server whose answers to "{reader}" {kind}')
def step_server(context, reader, kind):
    context.reader = reader
    context.status, context.body, context.call = READERS[reader]
    context.place, context.ending = (HEAD_ALONE if kind == "are heads alone" else WHOLE), CLOSED

    async def serve(stream, writer):
        head = (await stream.readuntil(b"\r\n\r\n")).decode()
        length = [line for line in head.split("\r\n") if line.startswith("Content-Length")]
        await stream.readexactly(int(length[0].split()[1]) if length else 0)
        headers = {"X-Consul-Index": "5"}
        if context.place == WHOLE:
            whole = cut_answer("before the blank line", headers, context.body, context.status)
            writer.write(whole + f"\r\n{context.body}".encode())
        else:
            writer.write(cut_answer(context.place, headers, context.body, context.status))
        if context.ending == RESET:
            await asyncio.sleep(READ_S)
        end_cut(writer.transport, context.ending)
        with suppress(OSError):
            await writer.wait_closed()

    async def start():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        context.stack.callback(server.close)
        context.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    context.run(start())


def ends_itself(context):
    """Return whether all of a stream arrived, whose last event says that it is whole."""
    arrived = cut_answer(context.place, {}, context.body, context.status)
    return context.reader in STREAM_READERS and context.body.encode() in arrived


@then('at each place and ending the answer counts as "{outcome}", and a whole one does not')
def step_outcome(context, outcome):
    async def read_all():
        whole = await outcome_of(context.call, context.address)
        wrong, count = [], 0
        for context.ending in (CLOSED, RESET):
            for context.place in PLACES:
                count += 1
                found = await outcome_of(context.call, context.address)
                if found != outcome and not (ends_itself(context) and found == whole):
                    wrong.append((context.place, context.ending, found))
        return whole, wrong, count

    whole, wrong, count = context.run(read_all())
    print(f"{len(wrong)} false of {count}; whole: {whole}")
    assert whole != outcome and not whole.startswith("failed"), whole
    assert not wrong, wrong


@then('the answer counts as "{outcome}"')
def step_head_alone(context, outcome):
    found = context.run(outcome_of(context.call, context.address))
    print(f"a head alone: {found}")
    assert found == outcome, found


class Listener(RelayListener):
    """Counts what a follower is told."""

    def __init__(self):
        self.updates = []

    def relay_updated(self, update):
        self.updates.append(update)

    def relay_confirmed(self, answer, asked_at):
        self.updates.append(answer)

    def reader_timeout_s(self):
        return RELAY_TIMEOUT_S


@given("a reader of the store that stops at each byte of its answer")
def step_reader(context):
    item = StoredItem("key", b"value", 7, 0)
    message = encode_batch(WatchBatch((item,), 7))
    frame = bytes((0x82, len(message))) + message
    context.length = 0

    async def serve(stream, writer):
        head = (await stream.readuntil(b"\r\n\r\n")).decode()
        key = next(
            line.split(": ")[1]
            for line in head.split("\r\n")
            if line.lower().startswith("sec-websocket-key")
        )
        accept = base64.b64encode(hashlib.sha1((key + WEB_SOCKET_KEY).encode()).digest()).decode()
        whole = (
            "HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
            f"Sec-WebSocket-Accept: {accept}\r\n\r\n"
        ).encode() + frame
        context.length = len(whole)
        writer.write(whole[: context.end])
        writer.close()

    async def start():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        context.stack.callback(server.close)
        context.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    context.run(start())


@then("its follower is told of no change unless the whole message arrived")
def step_follower(context):
    async def follow(end):
        context.end = end
        listener = Listener()
        try:
            await RelayClient(listener, ReaderLimits("node-2", 1.0)).follow(context.address, 1)
        except RelayLostError:
            return listener.updates
        raise AssertionError("the reader was not lost")

    async def follow_all():
        whole = await follow(None)
        return whole, [end for end in range(context.length) if await follow(end)]

    whole, wrong = context.run(follow_all())
    print(f"{len(wrong)} false of {context.length}")
    assert len(whole) == 1, whole
    assert not wrong, wrong
