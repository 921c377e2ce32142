"""Plays that were drawn and found wrong answers, shortened by hand."""

from features.soak.answer_scripts import (
    CHUNKS,
    CONNECTION,
    EXIT,
    EXIT_RESET,
    LAST,
    PAUSE,
    RESET,
    RESUME,
    SAFE,
    SEND,
    STREAM,
    WHOLE,
    Play,
    Script,
    Successor,
)


def _ends(route, framing, *steps, starts_ms=0):
    """Return a script whose answer is not whole."""
    return Script(route, framing, starts_ms, steps, False)


FOUND = {
    "a silent port after an early last chunk": Play(
        (_ends(STREAM, CHUNKS, (SEND, 2), (PAUSE, 20), (LAST, 0), (PAUSE, 20), (EXIT, 0)),),
        Successor(is_other_version=False, keeps_port=True, gap_ms=10_000, recorded_after_ms=0),
        has_start_times=True,
        has_sibling=False,
    ),
    "an early last chunk of a whole answer": Play(
        (_ends(WHOLE, CHUNKS, (SEND, 3), (LAST, 0), (PAUSE, 70), (SEND, 3), (LAST, 0)),),
        None,
        has_start_times=True,
        has_sibling=False,
    ),
    "replaced without a start time": Play(
        (
            _ends(WHOLE, CONNECTION, (SEND, 1), (PAUSE, 100), (EXIT, 0)),
            _ends(SAFE, CHUNKS, (SEND, 1), (PAUSE, 100), (RESET, 0)),
        ),
        Successor(is_other_version=True, keeps_port=True, gap_ms=20, recorded_after_ms=0),
        has_start_times=False,
        has_sibling=False,
    ),
    "another version without a start time": Play(
        (_ends(RESUME, CHUNKS, (SEND, 2), (PAUSE, 20), (EXIT_RESET, 0), starts_ms=100),),
        Successor(is_other_version=True, keeps_port=True, gap_ms=20, recorded_after_ms=300),
        has_start_times=False,
        has_sibling=False,
    ),
    "begun before the record": Play(
        (
            _ends(RESUME, CHUNKS, (SEND, 3), (LAST, 0), (PAUSE, 20), (EXIT, 0)),
            *(
                _ends(RESUME, CHUNKS, (SEND, 2), (PAUSE, 70), (EXIT, 0), starts_ms=20)
                for _ in range(4)
            ),
        ),
        Successor(is_other_version=True, keeps_port=True, gap_ms=0, recorded_after_ms=1000),
        has_start_times=True,
        has_sibling=True,
    ),
}
