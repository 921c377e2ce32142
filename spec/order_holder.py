"""Model of the right to give orders: a lease in the store and a key that says "busy".

Two nodes contend. A node may be paused for any time (it just does nothing), restart, and
lose the answer to a renewal. Time passes in ticks for all steady clocks alike. Orders of
two nodes must be `QUIET` ticks apart. A holder believes in its lease for one tick less
than the store does; it must write that it is busy, on condition of its lease, before its
first order; a successor of a busy holder waits `QUIET` ticks. A holder whose belief is over
takes the lease up again, and waits no less, if the store still renews it.
"""

from dataclasses import dataclass, replace

from minicheck import Protocol

NODES = 2
LEASE = 2
BELIEF = LEASE - 1
QUIET = 3
NOBODY = -1
IDLE = -1
OLD = QUIET


@dataclass(frozen=True)
class HolderRules:
    """Which rules the model follows."""

    belief_ends_first: bool = True
    successor_waits: bool = True
    writes_before_orders: bool = True
    rests_only_when_quiet: bool = True


@dataclass(frozen=True)
class Store:
    """The holder, the ticks its lease has left, and who wrote that it is busy."""

    holder: int = NOBODY
    left: int = 0
    busy: int = IDLE


@dataclass(frozen=True)
class Node:
    """What a node believes: ticks left of its lease, to wait, and since its last order.

    Attributes:
        knows_lease: whether it has the name of a lease that it took in this life.
    """

    belief: int = 0
    wait: int = 0
    active: bool = False
    since_order: int = OLD
    knows_lease: bool = False


@dataclass(frozen=True)
class Orders:
    """The node that gave the last order, the ticks since, and whether two came too close."""

    node: int = NOBODY
    age: int = OLD
    clash: bool = False


def holder_model(rules: HolderRules) -> Protocol:
    """Return the model."""
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
    belief = BELIEF if rules.belief_ends_first else LEASE + QUIET
    if store.holder == NOBODY:
        must_wait = rules.successor_waits and store.busy not in (IDLE, number)
        wait = QUIET if must_wait else 0
        taken = replace(store, holder=number, left=LEASE)
        yield f"{number} takes the lease", taken, Node(belief, wait, False, OLD, True)
    if store.holder != number:
        return
    if node.knows_lease and not node.belief:
        again = replace(node, belief=belief)
        yield f"{number} takes the lease up again", replace(store, left=LEASE), again
    if node.belief:
        yield f"{number} renews", replace(store, left=LEASE), replace(node, belief=belief)
        yield f"{number} renews unheard", replace(store, left=LEASE), node
        yield f"{number} writes busy", replace(store, busy=number), replace(node, active=True)
    rested = not rules.rests_only_when_quiet or node.since_order >= QUIET
    if node.belief and node.active and rested:
        yield f"{number} writes idle", replace(store, busy=IDLE), replace(node, active=False)


def _may_order(rules, node):
    active = node.active or not rules.writes_before_orders
    return node.belief > 0 and node.wait == 0 and active


def _tick(store, nodes, orders):
    left = max(0, store.left - 1)
    after = replace(store, left=left, holder=store.holder if left else NOBODY)
    older = tuple(
        replace(
            node,
            belief=max(0, node.belief - 1),
            wait=max(0, node.wait - 1),
            since_order=min(OLD, node.since_order + 1),
            active=node.active and node.belief > 1,
        )
        for node in nodes
    )
    return after, older, replace(orders, age=min(OLD, orders.age + 1))


def _with(nodes, number, node):
    return (*nodes[:number], node, *nodes[number + 1 :])
