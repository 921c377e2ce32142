"""Steps on what engines record of themselves, with records of other writers among them."""

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
from liftrill.gateway.weight_rollout import AnnounceLoad, WeightRollout
from liftrill.gateway.weight_targets import WeightTargets

sys.path.append(str(Path(__file__).resolve().parent.parent.parent / "platform"))
from records import PlatformRecordDecoder

BORN_UNIX_MS = 1_700_000_000_000
PREFIX = "servers/"
SPOILED = {
    "a list in its place": b"[1]",
    "bytes that are no text": b"\xff\xfe{",
    "lists a thousand deep": b'{"Models": ' + b"[" * 100_000 + b"]" * 100_000 + b"}",
    "a megabyte of blanks": b" " * 1_048_576 + b"{}",
}


def entry(name, **changes):
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
    """Keeps the kinds of lines."""

    def __init__(self):
        super().__init__("node-1")
        self.kinds = []

    def state_changed(self, kind, **inputs):
        self.kinds.append(kind)


class Node:
    """What one node believes of engines."""

    def __init__(self):
        self.engines = EngineTable()
        self.targets = WeightTargets(10.0)
        self.selector = EngineSelector(self.engines, self.targets, "zone-1")
        self.board = LoadTable(self.engines)
        self.rollout = WeightRollout(self.targets)
        self.quarantine = new_quarantine(self.engines)
        self.log = RecordedLog()
        self.refused = 0
        self.revision = 0
        self.beliefs = ClusterState(
            PlatformRecordDecoder(),
            ConfigurationView(5.0),
            self.engines,
            self.targets,
            self.selector,
            WeightedSplit(),
            self.log,
            2.4,
        )
        self.beliefs.count_refused = self.count_refused
        self.beliefs.incarnation_ended = lambda view: self.quarantine.incarnation_ended(view, 0.0)

    def count_refused(self):
        self.refused += 1

    def write(self, name, value, revision=None):
        self.revision += 1
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        item = StoredItem(PREFIX + name, data, revision or self.revision, 0)
        self.beliefs.apply(MirrorChange(written=(item,), removed=(), gap=False), 0.0)

    def in_use(self):
        """Return the engines that requests go to, found by leaving out those that had one."""
        found = set()
        while True:
            choice = self.selector.choose(opaque_request(), frozenset(found), 0.0)
            if not isinstance(choice, EngineChoice):
                return found
            found.add(choice.engine_id)


@given("a node that knows engines a and b with the weights of version 1")
def step_node(context):
    context.node = Node()
    context.bodies = {"a": entry("a"), "b": entry("b")}
    for name, body in context.bodies.items():
        context.node.write(name, body)
    assert context.node.in_use() == {"a", "b"}


@given("both tell when they started")
def step_births(context):
    for name, body in context.bodies.items():
        body["born"] = BORN_UNIX_MS
        context.node.write(name, body)


@given("a has failed, keeps parts, and has requests of this node and others")
def step_history(context):
    node = context.node
    context.former = view = node.engines.get("a")
    for _ in range(20):
        view.breaker.record_failure(0.0)
    view.own_load.add(EngineLoad(2, 300, 400))
    node.board.update("peer", {"a": EngineLoad(3, 500, 600, number=view.advertised_number)}, 0.0)
    node.selector.parts.directory.record_prefill(
        part_number("", "part"),
        view.number,
        0.0,
        saved=False,
        announce=False,
    )
    assert node.in_use() == {"b"} and view.requests == 5


@given("version 2 of the weights is being loaded by a")
def step_loading(context):
    node = context.node
    node.targets.add(WeightTarget("model", 2, 1), 0.0)
    node.rollout.due(node.engines, 0.0)
    assert "a" in node.rollout.loads


@given("a stream ran at b whose copy was at a")
def step_copy(context):
    view = context.node.engines.get("a")
    backup = EngineAddress("a", view.record.address, view.number)
    context.broken = EngineChoice("b", "10.0.0.1:1098", 1, "salt", backup=backup)


