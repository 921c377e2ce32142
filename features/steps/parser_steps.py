"""Steps that pass random input to the parsers."""

from behave import given, then
from hypothesis import given as given_values
from hypothesis import seed, settings
from hypothesis import strategies as values
from pydantic import ValidationError

from liftrill.coordination.membership_messages import Datagram, Ping
from liftrill.errors import ConfigurationError, InvalidRequestError
from liftrill.node.caller_schema import ChatRequest, CompletionRequest, parse_body, parse_headers
from liftrill.node.engine_client import AttemptBrokenError, EngineStream
from liftrill.node.gossip_codec import (
    SIGNATURE_BYTES,
    GossipDecodeError,
    GossipPacket,
    _signature,
    decode_packet,
    encode_packet,
)
from liftrill.planning.intent import Intent
from liftrill.planning.sections import parse_head

KEY = b"shared"
JSON_VALUES = values.recursive(
    values.none() | values.booleans() | values.floats() | values.text(max_size=8),
    lambda children: (
        values.lists(children, max_size=3)
        | values.dictionaries(values.sampled_from(["model", "prompt", "n", "x"]), children)
    ),
    max_leaves=6,
)
HEADER_NAMES = (
    "Authorization",
    "Liftrill-Deadline-Milliseconds",
    "Liftrill-Repeatable",
    "Idempotency-Key",
    "Liftrill-Workload",
)


def parse_datagram(data):
    try:
        decode_packet(_signature(KEY, data) + data, [KEY])
    except GossipDecodeError:
        return


def parse_caller_body(data):
    for schema in (CompletionRequest, ChatRequest):
        try:
            parse_body(schema, data)
        except InvalidRequestError as error:
            assert error.execution.value == "not-run"


def parse_caller_headers(headers):
    try:
        parse_headers(headers)
    except InvalidRequestError as error:
        assert error.execution.value == "not-run"


def parse_intent(value):
    try:
        Intent.model_validate(value)
    except ValidationError:
        return


class FakeContent:
    def __init__(self, data):
        self.data = data

    async def readany(self):
        data, self.data = self.data, b""
        return data


class FakeResponse:
    def __init__(self, data):
        self.content = FakeContent(data)


def parse_engine_stream(context, data):
    stream = EngineStream(FakeResponse(b"data: " + data + b"\n\n"), "attempt")
    try:
        context.run(stream.read())
    except AttemptBrokenError:
        return


def parse_stored_head(data):
    try:
        parse_head(data)
    except ConfigurationError:
        return


def strategies_and_parsers(context):
    json_bytes = JSON_VALUES.map(lambda v: str(v).replace("'", '"').encode())
    return {
        "gossip datagrams": (values.binary(max_size=200), parse_datagram),
        "caller bodies": (values.binary(max_size=100) | json_bytes, parse_caller_body),
        "caller headers": (
            values.dictionaries(values.sampled_from(HEADER_NAMES), values.text(max_size=40)),
            parse_caller_headers,
        ),
        "intents": (JSON_VALUES, parse_intent),
        "engine streams": (
            values.binary(max_size=100) | json_bytes,
            lambda data: parse_engine_stream(context, data),
        ),
        "configuration heads": (values.binary(max_size=100), parse_stored_head),
    }


@then("{count:d} random {kind} are accepted or rejected with the documented error")
def step_random_input(context, count, kind):
    strategy, parse = strategies_and_parsers(context)[kind]

    @seed(2)
    @settings(max_examples=count, deadline=None, database=None)
    @given_values(strategy)
    def check(value):
        parse(value)

    check()


@given('a datagram that was signed with the key "{key}"')
def step_datagram(context, key):
    datagram = Datagram("node", 1, Ping(), (), 7)
    context.packet = GossipPacket(datagram, (), ())
    context.data = encode_packet(context.packet, key.encode())


@then('a node that accepts "{first}" and "{second}" accepts it')
def step_accepts(context, first, second):
    assert decode_packet(context.data, [first.encode(), second.encode()]) == context.packet


def is_rejected(data, key):
    try:
        decode_packet(data, [key])
    except GossipDecodeError:
        return True
    return False


@then('a node that accepts "{key}" rejects it')
def step_rejects(context, key):
    assert is_rejected(context.data, key.encode())


@then("it is rejected when any of its bytes is changed")
def step_changed_bytes(context):
    assert len(context.data) > SIGNATURE_BYTES
    for position in range(len(context.data)):
        changed = bytearray(context.data)
        changed[position] ^= 1
        assert is_rejected(bytes(changed), b"new"), position
