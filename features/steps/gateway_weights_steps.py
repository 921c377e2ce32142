"""Steps on weight versions, rollouts and the leadership that they need, in virtual time."""

import math

from behave import given, then, when

from features.gateway_store import MemoryStore
from features.gateway_support import engine_record, opaque_request
from liftrill.coordination.lease import LeaseParameters
from liftrill.coordination.store_mirror import StoreMirror
from liftrill.coordination.store_position import position
from liftrill.errors import StoreError
from liftrill.gateway.decision_log import DecisionLog
from liftrill.gateway.delivery_ports import Unavailable
from liftrill.gateway.engines.engine_selector import EngineSelector
from liftrill.gateway.engines.engine_table import EngineTable
from liftrill.gateway.leadership import ACTIVITY_KEY, LEADER_KEY, Leadership, TermParameters
from liftrill.gateway.records import WeightTarget
from liftrill.gateway.weight_rollout import GiveOrder, PollReport, WeightRollout
from liftrill.gateway.weight_targets import WeightTargets

GRACE_SECONDS = 7.3
# When a node has started and read the store, in virtual time.
STARTED_AT = 100.0
TICK_SECONDS = 0.1
LEASE = LeaseParameters(time_to_live=2.0, renew_interval=0.7, retry_interval=0.3, safety_margin=0.5)
QUIET_SECONDS = 3.3


@given(
    "versions {one:d} at second {first:g} and {two:d} at second {second:g} are published, "
    "with a grace period of {grace:g} s"
)
def step_published(context, one, first, two, second, grace):
    context.targets = WeightTargets(grace)
    context.targets.add(WeightTarget("model", one, 1), first)
    context.targets.add(WeightTarget("model", two, 2), second)


@then("at second {now:g} a request may begin on version {version:d}")
def step_may_begin(context, now, version):
    assert version >= context.targets.minimum_version("model", now)


@then("at second {now:g} a request may not begin on version {version:d}")
def step_may_not_begin(context, now, version):
    assert version < context.targets.minimum_version("model", now)


class SimulatedEngines:
    """Engines with a fixed load time, under the orders of a rollout."""

    def __init__(self, count):
        self.table = EngineTable()
        for number in range(1, count + 1):
            self.table.update(engine_record(f"engine-{number}", weights={"model": 1}))
        self.targets = WeightTargets(GRACE_SECONDS)
        self.rollout = WeightRollout(self.targets)
        self.loading = {}
        self.orders = []
        self.most_loading = 0
        self.orders_to_lose = set()
        self.load_seconds = 0.7
        self.refuses_until = {}
        self.ordered_at = {}

    def publish(self, version, now):
        self.targets.add(WeightTarget("model", version, version), now)

    def step(self, now):
        for engine_id, (until, version) in list(self.loading.items()):
            if now >= until:
                del self.loading[engine_id]
                self.table.get(engine_id).learn_weights("model", version)
        for instruction in self.rollout.due(self.table, now):
            if isinstance(instruction, GiveOrder):
                self._order(instruction, now)
            elif isinstance(instruction, PollReport):
                busy = instruction.engine_id in self.loading
                self.rollout.record_report(instruction.engine_id, busy, now)
        self.most_loading = max(self.most_loading, len(self.loading))

    def _order(self, order, now):
        if now < self.refuses_until.get(order.engine_id, 0.0):
            self.rollout.order_refused(order.engine_id, now, 0.4)
            return
        self.orders.append(order.engine_id)
        self.ordered_at.setdefault(order.engine_id, now)
        if order.engine_id in self.orders_to_lose:
            self.orders_to_lose.discard(order.engine_id)
            self.rollout.order_unanswered(order.engine_id, now)
            return
        self.loading[order.engine_id] = (now + self.load_seconds, order.version)
        self.rollout.order_accepted(order.engine_id, now)

    def restart(self, engine_id):
        self.table.remove(engine_id)
        self.loading.pop(engine_id, None)
        self.table.update(engine_record(engine_id + "-again", weights={"model": 1}))


