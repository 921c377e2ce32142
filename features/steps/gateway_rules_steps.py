"""Steps on the rules for the source code, and on the log."""

import ast
import json
import os
import subprocess
import sys
import time
from pathlib import Path

import eliot
from behave import given, then, when

from features.gateway_support import opaque_request
from liftrill.coordination.token_bucket import TokenBucket
from liftrill.gateway import delivery_events as events
from liftrill.gateway import log_reader
from liftrill.gateway.decision_log import DecisionLog
from liftrill.gateway.delivery import DeliveryMachine
from liftrill.gateway.log_output import BoundedOutput, add_log_output

ROOT = Path(__file__).resolve().parent.parent.parent
# Names specific to the platform; general terms of HTTP and of the field are not listed.
PLATFORM_NAMES = (
    "X-Attempt-Id",
    "X-Deadline-Ms",
    "X-Prompt-Prefix",
    "X-Token-Usage",
    "X-Response-Signature",
    "X-Expect-Instance",
    "X-Expect-Version",
    "X-Not-Executed",
    "X-Cache-Salt",
    "X-Request-Priority",
    "X-Kv-",
    "X-Weight-Versions",
    "TlsKey",
    "PathPrefix",
    "kv-txn",
    "kv-range",
    "kv-watch",
    "op/config",
    "op/version",
    "servers/",
    "RouteType",
    "MaxAttempts",
    "RetrySlack",
    "LIFTRILL_BOOT",
    "fleetbench",
)
SANS_IO = (
    "admission/retry_after",
    "admission/request_queue",
    "admission/request_admission",
    "admission/capacity_filter",
    "configuration_view",
    "delivery",
    "delivery_events",
    "delivery_times",
    "engines/backup_selector",
    "engines/choice_permits",
    "engines/engine_selector",
    "engines/engine_table",
    "engines/engine_speed",
    "engines/service_speeds",
    "engines/slot_times",
    "engines/software_version_filter",
    "engines/speed_estimator",
    "event_stream",
    "holding/answer_buffer",
    "holding/memory_budget",
    "peers/capable_nodes",
    "peers/load_shedding",
    "peers/node_directory",
    "peers/node_selection",
    "peers/load_table",
    "peers/load_exchange",
    "peers/node_capacity",
    "peers/speed_exchange",
    "opaque_request",
    "../response_framing",
    "../response_limits",
    "engines/placement",
    "engines/prefix_directory",
    "engines/prompt_candidates",
    "records",
    "admission/retry_allowance",
    "route_table",
    "streams/origin_codec",
    "streams/stream_origins",
    "streams/version_history",
    "weight_rollout",
    "weight_targets",
)
# Ends a program that does not end by itself: the limit of a step ends only what it awaits.
MAX_IMPORT_S = 60.0
IO_MODULES = {"asyncio", "aiohttp", "socket", "uvloop", "time"}
ADAPTER_MODULES = {"boot", "engines", "ingress", "interpreter", "names", "serve", "store"}


def imports_of(path):
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            yield node.module


def sources(folder):
    return [path for path in (ROOT / folder).rglob("*.py") if "_pb2" not in path.name]


@then("no source file outside platform/ contains a name of the platform's protocol")
def step_no_names(context):
    found = [
        (path.name, name)
        for path in [*sources("liftrill"), *(ROOT / "proto").rglob("*.proto")]
        for name in PLATFORM_NAMES
        if name in path.read_text()
    ]
    assert not found, found


@then("the sans-IO modules of the gateway import neither asyncio nor aiohttp nor sockets")
def step_sans_io(context):
    for name in SANS_IO:
        path = ROOT / "liftrill" / "gateway" / f"{name}.py"
        found = {module.partition(".")[0] for module in imports_of(path)} & IO_MODULES
        assert not found, (name, found)


@then("no module of liftrill imports a module of platform/")
def step_no_adapter(context):
    for path in sources("liftrill"):
        found = set(imports_of(path)) & ADAPTER_MODULES
        assert not found, (path, found)


