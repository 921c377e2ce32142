"""Model of nodes that read the store, or follow another node's mirror of it.

Nodes 0 and 1 read the store; node 2 is planned to follow one of them, and may begin to at any
time. Two changes are acknowledged at any moment. A watch may go deaf or be cut, alone or with
all others, a reader may be lost, and the store may begin to refuse a node; two such faults come.
In a tick every node takes one turn, in any order: a reader asks the store for a key, which names
the store's revision, and a follower asks its reader, whose mirror, age and root it takes over. A
node that has neither reads the range; until that fails it names itself as the root.

Left out: messages under way (a call and its answer are one step), deaf watches that hear again,
refusals that end, restarts, plans that change, and the times for which a failed reader is
avoided or a stand-in followed.
"""

from dataclasses import dataclass, replace
from functools import cache, partial

from minicheck import Protocol

NODES = 3
CHANGES = 2
FAULTS = 2
PLANNED_FOLLOWERS = frozenset({2})
# Ticks: the oldest mirror that a follower takes over.
TOLD_BOUND = 3
# Ticks: a mirror that was taken over grows older until the next question.
BOUND = TOLD_BOUND + 1
# Ticks: a deaf watch is found at the first question after a change and mended at the next, and
# a follower asks up to a tick later. With a third fault a chain of followers takes a tick more.
SOON = 3
OLD = BOUND + 1
NOBODY = -1


@dataclass(frozen=True)
class RelayRules:
    """Which rules the model follows.

    Attributes:
        path_told: a node tells all nodes on its way to the store, not the last one alone.
    """

    read_before_following: bool = True
    origin_told: bool = True
    age_told: bool = True
    age_bounded: bool = True
    watch_checked: bool = True
    path_told: bool = True


@dataclass(frozen=True)
class Node:
    """Whom a node hears, what its mirror holds, and what it believes of that.

    Attributes:
        watches: whether it believes that it watches the store.
        deaf: whether its watch brings nothing.
        lost: whether its last reading of the range failed.
        path: the nodes on its way to the store: the one that it follows first.
        at: the last change in its mirror.
        age: ticks since all that was acknowledged is known to be in the mirror.
        ahead: the change that an answer named and the mirror lacked, or 0.
    """

    watches: bool = True
    deaf: bool = False
    lost: bool = False
    followed: int = NOBODY
    path: tuple[int, ...] = ()
    at: int = 0
    age: int = 0
    ahead: int = 0
    refused: bool = False


def relay_model(rules: RelayRules) -> Protocol:
    """Return the model."""
    rounds = cache(partial(_rounds, rules))
    return Protocol(
        name="mirror relay",
        candidate=False,
        fields=("ages", "faults_left", "nodes"),
        initial=((), FAULTS, tuple([Node()] * NODES)),
        transitions=lambda state: list(_steps(rounds, *state)),
        invariants={
            "nothing_old_is_lacked": lambda s: _longest_lack(s) <= BOUND,
            "cuts_heal_soon": lambda s: _someone_refused(s) or _longest_lack(s) <= SOON,
            "age_is_honest": _age_is_honest,
        },
    )


def path_model(rules: RelayRules) -> Protocol:
    """Return the model with the invariant that the path, told as a whole, is to keep."""
    model = relay_model(rules)
    soon = {"refusals_heal_soon": lambda s: _longest_lack(s) <= SOON}
    return replace(model, invariants={**model.invariants, **soon})


def _someone_refused(state: dict) -> bool:
    return any(node.refused for node in state["nodes"])


def _longest_lack(state: dict) -> int:
    """Return for how long, at most, a node that the store answers has lacked a change."""
    return max((_lack(state["ages"], n) for n in state["nodes"] if not n.refused), default=0)


def _age_is_honest(state: dict) -> bool:
    return all(node.age >= _lack(state["ages"], node) for node in state["nodes"])


def _lack(ages, node):
    return ages[node.at] if node.at < len(ages) else 0


def _steps(rounds, ages, faults_left, nodes):
    written = len(ages)
    if written < CHANGES:
        yield f"change {written + 1} is acknowledged", ((*ages, 0), faults_left, nodes)
    for label, after in rounds(written, nodes):
        yield label, (_older_changes(ages, after), faults_left, after)
    if faults_left:
        for label, after in _faults(nodes):
            yield label, (ages, faults_left - 1, after)


def _older_changes(ages, nodes):
    """Return the ages a tick later; that of a change which all nodes have counts no more."""
    everywhere = min(node.at for node in nodes)
    return tuple(
        OLD if number < everywhere else min(OLD, age + 1) for number, age in enumerate(ages)
    )