@given("{count:d} engines with version 1")
def step_engines(context, count):
    context.engines = SimulatedEngines(count)
    context.scheduled_actions = []


@when("version {version:d} is published and engines take {seconds:g} s to load")
def step_publish(context, version, seconds):
    context.engines.load_seconds = seconds
    context.scheduled_actions.append((0.0, lambda: context.engines.publish(version, 0.0)))


@when("version {version:d} is published after {seconds:g} s")
def step_publish_later(context, version, seconds):
    context.scheduled_actions.append((seconds, lambda: context.engines.publish(version, seconds)))


@when("engine {number:d} restarts with version 1 after {seconds:g} s")
def step_restart_engine(context, number, seconds):
    context.scheduled_actions.append((seconds, lambda: context.engines.restart(f"engine-{number}")))


@when("engine {number:d} refuses orders before {seconds:g} s")
def step_refuses_orders(context, number, seconds):
    context.engines.refuses_until[f"engine-{number}"] = seconds


@when("the first order to engine {number:d} is lost")
def step_lose_order(context, number):
    context.engines.orders_to_lose.add(f"engine-{number}")


@given("{tokens:d} tokens wait at engine 1 until {seconds:g} s, and at engine 2 without end")
def step_tokens_wait(context, tokens, seconds):
    first = context.engines.table.get("engine-1").own_load
    first.waiting_tokens = tokens
    context.engines.table.get("engine-2").peer_load.waiting_tokens = tokens
    context.scheduled_actions.append((seconds, lambda: setattr(first, "waiting_tokens", 0)))


@then(
    "engine 1 is ordered between {one:g} s and {two:g} s "
    "and engine 2 between {three:g} s and {four:g} s"
)
def step_ordered_between(context, one, two, three, four):
    run_rollout(context, 4.0)
    first, second = (context.engines.ordered_at[f"engine-{n}"] for n in (1, 2))
    assert one <= first + 1e-6 and first <= two, first
    assert three <= second + 1e-6 and second <= four, second


def run_rollout(context, seconds):
    now = 0.0
    while now < seconds:
        due = [a for a in context.scheduled_actions if a[0] <= now]
        context.scheduled_actions = [a for a in context.scheduled_actions if a[0] > now]
        for _, action in due:
            action()
        context.engines.step(now)
        now += TICK_SECONDS


@then("every engine has version {version:d} within {seconds:g} s")
def step_reached(context, version, seconds):
    run_rollout(context, seconds)
    versions = [view.weight_version("model") for view in context.engines.table]
    assert set(versions) == {version}, versions


@then("each engine was ordered {count:d} time")
def step_ordered(context, count):
    orders = context.engines.orders
    assert {orders.count(engine) for engine in orders} == {count}, orders


@then("each engine was ordered at most {count:d} times")
def step_ordered_at_most(context, count):
    orders = context.engines.orders
    assert max(orders.count(engine) for engine in orders) <= count, orders


@then("at most {count:d} engines loaded at once")
def step_at_once(context, count):
    assert context.engines.most_loading <= count, context.engines.most_loading


class Contender:
    """One node's leadership, with its own mirror of the store."""

    def __init__(self, store, name):
        self.store = store
        self.name = name
        self.mirror = StoreMirror()
        self.frozen = False
        self.candidate = True
        self.leadership = Leadership(
            store,
            self.mirror,
            name,
            TermParameters(LEASE, QUIET_SECONDS),
            DecisionLog(name),
            clock=lambda: store.now,
            is_candidate=lambda: self.candidate,
        )

    async def step(self):
        if self.frozen:
            return
        self.mirror.start_reading()
        self.mirror.add_page(await self.store.read_range("", ""))
        await self.leadership.acquire_or_renew()


def run_contenders(context, seconds):
    async def run():
        until = context.store.now + seconds
        while context.store.now < until:
            for contender in context.contenders:
                await contender.step()
            context.store.advance(TICK_SECONDS)

    context.run(run())


def leaders(context):
    now = context.store.now
    return [c for c in context.contenders if not c.frozen and c.leadership.holds(now)]


