"""Model of a node that adopts configurations and serves a key until it is taken away.

The operator writes versions 1 to 3; version 2 takes the key away. The node asks the store
now and then; a question is answered with the version of some moment after it was asked,
and the answer may be held up for as long as it likes. A watch may also bring any version
that ever was in force, late. The key must not be served once its removal is older than
`REVOKE` ticks, and the version in force must never fall.
"""

from dataclasses import dataclass, replace

from minicheck import Protocol

VERSIONS = 3
REMOVAL = 2
REVOKE = 3
PROOF = REVOKE - 1
OLD = REVOKE + 1
NOT_READ = 0


@dataclass(frozen=True)
class AdoptionRules:
    """Which rules the model follows."""

    only_forward: bool = True
    proof_from_question: bool = True
    proof_required: bool = True


@dataclass(frozen=True)
class Question:
    """A reading on its way: ticks since it was asked, and what the store answered."""

    age: int = 0
    version: int = NOT_READ


@dataclass(frozen=True)
class Node:
    """The version in force, ticks since its proof, and the question on its way."""

    version: int = 0
    proof_age: int = OLD
    question: Question | None = None


@dataclass(frozen=True)
class Faults:
    """What must never come about."""

    fell: bool = False
    served_after_removal: bool = False


def adoption_model(rules: AdoptionRules) -> Protocol:
    """Return the model."""
    return Protocol(
        name="configuration adoption",
        candidate=False,
        fields=("written", "removal_age", "node", "faults"),
        initial=(1, 0, Node(), Faults()),
        transitions=lambda state: list(_steps(rules, *state)),
        invariants={
            "never_back": lambda s: not s["faults"].fell,
            "removed_key_refused": lambda s: not s["faults"].served_after_removal,
        },
    )


def _steps(rules, written, removal_age, node, faults):
    if written < VERSIONS:
        yield f"version {written + 1} is written", (written + 1, removal_age, node, faults)
    yield "a tick passes", (written, _older_removal(written, removal_age), _older(node), faults)
    yield "the node restarts", (written, removal_age, Node(), faults)
    if node.question is None:
        yield "the node asks", (written, removal_age, replace(node, question=Question()), faults)
    elif node.question.version == NOT_READ:
        read = replace(node, question=replace(node.question, version=written))
        yield "the store reads", (written, removal_age, read, faults)
    else:
        yield "the answer comes", _answered(rules, written, removal_age, node, faults)
    for version in range(1, written + 1):
        after, seen = _adopt(rules, node, version, faults)
        yield f"the watch brings {version}", (written, removal_age, after, seen)
    if _serves(rules, node):
        late = written >= REMOVAL and removal_age > REVOKE
        served = replace(faults, served_after_removal=faults.served_after_removal or late)
        yield "the key is served", (written, removal_age, node, served)


def _answered(rules, written, removal_age, node, faults):
    question = node.question
    after, seen = _adopt(rules, replace(node, question=None), question.version, faults)
    if question.version == after.version:
        age = question.age if rules.proof_from_question else 0
        after = replace(after, proof_age=min(after.proof_age, age))
    return written, removal_age, after, seen


def _adopt(rules, node, version, faults):
    if rules.only_forward and version <= node.version:
        return node, faults
    fell = faults.fell or version < node.version
    return replace(node, version=version), replace(faults, fell=fell)


def _serves(rules, node):
    has_key = 0 < node.version < REMOVAL
    return has_key and (node.proof_age <= PROOF or not rules.proof_required)


def _older(node):
    question = node.question
    if question is not None:
        question = replace(question, age=min(OLD, question.age + 1))
    return replace(node, proof_age=min(OLD, node.proof_age + 1), question=question)


def _older_removal(written, removal_age):
    return min(OLD, removal_age + 1) if written >= REMOVAL else 0
