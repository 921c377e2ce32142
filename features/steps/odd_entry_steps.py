"""Steps in which other writers leave entries in the store that no node can use."""

import asyncio
import ipaddress
import itertools
import json
import random
import re
import socket
import sys
from dataclasses import replace
from pathlib import Path

import aiohttp
from aiohttp import web
from aiohttp.test_utils import RawTestServer
from behave import given, then, when

from features.standin.deployment import configuration
from features.steps.engine_record_steps import Node, record_body
from liftrill.bench.launcher import free_ports
from liftrill.coordination.range_store import StoredItem, WatchBatch
from liftrill.coordination.store_mirror import MirrorChange
from liftrill.errors import SettingsError, StoreAnswerLostError, StoreUnavailableError
from liftrill.gateway.engines.engine_table import EngineNotice
from liftrill.gateway.event_stream import EventSplitter
from liftrill.gateway.opaque_request import FINGERPRINT_BYTES
from liftrill.gateway.peers.notice_codec import datagram_from_notices
from liftrill.gateway.quarantine_codec import entry_from_record, record_of
from liftrill.gateway.quarantine_list import QuarantineList
from liftrill.gateway.relay_codec import RelayAnswer, decode_message, encode_answer, encode_batch
from liftrill.gateway.transport import EngineReply
from liftrill.messages import peer_pb2 as messages
from liftrill.node.engine_client import EngineClient
from liftrill.node.gossip_codec import observation_message
from liftrill.node.platform_client import INDEX_HEADER, PlatformClient
from liftrill.routing.engine_records import EngineObservation
from liftrill.routing.engine_state import EngineState

sys.path.append(str(Path(__file__).resolve().parent.parent.parent / "platform"))
from boot import read_settings
from engines import PlatformEngineTransport, PlatformOrderClient
from store import PlatformStore

DEEPLY_NESTED = b"[" * 100_000 + b"]" * 100_000
MANY_DIGITS = b"9" * 5_000
MEGABYTE_STRING = b'"' + b"x" * 1_048_576 + b'"'
ODD_VALUES = (
    DEEPLY_NESTED,
    MANY_DIGITS,
    b"9" * 400,
    b"1e999",
    b"-1e999",
    b"NaN",
    b"18446744073709551616",
    b"-1",
    b"true",
    b"null",
    b'["a"]',
    b'{"a": 1}',
    b'"\\ud800"',
    MEGABYTE_STRING,
    b"\xff",
)
ODD_ADDRESSES = (
    b'"10.0.0.1:"',
    b'"10.0.0.1:70000"',
    b'"10.0.0.1:0080801"',
    b'"10.0.0.1:000000080"',
    '"10.0.0.1:\u0668\u0660"'.encode(),
    b'"[::1]:80"',
    b'"10.0.0.1:-1"',
)
CHANGE_S = 3.0
ENGINES = ("a", "b")


def with_value(body, path, value):
    """Return a JSON document in which one value is replaced by other bytes."""
    document = json.loads(json.dumps(body))
    parent = document
    for key in path[:-1]:
        parent = parent[key]
    parent[path[-1]] = "@"
    return json.dumps(document).encode().replace(b'"@"', value, 1)


def weights_versions(context):
    body = {"Model": "model-1", "Version": 2}
    for number, (field, value) in enumerate(itertools.product(body, ODD_VALUES)):
        # A model's name may be long.
        if (field, value) != ("Model", MEGABYTE_STRING):
            yield f"op/version/odd-{number}", with_value(body, [field], value)


def configuration_with(path, value):
    yield "op/config", with_value(sound_configuration(), path, value)


def sound_configuration():
    body = configuration(6, quota={"RatePerS": 100.0, "Burst": 100.0, "Unit": "token"})
    body["Services"][1] |= {"KvStoreAddr": "127.0.0.1:9", "LinkMbps": 100}
    body["Services"][1]["Engine"] |= {"KvTokenBytes": 100, "LinkMbps": 100, "Stride": 1}
    return body