@given("a store and {count:d} contenders")
def step_contenders(context, count):
    context.store = MemoryStore()
    context.contenders = [Contender(context.store, f"node-{n}") for n in range(count)]


@given("the store is in era 1, and gives each item of a transaction its own revision")
def step_revision_per_item(context):
    context.store.revision = position(1, context.store.revision)
    context.store.revision_per_item = True


@then("the leader can mark itself active")
def step_can_activate(context):
    context.run(context.leader.leadership.mark_active())
    assert context.leader.leadership.may_order(context.store.now)


@when("the leader resigns because it cannot write")
def step_resigns(context):
    context.leader.leadership.step_down("cannot write")
    context.run(context.leader.leadership.resign())
    context.leader.frozen = True


@then("the other one leads within {seconds:g} s")
def step_other_leads_within(context, seconds):
    run_contenders(context, seconds)
    assert leaders(context) == [context.other], context.store.items.get(LEADER_KEY)


@when("the leader is no candidate any more, as more nodes have joined")
def step_leader_no_candidate(context):
    context.leader.candidate = False


@when("the store is restored from an older copy, and both learn of it before they read it")
def step_restored_unread(context):
    store = context.store
    store.drop_lease(store.items[LEADER_KEY].lease)
    store.revision = position(2, 5)
    for contender in context.contenders:
        contender.leadership.store_restored()
    for _ in range(8):
        store.advance(TICK_SECONDS)
        for contender in context.contenders:
            context.run(contender.leadership.acquire_or_renew())


@then("the same one leads again within {seconds:g} s, and may give orders at once")
def step_resumed(context, seconds):
    run_contenders(context, seconds)
    assert leaders(context) == [context.leader], leaders(context)
    context.run(context.leader.leadership.mark_active())
    assert context.leader.leadership.may_order(context.store.now)


@given("the store loses the answer to the first write of a key")
def step_lose_answer(context):
    context.store.answers_to_lose = 1


@when("both contend")
def step_contend(context):
    run_contenders(context, 1.0)
    context.leader = leaders(context)[0]
    context.other = next(c for c in context.contenders if c is not context.leader)


@when("both contend for a while")
def step_contend_long(context):
    run_contenders(context, 6.0)


@when("the leader is frozen for {seconds:g} s")
def step_freeze(context, seconds):
    context.leader.frozen = True
    run_contenders(context, seconds)


@when("the leader gives orders and is killed")
def step_kill_active(context):
    context.run(context.leader.leadership.mark_active())
    context.leader.leadership.record_order(context.store.now)
    assert context.leader.leadership.may_order(context.store.now)
    context.killed_at = context.store.now
    context.leader.frozen = True


@given("the store loses the answer to every second renewal")
def step_lose_renewals(context):
    context.store.should_lose_renewal = lambda number, now: number % 2 == 1


@then("the same one leads for {seconds:g} s")
def step_continues_to_lead(context, seconds):
    until = context.store.now + seconds
    while context.store.now < until:
        run_contenders(context, TICK_SECONDS)
        assert leaders(context) == [context.leader], context.store.now


@when("the store loses the answers to all renewals for {seconds:g} s")
def step_lose_all(context, seconds):
    context.fence = context.leader.leadership.fence
    until = context.store.now + seconds
    context.store.should_lose_renewal = lambda number, now: now < until
    context.leading = []
    while context.store.now < until + 2.0:
        run_contenders(context, TICK_SECONDS)
        leads = bool(leaders(context))
        if not context.leading or context.leading[-1] != leads:
            context.leading.append(leads)


@then("the same one leads again, with the same fence, after one loss")
def step_leads_again(context):
    assert context.leading == [True, False, True], context.leading
    assert leaders(context) == [context.leader]
    assert context.leader.leadership.fence == context.fence


@when("the store loses the answer to the leader's write of its activity record")
def step_lose_activity(context):
    context.store.answers_to_lose = 1
    context.run(context.leader.leadership.mark_active())


