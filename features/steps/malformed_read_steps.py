"""Steps on what readers of answers believe of those that are malformed or do not end."""

import asyncio
import base64
import json
import os
import subprocess
import sys
from pathlib import Path

import eliot
from behave import given, then, when

from features.steps.cut_head_reader_steps import OWN_ROW, READERS, outcome_of
from liftrill.guarded_connection import ResponseFault, new_session
from liftrill.node.metrics import NodeMetrics
from liftrill.node.platform_client import PlatformClient
from liftrill.node.response_faults import ResponseFaultLog

ROOT = Path(__file__).resolve().parent.parent.parent
MEGABYTE = 1_000_000
MAX_RUN_S = 240
# By who sends the answers: what each reader takes none for.
ENGINES = {"order taken": "unanswered", "order refused": "unanswered"}
ENGINES |= {"report": "none", "is answering": "none"}
READS = ("store read", "store absent key", "store range", "store watch")
WRITES = ("store transact", "store grant", "store renew", "store revoke")
OWN_CALLS = ("own report", "own watch report", "own cache events", "own order taken")
OWN_READS = ("own get", "own watch", "own machines")
OWN_WRITES = ("own swap", "own session", "own renewal", "own acquire")
PEERS = ("own snapshot", "own head", "own status", "own claim", "own prefixes", "own section")
OUTCOMES = {
    "engines": ENGINES,
    "the platform's store": dict.fromkeys(READS, "unavailable")
    | dict.fromkeys(WRITES, "answer lost"),
    "the project's own engines": dict.fromkeys((*OWN_CALLS, "own order fenced"), "none")
    | dict.fromkeys(("own attempt", "own resume"), "broken"),
    "the project's own store": dict.fromkeys(OWN_READS, "unavailable")
    | dict.fromkeys(OWN_WRITES, "answer lost"),
    "peers": dict.fromkeys(PEERS, "no peer"),
    "an operator's node": {"operator status": "no answer"},
}
assert {reader for outcomes in OUTCOMES.values() for reader in outcomes} == set(READERS)
LANGUAGES = {"C": {}, "Python": {"AIOHTTP_NO_EXTENSIONS": "1"}}


@given("the readers of answers of {sender}")
def step_readers(context, sender):
    context.outcomes = OUTCOMES[sender]


def read_all(context, kind, language):
    """Let the readers read in a process of their own."""
    command = [sys.executable, "-m", "features.standin.malformed_reads", kind, *context.outcomes]
    environment = os.environ | LANGUAGES[language]
    ran = subprocess.run(
        command, cwd=ROOT, env=environment, stdout=subprocess.PIPE, check=True, timeout=MAX_RUN_S
    )
    result = json.loads(ran.stdout.splitlines()[-1])
    context.found, context.more_mb = result["found"], result["more_mb"]


@when("each reads every malformed answer, with the parser in {language}")
def step_malformed(context, language):
    read_all(context, "malformed", language)
    context.taken_for = context.found


@when("each reads answers that do not end, with the parser in {language}")
def step_endless(context, language):
    read_all(context, "endless", language)
    context.taken_for = {
        reader: {kind: outcome for kind, (outcome, _, _) in found.items()}
        for reader, found in context.found.items()
    }


@then("each answer counts as none")
def step_none(context):
    count = sum(len(found) for found in context.taken_for.values())
    wrong = [
        (reader, fault, outcome)
        for reader, found in context.taken_for.items()
        for fault, outcome in found.items()
        if outcome != context.outcomes[reader]
    ]
    print(f"{len(wrong)} false of {count}")
    assert set(context.taken_for) == set(context.outcomes)
    assert count and not wrong, wrong


@then("each connection was closed after at most {megabytes:d} MB and {seconds:g} s")
def step_closed(context, megabytes, seconds):
    rows = [
        (reader, kind, sent, took_s)
        for reader, found in context.found.items()
        for kind, (_, sent, took_s) in found.items()
    ]
    late = [row for row in rows if row[2] > megabytes * MEGABYTE or row[3] > seconds]
    print(f"{len(late)} late of {len(rows)}: {late}")
    assert rows and not late, late


@then("the process grew by at most {megabytes:d} MB")
def step_grew(context, megabytes):
    print(f"{context.more_mb:.1f} MB more")
    assert context.more_mb <= megabytes, context.more_mb


@when("a node of the own interface meets {count:d} malformed answers at once")
def step_flood(context, count):
    context.count, context.metrics, lines = count, NodeMetrics(), []
    faults = ResponseFaultLog(context.metrics)
    eliot.add_destinations(lines.append)
    context.stack.callback(eliot.remove_destination, lines.append)
    for number in range(count):
        faults.report(ResponseFault("127.0.0.1:1", f"status line: {number}"))
    context.lines = [each for each in lines if each["message_type"] == "liftrill:response_fault"]


@then("each was counted, and at most {count:d} were logged")
def step_counted(context, count):
    page = context.metrics.exposition().decode()
    assert f"liftrill_response_faults_total {context.count}.0" in page, page
    assert 0 < len(context.lines) <= count, len(context.lines)


def start_store(context, answer):
    """Start a store; `answer` is called with each request's number on its connection."""
    context.calls = []

    async def serve(stream, writer):
        number = 0
        try:
            while head := (await stream.readuntil(b"\r\n\r\n")).decode():
                length = [line for line in head.split("\r\n") if line.startswith("Content-Length")]
                await stream.readexactly(int(length[0].split()[1]) if length else 0)
                context.calls.append(head.split(" ", 1)[0])
                number += 1
                answer(writer, number)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def start():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        context.stack.callback(server.close)
        context.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    context.run(start())


def entry(value):
    """Return an answer that holds a value."""
    row = OWN_ROW | {"Value": base64.b64encode(value.encode()).decode()}
    body = json.dumps([row])
    return f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode()


@given("a store that closes a kept connection as it takes a call")
def step_closing_store(context):
    def answer(writer, number):
        if number > 1:
            writer.close()
        elif context.calls[-1] == "GET":
            writer.write(entry("value"))
        else:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfalse")

    start_store(context, answer)


@when("a node of the own interface swaps a value on it")
def step_swap(context):
    async def swap():
        async with new_session() as session:
            client = PlatformClient(session, f"http://{context.address}")
            await client.get("key")

            async def call(_):
                return await client.compare_and_swap("key", b"value", 5)

            return await outcome_of(call, context.address)

    context.outcome = context.run(swap())


@then("the swap was sent once, and its answer is lost")
def step_once(context):
    print(f"{context.calls}: {context.outcome}")
    assert context.calls == ["GET", "PUT"], context.calls
    assert context.outcome == "answer lost", context.outcome


@given("a store that sends an old answer after each of its answers")
def step_stale_store(context):
    def answer(writer, _):
        writer.write(entry(f"value {len(context.calls)}") + entry("old"))

    start_store(context, answer)


@when("a node of the own interface reads from it twice")
def step_read_twice(context):
    async def read():
        async with new_session() as session:
            client = PlatformClient(session, f"http://{context.address}")
            return [(await client.get("key")).value for _ in range(2)]

    context.values = context.run(read())


@then("both reads return the values that they asked for")
def step_values(context):
    assert context.values == [b"value 1", b"value 2"], context.values