@when("the entry of {name} is written again with {change}")
def step_change(context, name, change):
    body = dict(context.bodies[name])
    field, _, value = change.partition(" = ")
    if change in SPOILED:
        body = SPOILED[change]
    elif change.startswith("no "):
        del body[change.removeprefix("no ")]
    elif value == "NaN":
        body[field] = float("nan")
    else:
        body[field] = json.loads(value)
    for _ in range(2):
        context.node.write(name, body)


@when("the entry of {name} is written again as it was")
def step_restore(context, name):
    context.node.write(name, context.bodies[name])


@when("version 2 of the weights is wanted")
def step_named(context):
    node = context.node
    node.engines.services = frozenset({"service-1"})
    node.targets.add(WeightTarget("model", 2, 1), 0.0)


@when("an older entry of the former a arrives, which says that it leaves")
def step_late(context):
    context.node.write("a", context.bodies["a"] | {"State": "draining"}, revision=1)


@when("a peer tells late of its load on the former a, and that it has loaded version 2")
def step_late_words(context):
    number = context.former.advertised_number
    node = context.node
    node.board.update("peer", {"a": EngineLoad(3, 500, 600, number=number)}, 0.0)
    node.engines.apply_notice(EngineNotice("a", "model", 2, False, 99, number), 0.0)


@then("{name} alone is in use")
def step_alone(context, name):
    assert context.node.in_use() == {name}, context.node.in_use()


@then("a and b are in use")
@then("a and b are in use, and a at once")
def step_both(context):
    assert context.node.in_use() == {"a", "b"}, context.node.in_use()


@then("b alone is to load")
def step_load(context):
    node = context.node
    found = node.rollout.due(node.engines.in_use(), 0.0)
    assert [i.engine_id for i in found if isinstance(i, AnnounceLoad)] == ["b"], found


@then("a line tells of the entry once, and each is counted")
def step_told(context):
    refused = context.node.log.kinds.count("record_refused")
    withdrawn = context.node.log.kinds.count("engine") - 2
    assert context.node.refused == (2 if refused else 0)
    assert refused == 1 or withdrawn == 1, context.node.log.kinds


@then("a holds no parts, requests or tokens, and no order of it is known")
def step_fresh(context):
    node = context.node
    view = node.engines.get("a")
    assert (view.requests, view.waiting_tokens, view.resident_tokens) == (0, 0, 0), view
    holder = node.selector.parts.directory.holder(part_number("", "part"), 0.0)
    assert node.engines.by_number(holder) is None
    node.rollout.due(node.engines, 0.0)
    load = node.rollout.loads.get("a")
    assert load is None or load.incarnation_number == view.number


@then("the former a has ended, as evidence against what ran there")
def step_ended(context):
    assert context.node.quarantine.knows_end(context.former)


@then("a has the weights of version 1")
def step_weights(context):
    assert context.node.engines.get("a").weight_version("model") == 1


@then("it may go on at a")
def step_goes_on(context):
    assert context.node.selector.continue_at_backup(opaque_request(), context.broken, 0.0)


@then("it may not go on at a")
def step_does_not_go_on(context):
    assert not context.node.selector.continue_at_backup(opaque_request(), context.broken, 0.0)


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


@then(
    "no entry of a drawn at random that lacks a field or has one of another type leaves it in use"
)
def step_drawn(context):
    node, good = context.node, context.bodies["a"]

    @seed(1)
    @settings(max_examples=300, deadline=None)
    @given_values(values.sampled_from(sorted(good)), values.none() | JSON_VALUES)
    def spoils(field, value):
        body = dict(good)
        del body[field]
        if value is not None and kind_of(value) != kind_of(good[field]):
            body[field] = value
        node.write("a", body)
        context.always = context.always and node.in_use() == {"b"}
        node.write("a", good)
        assert node.in_use() == {"a", "b"}

    context.always = True
    spoils()
    assert context.always


@then("b is in use all the while")
def step_b(context):
    assert "b" in context.node.in_use()
