"""Steps about what requests count under limits, and the size of the fleet that shares them."""

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


@given("a limit in {unit}, with {plain:d} for a request without a prompt")
def step_limit(context, unit, plain):
    context.quota = Quota(QuotaLimit(1_000.0, 1_000.0), unit == "tokens", plain)


@then("a request of 110 + 20 tokens counts {units:d}")
def step_prompt_counts(context, units):
    assert request_units(context.quota, opaque_request()) == units


@then("a request without a prompt counts {units:d}")
def step_plain_counts(context, units):
    assert request_units(context.quota, opaque_request(model=None)) == units


class FleetNode:
    """One node's record of the fleet's size, with a store that it reads at once."""

    def __init__(self, store, nodes, leads):
        self.store = store
        self.fleet = FleetSize()
        self.mirror = StoreMirror()
        self.fence = 0
        if leads:
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


@given("a node that leads a fleet of {nodes:d}")
def step_leader(context, nodes):
    context.node = FleetNode(MemoryStore(), nodes, leads=True)


@given("a node of a fleet of {nodes:d} that does not lead")
def step_no_leader(context, nodes):
    context.node = FleetNode(MemoryStore(), nodes, leads=False)


@when("it has been so for {seconds:g} s")
def step_for(context, seconds):
    context.node.run(seconds)


@when("one node of it is lost for {seconds:g} s")
def step_lost(context, seconds):
    context.node.run(seconds, nodes=context.node.nodes - 1)


@when("only {nodes:d} of its nodes are left for {seconds:g} s, while other records change")
def step_shrunk(context, nodes, seconds):
    context.node.run(seconds, nodes=nodes)


@then("the node takes the fleet for {nodes:d}")
def step_node_takes(context, nodes):
    assert context.node.fleet.nodes == nodes, context.node.fleet.nodes


@then("a node that starts takes the fleet for {nodes:d} before it knows another")
def step_takes(context, nodes):
    context.newcomer = FleetNode(context.node.store, 1, leads=False)
    context.newcomer.read()
    assert context.newcomer.fleet.nodes == nodes, context.newcomer.fleet.nodes


@then("{early:g} s later it still does, and {late:g} s later it goes by those it knows")
def step_shrinks(context, early, late):
    fleet = context.newcomer.fleet
    fleet.record_alive(3, early)
    assert fleet.nodes == context.node.nodes, fleet.nodes
    fleet.record_alive(3, late)
    assert fleet.nodes == 3, fleet.nodes


@then("nothing is written")
def step_nothing_written(context):
    assert context.node.writes == 0


@then("it was written once")
def step_written_once(context):
    assert context.node.writes == 1, context.node.writes
