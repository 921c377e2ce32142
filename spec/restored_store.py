"""Model of leases and orders with a store that is restored from an older copy.

Two nodes acquire the lease in turn. The store gives each lease a number, which is also its fencing
token. Once, the store is restored from its first copy: a new era begins, the numbers start again
and the lease is lost. A node learns of the restore only when it calls the store; until then it may
continue to send orders. The engine refuses fencing tokens lower than the highest it has seen.

Not modelled: the time to live, and the waiting time of a successor (see order_holder).
"""

from dataclasses import dataclass, replace

from minicheck import Protocol

NODES = 2
NUMBERS = 3
ERAS = 2
NOBODY = -1


@dataclass(frozen=True)
class RestoreRules:
    """The rules that the model follows.

    Attributes:
        fences_have_era: a fencing token contains the era and the number, not the number alone.
        leases_have_era: a lease of an earlier era is not renewed.
    """

    fences_have_era: bool = True
    leases_have_era: bool = True


@dataclass(frozen=True)
class Store:
    """The store: its era, its last lease number, and the current lease's holder and number."""

    era: int = 0
    last: int = 0
    holder: int = NOBODY
    number: int = 0


@dataclass(frozen=True)
class Node:
    """The lease that a node assumes to be its own: its era and number, 0 for none."""

    era: int = 0
    number: int = 0


@dataclass(frozen=True)
class Engine:
    """The highest token, the newest order, and whether an order of a former leader was accepted."""

    highest: tuple[int, int] = (0, 0)
    newest: tuple[int, int] = (0, 0)
    overruled: bool = False


def restore_model(rules: RestoreRules) -> Protocol:
    """Return the model of a restored store."""
    return Protocol(
        name="restored store",
        candidate=False,
        fields=("store", "nodes", "engine", "usurped"),
        initial=(Store(), tuple([Node()] * NODES), Engine(), False),
        transitions=lambda state: list(_steps(rules, *state)),
        invariants={
            "newer_orders_stay": lambda s: not s["engine"].overruled,
            "leases_are_own": lambda s: not s["usurped"],
            "leaders_are_heard": lambda s: _leader_is_accepted(
                rules, s["store"], s["nodes"], s["engine"]
            ),
        },
    )


def _fence(rules, node):
    return (node.era if rules.fences_have_era else 0, node.number)


def _leader_is_accepted(rules, store, nodes, engine):
    """Return whether the engine accepts orders from the node that holds the lease."""
    if store.holder == NOBODY:
        return True
    return _fence(rules, Node(store.era, store.number)) >= engine.highest


def _steps(rules, store, nodes, engine, usurped):
    if store.holder != NOBODY:
        yield "the lease expires", (replace(store, holder=NOBODY), nodes, engine, usurped)
    if store.era + 1 < ERAS and store.last:
        yield "the store is restored", (Store(store.era + 1), nodes, engine, usurped)
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
    """Renew a node's lease, which the store identifies by its number alone."""
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
    # The actual order of the leases, independent of the fencing tokens.
    order = (node.era, node.number)
    return Engine(fence, max(order, engine.newest), engine.overruled or order < engine.newest)


def _with(nodes, number, node):
    return (*nodes[:number], node, *nodes[number + 1 :])
