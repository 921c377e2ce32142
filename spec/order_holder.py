"""Model of leader election: a lease in the store and an activity key that says "busy".

Two nodes compete for the lease. A node may be paused for any time (it does nothing), restart, or
lose the answer to a renewal. Time passes in ticks, equally for all monotonic clocks. Orders of
different nodes must be `QUIET` ticks apart. A holder assumes that its lease ends one tick earlier
than in the store. It must write that it is busy, on condition that it still has the lease, before
its first order. A successor of a busy holder waits `QUIET` ticks. A holder whose assumed lease has
ended resumes the lease if the store still renews it; its wait is not shortened by that.
"""

from dataclasses import dataclass, replace

from minicheck import Protocol

NODES = 2
LEASE = 2
ASSUMED_LEASE = LEASE - 1
QUIET = 3
NOBODY = -1
IDLE = -1
MAX_AGE = QUIET


@dataclass(frozen=True)
class HolderRules:
    """The rules that the model follows."""

    belief_ends_first: bool = True
    successor_waits: bool = True
    writes_before_orders: bool = True
    rests_only_when_quiet: bool = True


@dataclass(frozen=True)
class Store:
    """The holder, the remaining ticks of its lease, and the node that wrote that it is busy."""

    holder: int = NOBODY
    left: int = 0
    busy: int = IDLE


@dataclass(frozen=True)
class Node:
    """A node: the ticks of its assumed lease, the ticks to wait, and those since its last order.

    Attributes:
        knows_lease: whether it knows a lease that it acquired since its last restart.
    """

    assumed: int = 0
    wait: int = 0
    active: bool = False
    since_order: int = MAX_AGE
    knows_lease: bool = False


@dataclass(frozen=True)
class Orders:
    """The node of the last order, the ticks since, and whether two orders were too close."""

    node: int = NOBODY
    age: int = MAX_AGE
    clash: bool = False


def holder_model(rules: HolderRules) -> Protocol:
    """Return the model of leader election."""
    return Protocol(
        name="order holder",
        candidate=False,
        fields=("store", "nodes", "orders"),
        initial=(Store(), tuple([Node()] * NODES), Orders()),
        transitions=lambda state: list(_steps(rules, *state)),
        invariants={"turns_are_apart": lambda s: not s["orders"].clash},
    )


def _steps(rules, store, nodes, orders):
    yield "a tick passes", _tick(store, nodes, orders)
    for number, node in enumerate(nodes):
        for name, after_store, after_node in _store_steps(rules, store, number, node):
            yield name, (after_store, _with(nodes, number, after_node), orders)
        yield f"{number} restarts", (store, _with(nodes, number, Node()), orders)
        if _may_order(rules, node):
            clash = orders.node not in (NOBODY, number) and orders.age < QUIET
            given = Orders(number, 0, orders.clash or clash)
            after = _with(nodes, number, replace(node, since_order=0))
            yield f"{number} gives an order", (store, after, given)


def _store_steps(rules, store, number, node):
    assumed = ASSUMED_LEASE if rules.belief_ends_first else LEASE + QUIET
    if store.holder == NOBODY:
        must_wait = rules.successor_waits and store.busy not in (IDLE, number)
        wait = QUIET if must_wait else 0
        taken = replace(store, holder=number, left=LEASE)
        yield f"{number} takes the lease", taken, Node(assumed, wait, False, MAX_AGE, True)
    if store.holder != number:
        return
    if node.knows_lease and not node.assumed:
        resumed = replace(node, assumed=assumed)
        yield f"{number} resumes the lease", replace(store, left=LEASE), resumed
    if node.assumed:
        yield f"{number} renews", replace(store, left=LEASE), replace(node, assumed=assumed)
        yield f"{number} renews, and the answer is lost", replace(store, left=LEASE), node
        yield f"{number} writes busy", replace(store, busy=number), replace(node, active=True)
    may_rest = not rules.rests_only_when_quiet or node.since_order >= QUIET
    if node.assumed and node.active and may_rest:
        yield f"{number} writes idle", replace(store, busy=IDLE), replace(node, active=False)


def _may_order(rules, node):
    active = node.active or not rules.writes_before_orders
    return node.assumed > 0 and node.wait == 0 and active


def _tick(store, nodes, orders):
    left = max(0, store.left - 1)
    after = replace(store, left=left, holder=store.holder if left else NOBODY)
    older = tuple(
        replace(
            node,
            assumed=max(0, node.assumed - 1),
            wait=max(0, node.wait - 1),
            since_order=min(MAX_AGE, node.since_order + 1),
            active=node.active and node.assumed > 1,
        )
        for node in nodes
    )
    return after, older, replace(orders, age=min(MAX_AGE, orders.age + 1))


def _with(nodes, number, node):
    return (*nodes[:number], node, *nodes[number + 1 :])
