"""Steps on the units charged to tenant limits, and on the size of the fleet that shares them."""

import asyncio

from behave import given, then, when

from features.gateway_store import MemoryStore
from features.gateway_support import opaque_request
from liftrill.coordination.quota import FleetSize, QuotaLimit
from liftrill.coordination.store_mirror import StoreMirror
from liftrill.gateway.admission.quota_gate import request_units
from liftrill.gateway.decision_log import DecisionLog
from liftrill.gateway.fleet_record import FLEET_KEY, FleetRecord
from liftrill.gateway.leadership import LEADER_KEY
from liftrill.gateway.records import Quota


@given("a limit in {unit} that charges {plain:d} for a request without a prompt")
def step_limit(context, unit, plain):
    context.quota = Quota(QuotaLimit(1_000.0, 1_000.0), unit == "tokens", plain)


@then("a request of 110 + 20 tokens is charged {units:d}")
def step_prompt_charge(context, units):
    assert request_units(context.quota, opaque_request()) == units


@then("a request without a prompt is charged {units:d}")
def step_plain_charge(context, units):
    assert request_units(context.quota, opaque_request(model=None)) == units


class FleetNode:
    """One node's fleet record, with a mirror that reads the store after each step."""

    def __init__(self, store, nodes, is_leader):
        self.store = store
        self.fleet = FleetSize()
        self.mirror = StoreMirror()
        self.fence = 0
        if is_leader:
            store.put(LEADER_KEY, b"node")
            self.fence = store.items[LEADER_KEY].revision
        log = DecisionLog("node")
        self.record = FleetRecord(store, self.mirror, self.fleet, lambda: self.fence, log)
        self.nodes = nodes
        self.now = 0.0
        self.writes = 0

    def read(self):
        page = asyncio.run(self.store.read_range("", ""))
        self.mirror.add_page(page)
        self.record.load(self.now)

    def run(self, seconds, nodes=None):
        until = self.now + seconds
        while self.now < until:
            self.fleet.record_alive(nodes or self.nodes, self.now)
            before = self.store.items.get(FLEET_KEY)
            asyncio.run(self.record.write_if_due(self.now))
            self.writes += self.store.items.get(FLEET_KEY) is not before
            self.read()
            self.now += 0.25


@given("the leader of a fleet of {nodes:d} nodes")
def step_leader(context, nodes):
    context.node = FleetNode(MemoryStore(), nodes, is_leader=True)


@given("a node of a fleet of {nodes:d} nodes that is not the leader")
def step_no_leader(context, nodes):
    context.node = FleetNode(MemoryStore(), nodes, is_leader=False)


@when("the fleet keeps its size for {seconds:g} s")
def step_unchanged(context, seconds):
    context.node.run(seconds)


@when("one of the fleet's nodes is missing for {seconds:g} s")
def step_missing(context, seconds):
    context.node.run(seconds, nodes=context.node.nodes - 1)


@when("only {nodes:d} of its nodes are alive for {seconds:g} s, while other records change")
def step_shrunk(context, nodes, seconds):
    context.node.run(seconds, nodes=nodes)


@then("the node assumes a fleet of {nodes:d}")
def step_node_size(context, nodes):
    assert context.node.fleet.nodes == nodes, context.node.fleet.nodes


@then("a starting node assumes a fleet of {nodes:d} before it knows another member")
def step_starting_node_size(context, nodes):
    context.starting_node = FleetNode(context.node.store, 1, is_leader=False)
    context.starting_node.read()
    assert context.starting_node.fleet.nodes == nodes, context.starting_node.fleet.nodes


@then("{early:g} s later it still does, and {late:g} s later it counts the members that it knows")
def step_size_expires(context, early, late):
    fleet = context.starting_node.fleet
    fleet.record_alive(3, early)
    assert fleet.nodes == context.node.nodes, fleet.nodes
    fleet.record_alive(3, late)
    assert fleet.nodes == 3, fleet.nodes


@then("the node wrote no fleet size")
def step_nothing_written(context):
    assert context.node.writes == 0


@then("the node wrote the fleet size once")
def step_written_once(context):
    assert context.node.writes == 1, context.node.writes
