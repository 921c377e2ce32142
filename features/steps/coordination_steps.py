"""Steps that run the coordination library in virtual time."""

import ast
import contextlib
import io
import random
import re
from pathlib import Path

from behave import given, step, then, when

from liftrill.bench.simulation.clock import VirtualClock
from liftrill.coordination.circuit import CircuitBreaker
from liftrill.coordination.configuration import (
    ConfigurationReplica,
    Head,
    content_digest,
)
from liftrill.coordination.lease import Lease, LeaseParameters
from liftrill.coordination.membership import Membership, MembershipParameters
from liftrill.coordination.membership_messages import (
    Condition,
    DatagramReceived,
    Member,
    SendDatagram,
    Ticked,
)
from liftrill.coordination.retry_budget import RetryBudget
from liftrill.errors import ConfigurationError
from liftrill.routing.dispatch_queue import DispatchQueue

FORBIDDEN_IMPORTS = {"asyncio", "socket", "time", "os", "io", "aiohttp", "pathlib", "threading"}
TICK_SECONDS = 0.05
LATENCY_SECONDS = 0.002


class MemberNetwork:
    """Members in virtual time, with datagram loss, pauses, crashes and network partitions."""

    def __init__(self, count, parameters=None):
        self.clock = VirtualClock()
        self.random = random.Random(3)
        self.parameters = parameters or MembershipParameters()
        self.loss_share = 0.0
        self.crashed = set()
        self.paused = set()
        self.partitioned_regions = set()
        self.members = {}
        self.declared_dead = set()
        for number in range(count):
            self.start(number)

    def start(self, number):
        incarnation = int(self.clock.now() * 1000) + 1
        own = Member(f"m{number}", f"a{number}", f"r{number % 2}", f"z{number}", incarnation)
        source = random.Random(number)
        self.members[number] = Membership(own, ["a0"], self.parameters, source)
        self.crashed.discard(number)
        self.clock.call_later(0.0, lambda: self.tick(number, self.members[number]))

    def tick(self, number, membership):
        if number in self.crashed or self.members[number] is not membership:
            return
        if number not in self.paused:
            self.execute(number, membership.handle(Ticked(), self.clock.now()))
        self.clock.call_later(TICK_SECONDS, lambda: self.tick(number, membership))

    def execute(self, number, instructions):
        for instruction in instructions:
            if isinstance(instruction, SendDatagram):
                self.send(number, instruction)
            elif getattr(instruction, "member", None) and (
                instruction.member.condition is Condition.DEAD
            ):
                self.declared_dead.add(instruction.member.node_id)

    def send(self, source, instruction):
        target = int(instruction.address[1:])
        lost = self.random.random() < self.loss_share
        if lost or (
            len({source % 2, target % 2} & self.partitioned_regions) and source % 2 != target % 2
        ):
            return
        self.clock.call_later(
            LATENCY_SECONDS, lambda: self.deliver(source, target, instruction.datagram)
        )

    def deliver(self, source, target, datagram):
        if target in self.crashed or target in self.paused:
            return
        event = DatagramReceived(f"a{source}", datagram)
        self.execute(target, self.members[target].handle(event, self.clock.now()))

    def running_members(self):
        return [m for n, m in self.members.items() if n not in self.crashed]


@given("{count:d} members with the same seed")
def step_members(context, count):
    context.network = MemberNetwork(count)


@given("{percent:d} percent of the datagrams are lost")
def step_loss(context, percent):
    context.network.loss_share = percent / 100


def advance_time(context, seconds):
    context.network.clock.run(context.network.clock.now() + seconds)


@when("{seconds:d} seconds pass")
def step_pass(context, seconds):
    advance_time(context, seconds)


@when("member {number:d} crashes and {seconds:d} seconds pass")
def step_crashes(context, number, seconds):
    context.network.crashed.add(number)
    advance_time(context, seconds)


@when("member {number:d} restarts and {seconds:d} seconds pass")
def step_restarts(context, number, seconds):
    context.network.start(number)
    advance_time(context, seconds)


@when("member {number:d} is paused for {seconds:d} seconds")
def step_paused(context, number, seconds):
    context.network.paused.add(number)
    advance_time(context, seconds)
    context.network.paused.discard(number)


@when("region {region:d} is partitioned from region 0 for {seconds:d} seconds")
def step_partitioned(context, region, seconds):
    context.network.partitioned_regions.add(region)
    advance_time(context, seconds)
    context.network.partitioned_regions.discard(region)


@then("every member knows {count:d} members")
def step_members_known(context, count):
    for membership in context.network.running_members():
        assert len(membership.members()) == count, (membership.own, membership.members())


@then("every running member considers member {number:d} dead")
def step_considered_dead(context, number):
    for membership in context.network.running_members():
        assert membership.member(f"m{number}").condition is Condition.DEAD


@then("no member was considered dead")
def step_no_false_death(context):
    assert not context.network.declared_dead, context.network.declared_dead


@then("region 0 considers all members of region 1 dead")
def step_region_dead(context):
    membership = context.network.members[0]
    conditions = {m.condition for m in membership.all_members() if m.region == "r1"}
    assert conditions == {Condition.DEAD}, conditions


def head_with(generation, content):
    return Head(generation, {"section": content_digest(content)})


def offer(context, generation, content, digest_of=None):
    context.refused = False
    replica = context.replica
    try:
        replica.offer_head(head_with(generation, digest_of or content))
        if replica.wanted_digests:
            replica.offer_section(replica.wanted_digests[0], content)
    except ConfigurationError:
        context.refused = True


