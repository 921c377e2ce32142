"""Steps on engine records, valid and invalid, in the store."""

import json
import sys
from pathlib import Path

from behave import given, then, when
from hypothesis import given as given_values
from hypothesis import seed, settings
from hypothesis import strategies as values

from features.gateway_support import new_quarantine, opaque_request
from liftrill.coordination.range_store import StoredItem
from liftrill.coordination.store_mirror import MirrorChange
from liftrill.gateway.cluster_state import ClusterState
from liftrill.gateway.configuration_view import ConfigurationView
from liftrill.gateway.decision_log import DecisionLog
from liftrill.gateway.delivery_events import EngineAddress, EngineChoice
from liftrill.gateway.engines.engine_selector import EngineSelector
from liftrill.gateway.engines.engine_table import EngineLoad, EngineNotice, EngineTable
from liftrill.gateway.engines.prefix_directory import part_number
from liftrill.gateway.peers.load_table import LoadTable
from liftrill.gateway.records import WeightTarget
from liftrill.gateway.route_table import WeightedSplit
from liftrill.gateway.store_outage import AnswerHistory
from liftrill.gateway.weight_rollout import AnnounceLoad, WeightRollout
from liftrill.gateway.weight_targets import WeightTargets

sys.path.append(str(Path(__file__).resolve().parent.parent.parent / "platform"))
from records import PlatformRecordDecoder

BORN_UNIX_MS = 1_700_000_000_000
PREFIX = "servers/"
INVALID_RECORDS = {
    "a list as the record": b"[1]",
    "bytes that are not UTF-8": b"\xff\xfe{",
    "deeply nested lists": b'{"Models": ' + b"[" * 100_000 + b"]" * 100_000 + b"}",
    "a megabyte of spaces": b" " * 1_048_576 + b"{}",
}


def record_body(name, **changes):
    body = {
        "Service": "service-1",
        "Address": f"10.0.0.1:{1000 + ord(name)}",
        "Zone": "zone-1",
        "Version": "v1",
        "Slots": 8,
        "State": "ready",
        "ColdRemainingMs": 0,
        "Models": [{"Name": "model", "Version": 1, "Adapters": []}],
        "SeqNo": 1,
    }
    return body | changes


class RecordedLog(DecisionLog):
    """A log that keeps the kinds of its lines."""

    def __init__(self):
        super().__init__("node-1")
        self.kinds = []

    def state_changed(self, kind, **inputs):
        self.kinds.append(kind)


class Node:
    """The state that a node keeps of engines."""

    def __init__(self):
        self.engines = EngineTable()
        self.targets = WeightTargets(10.0)
        self.selector = EngineSelector(self.engines, self.targets, "zone-1")
        self.loads = LoadTable(self.engines)
        self.rollout = WeightRollout(self.targets)
        self.quarantine = new_quarantine(self.engines)
        self.log = RecordedLog()
        self.refused = 0
        self.revision = 0
        self.cluster_state = ClusterState(
            PlatformRecordDecoder(),
            ConfigurationView(5.0),
            self.engines,
            self.targets,
            self.selector,
            WeightedSplit(),
            self.log,
            AnswerHistory(2.4),
        )
        self.cluster_state.count_refused = self.count_refused
        self.cluster_state.incarnation_ended = lambda view: self.quarantine.incarnation_ended(
            view, 0.0
        )

    def count_refused(self):
        self.refused += 1

    def write(self, name, value, revision=None):
        self.revision += 1
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        item = StoredItem(PREFIX + name, data, revision or self.revision, 0)
        self.cluster_state.apply(MirrorChange(written=(item,), removed=(), gap=False), 0.0)

    def in_use(self):
        """Return the engines that a request may be sent to, chosen one after the other."""
        found = set()
        while True:
            choice = self.selector.choose(opaque_request(), frozenset(found), 0.0)
            if not isinstance(choice, EngineChoice):
                return found
            found.add(choice.engine_id)


@given("a node that knows engines a and b with the weights of version 1")
def step_node(context):
    context.node = Node()
    context.bodies = {"a": record_body("a"), "b": record_body("b")}
    for name, body in context.bodies.items():
        context.node.write(name, body)
    assert context.node.in_use() == {"a", "b"}


@given("both record their start time")
def step_start_times(context):
    for name, body in context.bodies.items():
        body["born"] = BORN_UNIX_MS
        context.node.write(name, body)


@given("a has failed, holds prompt parts, and has requests of this node and others")
def step_used_before(context):
    node = context.node
    context.previous = view = node.engines.get("a")
    for _ in range(20):
        view.breaker.record_failure(0.0)
    view.own_load.add(EngineLoad(2, 300, 400))
    node.loads.update("peer", {"a": EngineLoad(3, 500, 600, number=view.advertised_number)}, 0.0)
    node.selector.parts.directory.record_prefill(
        part_number("", "part"),
        view.number,
        0.0,
        saved=False,
        announce=False,
    )
    assert node.in_use() == {"b"} and view.requests == 5


@given("a is loading version 2 of the weights")
def step_loading(context):
    node = context.node
    node.targets.add(WeightTarget("model", 2, 1), 0.0)
    node.rollout.due(node.engines, 0.0)
    assert "a" in node.rollout.loads


@given("a stream ran at b with its backup at a")
def step_backup(context):
    view = context.node.engines.get("a")
    backup = EngineAddress("a", view.record.address, view.number)
    context.interrupted = EngineChoice("b", "10.0.0.1:1098", 1, "salt", backup=backup)