def engine_records(context):
    body = context.deployment.engines["desk-0"].record()
    for number, (field, value) in enumerate(itertools.product(body, ODD_VALUES)):
        # The stage is not read.
        if field != "Stage":
            yield f"servers/odd-{number}", with_value(body, [field], value)


def node_records(context):
    largest = messages.QuarantineRecord(
        until_unix_milliseconds=2**64 - 1, times=2**32 - 1, companions=[b"x"]
    )
    yield "liftrill/fleet", MANY_DIGITS
    yield "liftrill/known-era", MANY_DIGITS
    yield "liftrill/base-era", MANY_DIGITS
    yield "liftrill/orders", b"\xff\xfe"
    yield "liftrill/software-versions", b"\xff"
    yield "liftrill/origins/odd", b"\xff"
    yield "liftrill/quarantine/odd", b"\xff"
    yield f"liftrill/quarantine/{'00' * FINGERPRINT_BYTES}", largest.SerializeToString()
    yield f"liftrill/quarantine/{'01' * FINGERPRINT_BYTES}", b"\xff"


ENTRIES = {
    "weights versions that are no integers": weights_versions,
    "a configuration of an infinite version": lambda _: configuration_with(["Version"], b"1e999"),
    "a configuration whose host is a number": lambda _: configuration_with(
        ["Routes", 0, "Host"], b"5"
    ),
    "records of nodes that are out of range": node_records,
    "engine records with an odd value": engine_records,
}


async def uses_engines(context, count):
    """Return whether each node counts so many engines, by its metrics."""
    line = f"liftrill_engines {count}.0"
    try:
        pages = [await context.deployment.metrics(node) for node in context.deployment.nodes]
    except aiohttp.ClientError:
        return False
    return all(line in page.splitlines() for page in pages)


@when("other writers leave {entries} in the store, and an engine joins at the same moment")
def step_odd_entries(context, entries):
    deployment = context.deployment

    async def write():
        engine = await deployment.add_engine("desk-1", "desk")
        deployment.store.remove("servers/desk-1")
        await deployment.wait_until(lambda: uses_engines(context, 1), CHANGE_S)
        # The nodes get all of these in one answer.
        context.odd_keys = []
        for key, value in ENTRIES[entries](context):
            deployment.store.put(key, value)
            context.odd_keys.append(key)
        deployment.record(engine)

    context.run(write())


def odd_rows(engine_key):
    """Yield rows of a key in which one field is odd or missing."""
    sound = {"TlsKey": engine_key, "Value": "e30=", "Revision": 3, "Created": 3, "Lease": 0}
    for field in ("Value", "Revision", "Lease"):
        yield json.dumps({key: value for key, value in sound.items() if key != field})
        for value in ODD_VALUES:
            # Bytes that are not UTF-8, or nested too deeply, damage the whole answer.
            if value not in (b"\xff", DEEPLY_NESTED, MANY_DIGITS):
                yield with_value(sound, [field], value).decode()
    yield json.dumps(sound | {"Value": "!!!"})
    yield json.dumps(sound | {"Value": "e30"})


@when("rows of records get odd fields, and an engine joins at the same moment")
def step_odd_rows(context):
    deployment, store = context.deployment, context.deployment.store

    async def write():
        engine = await deployment.add_engine("desk-1", "desk")
        store.remove("servers/desk-1")
        await deployment.wait_until(lambda: uses_engines(context, 1), CHANGE_S)
        context.odd_keys = []
        for number, row in enumerate(odd_rows("servers/odd-NUMBER")):
            key = f"servers/odd-{number:02}"
            store.odd_rows[key] = row.replace("servers/odd-NUMBER", key)
            store.put(key, {})
            context.odd_keys.append(key)
        # Rows without a key that can be used name no record.
        for number, key in enumerate(("5", "null", '["a"]', '""', '"\\ud800"')):
            name = f"servers/without-key-{number}"
            store.odd_rows[name] = f'{{"TlsKey": {key}, "Value": "e30=", "Revision": 3}}'
            store.put(name, {})
        for number, row in enumerate(("null", "5", "[]", "{}", '"x"')):
            store.odd_rows[f"servers/no-row-{number}"] = row
            store.put(f"servers/no-row-{number}", {})
        deployment.record(engine)

    context.run(write())