@then("the gateway imports nothing from liftrill.node but the membership codec")
def step_gateway_layers(context):
    for path in sources("liftrill/gateway"):
        found = [m for m in imports_of(path) if m.startswith("liftrill.node")]
        assert set(found) <= {"liftrill.node.membership_codec"}, (path, found)


@then("platform/ has at most {count:d} lines")
def step_small(context, count):
    lines = sum(len(path.read_text().splitlines()) for path in (ROOT / "platform").glob("*.py"))
    assert lines <= count, lines


def line(at, node, kind, **fields):
    message = {"message_type": f"liftrill:{kind}", "timestamp": at, "node": node, **fields}
    return f"  {at:.4f} {node} {json.dumps(message)}\n"


@given("a log in which a request was refused by one engine and lost by another")
def step_log(context):
    context.texts = [
        "some other line\n",
        line(103.0, "node-1", "request", request="r1", outcome="unknown", code="ENGINE_LOST"),
        line(99.0, "node-1", "engine", engine="e1", leaving=True),
        line(90.0, "node-1", "engine", engine="e1", leaving=False),
        line(99.5, "node-2", "engine", engine="e2", leaving=False),
        line(100.0, "node-1", "attempt_failed", request="r1", engine="e1", outcome="overloaded"),
        line(101.0, "node-1", "retried", request="r1", engine="e2", attempt=2),
        line(102.0, "node-1", "attempt_failed", request="r1", engine="e2", outcome="broken: reset"),
        line(102.5, "node-1", "refused", request="r2", code="UNKNOWN_ROUTE", left_out=7),
    ]
    context.lines = log_reader.read_lines(context.texts)


@then("its explanation has both attempts, the known state of the engines, and the cause")
def step_explanation(context):
    explanation = log_reader.explain(context.lines, "r1")
    assert [row.split()[3] for row in explanation[:-1]] == [
        "engine",
        "attempt_failed",
        "retried",
        "attempt_failed",
        "request",
    ], explanation
    assert "overloaded, broken: reset" in explanation[-1] and "broke after" in explanation[-1], (
        explanation[-1]
    )


@then("a request without log lines is reported as unknown")
def step_unknown(context):
    assert log_reader.explain(context.lines, "r9")[0].startswith("no log lines for r9")


@then("the summary counts request outcomes and omitted lines")
def step_summary(context):
    rows = [row.split() for row in log_reader.summarize(context.lines)]
    assert ["1", "unknown", "ENGINE_LOST"] in rows
    assert ["7", "lines", "left", "out"] in rows


@given("a log in which a tenant is limited at one node and refused there")
def step_limited_log(context):
    limit = {"tenant": "t1", "rate_per_s": 1000.0, "left": -30, "nodes": 2, "nodes_heard": 2}
    context.lines = log_reader.read_lines(
        [
            line(100.0, "node-1", "quota_limited", **limit),
            line(100.0, "node-2", "quota_limited", **limit),
            line(100.5, "node-1", "refused", request="r1", code="QUOTA_EXCEEDED"),
        ]
    )


@then("its explanation has the limit in force at that node, and the cause")
def step_limited_explanation(context):
    explanation = log_reader.explain(context.lines, "r1")
    assert [row.split()[2:4] for row in explanation[:-1]] == [
        ["node-1", "quota_limited"],
        ["node-1", "refused"],
    ], explanation
    assert "used up its limit over all nodes" in explanation[-1], explanation[-1]


@given("a log in which a stream's events came at 0.4, 0.5, 1.3 and 1.4 s")
def step_late_log(context):
    messages = []
    eliot.add_destinations(messages.append)
    messages.clear()
    context.stack.callback(eliot.remove_destination, messages.append)
    machine = DeliveryMachine(opaque_request(), None)
    for number, at in enumerate((0.4, 0.5, 1.3, 1.4), start=1):
        machine.times.record_event(number, at)
    DecisionLog("node-1").request_ended(machine, events.FinishStream())
    context.lines = log_reader.read_lines(json.dumps(m) for m in messages)


