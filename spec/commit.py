"""Model of the confirmation of plans: `liftrill.planning.commit` and the replicas.

Two operators confirm plans made from the same generation. A write may take effect while its
answer is lost, or take effect after its sender gave up. Replicas adopt only higher generations.
The store may be restored once, from an empty copy; a replica then writes the confirmed head back.
"""

from dataclasses import dataclass, replace

from minicheck import Protocol

OPERATORS = 2
REPLICAS = 2


@dataclass(frozen=True)
class CommitRules:
    """The rules that the model follows."""

    swap_checks_revision: bool = True
    plan_is_looked_up: bool = True
    replicas_only_go_forward: bool = True
    restores: int = 1


@dataclass(frozen=True)
class Head:
    """The stored head: its generation, the plan that made it (-1 for none), and its revision."""

    generation: int = 0
    plan: int = -1
    revision: int = 0


@dataclass(frozen=True)
class Operator:
    """An operator's confirmation: the head it read, its writes in flight, and the result."""

    phase: str = "reading"
    read: Head = Head()
    in_flight: frozenset = frozenset()
    result: str = ""


def commit_model(rules: CommitRules) -> Protocol:
    """Return the model of plan confirmation."""
    initial = (
        Head(),
        rules.restores,
        tuple([Operator()] * OPERATORS),
        tuple([Head()] * REPLICAS),
        frozenset(),
        False,
    )
    return Protocol(
        name="commit",
        candidate=False,
        fields=("head", "restores", "operators", "replicas", "confirmed", "reverted"),
        initial=initial,
        transitions=lambda state: list(_steps(rules, *state)),
        invariants={
            "one_plan_per_generation": lambda s: len(s["confirmed"]) <= 1,
            "told_confirmed_is_confirmed": _told_confirmed,
            "told_conflict_is_not_confirmed": _told_conflict,
            "replicas_never_go_back": lambda s: not s["reverted"],
        },
    )


def _told_confirmed(state: dict) -> bool:
    return all(
        number in state["confirmed"]
        for number, operator in enumerate(state["operators"])
        if operator.result == "confirmed"
    )


def _told_conflict(state: dict) -> bool:
    return all(
        number not in state["confirmed"]
        for number, operator in enumerate(state["operators"])
        if operator.result == "conflict"
    )


def _steps(rules, head, restores, operators, replicas, confirmed, reverted):
    for number, operator in enumerate(operators):
        for label, new_head, new_operator, is_new in _operator_steps(
            rules, head, replicas, number, operator
        ):
            changed = (*operators[:number], new_operator, *operators[number + 1 :])
            now_confirmed = confirmed | {number} if is_new else confirmed
            yield (
                f"operator {number} {label}",
                (new_head, restores, changed, replicas, now_confirmed, reverted),
            )
    for number, replica in enumerate(replicas):
        for label, new_head, new_replica in _replica_steps(rules, head, replica):
            changed = (*replicas[:number], new_replica, *replicas[number + 1 :])
            back = reverted or new_replica.generation < replica.generation
            yield (
                f"replica {number} {label}",
                (new_head, restores, operators, changed, confirmed, back),
            )
    if restores and _all_replicas_adopted(head, replicas):
        old = Head(revision=head.revision + 1)
        yield "store is restored", (old, restores - 1, operators, replicas, confirmed, reverted)


def _all_replicas_adopted(head, replicas):
    """Return whether every replica has the head, which the model requires for a restore.

    A restore before any replica adopted a confirmed head loses that head; see docs/PROOFS.md.
    """
    return all(replica.generation == head.generation for replica in replicas)


def _operator_steps(rules, head, replicas, number, operator):
    if operator.phase == "reading" and not operator.result:
        yield from _read(rules, head, replicas, number, operator)
    elif operator.phase == "swapping":
        sent = replace(operator, phase="waiting", in_flight=operator.in_flight | {operator.read})
        yield "sends the swap", head, sent, False
    elif operator.phase == "waiting":
        yield "gives up waiting", head, replace(operator, phase="reading"), False
    for read in operator.in_flight:
        yield from _arrive(rules, head, number, operator, read)


def _read(rules, head, replicas, number, operator):
    if rules.plan_is_looked_up and head.plan == number:
        yield "finds its plan", head, replace(operator, result="confirmed"), False
    elif head.generation > 0 or any(r.generation > 0 for r in replicas):
        is_confirmed = any(r.plan == number for r in replicas) and rules.plan_is_looked_up
        result = "confirmed" if is_confirmed else "conflict"
        yield f"gets the result {result}", head, replace(operator, result=result), False
    else:
        yield "reads the head", head, replace(operator, phase="swapping", read=head), False


def _arrive(rules, head, number, operator, read):
    """Deliver a swap, which takes effect or fails; its answer is delivered or lost."""
    rest = replace(operator, in_flight=operator.in_flight - {read})
    if rules.swap_checks_revision and head.revision != read.revision:
        yield "gets a late swap refused", head, rest, False
        return
    written = Head(read.generation + 1, number, head.revision + 1)
    yield "swaps, and the answer is lost", written, rest, True
    if operator.phase == "waiting":
        answered = replace(rest, phase="done", result="confirmed")
        yield "swaps and gets the answer", written, answered, True


def _replica_steps(rules, head, replica):
    forward = head.generation > replica.generation
    differs = head.generation != replica.generation
    if forward or (differs and not rules.replicas_only_go_forward):
        yield "adopts the head", head, replace(head, revision=0)
    elif differs:
        repaired = replace(replica, revision=head.revision + 1)
        yield "writes the head back", repaired, replica
