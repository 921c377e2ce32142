"""What one engine writes for each of a few requests, and how it ends, as drawn by hypothesis."""

import json
from dataclasses import asdict, dataclass, replace

from hypothesis import strategies as draws

# How many pieces a whole answer has.
PIECES = 6
WHOLE, SAFE, STREAM, RESUME = "fuzz-whole", "fuzz-safe", "fuzz-stream", "fuzz-resume"
ROUTES = {WHOLE: "non_idempotent", SAFE: "idempotent", STREAM: "streaming", RESUME: "streaming"}
EVENT_STREAMS = (STREAM, RESUME)
CHUNKS, LENGTH, CONNECTION = "chunks", "length", "connection"
# The steps of a script: so many pieces in one segment, half a piece, milliseconds of silence, the
# mark of the end, the end of the connection or of the process.
SEND, HALF, PAUSE, LAST, CLOSE, RESET, EXIT, EXIT_RESET = (
    "send",
    "half",
    "pause",
    "last chunk",
    "close",
    "reset",
    "exit",
    "exit with resets",
)
STARTS_MS = (0, 0, 20, 100, 400)
PAUSES_MS = (0, 5, 20, 70, 150)
BEFORE_END_MS = (0, 0, 20, 100)
REST_AFTER_MS = (0, 1, 20, 70, 150, 500, 1500)
TOO_LATE_MS = 2500
# A close this long after the last bytes is not taken for that of a complete answer.
LATE_CLOSE_MS = 100
END_AFTER_MS = (0, 20, 100)
GAPS_MS = (0, 0, 20, 300)
RECORDED_AFTER_MS = (0, 300, 1000)
MAX_SCRIPTS = 6
EXITS = (EXIT, EXIT_RESET)

# Kinds of cases that nothing between an engine and a caller can decide, by the option that includes
# them:
# An answer without a length or chunks of which an engine that runs closes the connection early, or
# the same after an early last chunk, where the request may not run again.
RUNNING_ENGINE_CLOSES = "closes-of-running-engines"
# A last chunk that comes early and is followed by nothing.
NOTHING_AFTER_LAST_CHUNK = "last-chunk-then-nothing"
# The rest after an early last chunk, later than a node waits.
LATE_REST = "late-rest"
# A stream that may be resumed, and whose connection is closed right after bytes of it, as after a
# complete one.
CLOSES_AFTER_BYTES = "closes-right-after-bytes"
# A last chunk that comes early in a plain stream whose connection a running engine then resets, as
# the kernel does when a server closes after a sound end with the next request unread.
RESET_AFTER_LAST_CHUNK = "resets-after-last-chunks"
UNDECIDABLE = (
    RUNNING_ENGINE_CLOSES,
    NOTHING_AFTER_LAST_CHUNK,
    LATE_REST,
    CLOSES_AFTER_BYTES,
    RESET_AFTER_LAST_CHUNK,
)
# Kinds of cases that are decided wrongly today, by the option that includes them:
# A last chunk that comes early in a whole answer.
LAST_CHUNK_OF_WHOLE = "last-chunks-of-whole-answers"
# Engines without start times that are replaced at their address: answers that end with their
# connection, and streams that go on at another version.
NO_START_TIME = "replaced-without-start-times"
# Streams that begin at a process of another version whose record has not been read.
BEGUN_BEFORE_RECORD = "begun-before-the-record"
# Answers that end with their connection, closed early shortly before the process ends.
CLOSED_BEFORE_EXIT = "closed-before-the-exit"
OPEN = (
    LAST_CHUNK_OF_WHOLE,
    NO_START_TIME,
    BEGUN_BEFORE_RECORD,
    CLOSED_BEFORE_EXIT,
)


@dataclass(frozen=True)
class Script:
    """What an engine writes for one request.

    Attributes:
        framing: how the head says that the answer ends.
        starts_ms: when the request is sent, after the first one.
        steps: pairs of a step and its value.
        is_sound: whether the answer is whole, with an end in its place.
    """

    route: str
    framing: str
    starts_ms: int
    steps: tuple
    is_sound: bool

    def end(self):
        """Return how the answer ends, in words."""
        if self.is_sound:
            return f"{self.route}, {self.framing}, sound"
        last = [step for step, _ in self.steps].index(LAST) if self._has_early_end() else None
        if last is None:
            return f"{self.route}, {self.framing}, {self.steps[-1][0]}"
        after = [step for step, _ in self.steps[last + 1 :] if step not in (PAUSE, LAST)]
        return f"{self.route}, early {LAST}, {after[0] if after else 'nothing'}"

    def _has_early_end(self):
        return (LAST, 0) in self.steps

    def text(self):
        """Return the script as an engine reads it."""
        return json.dumps({"framing": self.framing, "steps": self.steps})


@dataclass(frozen=True)
class Successor:
    """The process that answers at the address of an engine that ended.

    Attributes:
        is_other_version: whether it runs another software version.
        keeps_port: whether the port accepts connections before it answers.
        gap_ms: how long nobody answers.
        recorded_after_ms: how long after its start its record is written.
    """

    is_other_version: bool
    keeps_port: bool
    gap_ms: int
    recorded_after_ms: int


@dataclass(frozen=True)
class Play:
    """One engine's scripts and what follows its end.

    Attributes:
        has_start_times: whether records and reports have a start time.
        has_sibling: whether another engine serves beside it, with sound answers.
    """

    scripts: tuple
    successor: Successor | None
    has_start_times: bool
    has_sibling: bool

    @property
    def exits(self):
        """Whether the process of an engine ends."""
        return any(step in EXITS for script in self.scripts for step, _ in script.steps)

    def text(self):
        """Return the play as one line, from which `play_of` makes it again."""
        return json.dumps(asdict(self))