@then(
    "its explanation names the first event after {first:d} ms"
    " and a pause of {pause:d} ms after event {number:d}"
)
def step_late_explanation(context, first, pause, number):
    cause = log_reader.explain(context.lines, "request-1")[-1]
    expected = f"first event after {first} ms, longest pause {pause} ms after event {number}"
    assert cause.endswith(expected), cause


@given("a log limited to {count:d} ordinary lines a second")
def step_limited(context, count):
    context.messages = []
    eliot.add_destinations(context.messages.append)
    # eliot passes messages that were logged earlier to its first destination.
    context.messages.clear()
    context.stack.callback(eliot.remove_destination, context.messages.append)
    context.log = DecisionLog("node-1", _ordinary=TokenBucket(count, 2.0 * count))


def end_successfully(context):
    machine = DeliveryMachine(opaque_request(), None)
    context.log.request_ended(machine, events.FinishStream())


@when("{count:d} requests succeed within one second")
def step_succeed(context, count):
    for _ in range(count):
        end_successfully(context)


@then("at most {count:d} lines were written")
def step_at_most(context, count):
    assert 0 < len(context.messages) <= count, len(context.messages)


@then("a later line counts the omitted ones")
def step_omitted(context):
    written = len(context.messages)
    time.sleep(0.4)
    end_successfully(context)
    assert context.messages[-1]["left_out"] == 100 - written, context.messages[-1]


@given("a log output whose reader has stalled")
def step_stalled(context):
    reader, writer = os.pipe()
    context.stack.callback(os.close, reader)
    context.stack.callback(os.close, writer)
    context.output = BoundedOutput(writer)


@when("{count:d} lines are written")
def step_write(context, count):
    started_at = time.monotonic()
    for _ in range(count):
        context.output.write(b"x" * 200 + b"\n")
    context.duration_s = time.monotonic() - started_at


@then("writing them took less than {seconds:g} s, and the dropped lines are counted")
def step_dropped(context, seconds):
    assert context.duration_s < seconds, context.duration_s
    assert context.output.dropped > 90_000, context.output.dropped


@given("a log whose output is read")
def step_read_log(context):
    reader, writer = os.pipe()
    context.stack.callback(os.close, reader)
    context.stack.callback(os.close, writer)
    context.reader = reader
    destination = add_log_output(BoundedOutput(writer))
    context.stack.callback(eliot.remove_destination, destination)


@when("a request whose id is not valid UTF-8 is refused, and its line gets a number of 70 bits")
def step_refuse_odd_id(context):
    context.id = b"r-\xff".decode(errors="surrogateescape")
    DecisionLog("node-1").request_refused(context.id, "MALFORMED_REQUEST", number=2**70)


@then("its line has eliot's fields, the id and the number")
def step_odd_line(context):
    written = json.loads(os.read(context.reader, 65_536))
    assert (written["request"], written["number"]) == (context.id, 2**70), written
    assert written["message_type"] == "liftrill:refused", written
    assert {"timestamp", "task_uuid", "task_level"} < set(written), written


@when("the platform's serve module is imported in a separate process")
def step_import_program(context):
    code = "import serve, sys; print(*sys.modules)"
    ran = subprocess.run(
        [sys.executable, "-c", code],
        env=os.environ | {"PYTHONPATH": f"{ROOT / 'platform'}{os.pathsep}{ROOT}"},
        capture_output=True,
        check=True,
        text=True,
        timeout=MAX_IMPORT_S,
    )
    context.imported = set(ran.stdout.split())


@then("at most {libraries:d} modules of libraries and {own:d} of the project were imported")
def step_few_modules(context, libraries, own):
    adaptor = {path.stem for path in (ROOT / "platform").glob("*.py")}
    of_project = {m for m in context.imported if m.split(".")[0] in {"liftrill", *adaptor}}
    counts = len(context.imported - of_project), len(of_project)
    assert counts[0] <= libraries and counts[1] <= own, counts


@then('none of "{first}", "{second}" and "{third}" was imported')
def step_not_imported(context, **names):
    found = context.imported & set(names.values())
    assert not found, found