@given("a configuration replica at generation {generation:d}")
def step_replica(context, generation):
    context.replica = ConfigurationReplica()
    offer(context, generation, b"content")


@when("it is offered generation {generation:d}")
def step_offer(context, generation):
    offer(context, generation, b"older")


@when("it is offered generation {generation:d} with a section that does not match its digest")
def step_offer_wrong(context, generation):
    offer(context, generation, b"wrong", digest_of=b"right")


@when("it is offered generation {generation:d} with the matching section")
def step_offer_right(context, generation):
    offer(context, generation, b"right")


@when("it is offered different content for generation {generation:d}")
def step_offer_other(context, generation):
    offer(context, generation, b"other")


@then("it stays at generation {generation:d}")
@then("it is at generation {generation:d}")
def step_generation(context, generation):
    assert context.replica.generation == generation


@then("the section is refused and it stays at generation {generation:d}")
@then("the content is refused and it stays at generation {generation:d}")
def step_refused_generation(context, generation):
    assert context.refused
    assert context.replica.generation == generation


@given("a lease of {seconds:d} seconds that was acquired at {at:d} with token {token:d}")
def step_lease(context, seconds, at, token):
    context.lease = Lease(LeaseParameters(time_to_live=seconds, safety_margin=2.0))
    context.lease.acquired("session", token, at)


@when("it is renewed by a request sent at {at:d}")
def step_renewed(context, at):
    context.lease.renewed(at)


@then("it is held at {at:f}")
def step_held(context, at):
    assert context.lease.holds(at)


@then("it is not held at {at:f}")
def step_not_held(context, at):
    assert not context.lease.holds(at)


@given("a dispatch queue")
def step_queue(context):
    context.queue = DispatchQueue(100)


@when("tenant a queues {first:d} requests and tenant b with weight 2 queues {second:d} requests")
def step_queue_two(context, first, second):
    for _ in range(first):
        context.queue.push("a", "a", 1, 1.0, 1.0)
    for _ in range(second):
        context.queue.push("b", "b", 1, 1.0, 2.0)


@when("tenant c queues 1 urgent request")
def step_queue_urgent(context):
    context.queue.push("c", "c", 0, 1.0, 1.0)


def dispatch(context, count):
    dispatched = []

    def accept(waiter):
        if len(dispatched) == count:
            return False
        dispatched.append(waiter)
        return True

    context.queue.take_while(accept, 0.0)
    return dispatched


@then("the first request dispatched is the urgent one of tenant c")
def step_urgent_first(context):
    assert dispatch(context, 1) == ["c"]


@then("of the next {count:d} dispatched, {first:d} belong to tenant a and {second:d} to tenant b")
def step_next_dispatched(context, count, first, second):
    dispatched = dispatch(context, count)
    assert (dispatched.count("a"), dispatched.count("b")) == (first, second), dispatched


@given("a retry budget of share {share:f} and reserve {reserve:d}")
def step_budget(context, share, reserve):
    context.budget = RetryBudget(share, reserve)


@when("{count:d} requests succeed")
def step_succeed(context, count):
    for _ in range(count):
        context.budget.record_success()


@then("{count:d} retries are allowed and the next is not")
def step_retries(context, count):
    allowed = [context.budget.try_spend() for _ in range(count + 1)]
    assert allowed == [True] * count + [False], allowed


@given("a circuit breaker that opens after {failures:d} failures for {seconds:d} seconds")
def step_circuit(context, failures, seconds):
    context.circuit = CircuitBreaker(failures, seconds)


@when("it fails {count:d} times at {at:d}")
def step_fails(context, count, at):
    for _ in range(count):
        context.circuit.record_failure(at)


@then("it does not allow a request at {at:f}")
def step_not_allowed(context, at):
    assert not context.circuit.allows(at)


@then("it allows one probe at {at:f}")
def step_probe(context, at):
    assert context.circuit.allows(at)
    context.circuit.record_start(at)
    assert not context.circuit.allows(at)


@when("the probe succeeds")
def step_probe_succeeds(context):
    context.circuit.record_success()


@then("it allows requests at {at:f}")
def step_allowed(context, at):
    assert context.circuit.allows(at)


def imported_modules(path):
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name.split(".")[0] for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            yield node.module.split(".")[0]


@step("no module under coordination imports sockets, files, clocks or event loops")
def step_no_io_imports(context):
    for path in Path("liftrill/coordination").glob("*.py"):
        forbidden = FORBIDDEN_IMPORTS & set(imported_modules(path))
        assert not forbidden, (path, forbidden)


def run_examples():
    """Run each example of docs/EMBEDDING.md separately and return their joined output."""
    text = Path("docs/EMBEDDING.md").read_text()
    output = io.StringIO()
    for example in re.findall(r"```python\n(.*?)```", text, re.DOTALL):
        with contextlib.redirect_stdout(output):
            exec(compile(example, "EMBEDDING.md", "exec"), {})
    return output.getvalue()


@then("the examples in docs/EMBEDDING.md run and print that member b is known")
def step_examples(context):
    context.printed = run_examples()
    assert re.search(r"a knows .*'b'", context.printed), context.printed


@then("they print that a second node admits a tenant's request")
def step_limit_example(context):
    assert "QuotaVerdict(wait_s=0.0" in context.printed, context.printed