class AnyAnswer:
    """An HTTP server that sends the same bytes in answer to each request."""

    def __init__(self):
        self.body = b""
        self.status = 200
        self.headers = {}

    async def answer(self, request):
        await request.read()
        return web.Response(body=self.body, status=self.status, headers=self.headers)


ODD_ANSWERS = (
    DEEPLY_NESTED,
    b'{"At": ' + DEEPLY_NESTED + b"}",
    b"\xff",
    b"[]",
    b"5",
    b"{}",
    b"{",
    b'{"items": 5, "At": 3}',
    b'{"items": [], "At": "x"}',
    b'{"items": [{}], "At": 3, "More": true}',
    *(
        b'{"items": [], "Events": [], "At": %s, "Revision": %s, "Lease": %s}' % (v, v, v)
        for v in (MANY_DIGITS, b"1e999", b"NaN", b"-1", b"null", b"true", b"[]", b"9" * 30)
    ),
)


@given("a store whose answers are any bytes")
@given("the own interface's store whose answers are any bytes")
def step_any_answers(context):
    async def start():
        context.answers = AnyAnswer()
        server = RawTestServer(context.answers.answer, port=free_ports(1)[0])
        await context.stack.enter_async_context(server)
        session = await context.stack.enter_async_context(aiohttp.ClientSession())
        context.store = PlatformStore(session, f"127.0.0.1:{server.port}", lambda call: None)
        context.engine_client = EngineClient(session, b"secret")
        context.answering_address = f"127.0.0.1:{server.port}"
        context.own_store = PlatformClient(session, f"http://127.0.0.1:{server.port}")

    context.run(start())


def machine_row(name, **changes):
    row = {"ID": name, "Name": "pool", "Address": "127.0.0.1:14000", "Meta": {"Zone": "zone-1"}}
    return row | changes


@then("a machine list with odd rows has the sound ones")
def step_machine_rows(context):
    sound = [json.dumps(machine_row(name)).encode() for name in ENGINES]
    odd = [
        with_value(machine_row("odd"), path, value)
        for path in (["ID"], ["Name"], ["Address"], ["Meta"], ["Meta", "Zone"])
        for value in ODD_VALUES
        # Bytes that are not UTF-8, digits without end and deep lists damage the whole answer.
        if value not in (b"\xff", MANY_DIGITS, DEEPLY_NESTED, MEGABYTE_STRING)
    ]
    odd += [json.dumps(machine_row("odd", Address=f"10.0.0.1:{p}")).encode() for p in (0, 70000)]
    odd += [b"null", b"5", b"[]", b"{}"]

    async def check():
        for row in odd:
            context.answers.body = b"[" + b",".join((sound[0], row, sound[1])) + b"]"
            machines = (await context.own_store.watch_machines(0, 0.0)).machines
            assert [machine.machine_id for machine in machines] == list(ENGINES), row[:80]

    context.run(check())


