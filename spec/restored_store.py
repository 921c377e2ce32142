"""Model of leases and orders at a store that comes back from an older copy of itself.

Two nodes take the lease in turn; the store gives each a number, which is its fence too. Once, it
comes back from its first copy: its numbers begin anew and its lease is gone, in a new era. A node
does not hear of that before it calls the store itself; until then it may go on to send orders.
The engine refuses fences lower than the highest it has seen.

Left out: the time to live, and how long a successor waits (see order_holder).
"""

from dataclasses import dataclass, replace

from minicheck import Protocol

NODES = 2
NUMBERS = 3
ERAS = 2
NOBODY = -1


@dataclass(frozen=True)
class RestoreRules:
    """Which rules the model follows.

    Attributes:
        fences_have_era: a fence is made of the era and the number, not of the number alone.
        leases_have_era: a lease of an earlier era is not renewed.
    """

    fences_have_era: bool = True
    leases_have_era: bool = True


@dataclass(frozen=True)
class Store:
    """What the store holds; a lease that it gave to nobody else has the holder NOBODY."""

    era: int = 0
    last: int = 0
    holder: int = NOBODY
    number: int = 0


@dataclass(frozen=True)
class Node:
    """The lease that a node takes for its own: its era and number, 0 for none."""

    era: int = 0
    number: int = 0


@dataclass(frozen=True)
class Engine:
    """The highest fence seen, and whether an order was taken from a former leader."""

    highest: tuple[int, int] = (0, 0)
    newest: tuple[int, int] = (0, 0)
    overruled: bool = False


def restore_model(rules: RestoreRules) -> Protocol:
    """Return the model."""
    return Protocol(
        name="restored store",
        candidate=False,
        fields=("store", "nodes", "engine", "usurped"),
        initial=(Store(), tuple([Node()] * NODES), Engine(), False),
        transitions=lambda state: list(_steps(rules, *state)),
        invariants={
            "newer_orders_stay": lambda s: not s["engine"].overruled,
            "leases_are_own": lambda s: not s["usurped"],
            "leaders_are_heard": lambda s: _is_heard(rules, s["store"], s["nodes"], s["engine"]),
        },
    )


def _fence(rules, node):
    return (node.era if rules.fences_have_era else 0, node.number)


def _is_heard(rules, store, nodes, engine):
    """Return whether the engine takes the orders of the node that holds the lease."""
    if store.holder == NOBODY:
        return True
    return _fence(rules, Node(store.era, store.number)) >= engine.highest


def _steps(rules, store, nodes, engine, usurped):
    if store.holder != NOBODY:
        yield "the lease lapses", (replace(store, holder=NOBODY), nodes, engine, usurped)
    if store.era + 1 < ERAS and store.last:
        yield "the store comes back", (Store(store.era + 1), nodes, engine, usurped)
    for number, node in enumerate(nodes):
        if store.holder == NOBODY and store.last < NUMBERS:
            granted = Store(store.era, store.last + 1, number, store.last + 1)
            own = _with(nodes, number, Node(granted.era, granted.number))
            yield f"{number} takes the lease", (granted, own, engine, usurped)
        if node.number:
            yield from _renewal(rules, store, nodes, engine, usurped, number)
            yield (
                f"{number} sends an order",
                (store, nodes, _order(rules, engine, node), usurped),
            )


def _renewal(rules, store, nodes, engine, usurped, number):
    """Renew a node's lease: the store knows it by its number alone."""
    node = nodes[number]
    is_refused = rules.leases_have_era and node.era != store.era
    is_held = store.holder != NOBODY and store.number == node.number
    if is_refused or not is_held:
        after = (store, _with(nodes, number, Node()), engine, usurped)
    else:
        after = (store, nodes, engine, usurped or store.holder != number)
    yield f"{number} renews", after


def _order(rules, engine, node):
    fence = _fence(rules, node)
    if fence < engine.highest:
        return engine
    # What is newer in truth, whatever the fences say.
    order = (node.era, node.number)
    return Engine(fence, max(order, engine.newest), engine.overruled or order < engine.newest)


def _with(nodes, number, node):
    return (*nodes[:number], node, *nodes[number + 1 :])