def _faults(nodes):
    yield "all watches go deaf", tuple(replace(n, deaf=n.watches) for n in nodes)
    yield "all watches are cut", tuple(_cut(n) if n.watches else n for n in nodes)
    for number, node in enumerate(nodes):
        if node.watches and not node.deaf:
            yield f"{number} goes deaf", _with(nodes, number, replace(node, deaf=True))
        if node.watches or node.followed != NOBODY:
            yield f"{number} is cut off", _with(nodes, number, _cut(node))
        if not node.refused:
            yield f"{number} is refused", _with(nodes, number, replace(node, refused=True))


def _rounds(rules, written, nodes):
    """Return how a tick may pass in which each node takes its turn."""
    reached = {(frozenset(range(NODES)), nodes): ()}
    for _ in range(NODES):
        reached = _next_turns(rules, written, reached)
    return [
        (", ".join(labels), tuple(_older(node) for node in after))
        for (_, after), labels in reached.items()
    ]


def _next_turns(rules, written, reached):
    """Return what is reached when one more node of those that wait takes its turn."""
    found = {}
    for (waiting, nodes), labels in reached.items():
        for number in sorted(waiting):
            for label, node in _turn(rules, written, nodes, number):
                after = (waiting - {number}, _with(nodes, number, node))
                found.setdefault(after, (*labels, f"{number} {label}"))
    return found


def _turn(rules, written, nodes, number):
    node = nodes[number]
    if node.followed != NOBODY and _serves(rules, nodes, number, node.followed):
        yield f"asks {node.followed}", _follow(rules, nodes, number, node.followed)
    elif not node.watches or node.refused:
        yield from _search(rules, written, nodes, number)
    else:
        yield from _reader_turn(rules, written, node)
        yield from _planned(rules, nodes, number)


def _reader_turn(rules, written, node):
    """Ask for a key; a watch that hears has brought what the answer names."""
    if not node.deaf:
        yield "reads", _read(node, written)
    elif node.at == written:
        yield "reads a key", replace(node, age=0, ahead=0)
    elif node.ahead > node.at and rules.watch_checked:
        yield "reads the range, as its watch is behind", _read(node, written)
    else:
        yield "reads a key that is ahead", replace(node, ahead=written)


def _search(rules, written, nodes, number):
    """Find a way to the store: after a cut, a failed call or a reader that serves no more."""
    node = nodes[number]
    if not node.refused:
        yield "reads the range", _read(node, written)
        yield from _planned(rules, nodes, number)
    else:
        yield "fails to read", replace(_cut(node), lost=True)
    if node.refused or not rules.read_before_following:
        yield from _followings(rules, nodes, number, frozenset(range(NODES)))


def _planned(rules, nodes, number):
    if number in PLANNED_FOLLOWERS:
        yield from _followings(rules, nodes, number, frozenset(range(NODES)) - PLANNED_FOLLOWERS)


def _followings(rules, nodes, number, candidates):
    for other in sorted(candidates - {number}):
        if _serves(rules, nodes, number, other):
            yield f"follows {other}", _follow(rules, nodes, number, other)


def _serves(rules, nodes, number, other):
    """Return whether a node takes another one for its reader."""
    path = _told_path(rules, nodes, other)
    if rules.origin_told and (not path or number in path):
        return False
    return not rules.age_bounded or _told_age(rules, nodes[other]) <= TOLD_BOUND


def _told_path(rules, nodes, number):
    node = nodes[number]
    if node.followed == NOBODY:
        return () if node.lost else (number,)
    return (number, *node.path) if rules.path_told else node.path


def _told_age(rules, node):
    """Return the mirror's age, or without the rule that of the last answer of the store."""
    return node.age if rules.age_told or not node.watches else 0


def _follow(rules, nodes, number, other):
    node = nodes[number]
    reader = nodes[other]
    return Node(
        watches=False,
        followed=other,
        path=_told_path(rules, nodes, other) if rules.origin_told else (),
        at=max(node.at, reader.at),
        age=min(node.age, _told_age(rules, reader)),
        refused=node.refused,
    )


def _read(node, written):
    return Node(at=written, refused=node.refused)


def _cut(node):
    return Node(watches=False, at=node.at, age=node.age, refused=node.refused)


@cache
def _older(node):
    return replace(node, age=min(OLD, node.age + 1))


def _with(nodes, number, node):
    return (*nodes[:number], node, *nodes[number + 1 :])
