"""Model of a node that adopts configurations and serves an API key until its revocation.

The operator writes versions 1 to 3; version 2 removes the key. The node reads the store from time
to time. A read returns the version at some moment after its request, and the response may be
delayed without limit. A watch may also deliver any earlier version, late. The key must not be
served once its removal is older than `REVOKE_LIMIT` ticks, and the adopted version must never
decrease.
"""

from dataclasses import dataclass, replace

from minicheck import Protocol

VERSIONS = 3
REMOVED_IN = 2
REVOKE_LIMIT = 3
PROOF_LIMIT = REVOKE_LIMIT - 1
MAX_AGE = REVOKE_LIMIT + 1
NOT_READ = 0


@dataclass(frozen=True)
class AdoptionRules:
    """The rules that the model follows."""

    only_forward: bool = True
    proof_from_question: bool = True
    proof_required: bool = True


@dataclass(frozen=True)
class Read:
    """A read in flight: ticks since its request, and the version that the store returned."""

    age: int = 0
    version: int = NOT_READ


@dataclass(frozen=True)
class Node:
    """The adopted version, ticks since its freshness proof, and the read in flight."""

    version: int = 0
    proof_age: int = MAX_AGE
    read: Read | None = None


@dataclass(frozen=True)
class Faults:
    """The faults that must never occur."""

    decreased: bool = False
    served_after_removal: bool = False


def adoption_model(rules: AdoptionRules) -> Protocol:
    """Return the model of configuration adoption."""
    return Protocol(
        name="configuration adoption",
        candidate=False,
        fields=("written", "removal_age", "node", "faults"),
        initial=(1, 0, Node(), Faults()),
        transitions=lambda state: list(_steps(rules, *state)),
        invariants={
            "never_back": lambda s: not s["faults"].decreased,
            "removed_key_refused": lambda s: not s["faults"].served_after_removal,
        },
    )


def _steps(rules, written, removal_age, node, faults):
    if written < VERSIONS:
        yield f"version {written + 1} is written", (written + 1, removal_age, node, faults)
    yield "a tick passes", (written, _aged_removal(written, removal_age), _aged(node), faults)
    yield "the node restarts", (written, removal_age, Node(), faults)
    if node.read is None:
        yield "the node sends a read", (written, removal_age, replace(node, read=Read()), faults)
    elif node.read.version == NOT_READ:
        read = replace(node, read=replace(node.read, version=written))
        yield "the store answers", (written, removal_age, read, faults)
    else:
        yield "the response arrives", _answered(rules, written, removal_age, node, faults)
    for version in range(1, written + 1):
        after, seen = _adopt(rules, node, version, faults)
        yield f"the watch delivers version {version}", (written, removal_age, after, seen)
    if _serves(rules, node):
        late = written >= REMOVED_IN and removal_age > REVOKE_LIMIT
        served = replace(faults, served_after_removal=faults.served_after_removal or late)
        yield "the key is served", (written, removal_age, node, served)


def _answered(rules, written, removal_age, node, faults):
    read = node.read
    after, seen = _adopt(rules, replace(node, read=None), read.version, faults)
    if read.version == after.version:
        age = read.age if rules.proof_from_question else 0
        after = replace(after, proof_age=min(after.proof_age, age))
    return written, removal_age, after, seen


def _adopt(rules, node, version, faults):
    if rules.only_forward and version <= node.version:
        return node, faults
    decreased = faults.decreased or version < node.version
    return replace(node, version=version), replace(faults, decreased=decreased)


def _serves(rules, node):
    has_key = 0 < node.version < REMOVED_IN
    return has_key and (node.proof_age <= PROOF_LIMIT or not rules.proof_required)


def _aged(node):
    read = node.read
    if read is not None:
        read = replace(read, age=min(MAX_AGE, read.age + 1))
    return replace(node, proof_age=min(MAX_AGE, node.proof_age + 1), read=read)


def _aged_removal(written, removal_age):
    return min(MAX_AGE, removal_age + 1) if written >= REMOVED_IN else 0
