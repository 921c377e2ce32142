"""Model of a stream that is resumed at another node, while engines of a second version come.

Node 0 begins the stream, node 1 holds its origin, and a caller resumes it at node 2. Engines of
version 1 serve first; those of version 2 come, and those of version 1 may end. Each node reads the
records of the engines at any later time. Once node 0 knows both versions it sends the origin to
node 1, before the caller gets an event; the message may be late or lost. Node 0 may end at any
time, and node 2 may start again and forget what it knew. Node 2 asks node 1 for the origin, and
both report which versions served.

Assumed: of nodes 1 and 2 at most one lacks the newest records when the stream is resumed. If both
lack them and the message is lost, nobody asked knows of the second version.

Not modelled: the second holder, lost questions and answers (the origin is then unknown), and the
time for which versions and origins are remembered.
"""

from dataclasses import dataclass

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


@dataclass(frozen=True)
class Stream:
    """The stream: the version that began it, the one that went on, and who knows its origin.

    Attributes:
        in_flight: whether the message to the holder has neither arrived nor been lost.
    """

    began: int = NONE
    went_on: int = NONE
    in_flight: bool = False
    held: bool = False


def origin_model(rules: OriginRules) -> Protocol:
    """Return the model of a resumed stream."""
    return Protocol(
        name="stream origin",
        candidate=False,
        fields=("serving", "seen", "beginner_alive", "stream"),
        initial=(frozenset({FIRST}), (frozenset({FIRST}),) * 3, True, Stream()),
        transitions=lambda state: list(_steps(rules, *state)),
        invariants={
            "one_version": lambda s: s["stream"].went_on in (NONE, s["stream"].began),
        },
    )


def _steps(rules, serving, seen, alive, stream):
    if serving == {FIRST}:
        yield "version 2 comes", (frozenset({FIRST, SECOND}), seen, alive, stream)
    if serving == {FIRST, SECOND}:
        yield "version 1 ends", (frozenset({SECOND}), seen, alive, stream)
    for node in range(len(seen)):
        known = serving | seen[node] if rules.versions_remembered else serving
        yield f"{node} reads the records", (serving, _with(seen, node, known), alive, stream)
    restarted = _with(seen, RESUMER, serving)
    yield "2 starts again", (serving, restarted, alive, stream)
    if alive:
        yield "0 ends", (serving, seen, False, stream)
        for after in _at_beginner(rules, serving, seen[BEGINNER], stream):
            yield "0 begins the stream, or goes on", (serving, seen, alive, after)
    if stream.in_flight:
        for held in (True, False):
            after = Stream(stream.began, stream.went_on, held=held)
            yield f"the message arrives: {held}", (serving, seen, alive, after)
    behind = sum(not serving <= seen[node] for node in (HOLDER, RESUMER))
    if stream.began and not stream.went_on and behind <= 1:
        for version in _resumed_at(rules, seen, stream):
            after = Stream(stream.began, version, stream.in_flight, stream.held)
            yield f"2 resumes the stream at {version}", (serving, seen, alive, after)


def _at_beginner(rules, serving, seen, stream):
    """Return the stream after node 0 has begun it, or has gone on after an engine was lost."""
    for version in serving & seen:
        if not stream.began:
            yield Stream(version, in_flight=len(seen) > 1)
        elif not stream.went_on and (version == stream.began or not rules.bound_within_answer):
            yield Stream(stream.began, version, stream.in_flight, stream.held)


def _resumed_at(rules, seen, stream):
    """Return the versions at which node 2 may let the stream go on."""
    if rules.others_asked and stream.held:
        return {stream.began}
    served = seen[RESUMER] | (seen[HOLDER] if rules.others_asked else frozenset())
    if len(served) > 1 and rules.unknown_refused:
        return frozenset()
    return served


def _with(seen, node, known):
    return (*seen[:node], frozenset(known), *seen[node + 1 :])