@then("each of its calls that gets an odd answer fails like one that the store does not answer")
def step_odd_own_answers(context):
    async def check():
        store = context.own_store
        for body, index in itertools.product(
            (*ODD_ANSWERS, b"[]", b"[5]", b'[{"Key": "a", "Value": "e30=", "ModifyIndex": "x"}]'),
            ("1", "x", "9" * 5_000, "-1"),
        ):
            context.answers.body, context.answers.headers = body, {INDEX_HEADER: index}
            calls = {
                "get": (store.get("a"), StoreUnavailableError),
                "watch": (store.watch("a", 1, 0.0), StoreUnavailableError),
                "watch_machines": (store.watch_machines(0, 0.0), StoreUnavailableError),
                "create_session": (store.create_session(1.0), StoreAnswerLostError),
            }
            for name, (call, expected) in calls.items():
                try:
                    result = await call
                except expected:
                    continue
                # An empty list of machines is one, as is a list of odd ones alone.
                is_list = name == "watch_machines" and index == "1" and body[:1] == b"["
                assert is_list and not result.machines, (name, body[:60], index[:9], result)

    context.run(check())


@then("each call that gets an odd answer fails like one that the store does not answer")
def step_odd_answers(context):
    async def check():
        store = context.store
        for body in ODD_ANSWERS:
            context.answers.body = body
            calls = {
                "read": (store.read("a"), StoreUnavailableError),
                "read_range": (store.read_range("", ""), StoreUnavailableError),
                "watch": (store.watch("", 0, 0.0), StoreUnavailableError),
                "transact": (store.transact((), ()), StoreAnswerLostError),
                "grant_lease": (store.grant_lease(1.0), StoreAnswerLostError),
            }
            for name, (call, expected) in calls.items():
                try:
                    result = await call
                except expected:
                    continue
                assert name == "watch" and b'"items": ' in body, (name, body[:60], result)

    context.run(check())


@then("each node uses the engine that joined")
def step_joined(context):
    context.run(context.deployment.wait_until(lambda: uses_engines(context, 2), CHANGE_S))


@then("engines that join and leave afterwards are noticed, and requests are served")
def step_followed(context):
    deployment = context.deployment

    async def change():
        await deployment.add_engine("desk-2", "desk")
        await deployment.wait_until(lambda: uses_engines(context, 3), CHANGE_S)
        deployment.store.remove("servers/desk-2")
        await deployment.wait_until(lambda: uses_engines(context, 2), CHANGE_S)
        for node in deployment.nodes:
            status, _, _, is_complete = await deployment.call(node, "/whole/x")
            assert (status, is_complete) == (200, True), status

    context.run(change())


async def is_led(context):
    """Return whether a node leads whose log was written after the odd entries."""
    store = context.deployment.store
    led = context.deployment.logged("leading")
    return "liftrill/leader" in store.items and len(led) >= 2


@when("a node starts again")
def step_restart(context):
    node = context.deployment.nodes[0]

    async def restart():
        await node.stop()
        await node.start()
        await context.deployment.ready(node)
        if context.odd_keys[-1].startswith("liftrill/"):
            await context.deployment.wait_until(lambda: is_led(context), 10.0)

    # A configuration that no node can use is no start of a node: another one replaces it first.
    if context.odd_keys[-1] == "op/config":
        context.deployment.configure(6)
    context.run(restart())


@then("it uses the same engines, and no task of any node failed")
def step_no_failure(context):
    step_joined(context)
    failed = context.deployment.logged("task_failed")
    assert not failed, failed[:3]
    ended = [node.process.returncode for node in context.deployment.nodes]
    assert ended == [None, None], ended
    refused = {line["key"] for line in context.deployment.logged("record_refused")}
    # Nodes write their own records again, and read the origins of streams on demand.
    expected = {key for key in context.odd_keys if not key.startswith("liftrill/")}
    assert expected <= refused, expected - refused


@when("sound entries replace them")
def step_replace(context):
    store, engine = context.deployment.store, context.deployment.engines["desk-2"]
    store.odd_rows.clear()
    for key in set(context.odd_keys):
        if key.startswith("servers/"):
            store.remove(key)
        elif key.startswith("op/version/"):
            store.put(key, {"Model": key, "Version": 3})
    context.deployment.record(engine)
    context.deployment.configure(7)