def play_of(text):
    """Return the play of a line."""
    fields = json.loads(text)
    scripts = tuple(
        Script(**{**script, "steps": tuple(map(tuple, script["steps"]))})
        for script in fields["scripts"]
    )
    successor = fields["successor"] and Successor(**fields["successor"])
    return Play(scripts, successor, fields["has_start_times"], fields["has_sibling"])


def plays(including=()):
    """Return a strategy of plays; the kinds of cases in `including` are drawn too."""
    scripts = draws.lists(_scripts(frozenset(including)), min_size=1, max_size=MAX_SCRIPTS)
    found = draws.builds(
        Play,
        scripts.map(tuple),
        draws.none() | _successors() | _successors(),
        draws.booleans(),
        draws.booleans(),
    )
    return found.map(_without_idle_successor).map(
        lambda play: play if NO_START_TIME in including else _with_start_times(play)
    )


def _without_idle_successor(play):
    return play if play.exits else replace(play, successor=None)


def _with_start_times(play):
    """Add start times where nothing else tells an engine from the next one at its address."""
    if play.successor is None:
        return play
    is_unframed = any(script.framing == CONNECTION for script in play.scripts)
    needs = is_unframed or play.successor.is_other_version
    return replace(play, has_start_times=play.has_start_times or needs)


def _successors():
    return draws.builds(
        Successor,
        draws.booleans(),
        draws.booleans(),
        draws.sampled_from(GAPS_MS),
        draws.sampled_from(RECORDED_AFTER_MS),
    )


@draws.composite
def _scripts(draw, including):
    route = draw(draws.sampled_from((*ROUTES, RESUME)))
    framing = draw(draws.sampled_from((CHUNKS, CONNECTION, LENGTH)))
    starts_ms = draw(draws.sampled_from(STARTS_MS))
    if not draw(draws.integers(0, 2)):
        steps = (*draw(_segments(PIECES)), *_sound_end(framing))
        return Script(route, framing, starts_ms, steps, True)
    sent = draw(draws.integers(1, PIECES - 1))
    is_half = draw(draws.booleans())
    steps = [*draw(_segments(sent)), *([(HALF, 0)] if is_half else [])]
    steps.append((PAUSE, draw(draws.sampled_from(BEFORE_END_MS))))
    may_mark = route in EVENT_STREAMS or LAST_CHUNK_OF_WHOLE in including
    if framing == CHUNKS and may_mark and draw(draws.booleans()):
        steps += [(LAST, 0), *draw(_after_last_chunk(route, sent, including))]
    else:
        steps += draw(_breaks(route, framing, is_half, including))
    return Script(route, framing, starts_ms, tuple(steps), False)


def _sound_end(framing):
    return {CHUNKS: ((LAST, 0),), CONNECTION: ((CLOSE, 0),), LENGTH: ()}[framing]


@draws.composite
def _segments(draw, pieces):
    """Draw segments of so many pieces, and the pauses between them."""
    steps, left = [], pieces
    while left:
        size = draw(draws.integers(1, left))
        left -= size
        steps.append((SEND, size))
        if left:
            steps.append((PAUSE, draw(draws.sampled_from(PAUSES_MS))))
    return tuple(steps)


@draws.composite
def _after_last_chunk(draw, route, sent, including):
    """Draw what follows a last chunk that came early."""
    ways = ["rest", EXIT, EXIT_RESET]
    if route == RESUME or RESET_AFTER_LAST_CHUNK in including:
        ways.append(RESET)
    # A stream that may be resumed is asked for the rest.
    if route == RESUME or RUNNING_ENGINE_CLOSES in including:
        ways.append(CLOSE)
    if NOTHING_AFTER_LAST_CHUNK in including:
        ways.append("nothing")
    way = draw(draws.sampled_from(ways))
    if way == "nothing":
        return ()
    if way == "rest":
        late = (TOO_LATE_MS,) if LATE_REST in including else ()
        pause = (PAUSE, draw(draws.sampled_from((*REST_AFTER_MS, *late))))
        return (pause, (SEND, PIECES - sent), (LAST, 0))
    return ((PAUSE, draw(draws.sampled_from(END_AFTER_MS))), (way, 0))


@draws.composite
def _breaks(draw, route, framing, is_half, including):
    """Draw an end of the connection or of the process before the end of the answer."""
    ways = [RESET, EXIT, EXIT_RESET]
    # A length and chunks show that the answer was not over, as does a part of an event; a stream
    # that may be resumed is asked for the rest.
    is_shown = framing != CONNECTION or route == RESUME or (is_half and route == STREAM)
    if is_shown or RUNNING_ENGINE_CLOSES in including:
        ways.append(CLOSE)
    if CLOSED_BEFORE_EXIT in including and framing == CONNECTION:
        ways.append("closed before")
    way = draw(draws.sampled_from(ways))
    if way == "closed before":
        return ((CLOSE, 0), (PAUSE, draw(draws.sampled_from(END_AFTER_MS))), (EXIT, 0))
    if way == CLOSE and framing == CONNECTION and CLOSES_AFTER_BYTES not in including:
        return ((PAUSE, LATE_CLOSE_MS), (CLOSE, 0))
    return ((way, 0),)
