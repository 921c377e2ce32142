"""Model of a stream that is resumed at another node, while engines of a second version come.

Node 0 begins the stream, node 1 holds its origin, and a caller resumes it at node 2. Engines of
version 1 serve first; those of version 2 come, and those of version 1 may end. Each node reads the
records of the engines at any later time. Once node 0 knows both versions it sends the origin to
node 1, before the caller gets an event; the message may be late or lost. Node 0 may end at any
time, and node 2 may start again and forget what it knew. Node 2 asks node 1 for the origin, and
both report which versions served. All nodes may end at once and forget what they knew; nodes 1 and
2 then start again, before or after the engines of version 1 have ended.

The store records the versions that serve, each at any time after it has come, and streams begin
only at recorded ones. A version that is not recorded has begun none, as long as a recorded one
serves. Node 0 writes the origin there at any time after it has sent it. Nodes read the record as
they start. If nodes 1 and 2 both lack the newest record, node 2 reads it before the stream goes on.
It reads it in other cases too, which can but add to what it knows.

Not modelled: the time for which a mirror that was confirmed lately counts as complete, reads of the
record that fail, after which a mirror is trusted for a time, a restore of the store, streams that
begin at a version that is not recorded because no recorded one serves, the second holder, lost
questions and answers (the origin is then unknown), and the time for which versions and origins are
remembered.
"""

from dataclasses import dataclass, replace
from typing import NamedTuple

from minicheck import Protocol

BEGINNER, HOLDER, RESUMER = range(3)
FIRST, SECOND = 1, 2
NONE = 0


@dataclass(frozen=True)
class OriginRules:
    """The rules that the model follows."""

    bound_within_answer: bool = True
    others_asked: bool = True
    unknown_refused: bool = True
    versions_remembered: bool = True
    versions_recorded: bool = True
    recorded_first: bool = True
    mirror_confirmed: bool = True


@dataclass(frozen=True)
class Stream:
    """The stream: the version that began it, the one that went on, and who knows its origin.

    Attributes:
        in_flight: whether the message to the holder has neither arrived nor been lost.
        stored: whether the store has the origin.
    """

    began: int = NONE
    went_on: int = NONE
    in_flight: bool = False
    held: bool = False
    stored: bool = False


class State(NamedTuple):
    """The versions that serve, that each node takes for used and that are recorded; the stream."""

    serving: frozenset
    seen: tuple
    recorded: frozenset
    alive: bool
    stream: Stream


def origin_model(rules: OriginRules) -> Protocol:
    """Return the model of a resumed stream."""
    first = frozenset({FIRST})
    return Protocol(
        name="stream origin",
        candidate=False,
        fields=State._fields,
        initial=(first, (first,) * 3, first, True, Stream()),
        transitions=lambda state: list(_steps(rules, *state)),
        invariants={
            "one_version": lambda s: s["stream"].went_on in (NONE, s["stream"].began),
        },
    )


def _steps(rules, *values):
    """Return the steps that are possible in a state."""
    state = State(*values)
    for name, after in (
        *_engine_steps(state),
        *_node_steps(rules, state),
        *_beginner_steps(rules, state),
        *_stream_steps(rules, state),
    ):
        yield name, tuple(after)


def _engine_steps(state):
    if state.serving == {FIRST}:
        yield "version 2 comes", state._replace(serving=frozenset({FIRST, SECOND}))
    if state.serving == {FIRST, SECOND}:
        yield "version 1 ends", state._replace(serving=frozenset({SECOND}))


def _node_steps(rules, state):
    """Return the steps in which nodes learn, forget, or record which versions are used."""
    serving, seen, recorded = state.serving, state.seen, state.recorded
    used = recorded if serving & recorded else recorded | serving
    for node in range(len(seen)):
        known = used | seen[node] if rules.versions_remembered else used & serving
        yield f"{node} reads the records", state._replace(seen=_with(seen, node, known))
        if node != BEGINNER or state.alive:
            written = recorded | serving
            yield f"{node} records the versions", state._replace(recorded=written)
    started = used if rules.versions_recorded else used & serving
    yield "2 starts again", state._replace(seen=_with(seen, RESUMER, started))
    forgotten = replace(state.stream, in_flight=False, held=False)
    yield (
        "all end and start again",
        state._replace(seen=(started,) * len(seen), alive=False, stream=forgotten),
    )


def _beginner_steps(rules, state):
    if not state.alive:
        return
    stream, seen = state.stream, state.seen[BEGINNER]
    yield "0 ends", state._replace(alive=False)
    usable = seen & state.recorded if rules.recorded_first else state.serving
    for after in _at_beginner(rules, state.serving & usable, seen, stream):
        yield "0 begins the stream, or goes on", state._replace(stream=after)
    if stream.began and len(seen) > 1:
        yield "0 stores the origin", state._replace(stream=replace(stream, stored=True))


def _stream_steps(rules, state):
    """Return the steps of the message to the holder, and of the node that resumes the stream."""
    stream, seen = state.stream, state.seen
    if stream.in_flight:
        for held in (True, False):
            after = replace(stream, in_flight=False, held=held)
            yield f"the message arrives: {held}", state._replace(stream=after)
    newest = state.recorded & state.serving
    both_late = not any(newest <= seen[node] for node in (HOLDER, RESUMER))
    if stream.began and not stream.went_on:
        read = state.recorded if both_late and rules.mirror_confirmed else frozenset()
        for version in _resumed_at(rules, seen, stream, read):
            after = replace(stream, went_on=version)
            yield f"2 resumes the stream at {version}", state._replace(stream=after)


def _at_beginner(rules, usable, seen, stream):
    """Return the stream after node 0 has begun it, or has gone on after an engine was lost."""
    for version in usable:
        if not stream.began:
            yield Stream(version, in_flight=len(seen) > 1)
        elif not stream.went_on and (version == stream.began or not rules.bound_within_answer):
            yield replace(stream, went_on=version)


def _resumed_at(rules, seen, stream, read):
    """Return the versions at which node 2 may let the stream go on, after what it has read."""
    if rules.others_asked and stream.held:
        return {stream.began}
    served = read | seen[RESUMER] | (seen[HOLDER] if rules.others_asked else frozenset())
    if len(served) > 1 and stream.stored:
        return {stream.began}
    if len(served) > 1 and rules.unknown_refused:
        return frozenset()
    return served


def _with(seen, node, known):
    return (*seen[:node], frozenset(known), *seen[node + 1 :])