@then("they are in force at each node")
def step_in_force(context):
    async def in_force():
        pages = [await context.deployment.metrics(node) for node in context.deployment.nodes]
        return all("liftrill_configuration_version 7.0" in page for page in pages)

    context.run(context.deployment.wait_until(in_force, CHANGE_S))
    context.run(context.deployment.wait_until(lambda: uses_engines(context, 3), CHANGE_S))


def value_paths(body, path=()):
    """Yield the path of each value in a JSON document, of the first element alone in a list."""
    fields = body.items() if isinstance(body, dict) else ()
    fields = enumerate(body[:1]) if isinstance(body, list) else fields
    for key, value in fields:
        yield (*path, key)
        yield from value_paths(value, (*path, key))


def node_of_engines():
    node = Node()
    for name in ENGINES:
        node.write(name, record_body(name, born=1_700_000_000_000))
    return node


def tell_peers(view):
    record = view.record
    messages.ServiceVersion(
        service=record.service, software_version=record.software_version
    ).SerializeToString()
    notices = [EngineNotice(view.engine_id, m, v, True, 1) for m, v in view.weights.items()]
    datagram_from_notices(notices).SerializeToString()
    messages.EngineLoad(engine_id=view.engine_id, engine=view.number).SerializeToString()
    record.zone.encode()
    host, port = record.address.split(":")
    assert ipaddress.IPv4Address(host) and 1 <= int(port) <= 65_535, record.address
    assert port.isascii() and 1 <= record.slots < 2**63, record


def use_like_a_gateway(node, item):
    """Apply an item to a node, relay it to another, and use what both believe."""
    follower = node_of_engines()
    change = MirrorChange(written=(item,), removed=(), gap=False)
    node.cluster_state.apply(change, 0.0)
    update = decode_message(encode_batch(WatchBatch((item,), item.revision)))
    follower.cluster_state.apply(replace(change, written=update.batch.changes), 0.0)
    answer = RelayAnswer(1, node.cluster_state.view.version, 0.0, item.revision, 0.0, ("a",))
    encode_answer(answer)
    for each in (node, follower):
        targets = each.targets
        for model in targets.models():
            notice = EngineNotice("a", model, targets.newest(model), True, 1)
            datagram_from_notices([notice]).SerializeToString()
        for view in each.engines.in_use():
            tell_peers(view)
        each.rollout.due(each.engines.in_use(), 0.0)
        each.in_use()
    return follower


ODD_KINDS = {
    "a configuration": ("op/config", sound_configuration),
    "a weights version": ("op/version/model-1", lambda: {"Model": "model-1", "Version": 2}),
    "an engine's record": ("servers/c", lambda: record_body("c", born=1_700_000_000_000)),
}


@then(
    "no odd value in a field of {kind} fails in a node, or in one that follows it, "
    "or changes its engines"
)
def step_odd_values(context, kind):
    key, sound = ODD_KINDS[kind]
    body = sound()
    failures = []
    for path, value in itertools.product(value_paths(body), ODD_VALUES):
        node = node_of_engines()
        item = StoredItem(key, with_value(body, path, value), 9, 0)
        try:
            follower = use_like_a_gateway(node, item)
            for each in (node, follower):
                assert {view.engine_id for view in each.engines} >= set(ENGINES)
        except Exception as error:
            failures.append((path, value[:20], repr(error)[:100]))
    assert not failures, (len(failures), failures[:10])


def random_record(randomness):
    """Return a record in which up to three values are odd, repeated or nested."""
    body = record_body("c", born=1_700_000_000_000)
    odd = {}
    for number in range(randomness.randint(1, 3)):
        path = randomness.choice(list(value_paths(body)))
        parent = body
        for key in path[:-1]:
            parent = parent[key]
        if isinstance(parent, str):
            continue
        parent[path[-1]] = f"@{number}"
        value = randomness.choice(
            (*ODD_VALUES[:-2], *ODD_ADDRESSES, str(randomness.random()).encode())
        )
        odd[f'"@{number}"'.encode()] = value
    data = json.dumps(body).encode()
    for mark, value in odd.items():
        data = data.replace(mark, value)
    if randomness.random() < 0.1:
        data = data[:-1] + b', "Slots": ' + randomness.choice(ODD_VALUES) + b"}"
    return data


