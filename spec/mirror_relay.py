"""Model of nodes that read the store, or follow another node's mirror of the store.

Nodes 0 and 1 read the store. Node 2 is planned to follow one of them, and may begin to do so at
any time. Two changes are acknowledged, each at any moment. A watch may stall or be cut, alone or
together with all others, a follower may lose its reader, and the store may begin to refuse a node;
two such faults occur. In a tick every node takes one turn, in any order. A reader reads a key from
the store, and the response contains the store's revision. A follower asks its reader and takes over
the reader's mirror, age and path. A node with neither a watch nor a reader reads the range; until
such a read fails, it reports itself as the origin of its mirror.

Not modelled: messages in flight (a call and its answer are one step), stalled watches that
recover, refusals that end, restarts, changes of the plan, and the periods for which a failed reader
is avoided or a substitute reader is followed.
"""

from dataclasses import dataclass, replace
from functools import cache, partial

from minicheck import Protocol

NODES = 3
CHANGES = 2
FAULTS = 2
PLANNED_FOLLOWERS = frozenset({2})
# Ticks: the greatest age of a mirror that a follower takes over.
FOLLOW_BOUND = 3
# Ticks: a mirror that was taken over ages until the follower's next request.
BOUND = FOLLOW_BOUND + 1
# Ticks: a stalled watch is detected by the first read after a change and replaced at the next, and
# a follower asks up to a tick later. With a third fault a chain of followers takes one more tick.
HEAL_BOUND = 3
MAX_AGE = BOUND + 1
NOBODY = -1


@dataclass(frozen=True)
class RelayRules:
    """The rules that the model follows.

    Attributes:
        path_told: a node reports all nodes on its path to the store, not only the last one.
    """

    read_before_following: bool = True
    origin_told: bool = True
    age_told: bool = True
    age_bounded: bool = True
    watch_checked: bool = True
    path_told: bool = True


@dataclass(frozen=True)
class Node:
    """A node: its source, the content of its mirror, and what it knows of the mirror's age.

    Attributes:
        watches: whether it has a watch of the store, as far as it knows.
        stalled: whether its watch delivers nothing.
        read_failed: whether its last read of the range failed.
        followed: the node that it follows, or NOBODY.
        path: the nodes on its path to the store, beginning with the one that it follows.
        at: the last change in its mirror.
        age: ticks since the mirror was last proven to contain every acknowledged change.
        ahead: the change in a read response that the mirror lacked, or 0.
        refused: whether the store refuses its calls.
    """

    watches: bool = True
    stalled: bool = False
    read_failed: bool = False
    followed: int = NOBODY
    path: tuple[int, ...] = ()
    at: int = 0
    age: int = 0
    ahead: int = 0
    refused: bool = False


def relay_model(rules: RelayRules) -> Protocol:
    """Return the model of the mirror relay."""
    rounds = cache(partial(_rounds, rules))
    return Protocol(
        name="mirror relay",
        candidate=False,
        fields=("ages", "faults_left", "nodes"),
        initial=((), FAULTS, tuple([Node()] * NODES)),
        transitions=lambda state: list(_steps(rounds, *state)),
        invariants={
            "nothing_old_is_lacked": lambda s: _max_missing_age(s) <= BOUND,
            "cuts_heal_soon": lambda s: _someone_refused(s) or _max_missing_age(s) <= HEAL_BOUND,
            "age_is_honest": _age_is_honest,
        },
    )


def path_model(rules: RelayRules) -> Protocol:
    """Return the model with the additional invariant that complete paths must keep."""
    model = relay_model(rules)
    soon = {"refusals_heal_soon": lambda s: _max_missing_age(s) <= HEAL_BOUND}
    return replace(model, invariants={**model.invariants, **soon})


def _someone_refused(state: dict) -> bool:
    return any(node.refused for node in state["nodes"])


def _max_missing_age(state: dict) -> int:
    """Return the age of the oldest change that any node not refused by the store lacks."""
    return max((_missing_age(state["ages"], n) for n in state["nodes"] if not n.refused), default=0)


def _age_is_honest(state: dict) -> bool:
    return all(node.age >= _missing_age(state["ages"], node) for node in state["nodes"])


def _missing_age(ages, node):
    return ages[node.at] if node.at < len(ages) else 0


