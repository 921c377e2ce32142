"""Model of the claim protocol: `liftrill.coordination.claims`.

There is one key and two attempts (two callers, or one caller through two nodes). A message may
arrive late, even after its attempt gave up, and any answer may be lost. A member may crash and
lose its state. It may also pause, which is the same as answering late. The group changes from
`old` through a joint epoch to `new`; an attempt uses the epoch that it knew when it began.

The key may be created at any moment. A member that restarted or changed its epoch since then
abstains for the key if it does not know it.
"""

from dataclasses import dataclass, replace

from minicheck import Protocol

ATTEMPTS = 2
FINAL_EPOCH = 3
FREE = -1


@dataclass(frozen=True)
class ClaimRules:
    """The rules that the model follows; without any one of them an invariant is violated."""

    restarted_members_abstain: bool = True
    joint_epoch: bool = True
    withdrawal_is_final: bool = True
    members_check_epochs: bool = True
    withdrawals: bool = True
    crashes: int = 2
    old: frozenset = frozenset({0, 1, 2})
    new: frozenset = frozenset()

    @property
    def members(self) -> int:
        """The number of nodes in the model."""
        return len(self.old | self.new)

    def quorum_sets(self, epoch: int) -> tuple[frozenset, ...]:
        """Return the sets of members that must each give a majority in an epoch."""
        return {1: (self.old,), 2: (self.old, self.new), 3: (self.new,)}[epoch]


@dataclass(frozen=True)
class Member:
    """A member: the attempt that holds the key, whether grants may be lost, and the epoch."""

    holder: int = FREE
    forgetful: bool = False
    epoch: int = 1


@dataclass(frozen=True)
class Attempt:
    """An attempt: its phase, the members not yet reached, and the members that granted the key."""

    phase: str = "idle"
    epoch: int = 0
    asked: frozenset = frozenset()
    granted: frozenset = frozenset()
    dispatched: bool = False


def claim_model(rules: ClaimRules) -> Protocol:
    """Return the model of the claim protocol."""
    initial = (
        False,
        rules.crashes,
        tuple([Member()] * rules.members),
        tuple([Attempt()] * ATTEMPTS),
    )
    return Protocol(
        name="claims",
        candidate=False,
        fields=("key_created", "crashes", "members", "attempts"),
        initial=initial,
        transitions=lambda state: list(_steps(rules, *state)),
        invariants={"at_most_one_dispatch": _at_most_one_dispatch},
    )


def _at_most_one_dispatch(state: dict) -> bool:
    return sum(attempt.dispatched for attempt in state["attempts"]) <= 1


def _steps(rules, key_created, crashes, members, attempts):
    if not key_created:
        yield "create key", (True, crashes, members, attempts)
    yield from _member_steps(rules, key_created, crashes, members, attempts)
    if not key_created:
        return
    for number, attempt in enumerate(attempts):
        for label, new_members, new_attempt in _attempt_steps(rules, members, number, attempt):
            changed = (*attempts[:number], new_attempt, *attempts[number + 1 :])
            yield f"attempt {number} {label}", (key_created, crashes, new_members, changed)


def _member_steps(rules, key_created, crashes, members, attempts):
    for number, member in enumerate(members):
        if crashes:
            forgetful = key_created and rules.restarted_members_abstain
            restarted = Member(FREE, forgetful or member.forgetful, member.epoch)
            yield (
                f"member {number} restarts",
                (key_created, crashes - 1, _with(members, number, restarted), attempts),
            )
        for epoch in _next_epochs(rules, members, member):
            adopted = replace(member, epoch=epoch, forgetful=key_created or member.forgetful)
            yield (
                f"member {number} adopts epoch {epoch}",
                (key_created, crashes, _with(members, number, adopted), attempts),
            )


def _next_epochs(rules, members, member):
    if not rules.new or member.epoch == FINAL_EPOCH:
        return []
    if not rules.joint_epoch:
        return [FINAL_EPOCH]
    if member.epoch == 1:
        return [2]
    adopted = sum(members[number].epoch >= 2 for number in rules.old)
    return [FINAL_EPOCH] if adopted > len(rules.old) // 2 else []


def _attempt_steps(rules, members, number, attempt):
    if attempt.phase == "idle":
        for epoch in sorted({member.epoch for member in members}):
            everyone = frozenset().union(*rules.quorum_sets(epoch))
            yield "begins", members, replace(attempt, phase="asking", epoch=epoch, asked=everyone)
        return
    for target in sorted(attempt.asked):
        yield from _deliver(rules, members, number, attempt, target)
    if attempt.phase != "asking":
        return
    groups = rules.quorum_sets(attempt.epoch)
    if all(len(group & attempt.granted) > len(group) // 2 for group in groups):
        yield "dispatches", members, replace(attempt, phase="done", dispatched=True)
    if rules.withdrawals:
        yield from _withdrawals(rules, members, number, attempt)


def _deliver(rules, members, number, attempt, target):
    """Deliver a proposal; its answer is delivered or lost."""
    member = members[target]
    reached = replace(attempt, asked=attempt.asked - {target})
    if not _grants(rules, member, number, attempt):
        yield f"is refused by {target}", members, reached
        return
    granting = _with(members, target, replace(member, holder=number))
    yield f"loses the answer of {target}", granting, reached
    if attempt.phase == "asking":
        answered = replace(reached, granted=attempt.granted | {target})
        yield f"is granted by {target}", granting, answered


def _grants(rules, member, number, attempt):
    if member.holder != FREE:
        return member.holder == number
    if rules.members_check_epochs and member.epoch != attempt.epoch:
        return False
    return not member.forgetful


def _withdrawals(rules, members, number, attempt):
    """Give up: every member that granted the key releases it, or does not get the withdrawal."""
    released = tuple(
        replace(member, holder=FREE) if member.holder == number else member for member in members
    )
    phase = "done" if rules.withdrawal_is_final else "asking"
    yield "withdraws", released, replace(attempt, phase=phase)
    if rules.withdrawal_is_final:
        yield "withdraws, but the withdrawal is lost", members, replace(attempt, phase=phase)


def _with(members, number, member):
    return (*members[:number], member, *members[number + 1 :])