@then("{count:d} random records of engines leave the other engines in use, and are told to peers")
def step_random_records(context, count):
    randomness = random.Random(7)
    node = node_of_engines()
    for revision in range(10, 10 + count):
        data = random_record(randomness)
        follower = use_like_a_gateway(node, StoredItem("servers/c", data, revision, 0))
        for each in (node, follower):
            assert set(ENGINES) <= each.in_use(), (revision, data[:300])


@then("a quarantine entry with the largest numbers of its message can be extended and told")
def step_largest_quarantine(context):
    fingerprint = b"x" * FINGERPRINT_BYTES
    record = messages.QuarantineRecord(until_unix_milliseconds=2**64 - 1, times=2**32 - 1)
    entry = entry_from_record(fingerprint, record)
    known = QuarantineList()
    known.put(entry)
    extended = known.next_entry(fingerprint, 0.0)
    for each in (entry, extended, extended.widened_by(entry, 0.0)):
        assert record_of(each).SerializeToString()
        assert entry_from_record(fingerprint, record_of(each)) is not None


class OneResponse(PlatformEngineTransport):
    """Answers each call with the same bytes."""

    def __init__(self, content):
        self.content = content

    async def call(self, *_, **__):
        return 200, self.content


@then("no report of an engine with an odd value in a field fails at the node that asked for it")
def step_odd_reports(context):
    view = node_of_engines().engines.get("a")
    sound = {
        "Models": [{"Name": "model-1", "Version": 1}],
        "SeqNo": 1,
        "Utilization": 0.5,
        "born": 1_700_000_000_000,
    }
    reports = [with_value(sound, path, v) for path in value_paths(sound) for v in ODD_VALUES]

    async def check():
        for report in (*reports, *ODD_ANSWERS):
            transport = OneResponse(report)
            status = await PlatformOrderClient(transport).report(view)
            if status is not None:
                assert 0 <= status.order_sequence < 2**63, report
                notices = [EngineNotice("a", m, v, True, 1) for m, v in status.weights.items()]
                assert datagram_from_notices(notices).SerializeToString() or not notices, report
            assert isinstance(await transport.identify(view), EngineReply)

    context.run(check())


@then("an event of an engine whose id has {digits:d} digits is passed on like one without an id")
def step_long_id(context, digits):
    block = b"id: " + b"9" * digits + b"\ndata: x\n\n"
    events = EventSplitter(b"").feed(b"id: 1\ndata: y\n\n" + block)
    assert [(event.event_id, event.data) for event in events] == [
        (1, b"id: 1\ndata: y\n\n"),
        (None, block),
    ], events


ODD_PORTS = ("true", "false", "0", "-1", "65536", "70000", '"80"', "80.5", "inf", "[]")
ODD_NUMBERS = ("nan", "inf", "-inf", "-1", "true", '"5"', "1e300", "9" * 30, "[]")
ODD_SETTINGS = (
    *(("MetricsPort", value) for value in ODD_PORTS),
    *(("PortRange", f"[{value}, 14001]") for value in ODD_PORTS),
    ("PortRange", "[65535, 65536]"),
    ("PortRange", "[]"),
    *(
        ("Front", f'"127.0.0.1:{port}"')
        for port in ("0", "70000", "080801", "\u0668\u0660", "-1", "")
    ),
    *((name, value) for name in ("RevokeMs", "GraceS", "HeartbeatMs") for value in ODD_NUMBERS),
    ("Ip", "9" * 5_000),
    ("Seeds", "[" * 100_000 + "]" * 100_000),
)
SETTINGS = """\
Node = "node-1"
Ip = "127.0.1.1"
Zone = "zone-1"
Region = "region-1"
PortRange = [14000, 14001]
Seeds = []
Bootstrap = true
MetricsPort = 14002
HeartbeatMs = 1000
[Listen]
Front = "127.0.1.1:14003"
Readiness = "127.0.1.1:14004"
Control = "127.0.1.1:14005"
Directory = "127.0.1.1:14006"
[Bounds]
RevokeMs = 5000
BudgetRatio = 0.2
BudgetWindowS = 10
RetrySlack = 54
VersionMs = 8000
LeaseMs = 3000
ThawMs = 300
GraceS = 8
ttl_max_s = 5
[Provider]
Address = "127.0.0.1:14007"
TtlMinMs = 1000
"""