@then("the leader may give orders, and the activity record in the store is its own")
def step_may_order(context):
    assert context.leader.leadership.may_order(context.store.now)
    assert context.store.items[ACTIVITY_KEY].value == context.leader.name.encode()


@when(
    "the other one leads and marks itself active,"
    " and then its renewals go unanswered for {seconds:g} s"
)
def step_successor_unanswered(context, seconds):
    wait_until_other_leads(context)
    context.run(context.other.leadership.mark_active())
    until = context.store.now + seconds
    context.store.should_lose_renewal = lambda number, now: now < until


@then("the other one gives no order for {seconds:g} s after the killed one's last")
def step_still_quiet(context, seconds):
    leadership = context.other.leadership
    lost = False
    while not leadership.may_order(context.store.now):
        run_contenders(context, TICK_SECONDS)
        lost = lost or not leadership.holds(context.store.now)
        if leadership.holds(context.store.now):
            context.run(leadership.mark_active())
        assert context.store.now < 20.0
    last_order = context.killed_at + LEASE.time_to_live - LEASE.safety_margin
    assert lost and context.store.now - last_order >= seconds, context.store.now - last_order


@when("the leader retires, and the other one is frozen")
def step_retire(context):
    context.run(context.leader.leadership.retire())
    context.other.frozen = True


@then("no node leads for {seconds:g} s")
def step_nobody_leads(context, seconds):
    until = context.store.now + seconds
    while context.store.now < until:
        run_contenders(context, TICK_SECONDS)
        assert not leaders(context)


@when("the leader marks itself active, and resigns")
def step_active_resigns(context):
    context.run(context.leader.leadership.mark_active())
    resign(context.leader, context)


@when("the leader marks itself active, gives orders and resigns")
def step_orders_and_resigns(context):
    context.run(context.leader.leadership.mark_active())
    assert context.leader.leadership.may_order(context.store.now)
    context.ordered_at = context.store.now
    context.leader.leadership.record_order(context.ordered_at)
    resign(context.leader, context)


@when("the leader gives orders, restarts, leads again, marks itself active and resigns")
def step_restarts_and_resigns(context):
    context.run(context.leader.leadership.mark_active())
    context.ordered_at = context.store.now
    context.leader.leadership.record_order(context.ordered_at)
    context.store.drop_lease(context.store.items[LEADER_KEY].lease)
    restarted = Contender(context.store, context.leader.name)
    context.contenders[context.contenders.index(context.leader)] = restarted
    context.other.frozen = True
    run_contenders(context, 0.5)
    context.run(restarted.leadership.mark_active())
    assert restarted.leadership.may_order(context.store.now)
    context.other.frozen = False
    resign(restarted, context)


@when("the other one leads and marks itself active, and resigns")
def step_other_resigns(context):
    wait_until_other_leads(context)
    context.run(context.other.leadership.mark_active())
    assert not context.other.leadership.may_order(context.store.now)
    context.leader.frozen = False
    resign(context.other, context)


@when("the other one leads and marks itself active, has nothing to order, and resigns")
def step_nothing_to_order(context):
    wait_until_other_leads(context)
    context.run(context.other.leadership.mark_active())
    assert not context.other.leadership.may_order(context.store.now)
    context.run(context.other.leadership.mark_idle(context.store.now))
    context.leader.frozen = False
    resign(context.other, context)


def resign(contender, context):
    """Resign and no longer contend, as a node does that other nodes can lead in place of."""
    context.run(contender.leadership.resign())
    contender.frozen = True


@then("the other one leads, and gives no order for {seconds:g} s after these")
def step_other_waits(context, seconds):
    check_waits(context, context.other, seconds)


@then("the first one leads again, and gives no order for {seconds:g} s after these")
def step_first_waits(context, seconds):
    check_waits(context, context.leader, seconds)


def check_waits(context, contender, seconds):
    leadership = contender.leadership
    while not leadership.may_order(context.store.now):
        run_contenders(context, TICK_SECONDS)
        if leadership.holds(context.store.now):
            context.run(leadership.mark_active())
        assert context.store.now < 20.0
    waited_s = context.store.now - context.ordered_at
    assert waited_s >= seconds, waited_s