def _steps(rounds, ages, faults_left, nodes):
    written = len(ages)
    if written < CHANGES:
        yield f"change {written + 1} is acknowledged", ((*ages, 0), faults_left, nodes)
    for label, after in rounds(written, nodes):
        yield label, (_aged_changes(ages, after), faults_left, after)
    if faults_left:
        for label, after in _faults(nodes):
            yield label, (ages, faults_left - 1, after)


def _aged_changes(ages, nodes):
    """Return the changes' ages a tick later; changes that all nodes have get the maximum."""
    known_to_all = min(node.at for node in nodes)
    return tuple(
        MAX_AGE if number < known_to_all else min(MAX_AGE, age + 1)
        for number, age in enumerate(ages)
    )


def _faults(nodes):
    yield "all watches stall", tuple(replace(n, stalled=n.watches) for n in nodes)
    yield "all watches are cut", tuple(_cut(n) if n.watches else n for n in nodes)
    for number, node in enumerate(nodes):
        if node.watches and not node.stalled:
            yield f"the watch of {number} stalls", _with(nodes, number, replace(node, stalled=True))
        if node.watches or node.followed != NOBODY:
            yield f"{number} is cut off", _with(nodes, number, _cut(node))
        if not node.refused:
            yield f"{number} is refused", _with(nodes, number, replace(node, refused=True))


def _rounds(rules, written, nodes):
    """Return the possible states after a tick in which each node takes its turn."""
    reached = {(frozenset(range(NODES)), nodes): ()}
    for _ in range(NODES):
        reached = _next_turns(rules, written, reached)
    return [
        (", ".join(labels), tuple(_aged(node) for node in after))
        for (_, after), labels in reached.items()
    ]


def _next_turns(rules, written, reached):
    """Return the states reached when one more of the waiting nodes takes its turn."""
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
        yield from _planned_steps(rules, nodes, number)


def _reader_turn(rules, written, node):
    """Read a key; a working watch has already delivered every change up to the response."""
    if not node.stalled:
        yield "reads", _read(node, written)
    elif node.at == written:
        yield "reads a key", replace(node, age=0, ahead=0)
    elif node.ahead > node.at and rules.watch_checked:
        yield "reads the range because its watch is behind", _read(node, written)
    else:
        yield "reads a key and sees that the store is ahead", replace(node, ahead=written)


def _search(rules, written, nodes, number):
    """Find a source after a cut, a failed call, or when the reader no longer serves."""
    node = nodes[number]
    if not node.refused:
        yield "reads the range", _read(node, written)
        yield from _planned_steps(rules, nodes, number)
    else:
        yield "fails to read", replace(_cut(node), read_failed=True)
    if node.refused or not rules.read_before_following:
        yield from _follow_steps(rules, nodes, number, frozenset(range(NODES)))


def _planned_steps(rules, nodes, number):
    if number in PLANNED_FOLLOWERS:
        yield from _follow_steps(rules, nodes, number, frozenset(range(NODES)) - PLANNED_FOLLOWERS)


def _follow_steps(rules, nodes, number, candidates):
    for other in sorted(candidates - {number}):
        if _serves(rules, nodes, number, other):
            yield f"follows {other}", _follow(rules, nodes, number, other)


def _serves(rules, nodes, number, other):
    """Return whether a node accepts another one as its reader."""
    path = _reported_path(rules, nodes, other)
    if rules.origin_told and (not path or number in path):
        return False
    return not rules.age_bounded or _reported_age(rules, nodes[other]) <= FOLLOW_BOUND


def _reported_path(rules, nodes, number):
    node = nodes[number]
    if node.followed == NOBODY:
        return () if node.read_failed else (number,)
    return (number, *node.path) if rules.path_told else node.path


def _reported_age(rules, node):
    """Return the mirror's age, or without the rule that of the last store response, which is 0."""
    return node.age if rules.age_told or not node.watches else 0


def _follow(rules, nodes, number, other):
    node = nodes[number]
    reader = nodes[other]
    return Node(
        watches=False,
        followed=other,
        path=_reported_path(rules, nodes, other) if rules.origin_told else (),
        at=max(node.at, reader.at),
        age=min(node.age, _reported_age(rules, reader)),
        refused=node.refused,
    )


def _read(node, written):
    return Node(at=written, refused=node.refused)


def _cut(node):
    return Node(watches=False, at=node.at, age=node.age, refused=node.refused)


@cache
def _aged(node):
    return replace(node, age=min(MAX_AGE, node.age + 1))


def _with(nodes, number, node):
    return (*nodes[:number], node, *nodes[number + 1 :])