@then("each odd value in a settings file is refused, and the file without one is not")
def step_odd_settings(context):
    path = context.directory / "settings.toml"
    path.write_text(SETTINGS)
    assert read_settings(path).gateway.peer_address == "127.0.1.1:14000"
    accepted = []
    for name, value in ODD_SETTINGS:
        # Values of this table contain no backslash, which a replacement would interpret.
        path.write_text(re.sub(rf"(?m)^{name} = .*$", f"{name} = {value}", SETTINGS))
        try:
            read_settings(path)
        except SettingsError as error:
            assert str(path) in str(error), error
        except Exception as error:
            accepted.append((name, value[:20], repr(error)[:80]))
        else:
            accepted.append((name, value[:20]))
    assert not accepted, (len(accepted), accepted)


OWN_REPORT = {
    "engine_id": "e1",
    "incarnation": 1,
    "revision": 1,
    "weight_version": "w1",
    "pool": "pool-1",
    "running": 1,
    "waiting": 1,
    "waiting_prompt_tokens": 1,
}
OWN_EVENTS = {"incarnation": 1, "events": [[1, "stored", "aabb"]]}


@then("each odd report and event of an engine counts as none, or can be told to other nodes")
def step_odd_own_reports(context):
    engine = EngineState("e1", context.answering_address, "zone-1", "pool-1")
    odd_values = (*ODD_VALUES, b"9" * 25, b"1e300", b"-9")

    async def check():
        for path, value in itertools.product(value_paths(OWN_REPORT), odd_values):
            context.answers.body = with_value(OWN_REPORT, path, value)
            report = await context.engine_client.report(engine)
            if report is not None:
                observation = EngineObservation("e1", report.identity)
                assert observation_message(observation).SerializeToString(), (path, value[:20])
        for path, value in itertools.product(value_paths(OWN_EVENTS), odd_values):
            context.answers.body = with_value(OWN_EVENTS, path, value)
            batch = await context.engine_client.cache_events(engine, 0)
            if batch is not None:
                holder = messages.PrefixHolder(engine_id="e1", incarnation=batch.incarnation)
                assert holder.SerializeToString(), (path, value[:20])

    context.run(check())


@when("a datagram tells a node of members with odd addresses")
def step_odd_members(context):
    node = context.deployment.nodes[0]
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for address in ("x", "", "10.0.0.1", "10.0.0.1:99999", "10.0.0.1:abc", ":80", "name:80"):
            name = f"odd {address}"
            member = messages.MemberRecord(node_id=name, address=address, incarnation=1)
            datagram = messages.Datagram(sender=name, sequence=1, members=[member])
            datagram.ping.SetInParent()
            sender.sendto(datagram.SerializeToString(), (node.ip, node.ports["Peer"]))


@then("for {seconds:d} s no task of any node fails, and each node counts 2 nodes")
def step_no_task_failed(context, seconds):
    context.run(asyncio.sleep(seconds))
    failed = [(line["task"], line["error"]) for line in context.deployment.logged("task_failed")]
    assert not failed, (len(failed), failed[:3])
    context.run(context.deployment.know_each_other())