@when("the idle leader is killed")
def step_kill_idle(context):
    context.leader.frozen = True


@when("the store drops the leader's lease")
def step_drop_lease(context):
    context.store.drop_lease(context.store.items[LEADER_KEY].lease)


@then("exactly one leads, with the revision of the leader's key as its fence")
def step_one_leads(context):
    found = leaders(context)
    assert len(found) == 1, found
    assert found[0].leadership.fence == context.store.items[LEADER_KEY].revision


@then("the frozen leader may give no order")
def step_frozen_no_order(context):
    assert not context.leader.leadership.may_order(context.store.now)
    assert not context.leader.leadership.holds(context.store.now)


@then("the other one leads with a higher fence")
def step_other_leads(context):
    assert context.other.leadership.holds(context.store.now)
    assert context.other.leadership.fence > context.leader.leadership.fence


def wait_until_other_leads(context):
    while not context.other.leadership.holds(context.store.now):
        run_contenders(context, TICK_SECONDS)
        assert context.store.now < 20.0


@then("the other one leads, and gives no order for {seconds:g} s")
def step_quiet(context, seconds):
    wait_until_other_leads(context)
    context.run(context.other.leadership.mark_active())
    while not context.other.leadership.may_order(context.store.now):
        run_contenders(context, TICK_SECONDS)
        assert context.store.now < 20.0
    # The leader could have held its lease until the time to live less the safety margin.
    last_order = context.killed_at + LEASE.time_to_live - LEASE.safety_margin
    assert context.store.now - last_order >= seconds, context.store.now - last_order


@then("the other one leads, and may give orders at once")
def step_no_wait(context):
    wait_until_other_leads(context)
    context.run(context.other.leadership.mark_active())
    assert context.other.leadership.may_order(context.store.now)


@then("the leader cannot mark itself active")
def step_cannot_activate(context):
    try:
        context.run(context.leader.leadership.mark_active())
    except StoreError:
        assert not context.leader.leadership.may_order(context.store.now)
        return
    raise AssertionError("the leader marked itself active without its lease")


@given("the second one is no candidate")
def step_no_candidate(context):
    context.contenders[1].candidate = False


@then("the first one leads")
def step_first_leads(context):
    assert context.leader is context.contenders[0]


@given(
    "engines with versions {first:d}, {second:d} and {third:d}, "
    "and a node that finds version {published:d} published when it starts"
)
def step_start_late(context, first, second, third, published):
    context.engine_table = EngineTable()
    for number, version in enumerate((first, second, third)):
        record = engine_record(f"engine-{number}", weights={"model": version})
        context.engine_table.update(record)
    targets = context.targets = WeightTargets(GRACE_SECONDS, GRACE_SECONDS)
    published_at = targets.earliest_publication(-math.inf, STARTED_AT)
    targets.add(WeightTarget("model", published, 1), published_at, age_known=False, now=STARTED_AT)
    context.selector = EngineSelector(context.engine_table, targets, "zone-1")


@when("the engine with version {version:d} is the only one left")
def step_only_left(context, version):
    for view in list(context.engine_table):
        if view.weight_version("model") != version:
            context.engine_table.remove(view.engine_id)


@then("its requests go to engines with version {version:d} only")
def step_go_to(context, version):
    for number in range(50):
        request = opaque_request(request_id=f"request-{number}")
        choice = context.selector.choose(request, frozenset(), STARTED_AT + 0.5)
        assert choice.weight_version == version, choice


@when("the grace period has passed since it started")
def step_grace_passed(context):
    context.now = STARTED_AT + GRACE_SECONDS + 0.1


@then("its requests go to no engine")
def step_go_nowhere(context):
    request = opaque_request(received_at=context.now, deadline=context.now + 10.0)
    choice = context.selector.choose(request, frozenset(), context.now)
    assert choice is Unavailable.NONE_READY, choice
    assert context.targets.begin_by("model", 3) <= context.now