@when("the record of {name} is written again with {change}")
def step_change(context, name, change):
    body = dict(context.bodies[name])
    field, _, value = change.partition(" = ")
    if change in INVALID_RECORDS:
        body = INVALID_RECORDS[change]
    elif change.startswith("no "):
        del body[change.removeprefix("no ")]
    elif value == "NaN":
        body[field] = float("nan")
    else:
        body[field] = json.loads(value)
    for _ in range(2):
        context.node.write(name, body)


@when("the record of {name} is written again as it was")
def step_restore(context, name):
    context.node.write(name, context.bodies[name])


@when("version 2 of the weights becomes the target")
def step_target(context):
    node = context.node
    node.engines.services = frozenset({"service-1"})
    node.targets.add(WeightTarget("model", 2, 1), 0.0)


@when("an older record of the previous incarnation of a arrives, with a as draining")
def step_late_record(context):
    context.node.write("a", context.bodies["a"] | {"State": "draining"}, revision=1)


@when(
    "a peer reports late its load on the previous incarnation of a, and that a has loaded version 2"
)
def step_late_reports(context):
    number = context.previous.advertised_number
    node = context.node
    node.loads.update("peer", {"a": EngineLoad(3, 500, 600, number=number)}, 0.0)
    node.engines.apply_notice(EngineNotice("a", "model", 2, False, 99, number), 0.0)


@then("{name} alone is in use")
def step_alone(context, name):
    assert context.node.in_use() == {name}, context.node.in_use()


@when("the sound record of an engine is written under the id {text}")
def step_odd_id(context, text):
    count, _, quoted = text.rpartition(" times ")
    context.node.write(int(count or 1) * json.loads(quoted), record_body("c"))


@when('a record of c with a start time is written, of "{service}"')
def step_odd_start(context, service):
    context.node.write("c", record_body("c", Service=service, born=BORN_UNIX_MS))


@when("the record of c is removed")
def step_removed(context):
    change = MirrorChange(written=(), removed=(PREFIX + "c",), gap=False)
    context.node.cluster_state.apply(change, 0.0)


@then("a, b and c are in use")
def step_three_in_use(context):
    assert context.node.in_use() == {"a", "b", "c"}, context.node.in_use()


@then("a and b are in use")
@then("a and b are in use immediately")
def step_both(context):
    assert context.node.in_use() == {"a", "b"}, context.node.in_use()


@then("b alone is ordered to load")
def step_load(context):
    node = context.node
    found = node.rollout.due(node.engines.in_use(), 0.0)
    assert [i.engine_id for i in found if isinstance(i, AnnounceLoad)] == ["b"], found


@then("one log line reports the record, and each write is counted")
def step_reported(context):
    refused = context.node.log.kinds.count("record_refused")
    withdrawn = context.node.log.kinds.count("engine") - 2
    assert context.node.refused == (2 if refused else 0)
    assert refused == 1 or withdrawn == 1, context.node.log.kinds


@then("a has no prompt parts, requests, tokens or orders")
def step_no_former_state(context):
    node = context.node
    view = node.engines.get("a")
    assert (view.requests, view.waiting_tokens, view.resident_tokens) == (0, 0, 0), view
    holder = node.selector.parts.directory.holder(part_number("", "part"), 0.0)
    assert node.engines.by_number(holder) is None
    node.rollout.due(node.engines, 0.0)
    load = node.rollout.loads.get("a")
    assert load is None or load.incarnation_number == view.number


@then("the end of the previous incarnation of a is recorded as evidence against its requests")
def step_end_recorded(context):
    assert context.node.quarantine.knows_end(context.previous)


@then("a has the weights of version 1")
def step_weights(context):
    assert context.node.engines.get("a").weight_version("model") == 1


@then("it may be resumed at a")
def step_resumable(context):
    assert context.node.selector.continue_at_backup(opaque_request(), context.interrupted, 0.0)


@then("it may not be resumed at a")
def step_not_resumable(context):
    assert not context.node.selector.continue_at_backup(opaque_request(), context.interrupted, 0.0)


JSON_VALUES = values.recursive(
    values.none()
    | values.booleans()
    | values.floats()
    | values.integers()
    | values.text(max_size=8),
    lambda children: (
        values.lists(children, max_size=3)
        | values.dictionaries(values.sampled_from(["Name", "Version", "x"]), children, max_size=3)
    ),
    max_leaves=6,
)


def kind_of(value):
    return "number" if type(value) in (int, float) else type(value)


@then("no random record of a with a field missing or of a wrong type leaves a in use")
def step_random_records(context):
    node, valid = context.node, context.bodies["a"]

    @seed(1)
    @settings(max_examples=300, deadline=None)
    @given_values(values.sampled_from(sorted(valid)), values.none() | JSON_VALUES)
    def check_invalid(field, value):
        body = dict(valid)
        del body[field]
        if value is not None and kind_of(value) != kind_of(valid[field]):
            body[field] = value
        node.write("a", body)
        context.only_b_in_use = context.only_b_in_use and node.in_use() == {"b"}
        node.write("a", valid)
        assert node.in_use() == {"a", "b"}

    context.only_b_in_use = True
    check_invalid()
    assert context.only_b_in_use


@then("b stays in use")
def step_b(context):
    assert "b" in context.node.in_use()
